"""Estimates when a task that waits for room can start; no I/O.

Running tasks are expected to end by the learned run times of their queues.
What they free goes to the tasks ahead, and then to the task.  Hosts that are
on their way and the fragmentation of free capacity are not considered.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.workloads.placement import takes_tasks

if TYPE_CHECKING:
    from lycheelug.workloads.executors import Run
    from lycheelug.workloads.pool import PoolSchedule

__all__ = ["expected_wait_s"]


def expected_wait_s(
    schedule: PoolSchedule, cpu_millis: int, now: float
) -> float | None:
    """Return after how many seconds so much CPU has become free.

    None if the running tasks don't free as much.
    """
    free = 0
    ends: list[tuple[float, int]] = []
    for view in schedule.executors.values():
        if not takes_tasks(view, now):
            continue
        free += max(0, view.info.capacity.cpu_millis - view.used_cpu)
        for run in view.runs.values():
            ends_at = _expected_end(schedule, run, now)
            if ends_at is not None:
                ends.append((ends_at, run.resources.cpu_millis))
    if free >= cpu_millis:
        return 0.0
    for ends_at, cpu in sorted(ends):
        free += cpu
        if free >= cpu_millis:
            return round(max(0.0, ends_at - now), 2)
    return None


def _expected_end(
    schedule: PoolSchedule, run: Run, now: float
) -> float | None:
    """Return when a run is expected to end; None for long-running ones."""
    if run.task is None:
        return now
    step = run.task.step
    if step.lasts:
        return None
    began_at = run.confirmed_at if run.confirmed_at is not None else now
    expected_s = schedule.run_times.expect_s(
        run.task.job.policy.name, step.estimate_ms / 1000
    )
    return max(now, began_at + expected_s)
