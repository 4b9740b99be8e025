"""The expected work that waits in a queue, by latest start.

Work is summed in steps of latest start, so that the work which goes before
a deadline is found without a walk over the waiting requests.  Starts
further ahead than the horizon share one step.
"""

from __future__ import annotations

from math import inf
from typing import Final

__all__ = ["QueuedWork"]

STEP_S: Final = 0.25
HORIZON_S: Final = 30.0
FAR_STEP: Final = 1 << 62


class QueuedWork:
    """Sums of expected run seconds by step of latest start.

    >>> work = QueuedWork()
    >>> near = work.add(now=0.0, latest=1.0, seconds=2.0)
    >>> far = work.add(now=0.0, latest=9.0, seconds=5.0)
    >>> work.before(1.1), work.before(10.0), work.total_s
    (2.0, 7.0, 7.0)
    >>> work.remove(near, 2.0)
    >>> work.before(1.1)
    0.0
    """

    __slots__ = ("_steps", "_total_s")

    def __init__(self) -> None:
        self._steps: dict[int, list[float]] = {}
        self._total_s = 0.0

    @property
    def total_s(self) -> float:
        """All expected work that waits, in run seconds."""
        return self._total_s

    def add(self, now: float, latest: float, seconds: float) -> int:
        """Add work; return the step by which it is removed again."""
        step = FAR_STEP
        if latest < now + HORIZON_S:
            step = int(latest / STEP_S)
        cell = self._steps.get(step)
        if cell is None:
            cell = self._steps[step] = [0.0, 0]
        cell[0] += seconds
        cell[1] += 1
        self._total_s += seconds
        return step

    def remove(self, step: int, seconds: float) -> None:
        """Take away work that was added to a step."""
        cell = self._steps[step]
        cell[0] -= seconds
        cell[1] -= 1
        self._total_s -= seconds
        if not cell[1]:
            del self._steps[step]
        if not self._steps:
            self._total_s = 0.0

    def before(self, latest: float) -> float:
        """Return the work whose latest start is not after this one."""
        if latest == inf:
            return self._total_s
        last = int(latest / STEP_S)
        total_s = 0.0
        for step, cell in self._steps.items():
            if step <= last:
                total_s += cell[0]
        return total_s
