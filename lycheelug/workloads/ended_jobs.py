"""The jobs that have ended, until their rows are removed; no I/O.

Callers may ask for the state of an ended job, and repeat its submission, for a
while.  The first is answered from the store; for the second an owner has to
know that there is such a job, and nothing else.
"""

from __future__ import annotations

import sys
from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheelug.workloads.jobs import Job
    from lycheelug.workloads.pool import PoolSchedule

__all__ = ["EndedJob", "EndedJobs"]


class EndedJob:
    """What an owner keeps of a job that has ended."""

    __slots__ = (
        "final_ms",
        "job_id",
        "part_count",
        "queue",
        "state",
        "tenant",
    )

    def __init__(self, job: Job) -> None:
        self.job_id = job.job_id
        self.queue = sys.intern(job.record.queue)
        # Empty for none.
        self.tenant = sys.intern(job.record.tenant)
        self.state = job.progress.state
        # Unix time in milliseconds at which the state became final.
        self.final_ms = job.progress.final_ms
        # The further rows of its progress record.
        self.part_count = job.part_count


class EndedJobs:
    """The ended jobs of a pool that its schedule doesn't have any more."""

    __slots__ = ("_jobs",)

    def __init__(self) -> None:
        self._jobs: dict[str, EndedJob] = {}

    def __len__(self) -> int:
        """Return the number of jobs."""
        return len(self._jobs)

    def find(self, job_id: str) -> EndedJob | None:
        """Return a job, if it is there."""
        return self._jobs.get(job_id)

    def count_by_queue(self) -> Counter[str]:
        """Return the number of jobs of each queue."""
        return Counter(job.queue for job in self._jobs.values())

    def ended_before(self, unix_ms: int) -> list[EndedJob]:
        """Return the jobs that ended before a Unix time in milliseconds."""
        return [job for job in self._jobs.values() if job.final_ms < unix_ms]

    def forget(self, job_id: str) -> None:
        """Remove a job whose rows are removed."""
        self._jobs.pop(job_id, None)

    def take_over(self, schedule: PoolSchedule) -> None:
        """Take the jobs from a schedule whose ends are stored.

        Those with runs stay until these have ended: a run takes up what its
        step requests.
        """
        stored = schedule.job_index.stored_ends
        if not stored:
            return
        running = {name.job for name in schedule.run_counts}
        for job in list(stored.values()):
            if job.is_dirty:
                # It is there again once the change is stored.
                del stored[job.job_id]
            elif job.job_id not in running:
                self._jobs[job.job_id] = EndedJob(job)
                schedule.forget_job(job.job_id)
