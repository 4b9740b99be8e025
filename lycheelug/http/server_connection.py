"""A connection of one client to an HTTP/1.1 server, as an asyncio protocol.

It handles one request at a time.  The resources that a client may occupy are
bounded: the sizes of the head and the body, and the time to send a request
or to receive an answer.  If the client disconnects while its request is
handled, the handler's task is cancelled.
"""

from __future__ import annotations

import asyncio
import select
from enum import Enum, auto
from typing import TYPE_CHECKING, Final, cast

import h11

from lycheelug.errors import (
    BAD_REQUEST,
    BODY_TOO_LARGE,
    HEADERS_TOO_LARGE,
    INTERNAL_ERROR,
    NOT_READY,
    SLOW_SENDER,
    TOO_MANY_CONNECTIONS,
    ErrorCode,
)
from lycheelug.http.messages import (
    Answer,
    RawHeaders,
    Request,
    find_header,
    lowercase_headers,
)

if TYPE_CHECKING:
    from lycheelug.http.server import HttpServer

__all__ = ["ServerConnection", "ServerLimits"]

HEADERS_TOO_LARGE_STATUS: Final = 431
# Events are immutable, so one object can be sent repeatedly.
END_OF_MESSAGE: Final = h11.EndOfMessage()


class ServerLimits:
    """Limits on the resources that clients may occupy."""

    __slots__ = (
        "idle_s",
        "max_body_bytes",
        "max_connections",
        "max_head_bytes",
        "receive_s",
        "send_s",
    )

    def __init__(
        self,
        max_connections: int = 1024,
        max_head_bytes: int = 16 * 1024,
        max_body_bytes: int = 1024 * 1024,
        receive_s: float = 10.0,
        send_s: float = 10.0,
        idle_s: float = 60.0,
    ) -> None:
        self.max_connections = max_connections
        self.max_head_bytes = max_head_bytes
        self.max_body_bytes = max_body_bytes
        self.receive_s = receive_s
        self.send_s = send_s
        self.idle_s = idle_s


class _Phase(Enum):
    """The phase of a server connection."""

    IDLE = auto()
    RECEIVING = auto()
    HANDLING = auto()
    SENDING = auto()


