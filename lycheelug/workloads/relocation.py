"""Moves long-running tasks off executors that are being drained; no I/O.

A step limits how many of its tasks may be unavailable at once, for whatever
reason.  Tasks are therefore stopped a few at a time, and the next ones only
once those before are running elsewhere; even if the step allows none to be
unavailable, one task at a time is stopped.

A task is stopped only if another executor has room for it, besides what the
other long-running tasks that wait or are being stopped will take.  The room
is held until the task has been placed.  If an executor would have room once
its short runs have ended, it is held as well, so that it becomes free.  The
stopped tasks are placed again like any others.

A drain order is refused if a long-running task has no other place than the
host.  The fleet planner withdraws it then, and the host is used again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.workloads.executors import RunPhase
from lycheelug.workloads.model import Resources, add_resources
from lycheelug.workloads.placement import (
    LastingUse,
    is_step_full,
    may_host,
)
from lycheelug.workloads.placement_hints import StepName
from lycheelug.workloads.places import Places, packing_key
from lycheelug.workloads.tasks import TaskState

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from lycheelug.workloads.executors import ExecutorView, Run
    from lycheelug.workloads.jobs import Task
    from lycheelug.workloads.pool import PoolSchedule

__all__ = ["Relocations"]

# Progress at which a long-running task has finished its startup.
READY_PERCENT: Final = 100
# Executors are polled every 0.8 s; if a report is older than this, the
# executor may have crashed since.
REPORT_MAX_AGE_S: Final = 1.2
# An order is refused once a task has had no other place for this long, as a
# replacement may have arrived without having reported yet.
BLOCKED_S: Final = 1.0
# The same for a task that is not running.
WAITING_S: Final = 0.5
# Tasks of one step without a place that one plan considers.
UNPLACED_MAX: Final = 100


class Relocations:
    """The relocations of long-running tasks in one pool."""

    __slots__ = ("_blocked_since", "_not_before", "held", "refused")

    def __init__(self, not_before: float) -> None:
        # Local time before which no task is relocated.
        self._not_before = not_before
        # Local time since which an executor's tasks have no other place.
        self._blocked_since: dict[str, float] = {}
        # What only long-running tasks may use, by executor.
        self.held: dict[str, Resources] = {}
        # The refused drain orders, by executor.
        self.refused: dict[str, str] = {}

    def plan(self, schedule: PoolSchedule, now: float) -> None:
        """Mark the long-running runs that may be stopped now."""
        leaving: list[ExecutorView] = []
        for view in schedule.executors.values():
            if view.drain_order or view.info.draining:
                leaving.append(view)
        if not leaving:
            self._blocked_since.clear()
            self.held = {}
            self.refused = {}
            return
        places = Places(schedule, now)
        unavailable = _UnavailableTasks(schedule.executors, now)
        unplaced = _claim_for_stopped(schedule, places, now)
        blocked: set[str] = set()
        for view in leaving:
            if now < self._not_before:
                continue
            if _mark_runs(view, places, unavailable):
                blocked.add(view.executor_id)
        self.held = places.held
        self._update_refused(schedule, leaving, blocked, unplaced, now)

    def _update_refused(
        self,
        schedule: PoolSchedule,
        leaving: list[ExecutorView],
        blocked: set[str],
        unplaced: list[Task],
        now: float,
    ) -> None:
        """Refuse the orders for hosts that long-running tasks need."""
        self._blocked_since = {
            executor_id: self._blocked_since.get(executor_id, now)
            for executor_id in blocked
        }
        refused: dict[str, str] = {}
        for view in leaving:
            since = self._blocked_since.get(view.executor_id, now)
            if view.drain_order and now - since >= BLOCKED_S:
                refused[view.executor_id] = view.drain_order
        _refuse_for_waiting(leaving, unplaced, refused, now)
        for executor_id, number in refused.items():
            if self.refused.get(executor_id) == number:
                continue
            view = schedule.executors[executor_id]
            fields = {
                "executor": executor_id,
                "host": view.info.host,
                "number": number,
                "runs": len(view.runs),
                "is_blocked": executor_id in blocked,
                "unplaced": len(unplaced),
            }
            schedule.crashes.events.append(("drain-refused", fields))
        self.refused = refused


class _UnavailableTasks:
    """The tasks of steps that may be unavailable, looked for once a step."""

    __slots__ = ("_executors", "_now", "_numbers")

    def __init__(
        self, executors: Mapping[str, ExecutorView], now: float
    ) -> None:
        self._executors = executors
        self._now = now
        # Their numbers in the step, by step.
        self._numbers: dict[StepName, set[int]] = {}

    def count_others(self, task: Task) -> int:
        """Return how many other tasks of a task's step may be unavailable."""
        numbers = self._of_step(task)
        return len(numbers) - (task.name.number in numbers)

    def add(self, task: Task) -> None:
        """Record that a task is being stopped."""
        self._of_step(task).add(task.name.number)

    def _of_step(self, task: Task) -> set[int]:
        """Return the numbers of such tasks of a task's step."""
        step = StepName.of(task.name)
        known = self._numbers.get(step)
        if known is not None:
            return known
        numbers: set[int] = set()
        for other in task.job.step_tasks(task):
            if not self._is_available(other):
                numbers.add(other.name.number)
        self._numbers[step] = numbers
        return numbers

    def _is_available(self, task: Task) -> bool:
        """Return whether a task was reported as ready lately."""
        view = self._executors.get(task.executor_id)
        run = view.runs.get((task.name, task.run)) if view else None
        return (
            view is not None
            and run is not None
            and _has_recent_report(view, self._now)
            and run.phase is RunPhase.RUNNING
            and run.percent >= READY_PERCENT
        )


