"""Accepts connections, a bounded number in each turn of the event loop.

`loop.create_server` accepts as many connections at once as its backlog holds.
When the process is out of file descriptors, it logs an error for each of
them.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from lycheelug.logs import log_change

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

__all__ = ["Acceptor"]

ACCEPTS_PER_TURN: Final = 16
# Pause after an error, such as too many open descriptors.
RETRY_S: Final = 1.0


class Acceptor:
    """Accepts the connections of a listening socket."""

    __slots__ = (
        "_listener",
        "_loop",
        "_make_protocol",
        "_retry",
        "_tasks",
        "failures",
    )

    def __init__(
        self,
        listener: socket.socket,
        make_protocol: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        self._listener = listener
        self._make_protocol = make_protocol
        self._loop = asyncio.get_running_loop()
        # Tasks that set up accepted connections.
        self._tasks: set[asyncio.Task[object]] = set()
        self._retry: asyncio.TimerHandle | None = None
        # The number of times that accepting has failed.
        self.failures = 0

    @property
    def port(self) -> int:
        """The port on which the socket listens."""
        return int(self._listener.getsockname()[1])

    def start(self) -> None:
        """Accept connections from now on."""
        self._retry = None
        self._loop.add_reader(self._listener.fileno(), self._accept_some)

    def accept_backlog(self) -> None:
        """Accept all connections that wait in the backlog."""
        while self._listener.fileno() >= 0 and self._accept():
            continue

    def close(self) -> None:
        """Stop listening; accepted connections stay open."""
        if self._listener.fileno() < 0:
            return
        if self._retry is not None:
            self._retry.cancel()
        self._loop.remove_reader(self._listener.fileno())
        self._listener.close()

    def _accept_some(self) -> None:
        """Accept some of the waiting connections."""
        for _ in range(ACCEPTS_PER_TURN):
            if not self._accept():
                return

    def _accept(self) -> bool:
        """Accept one connection; return False if that was not possible."""
        try:
            accepted, _ = self._listener.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except ConnectionAbortedError:
            return True
        except OSError as error:
            self._pause(error)
            return False
        accepted.setblocking(False)
        task = self._loop.create_task(
            self._loop.connect_accepted_socket(self._make_protocol, accepted)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    def _pause(self, error: OSError) -> None:
        """Accept no connections for a while after an error."""
        self.failures += 1
        if self._retry is not None:
            return
        log_change("accept-failed", error=str(error), failures=self.failures)
        self._loop.remove_reader(self._listener.fileno())
        self._retry = self._loop.call_later(RETRY_S, self.start)
