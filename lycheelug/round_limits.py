"""Concurrency limits that compare latencies with the least one seen.

A limit is changed after a round of ended requests, by the ratio of the
round's mean latency to the least mean of a round so far:

* `aimd` adds one, and backs off by a factor when the ratio is high;
* `vegas` keeps the number of requests that wait inside the executor, as the
  ratio tells it, between two bounds;
* `gradient` multiplies by the inverse ratio and allows for a short queue.

None of them finds that an executor was slow from the start.
"""

from __future__ import annotations

from abc import abstractmethod
from math import inf, sqrt
from typing import Final

from lycheelug.limit_interface import LIMITS, Limit

__all__ = ["AimdLimit", "GradientLimit", "VegasLimit"]

# Ends of requests in a round: at least so many, and so many for each
# request that may run at once.
ROUND_ENDS: Final = 128
ROUND_ENDS_PER_LIMIT: Final = 4
# The least latency rises by this factor a round, so that it is forgotten.
BASE_DRIFT: Final = 1.01
AIMD_TOLERANCE: Final = 1.2
AIMD_BACKOFF: Final = 0.85
VEGAS_LEAST_QUEUED: Final = 0.3
VEGAS_MOST_QUEUED: Final = 1.0
GRADIENT_TOLERANCE: Final = 1.0
GRADIENT_SMOOTHING: Final = 0.5
LEAST_GRADIENT: Final = 0.5
MAX_FAILED_SHARE: Final = 0.5


class _RoundLimit(Limit):
    """A limit that is changed after each round of ended requests."""

    __slots__ = (
        "_base_s",
        "_ends",
        "_failures",
        "_in_flight",
        "_limit",
        "_most",
        "_peak",
        "_sum_s",
    )

    def __init__(self, slots: int, most: int) -> None:
        self._peak = 0
        self._limit = float(slots)
        self._most = most
        self._in_flight = 0
        # The least mean latency of a round so far.
        self._base_s = inf
        self._start_round()

    def limit(self, now: float) -> int:
        """Return how many may run at once."""
        return int(self._limit)

    def on_start(self, now: float) -> None:
        """Note a start."""
        self._in_flight += 1
        self._peak = max(self._peak, self._in_flight)

    def on_finish(self, latency_s: float, ok: bool, now: float) -> None:
        """Note an end; at the end of a round, change the limit."""
        self._in_flight = max(0, self._in_flight - 1)
        if ok:
            self._ends += 1
            self._sum_s += latency_s
        else:
            self._failures += 1
        wanted = max(ROUND_ENDS, ROUND_ENDS_PER_LIMIT * int(self._limit))
        if self._ends + self._failures < wanted:
            return
        self._end_round()
        self._start_round()

    def _start_round(self) -> None:
        """Forget the last round."""
        self._ends = 0
        self._failures = 0
        self._sum_s = 0.0
        self._peak = self._in_flight

    def _end_round(self) -> None:
        """Work out the next limit."""
        total = self._ends + self._failures
        if self._failures > MAX_FAILED_SHARE * total:
            self._set(self._limit * AIMD_BACKOFF)
            return
        mean_s = self._sum_s / max(1, self._ends)
        self._base_s = min(self._base_s * BASE_DRIFT, mean_s)
        wanted = self._next_limit(mean_s / self._base_s)
        # A limit that was not reached says nothing about a higher one.
        if wanted > self._limit and self._peak < int(self._limit):
            return
        self._set(wanted)

    def _set(self, wanted: float) -> None:
        """Change the limit within its bounds."""
        self._limit = min(max(1.0, wanted), float(self._most))

    @abstractmethod
    def _next_limit(self, slowdown: float) -> float:
        """Return the wanted limit; `slowdown` is latency by the least."""


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
    """Keeps the requests that wait inside the executor few."""

    __slots__ = ()

    def _next_limit(self, slowdown: float) -> float:
        queued = self._limit * (1.0 - 1.0 / slowdown)
        if queued > VEGAS_MOST_QUEUED:
            return self._limit - 1.0
        if queued < VEGAS_LEAST_QUEUED:
            return self._limit + 1.0
        return self._limit


@LIMITS.register("gradient")
class GradientLimit(_RoundLimit):
    """Follows the ratio of the least and the present latency."""

    __slots__ = ()

    def _next_limit(self, slowdown: float) -> float:
        gradient = min(1.0, GRADIENT_TOLERANCE / slowdown)
        gradient = max(LEAST_GRADIENT, gradient)
        wanted = self._limit * gradient + sqrt(self._limit) / 2
        change = wanted - self._limit
        return self._limit + GRADIENT_SMOOTHING * change
