"""Steps of a plan: conditional transactions over the fleet's rows.

A step holds the revisions that its decision was made from as guards.  It
takes effect at most once and only on the rows that it was decided on, so
it may be sent twice, late, or by two drivers.  Who lost its answer reads
the rows again and plans afresh.

Every change of a host that its pool's budget depends on also guards and
writes the pool's row: two planners can't spend the same budget.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

from lycheelug.records import (
    ENTRY_EPOCH_KEY,
    SHEET_KEY,
    HostPhase,
    encode,
    host_key,
    pool_key,
)
from lycheelug.store.interface import ABSENT, Guard, Transaction, Write

if TYPE_CHECKING:
    from lycheelug.fleet import FleetSnapshot, Versioned
    from lycheelug.records import HostRow, PoolRow

__all__ = [
    "CallKind",
    "Change",
    "ChangeKind",
    "PlatformCall",
    "Step",
    "StepBuilder",
]


class ChangeKind(StrEnum):
    """What a step does to a host or a pool."""

    ADOPT = "adopt"
    DROP = "drop"
    ENROL = "enrol"
    DRAIN = "drain"
    RETURN = "return"
    FINISH = "finish"
    BEGIN_MAINTENANCE = "begin-maintenance"
    END_MAINTENANCE = "end-maintenance"
    RETIRE = "retire"
    READDRESS = "readdress"


class Change:
    """One host's or pool's part of a step."""

    __slots__ = ("host", "kind", "pool", "target")

    def __init__(
        self, kind: ChangeKind, pool: str, host: str = "", target: str = ""
    ) -> None:
        self.kind = kind
        self.pool = pool
        self.host = host
        self.target = target

    def __repr__(self) -> str:
        return f"Change({self.kind} {self.pool} {self.host} {self.target})"


class Step:
    """Changes that take effect together if all guards hold."""

    __slots__ = ("changes", "guards", "rows", "zones")

    def __init__(
        self,
        changes: list[Change],
        guards: dict[str, int],
        rows: dict[str, msgspec.Struct | None],
        zones: set[str],
    ) -> None:
        self.changes = changes
        self.guards = guards
        self.rows = rows
        self.zones = zones

    def transaction(self, nonce: str) -> Transaction:
        """Return the step in the platform's terms."""
        guards = [
            Guard(key, revision) for key, revision in self.guards.items()
        ]
        writes = [
            Write(key, encode(row) if row is not None else None)
            for key, row in self.rows.items()
        ]
        return Transaction(guards, writes, nonce)


class CallKind(StrEnum):
    """Requests to the platform's host pool."""

    DRAIN = "drain"
    REBOOT = "reboot"
    RESUME = "resume"


class PlatformCall:
    """A request about a host; right only while its row has the revision."""

    __slots__ = ("host", "kind", "nonce", "revision", "zone")

    def __init__(
        self,
        kind: CallKind,
        host: str,
        zone: str,
        revision: int,
        nonce: str = "",
    ) -> None:
        self.kind = kind
        self.host = host
        self.zone = zone
        self.revision = revision
        self.nonce = nonce


class StepBuilder:
    """Collects the changes of one pool's hosts into one step."""

    __slots__ = ("_fleet", "_now", "_out_of_service", "_pool", "step")

    def __init__(
        self, fleet: FleetSnapshot, pool: Versioned[PoolRow], now: float
    ) -> None:
        self._fleet = fleet
        self._pool = pool
        self._now = now
        self._out_of_service = list(pool.row.out)
        self.step = Step([], {}, {}, set())
        self.step.guards[pool_key(pool.row.name)] = pool.revision

    def drain(self, host: Versioned[HostRow], target: str) -> None:
        """Take a host out of its pool; "" leaves its target open."""
        row = self._updated_row(host, HostPhase.DRAINING, target=target)
        self._out_of_service.append(row.name)
        self.step.guards[SHEET_KEY] = self._fleet.sheet_revision
        self._add_change(host, row, ChangeKind.DRAIN, target)

    def finish_move(self, host: Versioned[HostRow], target: str) -> None:
        """Let a drained host serve its next pool."""
        row = self._updated_row(
            host, HostPhase.SERVING, pool=target, target=""
        )
        self._guard_entries()
        if target != host.row.target:
            self.step.guards[SHEET_KEY] = self._fleet.sheet_revision
        self._mark_in_service(row.name)
        self._add_change(host, row, ChangeKind.FINISH, target)

    def return_to_pool(self, host: Versioned[HostRow]) -> None:
        """Let a draining host serve its old pool on."""
        drained_at = host.row.drained_at
        if host.row.target:
            # Which pool is short is the sheet's matter.
            self.step.guards[SHEET_KEY] = self._fleet.sheet_revision
        else:
            drained_at = self._now
        row = self._updated_row(
            host, HostPhase.SERVING, target="", drained_at=drained_at
        )
        self._mark_in_service(row.name)
        self._add_change(host, row, ChangeKind.RETURN, row.pool)

    def begin_maintenance(self, host: Versioned[HostRow]) -> None:
        """Record that a drained host has left, so that it may reboot."""
        row = self._updated_row(
            host,
            HostPhase.MAINTENANCE,
            list_revision=self._fleet.list_revision,
        )
        self._guard_entries()
        self._add_change(host, row, ChangeKind.BEGIN_MAINTENANCE, "")

    def end_maintenance(self, host: Versioned[HostRow]) -> None:
        """Let a rebooted host serve its pool again."""
        row = self._updated_row(
            host,
            HostPhase.SERVING,
            maintained_at=self._now,
            drained_at=self._now,
            address=self._fleet.address(host.row),
            list_revision=self._fleet.list_revision,
        )
        self._mark_in_service(row.name)
        self._add_change(host, row, ChangeKind.END_MAINTENANCE, row.pool)

    def update_address(self, host: Versioned[HostRow]) -> None:
        """Record the new address of a serving host."""
        row = self._updated_row(
            host,
            HostPhase.SERVING,
            address=self._fleet.address(host.row),
            list_revision=self._fleet.list_revision,
        )
        self._add_change(host, row, ChangeKind.READDRESS, row.pool)

    def retire(self, host: Versioned[HostRow]) -> None:
        """Delete the row of a drained host that is gone."""
        self._guard_entries()
        self._mark_in_service(host.row.name)
        self._add_change(host, None, ChangeKind.RETIRE, "")

    def build(self) -> Step:
        """Return the step, with the pool's row in it."""
        row = msgspec.structs.replace(
            self._pool.row, out=sorted(self._out_of_service)
        )
        self.step.rows[pool_key(row.name)] = row
        return self.step

    def _updated_row(
        self, host: Versioned[HostRow], phase: HostPhase, **fields: object
    ) -> HostRow:
        return msgspec.structs.replace(
            host.row,
            phase=phase,
            epoch=host.row.epoch + 1,
            since=self._now,
            **fields,
        )

    def _guard_entries(self) -> None:
        """Fail if a daemon joined since its absence was read."""
        revision = self._fleet.entry_epoch_revision
        self.step.guards[ENTRY_EPOCH_KEY] = revision or ABSENT

    def _mark_in_service(self, host: str) -> None:
        if host in self._out_of_service:
            self._out_of_service.remove(host)

    def _add_change(
        self,
        host: Versioned[HostRow],
        row: HostRow | None,
        kind: ChangeKind,
        target: str,
    ) -> None:
        key = host_key(host.row.zone, host.row.name)
        self.step.guards[key] = host.revision
        self.step.rows[key] = row
        self.step.zones.add(host.row.zone)
        self.step.changes.append(
            Change(kind, host.row.pool, host.row.name, target)
        )
