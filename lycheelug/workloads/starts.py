"""Decides which of a pool's waiting tasks to start where; no I/O.

Tasks are placed greedily in the order of `ready_queue`.  A task that
can't be placed doesn't hold up those after it.  A gang is placed as a whole
or not at all.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.workloads.jobs import TaskState
from lycheelug.workloads.model import Resources
from lycheelug.workloads.placement import PlacementRound, UnplaceableRequests
from lycheelug.workloads.placement_hints import StepName

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorView
    from lycheelug.workloads.jobs import Job, Task
    from lycheelug.workloads.orders import StartOrder
    from lycheelug.workloads.pool import PoolSchedule
    from lycheelug.workloads.ready_queue import ReadyStep

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
    waiting = schedule.ready.ordered(unix_ms, schedule.run_times)
    if not waiting:
        return []
    placement = PlacementRound(
        schedule.executors.values(),
        now,
        schedule.isolation,
        schedule.placement,
        _smallest_request(waiting),
    )
    unplaceable = UnplaceableRequests()
    for step in waiting:
        if not _may_start_job(schedule, step.job, earlier_runs_known):
            continue
        try:
            _place_step(schedule, placement, unplaceable, step, now, orders)
        except Exception as error:
            # The orders of the tasks that were placed are sent all the same.
            schedule.ready.defects.append((step.job, error))
    return orders


def _place_step(
    schedule: PoolSchedule,
    placement: PlacementRound,
    unplaceable: UnplaceableRequests,
    step: ReadyStep,
    now: float,
    orders: list[StartOrder],
) -> None:
    """Place the waiting tasks of a step; add their start orders."""
    needs_placement_hint = step.job.policy.needs_placement_hint
    # The others may use more executors than most, or fewer.
    is_limited = not (
        step.spec.is_gang
        or step.spec.lasts
        or needs_placement_hint
        or step.job.progress.crashes
    )
    if is_limited and unplaceable.covers(step.spec.resources):
        return
    for task in step.in_order():
        if not _can_start(schedule, task, now):
            continue
        if step.spec.is_gang:
            orders.extend(_start_gang(schedule, placement, task, now))
            continue
        if is_limited and unplaceable.covers(step.spec.resources):
            break
        view = _choose_executor(schedule, placement, task, now)
        if view is not None:
            orders.append(schedule.place(task, view, now))
        elif is_limited:
            unplaceable.record(step.spec)


def _smallest_request(steps: list[ReadyStep]) -> Resources:
    """Return an amount that is at most each waiting task's request."""
    requests = {step.spec.resources for step in steps}
    return Resources(
        min(request.cpu_millis for request in requests),
        min(request.memory_mb for request in requests),
        min(request.gpus for request in requests),
    )


def _may_start_job(
    schedule: PoolSchedule, job: Job, earlier_runs_known: bool
) -> bool:
    """Return whether tasks of a job may be started now."""
    if not job.is_begun or job.is_final:
        return False
    # Otherwise an earlier owner's run of a task may not be reported yet.
    return job.progress.begun_term == schedule.term or earlier_runs_known


def _can_start(schedule: PoolSchedule, task: Task, now: float) -> bool:
    """Return whether a waiting task of a startable job may be started."""
    if now < task.not_before:
        return False
    if task.name in schedule.run_counts and not task.step.may_duplicate:
        # A superfluous run of this task has not ended yet.
        return False
    if not schedule.crashes.may_start(task, now):
        return False
    if task.failures and task.step.lasts and not task.step.is_gang:
        wait_s = RESTART_WAIT_S * min(task.failures, 10)
        return now - task.ready_at >= wait_s
    return True


def _choose_executor(
    schedule: PoolSchedule,
    placement: PlacementRound,
    task: Task,
    now: float,
) -> ExecutorView | None:
    """Choose an executor for a task, or request missing placement hints."""
    if not task.job.policy.needs_placement_hint:
        return placement.choose(task)
    view = placement.choose(task, schedule.placement_hints)
    if view is None:
        step = StepName.of(task.name)
        wanted = schedule.placement_hints.executors_to_query(
            step, schedule.executors.values(), now
        )
        if wanted:
            schedule.hint_requests[step] = wanted
    return view


def _start_gang(
    schedule: PoolSchedule,
    placement: PlacementRound,
    task: Task,
    now: float,
) -> list[StartOrder]:
    """Place all members of a gang, or none; return the start orders."""
    members = task.job.step_tasks(task)
    for member in members:
        is_running = member.name in schedule.run_counts
        if member.state is not TaskState.READY or is_running:
            return []
    orders: list[StartOrder] = []
    run = max(member.next_run_number(schedule.term) for member in members)
    last_runs = [member.last_run for member in members]
    checkpoint = task.checkpoint
    for member in members:
        view = _choose_executor(schedule, placement, member, now)
        if view is None:
            placement.reset()
            for order in orders:
                last_run = last_runs[order.task.name.number]
                _undo_placement(schedule, order, last_run, now)
            return []
        member.checkpoint = checkpoint
        orders.append(schedule.place(member, view, now, run))
    return orders


def _undo_placement(
    schedule: PoolSchedule, order: StartOrder, last_run: int, now: float
) -> None:
    """Undo a placement whose start has not been sent.

    Its run number is used again, because a term has only so many of them.
    The task has been waiting all the while.
    """
    view = schedule.executors[order.executor_id]
    view.drop_run((order.task.name, order.run))
    ready_at = order.task.ready_at
    schedule.requeue(order.task, now)
    order.task.ready_at = ready_at
    order.task.last_run = last_run
