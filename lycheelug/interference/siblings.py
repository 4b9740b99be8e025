"""Compares the runs of one step with one another; no I/O.

The run times of a job's tasks deviate from what is expected in the same way,
as the estimate is that of the job.  Taken as they are, they would count one
chance many times.  So each run is compared with the runs of its step on other
executors, once all of them have ended: what they share cancels out.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Hashable, Mapping

__all__ = ["SiblingRun", "Siblings"]

# Steps that are not complete yet, and runs of one step, that are kept.
STEPS_MAX: Final = 256
RUNS_MAX: Final = 64


class SiblingRun:
    """One run of a step, with the kinds that were beside it."""

    __slots__ = ("beside", "deviation", "executor")

    def __init__(
        self, executor: str, deviation: float, beside: Mapping[str, float]
    ) -> None:
        self.executor = executor
        # The logarithm of its run time.
        self.deviation = deviation
        self.beside = beside


class Siblings:
    """The ended runs of steps that are not complete yet.

    >>> siblings = Siblings()
    >>> siblings.add("step", SiblingRun("e1", 0.4, {}), count=2)
    []
    >>> runs = siblings.add("step", SiblingRun("e2", 0.0, {}), count=2)
    >>> [round(run.deviation, 2) for run in runs]
    [0.28, -0.28]
    """

    __slots__ = ("_steps",)

    def __init__(self) -> None:
        self._steps: OrderedDict[Hashable, list[SiblingRun]] = OrderedDict()

    def add(
        self, step: Hashable, run: SiblingRun, count: int
    ) -> list[SiblingRun]:
        """Add a run of a step with `count` tasks.

        Returns the runs of a complete step, each with its deviation from
        those on other executors; runs without any are left out.
        """
        runs = self._steps.setdefault(step, [])
        runs.append(run)
        if len(runs) >= min(count, RUNS_MAX):
            del self._steps[step]
            return _compare(runs)
        if len(self._steps) > STEPS_MAX:
            self._steps.popitem(last=False)
        return []


def _compare(runs: list[SiblingRun]) -> list[SiblingRun]:
    """Return the deviations of runs from those on other executors.

    They are scaled so that their spread is that of a single run.
    """
    sums: dict[str, float] = {}
    counts: dict[str, int] = {}
    for run in runs:
        executor = run.executor
        sums[executor] = sums.get(executor, 0.0) + run.deviation
        counts[executor] = counts.get(executor, 0) + 1
    total = sum(sums.values())
    found: list[SiblingRun] = []
    for run in runs:
        others = len(runs) - counts[run.executor]
        if not others:
            continue
        mean = (total - sums[run.executor]) / others
        scale = math.sqrt(others / (others + 1))
        deviation = (run.deviation - mean) * scale
        found.append(SiblingRun(run.executor, deviation, run.beside))
    return found