def _claim_for_stopped(
    schedule: PoolSchedule, places: Places, now: float
) -> list[Task]:
    """Claim room for the tasks that wait or are being stopped.

    Return those that have waited for a while without any room.
    """
    unplaced: list[Task] = []
    for step in schedule.ready.long_running_steps():
        if step.job.is_final:
            continue
        unplaced_before = len(unplaced)
        for task in step.in_order():
            if len(unplaced) - unplaced_before >= UNPLACED_MAX:
                break
            if now < task.not_before:
                continue
            if not schedule.crashes.may_start(task, now):
                continue
            if places.claim(task) or places.claim_later(task):
                continue
            if now - task.ready_at >= WAITING_S:
                unplaced.append(task)
    for view in schedule.executors.values():
        for run in view.runs.values():
            task_or_none = _relocatable_task(run)
            if task_or_none is None or run.phase is not RunPhase.STOPPING:
                continue
            if not places.claim(task_or_none):
                places.claim_later(task_or_none)
    return unplaced


def _mark_runs(
    view: ExecutorView, places: Places, unavailable: _UnavailableTasks
) -> bool:
    """Mark the runs of an executor that may be stopped now.

    Return whether a run that might be stopped has no other place.
    """
    is_blocked = False
    for run in view.runs.values():
        task = _relocatable_task(run)
        if task is None or run.phase is not RunPhase.RUNNING:
            continue
        if unavailable.count_others(task) >= max(1, task.step.may_miss):
            continue
        if places.claim(task):
            run.phase = RunPhase.STOPPING
            run.stop_reason = "host is being drained"
            unavailable.add(task)
        elif not places.claim_later(task):
            is_blocked = True
    return is_blocked


def _relocatable_task(run: Run) -> Task | None:
    """Return the long-running task of a run, unless its job has ended."""
    task = run.task
    if task is None or not task.step.lasts or task.job.is_final:
        return None
    return None if task.state is TaskState.DONE else task


def _refuse_for_waiting(
    leaving: Iterable[ExecutorView],
    unplaced: Iterable[Task],
    refused: dict[str, str],
    now: float,
) -> None:
    """Refuse orders for hosts that tasks without a place could run on."""
    usable: list[ExecutorView] = []
    for view in leaving:
        if not view.drain_order or not view.is_healthy(now):
            continue
        if not view.health.is_quarantined(now):
            usable.append(view)
    lasting_use = LastingUse()
    held: dict[str, Resources] = {}
    # Steps of which a task could run on none of them.
    hopeless: set[StepName] = set()
    for task in unplaced:
        step = StepName.of(task.name)
        if step in hopeless:
            continue
        found: list[ExecutorView] = []
        for view in usable:
            taken = held.get(view.executor_id, Resources(0, 0, 0))
            needed = add_resources(task.step.resources, taken)
            if is_step_full(view, task) or not may_host(view, task, None, now):
                continue
            if lasting_use.leaves_room(view, needed):
                found.append(view)
        if not found:
            hopeless.add(step)
            continue
        best = min(
            found,
            key=lambda view: (
                view.executor_id not in refused,
                packing_key(view),
            ),
        )
        taken = held.get(best.executor_id, Resources(0, 0, 0))
        held[best.executor_id] = add_resources(task.step.resources, taken)
        refused[best.executor_id] = best.drain_order


def _has_recent_report(view: ExecutorView, now: float) -> bool:
    """Return whether an executor's last report is recent and complete.

    A run that an incomplete one doesn't list may have ended.
    """
    return (
        view.last_report_at is not None
        and view.lists_all_ends
        and now - view.last_report_at <= REPORT_MAX_AGE_S
    )
