"""Throttles backfill tasks that slow down serving tasks; no I/O.

The pace is the share of its normal speed at which a backfill task may run,
in percent.  It is controlled per executor by the highest ratio of a serving
task's tail response time to its target: near the target the pace is halved,
well below it the pace is raised in steps.  As interference changes within
seconds, the pace is recomputed with every task report.  The reserved
resources stay unchanged.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.workloads.executors import RunPhase

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorView, Run

__all__ = ["FULL_PACE", "next_pace", "plan_pace"]

FULL_PACE: Final = 100
# Ratios of tail response time to target: at the first or above, backfill
# tasks are slowed down; below the second, they are sped up.
SLOW_DOWN_RATIO: Final = 0.85
SPEED_UP_RATIO: Final = 0.6
PACE_STEP: Final = 10
# A pace below this percentage is set to 0, which suspends the task.
PACE_MIN: Final = 8


def next_pace(pace: int, worst_ratio: float) -> int:
    """Return the next pace for the worst ratio of tail to target.

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
    """Update the target pace of an executor's backfill runs.

    Returns the runs to which the new pace has yet to be sent.
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
