"""Adoption of an accepted sheet into the pool rows, and pool shortages.

A sheet is accepted by a write of its single row.  Any driver then adopts
it: it copies each pool's values into the pool's row, where daemons and
budgets read them, and deletes the rows of unused pools.  No planned stop
of a pool's hosts starts before its row has been adopted.
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
    """Return the pool rows to write so that they match the sheet, by name.

    Rows that already hold the sheet's values are left out.  The result also
    has rows for pools that hosts use but that neither the table nor the
    sheet knows.
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
    """Return the pools that hosts belong to or are being moved to."""
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
    """Return the step that creates, updates and deletes pool rows."""
    step = Step([], {SHEET_KEY: fleet.sheet_revision}, {}, set())
    for name, row in rows.items():
        versioned = fleet.pools.get(name)
        key = pool_key(name)
        step.guards[key] = versioned.revision if versioned else ABSENT
        step.rows[key] = row
        step.changes.append(Change(ChangeKind.ADOPT, name))
    if fleet.table_revision < fleet.sheet_revision:
        return step
    # Moves never target a pool that the accepted sheet leaves out.  A view
    # that is complete up to the sheet's row thus shows every host that such
    # a pool still has.
    dropped = set(fleet.pools) - set(sheet.pools) - _used_pools(fleet)
    for name in sorted(dropped):
        key = pool_key(name)
        step.guards[key] = fleet.pools[name].revision
        step.rows[key] = None
        step.changes.append(Change(ChangeKind.DROP, name))
    return step


def _with_spec(row: PoolRow, spec: PoolSpec, revision: int) -> PoolRow:
    """Return a copy of a pool's row with the values of the sheet."""
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
    """Return a blocker for each pool that stays short of hosts in a zone."""
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
