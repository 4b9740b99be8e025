"""What demand each pool has seen, in hosts' worth of work.

Two views are kept for each pool, both of bounded size: the samples of the
last minutes, and a histogram of demand for each slot of the day, in which
older days fade.  The first is for what happens now, the second for what
usually happens at this hour.

Limits: demand above the histogram's last bin counts as that bin.
"""

from __future__ import annotations

import math
from array import array
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["DemandHistory", "quantile"]

_DAY_S: Final = 86400.0
_SLOTS_A_DAY: Final = 48
_BINS: Final = 48
_RECENT_SAMPLES: Final = 600
# A slot's histogram is halved when it holds this many samples, so that the
# last days weigh most.
_FADE_SAMPLES: Final = 8000.0


def quantile(ordered: Sequence[float], part: float) -> float:
    """Return the smallest sample that at least `part` of them reach not.

    >>> quantile([1.0, 2.0, 3.0, 4.0], 0.5)
    2.0
    >>> quantile([], 0.5)
    0.0
    """
    if not ordered:
        return 0.0
    index = math.ceil(part * len(ordered)) - 1
    return ordered[min(len(ordered) - 1, max(0, index))]


class _PoolDemand:
    """The samples and day profile of one pool."""

    __slots__ = ("_next", "_recent", "_size", "_totals", "profile")

    def __init__(self, size: int) -> None:
        self._size = size
        self._recent: array[float] = array("f")
        self._next = 0
        self.profile: array[float] = array("f", [0.0]) * (_SLOTS_A_DAY * _BINS)
        self._totals: array[float] = array("f", [0.0]) * _SLOTS_A_DAY

    def record(self, demand: float, slot: int) -> None:
        """Add a sample to both views."""
        if len(self._recent) < self._size:
            self._recent.append(demand)
        else:
            self._recent[self._next] = demand
            self._next = (self._next + 1) % self._size
        bin_index = min(_BINS - 1, max(0, math.ceil(demand)))
        self.profile[slot * _BINS + bin_index] += 1.0
        self._totals[slot] += 1.0
        if self._totals[slot] >= _FADE_SAMPLES:
            self._fade(slot)

    def recent(self, count: int) -> list[float]:
        """Return the newest samples, oldest first."""
        ordered = self._recent[self._next :] + self._recent[: self._next]
        return list(ordered[-count:]) if count > 0 else []

    def bins(self, slot: int) -> Sequence[float]:
        """Return a slot's histogram."""
        return self.profile[slot * _BINS : (slot + 1) * _BINS]

    def _fade(self, slot: int) -> None:
        """Halve a slot's histogram."""
        for index in range(slot * _BINS, (slot + 1) * _BINS):
            self.profile[index] /= 2.0
        self._totals[slot] /= 2.0


class DemandHistory:
    """Demand of all pools, sampled every `step_s`.

    >>> history = DemandHistory(step_s=1.0)
    >>> for second in range(10):
    ...     history.record("quotes", now=float(second), demand=2.5)
    >>> history.recent("quotes", 3.0)
    [2.5, 2.5, 2.5]
    >>> history.slot_quantile("quotes", at=0.0, part=0.9)
    3.0
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
        """Time between two samples."""
        return self._step_s

    @property
    def window_s(self) -> float:
        """Time that the recent samples reach back."""
        return self._step_s * self._recent_samples

    def record(self, pool: str, now: float, demand: float) -> None:
        """Add the demand of a pool over the last step, in hosts."""
        state = self._pools.get(pool)
        if state is None:
            state = _PoolDemand(self._recent_samples)
            self._pools[pool] = state
        state.record(demand, self._slot(now))

    def recent(self, pool: str, window_s: float) -> list[float]:
        """Return the samples of the last `window_s`, oldest first."""
        state = self._pools.get(pool)
        if state is None:
            return []
        return state.recent(round(window_s / self._step_s))

    def slot_quantile(self, pool: str, at: float, part: float) -> float:
        """Return a quantile of the demand usual at that time of day."""
        state = self._pools.get(pool)
        if state is None:
            return 0.0
        bins = state.bins(self._slot(at))
        needed = part * sum(bins)
        reached = 0.0
        for index, count in enumerate(bins):
            reached += count
            if count > 0.0 and reached >= needed:
                return float(index)
        return 0.0

    def slot_samples(self, pool: str, at: float) -> float:
        """Return how many samples the slot's quantiles rest on."""
        state = self._pools.get(pool)
        if state is None:
            return 0.0
        return sum(state.bins(self._slot(at)))

    def _slot(self, at: float) -> int:
        """Return the slot of the day of a time."""
        part = (at % self._day_s) / self._day_s
        return int(part * _SLOTS_A_DAY) % _SLOTS_A_DAY
