"""Keeps a daemon's view up to date by polling the platform for deltas.

Each round reads the changes of every prefix of the view and of the host list.
Rounds are about two seconds apart, with jitter so that the daemons don't poll
at the same time.  While the platform is unreachable, the period grows up to a
limit and the view stays unchanged.  If the store no longer has the deletions
since the view's revision, the prefix is read again from revision 0.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Success

from lycheelug.errors import REVISION_FORGOTTEN

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable, Sequence

    from lycheelug.fleet_view import FleetView
    from lycheelug.store.interface import HostEntry, Platform, Row

__all__ = ["POLL_PERIOD_S", "Watch", "WatchCounters"]

POLL_PERIOD_S: Final = 2.0
# Bounds the delay of a new configuration after an outage.
_MAX_PERIOD_S: Final = 4.0
_JITTER: Final = 0.2
_CATCH_UP_PERIOD_S: Final = 0.05


class WatchCounters:
    """Counters of polling; `bytes` counts received keys and values."""

    __slots__ = ("bytes", "failures", "reads", "rows", "stale")

    def __init__(self) -> None:
        self.reads = 0
        self.failures = 0
        self.stale = 0
        self.rows = 0
        self.bytes = 0


class Watch:
    """A poller that updates a view and reports changes to callbacks.

    `on_rows` is called with the changed rows of the table, and
    `on_entry_hosts` with the entry hosts in a delta of the host list.
    """

    __slots__ = (
        "_counters",
        "_failed_rounds",
        "_on_entry_hosts",
        "_on_rows",
        "_period",
        "_platform",
        "_rng",
        "_sleep",
        "_task",
        "_view",
    )

    def __init__(
        self,
        platform: Platform,
        view: FleetView,
        rng: random.Random,
        on_rows: Callable[[Sequence[Row]], object],
        on_entry_hosts: Callable[[Sequence[HostEntry]], object],
        sleep: Callable[[float], Awaitable[object]] = asyncio.sleep,
        period_s: float = POLL_PERIOD_S,
    ) -> None:
        self._period = period_s
        self._platform = platform
        self._view = view
        self._rng = rng
        self._on_rows = on_rows
        self._on_entry_hosts = on_entry_hosts
        self._sleep = sleep
        self._counters = WatchCounters()
        self._failed_rounds = 0
        self._task: asyncio.Task[None] | None = None

    @property
    def counters(self) -> WatchCounters:
        """The counters of polling since the start."""
        return self._counters

    @property
    def view(self) -> FleetView:
        """The view that is kept up to date."""
        return self._view

    @property
    def is_platform_unreachable(self) -> bool:
        """Whether a read of the last round failed."""
        return self._failed_rounds > 0

    def start(self) -> None:
        """Start polling in the background."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop polling and wait for its task to end."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._task = None

    async def poll(self) -> bool:
        """Run one round; return whether all reads succeeded."""
        succeeded = True
        for prefix in self._view.prefixes:
            succeeded &= await self._poll_prefix(prefix)
        succeeded &= await self._poll_hosts()
        self._failed_rounds = 0 if succeeded else self._failed_rounds + 1
        return succeeded

    async def poll_until(self, revision: int) -> None:
        """Poll until the view has reached a revision, or until cancelled."""
        while True:
            await self.poll()
            if self._view.revision >= revision:
                return
            await self._sleep(_CATCH_UP_PERIOD_S)

    async def _run(self) -> None:
        while True:
            await self.poll()
            await self._sleep(self._period_s())

    def _period_s(self) -> float:
        doublings = min(self._failed_rounds, 8)
        period_s = min(self._period * (1 << doublings), _MAX_PERIOD_S)
        return period_s * (1 + _JITTER * (2 * self._rng.random() - 1))

    async def _poll_prefix(self, prefix: str) -> bool:
        since = self._view.prefix_revision(prefix)
        self._counters.reads += 1
        answer = await self._platform.read_since(prefix, since)
        match answer:
            case Failure(fault) if fault.code is REVISION_FORGOTTEN:
                since = 0
                self._counters.reads += 1
                answer = await self._platform.read_since(prefix, since)
        match answer:
            case Success(delta):
                pass
            case _:
                self._counters.failures += 1
                return False
        self._count(delta.rows)
        if delta.revision < self._view.prefix_revision(prefix):
            self._counters.stale += 1
        changed = self._view.apply(prefix, delta, is_snapshot=since == 0)
        if changed:
            self._on_rows(changed)
        return True

    async def _poll_hosts(self) -> bool:
        self._counters.reads += 1
        since = self._view.host_list_revision
        match await self._platform.hosts_since(since):
            case Success(delta):
                pass
            case _:
                self._counters.failures += 1
                return False
        entry_hosts = self._view.apply_hosts(delta)
        if entry_hosts:
            self._on_entry_hosts(entry_hosts)
        return True

    def _count(self, rows: Sequence[Row]) -> None:
        self._counters.rows += len(rows)
        for row in rows:
            size = len(row.key) + len(row.value or b"")
            self._counters.bytes += size
