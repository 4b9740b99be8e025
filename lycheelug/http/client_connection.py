"""An HTTP/1.1 client connection that handles one exchange at a time.

A connection can be reused only after a complete, well-framed answer.  In any
other case (timeout, cancellation, error, unsolicited bytes, an answer whose
end is the end of the connection) it is closed, so a late answer can never
be matched to the wrong request.

Each fault states whether a byte of the request may have been sent
(`maybe_sent`).  Only if none was sent is it certain that the request was not
run.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final, cast

import h11
from returns.result import Failure, Result, Success

from lycheelug.errors import (
    ANSWER_INVALID,
    ANSWER_TIMEOUT,
    ANSWER_TOO_LARGE,
    ANSWER_TRUNCATED,
    SEND_FAILED,
    ErrorCode,
    Fault,
    Peer,
    Step,
)
from lycheelug.http.messages import (
    Answer,
    RawHeaders,
    Request,
    lowercase_headers,
)
from lycheelug.http.sockets import discard_unsent

if TYPE_CHECKING:
    from lycheelug.http.limits import ProgressLimits

    ExchangeResult = Result[Answer, "ExchangeFault"]

__all__ = [
    "MAX_ANSWER_BYTES",
    "ClientConnection",
    "ExchangeFault",
]

MAX_ANSWER_BYTES: Final = 8 * 1024 * 1024
FRAMING_HEADERS: Final = frozenset({b"content-length", b"transfer-encoding"})
MAX_ANSWER_HEAD_BYTES: Final = 64 * 1024
# Events are immutable, so one object can be sent repeatedly.
END_OF_MESSAGE: Final = h11.EndOfMessage()


class ExchangeFault(Fault):
    """A fault of an exchange; with `maybe_sent` bytes may have been sent."""

    __slots__ = ("maybe_sent",)

    def __init__(
        self,
        code: ErrorCode,
        step: Step,
        peer: Peer,
        detail: str,
        peer_name: str,
        maybe_sent: bool,
    ) -> None:
        super().__init__(code, step, peer, detail, peer_name)
        self.maybe_sent = maybe_sent


class ClientConnection(asyncio.Protocol):
    """One connection to an HTTP/1.1 server."""

    __slots__ = (
        "_answer",
        "_answer_ends_at",
        "_answer_size",
        "_chunks",
        "_close_announced",
        "_expires_at",
        "_h11",
        "_has_framing",
        "_headers",
        "_is_lost",
        "_last_byte_at",
        "_max_answer",
        "_peer",
        "_peer_name",
        "_progress",
        "_timer",
        "_transport",
        "_unsent_max_s",
        "_waiter",
        "idle_since",
    )

    def __init__(
        self,
        peer: Peer,
        peer_name: str,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        unsent_max_s: float = 0.0,
    ) -> None:
        self._peer = peer
        self._unsent_max_s = unsent_max_s
        self._peer_name = peer_name
        self._max_answer = max_answer_bytes
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEAD_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[ExchangeResult] | None = None
        # One timer is used for many exchanges.  It is only set again when it
        # fires, or if an exchange must end before the timer would fire.
        self._timer: asyncio.TimerHandle | None = None
        self._expires_at = 0.0
        self._progress: ProgressLimits | None = None
        # With progress limits, when the answer must be complete; None until
        # its first byte.
        self._answer_ends_at: float | None = None
        self._last_byte_at = 0.0
        self._answer: h11.Response | None = None
        self._answer_size = 0
        self._chunks: list[bytes] = []
        self._headers: RawHeaders = []
        self._has_framing = False
        self._close_announced = False
        self._is_lost = False
        self.idle_since = 0.0

    @property
    def is_usable(self) -> bool:
        """Whether another exchange may start on this connection."""
        transport = self._transport
        return (
            transport is not None
            and not self._is_lost
            and not transport.is_closing()
            and self._waiter is None
            and self._h11.our_state is h11.IDLE
        )

    # --- Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast("asyncio.Transport", transport)
        if self._unsent_max_s:
            sock = transport.get_extra_info("socket")
            discard_unsent(sock, self._unsent_max_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress: its answer is incomplete."""
        self._is_lost = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        detail = str(exc) if exc else "connection closed"
        self._fail(ANSWER_TRUNCATED, detail)

    def data_received(self, data: bytes) -> None:
        """Pass data to the parser; close if the data is unsolicited."""
        if self._waiter is None or self._waiter.done():
            self.close()
            return
        self._h11.receive_data(data)
        self._advance()
        if self._progress is not None and not self._waiter.done():
            self._note_progress(self._progress)

    def eof_received(self) -> bool:
        """Close the connection when the peer closes its sending side."""
        return False

    # --- The exchange.

    async def exchange(
        self,
        request: Request,
        timeout_s: float,
        progress: ProgressLimits | None = None,
    ) -> Result[Answer, ExchangeFault]:
        """Send a request and return its complete answer.

        With `progress`, the timeout ends at the first byte of the answer.
        If the exchange is cancelled, the connection is closed.
        """
        transport = self._transport
        if transport is None or not self.is_usable:
            return Failure(
                self._fault(
                    SEND_FAILED, "connection is not usable", maybe_sent=False
                )
            )
        try:
            data = self._encode(request)
        except h11.LocalProtocolError as error:
            self.close()
            return Failure(
                self._fault(SEND_FAILED, str(error), maybe_sent=False)
            )
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        self._progress = progress
        self._answer_ends_at = None
        self._set_timer(loop, loop.time() + timeout_s)
        transport.write(data)
        try:
            result = await self._waiter
        finally:
            self._waiter = None
            if self._h11.our_state is not h11.IDLE:
                self.close()
        self.idle_since = loop.time()
        return result

    def close(self) -> None:
        """Close immediately; an exchange in progress fails as truncated."""
        if self._transport is not None:
            self._transport.abort()

    def _encode(self, request: Request) -> bytes:
        """Return a request's bytes; advance the state of the parser."""
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=request.headers,
        )
        send = self._h11.send
        data = send(head)
        if request.body:
            data += send(h11.Data(data=request.body))
        return data + send(END_OF_MESSAGE)

    def _advance(self) -> None:
        """Process the parser's events until it needs more bytes."""
        while self._waiter is not None and not self._waiter.done():
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                self._fail(ANSWER_INVALID, str(error))
                return
            # h11's event classes are final, and `isinstance` is slow on them.
            kind = type(event)
            if kind is h11.Response:
                self._begin_answer(cast("h11.Response", event))
                continue
            if kind is h11.Data:
                self._collect(bytes(cast("h11.Data", event).data))
                continue
            if kind is h11.EndOfMessage:
                self._finish_answer()
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if kind is h11.InformationalResponse:
                continue
            self._fail(ANSWER_TRUNCATED, "connection closed")
            return

    def _begin_answer(self, head: h11.Response) -> None:
        """Store the head of an answer and find how its body is framed.

        An answer with a body must state its length or be chunked, because
        the end of a connection doesn't show that the body is complete.
        """
        self._answer = head
        self._answer_size = 0
        self._chunks = []
        self._headers = lowercase_headers(head)
        self._has_framing = False
        self._close_announced = False
        for name, value in self._headers:
            if name in FRAMING_HEADERS:
                self._has_framing = True
            elif name == b"connection":
                self._close_announced = b"close" in value.lower()

    def _collect(self, data: bytes) -> None:
        """Add a part of the body; fail if it exceeds the limit."""
        if not self._has_framing:
            self._fail(
                ANSWER_INVALID,
                "answer has neither a content length nor chunked framing",
            )
            return
        self._answer_size += len(data)
        if self._answer_size > self._max_answer:
            detail = f"over {self._max_answer} bytes"
            self._fail(ANSWER_TOO_LARGE, detail)
            return
        self._chunks.append(data)

    def _finish_answer(self) -> None:
        """Return the complete answer; reuse or close the connection."""
        head = self._answer
        waiter = self._waiter
        if head is None or waiter is None:
            self._fail(ANSWER_INVALID, "answer has no head")
            return
        closing = self._close_announced
        answer = Answer(
            head.status_code, self._headers, b"".join(self._chunks), closing
        )
        self._answer = None
        self._chunks = []
        if self._h11.trailing_data[0]:
            # There are unsolicited bytes after the answer.
            closing = True
        if closing or self._h11.our_state is not h11.DONE:
            waiter.set_result(Success(answer))
            self.close()
            return
        try:
            self._h11.start_next_cycle()
        except h11.LocalProtocolError:
            self.close()
        waiter.set_result(Success(answer))

    def _set_timer(
        self, loop: asyncio.AbstractEventLoop, expires_at: float
    ) -> None:
        """Set the timer to fire no later than the exchange expires."""
        self._expires_at = expires_at
        timer = self._timer
        if timer is not None:
            if timer.when() <= expires_at:
                return
            timer.cancel()
        self._timer = loop.call_at(expires_at, self._on_timer)

    def _note_progress(self, limits: ProgressLimits) -> None:
        """Note the arrival of a part of an incomplete answer.

        Only the first part sets the timer, which accounts for the others
        when it fires.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._last_byte_at = now
        if self._answer_ends_at is None:
            self._answer_ends_at = now + limits.answer_s
            self._set_timer(loop, now + min(limits.idle_s, limits.answer_s))

    def _on_timer(self) -> None:
        """Fail the exchange in progress if it has timed out.

        This closes the connection, so a late answer is discarded.
        """
        self._timer = None
        if self._waiter is None or self._waiter.done():
            return
        loop = asyncio.get_running_loop()
        expires_at = self._expires_at
        if self._progress is not None and self._answer_ends_at is not None:
            idle_until = self._last_byte_at + self._progress.idle_s
            expires_at = min(idle_until, self._answer_ends_at)
        if loop.time() < expires_at:
            # The timer was set for an earlier exchange or an earlier byte.
            self._set_timer(loop, expires_at)
            return
        self._fail(ANSWER_TIMEOUT, "no complete answer before the timeout")

    def _fail(self, code: ErrorCode, detail: str) -> None:
        """End the exchange in progress with a fault; close the connection."""
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(
                Failure(self._fault(code, detail, maybe_sent=True))
            )
        self.close()

    def _fault(
        self, code: ErrorCode, detail: str, *, maybe_sent: bool
    ) -> ExchangeFault:
        """Return a fault that names this connection's peer."""
        step = Step.RECEIVE if maybe_sent else Step.SEND
        return ExchangeFault(
            code, step, self._peer, detail, self._peer_name, maybe_sent
        )
