"""Decides which of a pool's waiting tasks to start where; no I/O.

Tasks are placed greedily in the order of `placement_key`.  A task that
can't be placed doesn't hold up those after it.  A gang is placed as a whole
or not at all.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.workloads.jobs import TaskState
from lycheelug.workloads.orders import StartOrder, placement_key
from lycheelug.workloads.placement import UnplaceableRequests, choose_executor
from lycheelug.workloads.placement_hints import StepName

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorView
    from lycheelug.workloads.jobs import Task
    from lycheelug.workloads.pool import PoolSchedule

__all__ = ["plan_starts"]

# Delay before a long-running task is restarted, per earlier failure (up to
# 10 failures).
RESTART_WAIT_S: Final = 0.1


def plan_starts(
    schedule: PoolSchedule, now: float, unix_ms: int
) -> list[StartOrder]:
    """Place waiting tasks in free capacity; return their start orders."""
    if not schedule.ready:
        return []
    orders: list[StartOrder] = []
    earlier_runs_known = schedule.earlier_runs_known(now)
    waiting = sorted(
        schedule.ready.values(),
        key=lambda task: placement_key(task, unix_ms, schedule.run_times),
    )
    unplaceable = UnplaceableRequests()
    for task in waiting:
        if not _can_start(schedule, task, earlier_runs_known, now):
            continue
        if task.step.is_gang:
            orders.extend(_start_gang(schedule, task, now))
            continue
        needs_placement_hint = task.job.policy.needs_placement_hint
        if (
            unplaceable.covers(task.step.resources)
            and not needs_placement_hint
        ):
            continue
        view = _choose_executor(schedule, task, now)
        if view is not None:
            orders.append(schedule.place(task, view, now))
        elif not needs_placement_hint:
            unplaceable.record(task)
    return orders


def _can_start(
    schedule: PoolSchedule, task: Task, earlier_runs_known: bool, now: float
) -> bool:
    """Return whether a waiting task may be started now."""
    job = task.job
    if not job.is_begun or job.is_final:
        return False
    if job.progress.begun_term != schedule.term and not earlier_runs_known:
        # An earlier owner's run of this task may not be reported yet.
        return False
    if now < task.not_before:
        return False
    if task.name in schedule.run_counts and not task.step.may_duplicate:
        # A superfluous run of this task has not ended yet.
        return False
    if task.failures and task.step.lasts and not task.step.is_gang:
        wait_s = RESTART_WAIT_S * min(task.failures, 10)
        return now - task.ready_at >= wait_s
    return True


def _choose_executor(
    schedule: PoolSchedule, task: Task, now: float
) -> ExecutorView | None:
    """Choose an executor for a task, or request missing placement hints."""
    views = schedule.executors.values()
    if not task.job.policy.needs_placement_hint:
        return choose_executor(task, views, now, schedule.placement)
    view = choose_executor(
        task, views, now, schedule.placement, schedule.placement_hints
    )
    if view is None:
        step = StepName.of(task.name)
        wanted = schedule.placement_hints.executors_to_query(step, views, now)
        if wanted:
            schedule.hint_requests[step] = wanted
    return view


def _start_gang(
    schedule: PoolSchedule, task: Task, now: float
) -> list[StartOrder]:
    """Place all members of a gang, or none; return the start orders."""
    members = task.job.step_tasks(task)
    for member in members:
        is_running = member.name in schedule.run_counts
        if member.state is not TaskState.READY or is_running:
            return []
    orders: list[StartOrder] = []
    run = max(member.next_run_number(schedule.term) for member in members)
    checkpoint = task.checkpoint
    for member in members:
        view = _choose_executor(schedule, member, now)
        if view is None:
            for order in orders:
                _undo_placement(schedule, order, now)
            return []
        member.checkpoint = checkpoint
        orders.append(schedule.place(member, view, now, run))
    return orders


def _undo_placement(
    schedule: PoolSchedule, order: StartOrder, now: float
) -> None:
    """Undo a placement whose start has not been sent."""
    view = schedule.executors[order.executor_id]
    view.drop_run((order.task.name, order.run))
    schedule.requeue(order.task, now)
