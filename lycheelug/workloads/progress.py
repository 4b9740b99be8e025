"""How far a job has come: the row that only the pool's owner writes.

The record holds what must survive the owner: finished tasks, failed runs,
checkpoints and the job's final state.  Where a task runs is not stored:
executors list that themselves.
"""

from __future__ import annotations

import msgspec

from lycheelug.workloads.model import JobState

__all__ = ["ProgressRecord", "step_key", "task_key"]


class ProgressRecord(msgspec.Struct, omit_defaults=True):
    """The durable progress of one job."""

    # The term of the owner that first meant to start a task of the job.
    begun_term: int = 0
    state: str = JobState.QUEUED
    # Finished tasks' indexes by `occurrence.step`.
    done: dict[str, list[int]] = {}
    # Failed runs by `occurrence.step.index`.
    failures: dict[str, int] = {}
    # The highest run that was counted as failed, by the same: an end that was
    # stored and not yet acknowledged is listed to the next owner once more.
    failed_runs: dict[str, int] = {}
    # The newest checkpoint by `occurrence.step.index`.
    checkpoints: dict[str, str] = {}
    # Occurrences whose tasks are all done; they are left out of `done`.
    finished: list[int] = []
    # Unix time in milliseconds at which the state became final.
    final_ms: int = 0


def step_key(occurrence: int, step: int) -> str:
    """Return the key of a step in a progress record."""
    return f"{occurrence}.{step}"


def task_key(occurrence: int, step: int, index: int) -> str:
    """Return the key of a task in a progress record."""
    return f"{occurrence}.{step}.{index}"
