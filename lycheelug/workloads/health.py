"""Detects executors on which runs fail or stall; no I/O.

An executor that fails all of its runs immediately always has free capacity,
so without a quarantine it would attract task after task.  Failures of a
single job don't count against the executor, as the job itself may be
faulty.  Executors that don't respond at all are detected elsewhere, by the
age of their last report.
"""

from __future__ import annotations

from collections import deque
from typing import Final

__all__ = ["ExecutorHealth"]

# Ends older than this are no longer considered.
WINDOW_S: Final = 4.0
# An executor is considered faulty if at least this many different jobs failed
# on it, and more jobs failed than runs succeeded.
FAILED_JOBS_MIN: Final = 2
# Duration for which a faulty executor gets no tasks.
QUARANTINE_S: Final = 3.0


class ExecutorHealth:
    """Recent successes and failures of the runs on one executor.

    >>> health = ExecutorHealth()
    >>> health.record_failure("a", now=1.0)
    >>> health.has_recent_failures(1.5), health.is_quarantined(1.5)
    (True, False)
    >>> health.record_failure("b", now=2.0)
    >>> health.is_quarantined(2.5), health.is_quarantined(5.5)
    (True, False)
    """

    __slots__ = ("_done", "_failed", "_quarantined_until")

    def __init__(self) -> None:
        # Times of the ends; for failures, also the job.
        self._failed: deque[tuple[float, str]] = deque()
        self._done: deque[float] = deque()
        self._quarantined_until = 0.0

    def record_done(self, now: float) -> None:
        """Record that a run succeeded."""
        self._done.append(now)
        self._drop_expired(now)

    def record_failure(self, job: str, now: float) -> None:
        """Record that a run of a job failed."""
        self._failed.append((now, job))
        self._drop_expired(now)
        jobs = {job for _, job in self._failed}
        if len(jobs) >= FAILED_JOBS_MIN and len(jobs) > len(self._done):
            self._quarantined_until = now + QUARANTINE_S

    def record_stall(self, now: float) -> None:
        """Record that a run has stalled, and start the quarantine."""
        self._quarantined_until = now + QUARANTINE_S

    def is_quarantined(self, now: float) -> bool:
        """Return whether the executor must not get tasks now."""
        return now < self._quarantined_until

    def has_recent_failures(self, now: float) -> bool:
        """Return whether runs failed here recently.

        A task that has failed before prefers other executors then.
        """
        self._drop_expired(now)
        return bool(self._failed)

    def _drop_expired(self, now: float) -> None:
        """Drop the ends that are older than the window."""
        while self._failed and now - self._failed[0][0] > WINDOW_S:
            self._failed.popleft()
        while self._done and now - self._done[0] > WINDOW_S:
            self._done.popleft()
