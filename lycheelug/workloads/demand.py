"""Estimates how fast the work arriving at a pool grows; no I/O.

A host ordered now runs its first tasks two seconds later, so at the start
of a surge the currently running and waiting work underestimates the demand.
The work that arrived in the last second is compared with that of the second
before.  A rise within the random variation of arrivals isn't counted, and a
decline counts as no growth.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from lycheelug.workloads.model import JobRecord
    from lycheelug.workloads.runtimes import RunTimes

__all__ = ["Arrivals", "expected_work"]

# Length of each of the two windows that are compared.
WINDOW_S: Final = 1.0
# Time from ordering a host to its first tasks (a move, its store entry, two
# rounds of planning), less the run time of a short job, as jobs that are
# waiting already are part of the demand.
LEAD_S: Final = 0.8
# Number of standard deviations of the arrivals that is subtracted from a rise
# as random variation.
NOISE_DEVIATIONS: Final = 0.7


class Arrivals:
    """Work that arrived in the last two windows, in core-milliseconds.

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
        """Record the work of a job that has arrived."""
        self._arrived.append((now, work))

    def last_window(self, now: float) -> tuple[float, int]:
        """Return the work and the number of jobs of the last window.

        As work a second, it is in thousandths of a core.
        """
        work = 0.0
        jobs = 0
        for at, each in reversed(self._arrived):
            if now - at > WINDOW_S:
                break
            work += each
            jobs += 1
        return work / WINDOW_S, jobs

    def growth(self, now: float) -> float:
        """Return the expected growth of the load until a new host is ready.

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
    """Return the expected work of one occurrence of a job.

    The unit is thousandths of a core times seconds (core-milliseconds).
    """
    work = 0.0
    for step in record.steps:
        expected_s = run_times.expect_s(record.queue, step.estimate_ms / 1000)
        work += step.count * step.resources.cpu_millis * expected_s
    return work
