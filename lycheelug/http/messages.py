"""Whole HTTP requests and answers, and what may be forwarded of them.

Messages are held whole: an answer is passed on only once its last byte has
come, so a truncated one can never look complete to the caller.
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
    "lowered_headers",
]

RawHeaders: TypeAlias = list[tuple[bytes, bytes]]

# RFC 9110, section 7.6.1: meaningful for one connection only.
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
    """One whole request; header names are in lower case."""

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
    """One whole answer; `close` says that the peer ends the connection."""

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
    """Return the headers that an intermediary may pass on.

    `dropped` names what is left out, which must include `HOP_BY_HOP`.

    >>> end_to_end_headers(
    ...     [(b"connection", b"x-a"), (b"x-a", b"1"), (b"x-b", b"2")]
    ... )
    [(b'x-b', b'2')]
    """
    kept: RawHeaders = []
    nominated: set[bytes] = set()
    for pair in headers:
        name, value = pair
        if name not in dropped:
            kept.append(pair)
        elif name == b"connection":
            for token in value.lower().split(b","):
                nominated.add(token.strip())
    if not nominated:
        return kept
    return [pair for pair in kept if pair[0] not in nominated]


def lowered_headers(head: h11.Request | h11.Response) -> RawHeaders:
    """Return a received head's headers with names in lower case.

    Iterating over h11's own sequence costs several times as much.
    """
    items = head.headers.raw_items()
    return [(name.lower(), value) for name, value in items]


def json_answer(
    status: int, content: Any, content_type: bytes = b"application/json"
) -> Answer:
    """Return an answer whose body is the JSON form of a value."""
    body = msgspec.json.encode(content)
    return Answer(status, [(b"content-type", content_type)], body)
