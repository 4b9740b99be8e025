"""Finds the pools of a queue by what is stored, and keeps it in one of them.

Callers know a queue by its address, a host and a path prefix.  The operator
may send an address to another pool, with or without another name.  Its jobs
stay in the pool in which they were stored, so a repeated submission has to be
looked for in all pools that the address has ever had.  A daemon can't know
these by itself: it may have been started later, or not have seen each
configuration.

The row of an address lists its pools, the current one first, with the version
of the configuration that made it the current one.  A submission is stored only
after the pool is in that row.  When a queue moves, a gate in each of its
former pools is closed before the new pool takes submissions (`queue_gates`).
A submission is stored on condition that the pool's gates are as they were when
the queue was last looked up, so nothing is added to a former pool any more,
neither by a daemon with an older configuration nor by a write that takes
effect late.  What was found missing in the former pools therefore stays
missing.

An earlier release knows a queue by its name, and has a row of each name.  An
address without a row gets the pools of its route's name.  In the first
configuration that this daemon sees, it may also be the address of a queue that
the earlier release has stored and that isn't configured any more, so it gets
the pools that have jobs of such queues.  The rows of names are kept up to date
for daemons of that release, and for a queue that is given another address.

A queue that has never moved has no gate rows, and once it was looked up it
needs no reads.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final
from zlib import crc32

from returns.result import Failure, Result, Success

from lycheelug.jobservice.queue_gates import QueueGates
from lycheelug.jobservice.queue_history import QueueHistory, QueuePools
from lycheelug.jobservice.queue_rows import NO_GATES, GateVersions
from lycheelug.logs import log_fault

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

    __slots__ = ("former_pools", "gates", "name", "pool")

    def __init__(
        self,
        pool: str,
        name: str,
        former_pools: tuple[str, ...],
        gates: GateVersions,
    ) -> None:
        # Takes the submissions, under this name of the queue.
        self.pool = pool
        self.name = name
        # May have older jobs, and get no more.
        self.former_pools = former_pools
        # The versions of the pool's gates, a condition of each submission.
        self.gates = gates


class QueueLocations:
    """The locations of the queues that this daemon has looked up."""

    __slots__ = (
        "_changed",
        "_configuration",
        "_doubtful",
        "_gates",
        "_history",
        "_locations",
        "_lock",
        "_pools",
        "_read_versions",
        "_spread_s",
    )

    def __init__(self, store: RowStore, daemon: str = "") -> None:
        self._gates = QueueGates(store)
        self._history = QueueHistory(store)
        self._configuration: Configuration | None = None
        self._changed = asyncio.Event()
        step = crc32(daemon.encode()) % SPREAD_STEPS
        self._spread_s = SPREAD_S * step / SPREAD_STEPS
        self._lock = asyncio.Lock()
        # By address, like what follows.
        self._locations: dict[str, QueueLocation] = {}
        # Those whose gates weren't as they were when they were looked up.
        self._doubtful: set[str] = set()
        # Their pools, by the rows, and the version of the configuration that
        # was in force when they were last read.
        self._pools: dict[str, tuple[str, ...]] = {}
        self._read_versions: dict[str, int] = {}

    def apply_configuration(self, configuration: Configuration) -> None:
        """Look the queues of a new configuration up soon.

        What is known of other addresses is forgotten.
        """
        self._configuration = configuration
        for known in (self._locations, self._pools, self._read_versions):
            for address in list(known):
                if not configuration.has_address(address):
                    del known[address]
        self._doubtful = set(filter(configuration.has_address, self._doubtful))
        self._history.record_configuration(configuration.version)
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
                if not configuration.serves(route):
                    continue
                fault = await self._prepare(route)
                if fault is not None:
                    log_fault("queue-not-read", fault)
                    self._changed.set()
                    await asyncio.sleep(RETRY_S)
                    break

    def has(self, route: Route) -> bool:
        """Return whether a queue's location is known."""
        known = self._locations.get(route.address)
        return (
            known is not None
            and known.pool == route.pool
            and known.name == route.name
        )

    def pools_of(self, route: Route) -> tuple[str, ...]:
        """Return all pools that a queue is known to have had."""
        return self._pools.get(route.address, ())

    def forget(self, route: Route) -> None:
        """Look a queue up again: its gates aren't as they were."""
        self._locations.pop(route.address, None)
        self._doubtful.add(route.address)

    async def refresh_pools(self, route: Route) -> Result[bool, Fault]:
        """Read a queue's row; return whether it lists other pools now."""
        known = self._pools.get(route.address, ())
        read = await self._refresh(route)
        if isinstance(read, Failure):
            return Failure(read.failure())
        if not read.unwrap().pools:
            # An earlier release may have stored its jobs.
            named = await self._history.read_name(route)
            if isinstance(named, Failure):
                return Failure(named.failure())
            self._pools[route.address] = named.unwrap().pools or known
        return Success(self._pools[route.address] != known)

    async def refresh_once(self, route: Route) -> Result[bool, Fault]:
        """Read a queue's row, once for each configuration."""
        if self._read_versions.get(route.address) == self._version:
            return Success(False)
        return await self.refresh_pools(route)

    async def find(
        self, route: Route, known: QueuePools | None = None
    ) -> Result[QueueLocation | None, Fault]:
        """Return where a queue's jobs are stored.

        None if a newer configuration has moved the queue elsewhere, or
        others change its rows all the time.  `known` is the address's row if
        it was just read.
        """
        if self.has(route):
            return Success(self._locations[route.address])
        configuration = self._configuration
        if configuration is None:
            return Success(None)
        async with self._lock:
            for _ in range(ATTEMPTS_MAX):
                result = await self._look_up(route, configuration, known)
                if isinstance(result, Failure):
                    return result
                location, is_final = result.unwrap()
                if location is not None:
                    self._locations[route.address] = location
                if is_final:
                    return Success(location)
                known = None
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
        read = await self._refresh(route)
        if isinstance(read, Failure):
            fault = read.failure()
            return fault
        pools = self.pools_of(route)
        if pools and pools[0] != route.pool:
            return None
        found = await self.find(route, read.unwrap())
        if isinstance(found, Failure):
            fault = found.failure()
            return fault
        return None

    async def _refresh(self, route: Route) -> Result[QueuePools, Fault]:
        """Read an address's row, and record its pools."""
        version = self._version
        read = await self._history.read_address(route)
        if isinstance(read, Failure):
            return Failure(read.failure())
        queue = read.unwrap()
        known = self._pools.get(route.address, ())
        self._pools[route.address] = queue.pools or known
        self._read_versions[route.address] = version
        return Success(queue)

    async def _look_up(
        self,
        route: Route,
        configuration: Configuration,
        known: QueuePools | None,
    ) -> Result[tuple[QueueLocation | None, bool], Fault]:
        """Look a queue up once; also return whether the result is final."""
        queue = known
        if queue is None:
            read = await self._history.read_address(route)
            if isinstance(read, Failure):
                return Failure(read.failure())
            queue = read.unwrap()
        is_doubtful = route.address in self._doubtful
        if is_doubtful or not queue.is_of(route, configuration.version):
            renewed = await self._history.renew(route, queue, configuration)
            if isinstance(renewed, Failure):
                return Failure(renewed.failure())
            renewal = renewed.unwrap()
            if renewal.queue is None:
                return Success((None, False))
            queue = renewal.queue
            if renewal.has_moved_on:
                self._pools[route.address] = queue.pools
                return Success((None, True))
            is_doubtful = is_doubtful or len(queue.pools) > 1
        self._pools[route.address] = queue.pools
        former = queue.pools[1:]
        has_name = configuration.names(route)
        for pool in former:
            closed = await self._gates.close(
                pool, route, queue.version, has_name
            )
            if isinstance(closed, Failure):
                return Failure(closed.failure())
            if not closed.unwrap():
                return Success((None, False))
        gates: GateVersions | None = NO_GATES
        if former or is_doubtful:
            opened = await self._gates.open(
                route, queue.version, is_doubtful, has_name
            )
            if isinstance(opened, Failure):
                return Failure(opened.failure())
            gates = opened.unwrap()
        if gates is None:
            return Success((None, False))
        location = QueueLocation(route.pool, route.name, former, gates)
        return Success((location, True))
