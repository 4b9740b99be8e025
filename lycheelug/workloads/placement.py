"""Placement policies: choose an executor for a task.

Executors that violate a hard constraint of the task (health, labels, free
capacity, maximum number of tasks per executor) are filtered out first; a
policy only chooses among the rest.  Placements are greedy, one task at a
time: running tasks are never moved to free capacity.
"""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING, Final

from lycheelug.registry import Registry
from lycheelug.workloads.model import add_resources
from lycheelug.workloads.placement_hints import StepName

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from lycheelug.workloads.executors import ExecutorView
    from lycheelug.workloads.isolation import Isolation
    from lycheelug.workloads.jobs import Task
    from lycheelug.workloads.model import Resources, StepSpec
    from lycheelug.workloads.placement_hints import PlacementHints

    Policy = Callable[[Task, list[ExecutorView]], ExecutorView]

__all__ = [
    "ISOLATION_WAIT_S",
    "PACKING",
    "PLACEMENTS",
    "PlacementRound",
    "UnplaceableRequests",
    "count_step_tasks",
    "is_overdue",
    "is_step_full",
    "may_host",
    "takes_tasks",
    "will_have_room",
]

PLACEMENTS: Final[Registry[Policy]] = Registry("placement policy")
# The policies that choose the executor with the least free CPU.
PACKING: Final = frozenset({"pack", "together"})
# For how long a task that is ready waits for an executor to itself, and a
# long-running task for one that is not reserved.
ISOLATION_WAIT_S: Final = 2.0


class PlacementRound:
    """Chooses executors for the tasks that are placed at one moment.

    Which executors take new tasks at all doesn't change within a round, so
    that is checked once for each.  Executors without room for the smallest
    waiting request are left out for the whole round, as placements only
    take room, and an undone placement gives back only what it took.
    """

    __slots__ = (
        "_held",
        "_isolation",
        "_last_task",
        "_last_view",
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
        policy: str = "together",
        smallest: Resources | None = None,
        held: Mapping[str, Resources] | None = None,
    ) -> None:
        self._isolation = isolation
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
        # The last placed task and its executor, unless the next choice must
        # consider all executors again.
        self._last_task: Task | None = None
        self._last_view: ExecutorView | None = None

    def choose(
        self, task: Task, hints: PlacementHints | None = None
    ) -> ExecutorView | None:
        """Return the executor for a task, or None if there is none.

        With placement hints, only executors with a valid ticket for the
        step are considered.  A retry uses the executor of the last failed
        run, or one with recent failures, only if there is no other.

        The caller places the task on the executor, or calls `reset`.
        """
        if self._can_reuse(task):
            self._last_task = task
            return self._last_view
        view = self._choose(task, hints)
        self._last_task = task if hints is None else None
        self._last_view = view
        return view

    def reset(self) -> None:
        """Consider all executors for the next task: one got room back."""
        self._last_task = None

    def _can_reuse(self, task: Task) -> bool:
        """Return whether the policy would choose the last executor again.

        The packing policies choose the executor with the least free CPU and
        stay in the zone of the job's last task.  After a placement, this is
        still the last executor, for a task of the same step that avoids
        none.
        """
        last, view = self._last_task, self._last_view
        if last is None or view is None or self._policy not in PACKING:
            return False
        if last.job is not task.job or last.name[:3] != task.name[:3]:
            return False
        if task.job.progress.crashes:
            return False
        for each in (last, task):
            if each.failures or each.avoided_executor:
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
        return PLACEMENTS.get(self._policy)(task, candidates)


