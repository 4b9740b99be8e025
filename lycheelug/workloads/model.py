"""Jobs of steps of tasks, as they are stored and scheduled.

A job has steps, a step has `count` tasks that ask for the same room.  A
job with a schedule runs all of its steps once for each occurrence.  The
structs here are what the store keeps, so their fields are only ever added
to, each with a default.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

__all__ = [
    "JobRecord",
    "JobState",
    "Occurrences",
    "QueuePolicy",
    "Resources",
    "StepSpec",
    "TaskName",
    "is_lasting",
    "longest_chain_s",
]


class Resources(NamedTuple):
    """Room on a host: thousandths of a core, megabytes, accelerators."""

    cpu_millis: int
    memory_mb: int
    gpus: int


class StepSpec(msgspec.Struct, omit_defaults=True):
    """One step: tasks that ask for the same room and may run at once."""

    count: int
    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0
    # The submitter's guess of one task's run time, often far off.
    estimate_ms: int = 0
    # Earlier steps, by number, whose tasks must all be done first.
    depends_on: list[int] = []
    saves_checkpoints: bool = False
    # All tasks run at the same time, or none makes progress.
    is_gang: bool = False
    # A gang that is slower when it spans racks.
    wants_one_rack: bool = False
    # A label that the executor must carry; empty for any.
    required_label: str = ""
    # The rack that holds the data; empty for none.
    data_rack: str = ""
    # Most tasks of the step on one executor; 0 for no bound.
    max_per_executor: int = 0
    # A second run of a task may race the first.
    may_duplicate: bool = False
    # Runs until the job is cancelled and is restarted however it ends.
    lasts: bool = False
    # Tasks of one image behave alike.
    image: str = ""
    # Tail response time that a lasting task should keep; 0 for none.
    target_ms: int = 0
    # Takes only processor time that others leave unused.
    fills: bool = False
    # Tasks of a lasting step that planned stops may take away at once.
    may_miss: int = 0

    @property
    def resources(self) -> Resources:
        """What one task takes of an executor's capacity."""
        cpu_millis = 0 if self.fills else self.cpu_millis
        return Resources(cpu_millis, self.memory_mb, self.gpus)


class Occurrences(msgspec.Struct, omit_defaults=True):
    """A schedule: occurrence K is due at `first_ms` + K x `interval_ms`."""

    count: int
    # Unix time in milliseconds.
    first_ms: int = 0
    interval_ms: int = 0


class JobRecord(msgspec.Struct, omit_defaults=True):
    """A submission as it was accepted; it never changes."""

    queue: str
    payload: str
    steps: list[StepSpec]
    # Unix time in milliseconds at the daemon that accepted it.
    accepted_ms: int = 0
    schedule: Occurrences | None = None

    @property
    def occurrences(self) -> int:
        """How often the steps run."""
        return self.schedule.count if self.schedule is not None else 1


class QueuePolicy:
    """What the configuration says of a queue."""

    __slots__ = (
        "max_attempts",
        "name",
        "needs_placement_hint",
        "objective_s",
        "pool",
        "priority",
        "stretch",
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
    ) -> None:
        self.name = name
        self.pool = pool
        # 0 goes first.
        self.priority = priority
        # Failed runs of one task after which the job has failed.
        self.max_attempts = max_attempts
        # The objective is `stretch` times the longest chain, and
        # `objective_s` more.
        self.stretch = stretch
        self.objective_s = objective_s
        # Only the advice service knows which executors may run it.
        self.needs_placement_hint = needs_placement_hint


class JobState:
    """The states that a submitter is told."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    FINAL = frozenset({COMPLETED, FAILED, CANCELLED})


class TaskName(NamedTuple):
    """One task: its job, occurrence, step, and number in the step.

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
        """Return a name from its text, or None where it is none."""
        parts = text.rsplit(".", 3)
        if len(parts) != 4:
            return None
        try:
            numbers = [int(part) for part in parts[1:]]
        except ValueError:
            return None
        return cls(parts[0], *numbers)

    def render(self) -> str:
        """Return the name as text."""
        return f"{self.job}.{self.occurrence}.{self.step}.{self.number}"


def is_lasting(steps: list[StepSpec]) -> bool:
    """Whether a job goes on until it is cancelled."""
    return any(step.lasts for step in steps)


def longest_chain_s(steps: list[StepSpec], run_times_s: list[float]) -> float:
    """Return the longest sum of run times along the dependencies.

    >>> first, second = StepSpec(count=1), StepSpec(count=1, depends_on=[0])
    >>> longest_chain_s([first, second], [1.0, 2.0])
    3.0
    """
    ends: list[float] = []
    for number, step in enumerate(steps):
        begins = 0.0
        for earlier in step.depends_on:
            begins = max(begins, ends[earlier])
        ends.append(begins + run_times_s[number])
    return max(ends, default=0.0)
