"""The executors' entries in the store, as a daemon uses them.

Any writer can change an executor's entry.  Its pool, place and labels don't
change while it lives, so an entry that names others is used only once a second
version of it confirms them: the executor itself rewrites its entry all the
time.  Likewise, more capacity is used once a second version names it.
"""

from __future__ import annotations

import copy
from typing import TYPE_CHECKING

from lycheelug.logs import log_change
from lycheelug.workloads import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from lycheelug.workloads import ExecutorInfo, PoolSchedule

__all__ = ["ExecutorEntries", "apply_entries"]


class ExecutorEntries:
    """The entries of all executors, by id."""

    __slots__ = ("_disputed", "_grown", "_listed", "_settled")

    def __init__(self) -> None:
        self._listed: dict[str, ExecutorInfo] = {}
        # The last entries that were listed, of executors that have any.
        self._settled: dict[str, ExecutorInfo] = {}
        # Entries that differ from those and are not confirmed.
        self._disputed: dict[str, ExecutorInfo] = {}
        # Increased capacities that are not confirmed.
        self._grown: dict[str, Resources] = {}

    def of_pool(self, pool: str) -> list[ExecutorInfo]:
        """Return the executors of a pool that have an entry."""
        return [info for info in self._listed.values() if info.pool == pool]

    def update(self, executor_id: str, info: ExecutorInfo | None) -> None:
        """Apply a version of an entry; None means that it was removed."""
        if info is not None and self._is_disputed(info):
            self._unlist(executor_id, "disputed")
            return
        self._disputed.pop(executor_id, None)
        if info is None:
            self._settled.pop(executor_id, None)
            self._grown.pop(executor_id, None)
            self._unlist(executor_id, "removed")
            return
        info = self._limit_growth(info)
        known = self._listed.get(executor_id)
        self._listed[executor_id] = info
        self._settled[executor_id] = info
        if known is None or known.draining != info.draining:
            log_change(
                "executor-listed",
                executor=executor_id,
                pool=info.pool,
                host=info.host,
                draining=info.draining,
                version=info.version,
            )

    def _is_disputed(self, info: ExecutorInfo) -> bool:
        """Return whether an entry differs from the last, unconfirmed."""
        settled = self._settled.get(info.executor_id)
        if settled is None or _identity(settled) == _identity(info):
            return False
        former = self._disputed.get(info.executor_id)
        if former is not None and _identity(former) == _identity(info):
            return False
        self._disputed[info.executor_id] = info
        log_change(
            "executor-entry-disputed",
            executor=info.executor_id,
            version=info.version,
            pool=info.pool,
            address=info.address,
            host=info.host,
            known_pool=settled.pool,
            known_address=settled.address,
            known_host=settled.host,
        )
        return True

    def _limit_growth(self, info: ExecutorInfo) -> ExecutorInfo:
        """Return an entry with the capacity that two versions name."""
        settled = self._settled.get(info.executor_id)
        grown = self._grown.pop(info.executor_id, None)
        if settled is None:
            return info
        allowed = _maximum(settled.capacity, grown or settled.capacity)
        used = _minimum(info.capacity, allowed)
        if used == info.capacity:
            return info
        self._grown[info.executor_id] = info.capacity
        limited = copy.copy(info)
        limited.capacity = used
        return limited

    def _unlist(self, executor_id: str, reason: str) -> None:
        """Use an executor's entry no longer."""
        if self._listed.pop(executor_id, None) is not None:
            log_change(
                "executor-unlisted", executor=executor_id, reason=reason
            )


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


def _identity(info: ExecutorInfo) -> tuple[object, ...]:
    """Return what does not change while an executor lives."""
    return (info.pool, info.address, info.host, info.zone, info.labels)


def _minimum(first: Resources, second: Resources) -> Resources:
    """Return the lower amount of each resource."""
    return Resources(*map(min, first, second))


def _maximum(first: Resources, second: Resources) -> Resources:
    """Return the higher amount of each resource."""
    return Resources(*map(max, first, second))
