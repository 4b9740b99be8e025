"""Predicts run times of tasks from submitters' estimates; no I/O.

Estimates are accurate for some queues and far off for others.  For each
queue, the logarithm of the run time is fitted as a linear function of the
logarithm of the estimate.  If estimates carry no information, the line is
flat and every step is predicted to take the queue's typical run time; if
they are accurate, the line follows them.  A prior pulls the prediction
towards the estimate until enough runs have been recorded.  Other features
of a task, such as its size or its executor, aren't used.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

__all__ = ["RunTimes"]

# Factor by which the weight of older runs decays with each new run.
DECAY: Final = 0.99
# Weight, in runs, of the prior: that the run time equals the estimate.
PRIOR_WEIGHT: Final = 4.0
# Variance of the logarithms of the estimates, and their covariance with those
# of the run times, under the prior.
PRIOR_VARIANCE: Final = 0.2
# Shorter durations count as this long, as their logarithm may be undefined.
RUN_MIN_S: Final = 0.01


class _Line:
    """The weighted least-squares line of one queue."""

    __slots__ = ("covariance", "mean_x", "mean_y", "variance", "weight")

    def __init__(
        self,
        weight: float = 0.0,
        mean_x: float = 0.0,
        mean_y: float = 0.0,
        variance: float = 0.0,
        covariance: float = 0.0,
    ) -> None:
        self.weight = weight
        # Means of the logarithms of estimates (x) and run times (y).
        self.mean_x = mean_x
        self.mean_y = mean_y
        # Variance of x, and covariance of x and y.
        self.variance = variance
        self.covariance = covariance

    def add(self, x: float, y: float) -> None:
        """Add a point."""
        self.weight = self.weight * DECAY + 1.0
        fraction = 1.0 / self.weight
        dx, dy = x - self.mean_x, y - self.mean_y
        self.mean_x += dx * fraction
        self.mean_y += dy * fraction
        rest = 1.0 - fraction
        self.variance = rest * (self.variance + fraction * dx * dx)
        self.covariance = rest * (self.covariance + fraction * dx * dy)

    def predict(self, x: float) -> float:
        """Return the value at x, drawn towards y = x by the prior."""
        prior = PRIOR_WEIGHT / (self.weight + PRIOR_WEIGHT)
        known = 1.0 - prior
        slope = (known * self.covariance + prior * PRIOR_VARIANCE) / (
            known * self.variance + prior * PRIOR_VARIANCE
        )
        slope = min(1.0, max(0.0, slope))
        if not self.weight:
            return x
        learned = self.mean_y + slope * (x - self.mean_x)
        return known * learned + prior * x


class RunTimes:
    """Learned run times of the queues of one pool.

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
        """Record the run time of a successful run."""
        line = self._lines.setdefault(queue, _Line())
        line.add(_log(estimate_s), _log(run_s))

    def expect_s(self, queue: str, estimate_s: float) -> float:
        """Return the expected run time of a task in seconds."""
        line = self._lines.get(queue)
        if line is None:
            return estimate_s
        return math.exp(line.predict(_log(estimate_s)))

    def export(self) -> dict[str, list[float]]:
        """Return the learned parameters, for the pool's next owner."""
        found: dict[str, list[float]] = {}
        for queue, line in self._lines.items():
            values = (
                line.weight,
                line.mean_x,
                line.mean_y,
                line.variance,
                line.covariance,
            )
            found[queue] = [round(value, 2) for value in values]
        return found

    def restore(self, learned: Mapping[str, Sequence[float]]) -> None:
        """Restore parameters that an earlier owner exported.

        Entries of the wrong length are ignored.
        """
        for queue, values in learned.items():
            if len(values) == len(_Line.__slots__):
                self._lines.setdefault(queue, _Line(*values))


def _log(seconds: float) -> float:
    """Return the natural logarithm of a duration."""
    return math.log(max(RUN_MIN_S, seconds))
