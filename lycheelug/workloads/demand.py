"""Tells how fast the work that arrives at a pool grows; no I/O.

A host that is ordered now takes its first tasks two seconds later, so what
runs and waits now says too little while a surge begins.  The work of the
last second is compared with that of the second before; a rise that is no
more than chance arrivals make is not counted.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from lycheelug.workloads.model import JobRecord
    from lycheelug.workloads.runtimes import RunTimes

__all__ = ["Arrivals", "expected_work"]

WINDOW_S: Final = 1.0
# From an order to a host's first tasks (a move, its entry, two rounds),
# less what a short job itself takes: what waits now counts already.
LEAD_S: Final = 0.8
# Rises below this many standard deviations are taken for chance.
NOISE_DEVIATIONS: Final = 0.7


class Arrivals:
    """Work that arrived in the last two spans, in core-milliseconds.

    >>> arrivals = Arrivals()
    >>> for number in range(20):
    ...     arrivals.record(1000.0, now=0.1 * number)
    >>> arrivals.growth(now=2.0)
    0.0
    >>> for number in range(60):
    ...     arrivals.record(1000.0, now=2.0 + 0.016 * number)
    >>> arrivals.growth(now=2.99) > 20_000
    True
    """

    __slots__ = ("_arrived",)

    def __init__(self) -> None:
        self._arrived: deque[tuple[float, float]] = deque()

    def record(self, work: float, now: float) -> None:
        """Take in a job's work."""
        self._arrived.append((now, work))

    def growth(self, now: float) -> float:
        """Return by how much the work a second will have grown.

        The result is in thousandths of a core.
        """
        arrived = self._arrived
        while arrived and now - arrived[0][0] > 2 * WINDOW_S:
            arrived.popleft()
        recent = earlier = squares = 0.0
        for at, work in arrived:
            squares += work * work
            if now - at <= WINDOW_S:
                recent += work
            else:
                earlier += work
        rise = recent - earlier - NOISE_DEVIATIONS * math.sqrt(squares)
        return max(0.0, rise / WINDOW_S * LEAD_S)


def expected_work(record: JobRecord, run_times: RunTimes) -> float:
    """Return a job's expected work in core-milliseconds a second."""
    work = 0.0
    for step in record.steps:
        expected_s = run_times.expect_s(record.queue, step.estimate_ms / 1000)
        work += step.count * step.resources.cpu_millis * expected_s
    return work
