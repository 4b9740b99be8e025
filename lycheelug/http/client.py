"""A client of one address that keeps idle connections for reuse."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Result, Success

from lycheelug.http.client_connection import (
    CONNECT_TIMEOUT_S,
    MAX_ANSWER_BYTES,
    ClientConnection,
    ExchangeFault,
    open_connection,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.errors import Peer
    from lycheelug.http.messages import Answer, Request

    ExchangeResult = Result[Answer, ExchangeFault]

__all__ = ["ClientConnection", "ExchangeFault", "HttpClient"]

# Kept-alive connections idle for longer are not used again: the peer may
# be about to close them.
IDLE_REUSE_S: Final = 5.0
MAX_IDLE_CONNECTIONS: Final = 64


class HttpClient:
    """A client of one address that keeps some idle connections.

    With `reuse_idle_s` the caller bounds how long a connection may have
    been idle; 0 asks for a new one.
    """

    __slots__ = (
        "_address",
        "_clock",
        "_connect_s",
        "_idle",
        "_max_answer",
        "_peer",
    )

    def __init__(
        self,
        address: str,
        peer: Peer,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        clock: Callable[[], float] | None = None,
        connect_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self._connect_s = connect_s
        self._address = address
        self._peer = peer
        self._max_answer = max_answer_bytes
        self._clock = clock
        self._idle: list[ClientConnection] = []

    @property
    def address(self) -> str:
        """The address that this client talks to."""
        return self._address

    @property
    def idle_connections(self) -> int:
        """How many idle connections are kept."""
        return len(self._idle)

    async def request(
        self,
        request: Request,
        timeout_s: float,
        reuse_idle_s: float = IDLE_REUSE_S,
    ) -> Result[Answer, ExchangeFault]:
        """Exchange a request on an idle or a new connection."""
        connection = self._take_idle(reuse_idle_s)
        if connection is None:
            loop = asyncio.get_running_loop()
            started = loop.time()
            opened = await open_connection(
                self._address,
                self._peer,
                min(timeout_s, self._connect_s),
                self._max_answer,
            )
            match opened:
                case Success(made):
                    connection = made
                case Failure(fault):
                    return Failure(fault)
            timeout_s = max(0.001, timeout_s - (loop.time() - started))
        assert connection is not None
        result = await connection.exchange(request, timeout_s)
        if connection.usable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.close()
        return result

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _take_idle(self, reuse_idle_s: float) -> ClientConnection | None:
        """Return the connection used last, if it is still good."""
        if not self._idle:
            return None
        now = (self._clock or asyncio.get_running_loop().time)()
        while self._idle:
            connection = self._idle.pop()
            if not connection.usable:
                continue
            if now - connection.idle_since > reuse_idle_s:
                connection.close()
                continue
            return connection
        return None
