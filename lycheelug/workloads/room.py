"""Estimates how fast a pool works off its short jobs; no I/O.

Memory, labels and limits per executor aren't considered, and an executor that
is silent now counts with its capacity, so the estimate is a best case.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.scarcity import PoolRoom
from lycheelug.workloads.forecast import Feasibility

if TYPE_CHECKING:
    from lycheelug.workloads.pool import PoolSchedule
    from lycheelug.workloads.ready_queue import ReadyStep

__all__ = ["measure_room"]


def measure_room(
    schedule: PoolSchedule, arriving_hosts: int, unix_ms: int
) -> PoolRoom:
    """Return the room of a pool, with the hosts that were ordered to it."""
    hosts = capacity = lasting = used = 0
    for view in schedule.executors.values():
        if not view.has_entry or view.info.draining or view.drain_order:
            continue
        hosts += 1
        capacity += view.info.capacity.cpu_millis
        used += view.used_cpu
        for run in view.runs.values():
            if run.task is not None and run.task.step.lasts:
                lasting += run.resources.cpu_millis
    arriving = arriving_hosts * capacity // hosts if hosts else 0
    # Free room that doesn't suit any waiting task isn't free for others.
    free = 0 if schedule.ready else capacity + arriving - used
    room = PoolRoom(capacity + arriving - lasting, free)
    for step in schedule.ready.steps:
        if not step.job.is_long_running:
            _add_step(schedule, room, step, unix_ms)
    return room


def _add_step(
    schedule: PoolSchedule, room: PoolRoom, step: ReadyStep, unix_ms: int
) -> None:
    """Add the work of a waiting step, unless its job is overdue."""
    _, occurrence, number = step.name
    forecast = step.job.forecast(occurrence, schedule.run_times)
    cpu_millis = step.count * step.spec.resources.cpu_millis
    work = cpu_millis * forecast.expected_s[number] * 1000
    feasibility = forecast.feasibility(number, unix_ms)
    if feasibility is Feasibility.IN_TIME:
        room.add_in_time(forecast.objective_ms, work)
    elif feasibility is Feasibility.LATE:
        room.add_late(work)
