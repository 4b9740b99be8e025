"""An HTTP/1.1 client of one address that reuses idle connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Result, Success

from lycheelug.errors import CONNECT_FAILED, SEND_FAILED, Peer, Step
from lycheelug.http.client_connection import (
    MAX_ANSWER_BYTES,
    ClientConnection,
    ExchangeFault,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.http.limits import ProgressLimits
    from lycheelug.http.messages import Answer, Request

    ExchangeResult = Result[Answer, ExchangeFault]

__all__ = ["ClientConnection", "ExchangeFault", "HttpClient"]

# Connections that were idle for longer than this are not reused, because the
# peer may be about to close them.
MAX_REUSE_IDLE_S: Final = 5.0
MAX_IDLE_CONNECTIONS: Final = 64
CONNECT_TIMEOUT_S: Final = 1.0


class HttpClient:
    """A client of one address with a bounded set of idle connections.

    `reuse_idle_s` limits how long a reused connection may have been idle;
    0 requires a new connection.  With `unsent_max_s`, bytes that the peer has
    not received after that time, or when the connection is closed, are
    discarded.
    """

    __slots__ = (
        "_address",
        "_clock",
        "_connect_s",
        "_idle",
        "_longest_reuse_s",
        "_max_answer",
        "_peer",
        "_unsent_max_s",
    )

    def __init__(
        self,
        address: str,
        peer: Peer,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        clock: Callable[[], float] | None = None,
        connect_s: float = CONNECT_TIMEOUT_S,
        unsent_max_s: float = 0.0,
    ) -> None:
        self._connect_s = connect_s
        self._unsent_max_s = unsent_max_s
        self._address = address
        self._peer = peer
        self._max_answer = max_answer_bytes
        self._clock = clock
        self._idle: list[ClientConnection] = []
        # The longest idle time after which a request has used a connection.
        self._longest_reuse_s = MAX_REUSE_IDLE_S

    @property
    def address(self) -> str:
        """The address to which this client connects."""
        return self._address

    @property
    def idle_connections(self) -> int:
        """The number of idle connections."""
        return len(self._idle)

    async def request(
        self,
        request: Request,
        timeout_s: float,
        reuse_idle_s: float = MAX_REUSE_IDLE_S,
        progress: ProgressLimits | None = None,
        may_send: Callable[[], bool] | None = None,
    ) -> Result[Answer, ExchangeFault]:
        """Send a request on an idle or a new connection; return its answer.

        The timeout includes the time to connect.  It limits the time to the
        complete answer or, with `progress`, to the answer's first byte.
        `may_send` is asked when the request can be written at once; if it
        returns False, nothing is sent and the connection is kept.
        """
        loop = asyncio.get_running_loop()
        connection = self._take_idle(reuse_idle_s)
        if connection is None:
            started = loop.time()
            opened = await _open_connection(
                self._address,
                self._peer,
                min(timeout_s, self._connect_s),
                self._max_answer,
                self._unsent_max_s,
            )
            match opened:
                case Success(opened_connection):
                    connection = opened_connection
                case Failure(fault):
                    return Failure(fault)
            timeout_s = max(0.001, timeout_s - (loop.time() - started))
        assert connection is not None
        if may_send is not None and not may_send():
            connection.idle_since = (self._clock or loop.time)()
            self._keep(connection, reuse_idle_s)
            return Failure(self._not_permitted())
        result = await connection.exchange(request, timeout_s, progress)
        self._keep(connection, reuse_idle_s)
        return result

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _keep(self, connection: ClientConnection, reuse_idle_s: float) -> None:
        """Keep a connection for the next request if it can be reused.

        Connections that have been idle for too long are closed.  Those that
        were used last are reused first, so the others would stay open.
        """
        limit_s = self._longest_reuse_s = max(
            self._longest_reuse_s, reuse_idle_s
        )
        now = (self._clock or asyncio.get_running_loop().time)()
        while self._idle and now - self._idle[0].idle_since > limit_s:
            self._idle.pop(0).close()
        if connection.is_usable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.close()

    def _not_permitted(self) -> ExchangeFault:
        """Return the fault of a request that may not be sent any more."""
        return ExchangeFault(
            SEND_FAILED,
            Step.SEND,
            self._peer,
            "not permitted any more",
            self._address,
            False,
        )

    def _take_idle(self, reuse_idle_s: float) -> ClientConnection | None:
        """Return the most recently used idle connection that is usable."""
        if not self._idle:
            return None
        now = (self._clock or asyncio.get_running_loop().time)()
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_usable:
                continue
            if now - connection.idle_since > reuse_idle_s:
                connection.close()
                continue
            return connection
        return None


async def _open_connection(
    address: str,
    peer: Peer,
    timeout_s: float,
    max_answer_bytes: int,
    unsent_max_s: float,
) -> Result[ClientConnection, ExchangeFault]:
    """Connect to `ip:port`; if this fails, nothing was sent."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()

    def make_connection() -> ClientConnection:
        return ClientConnection(peer, address, max_answer_bytes, unsent_max_s)

    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                make_connection, host.strip("[]"), int(port)
            )
    except (OSError, ValueError, OverflowError) as error:
        detail = str(error) or "timed out"
        return Failure(
            ExchangeFault(
                CONNECT_FAILED, Step.CONNECT, peer, detail, address, False
            )
        )
    return Success(connection)
