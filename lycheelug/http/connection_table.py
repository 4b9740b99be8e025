"""The connections of an HTTP server, and what they hold in memory.

A new connection that exceeds the limit takes the place of the one that has
been idle for the longest time.  If the connections hold too many bytes, those
with the largest incomplete requests or unread answers are ended first.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lycheelug.http.server_connection import ServerConnection
    from lycheelug.http.server_limits import ServerLimits

__all__ = ["ConnectionTable"]

# A request may be in transit on a connection that was idle for less.
EVICTION_IDLE_S: Final = 0.5
# Connections with unread input that are passed over to find an idle one.
EVICTION_TRIES: Final = 16
# The share of `max_connections` that may be refused and not closed yet.
REFUSED_SHARE: Final = 1 / 8


class ConnectionTable:
    """The connections of one server."""

    __slots__ = (
        "_addresses",
        "_connections",
        "_idle",
        "_limits",
        "_refused",
        "counts",
        "held_bytes",
    )

    def __init__(self, limits: ServerLimits) -> None:
        self._limits = limits
        # Connections by their client's address.
        self._connections: dict[ServerConnection, str] = {}
        # The idle connections, longest idle first.
        self._idle: dict[ServerConnection, None] = {}
        # Connections above the limit that still receive their refusal.
        self._refused: set[ServerConnection] = set()
        self._addresses: Counter[str] = Counter()
        # Bytes of bodies and unsent answers.
        self.held_bytes = 0
        # Connections that were closed, by reason.
        self.counts: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._connections)

    def __iter__(self) -> Iterator[ServerConnection]:
        """Iterate over a copy, so that connections may be removed."""
        return iter(tuple(self._connections))

    def all(self) -> list[ServerConnection]:
        """Return all connections, also those above the limit."""
        return [*self._connections, *self._refused]

    def add(self, connection: ServerConnection, now: float) -> bool:
        """Add a connection; return False if there are too many."""
        limits = self._limits
        per_address = limits.max_connections_per_address
        address = connection.address
        if per_address and self._addresses[address] >= per_address:
            return False
        if len(self._connections) >= limits.max_connections:
            self._evict(now)
        if len(self._connections) >= limits.max_connections:
            return False
        self._connections[connection] = address
        self._addresses[address] += 1
        self._idle[connection] = None
        return True

    def add_refused(self, connection: ServerConnection) -> bool:
        """Add a connection that is refused; return False to abort it."""
        limit = max(1, int(self._limits.max_connections * REFUSED_SHARE))
        if len(self._refused) >= limit:
            self.counts["aborted"] += 1
            return False
        self._refused.add(connection)
        return True

    def remove(self, connection: ServerConnection) -> None:
        """Remove a connection, if it is present."""
        self._refused.discard(connection)
        self._idle.pop(connection, None)
        address = self._connections.pop(connection, None)
        if address is None:
            return
        self._addresses[address] -= 1
        if self._addresses[address] <= 0:
            del self._addresses[address]

    def set_idle(self, connection: ServerConnection, is_idle: bool) -> None:
        """Record that a connection has become idle or busy."""
        self._idle.pop(connection, None)
        if is_idle and connection in self._connections:
            self._idle[connection] = None

    def hold(self, change: int) -> None:
        """Change the number of bytes held; end connections if needed."""
        self.held_bytes += change
        if change > 0 and self.held_bytes > self._limits.max_held_bytes:
            self._release()

    def _evict(self, now: float) -> None:
        """Close the connection that has been idle for the longest time."""
        tries = EVICTION_TRIES
        for connection in tuple(self._idle):
            if now - connection.idle_since < EVICTION_IDLE_S or not tries:
                return
            tries -= 1
            if connection.has_unread_input():
                continue
            self.counts["evicted"] += 1
            self.remove(connection)
            connection.close()
            return

    def _release(self) -> None:
        """End the connections that hold the most until the rest fits."""
        while self.held_bytes > self._limits.max_held_bytes:
            largest: ServerConnection | None = None
            for connection in self._connections:
                if not connection.is_releasable:
                    continue
                if largest is None or largest.held < connection.held:
                    largest = connection
            if largest is None or not largest.held:
                return
            self.counts["released"] += 1
            largest.release()
