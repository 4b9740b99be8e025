"""One tenant's cap as seen by the owner of one pool; no I/O.

The owner starts tasks only within what its pool has reserved.  Reservations
change by conditional writes, so the arithmetic here is based on what the row
contains at the version that the write is conditional on.  While the outcome
of a write is unknown, the lower amount counts.

`docs/design/tenant-shares.md` explains why the cap holds.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from lycheelug.resources import add_resources
from lycheelug.tenants.amounts import (
    NOTHING,
    is_at_most,
    larger,
    limited,
    smaller,
    subtract,
)
from lycheelug.tenants.model import NO_CAP
from lycheelug.tenants.records import ShareRecord, make_entry
from lycheelug.tenants.reservation import ReservationPlanner

if TYPE_CHECKING:
    from lycheelug.resources import Resources
    from lycheelug.tenants.records import PoolEntry
    from lycheelug.tenants.reservation import Need
    from lycheelug.tenants.usage import TenantUsage

__all__ = ["TenantShare"]

# The minimum time between two writes that give back less than the margin.
SMALL_RETURN_INTERVAL_S: Final = 0.2


class TenantShare:
    """What the pool may start of one tenant, and what it has reserved."""

    __slots__ = (
        "_base",
        "_cap",
        "_counted",
        "_fair",
        "_inherited",
        "_is_uncertain",
        "_limit",
        "_planner",
        "_pool",
        "_returned_at",
        "_seen_version",
        "_term",
        "_usage",
        "_version",
        "_written",
        "is_settled",
        "record",
        "row_version",
        "tenant",
    )

    def __init__(
        self, tenant: str, pool: str, term: int, usage: TenantUsage
    ) -> None:
        self.tenant = tenant
        self._pool = pool
        self._term = term
        self._usage = usage
        # The tenant's cap in the configuration, and its version.
        self._cap = NO_CAP
        self._version = 0
        # The row as last seen, and the version that a write has to expect.
        self.record = ShareRecord()
        self.row_version = 0
        self._seen_version = 0
        # The record of the write in progress, and the one it replaces.
        self._written: ShareRecord | None = None
        self._base = self.record
        # What counts as reserved while the outcome of a write is unknown.
        self._counted: Resources | None = None
        self._is_uncertain = False
        # What was reserved when this owner claimed the entry.  Runs that
        # aren't known yet may use it until `is_settled`.
        self._inherited = NOTHING
        self.is_settled = False
        # The limit on starts while the pools want more than the cap.
        self._fair: Resources | None = None
        self._limit = NOTHING
        self._planner = ReservationPlanner(pool)
        self._returned_at = -math.inf

    @property
    def cap(self) -> Resources:
        """The cap in the newest version that is known."""
        if self.record.version > self._version:
            return self.record.cap
        return self._cap

    @property
    def is_capped(self) -> bool:
        """Whether any resource is limited."""
        return any(self.cap)

    @property
    def is_superseded(self) -> bool:
        """Whether a later owner of the pool has claimed the entry."""
        entry = self.record.pools.get(self._pool)
        return entry is not None and entry.term > self._term

    @property
    def is_lacking(self) -> bool:
        """Whether the row says that the pool wants more."""
        entry = self._entry()
        return entry is not None and entry.is_lacking

    @property
    def is_wanted_elsewhere(self) -> bool:
        """Whether another pool wants more than it has reserved."""
        return self.record.is_lacking_elsewhere(self._pool)

    @property
    def reserved(self) -> Resources:
        """What counts as reserved by this owner."""
        entry = self._entry()
        if entry is None:
            return NOTHING
        if self._counted is None:
            return entry.reserved
        return smaller(self._counted, entry.reserved)

    @property
    def used(self) -> Resources:
        """What the pool uses of the limited resources.

        Until all runs of earlier owners are known, they may use what was
        reserved at the claim.
        """
        adopted = self._usage.adopted(self.tenant)
        if not self.is_settled:
            adopted = larger(adopted, self._inherited)
        started = self._usage.started(self.tenant)
        return limited(add_resources(started, adopted), self.cap)

    def is_forgettable(self, version: int) -> bool:
        """Return whether nothing here can matter any more.

        All versions of the row up to `version` were seen.
        """
        if self.record.pools or self._written or self._is_uncertain:
            return False
        return self.is_settled and self._seen_version <= version

    def configure(self, version: int, cap: Resources) -> None:
        """Apply the cap of a version of the configuration."""
        if version < self._version:
            return
        self._version = version
        self._cap = cap
        self._update_limit()

    def has_room(self, amount: Resources, task: Resources) -> bool:
        """Return whether a task, or all tasks of a gang, may start now.

        `task` is the amount of one task.
        """
        cap = self.cap
        if not any(cap):
            return True
        amount = limited(amount, cap)
        used = self.used
        if is_at_most(add_resources(used, amount), self._limit):
            return True
        if any(used) or not self._may_run_alone(amount, limited(task, cap)):
            return False
        return is_at_most(amount, self.reserved)

    # --- The row.

    def apply_row(self, record: ShareRecord | None, version: int) -> None:
        """Apply a version of the row; `None` if it was removed.

        Earlier writes that aren't in it can't take effect any more.
        """
        if version <= self._seen_version:
            return
        self._seen_version = version
        self._adopt(record, version if record is not None else 0)

    def begin_write(self, record: ShareRecord) -> None:
        """Record that a write is about to be sent.

        A lower reservation counts from now on, a higher one once the
        write is known to have taken effect.
        """
        entry = record.pools.get(self._pool)
        lowered = entry.reserved if entry is not None else NOTHING
        self._counted = smaller(self.reserved, lowered)
        self._base = self.record
        self._written = record
        self._update_limit()

    def apply_commit(self, version: int) -> None:
        """Record that the write took effect."""
        record, self._written = self._written, None
        if record is None or version <= self._seen_version:
            return
        self._seen_version = version
        self._adopt(record, version if record.pools else 0)

    def apply_conflict(self, record: ShareRecord | None, version: int) -> None:
        """Apply the row that a write has found.

        It may be unchanged: the transaction has rows of other tenants.
        """
        if record is not None:
            self.apply_row(record, version)
        elif self.row_version:
            self._adopt(None, 0)
        self.apply_failure(may_have_effect=False)

    def apply_failure(self, may_have_effect: bool) -> None:
        """Record that a write was not answered, or had no effect."""
        self._written = None
        if may_have_effect:
            self._is_uncertain = True
        elif not self._is_uncertain and self._base is self.record:
            self._counted = None
            self._update_limit()

    def review(
        self, need: Need, free: Resources, now: float, is_held: bool
    ) -> ShareRecord | None:
        """Return the record to write, or None if it is to stay.

        A record without pools stands for the removal of the row.  `free` is
        the free capacity of the pool.  `is_held` tells whether the last plan
        has held any task for the cap.
        """
        if self.is_superseded:
            return None
        entry = self.record.pools.get(self._pool)
        if entry is not None and entry.term < self._term:
            # The write will be a claim.
            self._inherited = larger(self._inherited, entry.reserved)
        cap = self.cap
        if not any(cap):
            self._fair = None
            return self._replace(NOTHING, NOTHING, now)
        plan = self._planner.plan(
            self.record,
            cap,
            self.used,
            need.limited(cap),
            limited(free, cap),
            now,
            is_held or not self.has_room(need.unit, need.task),
        )
        self._fair = plan.fair
        self._update_limit()
        return self._replace(plan.reserved, plan.wanted, now)

    # --- Implementation.

    def _entry(self) -> PoolEntry | None:
        """Return the pool's entry, if this owner has claimed it."""
        entry = self.record.pools.get(self._pool)
        if entry is None or entry.term != self._term:
            return None
        return entry

    def _adopt(self, record: ShareRecord | None, row_version: int) -> None:
        """Replace what is known of the row."""
        self.record = record if record is not None else ShareRecord()
        self.row_version = row_version
        self._counted = None
        self._is_uncertain = False
        self._update_limit()

    def _update_limit(self) -> None:
        """Compute up to which usage tasks may start."""
        cap = self.cap
        others = limited(self.record.reserved_elsewhere(self._pool), cap)
        limit = smaller(self.reserved, subtract(cap, others))
        if self._fair is not None:
            limit = smaller(limit, self._fair)
        self._limit = limited(limit, cap)

    def _may_run_alone(self, amount: Resources, task: Resources) -> bool:
        """Return whether an amount that the cap can't hold may start.

        No other pool may have a reservation.
        """
        cap = self.cap
        if is_at_most(amount, cap):
            return False
        if any(limited(self.record.reserved_elsewhere(self._pool), cap)):
            return False
        return is_at_most(subtract(amount, task), cap)

    def _replace(
        self, target: Resources, wanted: Resources, now: float
    ) -> ShareRecord | None:
        """Return the record with another entry, if that is worth a write."""
        entry = self.record.pools.get(self._pool)
        has_entry = any(target) or any(wanted)
        if entry is None and not has_entry:
            return None
        is_newer = self._version >= self.record.version
        # After a write without an answer the next one settles what holds.
        is_outdated = self._is_uncertain or (
            is_newer and self._cap != self.record.cap
        )
        is_claimed = entry is not None and entry.term == self._term
        if entry is not None and is_claimed and not is_outdated:
            if entry.reserved == target:
                is_needed = _has_mark_changed(entry, wanted)
            else:
                is_needed = not self._can_wait(entry, target, wanted, now)
            if not is_needed:
                return None
        if entry is not None and is_at_most(target, entry.reserved):
            self._returned_at = now
        pools = dict(self.record.pools)
        pools[self._pool] = make_entry(self._term, target, wanted)
        if not has_entry:
            del pools[self._pool]
        version = self._version if is_newer else self.record.version
        return ShareRecord(version, *self.cap, pools)

    def _can_wait(
        self,
        entry: PoolEntry,
        target: Resources,
        wanted: Resources,
        now: float,
    ) -> bool:
        """Return whether a change that only gives back a little can wait."""
        if not is_at_most(target, entry.reserved):
            return False
        if any(wanted) is not entry.is_lacking or not any(target):
            return False
        returned = subtract(entry.reserved, target)
        if not is_at_most(returned, self._planner.margin):
            return False
        return now - self._returned_at < SMALL_RETURN_INTERVAL_S


def _has_mark_changed(entry: PoolEntry, wanted: Resources) -> bool:
    """Return whether others should know what is wanted now.

    A change of less than a quarter is not worth a write.
    """
    if any(wanted) is not any(entry.wanted):
        return True
    for before, after in zip(entry.wanted, wanted, strict=True):
        if abs(after - before) * 4 > before:
            return True
    return False
