"""An HTTP/1.1 server that hands whole requests to a handler.

It keeps the bounded table of connections.  One sweep a second closes those
whose time is over, so a request sets no timer of its own.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Final

from lycheelug.http.messages import Answer, Request
from lycheelug.http.server_connection import ServerConnection, ServerLimits
from lycheelug.logs import log_change

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from lycheelug.errors import ErrorCode

    Handler = Callable[[Request], Awaitable[Answer]]
    # Makes the answer to a request that the server itself refuses.
    Refuser = Callable[[ErrorCode, str], Answer]

__all__ = ["HttpServer", "ServerConnection", "ServerLimits"]

SWEEP_PERIOD_S: Final = 1.0
# Connections that may wait to be accepted.
BACKLOG: Final = 1024


class HttpServer:
    """Listens on one address and keeps the connection table."""

    __slots__ = (
        "_connections",
        "_listener",
        "_loop",
        "_server",
        "_sweeper",
        "_taken",
        "announce_close",
        "draining",
        "handler",
        "limits",
        "now",
        "on_refused",
        "refuser",
    )

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        refuser: Refuser | None = None,
        on_refused: Callable[[ErrorCode], None] | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.refuser = refuser or _plain_refusal
        self.on_refused = on_refused or _ignore
        self.draining = False
        # Each answer from now on asks its client to close.
        self.announce_close = False
        # The time of the loop; set by `start`.
        self.now: Callable[[], float] = _not_started
        self._connections: set[ServerConnection] = set()
        # Connections of the backlog that are being set up.
        self._taken: set[asyncio.Task[object]] = set()
        self._server: asyncio.Server | None = None
        self._listener: socket.socket | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    @property
    def port(self) -> int:
        """The port listened on; valid after `start`."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def connections(self) -> int:
        """How many clients are connected."""
        return len(self._connections)

    @property
    def busy_connections(self) -> int:
        """How many connections have a request in progress."""
        return sum(1 for item in self._connections if item.busy)

    async def start(self, host: str, port: int) -> None:
        """Listen on an address; raise OSError where that fails."""
        self._loop = asyncio.get_running_loop()
        self.now = self._loop.time
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._listener = socket.create_server(
            (host, port), family=family, backlog=BACKLOG
        )
        self._listener.setblocking(False)
        self._server = await self._loop.create_server(
            lambda: ServerConnection(self),
            sock=self._listener,
            backlog=BACKLOG,
        )
        self._sweep()

    def refuse_new_requests(self) -> None:
        """Refuse the requests that begin from now on."""
        self.draining = True

    def stop_accepting(self) -> None:
        """Take no new connections; what has come is still answered.

        Connections in the backlog are taken first: closing the listener
        would reset them.  Idle connections stay open, as a request may be
        on its way: it is told that the server stops.
        """
        self.draining = True
        if self._server is not None:
            self._accept_backlog()
            self._server.close()

    def is_idle_for(self, idle_s: float) -> bool:
        """Whether all connections have been idle for at least `idle_s`."""
        now = self.now()
        for connection in self._connections:
            if connection.busy or now - connection.idle_since < idle_s:
                return False
        return True

    def close_idle(self) -> bool:
        """Close the connections on which nothing has come; True if all.

        One with unread bytes stays: closing it would reset a request that
        has reached this host, which is told that the server stops instead.
        """
        for connection in tuple(self._connections):
            if not connection.busy and not connection.has_unread():
                connection.close()
        return all(each.is_closing for each in self._connections)

    def stop(self) -> None:
        """Close everything now."""
        self.stop_accepting()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in tuple(self._connections):
            connection.close()

    # --- For the connections.

    def add_connection(self, connection: ServerConnection) -> bool:
        """Add a connection; False where the table is full."""
        if len(self._connections) >= self.limits.max_connections:
            return False
        self._connections.add(connection)
        return True

    def remove_connection(self, connection: ServerConnection) -> None:
        """Remove a connection."""
        self._connections.discard(connection)

    def _accept_backlog(self) -> None:
        """Take the connections that wait in the listener's backlog."""
        assert self._loop is not None
        assert self._listener is not None
        while True:
            try:
                accepted, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                log_change("backlog-not-taken", error=str(error))
                return
            accepted.setblocking(False)
            task = self._loop.create_task(
                self._loop.connect_accepted_socket(
                    lambda: ServerConnection(self), accepted
                )
            )
            self._taken.add(task)
            task.add_done_callback(self._taken.discard)

    def _sweep(self) -> None:
        """Expire the connections whose time is over; runs by itself."""
        assert self._loop is not None
        now = self._loop.time()
        for connection in tuple(self._connections):
            if connection.expires_at <= now:
                connection.expire()
        self._sweeper = self._loop.call_later(SWEEP_PERIOD_S, self._sweep)


def _plain_refusal(code: ErrorCode, detail: str) -> Answer:
    """Return a refusal as plain text."""
    text = f"{code.name}: {code.text} {detail}\n"
    return Answer(
        code.status, [(b"content-type", b"text/plain")], text.encode()
    )


def _not_started() -> float:
    """Return no time: there is no loop yet."""
    raise RuntimeError("the server has not been started")


def _ignore(code: ErrorCode) -> None:
    """Count nothing."""
