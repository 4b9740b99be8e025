"""Which hosts change pool so that the fleet matches a sheet.

Hosts never cross zones, so each zone is planned alone.  A pool that has
more hosts than it wants gives up exactly its surplus, and a pool that has
fewer takes exactly its deficit: no plan for the same sheet has fewer
moves.  Hosts that no pool wants go to the spare pool; without one they
stay where they are.  Which hosts are given up, and who takes them, is
chosen so that a pool's hosts spread over racks: a pool gives from the rack
where it has most, and takes from the rack where it has fewest.

A pool that has too many hosts in one zone and too few in another may have
to wait for the latter before its budget lets out the former.  Such a pool
is short of slack; it is served first, from pools that are not, so that
moves don't wait for each other in long chains.

Cost: n log n in the hosts, plus pools times racks.  No host is moved for
the spread alone.
"""

from __future__ import annotations

import heapq
from collections import Counter
from typing import TYPE_CHECKING, Final

from lycheelug.records import HostPhase
from lycheelug.registry import Registry
from lycheelug.store.interface import HostRole, HostState

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.fleet import FleetSnapshot
    from lycheelug.records import HostRow
    from lycheelug.sheet import Sheet

__all__ = [
    "MOVE_PLANNERS",
    "Move",
    "assigned_pool",
    "final_layout",
    "plan_moves",
    "plan_placement",
]


class Move:
    """One host changes pool; a source of "" means a host new to the fleet."""

    __slots__ = ("host", "rack", "source", "target", "zone")

    def __init__(
        self, host: str, zone: str, rack: str, source: str, target: str
    ) -> None:
        self.host = host
        self.zone = zone
        self.rack = rack
        self.source = source
        self.target = target

    def __repr__(self) -> str:
        return f"Move({self.host}: {self.source or '-'} -> {self.target})"


# Each planner returns moves, and placements of new hosts, for a sheet.
MOVE_PLANNERS: Final[
    Registry[Callable[[Sheet, FleetSnapshot], list[Move]]]
] = Registry("move planner")


class _Host:
    """A usable worker and the pool that it is in or on its way to."""

    __slots__ = ("name", "pool", "rack", "release_rank", "row")

    def __init__(
        self, name: str, rack: str, pool: str, row: HostRow | None
    ) -> None:
        self.name = name
        self.rack = rack
        self.pool = pool
        self.row = row
        self.release_rank = _release_rank(row)


def _release_rank(row: HostRow | None) -> int:
    """Rank hosts of one rack: those already out of service go first."""
    if row is None or row.phase is HostPhase.SERVING:
        return 1
    return 0 if row.target else 2


def assigned_pool(row: HostRow) -> str:
    """Return the pool that a host is in, or on its way to."""
    if row.phase is HostPhase.DRAINING and row.target:
        return row.target
    return row.pool


class _RackQueue:
    """Hosts by rack, given out from the rack that holds most."""

    __slots__ = ("_heap", "_racks")

    def __init__(self, hosts: list[_Host]) -> None:
        self._racks: dict[str, list[_Host]] = {}
        for host in hosts:
            self._racks.setdefault(host.rack, []).append(host)
        for members in self._racks.values():
            members.sort(key=lambda host: (host.release_rank, host.name))
            members.reverse()
        self._heap = [
            (-len(members), rack) for rack, members in self._racks.items()
        ]
        heapq.heapify(self._heap)

    def pop(self) -> _Host:
        count, rack = heapq.heappop(self._heap)
        host = self._racks[rack].pop()
        if count + 1:
            heapq.heappush(self._heap, (count + 1, rack))
        return host


