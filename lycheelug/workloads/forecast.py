"""What can be expected of one occurrence of a job; no I/O.

From the steps' expected run times follow the time at which the occurrence
becomes late, and for each step how long the job goes on once its tasks
start.
"""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, Final

from lycheelug.workloads.model import longest_chain_s

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheelug.workloads.model import JobRecord, QueuePolicy
    from lycheelug.workloads.runtimes import RunTimes

__all__ = ["DeadlineForecast", "Feasibility"]

# A late job still pays a little until this many times its allowed time.
LATE_SPAN: Final = 3.0


class Feasibility(IntEnum):
    """What an occurrence can still earn, the best first."""

    IN_TIME = 0
    LATE = 1
    # It is of no use any more; it is still carried out.
    OVERDUE = 2


class DeadlineForecast:
    """One occurrence's time limit and remaining times."""

    __slots__ = ("allowed_s", "due_ms", "remaining_s")

    def __init__(
        self,
        record: JobRecord,
        policy: QueuePolicy,
        run_times: RunTimes,
        due_ms: float,
    ) -> None:
        expected: list[float] = []
        for step in record.steps:
            estimate_s = step.estimate_ms / 1000
            expected.append(run_times.expect_s(policy.name, estimate_s))
        chain_s = longest_chain_s(record.steps, expected)
        self.due_ms = due_ms
        # Time from being due until the occurrence is late.
        self.allowed_s = policy.stretch * chain_s + policy.objective_s
        # Time from the start of a step's tasks to the end of the job.
        self.remaining_s = _remaining_s(record, expected)

    @property
    def objective_ms(self) -> float:
        """The Unix time in milliseconds at which it becomes late."""
        return self.due_ms + self.allowed_s * 1000

    def feasibility(self, step: int, unix_ms: int) -> Feasibility:
        """Return what it can earn if a step's tasks start now."""
        ends_ms = unix_ms + self.remaining_s[step] * 1000
        if ends_ms <= self.objective_ms:
            return Feasibility.IN_TIME
        if ends_ms <= self.due_ms + LATE_SPAN * self.allowed_s * 1000:
            return Feasibility.LATE
        return Feasibility.OVERDUE


def _remaining_s(record: JobRecord, expected: Sequence[float]) -> list[float]:
    """Return for each step the longest chain that begins with it."""
    remaining = list(expected)
    for number in reversed(range(len(record.steps))):
        for earlier in record.steps[number].depends_on:
            chain_s = expected[earlier] + remaining[number]
            remaining[earlier] = max(remaining[earlier], chain_s)
    return remaining
