"""Decides which hosts to drain, move and maintain.

In each round the planner compares the number of hosts that each pool needs
with the number that it has.  Pools that lack hosts get them from pools with
a surplus and then from the standby pool; a surplus that persists returns to
the standby pool.  The hosts of a maintenance wave that are in standby are
maintained first because nothing runs on them, the others a share of a pool at
a time.

The planner does no I/O.  Its caller stores the plan and carries out the
calls that are due.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.fleetplan.absences import HostAbsences
from lycheelug.fleetplan.hosts import HostState
from lycheelug.fleetplan.known_hosts import KnownHosts
from lycheelug.fleetplan.moves import (
    cancel_unneeded_moves,
    drop_stale_orders,
    plan_moves,
)
from lycheelug.fleetplan.policies import PlanPolicies
from lycheelug.fleetplan.records import DrainOrder, HostCall, PlanRecord
from lycheelug.fleetplan.shares import grant_hosts
from lycheelug.fleetplan.sizing import (
    SIZINGS,
    hosts_for_cpu,
    typical_capacity,
)
from lycheelug.fleetplan.turns import FORECASTS
from lycheelug.fleetplan.waves import plan_waves
from lycheelug.fleetplan.withdrawals import Withdrawals

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lycheelug.fleetplan.hosts import HostInfo, MaintenanceWave
    from lycheelug.fleetplan.records import SummaryRecord

__all__ = ["FleetPlanner"]

# A host counts as unreachable if its pool's owner has not reported its
# executor after this time.  Executor entries normally arrive within a second.
UNREPORTED_S: Final = 3.0


class FleetPlanner:
    """The state and the decisions of the fleet planner during one term."""

    __slots__ = (
        "_absences",
        "_last_order_number",
        "_now",
        "_unix_ms",
        "_wave_seen_at",
        "broken_waves",
        "expected_cpu",
        "forecast",
        "granted",
        "has_seen_work",
        "hosts",
        "known",
        "maintenance_s",
        "plan",
        "policies",
        "pools",
        "standby",
        "summaries",
        "surplus_since",
        "term",
        "waves",
        "withdrawals",
    )

    def __init__(
        self,
        term: int,
        plan: PlanRecord | None,
        maintenance_s: float,
        policies: PlanPolicies | None = None,
    ) -> None:
        self.term = term
        self.plan = plan or PlanRecord(term)
        self.plan.term = term
        self.policies = policies or PlanPolicies()
        # The hosts that each pool gets of those that there are.
        self.granted: dict[str, int] = {}
        # The work that the forecast expects at each pool.
        self.expected_cpu: dict[str, int] = {}
        forecast = FORECASTS.get(self.policies.forecast)
        self.forecast = forecast(self.plan.turns)
        # The minimum duration of a host's maintenance.
        self.maintenance_s = maintenance_s
        self.known = KnownHosts()
        # The hosts as known now.
        self.hosts = self.known.listed
        self.summaries: dict[str, SummaryRecord] = {}
        self.waves: dict[int, MaintenanceWave] = {}
        # The pools that run tasks, and the pool of the unused hosts.
        self.pools: list[str] = []
        self.standby = ""
        self._last_order_number = 0
        # Until some pool has reported work, no host is considered surplus.
        self.has_seen_work = False
        self._now = 0.0
        self._unix_ms = 0
        self.surplus_since: dict[str, float] = {}
        self._wave_seen_at: dict[int, float] = {}
        # The hosts of each wave that are missing in the lists requested after
        # the wave was read, by its number and version.
        self._absences: dict[tuple[int, int], HostAbsences] = {}
        # The waves whose planning raised an unexpected error.
        self.broken_waves: dict[int, Exception] = {}
        self.withdrawals = Withdrawals()

    @property
    def is_busy(self) -> bool:
        """Whether any host is being drained, moved or maintained."""
        return bool(self.plan.orders) or self.known.is_changing

    @property
    def awaits_hosts(self) -> bool:
        """Whether a wave has hosts that may yet be listed."""
        return any(
            self._awaited_hosts(wave)
            for wave in self.waves.values()
            if wave.number not in self.plan.completed
        )

    # --- Events.

    def update_hosts(self, hosts: Mapping[str, HostInfo], now: float) -> None:
        """Replace the host list, which was requested at `now`."""
        self.known.update(hosts, now)
        self.hosts = self.known.listed
        for wave in self.waves.values():
            absences = self._absences.get((wave.number, wave.version))
            if absences is not None:
                absences.record_list(wave.hosts, hosts, now)

    def record_move(self, host: str, pool: str, now: float) -> None:
        """Record that the platform accepted a move."""
        self.plan.orders.pop(host, None)
        self.known.record_move(host, pool, now)

    def record_maintenance(self, host: str, wave: int, now: float) -> None:
        """Record that the platform accepted a host's maintenance."""
        self.plan.orders.pop(host, None)
        done = self.plan.maintained.setdefault(str(wave), [])
        if host not in done:
            done.append(host)
        self.known.record_maintenance(host, now, self.maintenance_s)

    def record_refusal(self, host: str) -> None:
        """Drop an order that the platform refused; the host is used again."""
        self.plan.orders.pop(host, None)

    # --- Decisions.

    def decide(self, now: float, unix_ms: int = 0) -> None:
        """Update the plan's orders to the current demand and waves."""
        self._now = now
        self._unix_ms = unix_ms
        self._observe_arrivals()
        for wave in self.waves.values():
            self._record_wave(wave, now, unix_ms)
        drop_stale_orders(self)
        self.withdrawals.apply(self, now)
        wanted = self._wanted_sizes()
        self.granted = granted = grant_hosts(self, wanted)
        cancel_unneeded_moves(self, granted)
        reserve = plan_waves(self, wanted)
        plan_moves(self, granted, reserve, now, granted != wanted)

    def _record_wave(
        self, wave: MaintenanceWave, now: float, unix_ms: int
    ) -> None:
        """Record since when a wave is known, also to earlier planners."""
        self._absences.setdefault(
            (wave.number, wave.version), HostAbsences(now)
        )
        if wave.number in self._wave_seen_at:
            return
        seen_ms = self.plan.seen_ms.setdefault(str(wave.number), unix_ms)
        age_s = (unix_ms - seen_ms) / 1000
        # Clocks may differ and jump, but no wave is older than its deadline
        # to any purpose.
        age_s = min(max(0.0, age_s), wave.deadline_s)
        self._wave_seen_at[wave.number] = now - age_s

    def sizes(self) -> dict[str, tuple[int, int]]:
        """Return each pool's current and wanted number of hosts."""
        wanted = self._wanted_sizes()
        return {
            pool: (self.count_hosts(pool), wanted[pool]) for pool in wanted
        }

    def due_calls(self) -> list[HostCall]:
        """Return the calls for hosts that are confirmed to be drained.

        A new order waits until no earlier call for its host can take effect:
        a late one would find the host in use in another pool.
        """
        due: list[HostCall] = []
        busy = self.count_in_maintenance()
        for name, order in self.plan.orders.items():
            host = self.hosts.get(name)
            is_up = host is not None and host.state is HostState.UP
            if not order.sent and (
                not is_up or self.known.awaits_late_call(name, self._now)
            ):
                continue
            if order.pool != self.standby and not self._is_drained(
                name, order
            ):
                continue
            if order.wave:
                wave = self.waves.get(order.wave)
                if wave is None:
                    continue
                if not order.sent and busy >= wave.max_concurrent:
                    continue
                busy += 1
            due.append(HostCall(name, order))
        return due

    def finished_waves(self) -> list[int]:
        """Return the finished waves that are not yet marked completed."""
        found: list[int] = []
        for number, wave in self.waves.items():
            if number in self.plan.completed:
                continue
            if not self.hosts or self.pending_hosts(wave):
                continue
            if not self._awaited_hosts(wave):
                found.append(number)
        return found

    # --- Helpers.

    def pending_hosts(self, wave: MaintenanceWave) -> list[str]:
        """Return a wave's listed hosts that were not yet maintained."""
        return [name for name in self._open(wave) if name in self.hosts]

    def unlisted_hosts(self, wave: MaintenanceWave) -> list[str]:
        """Return a wave's hosts that were not maintained and not listed."""
        return [name for name in self._open(wave) if name not in self.hosts]

    def _open(self, wave: MaintenanceWave) -> list[str]:
        """Return a wave's hosts that were not yet maintained."""
        done = self.plan.maintained.get(str(wave.number), [])
        return [name for name in wave.hosts if name not in done]

    def _awaited_hosts(self, wave: MaintenanceWave) -> list[str]:
        """Return a wave's unlisted hosts that have not certainly left."""
        unlisted = self.unlisted_hosts(wave)
        absences = self._absences.get((wave.number, wave.version))
        if absences is None:
            return unlisted
        return [name for name in unlisted if not absences.is_gone(name)]

    def _is_drained(self, name: str, order: DrainOrder) -> bool:
        """Return whether the pool's owner has confirmed this order."""
        summary = self.summaries.get(order.pool)
        return (
            summary is not None and summary.vacated.get(name) == order.number
        )

    def count_in_maintenance(self) -> int:
        """Return the number of hosts that are or may be in maintenance."""
        names = set(self.known.in_maintenance)
        for name, host in self.hosts.items():
            if host.state is HostState.IN_UPKEEP:
                names.add(name)
        for name, order in self.plan.orders.items():
            if order.wave and order.sent:
                names.add(name)
        return len(names)

    def _wanted_sizes(self) -> dict[str, int]:
        """Return the number of hosts that each pool should have."""
        host_cpu, host_memory = typical_capacity(self.hosts.values())
        policy = SIZINGS.get(self.policies.sizing)
        wanted: dict[str, int] = {}
        for pool in self.pools:
            summary = self.summaries.get(pool)
            if summary is None:
                wanted[pool] = self.count_hosts(pool)
                continue
            self.expected_cpu[pool] = expected_cpu = (
                self.forecast.expected_cpu(
                    pool, summary.arriving_cpu, self._now, self._unix_ms
                )
            )
            wanted[pool] = max(
                policy(summary, host_cpu, host_memory),
                hosts_for_cpu(expected_cpu + summary.lasting_cpu, host_cpu)
                if expected_cpu
                else 0,
            )
            if summary.finite_cpu > 0:
                self.has_seen_work = True
        return wanted

    def _observe_arrivals(self) -> None:
        """Let the forecast learn from what has arrived at the pools."""
        for pool in self.pools:
            summary = self.summaries.get(pool)
            if summary is not None:
                self.forecast.observe(
                    pool,
                    summary.arriving_cpu,
                    summary.arriving_jobs,
                    self._now,
                    self._unix_ms,
                )
        self.plan.turns = self.forecast.export()

    def active_hosts(self, pool: str) -> list[str]:
        """Return a pool's usable hosts that no order removes from it."""
        found: list[str] = []
        for name, host in self.hosts.items():
            if host.pool != pool or host.state is not HostState.UP:
                continue
            if name not in self.plan.orders and self._is_usable(name):
                found.append(name)
        return found

    def _is_usable(self, name: str) -> bool:
        """Return whether a host accepts tasks.

        A host that its pool's owner has not reported yet counts as usable
        for the first `UNREPORTED_S` seconds of its executor's incarnation.
        """
        host = self.hosts[name]
        if host.pool == self.standby:
            return True
        summary = self.summaries.get(host.pool)
        load = summary.hosts.get(name) if summary is not None else None
        if load is None or load.executor != host.executor_id:
            since = self.known.listed_since(name)
            return since is None or self._now - since < UNREPORTED_S
        return load.is_usable

    def count_hosts(self, pool: str) -> int:
        """Return the size of a pool, including hosts that are to join it."""
        count = len(self.active_hosts(pool))
        for name, host in self.hosts.items():
            if host.pool == pool and host.state in (
                HostState.MOVING,
                HostState.IN_UPKEEP,
            ):
                count += 1
            elif self.known.arriving_pool(name) == pool:
                count += host.pool != pool
        for order in self.plan.orders.values():
            if order.target == pool:
                count += 1
        return count

    def add_order(self, name: str, target: str = "", wave: int = 0) -> None:
        """Add an order with a unique number."""
        self._last_order_number += 1
        host = self.hosts[name]
        self.plan.orders[name] = DrainOrder(
            f"{self.term}.{self._last_order_number}", host.pool, target, wave
        )

    def wave_age_s(self, wave: MaintenanceWave) -> float:
        """Return how long a wave has been known, also to earlier planners."""
        return self._now - self._wave_seen_at[wave.number]

    def count_spare_standby(self, wanted: Mapping[str, int]) -> int:
        """Return the standby hosts left after all pools' shortages.

        Those that the next turn needs at once don't count.  The result is
        negative if the pools lack more hosts than there are.
        """
        missing = 0
        for pool in self.pools:
            missing += max(0, wanted[pool] - self.count_hosts(pool))
        host_cpu, _ = typical_capacity(self.hosts.values())
        missing += hosts_for_cpu(self.forecast.next_cpu(), host_cpu)
        return len(self.active_hosts(self.standby)) - missing

    def due_for_maintenance(self) -> set[str]:
        """Return the hosts that an uncompleted wave has yet to maintain."""
        due: set[str] = set()
        for wave in self.waves.values():
            if wave.number not in self.plan.completed:
                due.update(self.pending_hosts(wave))
        return due
