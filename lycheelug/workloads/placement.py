"""Placement policies: choose an executor for a task.

Executors that violate a hard constraint of the task (health, labels, free
capacity, maximum number of tasks per executor) are filtered out first; a
policy only chooses among the rest.  Placements are greedy, one task at a
time: running tasks are never moved to free capacity.
"""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING, Final, TypeAlias

from lycheelug.workloads.model import Resources, add_resources
from lycheelug.workloads.placement_hints import StepName
from lycheelug.workloads.placement_policies import (
    PACKING,
    PLACEMENTS,
    keep_apart,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from lycheelug.workloads.executors import ExecutorView
    from lycheelug.workloads.isolation import Isolation
    from lycheelug.workloads.jobs import Task
    from lycheelug.workloads.model import StepSpec
    from lycheelug.workloads.neighbors import Neighbors
    from lycheelug.workloads.placement_hints import PlacementHints
    from lycheelug.workloads.plan_budget import PlanBudget

    # A step, whether its tasks wait for isolation, whether they may end
    # reservations, and whether it matters where their own runs are.
    Kind: TypeAlias = tuple[tuple[str, int, int], bool, bool, bool]

__all__ = [
    "ISOLATION_WAIT_S",
    "PACKING",
    "PLACEMENTS",
    "LastingUse",
    "PlacementRound",
    "count_step_tasks",
    "is_overdue",
    "is_step_full",
    "may_host",
    "members_that_fit",
    "takes_tasks",
]

# For how long a task that is ready waits for an executor to itself, and a
# long-running task for one that is not reserved.
ISOLATION_WAIT_S: Final = 2.0


class PlacementRound:
    """Chooses executors for the tasks that are placed at one moment.

    Which executors take new tasks at all doesn't change within a round, so
    that is checked once for each.  Executors without room for the smallest
    waiting request are left out for the whole round, as placements only
    take room, and an undone placement gives back only what it took.  For the
    same reason a task finds no executor if another one of its step and kind
    has found none.
    """

    __slots__ = (
        "_budget",
        "_failed",
        "_held",
        "_isolation",
        "_last_kind",
        "_last_task",
        "_last_view",
        "_neighbors",
        "_now",
        "_policy",
        "_reserved",
        "_views",
    )

    def __init__(
        self,
        views: Iterable[ExecutorView],
        now: float,
        isolation: Isolation,
        budget: PlanBudget,
        policy: str = "together",
        smallest: Resources | None = None,
        held: Mapping[str, Resources] | None = None,
        neighbors: Neighbors | None = None,
    ) -> None:
        # The tasks to keep apart; None to place all tasks alike.
        self._neighbors = neighbors
        self._isolation = isolation
        self._budget = budget
        self._now = now
        # What only long-running tasks may use, by executor.
        self._held = held or {}
        self._policy = policy
        self._views: list[ExecutorView] = []
        # Executors that are reserved for jobs, by job.
        self._reserved: dict[str, list[ExecutorView]] = {}
        for view in views:
            if smallest is not None and not view.fits(smallest):
                continue
            if not takes_tasks(view, now):
                continue
            job_id = isolation.job_on(view.executor_id)
            if not job_id:
                self._views.append(view)
            elif isolation.is_settled(view, now):
                self._reserved.setdefault(job_id, []).append(view)
        # The kinds of tasks for which there is no executor.
        self._failed: set[Kind] = set()
        # The last placed task, its kind and its executor, unless the next
        # choice must consider all executors again.
        self._last_task: Task | None = None
        self._last_kind: Kind | None = None
        self._last_view: ExecutorView | None = None

    @property
    def has_reservations(self) -> bool:
        """Whether any executor that takes tasks is reserved for a job."""
        return bool(self._reserved)

    def choose(
        self, task: Task, hints: PlacementHints | None = None
    ) -> ExecutorView | None:
        """Return the executor for a task, or None if there is none.

        With placement hints, only executors with a valid ticket for the
        step are considered.  A retry uses the executor of the last failed
        run, or one with recent failures, only if there is no other.

        The caller places the task on the executor, or calls `reset`.
        """
        kind = self._kind(task)
        if kind in self._failed:
            return None
        if self._can_reuse(task, kind):
            self._last_task = task
            return self._last_view
        view = self._choose(task, hints)
        self._last_task = task if hints is None else None
        self._last_kind = kind
        self._last_view = view
        counts_own_runs = kind[3]
        if view is None and not counts_own_runs:
            self._failed.add(kind)
        return view

    def has_failed(self, task: Task) -> bool:
        """Return whether it is known that there is no executor for a task."""
        return bool(self._failed) and self._kind(task) in self._failed

    def has_room_for_gang(
        self, members: list[Task], count: int, hints: PlacementHints | None
    ) -> bool:
        """Return whether a gang fits; one of equal members is enough."""
        first = members[0]
        views = list(self._reserved.get(first.name.job, ()))
        kinds = {self._kind(member)[1:3] for member in members}
        if any(not is_waiting for is_waiting, _ in kinds):
            views.extend(self._views)
        if any(may_end for _, may_end in kinds):
            views.extend(chain.from_iterable(self._reserved.values()))
        self._budget.charge(len(views))
        missing = count
        for view in views:
            if not may_host(view, first, hints, self._now):
                continue
            held = self._held.get(view.executor_id)
            if first.step.lasts:
                held = None
            missing -= members_that_fit(view, first, held)
            if missing <= 0:
                return True
        return False

    def reset(self) -> None:
        """Consider all executors for the next task: one got room back."""
        self._last_task = None
        self._failed.clear()

    def _kind(self, task: Task) -> Kind:
        """Return what tasks of one step have to share to be placed alike."""
        step = task.step
        return (
            task.name[:3],
            self._isolation.may_wait(task, self._now),
            step.lasts and is_overdue(task, self._now),
            # Its own runs don't count for the limit per executor.
            step.may_duplicate and bool(step.max_per_executor),
        )

    def _can_reuse(self, task: Task, kind: Kind) -> bool:
        """Return whether the policy would choose the last executor again.

        The packing policies choose the executor with the least free CPU and
        stay in the zone of the job's last task.  After a placement, this is
        still the last executor, for a task of the same step that avoids
        none.
        """
        last, view = self._last_task, self._last_view
        if last is None or view is None or self._policy not in PACKING:
            return False
        if kind != self._last_kind:
            return False
        for each in (last, task):
            if each.failures or each.avoided_executor:
                return False
        if self._neighbors is not None and self._neighbors.partners(task):
            return False
        return not task.step.max_per_executor and self._has_room(
            view, task.step
        )

    def _has_room(self, view: ExecutorView, step: StepSpec) -> bool:
        """Return whether an executor has room for a task of a step."""
        if not view.fits(step.resources):
            return False
        held = self._held.get(view.executor_id)
        if held is None or step.lasts:
            return True
        return view.fits(add_resources(step.resources, held))

    def _choose(
        self, task: Task, hints: PlacementHints | None
    ) -> ExecutorView | None:
        """Choose among all executors that meet the task's constraints.

        A long-running task that has waited for too long may take one that is
        reserved for another job, which ends the reservation.
        """
        own = self._reserved.get(task.name.job, [])
        view = self._choose_among(own, task, hints)
        if view is not None or self._isolation.may_wait(task, self._now):
            return view
        view = self._choose_among(self._views, task, hints)
        if view is not None:
            return view
        if not task.step.lasts or not is_overdue(task, self._now):
            return None
        reserved = list(chain.from_iterable(self._reserved.values()))
        view = self._choose_among(reserved, task, hints)
        if view is not None:
            self._end_reservation(view)
        return view

    def _end_reservation(self, view: ExecutorView) -> None:
        """Let all tasks of this round use a reserved executor."""
        for views in self._reserved.values():
            if view in views:
                views.remove(view)
        self._views.append(view)
        self._failed.clear()

    def _choose_among(
        self,
        views: list[ExecutorView],
        task: Task,
        hints: PlacementHints | None,
    ) -> ExecutorView | None:
        """Choose among some executors that meet the task's constraints."""
        allowed: list[ExecutorView] = []
        avoided: list[ExecutorView] = []
        now = self._now
        step = task.step
        avoids_any = bool(task.failures or task.avoided_executor)
        self._budget.charge(len(views))
        for view in views:
            if not self._has_room(view, step) or is_step_full(view, task):
                continue
            if not may_host(view, task, hints, now):
                continue
            if avoids_any and _is_avoided(view, task, now):
                avoided.append(view)
                continue
            allowed.append(view)
        candidates = allowed or avoided
        if not candidates:
            return None
        if self._neighbors is not None:
            candidates = keep_apart(self._neighbors, task, candidates)
        return PLACEMENTS.get(self._policy)(task, candidates)


def takes_tasks(view: ExecutorView, now: float) -> bool:
    """Return whether an executor takes new tasks, if it has room."""
    if not view.is_healthy(now):
        return False
    if view.drain_order or view.backoff_until > now:
        return False
    return not view.health.is_quarantined(now)


class LastingUse:
    """What long-running tasks use of the executors, at one moment."""

    __slots__ = ("_used",)

    def __init__(self) -> None:
        self._used: dict[str, Resources] = {}

    def leaves_room(self, view: ExecutorView, needed: Resources) -> bool:
        """Return whether there is room once short runs have ended."""
        used = self._used.get(view.executor_id)
        if used is None:
            used = self._used[view.executor_id] = _lasting_use(view)
        capacity = view.info.capacity
        return (
            used.cpu_millis + needed.cpu_millis <= capacity.cpu_millis
            and used.memory_mb + needed.memory_mb <= capacity.memory_mb
            and used.gpus + needed.gpus <= capacity.gpus
        )


def _lasting_use(view: ExecutorView) -> Resources:
    """Return what the long-running tasks on an executor use."""
    used = Resources(0, 0, 0)
    for run in view.runs.values():
        if run.task is not None and run.task.step.lasts:
            used = add_resources(used, run.resources)
    return used


def is_overdue(task: Task, now: float) -> bool:
    """Return whether isolation must not delay a task any longer."""
    return now - task.ready_at >= ISOLATION_WAIT_S


def _is_avoided(view: ExecutorView, task: Task, now: float) -> bool:
    """Return whether a retry prefers other executors."""
    if view.executor_id == task.avoided_executor:
        return True
    return bool(task.failures) and view.health.has_recent_failures(now)


def may_host(
    view: ExecutorView, task: Task, hints: PlacementHints | None, now: float
) -> bool:
    """Return whether a task may run on an executor that has room for it.

    With placement hints, a valid ticket for the step is needed.
    """
    label = task.step.required_label
    if label and label not in view.info.labels:
        return False
    if hints is None:
        return True
    step = StepName.of(task.name)
    return bool(hints.ticket(step, view.executor_id, now))


def is_step_full(view: ExecutorView, task: Task, claims: int = 0) -> bool:
    """Return whether an executor has as many of the step's tasks as it may.

    The task itself doesn't count.  `claims` is the number of its other tasks
    that will be placed there.
    """
    limit = task.step.max_per_executor
    if not limit or claims + view.count_step_runs(task.name) < limit:
        return False
    return claims + count_step_tasks(view, task) >= limit


def count_step_tasks(view: ExecutorView, task: Task) -> int:
    """Return how many other tasks of a task's step run on an executor."""
    count = view.count_step_runs(task.name)
    if not count or not view.has_runs_of(task.name):
        return count
    for name, _ in view.runs:
        count -= name == task.name
    return count


def members_that_fit(
    view: ExecutorView, member: Task, held: Resources | None = None
) -> int:
    """Return how many members of a gang an executor has room for.

    `held` is the room that they may not use.
    """
    needed = member.step.resources
    capacity = view.info.capacity
    fitting = member.step.count
    limit = member.step.max_per_executor
    if limit:
        fitting = min(fitting, limit - count_step_tasks(view, member))
    taken = Resources(view.used_cpu, view.used_memory, view.used_gpus)
    if held is not None:
        taken = add_resources(taken, held)
    for total, used, each in zip(capacity, taken, needed, strict=True):
        if used > total:
            return 0
        if each:
            fitting = min(fitting, (total - used) // each)
    return max(0, fitting)
