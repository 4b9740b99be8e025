"""Reports where a job would go now, by the functions that place tasks; no I/O.

Nothing is changed: a job that isn't sent is not added to the schedule, and
no task is placed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.tenants.amounts import times
from lycheelug.whereabouts.exclusions import Candidacy, find_exclusion
from lycheelug.whereabouts.report import (
    PlacementReport,
    StepReport,
    TenantReport,
)
from lycheelug.whereabouts.start_time import expected_wait_s
from lycheelug.workloads.jobs import Job, TaskState
from lycheelug.workloads.placement import PlacementRound
from lycheelug.workloads.plan_budget import PlanBudget

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorView
    from lycheelug.workloads.jobs import Task
    from lycheelug.workloads.model import JobRecord, QueuePolicy
    from lycheelug.workloads.pool import PoolSchedule

__all__ = ["NOT_SENT", "locate_job", "locate_record"]

NOT_SENT: Final = "not sent"


def locate_record(
    schedule: PoolSchedule,
    record: JobRecord,
    policy: QueuePolicy,
    now: float,
    unix_ms: int,
) -> PlacementReport:
    """Report where a job that isn't sent would go."""
    job = Job("", record, policy, None)
    job.open_due_occurrences(unix_ms, now)
    return _report(schedule, job, NOT_SENT, now, unix_ms)


def locate_job(
    schedule: PoolSchedule, job: Job, now: float, unix_ms: int
) -> PlacementReport:
    """Report where the waiting tasks of a job would go."""
    return _report(schedule, job, job.progress.state, now, unix_ms)


def _report(
    schedule: PoolSchedule, job: Job, state: str, now: float, unix_ms: int
) -> PlacementReport:
    """Report on a job of the schedule, or one that isn't sent."""
    report = PlacementReport(
        job.record.queue,
        schedule.pool,
        state,
        job.job_id,
        term=schedule.term,
        executors=len(schedule.executors),
        tenant=_tenant_report(schedule, job.record.tenant, now),
    )
    if job.is_final:
        return report
    for occurrence, steps in job.occurrences.items():
        for number, tasks in enumerate(steps):
            waiting: list[Task] = []
            for task in tasks:
                if task.state is TaskState.READY:
                    waiting.append(task)
                report.running += task.state is TaskState.PLACED
                report.blocked += task.state is TaskState.BLOCKED
            if not waiting:
                continue
            if not report.outlook and not job.is_long_running:
                forecast = job.forecast(occurrence, schedule.run_times)
                outlook = forecast.feasibility(number, unix_ms)
                report.outlook = outlook.name.lower().replace("_", "-")
            report.steps.append(
                _step_report(schedule, waiting, state, now, unix_ms)
            )
    return report


def _step_report(
    schedule: PoolSchedule,
    waiting: list[Task],
    state: str,
    now: float,
    unix_ms: int,
) -> StepReport:
    """Report on the waiting tasks of one step."""
    first = waiting[0]
    _, occurrence, step = first.name[:3]
    report = StepReport(occurrence, step, len(waiting), starts_now=False)
    views: list[ExecutorView] = []
    for view in schedule.executors.values():
        reason = find_exclusion(Candidacy(schedule, view, first, now))
        if reason:
            report.ruled_out[reason] = report.ruled_out.get(reason, 0) + 1
        else:
            views.append(view)
    report.candidates = len(views)
    _count_ahead(schedule, first, state, unix_ms, report)
    report.waits_for = _awaited(schedule, first, state, now)
    if not report.waits_for:
        chosen = _choose(schedule, first, now)
        if chosen is None:
            report.waits_for = "an executor"
        elif state == NOT_SENT and not _is_enough(schedule, report, first):
            report.waits_for = "its turn"
        else:
            report.starts_now = True
            report.executor = chosen.executor_id
            report.host = chosen.info.host
            report.zone = chosen.info.zone
            report.rack = chosen.rack
            report.expected_wait_s = 0.0
            return report
    if report.waits_for in ("an executor", "its turn"):
        needed = report.cpu_ahead + first.step.resources.cpu_millis
        report.expected_wait_s = expected_wait_s(schedule, needed, now)
    return report


def _choose(
    schedule: PoolSchedule, task: Task, now: float
) -> ExecutorView | None:
    """Return the executor that a plan would choose for a task now."""
    placement = PlacementRound(
        schedule.executors.values(),
        now,
        schedule.isolation,
        PlanBudget(),
        schedule.placement,
        held=schedule.relocations.held,
        neighbors=schedule.neighbors,
    )
    if not task.job.policy.needs_placement_hint:
        return placement.choose(task)
    return placement.choose(task, schedule.placement_hints)


def _awaited(
    schedule: PoolSchedule, task: Task, state: str, now: float
) -> str:
    """Return what keeps a task from being placed, before any executor."""
    if not schedule.is_capacity_current:
        return "a current list of executors"
    job = task.job
    if state != NOT_SENT:
        if not job.is_begun:
            return "the store, for the mark that it has begun"
        is_of_term = job.progress.begun_term == schedule.term
        if not is_of_term and not schedule.earlier_runs_known(now):
            return "reports of executors that earlier owners have used"
        if task.name in schedule.run_counts and not task.step.may_duplicate:
            return "the end of a superfluous run"
    if now < task.not_before:
        return "the delay after a start without effect"
    if not job.policy.is_known:
        return "the policy of its queue"
    request = task.step.request
    count = task.step.count if task.step.is_gang else 1
    share = schedule.tenant_shares.share_of(job.record.tenant)
    if share is not None and not share.has_room(
        times(request, count), request
    ):
        return "its tenant's cap"
    if not job.policy.needs_placement_hint:
        return ""
    step = task.name[:3]
    if any(step == asked for asked in schedule.hint_requests):
        return "the placement hint service"
    return ""


def _count_ahead(
    schedule: PoolSchedule,
    task: Task,
    state: str,
    unix_ms: int,
    report: StepReport,
) -> None:
    """Count the waiting tasks that are placed before a step's.

    A job that isn't sent comes after all that are in its queue's order, so
    all waiting tasks that could go before it count.
    """
    for step in schedule.ready.ordered(unix_ms, schedule.run_times):
        if state != NOT_SENT and step.name == task.name[:3]:
            return
        if step.job.policy.priority > task.job.policy.priority:
            continue
        report.tasks_ahead += step.count
        report.cpu_ahead += step.count * step.spec.resources.cpu_millis


def _is_enough(schedule: PoolSchedule, report: StepReport, task: Task) -> bool:
    """Return whether the free CPU holds the tasks ahead and the task."""
    free = 0
    for view in schedule.executors.values():
        free += max(0, view.info.capacity.cpu_millis - view.used_cpu)
    return free >= report.cpu_ahead + task.step.resources.cpu_millis


def _tenant_report(
    schedule: PoolSchedule, tenant: str, now: float
) -> TenantReport | None:
    """Report on a job's tenant; None if it has none."""
    if not tenant:
        return None
    report = TenantReport(tenant)
    shares = schedule.tenant_shares
    weight = shares.weight_of(tenant)
    if weight is not None:
        report.weight = weight
        report.is_over_share = shares.weights.is_spent(tenant, weight, now)
    share = shares.share_of(tenant)
    if share is not None and share.is_capped:
        report.cap = list(share.cap)
        report.reserved = list(share.reserved)
        report.used = list(share.used)
    return report
