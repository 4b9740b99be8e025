"""Steps of a plan: conditional transactions over the fleet's rows.

The guards of a step are the revisions of the rows that it was planned from.
It takes effect at most once and only while these rows are unchanged, so it
may be sent twice, late, or by two drivers.  A driver that gets no answer
reads the rows again and makes a new plan.

Every change of a host that affects the budget of its pool also guards and
writes the pool's row, so two planners can't both spend the same budget.
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
    """Kinds of changes to a host or a pool.

    ADOPT and DROP write or delete a pool's row.  ENROL creates a host's row
    and RETIRE deletes it.  A host's DRAIN is ended by a RETURN to its old
    pool, by FINISH in its next pool, by BEGIN_MAINTENANCE or by RETIRE.
    END_MAINTENANCE puts the host back into service; READDRESS updates its
    address.
    """

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
    """The change of one host or pool within a step."""

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
    """Changes that take effect atomically if all guards hold."""

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
        """Return the step as a transaction on the platform's table."""
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
    """A request about a host, valid while its row has `revision`."""

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
        """Start to drain a host for a move to `target`.

        A target of "" stands for maintenance or removal.
        """
        row = self._updated_row(host, HostPhase.DRAINING, target=target)
        self._out_of_service.append(row.name)
        self.step.guards[SHEET_KEY] = self._fleet.sheet_revision
        self._add_change(host, row, ChangeKind.DRAIN, target)

    def finish_move(self, host: Versioned[HostRow], target: str) -> None:
        """Put a drained host into service in its next pool."""
        row = self._updated_row(
            host, HostPhase.SERVING, pool=target, target=""
        )
        self._guard_entry_epoch()
        if target != host.row.target:
            self.step.guards[SHEET_KEY] = self._fleet.sheet_revision
        self._mark_in_service(row.name)
        self._add_change(host, row, ChangeKind.FINISH, target)

    def return_to_pool(self, host: Versioned[HostRow]) -> None:
        """Put a draining host back into service in its old pool."""
        drained_at = host.row.drained_at
        if host.row.target:
            # The sheet decides which pool needs the host.
            self.step.guards[SHEET_KEY] = self._fleet.sheet_revision
        else:
            drained_at = self._now
        row = self._updated_row(
            host, HostPhase.SERVING, target="", drained_at=drained_at
        )
        self._mark_in_service(row.name)
        self._add_change(host, row, ChangeKind.RETURN, row.pool)

    def begin_maintenance(self, host: Versioned[HostRow]) -> None:
        """Record that a drained host is listed as leaving and may reboot."""
        row = self._updated_row(
            host,
            HostPhase.MAINTENANCE,
            list_revision=self._fleet.list_revision,
        )
        self._guard_entry_epoch()
        self._add_change(host, row, ChangeKind.BEGIN_MAINTENANCE, "")

    def end_maintenance(self, host: Versioned[HostRow]) -> None:
        """Put a rebooted host back into service in its pool."""
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
        """Delete the row of a drained host that the platform removed."""
        self._guard_entry_epoch()
        self._mark_in_service(host.row.name)
        self._add_change(host, None, ChangeKind.RETIRE, "")

    def build(self) -> Step:
        """Add the pool's row to the step and return the step."""
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

    def _guard_entry_epoch(self) -> None:
        """Make the step fail if an entry daemon joined after the snapshot."""
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
