"""Finds the pool in which a job is stored."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from lycheelug.jobservice.tables import JOB_PREFIX, decode_job, jobs_table
from lycheelug.logs import log_change

if TYPE_CHECKING:
    from lycheelug.errors import Fault
    from lycheelug.jobservice.interfaces import Configuration, Route
    from lycheelug.jobservice.queue_locations import QueueLocations
    from lycheelug.store.rows import RowSet, RowStore, StoredRow
    from lycheelug.workloads import JobRecord

__all__ = ["JobFinder"]


class JobFinder:
    """Looks for jobs in all pools that their queue has had."""

    __slots__ = (
        "_configuration",
        "_locations",
        "_pools",
        "_pools_of",
        "_store",
    )

    def __init__(self, store: RowStore, locations: QueueLocations) -> None:
        self._store = store
        self._locations = locations
        self._configuration: Configuration | None = None
        # All pools in the configurations seen by this daemon.
        self._pools: set[str] = set()
        # Further pools in which it has found jobs of a queue, by address.
        self._pools_of: dict[str, list[str]] = {}

    def apply_configuration(self, configuration: Configuration) -> None:
        """Record a new configuration and its pools."""
        self._configuration = configuration
        self._pools.update(configuration.pools)
        for address in list(self._pools_of):
            if not configuration.has_address(address):
                del self._pools_of[address]

    def pools_of(self, route: Route) -> list[str]:
        """Return the pools that may have jobs of a queue, its own first."""
        found = [route.pool, *self._locations.pools_of(route)]
        found.extend(self._pools_of.get(route.address, ()))
        return list(dict.fromkeys(found))

    async def read_job(
        self, pool: str, job_id: str
    ) -> Result[StoredRow | None, Fault]:
        """Return the row of a job's submission in a pool, if it is there."""
        read = await self.read_one(jobs_table(pool), pool, JOB_PREFIX + job_id)
        if isinstance(read, Failure):
            return Failure(read.failure())
        return Success(next(iter(read.unwrap().rows), None))

    async def read_one(
        self, table: str, part: str, key: str
    ) -> Result[RowSet, Fault]:
        """Read the row of one key, if it exists."""
        return await self._store.read(table, part, key, key + "\0")

    async def look_elsewhere(
        self, route: Route, job_id: str
    ) -> Result[bool, Fault]:
        """Look for a job beyond the pools that `pools_of` returns.

        Returns whether it returns more pools now.  The queue may have been
        moved since its row was read, and a job that an earlier release has
        stored may be in a pool that isn't in the row.
        """
        known = self.pools_of(route)
        read = await self._locations.refresh_pools(route)
        if isinstance(read, Failure):
            return Failure(read.failure())
        if self.pools_of(route) != known:
            return Success(True)
        for pool in sorted(self._pools.difference(known)):
            found = await self.read_job(pool, job_id)
            if isinstance(found, Failure):
                return Failure(found.failure())
            row = found.unwrap()
            record = decode_job(row.value or b"") if row is not None else None
            if record is None or not self._may_be_of(route, record):
                continue
            self._pools_of.setdefault(route.address, []).append(pool)
            log_change(
                "former-pool-found", job=job_id, queue=route.name, pool=pool
            )
            return Success(True)
        return Success(False)

    def _may_be_of(self, route: Route, record: JobRecord) -> bool:
        """Return whether a route's callers may have sent a job.

        One that an earlier release has stored has no address, and if its
        queue isn't configured any more, any address may have been its own.
        """
        if record.address == route.address or record.queue == route.name:
            return True
        configuration = self._configuration
        if record.address or configuration is None:
            return False
        return configuration.find_queue(record.queue) is None
