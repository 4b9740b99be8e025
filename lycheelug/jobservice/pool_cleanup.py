"""Periodic cleanup by a pool's owner: dead executors and finished jobs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from returns.result import Failure

from lycheelug.logs import log_change, log_fault

if TYPE_CHECKING:
    from lycheelug.jobservice.context import OwnerContext
    from lycheelug.jobservice.pool_owner import PoolOwner

__all__ = ["remove_ended_incarnations", "remove_finished_jobs"]

# How often the list of hosts is read while executors are unresponsive.
HOST_CHECK_INTERVAL_S: Final = 0.5
# How long the rows of finished jobs are kept for callers' queries.  The
# platform requires 120 s; the rest covers clock differences of daemons.
FINISHED_RETENTION_S: Final = 180
SWEEP_S: Final = 5.0
# Jobs whose rows one transaction removes: three writes each, and a
# transaction has at most 100.
SWEEP_MAX: Final = 30


async def remove_ended_incarnations(
    context: OwnerContext, owner: PoolOwner
) -> None:
    """Remove executors whose hosts were restarted or changed the pool.

    A host that is moved or in maintenance refuses connections while the
    old executor's entry still exists.  Only the list of hosts shows that
    the old incarnation has ended.
    """
    while True:
        await asyncio.sleep(HOST_CHECK_INTERVAL_S)
        unresponsive = owner.schedule.unresponsive_executors()
        if not unresponsive:
            continue
        result = await context.hosts.hosts()
        if isinstance(result, Failure):
            log_fault("hosts-not-read", result.failure(), pool=owner.pool)
            continue
        hosts = {host.name: host for host in result.unwrap()}
        for view in unresponsive:
            host = hosts.get(view.info.host)
            if host is None or not host.has_incarnation_ended(
                view.executor_id
            ):
                continue
            log_change(
                "executor-ended",
                pool=owner.pool,
                executor=view.executor_id,
                host=host.name,
                state=host.state.name.lower(),
                present=host.executor_id,
            )
            owner.schedule.remove_executor(
                view.executor_id, context.clock.now()
            )
            owner.wake()


async def remove_finished_jobs(
    context: OwnerContext, owner: PoolOwner
) -> None:
    """Remove the rows of jobs that finished long enough ago."""
    while True:
        await asyncio.sleep(SWEEP_S)
        before_ms = context.clock.unix_ms() - FINISHED_RETENTION_S * 1000
        old = owner.schedule.finished_before(before_ms)
        if not await owner.writer.remove(old[:SWEEP_MAX]):
            continue
        for job in old[:SWEEP_MAX]:
            owner.schedule.forget_job(job.job_id)
