"""An HTTP/1.1 server that passes complete requests to a handler.

The number of connections and the bytes that they hold are bounded.  A sweep
once a second closes the connections that have timed out, so that no request
needs its own timer, and logs how many requests and connections were refused.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from typing import TYPE_CHECKING, Final

from lycheelug.http.acceptor import Acceptor
from lycheelug.http.connection_table import ConnectionTable
from lycheelug.http.messages import Answer, Request
from lycheelug.http.server_connection import ServerConnection
from lycheelug.http.server_limits import READ_BYTES, ServerLimits
from lycheelug.http.sockets import limit_buffers
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
# Bytes that the system receives for a connection before they are read.
RECEIVE_BUFFER_BYTES: Final = 32 * 1024
UNAVAILABLE_STATUS: Final = 503
RETRY_AFTER: Final = (b"retry-after", b"1")


class HttpServer:
    """Listens on one address and keeps the set of connections."""

    __slots__ = (
        "_acceptor",
        "_loop",
        "_name",
        "_on_refused",
        "_refusals",
        "_sweep_timer",
        "announce_close",
        "handler",
        "is_draining",
        "limits",
        "make_refusal",
        "now",
        "read_buffer",
        "table",
    )

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        make_refusal: RefusalMaker | None = None,
        on_refused: Callable[[str], None] | None = None,
        name: str = "",
    ) -> None:
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.make_refusal = make_refusal or _plain_text_refusal
        # Called with the name of the reason.
        self._on_refused = on_refused or _ignore
        # The name in log lines.
        self._name = name
        self.is_draining = False
        # Whether each answer tells its client to close the connection.
        self.announce_close = False
        # Returns the time of the event loop; set by `start`.
        self.now: Callable[[], float] = _not_started
        self.table = ConnectionTable(self.limits)
        # The buffer for reads of all connections.
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        # Refusals since the last sweep, by reason.
        self._refusals: Counter[str] = Counter()
        self._acceptor: Acceptor | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._loop: asyncio.AbstractEventLoop | None = None

    @property
    def port(self) -> int:
        """The port on which the server listens; valid after `start`."""
        assert self._acceptor is not None
        return self._acceptor.port

    @property
    def connections(self) -> int:
        """The number of connections."""
        return len(self.table)

    @property
    def busy_connections(self) -> int:
        """The number of connections with a request in progress."""
        return sum(1 for connection in self.table if connection.is_busy)

    async def start(self, host: str, port: int) -> None:
        """Listen on an address; raise OSError if this fails."""
        self._loop = asyncio.get_running_loop()
        self.now = self._loop.time
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.create_server(
            (host, port), family=family, backlog=BACKLOG
        )
        listener.setblocking(False)
        limit_buffers(
            listener, RECEIVE_BUFFER_BYTES, self.limits.send_buffer_bytes
        )
        self._acceptor = Acceptor(listener, lambda: ServerConnection(self))
        self._acceptor.start()
        self._sweep()

    def refuse_new_requests(self) -> None:
        """Reject the requests that begin from now on."""
        self.is_draining = True

    def stop_accepting(self) -> None:
        """Accept no new connections; still answer requests that arrived.

        Connections in the backlog are accepted first, because closing the
        listener would reset them.  Idle connections stay open, because a
        request may be in transit; its answer is that the server is stopping.
        """
        self.is_draining = True
        if self._acceptor is not None:
            self._acceptor.accept_backlog()
            self._acceptor.close()

    def is_idle_for(self, idle_s: float) -> bool:
        """Return whether all connections were idle for at least `idle_s`."""
        now = self.now()
        for connection in self.table:
            if connection.is_busy or now - connection.idle_since < idle_s:
                return False
        return True

    def close_idle(self) -> bool:
        """Close the idle connections; return whether all are closing.

        A connection with unread bytes stays open.  Closing it would reset a
        request that has already arrived at this host; the answer to this
        request is that the server is stopping.
        """
        for connection in self.table:
            if not connection.is_busy and not connection.has_unread_input():
                connection.close()
        return all(connection.is_closing for connection in self.table)

    def stop(self) -> None:
        """Stop accepting connections and close all of them now."""
        self.stop_accepting()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for connection in self.table.all():
            connection.close()

    # --- Called by the connections.

    def add_connection(self, connection: ServerConnection) -> bool:
        """Add a connection; return False if there are too many."""
        return self.table.add(connection, self.now())

    def remove_connection(self, connection: ServerConnection) -> None:
        """Remove a connection."""
        self.table.remove(connection)

    def on_refused(self, code: ErrorCode) -> None:
        """Count a request that was not passed to the handler."""
        self._refusals[code.name] += 1
        self._on_refused(code.name)

    def _sweep(self) -> None:
        """Expire connections that have timed out; schedule the next sweep."""
        assert self._loop is not None
        now = self._loop.time()
        for connection in self.table.all():
            if connection.expires_at <= now:
                connection.expire()
        self._report()
        self._sweep_timer = self._loop.call_later(SWEEP_PERIOD_S, self._sweep)

    def _report(self) -> None:
        """Log and count what was refused or closed since the last sweep."""
        for reason, number in self.table.counts.items():
            self._refusals[f"connections-{reason}"] += number
            for _ in range(number):
                self._on_refused(f"connections-{reason}")
        self.table.counts.clear()
        if not self._refusals:
            return
        log_change(
            "clients-refused",
            listener=self._name,
            connections=len(self.table),
            held_bytes=self.table.held_bytes,
            **self._refusals,
        )
        self._refusals.clear()


def _plain_text_refusal(code: ErrorCode, detail: str) -> Answer:
    """Return an error answer as plain text."""
    text = f"{code.name}: {code.text} {detail}\n"
    headers = [(b"content-type", b"text/plain")]
    if code.status == UNAVAILABLE_STATUS:
        headers.append(RETRY_AFTER)
    return Answer(code.status, headers, text.encode())


def _not_started() -> float:
    """Raise an error: there is no event loop before `start`."""
    raise RuntimeError("the server has not been started")


def _ignore(reason: str) -> None:
    """Do nothing; the default for `on_refused`."""
