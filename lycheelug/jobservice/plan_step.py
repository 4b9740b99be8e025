"""Makes one plan of a pool's schedule, and logs what it has decided."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.jobservice.executor_list import CAPACITY_AGE_MAX_S
from lycheelug.logs import log_change

if TYPE_CHECKING:
    from lycheelug.jobservice.context import OwnerContext
    from lycheelug.jobservice.pool_owner import PoolOwner
    from lycheelug.workloads import PaceOrder, StartOrder, StopOrder

__all__ = ["make_plan"]

# A plan that takes longer than this is logged.  Heartbeats are written every
# 0.4 s, and nothing else is done meanwhile.
SLOW_PLAN_S: Final = 0.2


def make_plan(
    context: OwnerContext, owner: PoolOwner
) -> list[StartOrder | StopOrder | PaceOrder]:
    """Return the orders to send now; set aside jobs that can't be run."""
    schedule = owner.schedule
    age_s = context.executor_list_age_s()
    is_current = age_s < CAPACITY_AGE_MAX_S
    if is_current is not schedule.is_capacity_current:
        schedule.is_capacity_current = is_current
        log_change(
            "starts-resumed" if is_current else "starts-held",
            pool=owner.pool,
            list_age_s=round(age_s, 2),
        )
    owner.ledger.refresh()
    began = context.clock.now()
    orders = schedule.plan(began, owner.verified_at, context.clock.unix_ms())
    _record_duration(owner, context.clock.now() - began, len(orders))
    owner.ledger.wake_if_held()
    _log_interference(context, owner)
    for job, error in schedule.ready.defects:
        owner.report_defect("plan", error, job)
    schedule.ready.defects.clear()
    for event, fields in schedule.crashes.events:
        log_change(event, pool=owner.pool, term=owner.term, **fields)
        context.metrics.count(event)
    schedule.crashes.events.clear()
    _log_failed_jobs(context, owner)
    owner.log.update()
    return orders


def _record_duration(owner: PoolOwner, took_s: float, orders: int) -> None:
    """Adapt the budget of the next plan, and log a slow one."""
    schedule = owner.schedule
    schedule.budget.record_duration(took_s)
    if took_s < SLOW_PLAN_S:
        return
    log_change(
        "plan-slow",
        pool=owner.pool,
        term=owner.term,
        took_ms=round(took_s * 1000),
        orders=orders,
        waiting=len(schedule.ready),
        jobs=len(schedule.job_index.unfinished),
        executors=len(schedule.executors),
        checks=schedule.budget.checks,
        is_spent=schedule.budget.is_spent,
    )


def _log_failed_jobs(context: OwnerContext, owner: PoolOwner) -> None:
    """Log the jobs that have failed since the last plan, and why."""
    failed = owner.schedule.job_index.failed
    for job, cause in failed:
        log_change(
            "job-failed",
            pool=owner.pool,
            term=owner.term,
            job=job.job_id,
            queue=job.record.queue,
            cause=cause.value,
            reason=job.progress.reason,
            max_attempts=job.policy.max_attempts,
        )
        context.metrics.count("jobs-failed")
    failed.clear()


def _log_interference(context: OwnerContext, owner: PoolOwner) -> None:
    """Log which tasks were found to slow each other down, or no longer do."""
    changes = owner.schedule.neighbors.estimator.changes
    for change in changes:
        log_change(
            "interference-found" if change.is_found else "interference-gone",
            pool=owner.pool,
            slowed=change.slowed,
            by=change.by,
            factor=round(change.factor, 2),
            observations=change.runs,
            executors=change.executors,
        )
        kind = "found" if change.is_found else "gone"
        context.metrics.count(f"interference-{kind}")
    changes.clear()
