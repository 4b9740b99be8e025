"""An HTTP/1.1 client connection that carries one exchange at a time.

A connection is good for another exchange only after a whole, well-framed
answer.  Anything else (timeout, cancellation, error, bytes that nobody
asked for, an answer framed by the end of the connection) closes it, so a
late or crossed answer can never reach the wrong request.

Each failure says whether a byte of the request may have left (`maybe_sent`):
only where it has not may anybody be told that the request was not run.
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
    CONNECT_FAILED,
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
    lowered_headers,
)

if TYPE_CHECKING:
    ExchangeResult = Result[Answer, "ExchangeFault"]

__all__ = [
    "CONNECT_TIMEOUT_S",
    "MAX_ANSWER_BYTES",
    "ClientConnection",
    "ExchangeFault",
    "open_connection",
]

MAX_ANSWER_BYTES: Final = 8 * 1024 * 1024
FRAMING_HEADERS: Final = frozenset({b"content-length", b"transfer-encoding"})
MAX_ANSWER_HEAD_BYTES: Final = 64 * 1024
CONNECT_TIMEOUT_S: Final = 1.0
# Events are immutable, so one may be sent again and again.
END_OF_MESSAGE: Final = h11.EndOfMessage()


class ExchangeFault(Fault):
    """A fault of an exchange; `maybe_sent` says that a byte may have left."""

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
        "_answer_size",
        "_chunks",
        "_closing",
        "_expires_at",
        "_framed",
        "_h11",
        "_headers",
        "_lost",
        "_max_answer",
        "_peer",
        "_peer_name",
        "_timer",
        "_transport",
        "_waiter",
        "idle_since",
    )

    def __init__(
        self,
        peer: Peer,
        peer_name: str,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._peer = peer
        self._peer_name = peer_name
        self._max_answer = max_answer_bytes
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_ANSWER_HEAD_BYTES
        )
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[ExchangeResult] | None = None
        # One timer serves many exchanges: it is moved only when it fires
        # or where an exchange must end before it would.
        self._timer: asyncio.TimerHandle | None = None
        self._expires_at = 0.0
        self._answer: h11.Response | None = None
        self._answer_size = 0
        self._chunks: list[bytes] = []
        self._headers: RawHeaders = []
        self._framed = False
        self._closing = False
        self._lost = False
        self.idle_since = 0.0

    @property
    def usable(self) -> bool:
        """Whether another exchange may start on this connection."""
        transport = self._transport
        return (
            transport is not None
            and not self._lost
            and not transport.is_closing()
            and self._waiter is None
            and self._h11.our_state is h11.IDLE
        )

    # --- Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast("asyncio.Transport", transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress: its answer can't be whole."""
        self._lost = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        detail = str(exc) if exc else "connection closed"
        self._fail(ANSWER_TRUNCATED, detail)

    def data_received(self, data: bytes) -> None:
        """Feed the parser; close on bytes that nobody asked for."""
        if self._waiter is None or self._waiter.done():
            self.close()
            return
        self._h11.receive_data(data)
        self._advance()

    def eof_received(self) -> bool:
        """Treat the end of the peer's bytes as the connection's end."""
        return False

    # --- The exchange.

    async def exchange(
        self, request: Request, timeout_s: float
    ) -> Result[Answer, ExchangeFault]:
        """Send a request and return its whole answer.

        A cancelled exchange closes the connection.
        """
        transport = self._transport
        if transport is None or not self.usable:
            return Failure(
                self._fault(SEND_FAILED, "not usable", maybe_sent=False)
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
        """Close at once; an exchange in progress fails as truncated."""
        if self._transport is not None:
            self._transport.abort()

    def _encode(self, request: Request) -> bytes:
        """Return the bytes of a request and advance the state machine."""
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
        """Take the parser's events until it wants more bytes."""
        while self._waiter is not None and not self._waiter.done():
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                self._fail(ANSWER_INVALID, str(error))
                return
            # h11's events are final, and instance checks of them are slow.
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
        """Start collecting; the end of a connection is no framing."""
        self._answer = head
        self._answer_size = 0
        self._chunks = []
        self._headers = lowered_headers(head)
        self._framed = False
        self._closing = False
        for name, value in self._headers:
            if name in FRAMING_HEADERS:
                self._framed = True
            elif name == b"connection":
                self._closing = b"close" in value.lower()

    def _collect(self, data: bytes) -> None:
        """Add a part of the body within the limit."""
        if not self._framed:
            self._fail(ANSWER_INVALID, "answer has no length")
            return
        self._answer_size += len(data)
        if self._answer_size > self._max_answer:
            detail = f"over {self._max_answer} bytes"
            self._fail(ANSWER_TOO_LARGE, detail)
            return
        self._chunks.append(data)

    def _finish_answer(self) -> None:
        """Hand the whole answer over and make the connection reusable."""
        head = self._answer
        waiter = self._waiter
        if head is None or waiter is None:
            self._fail(ANSWER_INVALID, "answer without a head")
            return
        closing = self._closing
        answer = Answer(
            head.status_code, self._headers, b"".join(self._chunks), closing
        )
        self._answer = None
        self._chunks = []
        if self._h11.trailing_data[0]:
            # Bytes after the answer: nothing asked for them.
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
        """Make sure that the timer fires no later than the exchange ends."""
        self._expires_at = expires_at
        timer = self._timer
        if timer is not None:
            if timer.when() <= expires_at:
                return
            timer.cancel()
        self._timer = loop.call_at(expires_at, self._on_timer)

    def _on_timer(self) -> None:
        """Fail the exchange in progress if its time is over.

        Its late answer dies with the connection.
        """
        self._timer = None
        if self._waiter is None or self._waiter.done():
            return
        loop = asyncio.get_running_loop()
        if loop.time() < self._expires_at:
            # The timer was set for an earlier exchange.
            self._set_timer(loop, self._expires_at)
            return
        self._fail(ANSWER_TIMEOUT, "no whole answer in time")

    def _fail(self, code: ErrorCode, detail: str) -> None:
        """End the exchange in progress with a fault, and close."""
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(
                Failure(self._fault(code, detail, maybe_sent=True))
            )
        self.close()

    def _fault(
        self, code: ErrorCode, detail: str, *, maybe_sent: bool
    ) -> ExchangeFault:
        """Return a fault of this connection's peer."""
        step = Step.RECEIVE if maybe_sent else Step.SEND
        return ExchangeFault(
            code, step, self._peer, detail, self._peer_name, maybe_sent
        )


async def open_connection(
    address: str,
    peer: Peer,
    timeout_s: float = CONNECT_TIMEOUT_S,
    max_answer_bytes: int = MAX_ANSWER_BYTES,
) -> Result[ClientConnection, ExchangeFault]:
    """Connect to `ip:port`; nothing has been sent where this fails."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()

    def make() -> ClientConnection:
        return ClientConnection(peer, address, max_answer_bytes)

    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                make, host.strip("[]"), int(port)
            )
    except (OSError, ValueError) as error:
        detail = str(error) or "timed out"
        return Failure(
            ExchangeFault(
                CONNECT_FAILED, Step.CONNECT, peer, detail, address, False
            )
        )
    return Success(connection)
