"""Gives up runs on executors that are lost; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.workloads.losses import LossCause

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorView
    from lycheelug.workloads.pool import PoolSchedule
    from lycheelug.workloads.runs import Run

__all__ = ["clear_runs", "free_expired_runs"]


def clear_runs(
    schedule: PoolSchedule,
    view: ExecutorView,
    runs: list[Run],
    now: float,
    cause: LossCause,
) -> None:
    """Drop runs of an executor and requeue their tasks."""
    schedule.crashes.record_loss(schedule, view, runs, cause, now)
    for run in runs:
        view.drop_run(run.key)
        schedule.free_task(run, view, now)


def free_expired_runs(
    schedule: PoolSchedule,
    view: ExecutorView,
    now: float,
    verified_at: float,
) -> None:
    """Drop the runs of an executor whose leases have ended.

    Ownership must be verified after that, as a newer owner may extend them.
    """
    known_at = min(now, verified_at)
    if known_at < view.leases_end_at:
        return
    expired: list[Run] = []
    for run in view.runs.values():
        if run.is_located or known_at >= view.late_leases_end_at:
            expired.append(run)
    clear_runs(schedule, view, expired, now, LossCause.LEASE_ENDED)
    if not view.has_entry and not view.runs:
        schedule.executors.pop(view.executor_id, None)
