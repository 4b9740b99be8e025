"""Decides which hosts are to be emptied, moved and maintained; no I/O.

In each round the planner compares what pools want with what they have.
Moves go from the standby pool and from pools with a surplus to pools in
need; surplus that lasts goes back to standby.  A wave's hosts in standby
are maintained first, as nothing runs there; hosts in pools one at a time
for each pool, more where the deadline presses.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.fleetplan.hosts import HostState
from lycheelug.fleetplan.records import DrainOrder, HostCall, PlanRecord
from lycheelug.fleetplan.sizing import SIZINGS, usual_room
from lycheelug.fleetplan.waves import plan_wave
from lycheelug.fleetplan.zones import troubled_zones

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lycheelug.fleetplan.hosts import HostInfo, MaintenanceWave
    from lycheelug.fleetplan.records import SummaryRecord

__all__ = ["FleetPlanner"]

# A surplus is given back after it has lasted for this long.
SURPLUS_S: Final = 0.8
# A host whose executor its pool's owner does not know after this long is cut
# off: entries come within a second.
UNSEEN_S: Final = 3.0


class FleetPlanner:
    """What the fleet's planner knows and wants under one term."""

    __slots__ = (
        "_arriving",
        "_has_seen_work",
        "_lives",
        "_now",
        "_number",
        "_surplus_since",
        "_upkeep_ends",
        "_wave_seen_at",
        "hosts",
        "plan",
        "pools",
        "sizing",
        "standby",
        "summaries",
        "term",
        "upkeep_s",
        "waves",
    )

    def __init__(
        self,
        term: int,
        plan: PlanRecord | None,
        upkeep_s: float,
        sizing: str = "demand",
    ) -> None:
        self.term = term
        self.plan = plan or PlanRecord(term)
        self.plan.term = term
        self.sizing = sizing
        # How long an upkeep takes at least.
        self.upkeep_s = upkeep_s
        self.hosts: dict[str, HostInfo] = {}
        self.summaries: dict[str, SummaryRecord] = {}
        self.waves: dict[int, MaintenanceWave] = {}
        # Pools in use, and the pool of hosts that are off.
        self.pools: list[str] = []
        self.standby = ""
        self._number = 0
        # Without any work seen, nothing tells which hosts are too many.
        self._has_seen_work = False
        self._now = 0.0
        # Present lives of hosts, and the local times they were first seen.
        self._lives: dict[str, tuple[str, float]] = {}
        self._surplus_since: dict[str, float] = {}
        # Hosts that were sent to a pool and have not shown up in it.
        self._arriving: dict[str, tuple[str, float]] = {}
        # Local time at which an upkeep that began may have ended.
        self._upkeep_ends: dict[str, float] = {}
        self._wave_seen_at: dict[int, float] = {}

    @property
    def is_busy(self) -> bool:
        """Whether hosts move, are emptied or have their upkeep."""
        return bool(self.plan.orders or self._arriving or self._upkeep_ends)

    # --- What happened.

    def update_hosts(self, hosts: Mapping[str, HostInfo], now: float) -> None:
        """Take in the list of hosts."""
        self.hosts = dict(hosts)
        for name, listed in hosts.items():
            life = self._lives.get(name)
            if life is None or life[0] != listed.executor_id:
                self._lives[name] = (listed.executor_id, now)
        for name, (pool, until) in list(self._arriving.items()):
            host = self.hosts.get(name)
            is_there = (
                host is not None
                and host.pool == pool
                and host.state is HostState.UP
            )
            if is_there or now > until:
                del self._arriving[name]
        for name, ends_at in list(self._upkeep_ends.items()):
            host = self.hosts.get(name)
            is_up = host is None or host.state is HostState.UP
            if is_up and now >= ends_at:
                del self._upkeep_ends[name]

    def record_move(self, host: str, pool: str, now: float) -> None:
        """Take in that a move was accepted."""
        self.plan.orders.pop(host, None)
        known = self.hosts.get(host)
        if known is not None:
            known.pool = pool
            known.state = HostState.MOVING
        self._arriving[host] = (pool, now + 6.0)

    def record_maintenance(self, host: str, wave: int, now: float) -> None:
        """Take in that an upkeep was accepted."""
        self.plan.orders.pop(host, None)
        done = self.plan.maintained.setdefault(str(wave), [])
        if host not in done:
            done.append(host)
        known = self.hosts.get(host)
        if known is not None:
            known.state = HostState.IN_UPKEEP
        self._upkeep_ends[host] = now + self.upkeep_s

    def record_refusal(self, host: str) -> None:
        """Take in that an order can't be given: the host is used again."""
        self.plan.orders.pop(host, None)

    # --- Decisions.

    def decide(self, now: float) -> None:
        """Change the plan's orders to what is wanted now."""
        self._now = now
        for wave in self.waves.values():
            self._wave_seen_at.setdefault(wave.number, now)
        self._drop_void()
        wanted = self._wanted_sizes()
        self._withdraw(wanted)
        self._plan_waves(wanted, now)
        self._plan_moves(wanted, now)

    def sizes(self) -> dict[str, tuple[int, int]]:
        """Return how many hosts each pool has, and should have."""
        wanted = self._wanted_sizes()
        return {pool: (self.count(pool), wanted[pool]) for pool in wanted}

    def due_calls(self) -> list[HostCall]:
        """Return the calls whose hosts are confirmed to be empty."""
        due: list[HostCall] = []
        busy = self.in_upkeep()
        for name, order in self.plan.orders.items():
            host = self.hosts.get(name)
            is_up = host is not None and host.state is HostState.UP
            if not is_up and not order.sent:
                continue
            if order.pool != self.standby and not self._is_vacated(
                name, order
            ):
                continue
            if order.wave:
                wave = self.waves.get(order.wave)
                if wave is None:
                    continue
                if not order.sent and busy >= wave.at_once:
                    continue
                busy += 1
            due.append(HostCall(name, order))
        return due

    def finished_waves(self) -> list[int]:
        """Return the waves that are done and were not told so."""
        found: list[int] = []
        for number, wave in self.waves.items():
            if number in self.plan.completed:
                continue
            if self.hosts and not self.left(wave):
                found.append(number)
        return found

    # --- Parts.

    def left(self, wave: MaintenanceWave) -> list[str]:
        """Return a wave's hosts that stay and lack their upkeep."""
        done = self.plan.maintained.get(str(wave.number), [])
        return [
            name
            for name in wave.hosts
            if name in self.hosts and name not in done
        ]

    def _is_vacated(self, name: str, order: DrainOrder) -> bool:
        """Whether the pool's owner has confirmed this order."""
        summary = self.summaries.get(order.pool)
        return (
            summary is not None and summary.vacated.get(name) == order.number
        )

    def in_upkeep(self) -> int:
        """Return how many hosts are, or may be, in upkeep."""
        names = set(self._upkeep_ends)
        for name, host in self.hosts.items():
            if host.state is HostState.IN_UPKEEP:
                names.add(name)
        for name, order in self.plan.orders.items():
            if order.wave and order.sent:
                names.add(name)
        return len(names)

    def _drop_void(self) -> None:
        """Drop orders for hosts that are gone or changed their pool."""
        for name, order in list(self.plan.orders.items()):
            host = self.hosts.get(name)
            if order.sent or not self.hosts:
                continue
            if host is None or host.pool != order.pool:
                del self.plan.orders[name]

    def _wanted_sizes(self) -> dict[str, int]:
        """Return how many hosts each pool should have."""
        host_cpu, host_memory = usual_room(self.hosts.values())
        policy = SIZINGS.get(self.sizing)
        wanted: dict[str, int] = {}
        for pool in self.pools:
            summary = self.summaries.get(pool)
            if summary is None:
                wanted[pool] = self.count(pool)
                continue
            wanted[pool] = policy(summary, host_cpu, host_memory)
            if summary.short_cpu > 0:
                self._has_seen_work = True
        return wanted

    def members(self, pool: str) -> list[str]:
        """Return a pool's hosts that are up and are to stay."""
        found: list[str] = []
        for name, host in self.hosts.items():
            if host.pool != pool or host.state is not HostState.UP:
                continue
            if name not in self.plan.orders and self._is_usable(name):
                found.append(name)
        return found

    def _is_usable(self, name: str) -> bool:
        """Whether a host takes tasks, or is too new for its owner's word."""
        host = self.hosts[name]
        if host.pool == self.standby:
            return True
        summary = self.summaries.get(host.pool)
        load = summary.hosts.get(name) if summary is not None else None
        if load is None or load.executor != host.executor_id:
            _, since = self._lives.get(name, ("", self._now))
            return self._now - since < UNSEEN_S
        return load.is_usable

    def count(self, pool: str) -> int:
        """Return a pool's hosts, with those that are on their way."""
        count = len(self.members(pool))
        for name, host in self.hosts.items():
            if host.pool == pool and host.state in (
                HostState.MOVING,
                HostState.IN_UPKEEP,
            ):
                count += 1
            elif name in self._arriving and self._arriving[name][0] == pool:
                count += host.pool != pool
        for order in self.plan.orders.values():
            if order.target == pool:
                count += 1
        return count

    def _withdraw(self, wanted: dict[str, int]) -> None:
        """Keep a host whose pool needs it again."""
        for name, order in list(self.plan.orders.items()):
            if order.sent or order.wave or order.pool == self.standby:
                continue
            if wanted.get(order.pool, 0) > self.count(order.pool):
                del self.plan.orders[name]

    def order(self, name: str, target: str = "", wave: int = 0) -> None:
        """Add an order with a number of its own."""
        self._number += 1
        host = self.hosts[name]
        self.plan.orders[name] = DrainOrder(
            f"{self.term}.{self._number}", host.pool, target, wave
        )

    def _plan_waves(self, wanted: dict[str, int], now: float) -> None:
        """Order the upkeep of the hosts whose turn it is."""
        for wave in self.waves.values():
            if wave.number in self.plan.completed:
                continue
            age_s = now - self._wave_seen_at[wave.number]
            plan_wave(self, wave, wanted, age_s)

    def _plan_moves(self, wanted: dict[str, int], now: float) -> None:
        """Order moves to pools in need, and of lasting surplus."""
        if not self.standby:
            return
        missing: list[str] = []
        surplus: list[str] = []
        for pool in self.pools:
            spare = self.count(pool) - wanted[pool]
            if spare < 0:
                missing.extend([pool] * -spare)
            if spare <= 0 or not self._has_seen_work:
                self._surplus_since.pop(pool, None)
                continue
            since = self._surplus_since.setdefault(pool, now)
            if now - since < SURPLUS_S:
                continue
            for name in self._idle(pool)[:spare]:
                surplus.append(name)
        reserve = self._reserve()
        for pool in missing:
            if surplus:
                self.order(surplus.pop(0), target=pool)
            elif reserve:
                self.order(reserve.pop(0), target=pool)
        for name in surplus:
            self.order(name, target=self.standby)

    def _idle(self, pool: str) -> list[str]:
        """Return a pool's hosts without lasting tasks, emptiest first."""
        summary = self.summaries.get(pool)
        if summary is None:
            return []
        due = self._due_for_upkeep()
        found: list[tuple[int, bool, str]] = []
        for name in self.members(pool):
            load = summary.hosts.get(name)
            if load is None or load.lasting_runs:
                continue
            found.append((load.used_cpu, name not in due, name))
        return [name for _, _, name in sorted(found)]

    def _reserve(self) -> list[str]:
        """Return standby hosts that may move, the best first.

        Hosts in a zone that is cut off would not show up in their pool.
        """
        due = self._due_for_upkeep()
        cut = troubled_zones(self.hosts, self.summaries, self.plan.orders)
        found: list[tuple[bool, bool, str]] = []
        for name in self.members(self.standby):
            is_cut = self.hosts[name].zone in cut
            found.append((is_cut, name in due, name))
        return [name for _, _, name in sorted(found)]

    def standby_beyond(self, wanted: Mapping[str, int]) -> int:
        """Return how many standby hosts no pool needs now."""
        missing = 0
        for pool in self.pools:
            missing += max(0, wanted[pool] - self.count(pool))
        return len(self.members(self.standby)) - missing

    def _due_for_upkeep(self) -> set[str]:
        """Return the hosts that lack the upkeep of an open wave."""
        due: set[str] = set()
        for wave in self.waves.values():
            if wave.number not in self.plan.completed:
                due.update(self.left(wave))
        return due
