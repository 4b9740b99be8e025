"""The rows that list the pools which addresses and names have had."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from lycheelug.jobservice.queue_rows import (
    QUEUES_PART,
    QUEUES_TABLE,
    QueueRecord,
    address_name,
    decode_queue,
    encode_row,
    queue_name,
)
from lycheelug.jobservice.tables import JOB_PREFIX, decode_job, jobs_table
from lycheelug.logs import log_change
from lycheelug.store.rows import RowConflict, StoredRow

if TYPE_CHECKING:
    from lycheelug.errors import Fault
    from lycheelug.jobservice.interfaces import Configuration, Route
    from lycheelug.store.rows import RowName, RowStore

__all__ = ["QueueHistory", "QueuePools", "Renewal"]


class QueuePools:
    """The row of an address or of a name as it was last read."""

    __slots__ = ("name", "pools", "row_version", "version")

    def __init__(
        self, row_version: int, version: int, pools: list[str], name: str
    ) -> None:
        # 0 if there is no row.
        self.row_version = row_version
        # The version of the configuration that has made the first pool the
        # current one.
        self.version = version
        self.pools = tuple(pools)
        # The route's name in that configuration.
        self.name = name

    def is_of(self, route: Route, version: int) -> bool:
        """Return whether it is what a route of some configuration needs."""
        if self.pools[:1] != (route.pool,):
            return False
        return self.name == route.name or self.version >= version

    def is_newer(self, route: Route, version: int) -> bool:
        """Return whether a newer configuration has moved it elsewhere."""
        has_moved = bool(self.pools) and self.pools[0] != route.pool
        return has_moved and self.version >= version


class Renewal:
    """What became of making a route's pool the current one."""

    __slots__ = ("has_moved_on", "queue")

    def __init__(
        self, queue: QueuePools | None, has_moved_on: bool = False
    ) -> None:
        # The pools of the address; None if they have to be read again.
        self.queue = queue
        # Whether a newer configuration has moved the address, or the name,
        # elsewhere; `queue` has the pools of the address then.
        self.has_moved_on = has_moved_on