class _ZonePlan:
    """The planning of one zone."""

    __slots__ = (
        "_is_short_of_hosts",
        "_members",
        "_rack_heaps",
        "_sheet",
        "_shortfalls",
        "_supply",
        "_wanted",
        "_zone",
        "moves",
    )

    def __init__(
        self,
        sheet: Sheet,
        zone: str,
        hosts: list[_Host],
        shortfalls: dict[str, int],
    ) -> None:
        self._sheet = sheet
        self._shortfalls = shortfalls
        self._zone = zone
        self._members: dict[str, list[_Host]] = {}
        for host in hosts:
            self._members.setdefault(host.pool, []).append(host)
        self._wanted = {pool: sheet.wanted(pool, zone) for pool in sheet.pools}
        spare = sheet.spare
        if spare is not None:
            left = len(hosts) - sum(self._wanted.values())
            self._wanted[spare.name] += max(0, left)
        # Hosts to be placed, by rack; the best one of a rack comes last.
        self._supply: dict[str, list[_Host]] = {}
        self._rack_heaps: dict[str, list[tuple[int, int, str]]] = {}
        self._is_short_of_hosts = sum(self._wanted.values()) > len(hosts)
        self.moves: list[Move] = []

    def run(self) -> None:
        """Fill `moves`."""
        self._undo_moves()
        unassigned = self._members.pop("", [])
        unassigned.sort(key=lambda host: host.name)
        deficits = self._deficits()
        needed = sum(deficits.values())
        self._release_surplus(max(0, needed - len(unassigned)))
        for host in unassigned:
            self._supply.setdefault(host.rack, []).append(host)
        for hosts in self._supply.values():
            hosts.sort(key=lambda h: (self._shortfall(h.pool), h.name))
            hosts.reverse()
        self._distribute(deficits)

    def _host_count(self, pool: str) -> int:
        return len(self._members.get(pool, ()))

    def _surplus(self, pool: str) -> int:
        return max(0, self._host_count(pool) - self._wanted.get(pool, 0))

    def _deficits(self) -> dict[str, int]:
        deficits: dict[str, int] = {}
        for pool, wanted in self._wanted.items():
            missing = wanted - self._host_count(pool)
            if missing > 0:
                deficits[pool] = missing
        return deficits

    def _undo_moves(self) -> None:
        """Send hosts on their way to a full pool back to a short one."""
        for pool in sorted(self._members):
            surplus = self._surplus(pool)
            for host in sorted(self._members[pool], key=lambda h: h.name):
                if not surplus:
                    break
                if host.row is None or host.row.pool == pool:
                    continue
                origin = host.row.pool
                if self._host_count(origin) >= self._wanted.get(origin, 0):
                    continue
                self._members[pool].remove(host)
                self._members.setdefault(origin, []).append(host)
                self._add_move(host, origin)
                surplus -= 1

    def _release_surplus(self, needed: int) -> None:
        """Take up to `needed` hosts from pools that have a surplus."""
        queues: dict[str, _RackQueue] = {}
        donors: list[tuple[int, str]] = []
        for pool, members in self._members.items():
            surplus = self._surplus(pool)
            if surplus:
                donors.append((-surplus, pool))
                queues[pool] = _RackQueue(members)
        heapq.heapify(donors)
        while needed and donors:
            surplus, pool = heapq.heappop(donors)
            host = queues[pool].pop()
            self._supply.setdefault(host.rack, []).append(host)
            if surplus + 1:
                heapq.heappush(donors, (surplus + 1, pool))
            needed -= 1

    def _distribute(self, deficits: dict[str, int]) -> None:
        """Give the supply to the pool that has least of what it wants."""
        order = [(*self._placement_rank(pool), pool) for pool in deficits]
        heapq.heapify(order)
        while order:
            pool = heapq.heappop(order)[-1]
            host = self._take_host(pool)
            if host is None:
                return
            self._members.setdefault(pool, []).append(host)
            self._add_move(host, pool)
            deficits[pool] -= 1
            if deficits[pool]:
                heapq.heappush(order, (*self._placement_rank(pool), pool))

    def _shortfall(self, pool: str) -> int:
        return self._shortfalls.get(pool, 0)

    def _placement_rank(self, pool: str) -> tuple[bool, int, float]:
        """Rank a pool: the spare pool last, then by weighted fill.

        Where every pool gets all it wants, the order only decides which
        hosts it gets, and those short of slack choose first.
        """
        spec = self._sheet.pools[pool]
        shortfall = 0 if self._is_short_of_hosts else -self._shortfall(pool)
        if not spec.weight:
            return spec.spare, shortfall, float("inf")
        fill = self._host_count(pool) / self._wanted[pool]
        return spec.spare, shortfall, fill / spec.weight

    def _take_host(self, pool: str) -> _Host | None:
        """Return a host of the rack where the pool has fewest.

        Of several such racks, one whose host can leave its pool soonest.
        The keys only grow as hosts are taken, so that a stale one is put
        right when it comes up.
        """
        heap = self._rack_heaps.get(pool)
        if heap is None:
            counts = Counter(h.rack for h in self._members.get(pool, ()))
            heap = [(counts[rack], 0, rack) for rack in self._supply]
            heapq.heapify(heap)
            self._rack_heaps[pool] = heap
        while heap:
            count, shortfall, rack = heapq.heappop(heap)
            hosts = self._supply[rack]
            if not hosts:
                continue
            current_shortfall = self._shortfall(hosts[-1].pool)
            if current_shortfall > shortfall:
                heapq.heappush(heap, (count, current_shortfall, rack))
                continue
            heapq.heappush(heap, (count + 1, 0, rack))
            return hosts.pop()
        return None

    def _add_move(self, host: _Host, target: str) -> None:
        self.moves.append(
            Move(host.name, self._zone, host.rack, host.pool, target)
        )


