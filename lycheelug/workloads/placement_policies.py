"""The placement policies: choose one of the executors that a task may use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.workloads.executors import ExecutorView
    from lycheelug.workloads.jobs import Task
    from lycheelug.workloads.neighbors import Neighbors

    Policy = Callable[[Task, list[ExecutorView]], ExecutorView]

__all__ = ["PACKING", "PLACEMENTS", "keep_apart"]

PLACEMENTS: Final[Registry[Policy]] = Registry("placement policy")
# The policies that choose the executor with the least free CPU.
PACKING: Final = frozenset({"pack", "together"})


def _prefer_data_rack(
    task: Task, views: list[ExecutorView]
) -> list[ExecutorView]:
    """Return the executors in the rack of the step's data, or else all."""
    rack = task.step.data_rack
    if not rack:
        return views
    candidates = [view for view in views if rack in view.info.labels]
    return candidates or views


def keep_apart(
    neighbors: Neighbors, task: Task, views: list[ExecutorView]
) -> list[ExecutorView]:
    """Return the executors without tasks that interfere, or else all.

    The rack of the step's data goes before that.
    """
    partners = neighbors.partners(task)
    if not partners:
        return views
    apart: list[ExecutorView] = []
    for view in _prefer_data_rack(task, views):
        if not neighbors.are_beside(view, partners):
            apart.append(view)
    return apart or views


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
