"""A connection of one client to an HTTP/1.1 server, as an asyncio protocol.

It handles one request at a time.  While a request is handled or its answer
waits to be sent, nothing more is read than what was already received.  The
resources that a client may occupy are bounded: the sizes of the head and the
body, and the time to send a request or to receive an answer.  If the client
disconnects while its request is handled, the handler's task is cancelled.
"""

from __future__ import annotations

import asyncio
import select
from enum import Enum, auto
from typing import TYPE_CHECKING, Final, cast

import h11

from lycheelug.errors import (
    BAD_REQUEST,
    HEADERS_TOO_LARGE,
    INTERNAL_ERROR,
    NOT_READY,
    SLOW_SENDER,
    TOO_MANY_BYTES,
    TOO_MANY_CONNECTIONS,
    ErrorCode,
)
from lycheelug.http.incoming import IncomingRequest
from lycheelug.http.outgoing import encode_answer
from lycheelug.http.server_limits import LINGER_BYTES, LINGER_S, ServerLimits

if TYPE_CHECKING:
    from lycheelug.http.messages import Answer, Request
    from lycheelug.http.server import HttpServer

__all__ = ["ServerConnection", "ServerLimits"]

HEADERS_TOO_LARGE_STATUS: Final = 431
# Events of the parser that are processed at once.
EVENTS_PER_TURN: Final = 64
# Requests are not read while more than this of an answer is unsent.
WRITE_BUFFER_BYTES: Final = 16 * 1024


class _Phase(Enum):
    """The phase of a server connection."""

    IDLE = auto()
    RECEIVING = auto()
    HANDLING = auto()
    SENDING = auto()
    # The answer is the last one, and further input is discarded.
    LINGERING = auto()


