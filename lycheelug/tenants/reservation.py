"""How much of a tenant's cap one pool should reserve; no I/O.

A pool reserves some more than it needs, so that most tasks wait for no write,
and keeps what it has needed lately.  While another pool lacks something, or
the reservations exceed the cap, it keeps only what it needs, and no more
than its proportional part if the cap doesn't hold what all pools want.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from lycheelug.resources import Resources, add_resources
from lycheelug.tenants.amounts import (
    NOTHING,
    is_at_most,
    larger,
    limited,
    scale,
    smaller,
    subtract,
)
from lycheelug.tenants.peak import RecentPeak

if TYPE_CHECKING:
    from lycheelug.tenants.records import ShareRecord

__all__ = ["NO_NEED", "Need", "ReservationPlan", "ReservationPlanner"]

# A reservation exceeds what is needed by this part of the cap, or by the
# largest task or gang, up to the maximum part.
MARGIN_PARTS: Final = 16
MARGIN_PARTS_MIN: Final = 4
# A pool without tasks of the tenant keeps a small reservation for this long.
IDLE_S: Final = 20.0


class Need:
    """What the waiting tasks of a tenant need in one pool."""

    __slots__ = ("task", "unit", "waiting")

    def __init__(
        self,
        waiting: Resources = NOTHING,
        unit: Resources = NOTHING,
        task: Resources = NOTHING,
    ) -> None:
        # All waiting tasks.
        self.waiting = waiting
        # The largest amount that starts at once: a task or a gang.
        self.unit = unit
        # One task of that.
        self.task = task

    def limited(self, cap: Resources) -> Need:
        """Return what is needed of the resources that a cap limits."""
        return Need(
            limited(self.waiting, cap),
            limited(self.unit, cap),
            limited(self.task, cap),
        )


NO_NEED: Final = Need()


class ReservationPlan:
    """What a pool should reserve."""

    __slots__ = ("fair", "reserved", "wanted")

    def __init__(
        self, reserved: Resources, wanted: Resources, fair: Resources | None
    ) -> None:
        self.reserved = reserved
        # What the pool wants in all, if it lacks something; otherwise 0.
        self.wanted = wanted
        # The limit on starts; None if the cap holds what all pools want.
        self.fair = fair


class ReservationPlanner:
    """Plans the reservation of one pool for one tenant."""

    __slots__ = ("_peak", "_pool", "_unit", "_used_at", "margin")

    def __init__(self, pool: str) -> None:
        self._pool = pool
        self._peak = RecentPeak()
        # The largest amount that last started at once.
        self._unit = NOTHING
        # By how much a reservation exceeds what is needed.
        self.margin = NOTHING
        self._used_at = -math.inf

    def plan(
        self,
        record: ShareRecord,
        cap: Resources,
        used: Resources,
        need: Need,
        free: Resources,
        now: float,
        is_held: bool,
    ) -> ReservationPlan:
        """Return what to reserve; all amounts are of limited resources.

        `free` is the free capacity of the pool's executors: tasks that have
        no executor need no reservation yet.  Unless `is_held`, no task waits
        for the cap; those that have room wait for something else.
        """
        startable = smaller(need.waiting, larger(free, need.unit))
        most = larger(cap, used)
        wanted = smaller(add_resources(used, startable), most)
        pressing = wanted
        if not is_held:
            least = smaller(need.waiting, need.unit)
            pressing = smaller(add_resources(used, least), most)
        others = limited(record.reserved_elsewhere(self._pool), cap)
        is_oversized = (
            not is_at_most(need.unit, cap)
            and not any(used)
            and is_at_most(subtract(need.unit, need.task), cap)
        )
        if is_oversized:
            wanted = larger(wanted, need.unit)
            pressing = larger(pressing, need.unit)
        self._observe(used, startable, need.unit, cap, now)
        entry = record.pools.get(self._pool)
        current = limited(entry.reserved, cap) if entry else NOTHING
        fair: Resources | None = None
        is_over = not is_at_most(add_resources(others, current), cap)
        if is_over or record.is_lacking_elsewhere(self._pool):
            part = self._fair_part(record, pressing, cap)
            least = smaller(need.unit, cap)
            target = smaller(pressing, larger(part, least))
            if not is_at_most(pressing, part):
                fair = larger(part, need.unit)
        else:
            target = self._steady_target(wanted, current, cap, now)
        target = _bounded(target, current, subtract(cap, others))
        target = larger(target, used)
        if is_oversized and not any(others):
            target = larger(target, need.unit)
        is_lacking = not is_at_most(pressing, target)
        lacking = pressing if is_lacking else NOTHING
        return ReservationPlan(target, lacking, fair)

    def _observe(
        self,
        used: Resources,
        startable: Resources,
        unit: Resources,
        cap: Resources,
        now: float,
    ) -> None:
        """Record what is needed now."""
        needed = add_resources(used, startable)
        self._peak.record(needed, now)
        if any(needed):
            self._used_at = now
        if any(unit):
            self._unit = unit
        margin = larger(scale(cap, 1, MARGIN_PARTS), self._unit)
        self.margin = smaller(margin, scale(cap, 1, MARGIN_PARTS_MIN))

    def _steady_target(
        self,
        wanted: Resources,
        current: Resources,
        cap: Resources,
        now: float,
    ) -> Resources:
        """Return what to reserve while no other pool lacks anything."""
        if now - self._used_at > IDLE_S:
            return NOTHING
        kept = add_resources(self._peak.value(now), self.margin)
        surplus = add_resources(kept, self.margin)
        found: list[int] = []
        for each, reserved, low, high, margin in zip(
            wanted, current, kept, surplus, self.margin, strict=True
        ):
            if each > reserved:
                found.append(each + margin)
            else:
                found.append(low if reserved > high else reserved)
        return smaller(Resources(*found), larger(cap, wanted))

    def _fair_part(
        self, record: ShareRecord, wanted: Resources, cap: Resources
    ) -> Resources:
        """Return the part of the cap that is proportional to what is wanted.

        It is what is wanted if the cap holds what all pools want.
        """
        elsewhere = NOTHING
        for name, entry in record.pools.items():
            if name != self._pool:
                needed = larger(entry.wanted, entry.reserved)
                elsewhere = add_resources(elsewhere, limited(needed, cap))
        found: list[int] = []
        for each, other, limit in zip(wanted, elsewhere, cap, strict=True):
            total = each + other
            found.append(each if total <= limit else limit * each // total)
        return Resources(*found)


def _bounded(
    target: Resources, current: Resources, room: Resources
) -> Resources:
    """Return a target that rises only as far as there is room."""
    found: list[int] = []
    for wanted, reserved, limit in zip(target, current, room, strict=True):
        if wanted > reserved:
            found.append(max(reserved, min(wanted, limit)))
        else:
            found.append(wanted)
    return Resources(*found)
