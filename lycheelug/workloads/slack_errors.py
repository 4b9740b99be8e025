"""Compares a completed job with its forecast; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.workloads.model import JobState, critical_path_s

if TYPE_CHECKING:
    from lycheelug.workloads.jobs import Job
    from lycheelug.workloads.pool import PoolSchedule

__all__ = ["record_slack_error"]


def record_slack_error(schedule: PoolSchedule, job: Job, now: float) -> None:
    """Record how much slack a job lost, if all of it was observed.

    The objective follows from the run times on sound executors, so longer
    runs also allow more time.
    """
    placed_at = job.timing.placed_at
    if job.progress.state != JobState.COMPLETED or placed_at is None:
        return
    if job.record.schedule is not None:
        return
    longest_s = job.timing.longest_s
    if len(longest_s) < len(job.record.steps):
        return
    steps = job.record.steps
    observed = [longest_s[number] for number in range(len(steps))]
    path_s = critical_path_s(steps, observed)
    expected_s = max(job.forecast(0, schedule.run_times).remaining_s)
    delays_s = now - placed_at - path_s
    error_s = (job.policy.stretch - 1) * (expected_s - path_s) + delays_s
    schedule.ready.slack_errors.record(job.policy.name, error_s)
