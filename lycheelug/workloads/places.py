"""Claims room for long-running tasks that have to be placed; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from lycheelug.workloads.model import add_resources
from lycheelug.workloads.placement import (
    LastingUse,
    is_step_full,
    may_host,
    takes_tasks,
)
from lycheelug.workloads.placement_hints import StepName
from lycheelug.workloads.tasks import TaskState

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorView
    from lycheelug.workloads.jobs import Task
    from lycheelug.workloads.model import Resources
    from lycheelug.workloads.pool import PoolSchedule

    # A step, whether its tasks may use executors reserved for their job,
    # whether short runs may end first, and whether the task has other runs.
    Kind: TypeAlias = tuple[StepName, bool, bool, bool]

__all__ = ["Places", "packing_key"]


class Places:
    """The room for long-running tasks on the executors that take tasks.

    Claims only take room.  So once a task has found none, the others of its
    kind find none either, and an executor that was the best one for a task
    stays the best for the others while it has room.
    """

    __slots__ = (
        "_best",
        "_failed",
        "_lasting_use",
        "_now",
        "_schedule",
        "_step_claims",
        "_views",
        "held",
    )

    def __init__(self, schedule: PoolSchedule, now: float) -> None:
        self._schedule = schedule
        self._now = now
        self._views: list[ExecutorView] = []
        for view in schedule.executors.values():
            if takes_tasks(view, now):
                self._views.append(view)
        self._lasting_use = LastingUse()
        # The number of claims, by executor and step.
        self._step_claims: dict[tuple[str, StepName], int] = {}
        # What was claimed, by executor.
        self.held: dict[str, Resources] = {}
        # The kinds without any room, and the last executor of the others.
        self._failed: set[Kind] = set()
        self._best: dict[Kind, ExecutorView] = {}

    def claim(self, task: Task) -> bool:
        """Claim room that is free now; return whether there is any.

        The executor with the least free CPU is chosen, as by the packing
        placement policies.
        """
        return self._claim(task, is_later=False)

    def claim_later(self, task: Task) -> bool:
        """Claim room that is free once short runs have ended.

        The executor with the most free CPU is chosen.  Return whether there
        is any.
        """
        return self._claim(task, is_later=True)

    def _claim(self, task: Task, is_later: bool) -> bool:
        """Claim room on the best executor; return whether there is any."""
        kind = self._kind(task, is_later)
        if kind in self._failed:
            return False
        best = self._best.get(kind)
        if best is None or not self._has_room(best, task, is_later):
            best = self._find_best(task, is_later)
        if best is None:
            self._failed.add(kind)
            return False
        has_other_runs = kind[3]
        if not has_other_runs:
            self._best[kind] = best
        step = StepName.of(task.name)
        self.held[best.executor_id] = self._with_claims(best, task)
        key = (best.executor_id, step)
        self._step_claims[key] = self._step_claims.get(key, 0) + 1
        return True

    def _kind(self, task: Task, is_later: bool) -> Kind:
        """Return what tasks have to share to find the same executors."""
        runs = self._schedule.run_counts[task.name]
        own = 1 if task.state is TaskState.PLACED else 0
        return (
            StepName.of(task.name),
            task.needs_isolation,
            is_later,
            bool(task.step.max_per_executor) and runs > own,
        )

    def _find_best(self, task: Task, is_later: bool) -> ExecutorView | None:
        """Return the best executor with room for a task, if there is one."""
        found: list[ExecutorView] = []
        for view in self._allowed(task):
            if self._has_room(view, task, is_later):
                found.append(view)
        if not found:
            return None
        if is_later:
            return max(found, key=packing_key)
        return min(found, key=packing_key)

    def _allowed(self, task: Task) -> list[ExecutorView]:
        """Return the executors that may run a task if they have room."""
        hints = None
        step = StepName.of(task.name)
        if task.job.policy.needs_placement_hint:
            hints = self._schedule.placement_hints
            wanted = hints.executors_to_query(
                step, self._schedule.executors.values(), self._now
            )
            if wanted:
                self._schedule.hint_requests[step] = wanted
        reservable = ("", task.name.job) if task.needs_isolation else ("",)
        found: list[ExecutorView] = []
        for view in self._views:
            job_id = self._schedule.isolation.job_on(view.executor_id)
            if job_id not in reservable:
                continue
            if may_host(view, task, hints, self._now):
                found.append(view)
        return found

    def _has_room(
        self, view: ExecutorView, task: Task, is_later: bool
    ) -> bool:
        """Return whether an executor has room besides what was claimed."""
        key = (view.executor_id, StepName.of(task.name))
        if is_step_full(view, task, self._step_claims.get(key, 0)):
            return False
        needed = self._with_claims(view, task)
        if is_later:
            return self._lasting_use.leaves_room(view, needed)
        return view.fits(needed)

    def _with_claims(self, view: ExecutorView, task: Task) -> Resources:
        """Return a task's request and what was claimed on an executor."""
        held = self.held.get(view.executor_id)
        needed = task.step.resources
        return needed if held is None else add_resources(needed, held)


def packing_key(view: ExecutorView) -> tuple[int, str]:
    """Return the sort key of executors, the one with least free CPU first."""
    free_cpu = view.info.capacity.cpu_millis - view.used_cpu
    return (free_cpu, view.info.host or view.executor_id)
