"""Withdraws the drain orders that a pool's owner refuses; no I/O.

An owner refuses an order if a long-running task has no other place than the
host.  An order whose call may have been sent stays.  No other host of the
pool is ordered to be drained for a while, unless the pool has grown, because
the same tasks would probably lack a place again.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from lycheelug.fleetplan.hosts import HostState
from lycheelug.fleetplan.records import HostCall

if TYPE_CHECKING:
    from lycheelug.fleetplan.planner import FleetPlanner


__all__ = ["Withdrawals"]

# After a refusal, a pool gets no new drain orders for this long, and for a
# multiple of it if the same host's orders were refused before.
RETRY_S: Final = 3.0
RETRIES_MAX: Final = 4


class Withdrawals:
    """The drain orders that were withdrawn in one term."""

    __slots__ = ("_now", "_pauses", "_refusals", "events")

    def __init__(self) -> None:
        self._now = 0.0
        # The local time at which a pool's pause ends, and the number of its
        # hosts when the pause began.
        self._pauses: dict[str, tuple[float, int]] = {}
        # The number of refused orders, by host.
        self._refusals: Counter[str] = Counter()
        # The withdrawn orders, until they are logged.
        self.events: list[HostCall] = []

    def apply(self, planner: FleetPlanner, now: float) -> None:
        """Withdraw the unsent orders that the pools' owners refuse."""
        self._now = now
        for name, order in list(planner.plan.orders.items()):
            summary = planner.summaries.get(order.pool)
            if order.sent or summary is None:
                continue
            if summary.refused.get(name) != order.number:
                continue
            del planner.plan.orders[name]
            self._refusals[name] += 1
            pause_s = RETRY_S * min(RETRIES_MAX, self._refusals[name])
            size = _count_up(planner, order.pool)
            self._pauses[order.pool] = (now + pause_s, size)
            self.events.append(HostCall(name, order))

    def is_paused(self, planner: FleetPlanner, pool: str) -> bool:
        """Return whether no host of a pool is to be drained now."""
        until, size = self._pauses.get(pool, (0.0, 0))
        return self._now < until and _count_up(planner, pool) <= size

    def wanted_size(self, pool: str) -> int:
        """Return how many hosts a pool should have to be drained again."""
        until, size = self._pauses.get(pool, (0.0, 0))
        return size + 1 if self._now < until else 0

    def count(self, host: str) -> int:
        """Return how many orders for a host were refused."""
        return self._refusals[host]


def _count_up(planner: FleetPlanner, pool: str) -> int:
    """Return a pool's hosts that are up, whether they have an order or not.

    A host counts as usable again only some time after its order was
    withdrawn, which is no growth.
    """
    count = 0
    for host in planner.hosts.values():
        count += host.pool == pool and host.state is HostState.UP
    return count
