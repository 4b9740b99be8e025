"""Decides when a pool's demand and its hosts' loads are stored again.

Both change with nearly each run, and other daemons read each stored version,
so they are stored at intervals.  Changes for which the planner waits are
stored at once: a confirmed drain order, and a jump of demand, because hosts
take more than a second to move.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.fleetplan import HOSTS_KEY, SUMMARIES_TABLE, SUMMARY_KEY
from lycheelug.jobservice.summary import (
    confirmed_orders,
    list_loads,
    summarize,
)
from lycheelug.store.rows import RowName

if TYPE_CHECKING:
    from lycheelug.fleetplan import HostsRecord, SummaryRecord
    from lycheelug.jobservice.clock import Clock
    from lycheelug.store.rows import StoredRow
    from lycheelug.workloads import PoolSchedule

__all__ = ["PublishedLoad"]

SUMMARY_ROW: Final = RowName(SUMMARIES_TABLE, SUMMARY_KEY)
HOSTS_ROW: Final = RowName(SUMMARIES_TABLE, HOSTS_KEY)
# How often the load is compared with the stored one.
CHECK_INTERVAL_S: Final = 0.1
# The minimum time between two versions of a changed summary, and of a list
# of loads in which the set or the state of hosts has changed.
SUMMARY_INTERVAL_S: Final = 0.5
HOSTS_INTERVAL_S: Final = 0.5
# The same for a list in which only the used CPU has changed, which the
# planner uses to order the hosts that it takes away.
USED_CPU_INTERVAL_S: Final = 2.0
# Smaller changes of the CPU used on a host cause no write, in thousandths of
# a core.
USED_CPU_STEP: Final = 1_000
# A rise of demand above this share, and above this amount, is a jump.
JUMP_SHARE: Final = 0.125
JUMP_CPU: Final = 4_000
JUMP_MEMORY_MB: Final = 4_096


class PublishedLoad:
    """The stored load of one pool, and the changes to write."""

    __slots__ = (
        "_checked_at",
        "_clock",
        "_due",
        "_hosts_at",
        "_is_ready",
        "_loads",
        "_schedule",
        "_stored",
        "_summary",
        "_summary_at",
        "_vacated",
        "_versions",
        "_written",
    )

    def __init__(self, clock: Clock, schedule: PoolSchedule) -> None:
        self._clock = clock
        self._schedule = schedule
        self._is_ready = False
        self._checked_at = -math.inf
        # Local times of the last writes.
        self._summary_at = -math.inf
        self._hosts_at = -math.inf
        self._versions: dict[RowName, int] = {}
        # The rows to write next, those of the write in progress, and those
        # whose last written record is known to be stored.
        self._due: set[RowName] = set()
        self._written: set[RowName] = set()
        self._stored: set[RowName] = set()
        # The last written records.
        self._summary: SummaryRecord | None = None
        self._loads: HostsRecord | None = None
        # The confirmed orders in the last written summary, if it is stored.
        self._vacated: dict[str, str] = {}

    def restore(self, row: StoredRow) -> None:
        """Take over the version of a row of the last owner."""
        self._versions[row.name] = row.version

    def mark_ready(self) -> None:
        """Allow writes: the pool's jobs and executors are known."""
        self._is_ready = True

    def is_due(self) -> bool:
        """Whether a change has to be stored now."""
        if not self._is_ready:
            return False
        if self._due:
            return True
        now = self._clock.now()
        has_vacated = self._has_new_confirmation()
        if not has_vacated and now - self._checked_at < CHECK_INTERVAL_S:
            return False
        self._checked_at = now
        self._check_summary(now, has_vacated)
        self._check_hosts(now)
        return bool(self._due)

    def take_changes(self) -> dict[RowName, tuple[int, bytes]]:
        """Return the rows to write, with their expected versions.

        The check is made here too: a pool that always has progress to store
        never asks whether this is due.
        """
        if not self.is_due():
            return {}
        now = self._clock.now()
        values: dict[RowName, bytes] = {}
        if SUMMARY_ROW in self._due:
            summary = self._summarize(now)
            values[SUMMARY_ROW] = msgspec.json.encode(summary)
            self._summary = summary
            self._summary_at = now
            self._vacated = summary.vacated
        if HOSTS_ROW in self._due:
            loads = list_loads(self._schedule, now)
            values[HOSTS_ROW] = msgspec.json.encode(loads)
            self._loads = loads
            self._hosts_at = now
        self._due.clear()
        self._written = set(values)
        self._stored -= self._written
        return {
            name: (self._versions.get(name, 0), value)
            for name, value in values.items()
        }

    def apply_commit(self, version: int) -> None:
        """Record that the changes were stored."""
        for name in self._written:
            self._versions[name] = version
        self._stored |= self._written
        self._written = set()

    def apply_failure(self) -> None:
        """Record that the changes may or may not have been stored."""
        if SUMMARY_ROW in self._written:
            self._vacated = {}
        self._written = set()

    def apply_conflict(self, rows: dict[RowName, StoredRow]) -> None:
        """Adopt the stored versions of the rows that were to be written."""
        for name in self._written:
            row = rows.get(name)
            self._versions[name] = row.version if row is not None else 0
        self.apply_failure()

    def _has_new_confirmation(self) -> bool:
        """Whether a drain order's confirmation is not stored yet."""
        for host, number in confirmed_orders(self._schedule).items():
            if self._vacated.get(host) != number:
                return True
        return False

    def _check_summary(self, now: float, is_urgent: bool) -> None:
        """Prepare a write of the summary if it is due."""
        summary = self._summarize(now)
        is_old = now - self._summary_at >= SUMMARY_INTERVAL_S
        if not is_old and not is_urgent and not self._is_jump(summary):
            return
        if self._is_kept(SUMMARY_ROW) and summary == self._summary:
            return
        self._due.add(SUMMARY_ROW)

    def _summarize(self, now: float) -> SummaryRecord:
        """Return the current summary."""
        return summarize(self._schedule, now, self._clock.unix_ms())

    def _is_kept(self, name: RowName) -> bool:
        """Whether the last written version of a row is or may get stored."""
        return name in self._stored or name in self._written

    def _is_jump(self, summary: SummaryRecord) -> bool:
        """Whether demand is much higher than in the last written summary."""
        last = self._summary
        if last is None:
            return True
        cpu = summary.running_cpu + summary.ready_cpu + summary.growing_cpu
        last_cpu = last.running_cpu + last.ready_cpu + last.growing_cpu
        if cpu - last_cpu > max(JUMP_CPU, last_cpu * JUMP_SHARE):
            return True
        memory = summary.running_memory + summary.ready_memory
        last_memory = last.running_memory + last.ready_memory
        rise = memory - last_memory
        return rise > max(JUMP_MEMORY_MB, last_memory * JUMP_SHARE)

    def _check_hosts(self, now: float) -> None:
        """Prepare a write of the loads if it is due."""
        age_s = now - self._hosts_at
        if age_s < HOSTS_INTERVAL_S:
            return
        loads = list_loads(self._schedule, now)
        if self._is_kept(HOSTS_ROW) and not self._have_states_changed(loads):
            if age_s < USED_CPU_INTERVAL_S:
                return
            if not self._has_use_changed(loads):
                return
        self._due.add(HOSTS_ROW)

    def _have_states_changed(self, loads: HostsRecord) -> bool:
        """Whether any host was added, removed or has another state."""
        last = self._loads
        if last is None or loads.hosts.keys() != last.hosts.keys():
            return True
        for host, load in loads.hosts.items():
            known = last.hosts[host]
            if (
                load.executor != known.executor
                or load.is_usable != known.is_usable
                or load.lasting_runs != known.lasting_runs
            ):
                return True
        return False

    def _has_use_changed(self, loads: HostsRecord) -> bool:
        """Whether the CPU used on any host has changed by a step."""
        last = self._loads
        if last is None:
            return True
        for host, load in loads.hosts.items():
            change = load.used_cpu - last.hosts[host].used_cpu
            if abs(change) >= USED_CPU_STEP:
                return True
        return False
