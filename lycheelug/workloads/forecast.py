"""Forecasts whether an occurrence of a job can meet its deadline; no I/O.

The deadline follows from the critical path through the steps' expected run
times.  For each step, the critical path that starts with it gives the time
that the job needs once the step's tasks start.  Time spent waiting for an
executor between steps isn't part of the forecast.
"""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING, Final

from lycheelug.workloads.model import critical_path_s

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheelug.workloads.model import JobRecord, QueuePolicy
    from lycheelug.workloads.runtimes import RunTimes

__all__ = ["DeadlineForecast", "Feasibility"]

# A late job is still of some value until this multiple of its allowed time.
LATE_LIMIT_FACTOR: Final = 3.0


class Feasibility(IntEnum):
    """Whether an occurrence can meet its deadline, best case first."""

    IN_TIME = 0
    LATE = 1
    # Too late to be of any value, but still carried out.
    OVERDUE = 2


class DeadlineForecast:
    """Deadline and remaining times of one occurrence."""

    __slots__ = (
        "allowed_s",
        "due_ms",
        "expected_s",
        "policy",
        "remaining_s",
        "work",
    )

    def __init__(
        self,
        record: JobRecord,
        policy: QueuePolicy,
        run_times: RunTimes,
        due_ms: float,
    ) -> None:
        self.policy = policy
        expected: list[float] = []
        for step in record.steps:
            estimate_s = step.estimate_ms / 1000
            expected.append(run_times.expect_s(policy.name, estimate_s))
        path_s = critical_path_s(record.steps, expected)
        self.due_ms = due_ms
        # Time from the due time to the deadline.
        self.allowed_s = policy.stretch * path_s + policy.objective_s
        # The expected run time of each step's tasks.
        self.expected_s = expected
        # The expected work, in thousandths of a core times milliseconds.
        self.work = 0.0
        for step, expected_s in zip(record.steps, expected, strict=True):
            cpu_millis = step.count * step.resources.cpu_millis
            self.work += cpu_millis * expected_s * 1000
        # By step: expected time from the start of its tasks to the end of
        # the job.
        self.remaining_s = _remaining_s(record, expected)

    @property
    def objective_ms(self) -> float:
        """The deadline, as Unix time in milliseconds."""
        return self.due_ms + self.allowed_s * 1000

    @property
    def late_limit_ms(self) -> float:
        """Until when a late job is of value, in the same unit."""
        return self.due_ms + LATE_LIMIT_FACTOR * self.allowed_s * 1000

    def feasibility(self, step: int, unix_ms: int) -> Feasibility:
        """Return the expected outcome if a step's tasks start now."""
        ends_ms = unix_ms + self.remaining_s[step] * 1000
        if ends_ms <= self.objective_ms:
            return Feasibility.IN_TIME
        if ends_ms <= self.late_limit_ms:
            return Feasibility.LATE
        return Feasibility.OVERDUE


def _remaining_s(record: JobRecord, expected: Sequence[float]) -> list[float]:
    """Return the length of the critical path from each step on."""
    remaining = list(expected)
    for number in reversed(range(len(record.steps))):
        for earlier in record.steps[number].depends_on:
            path_s = expected[earlier] + remaining[number]
            remaining[earlier] = max(remaining[earlier], path_s)
    return remaining
