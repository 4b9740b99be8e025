"""Selects the hosts of a maintenance wave to maintain next.

Hosts in standby come first because nothing runs on them, but not while pools
lack hosts: a surge usually ends before the wave's deadline.  The others are
maintained one at a time per pool, and only if the pool can spare a host.
When the deadline is close, hosts are maintained even if a pool lacks them,
and up to `URGENT_HOSTS_PER_POOL` at a time per pool.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from lycheelug.fleetplan.hosts import HostState

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lycheelug.fleetplan.hosts import MaintenanceWave
    from lycheelug.fleetplan.planner import FleetPlanner

__all__ = ["plan_wave"]

# A wave becomes urgent after this share of the time until its deadline.
URGENT_SHARE: Final = 0.6
# The time per maintenance round for draining, calls and the refresh of the
# host list.
OVERHEAD_S: Final = 1.5
# Reserved for a failover of the planner to another daemon.
FAILOVER_MARGIN_S: Final = 4.0
# The maximum number of hosts of one pool to drain at the same time for an
# urgent wave.
URGENT_HOSTS_PER_POOL: Final = 2


def plan_wave(
    planner: FleetPlanner,
    wave: MaintenanceWave,
    wanted: Mapping[str, int],
    age_s: float,
) -> None:
    """Add orders for the hosts of a wave whose maintenance can begin."""
    is_urgent = _is_urgent(planner, wave, age_s)
    remaining = wave.max_concurrent - planner.count_in_maintenance()
    by_pool: dict[str, int] = {}
    for order in planner.plan.orders.values():
        if order.wave and not order.sent:
            by_pool[order.pool] = by_pool.get(order.pool, 0) + 1
            remaining -= 1
    spare_standby = planner.count_spare_standby(wanted)
    for name in _sort_by_load(planner, planner.pending_hosts(wave)):
        host = planner.hosts[name]
        if remaining <= 0:
            return
        if name in planner.plan.orders or host.state is not HostState.UP:
            continue
        if host.pool == planner.standby:
            if spare_standby <= 0 and not is_urgent:
                continue
            spare_standby -= 1
        else:
            pool_limit = URGENT_HOSTS_PER_POOL if is_urgent else 1
            if by_pool.get(host.pool, 0) >= pool_limit:
                continue
            if not is_urgent and not _can_spare(planner, host.pool, wanted):
                continue
        planner.add_order(name, wave=wave.number)
        by_pool[host.pool] = by_pool.get(host.pool, 0) + 1
        remaining -= 1


def _is_urgent(
    planner: FleetPlanner, wave: MaintenanceWave, age_s: float
) -> bool:
    """Return whether little time is left, or all of it is needed."""
    if age_s > wave.deadline_s * URGENT_SHARE:
        return True
    rounds = math.ceil(
        len(planner.pending_hosts(wave)) / max(1, wave.max_concurrent)
    )
    needed_s = (
        rounds * (planner.maintenance_s + OVERHEAD_S) + FAILOVER_MARGIN_S
    )
    return wave.deadline_s - age_s < needed_s


def _can_spare(
    planner: FleetPlanner, pool: str, wanted: Mapping[str, int]
) -> bool:
    """Return whether a pool can do without one host for a while."""
    return len(planner.active_hosts(pool)) > wanted[pool] or (
        wanted[pool] <= max(2, planner.count_hosts(pool) // 2)
    )


def _sort_by_load(planner: FleetPlanner, names: list[str]) -> list[str]:
    """Sort hosts: standby hosts first, then the others by load."""

    def load(name: str) -> tuple[bool, int, int, str]:
        pool = planner.hosts[name].pool
        summary = planner.summaries.get(pool)
        known = summary.hosts.get(name) if summary is not None else None
        in_use = pool != planner.standby
        if known is None:
            return (in_use, 0, 0, name)
        return (in_use, known.lasting_runs, known.used_cpu, name)

    return sorted(names, key=load)