class QueueHistory:
    """The pools of all queues, as they are stored."""

    __slots__ = ("_first_version", "_store", "_unknown_pools")

    def __init__(self, store: RowStore) -> None:
        self._store = store
        # The pools with jobs whose addresses aren't known, once looked up.
        self._unknown_pools: tuple[str, ...] | None = None
        # The first configuration that this daemon has seen.
        self._first_version: int | None = None

    def record_configuration(self, version: int) -> None:
        """Record the version of a configuration that this daemon has seen."""
        if self._first_version is None:
            self._first_version = version

    async def read_address(self, route: Route) -> Result[QueuePools, Fault]:
        """Read the pools of a route's address."""
        return await self._read(address_name(route.address))

    async def read_name(self, route: Route) -> Result[QueuePools, Fault]:
        """Read the pools of a route's name."""
        return await self._read(queue_name(route.name))

    async def renew(
        self,
        route: Route,
        queue: QueuePools,
        configuration: Configuration,
    ) -> Result[Renewal, Fault]:
        """Make a route's pool the current one of its address and name.

        `queue` is the address's row as it was last read.  If several routes
        have the name, its row is that of the first one.
        """
        version = configuration.version
        read = await self.read_name(route)
        if isinstance(read, Failure):
            return Failure(read.failure())
        named = read.unwrap()
        has_name = configuration.names(route)
        for each in (queue, named) if has_name else (queue,):
            if each.is_newer(route, version):
                log_change(
                    "queue-moved-on",
                    queue=route.name,
                    address=route.address,
                    version=version,
                    moved_by=each.version,
                    pool=each.pools[0],
                )
                found = queue if queue.pools else named
                return Success(Renewal(found, has_moved_on=True))
        earlier = queue.pools
        if not earlier:
            unknown = await self._pools_of_unknown_names(configuration)
            if isinstance(unknown, Failure):
                return Failure(unknown.failure())
            earlier = unknown.unwrap()
            if has_name:
                earlier = (*named.pools, *earlier)
        records: dict[RowName, tuple[QueuePools, QueueRecord]] = {}
        if not queue.is_of(route, version):
            records[address_name(route.address)] = (
                queue,
                _record(route, version, earlier),
            )
        is_named = named.is_of(route, version) and bool(queue.pools)
        if has_name and not is_named:
            records[queue_name(route.name)] = (
                named,
                _record(route, version, named.pools),
            )
        if not records:
            return Success(Renewal(queue))
        written = await self._store.commit(
            QUEUES_PART,
            {name: row.row_version for name, (row, _) in records.items()},
            {name: encode_row(each) for name, (_, each) in records.items()},
        )
        if isinstance(written, Failure):
            return Failure(written.failure())
        outcome = written.unwrap()
        if isinstance(outcome, RowConflict):
            return Success(Renewal(None))
        log_change(
            "queue-stored",
            queue=route.name,
            address=route.address,
            version=version,
            pools=[each.pools for _, each in records.values()],
        )
        stored = records.get(address_name(route.address))
        if stored is not None:
            queue = _to_queue(stored[1], outcome.version)
        return Success(Renewal(queue))

    async def _pools_of_unknown_names(
        self, configuration: Configuration
    ) -> Result[tuple[str, ...], Fault]:
        """Return the pools with jobs of queues whose addresses aren't known.

        An earlier release has stored them, and their names aren't configured
        any more.  They are looked for once, as addresses that a later
        configuration adds are new.
        """
        if configuration.version != self._first_version:
            return Success(())
        if self._unknown_pools is not None:
            return Success(self._unknown_pools)
        read = await self._store.read(QUEUES_TABLE, QUEUES_PART)
        if isinstance(read, Failure):
            return Failure(read.failure())
        names: set[str] = set()
        pools: dict[str, None] = {}
        for row in read.unwrap().rows:
            record = decode_queue(row)
            if record is None or record.address:
                continue
            if configuration.find_queue(record.queue) is None:
                names.add(record.queue)
                pools.update(dict.fromkeys(record.pools))
        found: list[str] = []
        for pool in pools:
            has_jobs = await self._has_jobs(pool, names)
            if isinstance(has_jobs, Failure):
                return Failure(has_jobs.failure())
            if has_jobs.unwrap():
                found.append(pool)
        self._unknown_pools = tuple(found)
        return Success(self._unknown_pools)

    async def _has_jobs(
        self, pool: str, names: set[str]
    ) -> Result[bool, Fault]:
        """Return whether a pool has jobs of queues with some names."""
        end = JOB_PREFIX[:-1] + chr(ord(JOB_PREFIX[-1]) + 1)
        read = await self._store.read(jobs_table(pool), pool, JOB_PREFIX, end)
        if isinstance(read, Failure):
            return Failure(read.failure())
        for row in read.unwrap().rows:
            record = decode_job(row.value or b"")
            if record is not None and record.queue in names:
                return Success(True)
        return Success(False)

    async def _read(self, name: RowName) -> Result[QueuePools, Fault]:
        """Read the row of an address or of a name."""
        read = await self._store.read(
            name.table, QUEUES_PART, name.key, name.key + "\0"
        )
        if isinstance(read, Failure):
            return Failure(read.failure())
        for row in read.unwrap().rows:
            return Success(_read_queue(row))
        return Success(QueuePools(0, 0, [], ""))


def _record(route: Route, version: int, pools: tuple[str, ...]) -> QueueRecord:
    """Return a record that makes a route's pool the current one."""
    ordered = list(dict.fromkeys([route.pool, *pools]))
    return QueueRecord(route.name, version, ordered, route.address)


def _to_queue(record: QueueRecord, row_version: int) -> QueuePools:
    """Convert a record of a row."""
    return QueuePools(row_version, record.version, record.pools, record.queue)


def _read_queue(row: StoredRow) -> QueuePools:
    """Convert a queue's row; one that can't be read lists no pools."""
    record = decode_queue(row)
    if record is None:
        return QueuePools(row.version, 0, [], "")
    return _to_queue(record, row.version)
