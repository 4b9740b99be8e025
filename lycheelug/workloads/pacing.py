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
SLOW_AT: Final = 0.85
SPEED_UP_BELOW: Final = 0.6
STEP_UP: Final = 10
# Below this share a filling task is stopped altogether.
PACE_MIN: Final = 8


def next_pace(pace: int, worst: float) -> int:
    """Return the pace after the worst tail was seen at a share of target.

    >>> next_pace(100, 1.4), next_pace(50, 0.7), next_pace(50, 0.2)
    (50, 50, 60)
    >>> next_pace(12, 0.9)
    0
    """
    if worst >= SLOW_AT:
        halved = pace // 2
        return halved if halved >= PACE_MIN else 0
    if worst < SPEED_UP_BELOW:
        return min(FULL_PACE, pace + STEP_UP)
    return pace


def plan_pace(view: ExecutorView) -> list[Run]:
    """Set the pace wanted of an executor's filling runs.

    Returns the runs whose pace is to be ordered.
    """
    filling: list[Run] = []
    worst = 0.0
    for run in view.runs.values():
        if run.task is None or run.phase is not RunPhase.RUNNING:
            continue
        step = run.task.step
        if step.fills:
            filling.append(run)
        elif step.lasts and step.target_ms:
            worst = max(worst, run.load / step.target_ms)
    if not filling:
        return []
    if view.paced_at != view.last_report_at:
        view.paced_at = view.last_report_at
        view.pace = next_pace(view.pace, worst)
    return [run for run in filling if run.pace != view.pace]
