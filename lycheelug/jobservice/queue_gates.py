"""Opens and closes pools for the submissions of a queue.

A pool takes a queue's submissions unless a gate row in it says otherwise.  The
row of the queue's address decides.  The row of its name is written in the same
transaction: daemons of an earlier release know only names, and store on
condition of that row alone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from lycheelug.jobservice.queue_rows import (
    GateRecord,
    GateVersions,
    address_gate_name,
    decode_gate,
    encode_row,
    gate_name,
)
from lycheelug.logs import log_change
from lycheelug.store.rows import RowConflict

if TYPE_CHECKING:
    from lycheelug.errors import Fault
    from lycheelug.jobservice.routes import Route
    from lycheelug.store.rows import RowName, RowStore

__all__ = ["QueueGates"]


class _Gate:
    """A gate row as it was read."""

    __slots__ = ("record", "row_version")

    def __init__(self, record: GateRecord, row_version: int) -> None:
        self.record = record
        # 0 if there is no row.
        self.row_version = row_version


class QueueGates:
    """The gate rows of all queues, in the parts of the pools."""

    __slots__ = ("_store",)

    def __init__(self, store: RowStore) -> None:
        self._store = store

    async def close(
        self, pool: str, route: Route, version: int, has_name: bool = True
    ) -> Result[bool, Fault]:
        """Close a former pool of a route's address.

        `version` is that of the configuration by which the address has got
        its current pool.  Unless the route `has_name`, another one has the
        gate of its name.  Returns False if it has to be looked up again.
        """
        name = address_gate_name(pool, route.address)
        read = await self._read(pool, name)
        if isinstance(read, Failure):
            return Failure(read.failure())
        gate = read.unwrap()
        if not gate.record.is_open and gate.record.version >= version:
            return Success(True)
        if gate.row_version and gate.record.version >= version:
            return Success(False)
        named = await self._read(pool, gate_name(pool, route.name))
        if isinstance(named, Failure):
            return Failure(named.failure())
        gates = {name: gate.row_version}
        if has_name and named.unwrap().record.version < version:
            known = named.unwrap().row_version
            gates[gate_name(pool, route.name)] = known
        record = GateRecord(route.name, version, False)
        written = await self._write(pool, gates, record)
        if isinstance(written, Failure):
            return Failure(written.failure())
        return Success(written.unwrap() > 0)

    async def open(
        self,
        route: Route,
        version: int,
        is_doubtful: bool,
        has_name: bool = True,
    ) -> Result[GateVersions | None, Fault]:
        """Open a route's pool, and return the versions of its gates.

        None if it has to be looked up again.  The gate of the name is read
        only if it `is_doubtful` that it was last written with the other one.
        """
        pool = route.pool
        name = address_gate_name(pool, route.address)
        read = await self._read(pool, name)
        if isinstance(read, Failure):
            return Failure(read.failure())
        gate = read.unwrap()
        is_open = gate.record.is_open
        if is_open and not is_doubtful:
            is_paired = gate.record.queue == route.name
            paired = gate.row_version if is_paired else 0
            return Success(GateVersions(paired, gate.row_version))
        if not is_open and gate.record.version >= version:
            return Success(None)
        found = await self._read(pool, gate_name(pool, route.name))
        if isinstance(found, Failure):
            return Failure(found.failure())
        named = found.unwrap()
        is_named_open = named.record.is_open or not has_name
        if not is_named_open and named.record.version >= version:
            return Success(None)
        if is_open and is_named_open:
            return Success(GateVersions(named.row_version, gate.row_version))
        gates = {name: gate.row_version}
        if has_name:
            gates[gate_name(pool, route.name)] = named.row_version
        record = GateRecord(route.name, version, True)
        written = await self._write(pool, gates, record)
        if isinstance(written, Failure):
            return Failure(written.failure())
        stored = written.unwrap()
        if not stored:
            return Success(None)
        known = stored if has_name else named.row_version
        return Success(GateVersions(known, stored))

    async def _read(self, pool: str, name: RowName) -> Result[_Gate, Fault]:
        """Read a gate; without a row that can be read, it is open."""
        read = await self._store.read(
            name.table, pool, name.key, name.key + "\0"
        )
        if isinstance(read, Failure):
            return Failure(read.failure())
        for row in read.unwrap().rows:
            record = decode_gate(row) or GateRecord("", 0, True)
            return Success(_Gate(record, row.version))
        return Success(_Gate(GateRecord("", 0, True), 0))

    async def _write(
        self, pool: str, gates: dict[RowName, int], record: GateRecord
    ) -> Result[int, Fault]:
        """Write gates of a pool; return their version, 0 after a conflict."""
        value = encode_row(record)
        written = await self._store.commit(
            pool, gates, dict.fromkeys(gates, value)
        )
        if isinstance(written, Failure):
            return Failure(written.failure())
        outcome = written.unwrap()
        if isinstance(outcome, RowConflict):
            return Success(0)
        log_change(
            "queue-gate",
            queue=record.queue,
            pool=pool,
            is_open=record.is_open,
            version=record.version,
        )
        return Success(outcome.version)
