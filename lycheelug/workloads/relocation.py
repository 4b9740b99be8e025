"""Moves long-running tasks off executors that are being drained.

A step limits how many of its tasks may be unavailable at once, for whatever
reason.  Tasks are therefore stopped a few at a time, and the next ones only
once those before are running elsewhere; even if the step allows none to be
unavailable, one task at a time is stopped.  Only the stops are decided here;
the stopped tasks are placed again like any others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.workloads.executors import RunPhase
from lycheelug.workloads.tasks import TaskState

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lycheelug.workloads.executors import ExecutorView
    from lycheelug.workloads.jobs import Task

__all__ = ["mark_relocations"]

# Progress at which a long-running task has finished its startup.
READY_PERCENT: Final = 100
# Executors are polled every 0.8 s; if a report is older than this, the
# executor may have crashed since.
REPORT_MAX_AGE_S: Final = 1.2


def mark_relocations(
    view: ExecutorView, executors: Mapping[str, ExecutorView], now: float
) -> None:
    """Mark the long-running runs of an executor that may be stopped now."""
    for run in view.runs.values():
        task = run.task
        if task is None or not task.step.lasts:
            continue
        if run.phase is not RunPhase.RUNNING or task.job.is_final:
            continue
        if task.state is TaskState.DONE:
            continue
        if _count_unavailable(task, executors, now) >= max(
            1, task.step.may_miss
        ):
            continue
        run.phase = RunPhase.STOPPING
        run.stop_reason = "host is being drained"


def _count_unavailable(
    task: Task, executors: Mapping[str, ExecutorView], now: float
) -> int:
    """Return how many other tasks of the step may be unavailable."""
    unavailable = 0
    for other in task.job.step_tasks(task):
        if other is task:
            continue
        view = executors.get(other.executor_id)
        run = view.runs.get((other.name, other.run)) if view else None
        is_ready = (
            view is not None
            and run is not None
            and _has_recent_report(view, now)
            and run.phase is RunPhase.RUNNING
            and run.percent >= READY_PERCENT
        )
        unavailable += not is_ready
    return unavailable


def _has_recent_report(view: ExecutorView, now: float) -> bool:
    """Return whether an executor's last report is recent enough."""
    return (
        view.last_report_at is not None
        and now - view.last_report_at <= REPORT_MAX_AGE_S
    )
