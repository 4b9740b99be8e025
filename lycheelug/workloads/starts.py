"""Places a pool's waiting tasks, the most urgent first; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.workloads.jobs import TaskState
from lycheelug.workloads.orders import StartOrder, urgency
from lycheelug.workloads.placement import FullRooms, find_place
from lycheelug.workloads.placement_hints import StepName

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorView
    from lycheelug.workloads.jobs import Task
    from lycheelug.workloads.pool import PoolSchedule

__all__ = ["plan_starts"]

# A lasting task's wait after a failure, longer with each.
RESTART_WAIT_S: Final = 0.1


def plan_starts(
    schedule: PoolSchedule, now: float, unix_ms: int
) -> list[StartOrder]:
    """Return the starts for which there is room."""
    if not schedule.ready:
        return []
    orders: list[StartOrder] = []
    is_settled = schedule.is_settled(now)
    waiting = sorted(
        schedule.ready.values(),
        key=lambda task: urgency(task, unix_ms, schedule.run_times),
    )
    full = FullRooms()
    for task in waiting:
        if not _may_start(schedule, task, is_settled, now):
            continue
        if task.step.is_gang:
            orders.extend(_start_gang(schedule, task, now))
            continue
        needs_placement_hint = task.job.policy.needs_placement_hint
        if full.covers(task.step.resources) and not needs_placement_hint:
            continue
        view = _find_place(schedule, task, now)
        if view is not None:
            orders.append(schedule.place(task, view, now))
        elif not needs_placement_hint:
            full.note(task)
    return orders


def _may_start(
    schedule: PoolSchedule, task: Task, is_settled: bool, now: float
) -> bool:
    """Whether a waiting task may be started at all now."""
    job = task.job
    if not job.is_begun or job.is_final:
        return False
    if job.progress.begun_term != schedule.term and not is_settled:
        # A run of an earlier owner may not have been seen yet.
        return False
    if now < task.held_until:
        return False
    if task.name in schedule.run_counts and not task.step.may_duplicate:
        # A run that is not wanted has not ended yet.
        return False
    if task.failures and task.step.lasts and not task.step.is_gang:
        wait_s = RESTART_WAIT_S * min(task.failures, 10)
        return now - task.ready_at >= wait_s
    return True


def _find_place(
    schedule: PoolSchedule, task: Task, now: float
) -> ExecutorView | None:
    """Return an executor for a task; note what advice is missing."""
    views = schedule.executors.values()
    if not task.job.policy.needs_placement_hint:
        return find_place(task, views, now, schedule.placement)
    view = find_place(
        task, views, now, schedule.placement, schedule.placement_hints
    )
    if view is None:
        step = StepName.of(task.name)
        wanted = schedule.placement_hints.to_ask(step, views, now)
        if wanted:
            schedule.hint_requests[step] = wanted
    return view


def _start_gang(
    schedule: PoolSchedule, task: Task, now: float
) -> list[StartOrder]:
    """Start all members of a gang, or none."""
    members = task.job.gang(task)
    for member in members:
        is_running = member.name in schedule.run_counts
        if member.state is not TaskState.READY or is_running:
            return []
    orders: list[StartOrder] = []
    run = max(member.next_run(schedule.term) for member in members)
    checkpoint = task.checkpoint
    for member in members:
        view = _find_place(schedule, member, now)
        if view is None:
            for order in orders:
                _unplace(schedule, order, now)
            return []
        member.checkpoint = checkpoint
        orders.append(schedule.place(member, view, now, run))
    return orders


def _unplace(schedule: PoolSchedule, order: StartOrder, now: float) -> None:
    """Take back a placement whose start was not sent."""
    view = schedule.executors[order.executor_id]
    view.drop_run((order.task.name, order.run))
    schedule.requeue(order.task, now)
