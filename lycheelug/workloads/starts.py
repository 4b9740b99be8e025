"""Decides which of a pool's waiting tasks to start where; no I/O.

Tasks are placed greedily in the order of `ready_queue`.  A task that
can't be placed doesn't hold up those after it.  A gang is placed as a whole
or not at all.  A task whose tenant has no room under its cap waits, without a
search for an executor.

A plan has a budget (`plan_budget`).  If it has considered as many executors
as it may, the next plan begins with the steps that it hasn't reached.
"""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING, Final

from lycheelug.tenants.amounts import times
from lycheelug.workloads.jobs import TaskState
from lycheelug.workloads.model import Resources
from lycheelug.workloads.placement import PlacementRound
from lycheelug.workloads.placement_hints import StepName
from lycheelug.workloads.unplaceable import UnplaceableRequests

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
# Tasks that have runs at the same time in a pool, of which an owner keeps what
# each report says.  Tasks without requests fit anywhere, so executors alone
# don't limit them.
RUNS_MAX: Final = 10_000


def plan_starts(
    schedule: PoolSchedule, now: float, unix_ms: int
) -> list[StartOrder]:
    """Place waiting tasks in free capacity; return their start orders."""
    earlier_runs_known = schedule.earlier_runs_known(now)
    schedule.tenant_shares.begin_plan(earlier_runs_known)
    if not schedule.ready or len(schedule.run_counts) >= RUNS_MAX:
        return []
    orders: list[StartOrder] = []
    waiting = schedule.ready.ordered(unix_ms, schedule.run_times)
    if not waiting:
        return []
    placement = PlacementRound(
        schedule.executors.values(),
        now,
        schedule.isolation,
        schedule.budget,
        schedule.placement,
        _smallest_request(waiting),
        schedule.relocations.held,
        schedule.neighbors,
    )
    unplaceable = UnplaceableRequests()
    for step in schedule.ready.take_resumed(waiting):
        if schedule.budget.is_spent:
            if schedule.budget.are_checks_spent:
                schedule.ready.resume_from(step)
            break
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
    # Whether tasks that were never started find the same executors.
    are_alike = not step.job.progress.crashes
    if step.spec.lasts and placement.has_reservations:
        # A long-running task may end a reservation, and those after it then
        # find an executor.
        are_alike = False
    if step.spec.is_gang:
        orders.extend(_place_gang(schedule, placement, step, now))
        return
    tasks = step.in_order()
    while (task := next(tasks, None)) is not None:
        if schedule.budget.is_spent:
            return
        if is_limited and unplaceable.covers(step.spec.resources):
            return
        if placement.has_failed(task):
            if are_alike and not step.tasks.is_kept(task.name.number):
                # Neither is there an executor for the others that were never
                # started.
                tasks = step.kept_after(task)
                are_alike = False
            continue
        if not _can_start(schedule, task, now):
            continue
        if not _has_room_under_cap(schedule, task):
            return
        view = _choose_executor(schedule, placement, task, now)
        if view is not None:
            orders.append(schedule.place(task, view, now))
            schedule.budget.charge_start()
        elif is_limited:
            unplaceable.record(step.spec)


def _place_gang(
    schedule: PoolSchedule,
    placement: PlacementRound,
    step: ReadyStep,
    now: float,
) -> list[StartOrder]:
    """Place a gang if one of its tasks may be started; return its orders.

    Another task would not find more room for the gang.
    """
    tasks = step.in_order()
    first = next(tasks)
    if _awaits_policy(first, now):
        return []
    if not _may_fit(placement, step, first):
        return []
    for task in chain([first], tasks):
        if _can_start(schedule, task, now):
            return _start_gang(schedule, placement, task, now)
    return []


def _may_fit(placement: PlacementRound, step: ReadyStep, first: Task) -> bool:
    """Return False if a gang surely doesn't fit, without all its members.

    Members that were never started find the same executors.
    """
    if step.count < step.spec.count:
        return False
    policy = step.job.policy
    if policy.needs_placement_hint or step.job.progress.crashes:
        return True
    if step.tasks.kept_count:
        return True
    return placement.has_room_for_gang([first], step.spec.count, None)


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
    if now < task.not_before or schedule.late_starts.is_held(task.name, now):
        return False
    if not task.step.is_gang and _awaits_policy(task, now):
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


