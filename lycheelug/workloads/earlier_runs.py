"""Decides when a new owner knows all runs of earlier owners; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorView
    from lycheelug.workloads.pool import PoolSchedule

__all__ = ["are_earlier_runs_known"]


def are_earlier_runs_known(
    schedule: PoolSchedule, now: float, earlier_leases_end_at: float
) -> bool:
    """Return whether each run of an earlier owner was reported or has ended.

    `earlier_leases_end_at` is the local time until which the last owner may
    still act, and its runs may go on.
    """
    for view in schedule.executors.values():
        if view.may_hide_ends(now):
            return False
        if view.has_accepted_term:
            if now < earlier_leases_end_at and _may_have_restarted(view):
                return False
            continue
        if schedule.are_used_executors_known and not view.is_located:
            continue
        if now < view.leases_end_at:
            return False
    return True


def _may_have_restarted(view: ExecutorView) -> bool:
    """Return whether the last owner may use an incarnation not heard yet.

    It has not seen this owner's token.  A host is empty before it is moved.
    """
    if view.has_restarted:
        return True
    is_silent = view.last_report_at is None and view.has_entry
    return is_silent and not (view.info.draining or view.drain_order)
