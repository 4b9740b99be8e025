"""A request that is being received, checked against the server's limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.errors import BODY_TOO_LARGE, HEADERS_TOO_LARGE
from lycheelug.http.messages import Request, find_header, lowercase_headers

if TYPE_CHECKING:
    import h11

    from lycheelug.errors import ErrorCode
    from lycheelug.http.messages import RawHeaders
    from lycheelug.http.server_limits import ServerLimits

    # Why a request is rejected.
    Excess = tuple[ErrorCode, str]

__all__ = ["IncomingRequest"]


class IncomingRequest:
    """The parts of a request that were received."""

    __slots__ = ("_body", "_head", "_headers", "_limits")

    def __init__(self, limits: ServerLimits) -> None:
        self._limits = limits
        self._head: h11.Request | None = None
        self._headers: RawHeaders = []
        self._body = bytearray()

    @property
    def has_head(self) -> bool:
        """Whether the head is complete."""
        return self._head is not None

    @property
    def is_head_method(self) -> bool:
        """Whether the request's method is HEAD."""
        return self._head is not None and self._head.method == b"HEAD"

    @property
    def body_size(self) -> int:
        """The number of bytes of the body."""
        return len(self._body)

    def add_head(self, head: h11.Request) -> Excess | None:
        """Store a request's head, or return which limit it exceeds.

        The parser only limits a head that is received in several parts, so
        the size of a head that was received at once is checked here.  A body
        whose announced length exceeds the limit is rejected unread.
        """
        limits = self._limits
        headers = lowercase_headers(head)
        size = len(head.target)
        for name, value in headers:
            size += len(name) + len(value)
        if size > limits.max_head_bytes:
            return HEADERS_TOO_LARGE, f"over {limits.max_head_bytes} bytes"
        if len(headers) > limits.max_headers:
            return HEADERS_TOO_LARGE, f"over {limits.max_headers} headers"
        # The parser has checked that it is a number.
        announced = int(find_header(headers, b"content-length") or 0)
        if announced > limits.max_body_bytes:
            return BODY_TOO_LARGE, f"over {limits.max_body_bytes} bytes"
        self._head = head
        self._headers = headers
        return None

    def add_data(self, data: bytes) -> Excess | None:
        """Add a part of the body, or return which limit it exceeds."""
        limit = self._limits.max_body_bytes
        if len(self._body) + len(data) > limit:
            return BODY_TOO_LARGE, f"over {limit} bytes"
        self._body += data
        return None

    def take(self, peer_name: str) -> Request:
        """Return the complete request; its body is not kept here."""
        assert self._head is not None
        body = bytes(self._body)
        self._body = bytearray()
        return Request(
            self._head.method,
            self._head.target,
            self._headers,
            body,
            peer_name,
        )

    def clear(self) -> None:
        """Prepare for the next request."""
        self._head = None
        self._headers = []
        self._body = bytearray()
