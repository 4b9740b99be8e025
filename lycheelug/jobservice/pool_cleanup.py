"""What a pool's owner does now and then beside placing tasks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from returns.result import Failure

from lycheelug.logs import log_change, log_fault

if TYPE_CHECKING:
    from lycheelug.jobservice.context import OwnerContext
    from lycheelug.jobservice.pool_owner import PoolOwner

__all__ = ["remove_ended_incarnations", "remove_finished_jobs"]

# The list of hosts is read this often while executors do not answer.
HOST_CHECK_INTERVAL_S: Final = 0.5
# Rows of finished jobs are kept for callers' questions: the platform asks
# for 120 s, and daemons' times of day differ.
FINISHED_RETENTION_S: Final = 180
CLEANUP_INTERVAL_S: Final = 5.0
# Jobs whose rows one transaction removes: three writes each, of 100.
CLEANUP_BATCH_MAX: Final = 30


async def remove_ended_incarnations(
    context: OwnerContext, owner: PoolOwner
) -> None:
    """End executors whose hosts have a new life or change their pool.

    A host that was moved or maintained refuses connections while the
    old entry lingers; only the list of hosts tells that life's end.
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
    """Remove the rows of jobs that nobody asks for any more."""
    while True:
        await asyncio.sleep(CLEANUP_INTERVAL_S)
        before_ms = context.clock.unix_ms() - FINISHED_RETENTION_S * 1000
        expired = owner.schedule.finished_before(before_ms)
        if not await owner.writer.remove(expired[:CLEANUP_BATCH_MAX]):
            continue
        for job in expired[:CLEANUP_BATCH_MAX]:
            owner.schedule.forget_job(job.job_id)
