"""The jobs of a pool that are often looked for.

A pool keeps its finished jobs for a while, so most of its jobs need no
attention.  The jobs report their own changes to the index.
"""

from __future__ import annotations

from operator import attrgetter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheelug.workloads.jobs import Job
    from lycheelug.workloads.model import FailureCause

__all__ = ["JobIndex"]


class JobIndex:
    """Some of a pool's jobs, by id."""

    __slots__ = (
        "_count",
        "dirty",
        "ended",
        "failed",
        "open_steps",
        "periodic",
        "stored_ends",
        "unfinished",
        "unfinished_periodic",
    )

    def __init__(self) -> None:
        self._count = 0
        # Jobs whose progress record has unstored changes.
        self.dirty: dict[str, Job] = {}
        # Jobs with a schedule.
        self.periodic: dict[str, Job] = {}
        # Jobs that have ended since the owner last logged these.
        self.ended: list[Job] = []
        # Jobs that have failed since the owner last logged failures.
        self.failed: list[tuple[Job, FailureCause]] = []
        # Jobs without a final state, in the order in which they were added.
        self.unfinished: dict[str, Job] = {}
        # How many of these have a schedule.
        self.unfinished_periodic = 0
        # Ended jobs whose ends are stored.
        self.stored_ends: dict[str, Job] = {}
        # The steps of all open occurrences.
        self.open_steps = 0

    def add(self, job: Job) -> None:
        """Add a job."""
        self._count += 1
        job.sequence = self._count
        if job.is_dirty:
            self.dirty[job.job_id] = job
        if job.record.schedule is not None:
            self.periodic[job.job_id] = job
        if job.is_final:
            self.record_stored(job)
        else:
            self.unfinished[job.job_id] = job
            self.unfinished_periodic += job.record.schedule is not None
        self.open_steps += len(job.occurrences) * len(job.record.steps)

    def record_end(self, job: Job) -> None:
        """Record that a job has entered a final state."""
        self._remove_unfinished(job)
        self.ended.append(job)

    def record_stored(self, job: Job) -> None:
        """Record that a job's progress is stored, but for later changes."""
        if job.is_final and not job.is_dirty:
            self.stored_ends[job.job_id] = job

    def remove(self, job: Job) -> None:
        """Remove a job."""
        self.dirty.pop(job.job_id, None)
        self.periodic.pop(job.job_id, None)
        self.stored_ends.pop(job.job_id, None)
        self._remove_unfinished(job)
        self.open_steps -= len(job.occurrences) * len(job.record.steps)

    def dirty_in_order(self) -> list[Job]:
        """Return the jobs to be stored, in the order they were added."""
        return sorted(self.dirty.values(), key=attrgetter("sequence"))

    def _remove_unfinished(self, job: Job) -> None:
        """Remove a job from those without a final state."""
        if self.unfinished.pop(job.job_id, None) is not None:
            self.unfinished_periodic -= job.record.schedule is not None
