"""Starts that a later incarnation of a removed executor may carry out.

An executor that is said to be down may be back under its id a moment later,
and carry out a start that it hasn't answered before.  The task of that start
waits until the executor has rejected it, or until it is too late for that.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.workloads.executors import LATE_CALL_S

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorView
    from lycheelug.workloads.model import TaskName

__all__ = ["LateStarts"]


class LateStarts:
    """The tasks that wait, and the executors that they wait for."""

    __slots__ = ("_held",)

    def __init__(self) -> None:
        # By task: the local time until which it waits for each executor.
        self._held: dict[TaskName, dict[str, float]] = {}

    def hold(self, view: ExecutorView, now: float) -> None:
        """Let the tasks wait whose starts on an executor are in doubt."""
        for task, executors in list(self._held.items()):
            if now >= max(executors.values()):
                del self._held[task]
        for run in view.runs.values():
            if run.task is None or run.is_located:
                continue
            executors = self._held.setdefault(run.task_name, {})
            executors[view.executor_id] = now + LATE_CALL_S

    def release(self, executor_id: str) -> None:
        """Let them start: the executor rejects the earlier starts."""
        for task, executors in list(self._held.items()):
            executors.pop(executor_id, None)
            if not executors:
                del self._held[task]

    def is_held(self, task: TaskName, now: float) -> bool:
        """Return whether a task must wait."""
        executors = self._held.get(task)
        return executors is not None and now < max(executors.values())
