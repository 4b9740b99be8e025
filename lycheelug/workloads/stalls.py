"""Finds runs that stand still or can't be seen any more; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.workloads.executors import RunPhase

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorView, Run
    from lycheelug.workloads.runtimes import RunTimes

__all__ = ["STALLED", "runs_to_duplicate", "stalled_runs"]

# Why such a run is stopped, as logs tell it.
STALLED: Final = "it stands still"
# A run shows progress in hundredths.  One that shows none for this long,
# and for this share of its expected time, stands still.
STALL_S: Final = 1.7
STALL_SHARE: Final = 0.5
# A lasting task has finished its startup after this long.
STARTUP_S: Final = 4.0
READY_PERCENT: Final = 100


def runs_to_duplicate(view: ExecutorView) -> list[Run]:
    """Return runs on a silent executor whose tasks may have a second run."""
    if view.last_report_at is not None:
        return []
    found: list[Run] = []
    for run in view.runs.values():
        if run.task is not None and run.task.step.may_duplicate:
            found.append(run)
    return found


def stalled_runs(view: ExecutorView, run_times: RunTimes) -> list[Run]:
    """Return the runs of an executor that stand still.

    Members of a gang wait for each other, so nothing is said of them, nor
    of tasks that fill, which are slowed on purpose.
    """
    last_report_at = view.last_report_at
    if last_report_at is None:
        return []
    found: list[Run] = []
    for run in view.runs.values():
        task = run.task
        if task is None or run.phase is not RunPhase.RUNNING:
            continue
        step = task.step
        if step.is_gang or step.fills:
            continue
        stalled_s = last_report_at - run.progressed_at
        if step.lasts:
            if run.percent < READY_PERCENT and stalled_s > STARTUP_S:
                found.append(run)
            continue
        if stalled_s <= STALL_S:
            continue
        if run.percent >= READY_PERCENT or not step.estimate_ms:
            # It is about to end, or nothing tells how fast it should go.
            continue
        expected_s = run_times.expect_s(
            task.job.policy.name, step.estimate_ms / 1000
        )
        if stalled_s > STALL_SHARE * expected_s:
            found.append(run)
    return found
