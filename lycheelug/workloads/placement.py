"""Placement policies: choose an executor for a task.

Executors that violate a hard constraint of the task (health, labels, free
capacity, maximum number of tasks per executor) are filtered out first; a
policy only chooses among the rest.  Placements are greedy, one task at a
time: running tasks are never moved to free capacity.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.registry import Registry
from lycheelug.workloads.placement_hints import StepName

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lycheelug.workloads.executors import ExecutorView
    from lycheelug.workloads.jobs import Task
    from lycheelug.workloads.model import Resources
    from lycheelug.workloads.placement_hints import PlacementHints

    Policy = Callable[[Task, list[ExecutorView]], ExecutorView]

__all__ = ["PLACEMENTS", "UnplaceableRequests", "can_host", "choose_executor"]

PLACEMENTS: Final[Registry[Policy]] = Registry("placement policy")


def can_host(view: ExecutorView, task: Task, now: float) -> bool:
    """Return whether an executor meets all hard constraints of a task."""
    if not view.is_healthy(now):
        return False
    if view.drain_order or view.backoff_until > now:
        return False
    if view.health.is_quarantined(now):
        return False
    step = task.step
    if step.required_label and step.required_label not in view.info.labels:
        return False
    if not view.fits(step.resources):
        return False
    return step.max_per_executor == 0 or (
        _same_step_runs(view, task) < step.max_per_executor
    )


def choose_executor(
    task: Task,
    views: Iterable[ExecutorView],
    now: float,
    policy: str = "together",
    hints: PlacementHints | None = None,
) -> ExecutorView | None:
    """Return the executor for a task, or None if there is none.

    With placement hints, only executors with a valid ticket for the step
    are considered.  A retry uses the executor of the last failed run, or
    one with recent failures, only if there is no other.
    """
    allowed: list[ExecutorView] = []
    avoided: list[ExecutorView] = []
    for view in views:
        if not can_host(view, task, now):
            continue
        step = StepName.of(task.name)
        if hints and not hints.ticket(step, view.executor_id, now):
            continue
        is_unreliable = task.failures and view.health.has_recent_failures(now)
        if view.executor_id == task.avoided_executor or is_unreliable:
            avoided.append(view)
            continue
        allowed.append(view)
    if not allowed:
        allowed = avoided
    if not allowed:
        return None
    return PLACEMENTS.get(policy)(task, allowed)


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

    def record(self, task: Task) -> None:
        """Record the request of a task that could not be placed.

        Ignored if another constraint than the request may be the reason.
        """
        step = task.step
        if step.required_label or step.max_per_executor:
            return
        if not self.covers(step.resources):
            self._requests.append(step.resources)


def _same_step_runs(view: ExecutorView, task: Task) -> int:
    """Return the number of other tasks of the same step on an executor."""
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
