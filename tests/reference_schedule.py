"""A pool schedule that plans without any shortcut, as a reference.

Each plan visits every run, sorts every waiting task and considers every
executor for each of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.workloads import (
    LossCause,
    PaceOrder,
    PoolSchedule,
    Resources,
    StartOrder,
    StepName,
    StopOrder,
    TaskState,
)
from lycheelug.workloads.executors import RunPhase
from lycheelug.workloads.forecast import Feasibility
from lycheelug.workloads.lost_runs import free_expired_runs
from lycheelug.workloads.model import add_resources
from lycheelug.workloads.orders import find_stop_reason
from lycheelug.workloads.pacing import plan_pace
from lycheelug.workloads.placement import ISOLATION_WAIT_S, PLACEMENTS
from lycheelug.workloads.stalls import STALLED, runs_to_duplicate, stalled_runs
from lycheelug.workloads.starts import RESTART_WAIT_S

if TYPE_CHECKING:
    from lycheelug.workloads import ExecutorView, Job, Task, TaskName

    Order = StartOrder | StopOrder | PaceOrder


class ReferenceSchedule(PoolSchedule):
    """A schedule with the plain form of `plan`."""

    __slots__ = ()

    def plan(
        self, now: float, verified_at: float, unix_ms: int = 0
    ) -> list[Order]:
        orders: list[Order] = []
        self.relocations.plan(self, now)
        for view in list(self.executors.values()):
            free_expired_runs(self, view, now, verified_at)
            duplicated = runs_to_duplicate(view)
            if duplicated:
                self.crashes.record_loss(
                    self, view, duplicated, LossCause.SILENT, now
                )
            for run in duplicated:
                self.free_task(run, view, now)
                run.task = None
            for run in stalled_runs(view, self.run_times):
                view.health.record_stall(now)
                run.phase = RunPhase.STOPPING
                run.stop_reason = STALLED
                if run.task is not None:
                    run.task.avoided_executor = view.executor_id
            orders.extend(_stops(view, now))
            for run in plan_pace(view):
                run.pace = view.pace
                orders.append(
                    PaceOrder(
                        view.executor_id, run.task_name, run.run, run.pace
                    )
                )
        if self.earlier_runs_known(now):
            self.crashes.record_absent_executors(self.executors)
        self.crashes.review(self, now, unix_ms)
        self.isolation.plan(self, now)
        orders.extend(_starts(self, now, unix_ms))
        return orders


def waiting_tasks(schedule: PoolSchedule) -> list[Task]:
    """Return all waiting tasks, from the states of the tasks alone."""
    found: list[Task] = []
    for job in schedule.jobs.values():
        if job.is_final:
            continue
        for task in job.tasks():
            if task.state is TaskState.READY:
                found.append(task)
    return found


def jobs_to_begin(schedule: PoolSchedule) -> list[Job]:
    """Return the jobs with waiting tasks and without the begun mark."""
    found: dict[str, Job] = {}
    for task in waiting_tasks(schedule):
        if not task.job.progress.begun_term:
            found[task.job.job_id] = task.job
    return list(found.values())


def _stops(view: ExecutorView, now: float) -> list[StopOrder]:
    stops: list[StopOrder] = []
    for run in view.runs.values():
        reason = find_stop_reason(run, view, now)
        if reason:
            run.phase = RunPhase.STOPPING
            run.stop_reason = run.stop_reason or reason
        if run.phase is not RunPhase.STOPPING or run.stop_sent:
            continue
        if run.task is None and view.last_report_at is None:
            continue
        run.stop_sent = True
        stops.append(
            StopOrder(
                view.executor_id, run.task_name, run.run, run.stop_reason
            )
        )
    return stops


def _placement_key(
    schedule: PoolSchedule, task: Task, unix_ms: int
) -> tuple[int, bool, Feasibility, bool, float, TaskName]:
    job = task.job
    forecast = job.forecast(task.name.occurrence, schedule.run_times)
    feasibility = Feasibility.IN_TIME
    if not job.is_long_running:
        feasibility = forecast.feasibility(task.name.step, unix_ms)
    return (
        job.policy.priority,
        not job.is_long_running,
        feasibility,
        not job.has_started,
        forecast.objective_ms,
        task.name,
    )


def _starts(
    schedule: PoolSchedule, now: float, unix_ms: int
) -> list[StartOrder]:
    orders: list[StartOrder] = []
    earlier_runs_known = schedule.earlier_runs_known(now)
    waiting = sorted(
        waiting_tasks(schedule),
        key=lambda task: _placement_key(schedule, task, unix_ms),
    )
    failed: list[Resources] = []
    for task in waiting:
        if not _can_start(schedule, task, earlier_runs_known, now):
            continue
        if task.step.is_gang:
            orders.extend(_start_gang(schedule, task, now))
            continue
        needs_hint = task.job.policy.needs_placement_hint
        needed = task.step.resources
        is_special = bool(task.job.progress.crashes) or task.step.lasts
        if not (needs_hint or is_special) and any(
            all(small <= big for small, big in zip(each, needed, strict=True))
            for each in failed
        ):
            continue
        view = _choose(schedule, task, now)
        if view is not None:
            orders.append(schedule.place(task, view, now))
        elif not (
            needs_hint
            or is_special
            or task.step.required_label
            or task.step.max_per_executor
        ):
            failed.append(needed)
    return orders


def _can_start(
    schedule: PoolSchedule, task: Task, earlier_runs_known: bool, now: float
) -> bool:
    job = task.job
    if not job.is_begun or job.is_final:
        return False
    if job.progress.begun_term != schedule.term and not earlier_runs_known:
        return False
    if now < task.not_before:
        return False
    if task.name in schedule.run_counts and not task.step.may_duplicate:
        return False
    if not schedule.crashes.may_start(task, now):
        return False
    if task.failures and task.step.lasts and not task.step.is_gang:
        wait_s = RESTART_WAIT_S * min(task.failures, 10)
        return now - task.ready_at >= wait_s
    return True


def _can_host(view: ExecutorView, task: Task, now: float) -> bool:
    step = task.step
    same_step_runs = 0
    for other, _ in view.runs:
        if other[:3] == task.name[:3] and other != task.name:
            same_step_runs += 1
    return (
        view.is_healthy(now)
        and not view.drain_order
        and view.backoff_until <= now
        and not view.health.is_quarantined(now)
        and (
            not step.required_label or step.required_label in view.info.labels
        )
        and view.fits(step.resources)
        and (
            not step.max_per_executor or same_step_runs < step.max_per_executor
        )
    )


def _choose(
    schedule: PoolSchedule, task: Task, now: float
) -> ExecutorView | None:
    needs_hint = task.job.policy.needs_placement_hint
    step = StepName.of(task.name)
    own = {task.name.job}
    reserved = set(schedule.jobs)
    is_overdue = now - task.ready_at >= ISOLATION_WAIT_S
    if task.needs_isolation and not is_overdue:
        preferred = [own]
    else:
        preferred = [own, {""}]
        if task.step.lasts and is_overdue:
            preferred.append(reserved)
    for jobs in preferred:
        view = _choose_on(schedule, task, now, jobs)
        if view is not None:
            return view
    if needs_hint:
        wanted = schedule.placement_hints.executors_to_query(
            step, schedule.executors.values(), now
        )
        if wanted:
            schedule.hint_requests[step] = wanted
    return None


def _choose_on(
    schedule: PoolSchedule, task: Task, now: float, jobs: set[str]
) -> ExecutorView | None:
    """Choose among the executors that are reserved for some jobs."""
    hints = schedule.placement_hints
    needs_hint = task.job.policy.needs_placement_hint
    step = StepName.of(task.name)
    allowed: list[ExecutorView] = []
    avoided: list[ExecutorView] = []
    for view in schedule.executors.values():
        if not _can_host(view, task, now):
            continue
        held = schedule.relocations.held.get(view.executor_id)
        if (
            held is not None
            and not task.step.lasts
            and not view.fits(add_resources(task.step.resources, held))
        ):
            continue
        job_id = schedule.isolation.job_on(view.executor_id)
        if job_id not in jobs:
            continue
        if job_id and not schedule.isolation.is_settled(view, now):
            continue
        if needs_hint and not hints.ticket(step, view.executor_id, now):
            continue
        is_unreliable = task.failures and view.health.has_recent_failures(now)
        if view.executor_id == task.avoided_executor or is_unreliable:
            avoided.append(view)
            continue
        allowed.append(view)
    candidates = allowed or avoided
    if not candidates:
        return None
    return PLACEMENTS.get(schedule.placement)(task, candidates)


def _start_gang(
    schedule: PoolSchedule, task: Task, now: float
) -> list[StartOrder]:
    members = task.job.step_tasks(task)
    for member in members:
        is_running = member.name in schedule.run_counts
        if member.state is not TaskState.READY or is_running:
            return []
    orders: list[StartOrder] = []
    run = max(member.next_run_number(schedule.term) for member in members)
    last_runs = [member.last_run for member in members]
    home_zone = task.job.home_zone
    reservations = schedule.isolation.reservations
    leases = {
        view.executor_id: view.leases_end_at
        for view in schedule.executors.values()
    }
    for member in members:
        view = _choose(schedule, member, now)
        if view is None:
            for order in orders:
                placed_on = schedule.executors[order.executor_id]
                placed_on.drop_run((order.task.name, order.run))
                ready_at = order.task.ready_at
                schedule.requeue(order.task, now)
                order.task.ready_at = ready_at
                order.task.last_run = last_runs[order.task.name.number]
            task.job.home_zone = home_zone
            for executor_id, ends_at in leases.items():
                schedule.executors[executor_id].leases_end_at = ends_at
            schedule.isolation.undo_releases(schedule, reservations)
            return []
        orders.append(schedule.place(member, view, now, run))
    for member in members:
        member.checkpoint = task.checkpoint
    return orders