def _has_room_under_cap(
    schedule: PoolSchedule, task: Task, count: int = 1
) -> bool:
    """Return whether a task's tenant may run so many more of its step."""
    tenant = task.job.record.tenant
    if not tenant:
        return True
    request = task.step.request
    amount = request if count == 1 else times(request, count)
    return schedule.tenant_shares.has_room(tenant, amount, request)


def _awaits_policy(task: Task, now: float) -> bool:
    """Return whether a task waits until its queue's policy is known.

    It may need a ticket, and if it has failed, it may have no attempt left.
    """
    policy = task.job.policy
    if policy.is_known:
        return False
    if now < policy.held_until:
        return True
    failures = task.job.progress.failures
    if not failures:
        return False
    members = task.job.step_tasks(task) if task.step.is_gang else [task]
    return any(member.key in failures for member in members)


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
        _request_hints(schedule, task, now)
    return view


def _request_hints(schedule: PoolSchedule, task: Task, now: float) -> None:
    """Request the missing placement hints of a task's step."""
    step = StepName.of(task.name)
    wanted = schedule.placement_hints.executors_to_query(
        step, schedule.executors.values(), now
    )
    if wanted:
        schedule.hint_requests[step] = wanted


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
        if schedule.late_starts.is_held(member.name, now):
            return []
    if not _has_room_under_cap(schedule, task, len(members)):
        return []
    hints = None
    if task.job.policy.needs_placement_hint:
        hints = schedule.placement_hints
    if not placement.has_room_for_gang(members, len(members), hints):
        if hints is not None:
            _request_hints(schedule, task, now)
        return []
    undo = _GangUndo(schedule, task.job)
    orders: list[StartOrder] = []
    run = max(member.next_run_number(schedule.term) for member in members)
    for member in members:
        view = _choose_executor(schedule, placement, member, now)
        if view is None:
            placement.reset()
            undo.apply(orders, now)
            return []
        undo.note(member, view)
        orders.append(schedule.place(member, view, now, run))
        schedule.budget.charge_start()
    for member in members:
        member.checkpoint = task.checkpoint
    return orders


class _GangUndo:
    """Undoes the placement of a gang of which no start has been sent."""

    __slots__ = (
        "_home_zone",
        "_job",
        "_last_runs",
        "_leases",
        "_reservations",
        "_schedule",
        "_were_kept",
    )

    def __init__(self, schedule: PoolSchedule, job: Job) -> None:
        self._schedule = schedule
        self._job = job
        self._home_zone = job.home_zone
        self._reservations = schedule.isolation.reservations
        self._last_runs: dict[int, int] = {}
        # Whether the tasks were kept before.
        self._were_kept: dict[int, bool] = {}
        # When the leases on the executors end, in local time.
        self._leases: dict[str, float] = {}

    def note(self, member: Task, view: ExecutorView) -> None:
        """Note the state before a member is placed."""
        self._last_runs[member.name.number] = member.last_run
        tasks = member.job.tasks_beside(member)
        self._were_kept[member.name.number] = tasks.is_kept(member.name.number)
        self._leases.setdefault(view.executor_id, view.leases_end_at)

    def apply(self, orders: list[StartOrder], now: float) -> None:
        """Undo the placements.

        Their run number is used again, because a term has only so many of
        them.  The tasks have been waiting all the while.
        """
        schedule = self._schedule
        for order in orders:
            task = order.task
            schedule.executors[order.executor_id].drop_run(
                (task.name, order.run)
            )
            ready_at = task.ready_at
            schedule.requeue(task, now)
            task.ready_at = ready_at
            task.last_run = self._last_runs[task.name.number]
            if not self._were_kept[task.name.number]:
                task.job.tasks_beside(task).drop(task)
        for executor_id, ends_at in self._leases.items():
            schedule.executors[executor_id].leases_end_at = ends_at
        self._job.home_zone = self._home_zone
        schedule.isolation.undo_releases(schedule, self._reservations)
