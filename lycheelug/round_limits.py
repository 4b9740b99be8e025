"""Concurrency limits that compare latencies with the minimum latency.

A limit changes after each round of ended requests, by the ratio of the
round's mean latency to the minimum mean latency of all rounds:

* `aimd` adds one, or multiplies by a backoff factor if the ratio is high;
* `vegas` keeps the number of requests queued inside the executor, estimated
  from the ratio, between two bounds;
* `gradient` multiplies by the inverse ratio and allows for a short queue.

Limits: none of them detects an executor that is slow from the start, since
its minimum latency is then high as well.
"""

from __future__ import annotations

from abc import abstractmethod
from math import inf, sqrt
from typing import Final

from lycheelug.limit_interface import LIMITS, Limit

__all__ = ["AimdLimit", "GradientLimit", "VegasLimit"]

# Number of ended requests in a round: at least ROUND_ENDS, and at least
# ROUND_ENDS_PER_LIMIT times the limit.
ROUND_ENDS: Final = 128
ROUND_ENDS_PER_LIMIT: Final = 4
# The minimum latency grows by this factor per round, so that an outdated
# minimum is replaced.
MIN_LATENCY_GROWTH: Final = 1.01
AIMD_TOLERANCE: Final = 1.2
AIMD_BACKOFF: Final = 0.85
VEGAS_MIN_QUEUED: Final = 0.3
VEGAS_MAX_QUEUED: Final = 1.0
GRADIENT_TOLERANCE: Final = 1.0
GRADIENT_SMOOTHING: Final = 0.5
MIN_GRADIENT: Final = 0.5
MAX_FAILED_SHARE: Final = 0.5


class _RoundLimit(Limit):
    """A limit that changes after each round of ended requests."""

    __slots__ = (
        "_failures",
        "_in_flight",
        "_limit",
        "_max_in_flight",
        "_max_limit",
        "_min_latency_s",
        "_successes",
        "_sum_s",
    )

    def __init__(self, slots: int, max_limit: int) -> None:
        self._max_in_flight = 0
        self._limit = float(slots)
        self._max_limit = max_limit
        self._in_flight = 0
        # The minimum mean latency of all rounds.
        self._min_latency_s = inf
        self._start_round()

    def limit(self, now: float) -> int:
        """Return the maximum number of concurrent requests."""
        return int(self._limit)

    def on_start(self, now: float) -> None:
        """Record the start of a request."""
        self._in_flight += 1
        self._max_in_flight = max(self._max_in_flight, self._in_flight)

    def on_finish(self, latency_s: float, ok: bool, now: float) -> None:
        """Record the end of a request; change the limit at a round's end."""
        self._in_flight = max(0, self._in_flight - 1)
        if ok:
            self._successes += 1
            self._sum_s += latency_s
        else:
            self._failures += 1
        round_size = max(ROUND_ENDS, ROUND_ENDS_PER_LIMIT * int(self._limit))
        if self._successes + self._failures < round_size:
            return
        self._end_round()
        self._start_round()

    def _start_round(self) -> None:
        """Reset the counts of the round."""
        self._successes = 0
        self._failures = 0
        self._sum_s = 0.0
        self._max_in_flight = self._in_flight

    def _end_round(self) -> None:
        """Compute the next limit."""
        total = self._successes + self._failures
        if self._failures > MAX_FAILED_SHARE * total:
            self._set_limit(self._limit * AIMD_BACKOFF)
            return
        mean_s = self._sum_s / max(1, self._successes)
        self._min_latency_s = min(
            self._min_latency_s * MIN_LATENCY_GROWTH, mean_s
        )
        new_limit = self._next_limit(mean_s / self._min_latency_s)
        # A round that did not reach the limit is no reason to raise it.
        if new_limit > self._limit and self._max_in_flight < int(self._limit):
            return
        self._set_limit(new_limit)

    def _set_limit(self, new_limit: float) -> None:
        """Set the limit, clamped to its bounds."""
        self._limit = min(max(1.0, new_limit), float(self._max_limit))

    @abstractmethod
    def _next_limit(self, slowdown: float) -> float:
        """Return the new limit for the ratio of mean to minimum latency."""


@LIMITS.register("aimd")
class AimdLimit(_RoundLimit):
    """Additive increase, multiplicative decrease."""

    __slots__ = ()

    def _next_limit(self, slowdown: float) -> float:
        if slowdown > AIMD_TOLERANCE:
            return self._limit * AIMD_BACKOFF
        return self._limit + 1.0


@LIMITS.register("vegas")
class VegasLimit(_RoundLimit):
    """Keeps the number of requests queued inside the executor low."""

    __slots__ = ()

    def _next_limit(self, slowdown: float) -> float:
        queued = self._limit * (1.0 - 1.0 / slowdown)
        if queued > VEGAS_MAX_QUEUED:
            return self._limit - 1.0
        if queued < VEGAS_MIN_QUEUED:
            return self._limit + 1.0
        return self._limit


@LIMITS.register("gradient")
class GradientLimit(_RoundLimit):
    """Scales by the ratio of the minimum to the current latency."""

    __slots__ = ()

    def _next_limit(self, slowdown: float) -> float:
        gradient = min(1.0, GRADIENT_TOLERANCE / slowdown)
        gradient = max(MIN_GRADIENT, gradient)
        new_limit = self._limit * gradient + sqrt(self._limit) / 2
        change = new_limit - self._limit
        return self._limit + GRADIENT_SMOOTHING * change
