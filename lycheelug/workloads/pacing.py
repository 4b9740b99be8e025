"""Slows tasks that fill where they harm tasks that serve; no I/O.

On one executor, the worst tail of the serving tasks against its target
decides: close to the target the filling tasks are halved at once, well
below it they regain their share in steps.  The harm changes within
seconds, so every list is a new occasion.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.workloads.executors import RunPhase

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorView, Run

__all__ = ["FULL_PACE", "next_pace", "plan_pace"]

FULL_PACE: Final = 100
# Shares of the target at which filling tasks slow down, and speed up.
SLOW_DOWN_RATIO: Final = 0.85
SPEED_UP_RATIO: Final = 0.6
PACE_STEP: Final = 10
# Below this share a filling task is stopped altogether.
PACE_MIN: Final = 8


def next_pace(pace: int, worst_ratio: float) -> int:
    """Return the pace after the worst tail was seen at a share of target.

    >>> next_pace(100, 1.4), next_pace(50, 0.7), next_pace(50, 0.2)
    (50, 50, 60)
    >>> next_pace(12, 0.9)
    0
    """
    if worst_ratio >= SLOW_DOWN_RATIO:
        halved = pace // 2
        return halved if halved >= PACE_MIN else 0
    if worst_ratio < SPEED_UP_RATIO:
        return min(FULL_PACE, pace + PACE_STEP)
    return pace


def plan_pace(view: ExecutorView) -> list[Run]:
    """Set the pace wanted of an executor's filling runs.

    Returns the runs whose pace is to be ordered.
    """
    backfill_runs: list[Run] = []
    worst_ratio = 0.0
    for run in view.runs.values():
        if run.task is None or run.phase is not RunPhase.RUNNING:
            continue
        step = run.task.step
        if step.fills:
            backfill_runs.append(run)
        elif step.lasts and step.target_ms:
            worst_ratio = max(worst_ratio, run.load / step.target_ms)
    if not backfill_runs:
        return []
    if view.pace_report_at != view.last_report_at:
        view.pace_report_at = view.last_report_at
        view.pace = next_pace(view.pace, worst_ratio)
    return [run for run in backfill_runs if run.pace != view.pace]
