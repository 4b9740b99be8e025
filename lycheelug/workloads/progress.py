"""The stored progress record of a job, written only by the pool's owner.

The record holds the state that must survive a change of owner: finished
tasks, failed runs, checkpoints and the job's final state.  Where a task is
running isn't stored: a new owner learns that from the executors' task
reports.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.decoding import Integer  # noqa: TC001
from lycheelug.workloads.crash_records import CrashRecord  # noqa: TC001
from lycheelug.workloads.model import JobState, PolicyRecord

if TYPE_CHECKING:
    from lycheelug.workloads.model import StepSpec

__all__ = [
    "COUNTED_RUNS_MAX",
    "FINISHED_MAX",
    "ProgressRecord",
    "step_key",
    "step_number",
    "task_key",
]

# The finished occurrences that are listed one by one.  No occurrence is
# opened while so many are finished above one that isn't.
FINISHED_MAX: Final = 200
# The newest failed runs of one task that are listed.
COUNTED_RUNS_MAX: Final = 8


class ProgressRecord(msgspec.Struct, omit_defaults=True):
    """The durable progress of one job."""

    # Term of the owner that stored this mark before it first started a task
    # of the job; 0 if no task can have been started yet.
    begun_term: Integer = 0
    state: str = JobState.QUEUED
    # Indexes of the finished tasks, keyed by `occurrence.step`.
    done: dict[str, list[Integer]] = {}
    # Number of failed runs, keyed by `occurrence.step.index`.
    failures: dict[str, Integer] = {}
    # The runs counted as failed, with the same keys.  If the owner changes
    # after an end was stored and before it was acknowledged, the executor
    # reports that end again to the next owner.  Executors report in any
    # order, so a lower run may be reported after a higher one.  Of each task
    # only the newest are listed, and none once the task is done.
    counted_runs: dict[str, list[Integer]] = {}
    # Newest checkpoint, keyed by `occurrence.step.index`.
    checkpoints: dict[str, str] = {}
    # Occurrences whose tasks are all done; they have no entries in `done`.
    finished: list[Integer] = []
    # All occurrences below this one are finished too.
    finished_below: Integer = 0
    # Unix time in milliseconds at which the state became final.
    final_ms: Integer = 0
    # Why the job was set aside: it can't be scheduled, or crashes executors.
    reason: str = ""
    # Executors that were lost under unfinished tasks, keyed like `failures`.
    crashes: dict[str, list[CrashRecord]] = {}
    # Executors reserved for the job, with their start times as above.
    reserved: dict[str, Integer] = {}
    # The further rows that have the fields that don't fit into the first one
    # (see `progress_codec`); 0 once the record was read as a whole.
    parts: Integer = 0
    # The queue's policy that was last in force, if it differs from that of
    # the submission.
    policy: PolicyRecord | None = None
    # The tenant that submitted the job; empty for none.
    tenant: str = ""

    @property
    def lost_executors(self) -> list[str]:
        """The executors that were lost under unfinished tasks, sorted."""
        found: set[str] = set()
        for records in self.crashes.values():
            for record in records:
                found.add(record.executor)
        return sorted(found)

    @property
    def finished_count(self) -> int:
        """The number of occurrences whose tasks are all done."""
        return self.finished_below + len(self.finished)

    def has_finished(self, occurrence: int) -> bool:
        """Return whether all tasks of an occurrence are done."""
        return occurrence < self.finished_below or occurrence in self.finished

    def record_done(self, occurrence: int, step: int, index: int) -> None:
        """Record that a task is done; drop what matters only until then."""
        done = self.done.setdefault(step_key(occurrence, step), [])
        done.append(index)
        key = task_key(occurrence, step, index)
        self.checkpoints.pop(key, None)
        self.counted_runs.pop(key, None)
        self.crashes.pop(key, None)

    def count_failed_run(self, key: str, run: int) -> bool:
        """Record a failed run of a task; return False if it is counted.

        A run that is lower than many counted ones was given up long before,
        as a task has one run at a time; its end doesn't count any more.

        >>> progress = ProgressRecord()
        >>> [progress.count_failed_run("0.0.0", run) for run in (2, 1, 2)]
        [True, True, False]
        """
        counted = self.counted_runs.setdefault(key, [])
        if run in counted:
            return False
        if len(counted) >= COUNTED_RUNS_MAX and run < min(counted):
            return False
        counted.append(run)
        while len(counted) > COUNTED_RUNS_MAX:
            counted.remove(min(counted))
        return True

    def forget_failures(self, occurrence: int, steps: list[StepSpec]) -> None:
        """Drop the failed runs of an occurrence whose tasks are all done."""
        if not self.failures:
            return
        for position, step in enumerate(steps):
            for index in range(step.count):
                self.failures.pop(task_key(occurrence, position, index), None)

    def record_finished(self, occurrence: int) -> None:
        """Record that an occurrence is finished, in bounded space.

        >>> progress = ProgressRecord(finished=list(range(1, FINISHED_MAX)))
        >>> progress.record_finished(0)
        >>> progress.finished_below, progress.finished
        (200, [])
        """
        self.finished.append(occurrence)
        if len(self.finished) < FINISHED_MAX:
            return
        finished = set(self.finished)
        while self.finished_below in finished:
            finished.remove(self.finished_below)
            self.finished_below += 1
        self.finished = sorted(finished)


def step_key(occurrence: int, step: int) -> str:
    """Return the key of a step in a progress record."""
    return f"{occurrence}.{step}"


def task_key(occurrence: int, step: int, index: int) -> str:
    """Return the key of a task in a progress record."""
    return f"{occurrence}.{step}.{index}"


def step_number(key: str) -> int:
    """Return the step of a task by its key in a progress record.

    >>> step_number(task_key(4, 2, 17))
    2
    """
    return int(key.split(".")[1])
