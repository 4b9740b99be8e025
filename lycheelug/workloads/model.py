"""Data model of jobs, steps and tasks, as stored and as scheduled.

A job consists of steps; a step consists of `count` tasks with identical
resource requests.  A job with a schedule runs all of its steps once per
occurrence.  The structs are the stored format: fields may only be added,
each with a default, so that older records stay readable.  How far a job
has progressed is stored apart, in `progress`.
"""

from __future__ import annotations

import re
from enum import Enum
from functools import cached_property
from typing import Final, NamedTuple

import msgspec

from lycheelug.decoding import Integer  # noqa: TC001
from lycheelug.resources import Resources, add_resources

__all__ = [
    "FailureCause",
    "HintTiming",
    "JobRecord",
    "JobState",
    "Occurrences",
    "PolicyRecord",
    "QueuePolicy",
    "Resources",
    "StepSpec",
    "TaskName",
    "add_resources",
    "critical_path_s",
    "is_long_running",
]

# A job, and numbers as `TaskName.render` writes them.
_NUMBER: Final = r"(0|[1-9][0-9]{0,17})"
_TASK_NAME: Final = re.compile(rf"(.*)\.{_NUMBER}\.{_NUMBER}\.{_NUMBER}")


class StepSpec(msgspec.Struct, omit_defaults=True, dict=True):
    """One step: tasks with equal resource requests that may run at once."""

    count: int
    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0
    # The submitter's estimate of one task's run time; often inaccurate.
    estimate_ms: int = 0
    # Numbers of the earlier steps whose tasks must all be done first.
    depends_on: list[int] = []
    saves_checkpoints: bool = False
    # Tasks make progress only while all of them run at the same time.
    is_gang: bool = False
    # A gang that runs slower when it spans several racks.
    wants_one_rack: bool = False
    # Label that the executor must have; empty if any executor will do.
    required_label: str = ""
    # Preferred rack, which holds the input data; empty for none.
    data_rack: str = ""
    # Maximum number of the step's tasks on one executor; 0 for no limit.
    max_per_executor: int = 0
    # Two runs of the same task may be active at the same time.
    may_duplicate: bool = False
    # Long-running: runs until the job is cancelled, and is restarted
    # whenever it ends, for whatever reason.
    lasts: bool = False
    # Name of the image; tasks of the same image behave similarly.
    image: str = ""
    # Target tail response time of a long-running task; 0 for none.
    target_ms: int = 0
    # Backfill: uses only CPU time that other tasks leave idle.
    fills: bool = False
    # Maximum number of tasks of a long-running step that planned stops may
    # make unavailable at the same time.
    may_miss: int = 0

    @cached_property
    def resources(self) -> Resources:
        """Resources that one task reserves on an executor.

        A backfill task reserves no CPU.  The requests of a step must not be
        changed any more once this was read.
        """
        cpu_millis = 0 if self.fills else self.cpu_millis
        return Resources(cpu_millis, self.memory_mb, self.gpus)

    @cached_property
    def request(self) -> Resources:
        """Resources that one task requests, which count for a tenant's cap."""
        return Resources(self.cpu_millis, self.memory_mb, self.gpus)


class Occurrences(msgspec.Struct, omit_defaults=True):
    """A schedule: occurrence K is due at `first_ms` + K * `interval_ms`."""

    count: int
    # Unix time in milliseconds.
    first_ms: int = 0
    interval_ms: int = 0


class HintTiming(msgspec.Struct, omit_defaults=True, frozen=True):
    """What a call for placement hints costs, and how long tickets last."""

    # A call takes `decision_s`, and `executor_s` for each executor in it.
    decision_s: float = 0.0
    executor_s: float = 0.0
    # How long tickets are valid; 0 if it is not known.
    valid_s: float = 0.0

    def call_s(self, executors: int) -> float:
        """Return how long a call takes that names so many executors.

        >>> HintTiming(decision_s=0.5, executor_s=0.25).call_s(4)
        1.5
        """
        return self.decision_s + self.executor_s * executors


class PolicyRecord(msgspec.Struct, omit_defaults=True):
    """A queue's scheduling policy, as stored with its jobs."""

    # The version of the configuration that has it.
    version: int = 0
    # The rest is described in `QueuePolicy`.
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_s: float = 1.0
    needs_placement_hint: bool = False
    # None if an earlier release has stored the record.
    hint_timing: HintTiming | None = None

    def is_same(self, other: PolicyRecord) -> bool:
        """Whether another version has the same policy.

        >>> PolicyRecord(1, max_attempts=4).is_same(PolicyRecord(2))
        False
        >>> PolicyRecord(1).is_same(PolicyRecord(2))
        True
        """
        return msgspec.structs.replace(self, version=other.version) == other


