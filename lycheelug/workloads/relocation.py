"""Takes lasting tasks off executors that are to be emptied or that drain.

Of each step only as many tasks may be away as it allows, whatever the
reason why the others are not at work; so they move one after the other,
each once the one before is at work elsewhere.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.workloads.executors import RunPhase

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lycheelug.workloads.executors import ExecutorView
    from lycheelug.workloads.jobs import Task

__all__ = ["mark_relocations"]

# A lasting task that shows this much has finished its startup.
READY_PERCENT: Final = 100
# An executor is looked at each 0.8 s; an older list may hide a crash.
REPORT_MAX_AGE_S: Final = 1.2


def mark_relocations(
    view: ExecutorView, executors: Mapping[str, ExecutorView], now: float
) -> None:
    """Mark an executor's lasting runs to be stopped that may leave now."""
    for run in view.runs.values():
        task = run.task
        if task is None or not task.step.lasts:
            continue
        if run.phase is not RunPhase.RUNNING or task.job.is_final:
            continue
        if _count_unavailable(task, executors, now) >= max(
            1, task.step.may_miss
        ):
            continue
        run.phase = RunPhase.STOPPING
        run.stop_reason = "its host is to be emptied"


def _count_unavailable(
    task: Task, executors: Mapping[str, ExecutorView], now: float
) -> int:
    """Return how many other tasks of a step may not be at work."""
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
    """Whether an executor's last list tells what works there now."""
    return (
        view.last_report_at is not None
        and now - view.last_report_at <= REPORT_MAX_AGE_S
    )
