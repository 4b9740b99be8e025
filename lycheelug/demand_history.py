"""Records the demand of each pool, measured in hosts.

Two views of bounded size are kept for each pool: the samples of the last
minutes, and the mean demand in each slot of the day over the previous
days, in which older days count less.  The first shows the current demand,
the second the usual demand at a time of day.

Limits: days of the week are not distinguished.
"""

from __future__ import annotations

import math
from array import array
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["DemandHistory", "quantile"]

_DAY_S: Final = 86400.0
_SLOTS_PER_DAY: Final = 48
_RECENT_SAMPLES: Final = 1800


def quantile(ordered: Sequence[float], share: float) -> float:
    """Return the smallest sample that at least a share do not exceed.

    >>> quantile([1.0, 2.0, 3.0, 4.0], 0.5)
    2.0
    >>> quantile([], 0.5)
    0.0
    """
    if not ordered:
        return 0.0
    index = math.ceil(share * len(ordered)) - 1
    return ordered[min(len(ordered) - 1, max(0, index))]


class _PoolDemand:
    """The recent samples and the day profile of one pool."""

    __slots__ = (
        "_day",
        "_max_samples",
        "_oldest_index",
        "_recent",
        "_today_counts",
        "_today_sums",
        "counts",
        "sums",
    )

    def __init__(self, size: int) -> None:
        self._max_samples = size
        self._recent: array[float] = array("f")
        self._oldest_index = 0
        # Number of samples and sum of their demand, per slot of the day,
        # over the previous days.
        self.counts: array[float] = array("f", [0.0]) * _SLOTS_PER_DAY
        self.sums: array[float] = array("f", [0.0]) * _SLOTS_PER_DAY
        # The same values for today.
        self._day = 0
        self._today_counts: array[float] = array("f", [0.0]) * _SLOTS_PER_DAY
        self._today_sums: array[float] = array("f", [0.0]) * _SLOTS_PER_DAY

    def record(self, demand: float, day: int, slot: int) -> None:
        """Add a sample to the recent samples and to today's profile."""
        if len(self._recent) < self._max_samples:
            self._recent.append(demand)
        else:
            self._recent[self._oldest_index] = demand
            self._oldest_index = (self._oldest_index + 1) % self._max_samples
        if day != self._day:
            self._merge_today()
            self._day = day
        self._today_counts[slot] += 1.0
        self._today_sums[slot] += demand

    def recent(self, count: int) -> list[float]:
        """Return the latest samples, oldest first."""
        ordered = (
            self._recent[self._oldest_index :]
            + self._recent[: self._oldest_index]
        )
        return list(ordered[-count:]) if count > 0 else []

    def _merge_today(self) -> None:
        """Halve the weight of older days and merge today into the profile."""
        for slot in range(_SLOTS_PER_DAY):
            if self._today_counts[slot] == 0.0:
                continue
            self.counts[slot] /= 2.0
            self.sums[slot] /= 2.0
            self.counts[slot] += self._today_counts[slot]
            self.sums[slot] += self._today_sums[slot]
            self._today_counts[slot] = 0.0
            self._today_sums[slot] = 0.0


class DemandHistory:
    """Demand of all pools, sampled every `step_s`.

    >>> history = DemandHistory(step_s=1.0)
    >>> for second in range(10):
    ...     history.record("quotes", now=float(second), demand=2.5)
    >>> history.recent("quotes", 3.0)
    [2.5, 2.5, 2.5]
    >>> history.record("quotes", now=86400.0, demand=1.0)
    >>> history.profile_mean("quotes", start=0.0, end=60.0)
    2.5
    """

    __slots__ = ("_day_s", "_pools", "_recent_samples", "_step_s")

    def __init__(
        self,
        step_s: float = 1.0,
        recent_samples: int = _RECENT_SAMPLES,
        day_s: float = _DAY_S,
    ) -> None:
        self._step_s = step_s
        self._recent_samples = recent_samples
        self._day_s = day_s
        self._pools: dict[str, _PoolDemand] = {}

    @property
    def step_s(self) -> float:
        """The time between two samples."""
        return self._step_s

    @property
    def window_s(self) -> float:
        """The longest period that the recent samples cover."""
        return self._step_s * self._recent_samples

    def record(self, pool: str, now: float, demand: float) -> None:
        """Add the demand of a pool during the last step, in hosts."""
        state = self._pools.get(pool)
        if state is None:
            state = _PoolDemand(self._recent_samples)
            self._pools[pool] = state
        state.record(demand, int(now // self._day_s), self._slot(now))

    def recent(self, pool: str, window_s: float) -> list[float]:
        """Return the samples of the last `window_s`, oldest first."""
        state = self._pools.get(pool)
        if state is None:
            return []
        return state.recent(round(window_s / self._step_s))

    def profile_samples(self, pool: str, at: float) -> float:
        """Return how many samples the profile has in the slot of a time."""
        state = self._pools.get(pool)
        if state is None:
            return 0.0
        return state.counts[self._slot(at)]

    def profile_mean(self, pool: str, start: float, end: float) -> float:
        """Return the mean demand of the profile between two times."""
        state = self._pools.get(pool)
        if state is None or end <= start:
            return 0.0
        slot_s = self._day_s / _SLOTS_PER_DAY
        steps = max(1, math.ceil((end - start) / slot_s))
        count = 0.0
        total = 0.0
        for step in range(steps):
            at = start + (step + 0.5) * (end - start) / steps
            slot = self._slot(at)
            count += state.counts[slot]
            total += state.sums[slot]
        return total / count if count > 0.0 else 0.0

    def _slot(self, at: float) -> int:
        """Return the index of the slot of the day that contains a time."""
        part = (at % self._day_s) / self._day_s
        return int(part * _SLOTS_PER_DAY) % _SLOTS_PER_DAY
