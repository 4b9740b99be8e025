"""The pools that a daemon serves, built from its view of the fleet."""

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


class _Shape:
    """What a scheduler was made for."""

    __slots__ = ("floor", "max_queued", "quotas", "slots")

    def __init__(
        self,
        slots: int,
        floor: int,
        max_queued: int,
        quotas: dict[str, float],
    ) -> None:
        self.slots = slots
        self.floor = floor
        self.max_queued = max_queued
        self.quotas = quotas

    def is_like(self, other: _Shape) -> bool:
        """Whether nothing differs that a scheduler was made for."""
        same_sizes = self.slots == other.slots and self.floor == other.floor
        same_queue = self.max_queued == other.max_queued
        return same_sizes and same_queue and self.quotas == other.quotas


class PoolTable:
    """One scheduler for each pool that the view knows."""

    __slots__ = (
        "_clock",
        "_is_stopped",
        "_leaving",
        "_rng",
        "_schedulers",
        "_settings",
        "_shapes",
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
        # What each scheduler was made for; another shape makes a new one.
        self._shapes: dict[str, _Shape] = {}

    @property
    def names(self) -> list[str]:
        """The pools' names."""
        return sorted(self._schedulers)

    def get(self, pool: str) -> PoolScheduler | None:
        """Return a pool's scheduler, or None."""
        return self._schedulers.get(pool)

    def all(self) -> list[PoolScheduler]:
        """Return all schedulers."""
        return list(self._schedulers.values())

    def update_pool(self, row: PoolRow, hosts: Sequence[HostRow]) -> None:
        """Take in a pool's row and the hosts that serve it."""
        if self._is_stopped:
            return
        quotas = {each.name: each.share for each in self._settings.tenants}
        quotas.update(row.quotas)
        max_queued = self._settings.limits.max_queued
        shape = _Shape(row.slots, row.min_available, max_queued, quotas)
        scheduler = self._schedulers.get(row.name)
        if scheduler is None:
            scheduler = self._make(row, quotas)
            self._schedulers[row.name] = scheduler
            self._shapes[row.name] = shape
        elif not self._shapes[row.name].is_like(shape):
            self._reshape(scheduler, row, quotas)
            self._shapes[row.name] = shape
        scheduler.executors.update_hosts(hosts, self._clock())
        scheduler.start_waiting()

    def drop_pool(self, name: str) -> None:
        """Forget a removed pool once it has nothing to do."""
        scheduler = self._schedulers.get(name)
        if scheduler is None:
            return
        scheduler.executors.update_hosts([], self._clock())
        if scheduler.queued or scheduler.executors.in_flight:
            return
        del self._schedulers[name]
        del self._shapes[name]

    def update_shares(self, me: str, peers: Sequence[Digest]) -> None:
        """Divide the executors' slots between the live daemons."""
        now = self._clock()
        daemons = [me, *(peer.name for peer in peers)]
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
            scheduler.executors.update_shares(me, daemons, reports, now)

    def stop_dispatch(self) -> None:
        """Dispatch nothing more; what waits is refused when it expires."""
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
        """Whether a request waits in any pool."""
        return any(each.queued for each in self._schedulers.values())

    def tick(self) -> None:
        """Do what time alone asks for."""
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

    def _make(self, row: PoolRow, quotas: dict[str, float]) -> PoolScheduler:
        """Return a new pool's scheduler with the policies in force."""
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
        """Return a pool's queue settings."""
        return QueueSettings(
            max_queued=self._settings.limits.max_queued, quotas=quotas
        )

    def _reshape(
        self,
        scheduler: PoolScheduler,
        row: PoolRow,
        quotas: dict[str, float],
    ) -> None:
        """Take in changed slots, floor and quotas of a known pool."""
        policies = self._settings.policies
        share = SHARES.get(policies.share)(ShareSettings(slots=row.slots))
        scheduler.executors.reconfigure(row.slots, row.min_available, share)
        scheduler.queue.reconfigure(self._queue_settings(quotas))


def _load_of(digest: Digest, pool: str) -> PoolLoad | None:
    """Return what a digest says of a pool."""
    for load in digest.loads:
        if load.pool == pool:
            return load
    return None
