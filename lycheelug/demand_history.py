"""What demand each pool has seen, in hosts' worth of work.

Two views are kept for each pool, both of bounded size: the samples of the
last minutes, and the mean demand of each slot of the day on the days
before, of which older ones fade.  The first is for what happens now, the
second for what usually happens at this hour.

Limits: no days of the week.
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
_RECENT_SAMPLES: Final = 1800


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

    __slots__ = (
        "_day",
        "_next",
        "_recent",
        "_size",
        "_today_sums",
        "_today_totals",
        "sums",
        "totals",
    )

    def __init__(self, size: int) -> None:
        self._size = size
        self._recent: array[float] = array("f")
        self._next = 0
        # Samples, and the sum of their demand, by slot of the day, of the
        # days before.
        self.totals: array[float] = array("f", [0.0]) * _SLOTS_A_DAY
        self.sums: array[float] = array("f", [0.0]) * _SLOTS_A_DAY
        # The same of today.
        self._day = 0
        self._today_totals: array[float] = array("f", [0.0]) * _SLOTS_A_DAY
        self._today_sums: array[float] = array("f", [0.0]) * _SLOTS_A_DAY

    def record(self, demand: float, day: int, slot: int) -> None:
        """Add a sample to both views."""
        if len(self._recent) < self._size:
            self._recent.append(demand)
        else:
            self._recent[self._next] = demand
            self._next = (self._next + 1) % self._size
        if day != self._day:
            self._close_day()
            self._day = day
        self._today_totals[slot] += 1.0
        self._today_sums[slot] += demand

    def recent(self, count: int) -> list[float]:
        """Return the newest samples, oldest first."""
        ordered = self._recent[self._next :] + self._recent[: self._next]
        return list(ordered[-count:]) if count > 0 else []

    def _close_day(self) -> None:
        """Add today to the days before, which count half from now on."""
        for slot in range(_SLOTS_A_DAY):
            if self._today_totals[slot] == 0.0:
                continue
            self.totals[slot] /= 2.0
            self.sums[slot] /= 2.0
            self.totals[slot] += self._today_totals[slot]
            self.sums[slot] += self._today_sums[slot]
            self._today_totals[slot] = 0.0
            self._today_sums[slot] = 0.0


class DemandHistory:
    """Demand of all pools, sampled every `step_s`.

    >>> history = DemandHistory(step_s=1.0)
    >>> for second in range(10):
    ...     history.record("quotes", now=float(second), demand=2.5)
    >>> history.recent("quotes", 3.0)
    [2.5, 2.5, 2.5]
    >>> history.record("quotes", now=86400.0, demand=1.0)
    >>> history.usual_mean("quotes", start=0.0, end=60.0)
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
        state.record(demand, int(now // self._day_s), self._slot(now))

    def recent(self, pool: str, window_s: float) -> list[float]:
        """Return the samples of the last `window_s`, oldest first."""
        state = self._pools.get(pool)
        if state is None:
            return []
        return state.recent(round(window_s / self._step_s))

    def slot_samples(self, pool: str, at: float) -> float:
        """Return how many samples the slot's mean rests on."""
        state = self._pools.get(pool)
        if state is None:
            return 0.0
        return state.totals[self._slot(at)]

    def usual_mean(self, pool: str, start: float, end: float) -> float:
        """Return the mean demand usual between two times of the day."""
        state = self._pools.get(pool)
        if state is None or end <= start:
            return 0.0
        slot_s = self._day_s / _SLOTS_A_DAY
        steps = max(1, math.ceil((end - start) / slot_s))
        count = 0.0
        total = 0.0
        for step in range(steps):
            at = start + (step + 0.5) * (end - start) / steps
            slot = self._slot(at)
            count += state.totals[slot]
            total += state.sums[slot]
        return total / count if count > 0.0 else 0.0

    def _slot(self, at: float) -> int:
        """Return the slot of the day of a time."""
        part = (at % self._day_s) / self._day_s
        return int(part * _SLOTS_A_DAY) % _SLOTS_A_DAY
