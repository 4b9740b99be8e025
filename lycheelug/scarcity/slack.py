"""Learns how far forecasts of jobs' slack are off.

A job that starts with a slack of S is in time if neither its run times nor
the delays between its steps take more than S beyond the forecast.  What they
took of the jobs that ended lately gives the margin that a start needs.
"""

from __future__ import annotations

from collections import deque
from typing import Final

__all__ = ["JobTiming", "SlackErrors"]

# The number of a queue's last jobs that count, and the minimum.
JOBS_MAX: Final = 64
JOBS_MIN: Final = 8
# The share of jobs whose error the margin covers.
QUANTILE: Final = 0.8
# The margin is never longer, as after an outage the errors say nothing.
MARGIN_MAX_S: Final = 1.0


class JobTiming:
    """When one job's first task was placed, and its longest runs by step."""

    __slots__ = ("longest_s", "placed_at")

    def __init__(self) -> None:
        # Local time; None before.
        self.placed_at: float | None = None
        self.longest_s: dict[int, float] = {}

    def record_placed(self, now: float) -> None:
        """Record that a task is placed."""
        if self.placed_at is None:
            self.placed_at = now

    def record_run(self, step: int, run_s: float) -> None:
        """Record the run time of a successful run."""
        self.longest_s[step] = max(run_s, self.longest_s.get(step, 0.0))


class SlackErrors:
    """By queue, how much slack its last jobs lost against the forecast.

    >>> errors = SlackErrors()
    >>> for number in range(10):
    ...     errors.record("proofs", 0.1 * number)
    >>> round(errors.margin_s("proofs"), 1), errors.margin_s("other")
    (0.8, 0.0)
    """

    __slots__ = ("_errors", "_margins")

    def __init__(self) -> None:
        self._errors: dict[str, deque[float]] = {}
        # Margins since the last record.
        self._margins: dict[str, float] = {}

    def record(self, queue: str, error_s: float) -> None:
        """Record the error of a job that was completed."""
        errors = self._errors.get(queue)
        if errors is None:
            errors = self._errors[queue] = deque(maxlen=JOBS_MAX)
        errors.append(error_s)
        self._margins.pop(queue, None)

    def margin_s(self, queue: str) -> float:
        """Return the slack that a start of the queue's jobs needs."""
        margin_s = self._margins.get(queue)
        if margin_s is None:
            margin_s = self._margins[queue] = self._compute(queue)
        return margin_s

    def _compute(self, queue: str) -> float:
        """Return a queue's margin."""
        errors = self._errors.get(queue, ())
        if len(errors) < JOBS_MIN:
            return 0.0
        position = min(len(errors) - 1, int(QUANTILE * len(errors)))
        return min(MARGIN_MAX_S, max(0.0, sorted(errors)[position]))
