"""The registry of sharing policies: how scarce hosts are divided; no I/O.

When pools want more hosts than there are, a host that serves late work in one
pool may serve work in time in another one.  Late work earns a small part of
what it would have earned in time, so it gets only what is left.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from lycheelug.fleetplan.sizing import (
    hosts_for_cpu,
    hosts_for_long_tasks,
    typical_capacity,
    urgent_cpu,
)
from lycheelug.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from lycheelug.fleetplan.planner import FleetPlanner

    Sharing = Callable[["Claims", int], dict[str, int]]

__all__ = [
    "SHARINGS",
    "Claims",
    "grant_hosts",
    "share_by_urgency",
    "share_first_come",
]

SHARINGS: Final[Registry[Sharing]] = Registry("sharing policy")

# A pool gives up hosts only if it has this share more than its part, as each
# one is of no use to either pool for some seconds.
EXCESS_SHARE_MIN: Final = 0.1


class Claims:
    """The numbers of hosts that the pools have and want, by pool."""

    __slots__ = ("base", "present", "urgent", "wanted")

    def __init__(
        self,
        wanted: Mapping[str, int],
        urgent: Mapping[str, int],
        base: Mapping[str, int],
        present: Mapping[str, int],
    ) -> None:
        self.wanted = wanted
        # Those for long-running tasks and for work that can be in time.
        self.urgent = {
            pool: min(size, urgent[pool]) for pool, size in wanted.items()
        }
        # Those for long-running tasks.
        self.base = {
            pool: min(size, base[pool]) for pool, size in self.urgent.items()
        }
        self.present = present


@SHARINGS.register("first-come")
def share_first_come(claims: Claims, total: int) -> dict[str, int]:
    """Return what the pools want: each keeps the hosts that it has."""
    return dict(claims.wanted)


@SHARINGS.register("urgency")
def share_by_urgency(claims: Claims, total: int) -> dict[str, int]:
    """Return the part of `total` hosts that each pool gets.

    If not even the urgent work of all pools finds hosts, each pool gets the
    same part of what it needs besides its long-running tasks.
    """
    wanted, urgent, present = claims.wanted, claims.urgent, claims.present
    if sum(wanted.values()) <= total:
        return dict(wanted)
    if sum(urgent.values()) > total:
        sizes = _fill(claims.base, urgent, total)
        return _keep_small_excess(sizes, urgent, present)
    kept = {
        pool: max(size, min(wanted[pool], present[pool]))
        for pool, size in urgent.items()
    }
    if sum(kept.values()) > total:
        return _fill(urgent, kept, total)
    return _fill(kept, wanted, total)


def grant_hosts(
    planner: FleetPlanner, wanted: Mapping[str, int]
) -> dict[str, int]:
    """Return how many of the hosts that there are each pool gets."""
    host_cpu, _ = typical_capacity(planner.hosts.values())
    present = {pool: planner.count_hosts(pool) for pool in planner.pools}
    urgent = dict(wanted)
    base = dict(wanted)
    for pool in planner.pools:
        summary = planner.summaries.get(pool)
        if summary is not None:
            base[pool] = max(1, hosts_for_long_tasks(summary, host_cpu))
            expected = planner.expected_cpu.get(pool, 0)
            cpu = urgent_cpu(summary, expected)
            urgent[pool] = max(base[pool], hosts_for_cpu(cpu, host_cpu))
    total = sum(present.values())
    total += len(planner.active_hosts(planner.standby))
    share = SHARINGS.get(planner.policies.sharing)
    return share(Claims(wanted, urgent, base, present), total)


def _fill(
    lower: Mapping[str, int], upper: Mapping[str, int], total: int
) -> dict[str, int]:
    """Return sizes between two bounds, by the same part of the difference."""
    missing = sum(upper.values()) - sum(lower.values())
    left = max(0, total - sum(lower.values()))
    part = min(1.0, left / missing) if missing else 0.0
    return {
        pool: least + math.floor((upper[pool] - least) * part)
        for pool, least in lower.items()
    }


def _keep_small_excess(
    sizes: Mapping[str, int],
    upper: Mapping[str, int],
    present: Mapping[str, int],
) -> dict[str, int]:
    """Let pools keep the hosts of which they have few too many."""
    found: dict[str, int] = {}
    for pool, size in sizes.items():
        kept = min(upper[pool], present[pool])
        is_small = size < kept <= math.ceil(size * (1 + EXCESS_SHARE_MIN))
        found[pool] = kept if is_small else size
    return found