class JobRecord(msgspec.Struct, omit_defaults=True):
    """An accepted submission; immutable."""

    queue: str
    payload: str
    steps: list[StepSpec]
    # Unix time in milliseconds, by the clock of the accepting daemon.
    accepted_ms: Integer = 0
    schedule: Occurrences | None = None
    # The queue's policy when the job was accepted; None if an earlier release
    # has stored the record.
    policy: PolicyRecord | None = None
    # The tenant whose key the submission carried; empty for none.
    tenant: str = ""
    # The address at which it was accepted, which its callers know; empty if an
    # earlier release has stored the record.
    address: str = ""

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return self.schedule.count if self.schedule is not None else 1

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due, as Unix time in milliseconds."""
        schedule = self.schedule
        if schedule is None:
            return self.accepted_ms
        return schedule.first_ms + occurrence * schedule.interval_ms


class QueuePolicy:
    """Configured scheduling policy of a queue."""

    __slots__ = (
        "held_until",
        "hint_timing",
        "is_known",
        "max_attempts",
        "name",
        "needs_placement_hint",
        "objective_s",
        "pool",
        "priority",
        "stretch",
        "version",
    )

    def __init__(
        self,
        name: str,
        pool: str,
        priority: int = 0,
        max_attempts: int = 1,
        stretch: float = 1.0,
        objective_s: float = 1.0,
        needs_placement_hint: bool = False,
        version: int = 0,
        is_known: bool = True,
        held_until: float = 0.0,
        hint_timing: HintTiming | None = None,
    ) -> None:
        # The version of the configuration that has it.
        self.version = version
        # Otherwise its values are defaults, which decide nothing that can't
        # be undone.
        self.is_known = is_known
        # Local time before which no task is started under an unknown policy.
        self.held_until = held_until
        self.name = name
        self.pool = pool
        # Scheduling priority; 0 is the highest.
        self.priority = priority
        # Number of failed runs of one task at which the whole job fails.
        self.max_attempts = max_attempts
        # A job is on time if it completes within `stretch` times its critical
        # path plus `objective_s`.
        self.stretch = stretch
        self.objective_s = objective_s
        # Tasks need a ticket from the placement hint service, which alone
        # decides which executors may run them.
        self.needs_placement_hint = needs_placement_hint
        self.hint_timing = hint_timing or HintTiming()

    @classmethod
    def of(cls, name: str, pool: str, record: PolicyRecord) -> QueuePolicy:
        """Return the policy that a record has."""
        return cls(
            name,
            pool,
            record.priority,
            record.max_attempts,
            record.stretch,
            record.objective_s,
            record.needs_placement_hint,
            record.version,
            hint_timing=record.hint_timing,
        )

    def record(self) -> PolicyRecord:
        """Return the record of the policy."""
        return PolicyRecord(
            self.version,
            self.priority,
            self.max_attempts,
            self.stretch,
            self.objective_s,
            self.needs_placement_hint,
            self.hint_timing if self.needs_placement_hint else None,
        )

    def is_exhausted(self, failures: int) -> bool:
        """Whether a task that has failed so often has no attempt left."""
        return self.is_known and failures >= self.max_attempts


class JobState:
    """Job states as reported to the submitter."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    FINAL = frozenset({COMPLETED, FAILED, CANCELLED})


class FailureCause(Enum):
    """Why a job was failed by its owner."""

    # A task has failed as often as its queue allows.
    ATTEMPTS = "attempts"
    # Executors crashed under one of its tasks.
    CRASHES = "crashes"
    # It can't be scheduled or stored, or its handling raised an error.
    SET_ASIDE = "set-aside"


class TaskName(NamedTuple):
    """Identifies a task: job, occurrence, step, and number in the step.

    >>> TaskName("5c0e7a21d94b36f8", 0, 1, 17).render()
    '5c0e7a21d94b36f8.0.1.17'
    >>> TaskName.parse("5c0e7a21d94b36f8.0.1.17").number
    17
    >>> TaskName.parse("no task") is None
    True
    """

    job: str
    occurrence: int
    step: int
    number: int

    @classmethod
    def parse(cls, text: str) -> TaskName | None:
        """Parse the text form; return None if it is malformed."""
        found = _TASK_NAME.fullmatch(text)
        if found is None:
            return None
        return cls(found[1], *map(int, found.groups()[1:]))

    def render(self) -> str:
        """Return the text form."""
        return f"{self.job}.{self.occurrence}.{self.step}.{self.number}"


def is_long_running(steps: list[StepSpec]) -> bool:
    """Return whether a job runs until it is cancelled."""
    return any(step.lasts for step in steps)


def critical_path_s(steps: list[StepSpec], run_times_s: list[float]) -> float:
    """Return the length of the critical path through the dependencies.

    >>> first, second = StepSpec(count=1), StepSpec(count=1, depends_on=[0])
    >>> critical_path_s([first, second], [1.0, 2.0])
    3.0
    """
    ends: list[float] = []
    for number, step in enumerate(steps):
        starts = 0.0
        for earlier in step.depends_on:
            starts = max(starts, ends[earlier])
        ends.append(starts + run_times_s[number])
    return max(ends, default=0.0)
