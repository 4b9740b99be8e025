"""Reads the state that a pool's last owner stored, after a takeover."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Success

from lycheelug.fleetplan import (
    SUMMARIES_TABLE,
    SUMMARY_KEY,
    decode_summary,
)
from lycheelug.jobservice.tables import PROGRESS_TABLE, read_progress
from lycheelug.jobservice.used_executors import USED_EXECUTORS_TABLE
from lycheelug.logs import log_change, log_fault

if TYPE_CHECKING:
    from returns.result import Result

    from lycheelug.errors import Fault
    from lycheelug.jobservice.context import OwnerContext
    from lycheelug.jobservice.pool_owner import PoolOwner
    from lycheelug.store.rows import StoredRow

__all__ = ["recover_pool"]

RECOVER_RETRY_S: Final = 0.3


async def recover_pool(context: OwnerContext, owner: PoolOwner) -> bool:
    """Retry until the pool is recovered; return False once it is lost.

    There is no time limit while the store is unreachable: a new claim
    would only raise the term and restart the wait.
    """
    while not owner.lost.is_set():
        recovered = await _recover(context, owner)
        if not isinstance(recovered, Failure):
            return True
        log_fault(
            "pool-not-recovered",
            recovered.failure(),
            pool=owner.pool,
            term=owner.term,
        )
        await asyncio.sleep(RECOVER_RETRY_S)
    return False


async def _recover(
    context: OwnerContext, owner: PoolOwner
) -> Result[None, Fault]:
    """Read all but the submissions; the jobs come from the replica."""
    read = await context.store.read(PROGRESS_TABLE, owner.pool)
    if isinstance(read, Failure):
        return Failure(read.failure())
    for job_id, stored in read_progress(read.unwrap().rows).items():
        if stored.version and stored.progress is None:
            log_change("row-unreadable", table=PROGRESS_TABLE, key=job_id)
            context.metrics.count("rows-unreadable")
        elif stored.progress is not None and stored.progress.parts:
            log_change(
                "progress-incomplete",
                pool=owner.pool,
                job=job_id,
                expected=stored.progress.parts,
                found=stored.part_count,
            )
            context.metrics.count("rows-unreadable")
        owner.feeds.stored_progress[job_id] = stored
    summary = await context.store.read(SUMMARIES_TABLE, owner.pool)
    if isinstance(summary, Failure):
        return Failure(summary.failure())
    for row in summary.unwrap().rows:
        _restore_summary(owner, row, context.clock.now())
    used = await context.store.read(USED_EXECUTORS_TABLE, owner.pool)
    if isinstance(used, Failure):
        return Failure(used.failure())
    are_known = True
    for row in used.unwrap().rows:
        are_known = _restore_executors(owner, row) and are_known
    owner.schedule.are_used_executors_known = are_known
    log_change(
        "pool-recovered",
        pool=owner.pool,
        term=owner.term,
        jobs=len(owner.feeds.stored_progress),
    )
    return Success(None)


def _restore_summary(owner: PoolOwner, row: StoredRow, now: float) -> None:
    """Restore the last owner's run times, and which tasks interfere."""
    owner.writer.load.restore(row)
    if row.key != SUMMARY_KEY:
        return
    summary = decode_summary(row.value or b"")
    if summary is None:
        log_change("row-unreadable", table=row.table, part=row.part)
        return
    owner.schedule.run_times.restore(summary.run_times)
    if owner.schedule.neighbors.is_enabled:
        owner.schedule.neighbors.estimator.restore(summary.interference, now)


def _restore_executors(owner: PoolOwner, row: StoredRow) -> bool:
    """Restore executors that the last owner used; return False if unreadable.

    One of them may be alive without an entry in the store: entries expire
    while the executor can't reach the store.
    """
    executors = owner.writer.used_executors.restore(row)
    if not executors and row.value not in (None, b"{}"):
        log_change("row-unreadable", table=row.table, key=row.key)
        return False
    for executor_id, used in executors.items():
        view = owner.schedule.observe_executor(
            used.info(executor_id, owner.pool)
        )
        view.has_entry = False
        view.is_recorded = True
        view.recorded_born_ms = used.born_ms
        view.is_located = True
    return True
