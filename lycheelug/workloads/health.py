"""Tells executors that fail or stall what they run; no I/O.

An executor that fails everything ends its runs at once and so always has
room: without this it would draw in one task after the other.  Failures of
one job alone say nothing, as the job itself may be at fault.
"""

from __future__ import annotations

from collections import deque
from typing import Final

__all__ = ["ExecutorHealth"]

# Ends older than this say nothing of the executor any more.
WINDOW_S: Final = 4.0
# Failures of so many jobs, and more of them than runs that ended well,
# are the executor's own.
FAILED_JOBS_MIN: Final = 2
# A failing or stalled executor gets no tasks for this long.
SHUN_S: Final = 3.0


class ExecutorHealth:
    """What the ends on one executor tell of it.

    >>> health = ExecutorHealth()
    >>> health.note_failed("a", now=1.0)
    >>> health.is_doubtful(1.5), health.is_shunned(1.5)
    (True, False)
    >>> health.note_failed("b", now=2.0)
    >>> health.is_shunned(2.5), health.is_shunned(5.5)
    (True, False)
    """

    __slots__ = ("_done", "_failed", "_shunned_until")

    def __init__(self) -> None:
        # Times of ends, and for failures the job.
        self._failed: deque[tuple[float, str]] = deque()
        self._done: deque[float] = deque()
        self._shunned_until = 0.0

    def note_done(self, now: float) -> None:
        """Take in that a run ended well."""
        self._done.append(now)
        self._forget(now)

    def note_failed(self, job: str, now: float) -> None:
        """Take in that a run of a job failed."""
        self._failed.append((now, job))
        self._forget(now)
        jobs = {job for _, job in self._failed}
        if len(jobs) >= FAILED_JOBS_MIN and len(jobs) > len(self._done):
            self._shunned_until = now + SHUN_S

    def note_stalled(self, now: float) -> None:
        """Take in that a run stands still."""
        self._shunned_until = now + SHUN_S

    def is_shunned(self, now: float) -> bool:
        """Whether it should get no tasks now."""
        return now < self._shunned_until

    def is_doubtful(self, now: float) -> bool:
        """Whether a task that has failed before is better run elsewhere."""
        self._forget(now)
        return bool(self._failed)

    def _forget(self, now: float) -> None:
        """Drop what is too old."""
        while self._failed and now - self._failed[0][0] > WINDOW_S:
            self._failed.popleft()
        while self._done and now - self._done[0] > WINDOW_S:
            self._done.popleft()
