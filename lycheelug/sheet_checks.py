"""Checks whether the fleet can reach the state that a sheet describes.

Each check is registered by name and returns faults.  Budgets are checked
against the final layout, which is found by planning the sheet's moves: it
determines how the pool's hosts are spread over racks.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from lycheelug.moves import final_layout
from lycheelug.registry import Registry
from lycheelug.sheet_faults import SheetFault
from lycheelug.sheet_rows import HOSTS_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.fleet import FleetSnapshot
    from lycheelug.sheet import PoolSpec, Sheet

__all__ = ["SHEET_CHECKS", "check_sheet"]

SHEET_CHECKS: Final[
    Registry[Callable[[Sheet, FleetSnapshot], list[SheetFault]]]
] = Registry("sheet check")


def check_sheet(sheet: Sheet, fleet: FleetSnapshot) -> list[SheetFault]:
    """Return every reason why the fleet can't match the sheet."""
    faults: list[SheetFault] = []
    for name in SHEET_CHECKS:
        faults.extend(SHEET_CHECKS.get(name)(sheet, fleet))
    faults.sort(key=lambda fault: (fault.line, fault.column))
    return faults


@SHEET_CHECKS.register("zones")
def _check_zones(sheet: Sheet, fleet: FleetSnapshot) -> list[SheetFault]:
    """Reject zones without hosts."""
    known = fleet.zones()
    allowed = "a zone with hosts: " + (", ".join(known) or "none")
    faults: list[SheetFault] = []
    reported: set[str] = set()
    for pool in sheet.pools.values():
        for zone in pool.wanted:
            if zone in known or zone in reported:
                continue
            reported.add(zone)
            faults.append(
                _zone_fault(pool, zone, zone, allowed, "correct the heading")
            )
    for window in sheet.windows:
        if not window.zone or window.zone in known:
            continue
        faults.append(
            SheetFault(
                window.line,
                0,
                "zone",
                window.zone,
                allowed,
                "correct the zone, or leave it empty for every zone",
            )
        )
    return faults


@SHEET_CHECKS.register("capacity")
def _check_capacity(sheet: Sheet, fleet: FleetSnapshot) -> list[SheetFault]:
    """Reject sheets that want more hosts in a zone than it has."""
    available = Counter(entry.zone for entry in fleet.usable_workers())
    wanted: Counter[str] = Counter()
    last_pool: dict[str, PoolSpec] = {}
    for pool in sheet.pools.values():
        for zone, hosts in pool.wanted.items():
            wanted[zone] += hosts
            if hosts:
                last_pool[zone] = pool
    faults: list[SheetFault] = []
    known = fleet.zones()
    for zone in sorted(last_pool):
        if zone not in known or wanted[zone] <= available[zone]:
            continue
        faults.append(
            _zone_fault(
                last_pool[zone],
                zone,
                f"{wanted[zone]} hosts in all pools up to this line",
                f"at most {available[zone]}, the hosts in {zone} that are up",
                f"lower the column's sum by {wanted[zone] - available[zone]}",
            )
        )
    return faults


@SHEET_CHECKS.register("budgets")
def _check_budgets(sheet: Sheet, fleet: FleetSnapshot) -> list[SheetFault]:
    """Reject a budget under which some host could never be stopped."""
    racks = _rack_counts(sheet, fleet)
    faults: list[SheetFault] = []
    for pool in sheet.pools.values():
        counts = racks.get(pool.name, Counter())
        total = max(counts.total(), pool.hosts)
        if not total and not pool.min_available:
            continue
        max_budget = total - 1
        if pool.survive_rack:
            max_budget -= _rack_reserve(counts)
        if pool.min_available <= max_budget:
            continue
        rack_clause = ", also if a rack fails" if pool.survive_rack else ""
        faults.append(
            SheetFault(
                pool.line,
                pool.columns.get("min_available", 0),
                "min_available",
                str(pool.min_available),
                f"at most {max(max_budget, 0)}, so that one of the pool's "
                f"{total} hosts can be out for maintenance{rack_clause}",
                "lower the budget, or give the pool more hosts",
            )
        )
    return faults


def _rack_reserve(counts: Counter[str]) -> int:
    """Return how many hosts a rack failure stops while one host is out.

    Every host is maintained in turn, so the worst case is that the host
    that is out is in another rack than the largest.  If the pool is in a
    single rack, the host that is out belongs to that rack.
    """
    if not counts:
        return 0
    largest = max(counts.values())
    return largest - 1 if len(counts) == 1 else largest


def _rack_counts(
    sheet: Sheet, fleet: FleetSnapshot
) -> dict[str, Counter[str]]:
    """Return the hosts of each pool by rack in the sheet's final layout."""
    counts: dict[str, Counter[str]] = {}
    for host, pool in final_layout(sheet, fleet).items():
        entry = fleet.listed[host]
        rack = f"{entry.zone}/{entry.rack}"
        counts.setdefault(pool, Counter())[rack] += 1
    return counts


@SHEET_CHECKS.register("removed-pools")
def _check_removed_pools(
    sheet: Sheet, fleet: FleetSnapshot
) -> list[SheetFault]:
    """Reject sheets without a row for a pool that still has hosts."""
    host_counts: Counter[str] = Counter()
    for versioned in fleet.hosts.values():
        row = versioned.row
        for pool in {row.pool, row.target} - {""}:
            if pool not in sheet.pools:
                host_counts[pool] += 1
    return [
        SheetFault(
            0,
            0,
            "pool",
            f"no row for pool {pool}, which has {host_counts[pool]} hosts",
            "pools without hosts may be left out",
            "list it with 0 hosts first; leave it out once it is empty",
        )
        for pool in sorted(host_counts)
    ]


def _zone_fault(
    pool: PoolSpec, zone: str, found: str, allowed: str, remedy: str
) -> SheetFault:
    heading = HOSTS_PREFIX + zone
    column = pool.columns.get(heading, 0)
    return SheetFault(pool.line, column, heading, found, allowed, remedy)
