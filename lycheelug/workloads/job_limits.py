"""Limits on what one job may ask for; no I/O.

A job is checked when it is submitted and again when a pool's owner reads it,
because each owner that read a job without limits would fail in turn.
Amounts can't be negative: a negative request would let an executor accept
more tasks than it has capacity for.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from lycheelug.workloads.model import JobRecord, StepSpec

__all__ = ["JobError", "JobLimits", "find_error"]

# Limits per executor and tolerated absences may exceed the number of tasks.
NO_LIMIT: Final = 2**31


class JobLimits(msgspec.Struct, forbid_unknown_fields=True):
    """The highest values that a job's fields may have."""

    # The tasks of one occurrence, in all steps.  Also the number of tasks of
    # one job that are kept in memory while occurrences overlap.
    tasks: int = 5_000
    steps: int = 1_000
    occurrences: int = 1_000_000_000
    # Requests of one task.
    cpu_millis: int = 10_000_000
    memory_mb: int = 1_000_000_000
    gpus: int = 10_000
    # Estimates, targets and intervals between occurrences.
    duration_ms: int = 366 * 24 * 3600 * 1000
    # Unix time of the first occurrence.
    first_ms: int = 2**53
    # The submission as it is stored.
    record_bytes: int = 48_000


class JobError:
    """A field of a job that is outside its limits."""

    __slots__ = ("field", "highest", "lowest", "step", "value")

    def __init__(
        self,
        field: str,
        value: int,
        lowest: int,
        highest: int,
        step: int | None = None,
    ) -> None:
        # The name of the field in `StepSpec`, `Occurrences` or `JobRecord`.
        self.field = field
        self.value = value
        self.lowest = lowest
        self.highest = highest
        # The number of the step that has the field.
        self.step = step

    def render(self, field: str = "") -> str:
        """Return a message that names the field and the remedy.

        `field` is the submitter's name for the field, if it has another.

        >>> JobError("count", 0, 1, 5000, step=2).render()
        'steps[2].count: 0; give 1 to 5000'
        """
        name = field or self.field
        if self.step is not None:
            name = f"steps[{self.step}].{name}"
        return f"{name}: {self.value}; give {self.lowest} to {self.highest}"


def find_error(record: JobRecord, limits: JobLimits) -> JobError | None:
    """Return the first field that is outside its limits, or None."""
    if not 0 < len(record.steps) <= limits.steps:
        return JobError("steps", len(record.steps), 1, limits.steps)
    tasks = 0
    for number, step in enumerate(record.steps):
        error = _find_step_error(step, number, limits)
        if error is not None:
            return error
        tasks += step.count
        if tasks > limits.tasks:
            left = limits.tasks - (tasks - step.count)
            return JobError("count", step.count, 1, left, number)
    schedule = record.schedule
    if schedule is not None:
        for field, value, lowest, highest in (
            ("occurrences", schedule.count, 1, limits.occurrences),
            ("first_ms", schedule.first_ms, 0, limits.first_ms),
            ("interval_ms", schedule.interval_ms, 0, limits.duration_ms),
        ):
            if not lowest <= value <= highest:
                return JobError(field, value, lowest, highest)
    # These fields are not part of what was submitted.
    submitted = msgspec.structs.replace(
        record, policy=None, tenant="", address=""
    )
    size = len(msgspec.json.encode(submitted))
    if size > limits.record_bytes:
        return JobError("size in bytes", size, 1, limits.record_bytes)
    return None


def _find_step_error(
    step: StepSpec, number: int, limits: JobLimits
) -> JobError | None:
    """Return the first field of a step that is outside its limits."""
    for field, value, lowest, highest in (
        ("count", step.count, 1, limits.tasks),
        ("cpu_millis", step.cpu_millis, 0, limits.cpu_millis),
        ("memory_mb", step.memory_mb, 0, limits.memory_mb),
        ("gpus", step.gpus, 0, limits.gpus),
        ("estimate_ms", step.estimate_ms, 0, limits.duration_ms),
        ("max_per_executor", step.max_per_executor, 0, NO_LIMIT),
        ("target_ms", step.target_ms, 0, limits.duration_ms),
        ("may_miss", step.may_miss, 0, NO_LIMIT),
    ):
        if not lowest <= value <= highest:
            return JobError(field, value, lowest, highest, number)
    if len(step.depends_on) > number:
        return JobError("depends_on", len(step.depends_on), 0, number, number)
    for earlier in step.depends_on:
        if not 0 <= earlier < number:
            return JobError("depends_on", earlier, 0, number - 1, number)
    return None
