"""Detects stalled runs, and unobservable runs to be duplicated; no I/O.

A run is stalled if its reported progress hasn't changed for too long.  What
follows from a stall (stopping the run, quarantining its executor) is
decided in `pool`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.workloads.executors import RunPhase

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorView, Run
    from lycheelug.workloads.runtimes import RunTimes

__all__ = ["STALLED", "runs_to_duplicate", "stalled_runs"]

# Stop reason of a stalled run, for the logs.
STALLED: Final = "run is stalled"
# Runs report progress in percent.  A run is stalled if it has reported none
# for this long and for this share of its expected run time.
STALL_S: Final = 1.7
STALL_SHARE: Final = 0.5
# A long-running task is stalled if its startup makes no progress for longer
# than this.
STARTUP_S: Final = 4.0
# Progress at which a run is about to end, or a long-running task has finished
# its startup.
READY_PERCENT: Final = 100


def runs_to_duplicate(view: ExecutorView) -> list[Run]:
    """Return runs to duplicate, as their executor is unresponsive."""
    if view.last_report_at is not None:
        return []
    found: list[Run] = []
    for run in view.runs.values():
        if run.task is not None and run.task.step.may_duplicate:
            found.append(run)
    return found


def stalled_runs(view: ExecutorView, run_times: RunTimes) -> list[Run]:
    """Return the stalled runs of an executor.

    Members of a gang are left out, as they wait for each other, and so are
    backfill tasks, as they are throttled on purpose.  While the reports leave
    ends out, a run without progress may have ended.
    """
    last_report_at = view.last_report_at
    if last_report_at is None or not view.lists_all_ends:
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
            # It is about to end, or its expected run time is unknown.
            continue
        expected_s = run_times.expect_s(
            task.job.policy.name, step.estimate_ms / 1000
        )
        if stalled_s > STALL_SHARE * expected_s:
            found.append(run)
    return found