class UnplaceableRequests:
    """Resource requests that no executor could satisfy in this round.

    Requests that are at least as large in every resource can't be satisfied
    either, so a long queue doesn't check every executor for every task.
    """

    __slots__ = ("_requests",)

    def __init__(self) -> None:
        self._requests: list[Resources] = []

    def covers(self, resources: Resources) -> bool:
        """Return whether a request is known to be unsatisfiable."""
        for request in self._requests:
            if (
                request.cpu_millis <= resources.cpu_millis
                and request.memory_mb <= resources.memory_mb
                and request.gpus <= resources.gpus
            ):
                return True
        return False

    def record(self, step: StepSpec) -> None:
        """Record the request of a step whose task could not be placed.

        Ignored if another constraint than the request may be the reason.
        """
        if step.required_label or step.max_per_executor:
            return
        if not self.covers(step.resources):
            self._requests.append(step.resources)


def takes_tasks(view: ExecutorView, now: float) -> bool:
    """Return whether an executor takes new tasks, if it has room."""
    if not view.is_healthy(now):
        return False
    if view.drain_order or view.backoff_until > now:
        return False
    return not view.health.is_quarantined(now)


def will_have_room(view: ExecutorView, needed: Resources) -> bool:
    """Return whether an executor has room once short runs have ended.

    Long-running tasks keep theirs.
    """
    for run in view.runs.values():
        if run.task is not None and run.task.step.lasts:
            needed = add_resources(needed, run.resources)
    capacity = view.info.capacity
    return (
        needed.cpu_millis <= capacity.cpu_millis
        and needed.memory_mb <= capacity.memory_mb
        and needed.gpus <= capacity.gpus
    )


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
    return bool(limit) and claims + count_step_tasks(view, task) >= limit


def count_step_tasks(view: ExecutorView, task: Task) -> int:
    """Return how many other tasks of a task's step run on an executor."""
    count = 0
    name = task.name
    for other, _ in view.runs:
        if (
            other.job == name.job
            and other.step == name.step
            and other.occurrence == name.occurrence
            and other.number != name.number
        ):
            count += 1
    return count


def _prefer_data_rack(
    task: Task, views: list[ExecutorView]
) -> list[ExecutorView]:
    """Return the executors in the rack of the step's data, or else all."""
    rack = task.step.data_rack
    if not rack:
        return views
    candidates = [view for view in views if rack in view.info.labels]
    return candidates or views


@PLACEMENTS.register("pack")
def pack(task: Task, views: list[ExecutorView]) -> ExecutorView:
    """Choose the executor with the least free CPU, so that others empty.

    Short and long-running tasks are both packed.  Ties are broken by name,
    so that all daemons choose alike.
    """
    best = None
    best_key: tuple[float, str] | None = None
    for view in _prefer_data_rack(task, views):
        capacity = view.info.capacity
        free = 0.0
        if capacity.cpu_millis:
            free += 1 - view.used_cpu / capacity.cpu_millis
        key = (free, view.info.host or view.executor_id)
        if best_key is None or key < best_key:
            best, best_key = view, key
    assert best is not None
    return best


@PLACEMENTS.register("together")
def pack_in_zone(task: Task, views: list[ExecutorView]) -> ExecutorView:
    """Keep a job in one zone if possible, and pack within the zone.

    The loss of a zone or a rack then delays few jobs, rather than one or two
    tasks of almost every job.  Long-running tasks are of value independently
    of each other, so they are packed without regard to zones.
    """
    candidates = _prefer_data_rack(task, views)
    zone = task.job.home_zone
    if zone and not task.step.lasts:
        at_home = [view for view in candidates if view.info.zone == zone]
        candidates = at_home or candidates
    return pack(task, candidates)


@PLACEMENTS.register("spread")
def spread(task: Task, views: list[ExecutorView]) -> ExecutorView:
    """Choose the executor with the most free CPU; serves as a baseline."""
    best = None
    best_key: tuple[float, str] | None = None
    for view in _prefer_data_rack(task, views):
        capacity = view.info.capacity
        used = 0.0
        if capacity.cpu_millis:
            used = view.used_cpu / capacity.cpu_millis
        key = (used, view.info.host or view.executor_id)
        if best_key is None or key < best_key:
            best, best_key = view, key
    assert best is not None
    return best
