"""What is known of the monotonic clock of an executor's incarnation."""

from __future__ import annotations

from typing import Final

__all__ = ["CLOCK_DRIFT", "ExecutorClock"]

# Maximum relative rate by which an executor's clock may run slow, as the
# platform specifies it.
CLOCK_DRIFT: Final = 0.02
# How much a value may be ahead of an estimate: the time between the reading
# of the value before and its arrival here.
CLOCK_SLACK_MS: Final = 250


class ExecutorClock:
    """A clock as one incarnation has reported it."""

    __slots__ = ("_known_ms", "_read_at", "_value_ms")

    def __init__(self) -> None:
        # The last reported value, and the local time at which it arrived.
        self._value_ms: int | None = None
        self._read_at = 0.0
        # How much the clock has advanced since the first report.
        self._known_ms = 0

    def estimate_ms(self, now: float) -> int | None:
        """Estimate the current value; None before the first report.

        The estimate is a lower bound, so that deadlines on this clock pass
        within the bound on leases.
        """
        if self._value_ms is None:
            return None
        passed_s = (now - self._read_at) * (1 - CLOCK_DRIFT)
        return self._value_ms + int(passed_s * 1000)

    def record(self, value_ms: int, received_at: float) -> None:
        """Record the value of a report, unless a later one is known."""
        if self._value_ms is None:
            self._value_ms = value_ms
            self._read_at = received_at
        elif value_ms >= self._value_ms:
            self._known_ms += value_ms - self._value_ms
            self._value_ms = value_ms
            self._read_at = received_at

    def is_continued_by(
        self, value_ms: int, sent_at: float, received_at: float
    ) -> bool:
        """Return whether only this clock can have had a value in an answer.

        The clock of the next incarnation has begun after the last report.  It
        is behind, unless this one has been known for hardly longer than the
        call took.
        """
        least_ms = self.estimate_ms(sent_at)
        if self._value_ms is None or least_ms is None or value_ms < least_ms:
            return False
        since_ms = (received_at - self._read_at) * 1000
        if value_ms > self._value_ms + since_ms + CLOCK_SLACK_MS:
            return False
        call_ms = (received_at - sent_at) * 1000 + since_ms * CLOCK_DRIFT
        return call_ms < self._known_ms
