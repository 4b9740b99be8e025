"""Builds the summary of a pool that its owner stores for the planner."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from lycheelug.fleetplan import HostLoad, SummaryRecord
from lycheelug.workloads import TaskState
from lycheelug.workloads.forecast import Feasibility

if TYPE_CHECKING:
    from lycheelug.workloads import ExecutorView, Job, PoolSchedule, Task

__all__ = ["summarize"]


# The growth of demand is rounded down to multiples of this (in thousandths of
# a core), so that small fluctuations cause no writes.
GROWTH_STEP: Final = 4_000


def summarize(
    schedule: PoolSchedule, now: float, unix_ms: int
) -> SummaryRecord:
    """Return a pool's load and demand."""
    summary = SummaryRecord(schedule.term)
    growth = int(schedule.arrivals.growth(now))
    summary.growing_cpu = growth // GROWTH_STEP * GROWTH_STEP
    summary.run_times = schedule.run_times.export()
    for view in schedule.executors.values():
        host = view.info.host or view.executor_id
        is_removed = (
            not view.has_entry and view.has_accepted_term and not view.runs
        )
        if is_removed:
            continue
        summary.hosts[host] = _host_load(view, now)
        summary.running_cpu += view.used_cpu
        summary.running_memory += view.used_memory
        if view.is_drained:
            summary.vacated[host] = view.drain_order
    for job in schedule.jobs.values():
        if not job.is_final:
            _add_job(summary, schedule, job, unix_ms)
    return summary


def _add_job(
    summary: SummaryRecord, schedule: PoolSchedule, job: Job, unix_ms: int
) -> None:
    """Add a job's demand for resources to a summary."""
    if not job.has_started:
        queue = job.record.queue
        summary.waiting[queue] = summary.waiting.get(queue, 0) + 1
    for task in job.tasks():
        needed = task.step.resources
        if task.state is TaskState.READY:
            summary.ready_cpu += needed.cpu_millis
            summary.ready_memory += needed.memory_mb
            if _is_late(schedule, task, unix_ms):
                summary.late_cpu += needed.cpu_millis
        elif task.state is TaskState.BLOCKED:
            summary.blocked_cpu += needed.cpu_millis
        if task.step.lasts:
            summary.lasting_cpu += needed.cpu_millis
    for step in job.record.steps:
        if step.lasts and step.max_per_executor:
            spread = math.ceil(step.count / step.max_per_executor)
            summary.spread = max(summary.spread, spread)


def _is_late(schedule: PoolSchedule, task: Task, unix_ms: int) -> bool:
    """Whether a waiting task's job will miss its deadline."""
    if task.step.lasts:
        return False
    forecast = task.job.forecast(task.name.occurrence, schedule.run_times)
    feasibility = forecast.feasibility(task.name.step, unix_ms)
    return feasibility is not Feasibility.IN_TIME


def _host_load(view: ExecutorView, now: float) -> HostLoad:
    """Return the load of one host."""
    load = HostLoad(
        view.executor_id,
        address=view.info.address,
        used_cpu=view.used_cpu,
        runs=len(view.runs),
        capacity_cpu=view.info.capacity.cpu_millis,
        capacity_memory=view.info.capacity.memory_mb,
        is_usable=view.is_healthy(now) and not view.drain_order,
    )
    for run in view.runs.values():
        if run.task is not None and run.task.step.lasts:
            load.lasting_cpu += run.resources.cpu_millis
            load.lasting_runs += 1
    return load
