"""Pool rows: the sheet's wishes are written into them, old ones dropped.

A sheet is accepted by writing its one row.  Any driver then adopts it into
the pool rows, where daemons and budgets read it; a pool's hosts start no
planned stop before its row is adopted.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from lycheelug.blockers import Blocker, BlockerKind
from lycheelug.moves import assigned_pool
from lycheelug.records import SHEET_KEY, PoolRow, pool_key
from lycheelug.sheet import PoolSpec
from lycheelug.steps import Change, ChangeKind, Step
from lycheelug.store.interface import ABSENT

if TYPE_CHECKING:
    from lycheelug.fleet import FleetSnapshot
    from lycheelug.moves import Move
    from lycheelug.sheet import Sheet

__all__ = ["adoption_step", "pools_to_adopt", "shortages"]


def pools_to_adopt(fleet: FleetSnapshot, sheet: Sheet) -> dict[str, PoolRow]:
    """Return the pool rows to write, by name, so that they say the same.

    Rows that hold the sheet's wishes already are not written again.
    """
    rows: dict[str, PoolRow] = {}
    used = _used_pools(fleet)
    for name in sorted(used | set(sheet.pools)):
        versioned = fleet.pools.get(name)
        spec = sheet.pools.get(name)
        if versioned is not None and spec is None:
            continue
        row = versioned.row if versioned is not None else PoolRow(name)
        desired = _with_spec(row, spec or PoolSpec(name), fleet.sheet_revision)
        if versioned is None or _needs_adoption(row, desired):
            rows[name] = desired
    return rows


def _used_pools(fleet: FleetSnapshot) -> set[str]:
    """Return the pools that hosts belong to or are sent to."""
    used: set[str] = set()
    for host in fleet.hosts.values():
        used.update((host.row.pool, assigned_pool(host.row)))
    return used


def _needs_adoption(row: PoolRow, desired: PoolRow) -> bool:
    comparable = msgspec.structs.replace(
        desired, sheet_revision=row.sheet_revision
    )
    return row != comparable


def adoption_step(
    fleet: FleetSnapshot, sheet: Sheet, rows: dict[str, PoolRow]
) -> Step:
    """Return the step that writes, creates and drops pool rows."""
    step = Step([], {SHEET_KEY: fleet.sheet_revision}, {}, set())
    for name, row in rows.items():
        versioned = fleet.pools.get(name)
        key = pool_key(name)
        step.guards[key] = versioned.revision if versioned else ABSENT
        step.rows[key] = row
        step.changes.append(Change(ChangeKind.ADOPT, name))
    if fleet.table_revision < fleet.sheet_revision:
        return step
    # No host is sent to a pool that the accepted sheet left out, so a view
    # that is complete up to the sheet's row shows all of the pool's hosts.
    dropped = set(fleet.pools) - set(sheet.pools) - _used_pools(fleet)
    for name in sorted(dropped):
        key = pool_key(name)
        step.guards[key] = fleet.pools[name].revision
        step.rows[key] = None
        step.changes.append(Change(ChangeKind.DROP, name))
    return step


def _with_spec(row: PoolRow, spec: PoolSpec, revision: int) -> PoolRow:
    """Return a pool's row with the sheet's wishes in it."""
    return msgspec.structs.replace(
        row,
        min_available=spec.min_available,
        survive_rack=spec.survive_rack,
        spare=spec.spare,
        slots=spec.slots,
        connections=spec.connections,
        weight=spec.weight,
        wanted=dict(spec.wanted),
        quotas=dict(spec.quotas),
        sheet_revision=revision,
    )


def shortages(
    fleet: FleetSnapshot, sheet: Sheet, placement: list[Move]
) -> list[Blocker]:
    """Return the pools that stay short of hosts after all moves."""
    counts: Counter[tuple[str, str]] = Counter()
    moved = {move.host: move.target for move in placement}
    for entry in fleet.usable_workers():
        pool = moved.get(entry.name, "")
        if not pool and entry.name in fleet.hosts:
            pool = assigned_pool(fleet.hosts[entry.name].row)
        counts[pool, entry.zone] += 1
    blockers: list[Blocker] = []
    for pool, spec in sorted(sheet.pools.items()):
        for zone, wanted in sorted(spec.wanted.items()):
            shortage = wanted - counts[pool, zone]
            if shortage <= 0:
                continue
            blockers.append(
                Blocker(
                    BlockerKind.SHORTAGE,
                    f"pool {pool}",
                    (zone,),
                    f"{shortage} hosts are missing in zone {zone}",
                )
            )
    return blockers
