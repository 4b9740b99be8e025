"""Finds the pools of a queue by what is stored, and keeps it in one of them.

The operator may route a queue to another pool.  Its jobs stay in the pool in
which they were stored, so a repeated submission has to be looked for in all
pools that the queue has ever had.  A daemon can't know these by itself: it may
have been started later, or not have seen each configuration.

The row of a queue lists its pools, the current one first, with the version of
the configuration that made it the current one.  A submission is stored only
after the pool is in that row.  When a queue moves, a gate row in each of its
former pools is closed before the new pool takes submissions.  A submission is
stored on condition that the pool's gate is as it was when the queue was last
looked up, so nothing is added to a former pool any more, neither by a daemon
with an older configuration nor by a write that takes effect late.  What was
found missing in the former pools therefore stays missing.

A queue that has never moved has no gate row, and once it was looked up it
needs no reads.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final
from zlib import crc32

from returns.result import Failure, Result, Success

from lycheelug.jobservice.queue_rows import (
    QUEUES_PART,
    QUEUES_TABLE,
    GateRecord,
    QueueRecord,
    decode_gate,
    decode_queue,
    encode_row,
    gate_name,
    queue_name,
)
from lycheelug.logs import log_change, log_fault
from lycheelug.store.rows import RowConflict, StoredRow

if TYPE_CHECKING:
    from lycheelug.errors import Fault
    from lycheelug.jobservice.interfaces import Configuration, Route
    from lycheelug.store.rows import RowStore

__all__ = ["QueueLocation", "QueueLocations"]

# How often a look-up is repeated after conflicts with other daemons.
ATTEMPTS_MAX: Final = 5
# The queues that are looked up before their first submission, so that this
# daemon can pass submissions on if it loses the store.
QUEUES_MAX: Final = 40
# Daemons look them up within this time, so that most of them find the rows
# that the first ones have written.
SPREAD_S: Final = 0.5
SPREAD_STEPS: Final = 1000
RETRY_S: Final = 1.0


class QueueLocation:
    """Where the jobs of a queue are stored."""

    __slots__ = ("former_pools", "gate_version", "pool")

    def __init__(
        self, pool: str, former_pools: tuple[str, ...], gate_version: int
    ) -> None:
        # Takes the submissions.
        self.pool = pool
        # May have older jobs, and get no more.
        self.former_pools = former_pools
        # The version of the pool's gate row, a condition of each submission;
        # 0 if there is none.
        self.gate_version = gate_version


class _Queue:
    """The row of a queue as it was last read."""

    __slots__ = ("pools", "row_version", "version")

    def __init__(
        self, row_version: int, version: int, pools: tuple[str, ...]
    ) -> None:
        # 0 if there is no row.
        self.row_version = row_version
        # The version of the configuration that has made the first pool the
        # current one.
        self.version = version
        self.pools = pools


class QueueLocations:
    """The locations of the queues that this daemon has looked up."""

    __slots__ = (
        "_changed",
        "_configuration",
        "_gated",
        "_locations",
        "_lock",
        "_pools",
        "_read_versions",
        "_spread_s",
        "_store",
    )

    def __init__(self, store: RowStore, daemon: str = "") -> None:
        self._store = store
        self._configuration: Configuration | None = None
        self._changed = asyncio.Event()
        step = crc32(daemon.encode()) % SPREAD_STEPS
        self._spread_s = SPREAD_S * step / SPREAD_STEPS
        self._lock = asyncio.Lock()
        self._locations: dict[str, QueueLocation] = {}
        # Queues whose pool has a gate row, or may have one.
        self._gated: set[str] = set()
        # The pools of each queue, by its row, and the version of the
        # configuration that was in force when the row was last read.
        self._pools: dict[str, tuple[str, ...]] = {}
        self._read_versions: dict[str, int] = {}

    def apply_configuration(self, configuration: Configuration) -> None:
        """Look the queues of a new configuration up soon."""
        self._configuration = configuration
        self._changed.set()

    async def run(self) -> None:
        """Look up the first queues of each configuration until cancelled.

        The others, and those that have moved, are looked up with their first
        submission.
        """
        while True:
            await self._changed.wait()
            await asyncio.sleep(self._spread_s)
            self._changed.clear()
            configuration = self._configuration
            if configuration is None:
                continue
            for route in configuration.routes[:QUEUES_MAX]:
                fault = await self._prepare(route)
                if fault is not None:
                    log_fault("queue-not-read", fault)
                    self._changed.set()
                    await asyncio.sleep(RETRY_S)
                    break

    def has(self, route: Route) -> bool:
        """Return whether a queue's location is known."""
        known = self._locations.get(route.name)
        return known is not None and known.pool == route.pool

    def pools_of(self, queue: str) -> tuple[str, ...]:
        """Return all pools that a queue is known to have had."""
        return self._pools.get(queue, ())

    def forget(self, queue: str) -> None:
        """Look a queue up again: its gate isn't as it was."""
        self._locations.pop(queue, None)
        self._gated.add(queue)

    async def refresh_pools(self, queue: str) -> Result[bool, Fault]:
        """Read a queue's row; return whether it lists other pools now."""
        version = self._version
        read = await self._read_queue(queue)
        if isinstance(read, Failure):
            return Failure(read.failure())
        known = self._pools.get(queue, ())
        pools = read.unwrap().pools
        self._pools[queue] = pools or known
        self._read_versions[queue] = version
        return Success(self._pools[queue] != known)

    async def refresh_once(self, queue: str) -> Result[bool, Fault]:
        """Read a queue's row, once for each configuration."""
        if self._read_versions.get(queue) == self._version:
            return Success(False)
        return await self.refresh_pools(queue)

    async def find(self, route: Route) -> Result[QueueLocation | None, Fault]:
        """Return where a queue's jobs are stored.

        None if a newer configuration has moved the queue elsewhere, or
        others change its rows all the time.
        """
        if self.has(route):
            return Success(self._locations[route.name])
        version = self._version
        async with self._lock:
            for _ in range(ATTEMPTS_MAX):
                result = await self._look_up(route, version)
                if isinstance(result, Failure):
                    return result
                location, is_final = result.unwrap()
                if location is not None:
                    self._locations[route.name] = location
                if is_final:
                    return Success(location)
        return Success(None)

    # --- Implementation.

    @property
    def _version(self) -> int:
        """The version of the configuration in force; 0 for none."""
        known = self._configuration
        return known.version if known is not None else 0

    async def _prepare(self, route: Route) -> Fault | None:
        """Look up a queue, unless it has moved; return why that failed."""
        if self.has(route):
            return None
        fault: Fault
        read = await self.refresh_once(route.name)
        if isinstance(read, Failure):
            fault = read.failure()
            return fault
        pools = self.pools_of(route.name)
        if pools and pools[0] != route.pool:
            return None
        found = await self.find(route)
        if isinstance(found, Failure):
            fault = found.failure()
            return fault
        return None

    async def _look_up(
        self, route: Route, version: int
    ) -> Result[tuple[QueueLocation | None, bool], Fault]:
        """Look a queue up once; also return whether the result is final."""
        read = await self._read_queue(route.name)
        if isinstance(read, Failure):
            return Failure(read.failure())
        queue = read.unwrap()
        if not queue.pools or queue.pools[0] != route.pool:
            if queue.pools and queue.version >= version:
                self._pools[route.name] = queue.pools
                log_change(
                    "queue-moved-on",
                    queue=route.name,
                    version=version,
                    moved_by=queue.version,
                    pool=queue.pools[0],
                )
                return Success((None, True))
            stored = await self._store_queue(route, queue, version)
            if isinstance(stored, Failure):
                return Failure(stored.failure())
            # The row is read again, with its new version.
            return Success((None, False))
        self._pools[route.name] = queue.pools
        former = queue.pools[1:]
        for pool in former:
            closed = await self._set_gate(pool, route.name, queue, False)
            if isinstance(closed, Failure):
                return Failure(closed.failure())
            if closed.unwrap() is None:
                return Success((None, False))
        gate_version: int | None = 0
        if former or route.name in self._gated:
            opened = await self._set_gate(route.pool, route.name, queue, True)
            if isinstance(opened, Failure):
                return Failure(opened.failure())
            gate_version = opened.unwrap()
        if gate_version is None:
            return Success((None, False))
        return Success((QueueLocation(route.pool, former, gate_version), True))

    async def _set_gate(
        self, pool: str, name: str, queue: _Queue, is_open: bool
    ) -> Result[int | None, Fault]:
        """Open or close a pool for a queue, as its row says.

        Returns the version of the gate's row, 0 if there is none, or None if
        the queue has to be looked up again.
        """
        gate = gate_name(pool, name)
        read = await self._store.read(
            gate.table, pool, gate.key, gate.key + "\0"
        )
        if isinstance(read, Failure):
            return Failure(read.failure())
        row = next(iter(read.unwrap().rows), None)
        # Without a row, a pool is open.
        record = GateRecord(name, 0, True)
        if row is not None:
            record = decode_gate(row) or record
        if record.is_open is is_open and (
            is_open or record.version >= queue.version
        ):
            return Success(row.version if row is not None else 0)
        if row is not None and record.version >= queue.version:
            return Success(None)
        known = row.version if row is not None else 0
        value = encode_row(GateRecord(name, queue.version, is_open))
        written = await self._store.commit(pool, {gate: known}, {gate: value})
        if isinstance(written, Failure):
            return Failure(written.failure())
        outcome = written.unwrap()
        if isinstance(outcome, RowConflict):
            return Success(None)
        log_change(
            "queue-gate",
            queue=name,
            pool=pool,
            is_open=is_open,
            version=queue.version,
        )
        return Success(outcome.version)

    async def _read_queue(self, name: str) -> Result[_Queue, Fault]:
        """Read the row of one queue."""
        key = queue_name(name).key
        read = await self._store.read(
            QUEUES_TABLE, QUEUES_PART, key, key + "\0"
        )
        if isinstance(read, Failure):
            return Failure(read.failure())
        for row in read.unwrap().rows:
            return Success(_to_queue(row))
        return Success(_Queue(0, 0, ()))

    async def _store_queue(
        self, route: Route, queue: _Queue, version: int
    ) -> Result[None, Fault]:
        """Make a route's pool the current one of its queue, if it can be."""
        others = [each for each in queue.pools if each != route.pool]
        record = QueueRecord(route.name, version, [route.pool, *others])
        row = queue_name(route.name)
        written = await self._store.commit(
            QUEUES_PART, {row: queue.row_version}, {row: encode_row(record)}
        )
        if isinstance(written, Failure):
            return Failure(written.failure())
        if not isinstance(written.unwrap(), RowConflict):
            log_change(
                "queue-stored",
                queue=route.name,
                version=version,
                pools=record.pools,
            )
        return Success(None)


def _to_queue(row: StoredRow) -> _Queue:
    """Convert a queue's row; one that can't be read lists no pools."""
    record = decode_queue(row)
    if record is None:
        return _Queue(row.version, 0, ())
    return _Queue(row.version, record.version, tuple(record.pools))
