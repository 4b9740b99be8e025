"""Where a task goes: the registry of placement policies.

A policy is given the executors that may take a task and picks one.  What
may take it at all (room, labels, spreading, a lease that is sure) is not a
policy's choice and is checked here first.
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
    """Whether an executor may be given a task at all."""
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
    """Return the executor for a task; None where none may take it.

    With advice, only executors with a ticket for the step may.
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
    """Rooms for which no executor had space in one round of placing.

    What asks for as much or more has no place either, so a long queue costs
    no look at each executor for each task.
    """

    __slots__ = ("_requests",)

    def __init__(self) -> None:
        self._requests: list[Resources] = []

    def covers(self, resources: Resources) -> bool:
        """Whether a room is known to have no place."""
        for request in self._requests:
            if (
                request.cpu_millis <= resources.cpu_millis
                and request.memory_mb <= resources.memory_mb
                and request.gpus <= resources.gpus
            ):
                return True
        return False

    def record(self, task: Task) -> None:
        """Take in that a task has found no place.

        Only where nothing but its room can have been the reason.
        """
        step = task.step
        if step.required_label or step.max_per_executor:
            return
        if not self.covers(step.resources):
            self._requests.append(step.resources)


def _same_step_runs(view: ExecutorView, task: Task) -> int:
    """Return how many tasks of a task's step an executor has."""
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
    """Return the executors in the rack of a step's data, if any may."""
    rack = task.step.data_rack
    if not rack:
        return views
    candidates = [view for view in views if rack in view.info.labels]
    return candidates or views


@PLACEMENTS.register("pack")
def pack(task: Task, views: list[ExecutorView]) -> ExecutorView:
    """Fill the fullest executor, so that others come free.

    Short tasks and lasting ones are both kept together; the name breaks
    ties so that daemons choose alike.
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
    """Keep a job in one zone, there on the fullest executor.

    A zone that is cut off, or a rack that goes dark, then makes few jobs
    late, not nearly all of them by a task or two.  Lasting tasks earn one
    by one, so they are only packed.
    """
    candidates = _prefer_data_rack(task, views)
    zone = task.job.home_zone
    if zone and not task.step.lasts:
        at_home = [view for view in candidates if view.info.zone == zone]
        candidates = at_home or candidates
    return pack(task, candidates)


@PLACEMENTS.register("spread")
def spread(task: Task, views: list[ExecutorView]) -> ExecutorView:
    """Use the emptiest executor: the baseline."""
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
