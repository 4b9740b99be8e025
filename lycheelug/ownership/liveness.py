"""Which daemons are alive, by whether their heartbeat rows still change.

Only the local time since a row last changed counts, so daemons need no
common clock.  A false alarm costs work, never safety: what a daemon may do
is decided by conditional writes and fencing tokens.
"""

from __future__ import annotations

from typing import Final

__all__ = ["GRACE_S", "HEARTBEAT_TIMEOUT_S", "Liveness"]

# A daemon whose heartbeat stood still for this long is taken as dead:
# three heartbeat periods.
HEARTBEAT_TIMEOUT_S: Final = 1.2

# Heartbeats of others are as slow as this daemon's own: its last write and
# read come to this many times on top.
DELAY_FACTOR: Final = 2.0

# Who lives writes its heartbeat within this time of the store's return:
# a heartbeat period and a call.
GRACE_S: Final = 0.8


class _Peer:
    """One daemon's last heartbeat."""

    __slots__ = (
        "changed_at",
        "incarnation",
        "is_settled",
        "leaving",
        "version",
    )

    def __init__(
        self,
        incarnation: str,
        version: int,
        changed_at: float,
        leaving: bool,
        is_settled: bool,
    ) -> None:
        self.incarnation = incarnation
        self.version = version
        self.changed_at = changed_at
        self.leaving = leaving
        self.is_settled = is_settled


class Liveness:
    """The daemons that this one has seen, and when they last moved.

    >>> peers = Liveness()
    >>> peers.record_heartbeat("e1", "a", version=1, now=10.0)
    >>> peers.is_alive("e1", "a", now=11.0), peers.is_alive("e1", "b", 11.0)
    (True, False)
    >>> peers.is_alive("e1", "a", now=14.0)
    False
    >>> peers.record_write_delay(2.0)
    >>> peers.is_alive("e1", "a", now=14.0)
    True
    """

    __slots__ = ("_delay_s", "_peers", "_read_at")

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}
        # How long the store last took for this daemon's heartbeat.
        self._delay_s = 0.0
        # Local time of the last successful look at all rows.
        self._read_at: float | None = None

    def record_heartbeat(
        self,
        name: str,
        incarnation: str,
        version: int,
        now: float,
        leaving: bool = False,
        is_settled: bool = True,
    ) -> None:
        """Take in one heartbeat row.

        A daemon settles after some heartbeats; until then it claims
        nothing, and is given nothing while others can be.
        """
        peer = self._peers.get(name)
        if peer is not None and peer.version >= version:
            return
        self._peers[name] = _Peer(
            incarnation, version, now, leaving, is_settled
        )

    def refresh(self, name: str, incarnation: str, now: float) -> None:
        """Take in that a daemon lives, whatever its row says."""
        peer = self._peers.get(name)
        if peer is not None and peer.incarnation == incarnation:
            peer.changed_at = now

    def record_write_delay(self, delay_s: float) -> None:
        """Take in how long the store took for this daemon's heartbeat."""
        self._delay_s = max(delay_s, self._delay_s / 2)

    def record_read(self, now: float, gap_s: float) -> None:
        """Take in that all rows were read now.

        After a gap (the store was away, or this daemon was suspended)
        nobody is blamed for rows that could not be seen to change: the
        living have `GRACE_S` to write theirs.
        """
        last = self._read_at
        self._read_at = now
        if last is None or now - last <= gap_s:
            return
        assumed_at = now - self._timeout_s() + GRACE_S
        for peer in self._peers.values():
            peer.changed_at = max(peer.changed_at, assumed_at)

    def is_current(self, now: float, age_s: float) -> bool:
        """Whether all rows were read lately: no claim rests on old ones."""
        return self._read_at is not None and now - self._read_at < age_s

    def remove(self, name: str) -> None:
        """Forget a daemon whose row was removed."""
        self._peers.pop(name, None)

    def is_alive(self, name: str, incarnation: str, now: float) -> bool:
        """Whether this life of a daemon still moves."""
        peer = self._peers.get(name)
        if peer is None or peer.incarnation != incarnation:
            return False
        return now - peer.changed_at < self._timeout_s()

    def alive(self, now: float) -> list[str]:
        """Return the daemons that may be given duties, sorted."""
        settled: list[str] = []
        found: list[str] = []
        timeout_s = self._timeout_s()
        for name, peer in self._peers.items():
            if peer.leaving or now - peer.changed_at >= timeout_s:
                continue
            found.append(name)
            if peer.is_settled:
                settled.append(name)
        return sorted(settled or found)

    def _timeout_s(self) -> float:
        """Return how long a living daemon's row may stand still."""
        return HEARTBEAT_TIMEOUT_S + DELAY_FACTOR * self._delay_s
