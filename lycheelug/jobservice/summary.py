"""Builds what a pool's owner publishes for the planner: demand and loads."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from lycheelug.fleetplan import (
    HOSTS_KEY,
    SUMMARY_KEY,
    HostLoad,
    HostsRecord,
    SummaryRecord,
    decode_hosts,
    decode_summary,
)
from lycheelug.workloads.forecast import Feasibility
from lycheelug.workloads.open_occurrences import count_unopened

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheelug.store.rows import StoredRow
    from lycheelug.workloads import ExecutorView, Job, PoolSchedule
    from lycheelug.workloads.ready_queue import ReadyStep

__all__ = [
    "confirmed_orders",
    "host_of",
    "is_in_use",
    "join_summaries",
    "list_loads",
    "refused_orders",
    "summarize",
]


# The growth of demand is rounded down to multiples of this (in thousandths of
# a core), so that small fluctuations cause no writes.
GROWTH_STEP: Final = 4_000
# Due occurrences of one job that count as demand without being open.
UNOPENED_MAX: Final = 1_000


def summarize(
    schedule: PoolSchedule, now: float, unix_ms: int
) -> SummaryRecord:
    """Return a pool's demand, without the loads of its hosts."""
    summary = SummaryRecord(schedule.term)
    growth = int(schedule.arrivals.growth(now))
    summary.growing_cpu = growth // GROWTH_STEP * GROWTH_STEP
    work, summary.arriving_jobs = schedule.arrivals.last_window(now)
    summary.arriving_cpu = int(work) // GROWTH_STEP * GROWTH_STEP
    summary.run_times = schedule.run_times.export()
    summary.interference = schedule.neighbors.estimator.export(now)
    for view in schedule.executors.values():
        if not is_in_use(view):
            continue
        summary.running_cpu += view.used_cpu
        summary.running_memory += view.used_memory
    summary.vacated = confirmed_orders(schedule)
    summary.refused = refused_orders(schedule)
    for job in schedule.jobs.values():
        if not job.is_final:
            _add_job(summary, job)
            _add_unopened(summary, job, unix_ms)
    for step in schedule.ready.steps:
        _add_waiting(summary, schedule, step, unix_ms)
    return summary


def _add_job(summary: SummaryRecord, job: Job) -> None:
    """Add a job's demand for resources to a summary, but its waiting tasks."""
    if not job.has_started:
        queue = job.record.queue
        summary.waiting[queue] = summary.waiting.get(queue, 0) + 1
    for occurrence in job.occurrences:
        open_steps = job.open_steps[occurrence]
        for number, unfinished in open_steps.items():
            step = job.record.steps[number]
            if not open_steps.keys().isdisjoint(step.depends_on):
                summary.blocked_cpu += unfinished * step.resources.cpu_millis
    for step in job.record.steps:
        if not step.lasts:
            continue
        tasks = step.count * len(job.occurrences)
        summary.lasting_cpu += tasks * step.resources.cpu_millis
        at_once = max(1, step.may_miss) * len(job.occurrences)
        summary.relocations_max += at_once
        if step.max_per_executor:
            spread = math.ceil(step.count / step.max_per_executor)
            summary.spread = max(summary.spread, spread)


def _add_unopened(summary: SummaryRecord, job: Job, unix_ms: int) -> None:
    """Add the demand of occurrences that are due and not open yet."""
    unopened = min(count_unopened(job, unix_ms), UNOPENED_MAX)
    if not unopened:
        return
    for step in job.record.steps:
        cpu_millis = unopened * step.count * step.resources.cpu_millis
        if step.depends_on:
            summary.blocked_cpu += cpu_millis
            continue
        summary.ready_cpu += cpu_millis
        summary.ready_memory += (
            unopened * step.count * step.resources.memory_mb
        )
        if not step.lasts:
            # They wait for want of room, so they start after their due time.
            summary.late_cpu += cpu_millis


def _add_waiting(
    summary: SummaryRecord,
    schedule: PoolSchedule,
    step: ReadyStep,
    unix_ms: int,
) -> None:
    """Add the demand of a step's waiting tasks to a summary."""
    needed = step.spec.resources
    cpu_millis = step.count * needed.cpu_millis
    summary.ready_cpu += cpu_millis
    summary.ready_memory += step.count * needed.memory_mb
    if _is_late(schedule, step, unix_ms):
        summary.late_cpu += cpu_millis


def _is_late(schedule: PoolSchedule, step: ReadyStep, unix_ms: int) -> bool:
    """Whether the job of a waiting step will miss its deadline."""
    if step.spec.lasts:
        return False
    _, occurrence, number = step.name
    forecast = step.job.forecast(occurrence, schedule.run_times)
    feasibility = forecast.feasibility(number, unix_ms)
    return feasibility is not Feasibility.IN_TIME


def list_loads(schedule: PoolSchedule, now: float) -> HostsRecord:
    """Return the loads of a pool's hosts."""
    record = HostsRecord(schedule.term)
    for view in schedule.executors.values():
        if not is_in_use(view):
            continue
        host = host_of(view)
        # The entry of one that never answered may name a wrong host.
        if view.is_located or host not in record.hosts:
            record.hosts[host] = _host_load(view, now)
    return record


def confirmed_orders(schedule: PoolSchedule) -> dict[str, str]:
    """Return the numbers of the confirmed drain orders by host."""
    found: dict[str, str] = {}
    for view in schedule.executors.values():
        if view.drain_order and view.is_drained and is_in_use(view):
            found[host_of(view)] = view.drain_order
    return found


def refused_orders(schedule: PoolSchedule) -> dict[str, str]:
    """Return the numbers of the refused drain orders by host."""
    found: dict[str, str] = {}
    for executor_id, number in schedule.relocations.refused.items():
        view = schedule.executors.get(executor_id)
        if view is not None and view.drain_order == number:
            found[host_of(view)] = number
    return found


def is_in_use(view: ExecutorView) -> bool:
    """Whether an executor may run tasks, or new ones may start there."""
    return view.has_entry or not view.has_accepted_term or bool(view.runs)


def host_of(view: ExecutorView) -> str:
    """Return the name of an executor's host."""
    return view.info.host or view.executor_id


def join_summaries(rows: Iterable[StoredRow]) -> dict[str, SummaryRecord]:
    """Return the readable summaries by pool, each with its hosts' loads."""
    summaries: dict[str, SummaryRecord] = {}
    loads: dict[str, HostsRecord] = {}
    for row in rows:
        if row.key == SUMMARY_KEY:
            summary = decode_summary(row.value or b"")
            if summary is not None:
                summaries[row.part] = summary
        elif row.key == HOSTS_KEY:
            record = decode_hosts(row.value or b"")
            if record is not None:
                loads[row.part] = record
    for pool, summary in summaries.items():
        if pool in loads:
            summary.hosts = loads[pool].hosts
    return summaries


def _host_load(view: ExecutorView, now: float) -> HostLoad:
    """Return the load of one host."""
    load = HostLoad(
        view.executor_id,
        is_usable=view.is_healthy(now) and not view.drain_order,
        used_cpu=view.used_cpu,
        runs=len(view.runs),
    )
    for run in view.runs.values():
        if run.task is not None and run.task.step.lasts:
            load.lasting_runs += 1
    return load