@MOVE_PLANNERS.register("minimal")
def plan_placement(sheet: Sheet, fleet: FleetSnapshot) -> list[Move]:
    """Return all moves, and the placements of hosts new to the fleet."""
    moves: list[Move] = []
    zones = _usable_by_zone(fleet)
    shortfalls = _slack_shortfalls(sheet, zones)
    for zone in sorted(zones):
        plan = _ZonePlan(sheet, zone, zones[zone], shortfalls)
        plan.run()
        moves.extend(plan.moves)
    return moves


@MOVE_PLANNERS.register("naive")
def plan_from_scratch(sheet: Sheet, fleet: FleetSnapshot) -> list[Move]:
    """Fill pools in order of name, whatever hosts they have (baseline)."""
    moves: list[Move] = []
    zones = _usable_by_zone(fleet)
    for zone in sorted(zones):
        hosts = sorted(zones[zone], key=lambda host: host.name)
        hosts.reverse()
        for pool in sorted(sheet.pools):
            for _ in range(min(sheet.wanted(pool, zone), len(hosts))):
                host = hosts.pop()
                if host.pool != pool:
                    moves.append(
                        Move(host.name, zone, host.rack, host.pool, pool)
                    )
        spare = sheet.spare
        for host in hosts:
            if spare is not None and host.pool != spare.name:
                moves.append(
                    Move(host.name, zone, host.rack, host.pool, spare.name)
                )
    return moves


def _slack_shortfalls(
    sheet: Sheet, zones: dict[str, list[_Host]]
) -> dict[str, int]:
    """Return how many hosts of each pool can leave only after others came.

    That is its surplus in all zones less what its budget can spare now.
    """
    serving: Counter[str] = Counter()
    leaving: Counter[str] = Counter()
    for zone, hosts in zones.items():
        counts = Counter(host.pool for host in hosts)
        for pool, count in counts.items():
            wanted = sheet.wanted(pool, zone)
            leaving[pool] += max(0, count - wanted)
        for host in hosts:
            if host.row is not None and host.row.phase is HostPhase.SERVING:
                serving[host.pool] += 1
    shortfalls: dict[str, int] = {}
    for pool, spec in sheet.pools.items():
        slack = max(0, serving[pool] - spec.min_available)
        shortfalls[pool] = max(0, leaving[pool] - slack)
    return shortfalls


def plan_moves(sheet: Sheet, fleet: FleetSnapshot) -> list[Move]:
    """Return the fewest moves after which the fleet matches the sheet."""
    return [move for move in plan_placement(sheet, fleet) if move.source]


def final_layout(sheet: Sheet, fleet: FleetSnapshot) -> dict[str, str]:
    """Return the pool of each usable host once the sheet is matched."""
    layout: dict[str, str] = {}
    for hosts in _usable_by_zone(fleet).values():
        for host in hosts:
            if host.pool:
                layout[host.name] = host.pool
    for move in plan_placement(sheet, fleet):
        layout[move.host] = move.target
    return layout


def _usable_by_zone(fleet: FleetSnapshot) -> dict[str, list[_Host]]:
    zones: dict[str, list[_Host]] = {}
    for entry in fleet.listed.values():
        if entry.role is not HostRole.WORKER:
            continue
        if entry.state is not HostState.LIVE and not fleet.is_in_maintenance(
            entry.name
        ):
            continue
        versioned = fleet.hosts.get(entry.name)
        row = versioned.row if versioned is not None else None
        pool = assigned_pool(row) if row is not None else ""
        host = _Host(entry.name, entry.rack, pool, row)
        zones.setdefault(entry.zone, []).append(host)
    return zones
