"""Failure detection of daemons by the changes of their heartbeat rows.

Only the local time since a row last changed counts, so daemons need no
common clock.  A false positive costs a takeover, but never safety, which
conditional writes and fencing tokens ensure.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = ["GRACE_S", "HEARTBEAT_TIMEOUT_S", "Liveness"]

# A daemon whose heartbeat has not changed for this long counts as dead:
# three heartbeat periods.
HEARTBEAT_TIMEOUT_S: Final = 1.2

# The others' heartbeats are assumed to be as slow as this daemon's own: the
# timeout is extended by its last write delay times this factor, for the
# write and the read.
DELAY_FACTOR: Final = 2.0

# A live daemon writes its heartbeat within this time after the store is
# reachable again: a heartbeat period and a call.
GRACE_S: Final = 0.8


class _Peer:
    """One daemon's last heartbeat."""

    __slots__ = (
        "changed_at",
        "incarnation",
        "is_settled",
        "leaving",
        "stalled",
        "version",
        "weight",
    )

    def __init__(
        self,
        incarnation: str,
        version: int,
        changed_at: float,
        leaving: bool,
        is_settled: bool,
        weight: float,
        stalled: Collection[str],
    ) -> None:
        self.incarnation = incarnation
        self.version = version
        self.changed_at = changed_at
        self.leaving = leaving
        self.is_settled = is_settled
        self.weight = weight
        self.stalled = frozenset(stalled)


class Liveness:
    """The known daemons and when their heartbeats last changed.

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

    __slots__ = ("_claims", "_delay_s", "_peers", "_read_at")

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}
        # By daemon: the incarnation, version and local time of its last
        # claim that was seen.
        self._claims: dict[str, tuple[str, int, float]] = {}
        # How long this daemon's last heartbeat write took.  After a slow
        # write, the value at most halves with each further heartbeat.
        self._delay_s = 0.0
        # Local time of the last successful read of all rows.
        self._read_at: float | None = None

    @property
    def write_delay_s(self) -> float:
        """How long this daemon's heartbeat took to write lately."""
        return self._delay_s

    def record_heartbeat(
        self,
        name: str,
        incarnation: str,
        version: int,
        now: float,
        leaving: bool = False,
        is_settled: bool = True,
        weight: float = 1.0,
        stalled: Collection[str] = (),
    ) -> None:
        """Record one heartbeat row.

        A daemon is settled after some heartbeats.  Until then it claims
        no duties, and gets none while there are settled daemons.
        `stalled` names the duties that it can't do the work of.
        """
        peer = self._peers.get(name)
        if peer is not None and peer.version >= version:
            return
        self._peers[name] = _Peer(
            incarnation, version, now, leaving, is_settled, weight, stalled
        )

    def record_claim(
        self, name: str, incarnation: str, version: int, now: float
    ) -> None:
        """Record that a daemon has claimed a duty.

        Its row may arrive before the daemon's first heartbeat does.
        """
        known = self._claims.get(name)
        if known is None or known[1] < version:
            self._claims[name] = (incarnation, version, now)

    def refresh(self, name: str, incarnation: str, now: float) -> None:
        """Count a daemon as alive now, even if its row is old."""
        peer = self._peers.get(name)
        if peer is not None and peer.incarnation == incarnation:
            peer.changed_at = now

    def record_write_delay(self, delay_s: float) -> None:
        """Record how long the write of this daemon's heartbeat took."""
        self._delay_s = max(delay_s, self._delay_s / 2)

    def record_read(self, now: float, gap_s: float) -> None:
        """Record that all rows were read now.

        After a gap (the store was unreachable, or this daemon was
        suspended), rows that did not change prove nothing: all daemons
        get `GRACE_S` to write their heartbeat before they count as dead.
        """
        last = self._read_at
        self._read_at = now
        if last is None or now - last <= gap_s:
            return
        assumed_at = now - self._timeout_s() + GRACE_S
        for peer in self._peers.values():
            peer.changed_at = max(peer.changed_at, assumed_at)

    def is_current(self, now: float, age_s: float) -> bool:
        """Whether all rows were read recently enough to base claims on."""
        return self._read_at is not None and now - self._read_at < age_s

    def remove(self, name: str) -> None:
        """Forget a daemon whose row was removed."""
        self._peers.pop(name, None)

    def is_alive(self, name: str, incarnation: str, now: float) -> bool:
        """Whether this incarnation of a daemon is alive.

        A heartbeat that is older than the daemon's claim says nothing of it.
        """
        peer = self._peers.get(name)
        if peer is None or peer.incarnation != incarnation:
            claim = self._claims.get(name)
            if claim is None or claim[0] != incarnation:
                return False
            is_claim_newer = peer is None or peer.version < claim[1]
            return is_claim_newer and now - claim[2] < self._timeout_s()
        return now - peer.changed_at < self._timeout_s()

    def is_serving(
        self, name: str, incarnation: str, duty: str, now: float
    ) -> bool:
        """Whether a holder is alive and not stalled on this duty."""
        return self.is_alive(name, incarnation, now) and not self.is_stalled(
            name, duty
        )

    def is_stalled(self, name: str, duty: str) -> bool:
        """Whether a daemon says that it can't do the work of a duty."""
        peer = self._peers.get(name)
        return peer is not None and duty in peer.stalled

    def weight(self, name: str) -> float:
        """Return the capacity of a daemon's host for duties."""
        peer = self._peers.get(name)
        return peer.weight if peer is not None else 1.0

    def members(
        self, now: float, timeout_s: float = HEARTBEAT_TIMEOUT_S
    ) -> list[str]:
        """Return the daemons that are alive and not leaving."""
        timeout_s += DELAY_FACTOR * self._delay_s
        return [
            name
            for name, peer in self._peers.items()
            if not peer.leaving and now - peer.changed_at < timeout_s
        ]

    def silent(self, now: float, age_s: float) -> list[str]:
        """Return the daemons whose heartbeat is older than `age_s`."""
        return [
            name
            for name, peer in self._peers.items()
            if now - peer.changed_at > age_s
        ]

    def alive(self, now: float) -> list[str]:
        """Return the daemons that can get duties, sorted by name."""
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
        """Return the time without a change after which a peer is dead."""
        return HEARTBEAT_TIMEOUT_S + DELAY_FACTOR * self._delay_s
