"""The operator's configuration: routes to queues, and pools.

A queue is what callers reach at an address, a host and a path prefix.  The
operator may give its route another name or send it to another pool; the jobs
that were accepted at the address stay those of its callers.
"""

from __future__ import annotations

from copy import copy
from typing import TYPE_CHECKING

from lycheelug.tenants import TenantDirectory

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheelug.workloads import HintTiming, JobRecord

__all__ = ["Configuration", "PoolPolicy", "Route"]


class Route:
    """The address and the scheduling policy of a queue."""

    __slots__ = (
        "has_policy",
        "hint_timing",
        "host",
        "is_public",
        "max_attempts",
        "name",
        "needs_placement_hint",
        "objective_s",
        "path_prefix",
        "pool",
        "priority",
        "stretch",
    )

    def __init__(
        self,
        name: str,
        host: str,
        path_prefix: str,
        pool: str,
        priority: int,
        max_attempts: int,
        stretch: float,
        objective_s: float,
        needs_placement_hint: bool,
        is_public: bool = False,
        hint_timing: HintTiming | None = None,
    ) -> None:
        self.name = name
        # The host name in the request; empty for any.
        self.host = host
        self.path_prefix = path_prefix
        self.pool = pool
        self.priority = priority
        self.max_attempts = max_attempts
        self.stretch = stretch
        self.objective_s = objective_s
        # Whether tasks start only on executors that the placement hint
        # service permits.
        self.needs_placement_hint = needs_placement_hint
        self.hint_timing = hint_timing
        # Whether its calls need no key of a tenant.
        self.is_public = is_public
        # Otherwise its policy can't be read, and its values are defaults.
        self.has_policy = True

    @property
    def address(self) -> str:
        """What callers know of the queue: host and path prefix.

        >>> Route.without_policy("r-1f", "a.example", "/q/", "p").address
        'a.example/q/'
        """
        return self.host + self.path_prefix

    @classmethod
    def without_policy(
        cls, name: str, host: str, path_prefix: str, pool: str
    ) -> Route:
        """Return the route of a queue whose policy can't be read.

        Its jobs can be asked for and cancelled, but none is accepted.
        """
        route = cls(name, host, path_prefix, pool, 0, 1, 1.0, 1.0, False)
        route.has_policy = False
        return route

    def at(self, host: str, path_prefix: str, pool: str) -> Route:
        """Return a route to the same queue from elsewhere."""
        route = copy(self)
        route.host = host
        route.path_prefix = path_prefix
        route.pool = pool
        return route


class PoolPolicy:
    """The configuration of a pool."""

    __slots__ = ("is_standby", "name", "rejects_overload")

    def __init__(
        self,
        name: str,
        is_standby: bool = False,
        rejects_overload: bool = False,
    ) -> None:
        self.name = name
        # Its hosts are powered off and cost nothing.
        self.is_standby = is_standby
        # Its executors reject runs that exceed their capacity.
        self.rejects_overload = rejects_overload


class Configuration:
    """One version of the configuration; a higher one replaces it."""

    __slots__ = (
        "_by_address",
        "_by_name",
        "pools",
        "routes",
        "tenants",
        "version",
    )

    def __init__(
        self,
        version: int,
        routes: Sequence[Route],
        pools: Sequence[PoolPolicy],
        tenants: TenantDirectory | None = None,
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.pools = {pool.name: pool for pool in pools}
        self.tenants = tenants or TenantDirectory()
        # The first route of each name and address serves it.
        self._by_name: dict[str, Route] = {}
        self._by_address: dict[str, Route] = {}
        for route in self.routes:
            self._by_name.setdefault(route.name, route)
            self._by_address.setdefault(route.address, route)

    @property
    def served_pools(self) -> list[str]:
        """The pools that have an owner."""
        pools = self.pools.values()
        return [pool.name for pool in pools if not pool.is_standby]

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        best: Route | None = None
        for route in self.routes:
            if route.host and route.host != host:
                continue
            if not path.startswith(route.path_prefix):
                continue
            if best is None or len(route.path_prefix) > len(best.path_prefix):
                best = route
        return best

    def find_queue(self, name: str) -> Route | None:
        """Return the route of the queue with a name."""
        return self._by_name.get(name)

    def names(self, route: Route) -> bool:
        """Return whether a route is the only or first one of its name."""
        known = self._by_name.get(route.name)
        return known is None or known.address == route.address

    def has_address(self, address: str) -> bool:
        """Return whether any route has an address."""
        return address in self._by_address

    def serves(self, route: Route) -> bool:
        """Return whether a route gets the calls at its address."""
        return self._by_address.get(route.address) is route

    def find_queue_of(self, record: JobRecord) -> Route | None:
        """Return the route that serves the callers of an accepted job.

        That is the one at the address at which the job was accepted, whatever
        its name.  Without one, or for a job of an earlier release, it is the
        one with the name of the job's queue.
        """
        found: Route | None = None
        if record.address:
            found = self._by_address.get(record.address)
        return found or self._by_name.get(record.queue)
