"""Learns how long tasks really take from submitters' estimates; no I/O.

Estimates are far off for some queues and good for others.  For each queue
the logarithm of the run time is fitted as a line over the logarithm of the
estimate: where estimates tell nothing, the line is flat and every step is
given the queue's usual run time; where they are true, it rises with them.
Until enough runs have ended, the estimate itself weighs in.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

__all__ = ["RunTimes"]

# Older runs count less: this share of their weight is left at each new one.
DECAY: Final = 0.99
# What is believed before any run: the estimate, with this much weight.
PRIOR_WEIGHT: Final = 4.0
# Spread of the logarithms that belongs to the prior, in both directions.
PRIOR_VARIANCE: Final = 0.2
RUN_MIN_S: Final = 0.01


class _Line:
    """A weighted least-squares line of one queue."""

    __slots__ = ("covariance", "variance", "weight", "x", "y")

    def __init__(
        self,
        weight: float = 0.0,
        x: float = 0.0,
        y: float = 0.0,
        variance: float = 0.0,
        covariance: float = 0.0,
    ) -> None:
        self.weight = weight
        # Means of the logarithms of estimates and of run times.
        self.x = x
        self.y = y
        # Mean square of x, and mean product of x and y, about their means.
        self.variance = variance
        self.covariance = covariance

    def add(self, x: float, y: float) -> None:
        """Take in a point."""
        self.weight = self.weight * DECAY + 1.0
        fraction = 1.0 / self.weight
        dx, dy = x - self.x, y - self.y
        self.x += dx * fraction
        self.y += dy * fraction
        rest = 1.0 - fraction
        self.variance = rest * (self.variance + fraction * dx * dx)
        self.covariance = rest * (self.covariance + fraction * dx * dy)

    def predict(self, x: float) -> float:
        """Return the line's value, drawn towards y = x by the prior."""
        prior = PRIOR_WEIGHT / (self.weight + PRIOR_WEIGHT)
        known = 1.0 - prior
        slope = (known * self.covariance + prior * PRIOR_VARIANCE) / (
            known * self.variance + prior * PRIOR_VARIANCE
        )
        slope = min(1.0, max(0.0, slope))
        if not self.weight:
            return x
        learned = self.y + slope * (x - self.x)
        return known * learned + prior * x


class RunTimes:
    """Run times of the queues of one pool.

    >>> times = RunTimes()
    >>> times.expect_s("proofs", 2.0)
    2.0
    >>> for _ in range(200):
    ...     times.record("proofs", estimate_s=0.5, run_s=1.0)
    ...     times.record("proofs", estimate_s=4.0, run_s=1.0)
    >>> round(times.expect_s("proofs", 4.0), 1)
    1.1
    """

    __slots__ = ("_lines",)

    def __init__(self) -> None:
        self._lines: dict[str, _Line] = {}

    def record(self, queue: str, estimate_s: float, run_s: float) -> None:
        """Take in how long a run took that ended well."""
        line = self._lines.setdefault(queue, _Line())
        line.add(_log(estimate_s), _log(run_s))

    def expect_s(self, queue: str, estimate_s: float) -> float:
        """Return how long a task is expected to run, in seconds."""
        line = self._lines.get(queue)
        if line is None:
            return estimate_s
        return math.exp(line.predict(_log(estimate_s)))

    def export(self) -> dict[str, list[float]]:
        """Return what was learned, for the pool's next owner."""
        found: dict[str, list[float]] = {}
        for queue, line in self._lines.items():
            values = (
                line.weight,
                line.x,
                line.y,
                line.variance,
                line.covariance,
            )
            found[queue] = [round(value, 2) for value in values]
        return found

    def restore(self, learned: Mapping[str, Sequence[float]]) -> None:
        """Take over what an earlier owner learned."""
        for queue, values in learned.items():
            if len(values) == len(_Line.__slots__):
                self._lines.setdefault(queue, _Line(*values))


def _log(seconds: float) -> float:
    """Return the logarithm of a duration."""
    return math.log(max(RUN_MIN_S, seconds))