class ServerConnection(asyncio.Protocol):
    """A connection of one client."""

    __slots__ = (
        "_began_while_draining",
        "_body",
        "_body_size",
        "_h11",
        "_head",
        "_headers",
        "_peer_name",
        "_phase",
        "_server",
        "_task",
        "_transport",
        "expires_at",
        "idle_since",
    )

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._h11 = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=server.limits.max_head_bytes,
        )
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._head: h11.Request | None = None
        self._headers: RawHeaders = []
        self._body: list[bytes] = []
        self._body_size = 0
        self._peer_name = ""
        self._phase = _Phase.IDLE
        # Whether the request began when the server was already draining.
        self._began_while_draining = False
        self.expires_at = 0.0
        # Loop time at which the connection became idle.
        self.idle_since = 0.0

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received, handled or answered."""
        return self._phase is not _Phase.IDLE

    @property
    def is_closing(self) -> bool:
        """Whether the connection closes after the pending output is sent."""
        return self._transport is None or self._transport.is_closing()

    def has_unread_input(self) -> bool:
        """Whether bytes, or the end of the client's input, are unread."""
        if self.is_closing or self._transport is None:
            return False
        client_socket = self._transport.get_extra_info("socket")
        poll = select.poll()
        poll.register(client_socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    # --- Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server; reject if it has too many connections."""
        self._transport = cast("asyncio.Transport", transport)
        peer = transport.get_extra_info("peername")
        self._peer_name = f"{peer[0]}:{peer[1]}" if peer else ""
        self._set_phase(_Phase.IDLE, self._server.limits.receive_s)
        if not self._server.add_connection(self):
            self.refuse(TOO_MANY_CONNECTIONS, "")

    def connection_lost(self, exc: Exception | None) -> None:
        """Deregister and cancel the handler, as its client disconnected."""
        self._server.remove_connection(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Pass data to the parser, and process what is complete."""
        if self._phase is _Phase.HANDLING:
            # The client pipelines requests.  After this first part, the rest
            # waits in the socket's buffer.
            self._h11.receive_data(data)
            if self._transport is not None:
                self._transport.pause_reading()
            return
        if self._phase is _Phase.IDLE:
            self._began_while_draining = self._server.is_draining
            limit = self._server.limits.receive_s
            self._set_phase(_Phase.RECEIVING, limit)
        self._h11.receive_data(data)
        self._advance()

    def eof_received(self) -> bool:
        """Close the connection when the client closes its sending side."""
        return False

    def pause_writing(self) -> None:
        """Limit the time in which the client must receive its answer."""
        self._set_phase(_Phase.SENDING, self._server.limits.send_s)

    def resume_writing(self) -> None:
        """Continue after a slow client has received its answer."""
        if self._phase is _Phase.SENDING:
            self._next_request()

    # --- Requests.

    def expire(self) -> None:
        """End a connection whose current phase has timed out."""
        if self._phase is _Phase.RECEIVING and self._head is None:
            self.refuse(
                SLOW_SENDER, "the request head was not complete in time"
            )
            return
        if self._phase is _Phase.RECEIVING:
            self.refuse(
                SLOW_SENDER, "the request body was not complete in time"
            )
            return
        self.close()

    def close(self) -> None:
        """Close once the pending output is sent; abort a slow client."""
        if self._transport is None:
            return
        is_overdue = self._transport.is_closing()
        if is_overdue or self._phase is _Phase.SENDING:
            self._transport.abort()
            return
        self._transport.close()

    def refuse(self, code: ErrorCode, detail: str) -> None:
        """Answer a request that can't be handled, and close the connection."""
        self._server.on_refused(code)
        answer = self._server.make_refusal(code, detail)
        states_before_response = (h11.IDLE, h11.SEND_RESPONSE)
        if self._h11.our_state in states_before_response:
            self._write(answer, close=True)
        if self._transport is not None:
            self._transport.close()

    def _set_phase(self, phase: _Phase, limit_s: float) -> None:
        """Enter a phase that may last at most `limit_s` seconds."""
        now = self._server.now()
        if phase is _Phase.IDLE:
            self.idle_since = now
        self._phase = phase
        self.expires_at = now + limit_s

    def _advance(self) -> None:
        """Process the parser's events until a request is complete."""
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                is_too_large = (
                    error.error_status_hint == HEADERS_TOO_LARGE_STATUS
                )
                code = HEADERS_TOO_LARGE if is_too_large else BAD_REQUEST
                self.refuse(code, str(error))
                return
            # h11's event classes are final, and `isinstance` is slow on them.
            kind = type(event)
            if kind is h11.Request:
                if not self._accept_head(cast("h11.Request", event)):
                    return
                continue
            if kind is h11.Data:
                if not self._collect(bytes(cast("h11.Data", event).data)):
                    return
                continue
            if kind is h11.EndOfMessage:
                self._start_handler()
                return
            if event is h11.NEED_DATA:
                self._continue_if_asked()
                return
            if event is h11.PAUSED or kind is h11.ConnectionClosed:
                return

    def _accept_head(self, head: h11.Request) -> bool:
        """Store a request's head; reject it if it exceeds the limit.

        The parser only limits a head that is received in several parts, so
        the size of a head that was received at once is checked here.
        """
        headers = lowercase_headers(head)
        size = len(head.target)
        for name, value in headers:
            size += len(name) + len(value)
        limit = self._server.limits.max_head_bytes
        if size > limit:
            self.refuse(HEADERS_TOO_LARGE, f"over {limit} bytes")
            return False
        self._head = head
        self._headers = headers
        return True

    def _continue_if_asked(self) -> None:
        """Send status 100 to a client that waits for it with its body."""
        if not self._h11.they_are_waiting_for_100_continue:
            return
        interim = h11.InformationalResponse(status_code=100, headers=[])
        data = self._h11.send(interim)
        if data and self._transport is not None:
            self._transport.write(data)

    def _collect(self, data: bytes) -> bool:
        """Add a part of the body; reject the request above the limit."""
        self._body_size += len(data)
        limit = self._server.limits.max_body_bytes
        if self._body_size > limit:
            self.refuse(BODY_TOO_LARGE, f"over {limit} bytes")
            return False
        self._body.append(data)
        return True

    def _start_handler(self) -> None:
        """Start a task that handles the complete request."""
        head = self._head
        assert head is not None
        if self._began_while_draining:
            self.refuse(NOT_READY, "the daemon is stopping")
            return
        request = Request(
            head.method,
            head.target,
            self._headers,
            b"".join(self._body),
            self._peer_name,
        )
        self._phase = _Phase.HANDLING
        self.expires_at = float("inf")
        self._task = asyncio.get_running_loop().create_task(
            self._handle(request)
        )

    async def _handle(self, request: Request) -> None:
        """Run the handler and write its answer."""
        try:
            answer = await self._server.handler(request)
        except Exception as error:
            # A bug: the client gets an error, and the connection is closed.
            self._server.on_refused(INTERNAL_ERROR)
            answer = self._server.make_refusal(INTERNAL_ERROR, repr(error))
            answer.close = True
        self._task = None
        if self._transport is None or self._transport.is_closing():
            return
        server = self._server
        closing = answer.close or server.is_draining or server.announce_close
        self._write(answer, close=closing)
        if self._h11.our_state is not h11.DONE:
            self._transport.close()
            return
        if self._phase is not _Phase.SENDING:
            self._next_request()

    def _write(self, answer: Answer, *, close: bool) -> None:
        """Write a complete answer, with its length as framing."""
        headers = list(answer.headers)
        if close:
            headers.append((b"connection", b"close"))
        if find_header(headers, b"content-length") is None:
            length = b"%d" % len(answer.body)
            headers.append((b"content-length", length))
        head = h11.Response(status_code=answer.status, headers=headers)
        send = self._h11.send
        data = send(head)
        if answer.body and not self._is_head_request():
            data += send(h11.Data(data=answer.body))
        data += send(END_OF_MESSAGE)
        if self._transport is not None:
            self._transport.write(data)

    def _is_head_request(self) -> bool:
        """Whether the request's method is HEAD."""
        return self._head is not None and self._head.method == b"HEAD"

    def _next_request(self) -> None:
        """Prepare for the next request on this connection."""
        if self._transport is None or self._transport.is_closing():
            return
        try:
            self._h11.start_next_cycle()
        except h11.LocalProtocolError:
            self._transport.close()
            return
        self._head = None
        self._body = []
        self._body_size = 0
        self._set_phase(_Phase.IDLE, self._server.limits.idle_s)
        self._transport.resume_reading()
        if self._h11.trailing_data[0]:
            limit = self._server.limits.receive_s
            self._set_phase(_Phase.RECEIVING, limit)
            self._advance()
