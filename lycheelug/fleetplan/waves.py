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

The long-running tasks of a step leave their hosts one after the other, as few
of them may be unavailable at once.  With `relocates_early`, one host that runs
such tasks is therefore drained besides the others, the one with the most of
them first, and while the relocations take all the time that is left, even if
the pool lacks hosts.
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
# The time from the stop of a long-running task until the next one of its
# step may be stopped.
RELOCATION_S: Final = 1.6


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
            relocating = _relocating_hosts(planner)
            for pool in planner.pools:
                at_once, _ = _hosts_at_once(planner, wave, pool, age_s)
                at_once += pool in relocating
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
    _order_relocations(planner, wave, wanted, age_s)
    relocating = _relocating_hosts(planner).values()
    for name, order in planner.plan.orders.items():
        if order.wave and not order.sent:
            remaining -= name not in relocating
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


def _order_relocations(
    planner: FleetPlanner,
    wave: MaintenanceWave,
    wanted: Mapping[str, int],
    age_s: float,
) -> None:
    """Drain one host with long-running tasks of each pool.

    Its order doesn't count for the limits of hosts that are in maintenance
    until the tasks have left it.
    """
    if not planner.policies.relocates_early:
        return
    leaving = _relocating_hosts(planner)
    waiting: dict[str, list[str]] = {}
    for name in planner.pending_hosts(wave):
        host = planner.hosts[name]
        if host.state is HostState.UP and name not in planner.plan.orders:
            waiting.setdefault(host.pool, []).append(name)
    for pool in planner.pools:
        summary = planner.summaries.get(pool)
        if pool in leaving or summary is None or not summary.relocations_max:
            continue
        if planner.withdrawals.is_paused(planner, pool):
            continue
        names = waiting.get(pool, [])
        counts = {name: _lasting_runs(planner, name) for name in names}
        total = sum(counts.values())
        if not total:
            continue
        rounds = math.ceil(total / summary.relocations_max)
        needed_s = rounds * RELOCATION_S + _round_s(planner)
        is_short = wave.deadline_s - FAILOVER_MARGIN_S - age_s <= needed_s
        least = wanted[pool]
        if is_short:
            least = min(least, _hosts_for_long_tasks(planner, pool))
        if len(planner.active_hosts(pool)) <= least:
            continue
        name = max(names, key=lambda each: (counts[each], each))
        planner.add_order(name, wave=wave.number)


def _relocating_hosts(planner: FleetPlanner) -> dict[str, str]:
    """Return by pool a host with an order that has long-running tasks.

    Only pools whose owner tells how many may be relocated at once.
    """
    found: dict[str, str] = {}
    if not planner.policies.relocates_early:
        return found
    for name, order in planner.plan.orders.items():
        summary = planner.summaries.get(order.pool)
        if summary is None or not summary.relocations_max:
            continue
        if _lasting_runs(planner, name):
            found.setdefault(order.pool, name)
    return found


def _lasting_runs(planner: FleetPlanner, name: str) -> int:
    """Return how many long-running tasks a host runs."""
    host = planner.hosts.get(name)
    summary = planner.summaries.get(host.pool) if host is not None else None
    load = summary.hosts.get(name) if summary is not None else None
    return load.lasting_runs if load is not None else 0


def _count_maintained_now(planner: FleetPlanner, pool: str) -> int:
    """Return how many hosts of a pool are drained for or in maintenance.

    Hosts whose maintenance was accepted count until they are back, but not
    the one whose long-running tasks are being relocated.
    """
    relocating = _relocating_hosts(planner).get(pool)
    count = 0
    for name, order in planner.plan.orders.items():
        if order.wave and order.pool == pool:
            count += name != relocating
    for name in planner.known.in_maintenance:
        host = planner.hosts.get(name)
        count += host is not None and host.pool == pool
    return count


def _round_s(planner: FleetPlanner) -> float:
    """Return the time that the maintenance of an empty host takes."""
    return planner.maintenance_s + OVERHEAD_S


def _hosts_at_once(
    planner: FleetPlanner, wave: MaintenanceWave, pool: str, age_s: float
) -> tuple[int, bool]:
    """Return how many hosts of a pool to maintain at once.

    Also return whether more than that would be needed to finish in time.
    """
    pending = 0
    for name in planner.pending_hosts(wave):
        pending += planner.hosts[name].pool == pool
    left_s = wave.deadline_s - FAILOVER_MARGIN_S - age_s
    rounds = int(left_s / _round_s(planner))
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
        left = at_once - _count_maintained_now(planner, pool)
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
    needed_s = rounds * _round_s(planner) + FAILOVER_MARGIN_S
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
