"""Applies the first report of an executor's incarnation; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.workloads.losses import LossCause

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorView, TaskReport
    from lycheelug.workloads.model import TaskName
    from lycheelug.workloads.pool import PoolSchedule
    from lycheelug.workloads.runs import Run

__all__ = ["record_acceptance", "record_restart"]


def record_acceptance(
    schedule: PoolSchedule, view: ExecutorView, now: float
) -> None:
    """Record that an executor rejects all earlier owners from now on.

    None of them can extend a lease any more.  The last one has extended those
    of the incarnation that it has recorded on its own clock, but may have
    taken another one for that.
    """
    view.has_accepted_term = True
    view.leases_end_at = now
    view.late_leases_end_at = now
    if view.recorded_born_ms == view.born_ms:
        view.record_lease(now, schedule.lease_s)
    else:
        view.expect_long_leases(now)


def record_restart(
    schedule: PoolSchedule,
    view: ExecutorView,
    report: TaskReport,
    reported: set[tuple[TaskName, int]],
    now: float,
) -> None:
    """Discard the runs and ends of an executor's previous incarnation.

    Runs that may have been started on the new one are kept: its report tells
    what became of them.  If it lists all ends, a run whose start was answered
    and that it lacks was on the former one.
    """
    reported = reported | {(each.task, each.run) for each in report.ended}
    lost: list[Run] = []
    for run in view.runs.values():
        if run.key in reported:
            continue
        was_started = run.confirmed_at is not None and report.lists_all_ends
        if run.is_located or was_started:
            lost.append(run)
    schedule.crashes.record_loss(
        schedule, view, lost, LossCause.RESTARTED, now
    )
    schedule.placement_hints.forget_executor(view.executor_id)
    view.begin_incarnation(report.born_ms)
    for run in lost:
        view.drop_run(run.key)
        schedule.free_task(run, view, now)
