"""Decides which daemons form the duty group; no I/O.

Only the members of the group write frequent heartbeats, read those of the
others and claim duties.  So the heartbeats that a daemon writes and reads
grow with the number of duties, not with the number of daemons: if all
daemons read the heartbeats of all, that would grow with the square.

A daemon joins while the group is too small or has no member in its zone.
Daemons with more capacity have their turn earlier, and those that find the
group complete when their turn comes don't join.  Several may join at once,
so a member without duties leaves if the group has twice its size.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final
from zlib import crc32

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

__all__ = ["DutyGroup", "group_size"]

# The least number of members, so that some are left after any two zones.
SIZE_MIN: Final = 8
# Members without a duty, who take over from those that fail: a fixed number,
# and one for each two duties.
STANDBYS: Final = 3
# The time until a daemon's turn to join: a part that is shorter for hosts
# with more capacity, and none for those with as much as any known member, and
# a part by the hash of its name.
TURN_S: Final = 0.4
TURN_MAX_S: Final = 0.5
TURN_SPREAD_S: Final = 0.3
# A member without duties leaves if as many members rank before it.
SURPLUS_FACTOR: Final = 2


def group_size(duties: int) -> int:
    """Return how many members the group should have.

    >>> group_size(5), group_size(58)
    (10, 90)
    """
    return max(SIZE_MIN, duties + duties // 2 + STANDBYS)


class DutyGroup:
    """One daemon's view of whether the group needs it.

    >>> group = DutyGroup("e1", "z1", weight=1.0)
    >>> group.should_join({"e2": "z2"}, duties=5, now=10.0)
    False
    >>> group.should_join({"e2": "z2"}, duties=5, now=11.0)
    True
    """

    __slots__ = ("_name", "_short_since", "_spread_s", "_weight", "_zone")

    def __init__(self, name: str, zone: str, weight: float) -> None:
        self._name = name
        self._zone = zone
        self._weight = weight
        # The part of the time until its turn that tells daemons apart.
        self._spread_s = crc32(name.encode()) / 2**32 * TURN_SPREAD_S
        # Local time since when the group has been too small.
        self._short_since: float | None = None

    def is_short(self, zones: Collection[str], duties: int) -> bool:
        """Return whether a group with members in `zones` needs this daemon.

        `zones` has an entry for each member.
        """
        return len(zones) < group_size(duties) or self._zone not in zones

    def should_join(
        self,
        zones: Mapping[str, str],
        duties: int,
        now: float,
        known_weight: float = 0.0,
    ) -> bool:
        """Return whether to join now; `zones` are those of live members.

        `known_weight` is the largest capacity of any earlier member; 0 if
        none is known.
        """
        if not self.is_short(zones.values(), duties):
            self._short_since = None
            return False
        if self._short_since is None:
            self._short_since = now
        return now - self._short_since >= self._turn_s(known_weight)

    def _turn_s(self, known_weight: float) -> float:
        """Return the time until this daemon's turn to join."""
        base_s = min(TURN_MAX_S, TURN_S / self._weight)
        if known_weight:
            # No member is expected that has more capacity.
            lack = max(0.0, 1 - self._weight / known_weight)
            base_s = min(base_s, TURN_S * lack)
        return base_s + self._spread_s

    def should_leave(
        self,
        zones: Mapping[str, str],
        weights: Mapping[str, float],
        duties: int,
    ) -> bool:
        """Return whether a member without duties is not needed any more."""
        in_zone = [name for name, zone in zones.items() if zone == self._zone]
        if in_zone == [self._name]:
            return False
        ranked = sorted(
            zones, key=lambda name: (-weights[name], crc32(name.encode()))
        )
        limit = SURPLUS_FACTOR * group_size(duties)
        return self._name in ranked[limit:]