class ServerConnection(asyncio.BufferedProtocol):
    """A connection of one client."""

    __slots__ = (
        "_began_while_draining",
        "_h11",
        "_incoming",
        "_linger_bytes",
        "_peer_name",
        "_phase",
        "_server",
        "_task",
        "_transport",
        "address",
        "expires_at",
        "held",
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
        self._incoming = IncomingRequest(server.limits)
        # The number of bytes that may still be discarded.
        self._linger_bytes = LINGER_BYTES
        self._peer_name = ""
        self._phase = _Phase.IDLE
        # Whether the request began when the server was already draining.
        self._began_while_draining = False
        # The IP address of the client.
        self.address = ""
        self.expires_at = 0.0
        # Loop time at which the connection became idle.
        self.idle_since = 0.0
        # Bytes of the request's body or of the unsent answer.
        self.held = 0

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received, handled or answered."""
        return self._phase not in (_Phase.IDLE, _Phase.LINGERING)

    @property
    def is_closing(self) -> bool:
        """Whether the connection closes after the pending output is sent."""
        if self._transport is None or self._phase is _Phase.LINGERING:
            return True
        return self._transport.is_closing()

    @property
    def is_releasable(self) -> bool:
        """Whether `release` is possible: no request is being handled."""
        return self._phase in (_Phase.RECEIVING, _Phase.SENDING)

    def has_unread_input(self) -> bool:
        """Return whether bytes, or the end of the input, are unread."""
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
        self._transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        peer = transport.get_extra_info("peername")
        self.address = str(peer[0]) if peer else ""
        self._peer_name = f"{peer[0]}:{peer[1]}" if peer else ""
        if not self._server.add_connection(self):
            if self._server.table.add_refused(self):
                self.refuse(TOO_MANY_CONNECTIONS, "")
            else:
                self._transport.abort()
            return
        self._set_phase(_Phase.IDLE, self._server.limits.receive_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Deregister and cancel the handler, as its client disconnected."""
        self._hold(0)
        self._incoming.clear()
        self._server.remove_connection(self)
        if self._task is not None:
            self._task.cancel()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass data to the parser, and process what is complete."""
        if self._phase is _Phase.LINGERING:
            self._discard(nbytes)
            return
        self._h11.receive_data(bytes(self._server.read_buffer[:nbytes]))
        if self._phase in (_Phase.HANDLING, _Phase.SENDING):
            # The client pipelines requests.  After this first part, the rest
            # waits in the socket's buffer.
            if self._transport is not None:
                self._transport.pause_reading()
            return
        if self._phase is _Phase.IDLE:
            self._began_while_draining = self._server.is_draining
            limit = self._server.limits.receive_s
            self._set_phase(_Phase.RECEIVING, limit)
        self._advance()

    def eof_received(self) -> bool:
        """Close the connection when the client closes its sending side."""
        return False

    def pause_writing(self) -> None:
        """Limit the time in which the client must receive its answer."""
        if self._phase is _Phase.HANDLING:
            self._set_phase(_Phase.SENDING, self._server.limits.send_s)

    def resume_writing(self) -> None:
        """Continue once most output to a slow client has been sent."""
        if self._phase is _Phase.SENDING:
            self._next_request()

    # --- Requests.

    def expire(self) -> None:
        """End a connection whose current phase has timed out."""
        if self._phase is _Phase.RECEIVING:
            part = "body" if self._incoming.has_head else "head"
            detail = f"the request {part} was not complete in time"
            self.refuse(SLOW_SENDER, detail)
            return
        if self._phase is _Phase.LINGERING and self._transport is not None:
            self._transport.abort()
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
        self._linger()

    def release(self) -> None:
        """End the connection, as too many bytes are held."""
        if self._phase is _Phase.RECEIVING:
            self.refuse(TOO_MANY_BYTES, "")
            return
        self._hold(0)
        self._server.table.remove(self)
        if self._transport is not None:
            self._transport.abort()

    def _hold(self, size: int) -> None:
        """Set the number of bytes that this connection holds."""
        change = size - self.held
        if change:
            self.held = size
            self._server.table.hold(change)

    def _linger(self) -> None:
        """Close once the client has ended its input, or after a while."""
        self._incoming.clear()
        self._hold(0)
        self._set_phase(_Phase.LINGERING, LINGER_S)
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.resume_reading()
        try:
            transport.write_eof()
        except OSError:
            # The client has disconnected.
            transport.abort()

    def _discard(self, size: int) -> None:
        """Discard input after the last answer."""
        self._linger_bytes -= size
        if self._linger_bytes < 0 and self._transport is not None:
            self._transport.abort()

    def _finish(self) -> None:
        """Close after the last answer has been sent."""
        if self._transport is None:
            return
        if self._h11.trailing_data[0]:
            # Closing with unread input would reset the connection.
            self._linger()
            return
        self._hold(0)
        self.expires_at = self._server.now() + self._server.limits.send_s
        self._transport.close()

    def _set_phase(self, phase: _Phase, limit_s: float) -> None:
        """Enter a phase that may last at most `limit_s` seconds."""
        now = self._server.now()
        if phase is _Phase.IDLE:
            self.idle_since = now
        if (phase is _Phase.IDLE) is not (self._phase is _Phase.IDLE):
            self._server.table.set_idle(self, phase is _Phase.IDLE)
        self._phase = phase
        self.expires_at = now + limit_s

    def _continue(self) -> None:
        """Process more of what was received."""
        if self._phase is _Phase.RECEIVING:
            self._advance()

    def _advance(self) -> None:
        """Process some of the parser's events, or all of a request.

        Many small chunks must not hold up the other connections.
        """
        for _ in range(EVENTS_PER_TURN):
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
                excess = self._incoming.add_head(cast("h11.Request", event))
                if excess is not None:
                    self.refuse(*excess)
                    return
                continue
            if kind is h11.Data:
                data = bytes(cast("h11.Data", event).data)
                excess = self._incoming.add_data(data)
                if excess is not None:
                    self.refuse(*excess)
                    return
                self._hold(self._incoming.body_size)
                if self._phase is not _Phase.RECEIVING:
                    return
                continue
            if kind is h11.EndOfMessage:
                self._start_handler()
                return
            if event is h11.NEED_DATA:
                self._continue_if_expected()
                if self._transport is not None:
                    self._transport.resume_reading()
                return
            if event is h11.PAUSED or kind is h11.ConnectionClosed:
                return
        if self._transport is not None:
            self._transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._continue)

    def _continue_if_expected(self) -> None:
        """Send status 100 to a client that waits for it with its body."""
        if not self._h11.they_are_waiting_for_100_continue:
            return
        interim = h11.InformationalResponse(status_code=100, headers=[])
        data = self._h11.send(interim)
        if data and self._transport is not None:
            self._transport.write(data)

    def _start_handler(self) -> None:
        """Start a task that handles the complete request."""
        if self._began_while_draining:
            self.refuse(NOT_READY, "the daemon is stopping")
            return
        request = self._incoming.take(self._peer_name)
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
        self._hold(self._transport.get_write_buffer_size())
        if self._transport.is_closing():
            return
        if self._h11.our_state is not h11.DONE:
            self._finish()
            return
        if self._phase is not _Phase.SENDING:
            self._next_request()

    def _write(self, answer: Answer, *, close: bool) -> None:
        """Write a complete answer, with its length as framing."""
        has_body = not self._incoming.is_head_method
        data = encode_answer(self._h11, answer, close=close, has_body=has_body)
        if self._transport is not None:
            self._transport.write(data)

    def _next_request(self) -> None:
        """Prepare for the next request on this connection."""
        if self._transport is None or self._transport.is_closing():
            return
        try:
            self._h11.start_next_cycle()
        except h11.LocalProtocolError:
            self._finish()
            return
        self._incoming.clear()
        self._hold(self._transport.get_write_buffer_size())
        if self._h11.trailing_data[0]:
            limit = self._server.limits.receive_s
            self._set_phase(_Phase.RECEIVING, limit)
            self._advance()
            return
        self._set_phase(_Phase.IDLE, self._server.limits.idle_s)
        self._transport.resume_reading()
