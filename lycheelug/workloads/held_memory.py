"""Estimates what a pool's owner holds in memory of its jobs; no I/O.

An owner holds all jobs of its pool, and so does the next one, which may run
on a smaller host and own all other pools too.  So a pool takes no more jobs
than fit into its part of a limit that is the same on nearly all hosts.

A queue may hold at most `QUEUE_SHARE` times what is left to all.  So a queue
that sends more than the pool can hold is refused while the others aren't.
"""

from __future__ import annotations

import sys
from collections import Counter
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from lycheelug.workloads.jobs import Job
    from lycheelug.workloads.model import JobRecord
    from lycheelug.workloads.pool import PoolSchedule

__all__ = ["HeldMemory", "estimate_held", "job_memory_bytes", "pool_bytes"]

# What one daemon may hold of jobs, and the share of its host's memory that
# this may be.  The smallest hosts have 200 MB.
JOBS_BYTES_MAX: Final = 64_000_000
JOBS_MEMORY_SHARE: Final = 0.3
# The part of a pool, if there are very many.
POOL_BYTES_MIN: Final = 4_000_000
QUEUE_SHARE: Final = 2.0
# How often the jobs are looked at; submissions in between are added.
MEASURE_INTERVAL_S: Final = 1.0
# Bytes, as `bench.job_memory` measures them: of a job without its payload, of
# one that has ended, of a step of its record, of a step of an open occurrence,
# of a task that was started and is kept, of its run, and of an entry and of a
# finished task in its progress record.
JOB_BYTES: Final = 3_400
ENDED_BYTES: Final = 600
STEP_BYTES: Final = 500
OPEN_STEP_BYTES: Final = 700
TASK_BYTES: Final = 300
RUN_BYTES: Final = 700
ENTRY_BYTES: Final = 150
DONE_BYTES: Final = 40


class HeldMemory:
    """What the jobs of one pool hold, by queue."""

    __slots__ = ("_by_queue", "_measured_at", "total")

    def __init__(self) -> None:
        self._by_queue: Counter[str] = Counter()
        self._measured_at: float | None = None
        # The estimated bytes of all jobs.
        self.total = 0

    def of_queue(self, queue: str) -> int:
        """Return the estimated bytes of a queue's jobs."""
        return self._by_queue[queue]

    def refresh(self, schedule: PoolSchedule, now: float) -> None:
        """Look at the jobs again, if that was some time ago."""
        last_at = self._measured_at
        if last_at is not None and now - last_at < MEASURE_INTERVAL_S:
            return
        self._measured_at = now
        self._by_queue = estimate_held(schedule)
        self.total = sum(self._by_queue.values())

    def has_room(self, record: JobRecord, limit: int) -> bool:
        """Return whether a job may be added under a limit in bytes."""
        needed = _record_bytes(record)
        free = limit - self.total - needed
        return self._by_queue[record.queue] + needed <= QUEUE_SHARE * free

    def add(self, record: JobRecord) -> None:
        """Add a job until the jobs are looked at again."""
        needed = _record_bytes(record)
        self._by_queue[record.queue] += needed
        self.total += needed


def job_memory_bytes(memory_bytes: int) -> int:
    """Return what a daemon may hold of jobs on a host with this memory.

    0 if the host's memory isn't known.

    >>> job_memory_bytes(100_000_000), job_memory_bytes(300_000_000)
    (30000000, 64000000)
    """
    return min(JOBS_BYTES_MAX, int(memory_bytes * JOBS_MEMORY_SHARE))


def pool_bytes(daemon_bytes: int, pools: int) -> int:
    """Return the part of one pool in what a daemon may hold.

    >>> pool_bytes(64_000_000, 4), pool_bytes(64_000_000, 57)
    (16000000, 4000000)
    """
    return max(POOL_BYTES_MIN, daemon_bytes // max(1, pools))


def estimate_held(schedule: PoolSchedule) -> Counter[str]:
    """Return the estimated bytes of a pool's jobs, by queue."""
    held: Counter[str] = Counter()
    for job in schedule.jobs.values():
        held[job.record.queue] += _job_bytes(job)
    for name in schedule.run_counts:
        known = schedule.jobs.get(name.job)
        held[known.record.queue if known is not None else ""] += RUN_BYTES
    for queue, count in schedule.ended_jobs.count_by_queue().items():
        held[queue] += ENDED_BYTES * count
    return held


def _job_bytes(job: Job) -> int:
    """Return the estimated bytes of one job without its runs."""
    progress = job.progress
    steps = kept = 0
    for groups in job.occurrences.values():
        steps += len(groups)
        for tasks in groups:
            kept += tasks.kept_count
    entries = (
        len(progress.failures)
        + len(progress.counted_runs)
        + len(progress.checkpoints)
    )
    for records in progress.crashes.values():
        entries += 1 + 2 * len(records)
    return (
        _record_bytes(job.record, is_open=False)
        + OPEN_STEP_BYTES * steps
        + TASK_BYTES * kept
        + ENTRY_BYTES * entries
        + DONE_BYTES * sum(map(len, progress.done.values()))
    )


def _record_bytes(record: JobRecord, is_open: bool = True) -> int:
    """Return the estimated bytes of a job of which nothing has started."""
    each = STEP_BYTES + OPEN_STEP_BYTES * is_open
    return JOB_BYTES + each * len(record.steps) + sys.getsizeof(record.payload)
