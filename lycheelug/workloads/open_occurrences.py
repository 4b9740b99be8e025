"""Decides how many due occurrences of a job to open; no I/O.

An occurrence that isn't open costs no memory: its due time and its tasks
follow from the job's record.  So a job opens only as many as may be placed
soon, however many are due, and all jobs of a pool together open a limited
number.  Each job may have one open whatever the others have, so none waits
for another job's occurrences to end.  They open in the order of their due
times, and all that are due have the same place in the order of placement as
if they were open, but for those beyond the limits.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.workloads.progress import FINISHED_MAX

if TYPE_CHECKING:
    from lycheelug.workloads.jobs import Job
    from lycheelug.workloads.pool import PoolSchedule

__all__ = [
    "OPEN_TASKS_MAX",
    "count_to_open",
    "count_unopened",
    "may_open",
    "next_due_ms",
]

# The tasks of one job's overlapping occurrences.
OPEN_TASKS_MAX: Final = 5_000
# Waiting steps of one job, beyond which it opens no further occurrence.  One
# plan starts as many tasks.
WAITING_STEPS_MAX: Final = 200
# The same for all jobs with a schedule together, which share it evenly.
POOL_WAITING_STEPS_MAX: Final = 2_000
# The steps of open occurrences in a pool, whether their tasks wait or run.
POOL_OPEN_STEPS_MAX: Final = 20_000


def count_to_open(schedule: PoolSchedule, job: Job) -> int:
    """Return how many more occurrences a job may open now."""
    index = schedule.job_index
    waiting = schedule.ready.count_steps(job)
    share = POOL_WAITING_STEPS_MAX // max(1, index.unfinished_periodic)
    room = max(1, min(WAITING_STEPS_MAX, share)) - waiting
    room = min(room, POOL_OPEN_STEPS_MAX - index.open_steps)
    if room <= 0:
        return 0 if job.occurrences else 1
    return max(1, room // len(job.record.steps))


def may_open(job: Job) -> bool:
    """Return whether a job itself allows one more open occurrence."""
    if not job.occurrences:
        return True
    if len(job.progress.finished) >= FINISHED_MAX:
        return False
    tasks = sum(step.count for step in job.record.steps)
    return (len(job.occurrences) + 1) * tasks <= OPEN_TASKS_MAX


def next_due_ms(job: Job) -> int | None:
    """Return when the next occurrence is due, or None if none is left."""
    number = job.next_occurrence
    schedule = job.record.schedule
    if schedule is None or number >= schedule.count or job.is_final:
        return None
    return job.record.due_ms(number)


def count_unopened(job: Job, unix_ms: int) -> int:
    """Return how many occurrences of a job are due and not open yet."""
    schedule = job.record.schedule
    first_ms = next_due_ms(job)
    if schedule is None or first_ms is None or first_ms > unix_ms:
        return 0
    left = schedule.count - job.next_occurrence
    if not schedule.interval_ms:
        return left
    return min(left, (unix_ms - first_ms) // schedule.interval_ms + 1)
