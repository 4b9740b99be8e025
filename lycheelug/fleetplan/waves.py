"""Chooses the hosts of a wave whose upkeep begins next; no I/O.

Hosts in standby go first, as nothing runs there, but not while pools lack
hosts: a surge passes sooner than a wave's time.  Hosts in pools go one at a
time for each pool, when it can spare one.  Once the time presses, neither
holds.
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

# Upkeep hurries once this share of a wave's time is gone.
HURRY_SHARE: Final = 0.6
# An upkeep's time beside the upkeep itself: emptying, orders, the list.
OVERHEAD_S: Final = 1.5
# Spare time below which a wave hurries: a change of the planner's holder.
MARGIN_S: Final = 4.0
# Hosts of one pool that are emptied for upkeep at once in a hurry.
HURRIED_HOSTS: Final = 2


def plan_wave(
    planner: FleetPlanner,
    wave: MaintenanceWave,
    wanted: Mapping[str, int],
    age_s: float,
) -> None:
    """Order the upkeep of the hosts whose turn it is."""
    in_hurry = _is_hurried(planner, wave, age_s)
    room = wave.at_once - planner.in_upkeep()
    by_pool: dict[str, int] = {}
    for order in planner.plan.orders.values():
        if order.wave and not order.sent:
            by_pool[order.pool] = by_pool.get(order.pool, 0) + 1
            room -= 1
    idle = planner.standby_beyond(wanted)
    for name in _by_load(planner, planner.left(wave)):
        host = planner.hosts[name]
        if room <= 0:
            return
        if name in planner.plan.orders or host.state is not HostState.UP:
            continue
        if host.pool == planner.standby:
            if idle <= 0 and not in_hurry:
                continue
            idle -= 1
        else:
            at_once = HURRIED_HOSTS if in_hurry else 1
            if by_pool.get(host.pool, 0) >= at_once:
                continue
            if not in_hurry and not _can_spare(planner, host.pool, wanted):
                continue
        planner.order(name, wave=wave.number)
        by_pool[host.pool] = by_pool.get(host.pool, 0) + 1
        room -= 1


def _is_hurried(
    planner: FleetPlanner, wave: MaintenanceWave, age_s: float
) -> bool:
    """Whether what is left of a wave needs what is left of its time."""
    if age_s > wave.deadline_s * HURRY_SHARE:
        return True
    rounds = math.ceil(len(planner.left(wave)) / max(1, wave.at_once))
    needed_s = rounds * (planner.upkeep_s + OVERHEAD_S) + MARGIN_S
    return wave.deadline_s - age_s < needed_s


def _can_spare(
    planner: FleetPlanner, pool: str, wanted: Mapping[str, int]
) -> bool:
    """Whether a pool does well without one of its hosts for a while."""
    return len(planner.members(pool)) > wanted[pool] or (
        wanted[pool] <= max(2, planner.count(pool) // 2)
    )


def _by_load(planner: FleetPlanner, names: list[str]) -> list[str]:
    """Return hosts in standby first, then the emptiest."""

    def load(name: str) -> tuple[bool, int, int, str]:
        pool = planner.hosts[name].pool
        summary = planner.summaries.get(pool)
        known = summary.hosts.get(name) if summary is not None else None
        in_use = pool != planner.standby
        if known is None:
            return (in_use, 0, 0, name)
        return (in_use, known.lasting_runs, known.used_cpu, name)

    return sorted(names, key=load)
