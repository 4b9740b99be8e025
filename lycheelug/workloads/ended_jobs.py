"""Drops what an owner doesn't need of a job that has ended; no I/O.

Callers may ask for the state of an ended job for a while, and a late report
may still show a run of it.  Neither needs its payload, its tasks, or what was
recorded of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from lycheelug.workloads.jobs import Job
    from lycheelug.workloads.pool import PoolSchedule

__all__ = ["release_ended_jobs"]


def release_ended_jobs(schedule: PoolSchedule) -> None:
    """Release the jobs that have ended and have no runs.

    The end of a job must be stored first, as its row is written from memory.
    """
    index = schedule.job_index
    if not index.unreleased:
        return
    running = {name.job for name in schedule.run_counts}
    for job in list(index.unreleased.values()):
        if job.is_dirty or job.job_id in running:
            continue
        del index.unreleased[job.job_id]
        index.open_steps -= len(job.occurrences) * len(job.record.steps)
        _release(job)


def _release(job: Job) -> None:
    """Drop the payload and the tasks of a job."""
    job.record = msgspec.structs.replace(job.record, payload="")
    job.occurrences.clear()
    job.open_steps.clear()
    job.due_ms.clear()
    progress = job.progress
    for field in (
        progress.done,
        progress.failures,
        progress.counted_runs,
        progress.checkpoints,
    ):
        field.clear()
