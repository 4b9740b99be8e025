"""The state of one task of a job."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING

from lycheelug.workloads.crash_records import makes_suspect
from lycheelug.workloads.progress import task_key

if TYPE_CHECKING:
    from lycheelug.workloads.crash_records import CrashRecord
    from lycheelug.workloads.jobs import Job
    from lycheelug.workloads.model import StepSpec, TaskName
    from lycheelug.workloads.progress import ProgressRecord

__all__ = ["Task", "TaskState"]

# Size of a term's range of run numbers.  Ranges of later terms are higher,
# so a new owner's first run has a higher number than any run it can't see.
RUNS_PER_TERM = 1000


class TaskState(Enum):
    """Scheduling state of a task."""

    # Waits for earlier steps.
    BLOCKED = auto()
    # Waits for an executor.
    READY = auto()
    # Has a run, or may have one whose start was not answered.
    PLACED = auto()
    DONE = auto()
    # Has used up all attempts that its queue allows.
    EXHAUSTED = auto()


class Task:
    """One task of an occurrence."""

    __slots__ = (
        "avoided_executor",
        "checkpoint",
        "executor_id",
        "failures",
        "job",
        "last_run",
        "name",
        "not_before",
        "ready_at",
        "run",
        "state",
        "step",
    )

    def __init__(self, job: Job, name: TaskName, step: StepSpec) -> None:
        self.job = job
        self.name = name
        self.step = step
        self.state = TaskState.BLOCKED
        self.executor_id = ""
        self.run = 0
        self.last_run = 0
        self.failures = 0
        self.checkpoint = ""
        # Executor of the last failed or stalled run; a retry prefers others.
        self.avoided_executor = ""
        # Local time before which the task must not be started.
        self.not_before = 0.0
        # Local time at which the task last became ready.
        self.ready_at = 0.0

    @property
    def key(self) -> str:
        """Its key in the job's progress record."""
        return task_key(*self.name[1:])

    @property
    def crash_records(self) -> list[CrashRecord]:
        """The records of executors that were lost under it."""
        return self.job.progress.crashes.get(self.key, [])

    @property
    def needs_isolation(self) -> bool:
        """Whether it may start only on an executor reserved for its job.

        A long-running job keeps running its tasks that aren't suspects; of
        any other job, all waiting tasks are isolated together.
        """
        if not self.job.progress.crashes:
            return False
        if self.step.lasts:
            return makes_suspect(self.crash_records)
        return self.job.is_suspect

    def restore(self, progress: ProgressRecord) -> None:
        """Take over what is recorded of an unfinished task."""
        if not progress.failures and not progress.checkpoints:
            return
        self.failures = progress.failures.get(self.key, 0)
        self.checkpoint = progress.checkpoints.get(self.key, "")

    def next_run_number(self, term: int) -> int:
        """Return the next run number, higher than all earlier ones."""
        return max(self.last_run + 1, term * RUNS_PER_TERM + 1)
