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
    """The tasks that wait, by executor."""

    __slots__ = ("_held",)

    def __init__(self) -> None:
        # The local times until which they wait.
        self._held: dict[str, dict[TaskName, float]] = {}

    def hold(self, view: ExecutorView, now: float) -> None:
        """Let the tasks wait whose starts on an executor are in doubt."""
        held: dict[TaskName, float] = {}
        for run in view.runs.values():
            if run.task is not None and not run.is_located:
                held[run.task_name] = now + LATE_CALL_S
        if held:
            self._held[view.executor_id] = held

    def release(self, executor_id: str) -> None:
        """Let them start: the executor rejects the earlier starts."""
        self._held.pop(executor_id, None)

    def is_held(self, task: TaskName, now: float) -> bool:
        """Return whether a task must wait."""
        for executor_id, held in list(self._held.items()):
            if now >= max(held.values()):
                del self._held[executor_id]
            elif now < held.get(task, 0.0):
                return True
        return False
