"""Applies the executors' entries in the store to a pool's schedule."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.logs import log_change

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from lycheelug.workloads import ExecutorInfo, PoolSchedule

__all__ = ["apply_entries"]


def apply_entries(
    schedule: PoolSchedule,
    entries: Iterable[ExecutorInfo],
    drain_orders: Mapping[str, str],
) -> None:
    """Apply all entries of a pool to its schedule."""
    listed: set[str] = set()
    for info in entries:
        if schedule.ended_incarnations.names(info):
            continue
        listed.add(info.executor_id)
        known = schedule.executors.get(info.executor_id)
        had_entry = known is not None and known.has_entry
        view = schedule.observe_executor(info)
        view.drain_order = drain_orders.get(view.info.host, "")
        if had_entry and not view.has_entry:
            log_change(
                "executor-entry-ignored",
                pool=schedule.pool,
                executor=info.executor_id,
                version=info.version,
                address=info.address,
                host=info.host,
                known_address=view.info.address,
                known_host=view.info.host,
                runs=len(view.runs),
            )
    for executor_id in list(schedule.executors):
        if executor_id not in listed:
            schedule.mark_entry_removed(executor_id)
