"""An HTTP/1.1 server that passes complete requests to a handler.

The number of connections is bounded.  A sweep once a second closes the
connections that have timed out, so that no request needs its own timer.
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
    # Returns the answer to a request that the server itself rejects.
    RefusalMaker = Callable[[ErrorCode, str], Answer]

__all__ = ["HttpServer", "ServerConnection", "ServerLimits"]

SWEEP_PERIOD_S: Final = 1.0
# The maximum number of connections that wait to be accepted.
BACKLOG: Final = 1024


class HttpServer:
    """Listens on one address and keeps the set of connections."""

    __slots__ = (
        "_accepting",
        "_connections",
        "_listener",
        "_loop",
        "_server",
        "_sweep_timer",
        "announce_close",
        "handler",
        "is_draining",
        "limits",
        "make_refusal",
        "now",
        "on_refused",
    )

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        make_refusal: RefusalMaker | None = None,
        on_refused: Callable[[ErrorCode], None] | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.make_refusal = make_refusal or _plain_text_refusal
        self.on_refused = on_refused or _ignore
        self.is_draining = False
        # Whether each answer tells its client to close the connection.
        self.announce_close = False
        # Returns the time of the event loop; set by `start`.
        self.now: Callable[[], float] = _not_started
        self._connections: set[ServerConnection] = set()
        # Tasks that set up connections from the backlog.
        self._accepting: set[asyncio.Task[object]] = set()
        self._server: asyncio.Server | None = None
        self._listener: socket.socket | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    @property
    def port(self) -> int:
        """The port on which the server listens; valid after `start`."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def connections(self) -> int:
        """The number of connections."""
        return len(self._connections)

    @property
    def busy_connections(self) -> int:
        """The number of connections with a request in progress."""
        return sum(1 for connection in self._connections if connection.is_busy)

    async def start(self, host: str, port: int) -> None:
        """Listen on an address; raise OSError if this fails."""
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
        """Reject the requests that begin from now on."""
        self.is_draining = True

    def stop_accepting(self) -> None:
        """Accept no new connections; still answer requests that arrived.

        Connections in the backlog are accepted first, because closing the
        listener would reset them.  Idle connections stay open, because a
        request may be in transit; it is answered that the server stops.
        """
        self.is_draining = True
        if self._server is not None:
            self._accept_backlog()
            self._server.close()

    def is_idle_for(self, idle_s: float) -> bool:
        """Whether all connections have been idle for at least `idle_s`."""
        now = self.now()
        for connection in self._connections:
            if connection.is_busy or now - connection.idle_since < idle_s:
                return False
        return True

    def close_idle(self) -> bool:
        """Close the idle connections; return whether all are closing.

        A connection with unread bytes stays open.  Closing it would reset a
        request that has already arrived at this host; instead, this request
        is answered that the server stops.
        """
        for connection in tuple(self._connections):
            if not connection.is_busy and not connection.has_unread_input():
                connection.close()
        return all(connection.is_closing for connection in self._connections)

    def stop(self) -> None:
        """Stop accepting connections and close all of them now."""
        self.stop_accepting()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for connection in tuple(self._connections):
            connection.close()

    # --- Called by the connections.

    def add_connection(self, connection: ServerConnection) -> bool:
        """Add a connection; return False if there are too many."""
        if len(self._connections) >= self.limits.max_connections:
            return False
        self._connections.add(connection)
        return True

    def remove_connection(self, connection: ServerConnection) -> None:
        """Remove a connection."""
        self._connections.discard(connection)

    def _accept_backlog(self) -> None:
        """Accept the connections that wait in the listener's backlog."""
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
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)

    def _sweep(self) -> None:
        """Expire connections that have timed out; schedule the next sweep."""
        assert self._loop is not None
        now = self._loop.time()
        for connection in tuple(self._connections):
            if connection.expires_at <= now:
                connection.expire()
        self._sweep_timer = self._loop.call_later(SWEEP_PERIOD_S, self._sweep)


def _plain_text_refusal(code: ErrorCode, detail: str) -> Answer:
    """Return an error answer as plain text."""
    text = f"{code.name}: {code.text} {detail}\n"
    return Answer(
        code.status, [(b"content-type", b"text/plain")], text.encode()
    )


def _not_started() -> float:
    """Raise an error: there is no event loop before `start`."""
    raise RuntimeError("the server has not been started")


def _ignore(code: ErrorCode) -> None:
    """Do nothing; the default for `on_refused`."""
