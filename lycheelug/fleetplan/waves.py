"""Selects the hosts of a maintenance wave to maintain next.

Hosts in standby come first because nothing runs on them, but not while pools
lack hosts: a surge usually ends before the wave's deadline.  Of the hosts of
a pool, as many are maintained at once as it takes to finish in time, up to a
share of the pool.  They leave only if the pool can spare them, so for the
time of the wave a pool gets as many hosts more, and its only host leaves once
there is another.  If even the largest share finishes no sooner than the
deadline, or there is only time for one more round, hosts are maintained
although their pool lacks them, but not those without which its long-running
tasks have no place: the wave is late then.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from lycheelug.fleetplan.hosts import HostState
from lycheelug.fleetplan.sizing import hosts_for_long_tasks, typical_capacity

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lycheelug.fleetplan.hosts import MaintenanceWave
    from lycheelug.fleetplan.planner import FleetPlanner

__all__ = ["plan_waves"]

# A wave becomes urgent after this share of the time until its deadline.
URGENT_SHARE: Final = 0.6
# The time per maintenance round for draining, calls and the refresh of the
# host list.
OVERHEAD_S: Final = 1.5
# Reserved for a failover of the planner to another daemon.
FAILOVER_MARGIN_S: Final = 4.0
# The share of a pool's hosts that are maintained at once at most; a small
# pool may do without the minimum.
POOL_SHARE_MAX: Final = 0.25
POOL_HOSTS_MIN: Final = 2


def plan_waves(
    planner: FleetPlanner, wanted: Mapping[str, int]
) -> dict[str, int]:
    """Add maintenance orders for the waves that are not completed.

    Return the hosts that each pool needs besides, to replace those that are
    maintained.
    """
    reserve: dict[str, int] = {}
    for wave in planner.waves.values():
        if wave.number in planner.plan.completed:
            continue
        age_s = planner.wave_age_s(wave)
        try:
            _plan_wave(planner, wave, wanted, age_s)
            for pool in planner.pools:
                at_once, _ = _hosts_at_once(planner, wave, pool, age_s)
                if at_once:
                    # The usual replacement may not be enough.
                    size = planner.withdrawals.wanted_size(pool)
                    at_once = max(at_once, size - wanted[pool])
                reserve[pool] = reserve.get(pool, 0) + at_once
        except Exception as error:
            # The moves and the other waves are planned all the same.
            planner.broken_waves[wave.number] = error
    return reserve


def _plan_wave(
    planner: FleetPlanner,
    wave: MaintenanceWave,
    wanted: Mapping[str, int],
    age_s: float,
) -> None:
    """Add orders for the hosts of a wave whose maintenance can begin."""
    is_urgent = _is_urgent(planner, wave, age_s)
    remaining = wave.max_concurrent - planner.count_in_maintenance()
    for order in planner.plan.orders.values():
        if order.wave and not order.sent:
            remaining -= 1
    allowed = _allowed_by_pool(planner, wave, wanted, age_s)
    spare_standby = _count_spare_standby(planner, wanted, is_urgent)
    for name in _sort_by_load(planner, planner.pending_hosts(wave)):
        host = planner.hosts[name]
        if remaining <= 0:
            return
        if name in planner.plan.orders or host.state is not HostState.UP:
            continue
        if host.pool == planner.standby:
            if spare_standby <= 0:
                continue
            spare_standby -= 1
        else:
            if allowed.get(host.pool, 0) <= 0:
                continue
            allowed[host.pool] -= 1
        planner.add_order(name, wave=wave.number)
        remaining -= 1


def _hosts_at_once(
    planner: FleetPlanner, wave: MaintenanceWave, pool: str, age_s: float
) -> tuple[int, bool]:
    """Return how many hosts of a pool to maintain at once.

    Also return whether more than that would be needed to finish in time.
    """
    pending = 0
    for name in planner.pending_hosts(wave):
        pending += planner.hosts[name].pool == pool
    round_s = planner.maintenance_s + OVERHEAD_S
    rounds = int((wave.deadline_s - FAILOVER_MARGIN_S - age_s) / round_s)
    needed = math.ceil(pending / max(1, rounds))
    limit = max(
        POOL_HOSTS_MIN, int(planner.count_hosts(pool) * POOL_SHARE_MAX)
    )
    return min(needed, limit), needed >= limit or rounds <= 1


def _allowed_by_pool(
    planner: FleetPlanner,
    wave: MaintenanceWave,
    wanted: Mapping[str, int],
    age_s: float,
) -> dict[str, int]:
    """Return how many more hosts of each pool may be maintained now."""
    allowed: dict[str, int] = {}
    for pool in planner.pools:
        at_once, is_late = _hosts_at_once(planner, wave, pool, age_s)
        left = at_once - planner.count_maintained_now(pool)
        if planner.withdrawals.is_paused(planner, pool):
            left = 0
        needed = wanted[pool]
        if is_late:
            needed = min(needed, _hosts_for_long_tasks(planner, pool))
        if is_late and needed > planner.count_hosts(pool):
            # Some tasks may never find a place.  The pool's owner refuses
            # the orders that would take away the place of another one.
            needed = 1
        spare = len(planner.active_hosts(pool)) - needed
        allowed[pool] = min(left, spare)
    return allowed


def _hosts_for_long_tasks(planner: FleetPlanner, pool: str) -> int:
    """Return the least number of hosts of a pool's long-running tasks."""
    summary = planner.summaries.get(pool)
    if summary is None:
        return planner.count_hosts(pool)
    host_cpu, _ = typical_capacity(planner.hosts.values())
    return hosts_for_long_tasks(summary, host_cpu)


def _count_spare_standby(
    planner: FleetPlanner, wanted: Mapping[str, int], is_urgent: bool
) -> int:
    """Return how many standby hosts the pools don't need.

    While a wave is urgent, only those count that long-running tasks need.
    """
    if not is_urgent:
        return planner.count_spare_standby(wanted)
    spare = len(planner.active_hosts(planner.standby))
    for pool in planner.pools:
        needed = min(wanted[pool], _hosts_for_long_tasks(planner, pool))
        spare -= max(0, needed - planner.count_hosts(pool))
    return spare


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


def _sort_by_load(planner: FleetPlanner, names: list[str]) -> list[str]:
    """Sort hosts: standby hosts first, then the others by load.

    Hosts whose orders were refused come last.
    """

    def load(name: str) -> tuple[bool, int, int, int, str]:
        pool = planner.hosts[name].pool
        summary = planner.summaries.get(pool)
        known = summary.hosts.get(name) if summary is not None else None
        in_use = pool != planner.standby
        refusals = planner.withdrawals.count(name)
        if known is None:
            return (in_use, refusals, 0, 0, name)
        lasting_runs = known.lasting_runs
        return (in_use, refusals, lasting_runs, known.used_cpu, name)

    return sorted(names, key=load)
