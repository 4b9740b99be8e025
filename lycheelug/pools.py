"""The schedulers of all pools that a daemon serves.

Created, reconfigured and removed as the daemon's view of the fleet changes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.admission import QUEUES, QueueSettings
from lycheelug.dispatch import CHOICES
from lycheelug.scheduler import PoolScheduler
from lycheelug.slots import SHARES, IdleReport, ShareSettings
from lycheelug.upstreams.executors import ExecutorSet

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from lycheelug.entries.messages import Digest, PoolLoad
    from lycheelug.leaving import LeavingHosts
    from lycheelug.records import HostRow, PoolRow
    from lycheelug.settings import Settings

__all__ = ["PoolTable"]


class _PoolConfig:
    """The settings that a scheduler was last configured with."""

    __slots__ = ("max_queued", "min_available", "quotas", "slots")

    def __init__(
        self,
        slots: int,
        min_available: int,
        max_queued: int,
        quotas: dict[str, float],
    ) -> None:
        self.slots = slots
        self.min_available = min_available
        self.max_queued = max_queued
        self.quotas = quotas

    def equals(self, other: _PoolConfig) -> bool:
        """Whether all settings are equal."""
        has_same_sizes = (
            self.slots == other.slots
            and self.min_available == other.min_available
        )
        has_same_queue = self.max_queued == other.max_queued
        return (
            has_same_sizes and has_same_queue and self.quotas == other.quotas
        )


class PoolTable:
    """One scheduler for each pool in the view."""

    __slots__ = (
        "_clock",
        "_configs",
        "_is_stopped",
        "_leaving",
        "_rng",
        "_schedulers",
        "_settings",
    )

    def __init__(
        self,
        settings: Settings,
        leaving: LeavingHosts,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._leaving = leaving
        self._rng = rng
        self._clock = clock
        self._is_stopped = False
        self._schedulers: dict[str, PoolScheduler] = {}
        # The settings that each scheduler was last configured with.
        self._configs: dict[str, _PoolConfig] = {}

    @property
    def names(self) -> list[str]:
        """The names of the pools."""
        return sorted(self._schedulers)

    def get(self, pool: str) -> PoolScheduler | None:
        """Return a pool's scheduler, or None."""
        return self._schedulers.get(pool)

    def all(self) -> list[PoolScheduler]:
        """Return all schedulers."""
        return list(self._schedulers.values())

    def update_pool(self, row: PoolRow, hosts: Sequence[HostRow]) -> None:
        """Apply a pool's row and the list of hosts that serve it."""
        if self._is_stopped:
            return
        quotas = {each.name: each.share for each in self._settings.tenants}
        quotas.update(row.quotas)
        max_queued = self._settings.limits.max_queued
        config = _PoolConfig(row.slots, row.min_available, max_queued, quotas)
        scheduler = self._schedulers.get(row.name)
        if scheduler is None:
            scheduler = self._make_scheduler(row, quotas)
            self._schedulers[row.name] = scheduler
            self._configs[row.name] = config
        elif not self._configs[row.name].equals(config):
            self._reconfigure(scheduler, row, quotas)
            self._configs[row.name] = config
        scheduler.executors.update_hosts(hosts, self._clock())
        scheduler.start_waiting()

    def drop_pool(self, name: str) -> None:
        """Remove a pool's hosts, and the pool once it has no requests."""
        scheduler = self._schedulers.get(name)
        if scheduler is None:
            return
        scheduler.executors.update_hosts([], self._clock())
        if scheduler.queued or scheduler.executors.in_flight:
            return
        del self._schedulers[name]
        del self._configs[name]

    def update_shares(self, own_name: str, peers: Sequence[Digest]) -> None:
        """Divide the executors' slots among the live daemons."""
        now = self._clock()
        daemons = [own_name, *(peer.name for peer in peers)]
        for scheduler in self._schedulers.values():
            pool = scheduler.executors.pool
            reports: list[IdleReport] = []
            for peer in peers:
                load = _load_of(peer, pool)
                if load is None:
                    continue
                reports.append(
                    IdleReport(peer.name, load.idle, load.queued, now)
                )
            scheduler.executors.update_shares(own_name, daemons, reports, now)

    def stop_dispatch(self) -> None:
        """Stop dispatching; queued requests are rejected when they expire."""
        self._is_stopped = True
        for scheduler in self._schedulers.values():
            scheduler.executors.update_hosts([], self._clock())

    def addresses(self) -> frozenset[str]:
        """Return the addresses of all executors that are in use."""
        found: set[str] = set()
        for scheduler in self._schedulers.values():
            for executor in scheduler.executors.executors:
                found.add(executor.address)
        return frozenset(found)

    def has_waiting(self) -> bool:
        """Whether any pool has queued requests."""
        return any(each.queued for each in self._schedulers.values())

    def tick(self) -> None:
        """Expire and start queued requests; called periodically."""
        now = self._clock()
        for scheduler in self._schedulers.values():
            if not scheduler.queued:
                continue
            scheduler.executors.refresh_if_due(now)
            scheduler.expire()
            scheduler.start_waiting()

    def in_flight_on(self, host: str) -> int:
        """Return how many requests are in flight on a host, in any pool."""
        total = 0
        for scheduler in self._schedulers.values():
            total += scheduler.executors.in_flight_on(host)
        return total

    def _make_scheduler(
        self, row: PoolRow, quotas: dict[str, float]
    ) -> PoolScheduler:
        """Create the scheduler of a pool with the configured policies."""
        policies = self._settings.policies
        share = SHARES.get(policies.share)(ShareSettings(slots=row.slots))
        executors = ExecutorSet(
            row.name,
            row.slots,
            row.min_available,
            share,
            CHOICES.get(policies.choice),
            self._leaving,
            self._rng,
        )
        queue = QUEUES.get(policies.queue)(
            row.name, self._queue_settings(quotas)
        )
        return PoolScheduler(queue, executors, self._clock)

    def _queue_settings(self, quotas: dict[str, float]) -> QueueSettings:
        """Return the settings of a pool's queue."""
        return QueueSettings(
            max_queued=self._settings.limits.max_queued, quotas=quotas
        )

    def _reconfigure(
        self,
        scheduler: PoolScheduler,
        row: PoolRow,
        quotas: dict[str, float],
    ) -> None:
        """Apply changed slots, minimum and quotas to a pool's scheduler."""
        policies = self._settings.policies
        share = SHARES.get(policies.share)(ShareSettings(slots=row.slots))
        scheduler.executors.reconfigure(row.slots, row.min_available, share)
        scheduler.queue.reconfigure(self._queue_settings(quotas))


def _load_of(digest: Digest, pool: str) -> PoolLoad | None:
    """Return the load of a pool in a digest, or None."""
    for load in digest.loads:
        if load.pool == pool:
            return load
    return None
