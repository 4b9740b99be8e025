"""What a pool's owner tells the fleet's planner of its pool."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lycheelug.fleetplan import HostLoad, SummaryRecord
from lycheelug.workloads import TaskState

if TYPE_CHECKING:
    from lycheelug.workloads import ExecutorView, PoolSchedule

__all__ = ["summarize"]


def summarize(schedule: PoolSchedule, now: float) -> SummaryRecord:
    """Return a pool's load."""
    summary = SummaryRecord(schedule.term)
    summary.run_times = schedule.run_times.export()
    for view in schedule.executors.values():
        host = view.info.host or view.executor_id
        is_gone = not view.is_listed and view.is_fenced and not view.runs
        if is_gone:
            continue
        summary.hosts[host] = _load(view, now)
        summary.running_cpu += view.used_cpu
        summary.running_memory += view.used_memory
        if view.is_vacated:
            summary.vacated[host] = view.cordon_order
    for job in schedule.jobs.values():
        if job.is_final:
            continue
        if not job.has_started:
            queue = job.record.queue
            summary.waiting[queue] = summary.waiting.get(queue, 0) + 1
        for task in job.tasks():
            room = task.step.room
            if task.state is TaskState.READY:
                summary.ready_cpu += room.cpu_millis
                summary.ready_memory += room.memory_mb
            elif task.state is TaskState.BLOCKED:
                summary.blocked_cpu += room.cpu_millis
            if task.step.lasts:
                summary.lasting_cpu += room.cpu_millis
        for step in job.record.steps:
            if step.lasts and step.max_per_executor:
                spread = math.ceil(step.count / step.max_per_executor)
                summary.spread = max(summary.spread, spread)
    return summary


def _load(view: ExecutorView, now: float) -> HostLoad:
    """Return the load of one host."""
    load = HostLoad(
        view.executor_id,
        address=view.info.address,
        used_cpu=view.used_cpu,
        runs=len(view.runs),
        capacity_cpu=view.info.capacity.cpu_millis,
        capacity_memory=view.info.capacity.memory_mb,
        is_usable=view.is_sound(now) and not view.cordon_order,
    )
    for run in view.runs.values():
        if run.task is not None and run.task.step.lasts:
            load.lasting_cpu += run.room.cpu_millis
            load.lasting_runs += 1
    return load
