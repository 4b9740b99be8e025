"""Stores what a pool has reserved of its tenants' caps.

The rows of all tenants are in one part.  The owner of a pool follows them and
writes the changes of its own entries, those of many tenants in one
transaction.  Each write is conditional on the versions of the rows, so it
can't be based on an outdated view.  Without capped tenants nothing is read or
written.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Final

import msgspec
from returns.result import Failure

from lycheelug.errors import PLATFORM_UNREACHABLE
from lycheelug.jobservice.tenant_log import TenantLog
from lycheelug.logs import log_change, log_fault
from lycheelug.store.replica import TableReplica
from lycheelug.store.rows import RowConflict, RowName
from lycheelug.tenants.records import ShareRecord, decode_share
from lycheelug.workloads.tenant_demand import free_capacity, tenant_needs

if TYPE_CHECKING:
    from lycheelug.errors import Fault
    from lycheelug.jobservice.context import OwnerContext
    from lycheelug.jobservice.interfaces import Configuration
    from lycheelug.jobservice.pool_owner import PoolOwner
    from lycheelug.store.rows import StoredRow
    from lycheelug.tenants.reservation import Need
    from lycheelug.tenants.shares import ShareChange

__all__ = ["TENANTS_PART", "TENANT_SHARES_TABLE", "TenantLedger"]

TENANT_SHARES_TABLE: Final = "tenant-shares"
# A part of its own, as owners of all pools write the rows.
TENANTS_PART: Final = "~tenants"
# How often reservations are reviewed, without an event.
REVIEW_INTERVAL_S: Final = 0.1
# The minimum time between two reviews, and the minimum multiple of the time
# that one takes.
REVIEW_PAUSE_S: Final = 0.05
REVIEW_PAUSE_FACTOR: Final = 20
RETRY_S: Final = 0.2
# The pause between two calls to the feed, so that one has several changes.
FEED_PAUSE_S: Final = 0.03
FORGET_INTERVAL_S: Final = 5.0


class TenantLedger:
    """The single writer of one pool's entries in the tenants' rows."""

    __slots__ = (
        "_configuration",
        "_context",
        "_forgotten_at",
        "_is_failing",
        "_log",
        "_owner",
        "_replica",
        "_review_from",
        "_shares",
        "_wake",
    )

    def __init__(self, context: OwnerContext, owner: PoolOwner) -> None:
        self._context = context
        self._owner = owner
        self._shares = owner.schedule.tenant_shares
        self._configuration: Configuration | None = None
        self._wake = asyncio.Event()
        self._replica = TableReplica(
            context.store,
            TENANT_SHARES_TABLE,
            self._on_row,
            part=TENANTS_PART,
            pause_s=FEED_PAUSE_S,
        )
        self._log = TenantLog(owner.schedule, context.metrics)
        self._is_failing = False
        # Local time before which no review is made.
        self._review_from = -math.inf
        self._forgotten_at = -math.inf

    def refresh(self) -> None:
        """Apply the configuration, if it has changed."""
        configuration = self._context.configuration()
        if configuration is None or configuration is self._configuration:
            return
        self._configuration = configuration
        self._shares.configure(configuration.version, configuration.tenants)

    def wake_if_held(self) -> None:
        """Review the reservations soon if the last plan held any task."""
        if self._shares.held:
            self._log.record_held(self._context.clock.now())
            self._wake.set()

    async def run(self) -> None:
        """Keep the pool's reservations up to date until cancelled."""
        await self._owner.feeds.wait_loaded()
        self.refresh()
        while not self._shares.is_needed:
            await asyncio.sleep(REVIEW_INTERVAL_S)
            self.refresh()
        self._owner.spawn(self._replica.run())
        await self._replica.loaded.wait()
        while True:
            await self._wait()
            if not await self._review():
                await asyncio.sleep(RETRY_S)

    async def _wait(self) -> None:
        """Wait for an event or the next review."""
        try:
            async with asyncio.timeout(REVIEW_INTERVAL_S):
                await self._wake.wait()
        except TimeoutError:
            pass
        pause_s = self._review_from - self._context.clock.now()
        if pause_s > 0:
            await asyncio.sleep(pause_s)
        self._wake.clear()

    async def _review(self) -> bool:
        """Write the changes that are due; return False if that failed."""
        owner = self._owner
        if self._shares.is_superseded:
            # The owner row decides whether the pool is lost.
            owner.writer.verify_soon()
            return False
        now = self._context.clock.now()
        is_settled = owner.schedule.earlier_runs_known(now)
        needs = tenant_needs(owner.schedule, is_settled)
        self._forget_unused(needs, now)
        free = free_capacity(owner.schedule, now)
        changes = self._shares.review(needs, free, now)
        took_s = self._context.clock.now() - now
        self._review_from = now + max(
            REVIEW_PAUSE_S, took_s * REVIEW_PAUSE_FACTOR
        )
        if not changes:
            return True
        expected: dict[RowName, int] = {}
        writes: dict[RowName, bytes | None] = {}
        for change in changes:
            change.share.begin_write(change.record)
            name = RowName(TENANT_SHARES_TABLE, change.share.tenant)
            expected[name] = change.share.row_version
            value = msgspec.json.encode(change.record)
            writes[name] = value if change.record.pools else None
        result = await self._context.store.commit(
            TENANTS_PART, expected, writes
        )
        if isinstance(result, Failure):
            self._apply_failure(changes, result.failure())
            return False
        if self._is_failing:
            self._is_failing = False
            log_change("tenant-shares-stored-again", pool=owner.pool)
        outcome = result.unwrap()
        if isinstance(outcome, RowConflict):
            self._apply_conflict(changes, outcome)
            self._wake.set()
            return True
        for change in changes:
            change.share.apply_commit(outcome.version)
        self._context.metrics.count("tenant-shares-stored", len(changes))
        self._log.record_changes(changes, now)
        owner.wake()
        return True

    def _apply_failure(self, changes: list[ShareChange], fault: Fault) -> None:
        """Record that the changes may not have been stored."""
        may_have_effect = fault.code is not PLATFORM_UNREACHABLE
        for change in changes:
            change.share.apply_failure(may_have_effect)
        self._context.metrics.count("tenant-shares-not-stored")
        if not self._is_failing:
            self._is_failing = True
            log_fault(
                "tenant-shares-not-stored",
                fault,
                pool=self._owner.pool,
                tenants=len(changes),
            )

    def _apply_conflict(
        self, changes: list[ShareChange], conflict: RowConflict
    ) -> None:
        """Adopt the rows that other owners have changed."""
        self._context.metrics.count("tenant-shares-conflicts")
        for change in changes:
            name = RowName(TENANT_SHARES_TABLE, change.share.tenant)
            row = conflict.rows.get(name)
            if row is None or row.value is None:
                change.share.apply_conflict(None, 0)
            else:
                change.share.apply_conflict(self._decode(row), row.version)

    def _on_row(self, row: StoredRow) -> None:
        """Apply a row, which may let tasks start or ask for a return."""
        record = self._decode(row) if row.value is not None else None
        self._shares.apply_row(row.key, record, row.version)
        share = self._shares.share_of(row.key)
        if row.key in self._shares.held:
            self._owner.wake()
            self._wake.set()
        elif share is not None and share.is_wanted_elsewhere:
            self._wake.set()

    def _decode(self, row: StoredRow) -> ShareRecord:
        """Return a row's record; an invalid one counts as empty.

        The next write replaces it, and each pool then records what it uses.
        """
        record = decode_share(row.value or b"")
        if record is not None:
            return record
        log_change("row-unreadable", table=row.table, key=row.key)
        self._context.metrics.count("rows-unreadable")
        return ShareRecord()

    def _forget_unused(self, needs: dict[str, Need], now: float) -> None:
        """Forget the tenants without jobs from time to time."""
        if now - self._forgotten_at >= FORGET_INTERVAL_S:
            self._forgotten_at = now
            self._shares.forget_unused(needs, self._replica.version)
