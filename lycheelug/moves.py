"""Planner of the host moves between pools that make the fleet match a sheet.

Hosts never change zone, so each zone is planned on its own.  A pool with
more hosts than it wants releases exactly its surplus, and a pool with fewer
receives exactly its deficit: no plan for the same sheet has fewer moves.
Hosts that no pool wants go to the spare pool; without a spare pool they
stay where they are.  Moves are chosen to spread the hosts of a pool over
racks: a pool releases hosts from the rack where it has most, and receives
hosts from the rack where it has fewest.

A pool with too many hosts in one zone and too few in another may have to
receive hosts in the second zone before its budget allows it to release
hosts in the first.  Such a pool has a slack shortfall.  It receives its
hosts first, and from pools without a shortfall, so that moves don't wait
for each other in long chains.

The cost is O(n log n) for n hosts, plus pools times racks.  No host is
moved just to improve the spread.
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
    """A change of a host's pool; source "" means a host new to the fleet."""

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


# Each planner returns the moves and the placements of new hosts for a sheet.
MOVE_PLANNERS: Final[
    Registry[Callable[[Sheet, FleetSnapshot], list[Move]]]
] = Registry("move planner")


class _Host:
    """A usable worker and the pool that it is in or being moved to."""

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
    """Return the order in which hosts of a rack are released.

    Hosts that already drain for a move come first.  Hosts out of service
    for maintenance come last, since they can't move before it ends.
    """
    if row is None or row.phase is HostPhase.SERVING:
        return 1
    return 0 if row.target else 2


def assigned_pool(row: HostRow) -> str:
    """Return the pool that a host is in or being moved to."""
    if row.phase is HostPhase.DRAINING and row.target:
        return row.target
    return row.pool


class _RackQueue:
    """Hosts by rack; `pop` takes one from the rack that has most."""

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
    """Plans the moves of one zone."""

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
            unclaimed = len(hosts) - sum(self._wanted.values())
            self._wanted[spare.name] += max(0, unclaimed)
        # Hosts to be placed, by rack; each list ends with the preferred host.
        self._supply: dict[str, list[_Host]] = {}
        self._rack_heaps: dict[str, list[tuple[int, int, str]]] = {}
        self._is_short_of_hosts = sum(self._wanted.values()) > len(hosts)
        self.moves: list[Move] = []

    def run(self) -> None:
        """Plan the moves and append them to `moves`."""
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
        """Cancel moves from a pool in deficit to a pool with a surplus."""
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
        """Release up to `needed` hosts, from the largest surplus first."""
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
        """Place the available hosts, each in the pool with the lowest rank."""
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
        """Return a pool's sort key for receiving hosts, lowest first.

        The spare pool comes last; other pools are ordered by weighted fill.
        If the zone has enough hosts for every pool, the order only decides
        which hosts a pool gets, so the pools with the largest slack
        shortfall choose first.
        """
        spec = self._sheet.pools[pool]
        shortfall = 0 if self._is_short_of_hosts else -self._shortfall(pool)
        if not spec.weight:
            return spec.spare, shortfall, float("inf")
        fill = self._host_count(pool) / self._wanted[pool]
        return spec.spare, shortfall, fill / spec.weight

    def _take_host(self, pool: str) -> _Host | None:
        """Take a host from the rack where the pool has fewest hosts.

        Among several such racks, prefer one whose host comes from a pool
        with the smallest slack shortfall, since that pool can release the
        host soonest.  Heap keys only grow as hosts are taken, so a stale key
        is corrected when it reaches the top.
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
    """Return all moves and the placements of hosts new to the fleet."""
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
    """Fill pools by name without regard to current hosts (baseline)."""
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
    """Return how many hosts each pool can't release before it receives some.

    This is the pool's surplus in all zones minus the hosts that its budget
    allows to stop now.
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
    """Return a minimal list of moves that make the fleet match the sheet."""
    return [move for move in plan_placement(sheet, fleet) if move.source]


def final_layout(sheet: Sheet, fleet: FleetSnapshot) -> dict[str, str]:
    """Return the pool of each usable host after all moves of the sheet."""
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
