"""Complete HTTP requests and answers, and the headers that may be forwarded.

Messages are not streamed.  An answer is forwarded only after its last byte
was received, so a truncated answer can never look complete to the caller.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, TypeAlias

import msgspec

if TYPE_CHECKING:
    import h11

__all__ = [
    "HOP_BY_HOP",
    "Answer",
    "RawHeaders",
    "Request",
    "end_to_end_headers",
    "find_header",
    "json_answer",
    "lowercase_headers",
]

RawHeaders: TypeAlias = list[tuple[bytes, bytes]]

# Headers that only apply to one connection (RFC 9110, section 7.6.1).
HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class Request:
    """A complete request; header names are in lower case."""

    __slots__ = ("body", "headers", "method", "peer_name", "target")

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: RawHeaders,
        body: bytes = b"",
        peer_name: str = "",
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.peer_name = peer_name


class Answer:
    """A complete answer; with `close` the connection ends after it."""

    __slots__ = ("body", "close", "headers", "status")

    def __init__(
        self,
        status: int,
        headers: RawHeaders,
        body: bytes = b"",
        close: bool = False,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.close = close


def find_header(headers: RawHeaders, name: bytes) -> bytes | None:
    """Return the first value of a header, or None.

    >>> find_header([(b"host", b"a")], b"host")
    b'a'
    """
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end_headers(
    headers: RawHeaders, dropped: frozenset[bytes] = HOP_BY_HOP
) -> RawHeaders:
    """Return the headers that an intermediary may forward.

    `dropped` contains the names of the headers to remove; it must include
    `HOP_BY_HOP`.  Headers that a `connection` header names are removed too.

    >>> end_to_end_headers(
    ...     [(b"connection", b"x-a"), (b"x-a", b"1"), (b"x-b", b"2")]
    ... )
    [(b'x-b', b'2')]
    """
    kept: RawHeaders = []
    connection_options: set[bytes] = set()
    for pair in headers:
        name, value = pair
        if name not in dropped:
            kept.append(pair)
        elif name == b"connection":
            for token in value.lower().split(b","):
                connection_options.add(token.strip())
    if not connection_options:
        return kept
    return [pair for pair in kept if pair[0] not in connection_options]


def lowercase_headers(head: h11.Request | h11.Response) -> RawHeaders:
    """Return the headers of a received head, with names in lower case.

    Uses `raw_items`, because iterating over h11's header sequence is several
    times as slow.
    """
    items = head.headers.raw_items()
    return [(name.lower(), value) for name, value in items]


def json_answer(
    status: int, content: Any, content_type: bytes = b"application/json"
) -> Answer:
    """Return an answer with a value as JSON."""
    body = msgspec.json.encode(content)
    return Answer(status, [(b"content-type", content_type)], body)
