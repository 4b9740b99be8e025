"""Mean and variance of observations of which older ones weigh less."""

from __future__ import annotations

from typing import Final

__all__ = ["Moments"]

# Factor by which the weight of older observations decays with each new one.
DECAY: Final = 0.99


class Moments:
    """Exponentially weighted mean and variance.

    >>> moments = Moments()
    >>> for value in (1.0, 3.0):
    ...     moments.add(value)
    >>> round(moments.mean, 2), round(moments.variance, 2)
    (2.01, 1.0)
    """

    __slots__ = ("mean", "variance", "weight")

    def __init__(self) -> None:
        # The effective number of observations.
        self.weight = 0.0
        self.mean = 0.0
        self.variance = 0.0

    def add(self, value: float) -> None:
        """Add an observation."""
        self.weight = self.weight * DECAY + 1.0
        fraction = 1.0 / self.weight
        deviation = value - self.mean
        self.mean += deviation * fraction
        self.variance = (1.0 - fraction) * (
            self.variance + fraction * deviation * deviation
        )

    @property
    def squared_error(self) -> float:
        """The squared standard error of the mean."""
        return self.variance / max(1.0, self.weight - 1.0)
