"""Adds moves to pools that lack hosts, and of hosts that persist as surplus.

Hosts come from pools with a surplus and then from the standby pool.  What
pools lack for their work goes before what they get for a maintenance wave.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.fleetplan.zones import isolated_zones

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lycheelug.fleetplan.planner import FleetPlanner

__all__ = ["cancel_unneeded_moves", "drop_stale_orders", "plan_moves"]

# A pool's surplus must persist for this long before its hosts are released.
SURPLUS_DELAY_S: Final = 0.8
# The same while another pool lacks hosts for work that can be in time.
SHORTAGE_DELAY_S: Final = 0.2
# A host stays in its pool for this long before scarcity takes it away.
STAY_MIN_S: Final = 3.0


def drop_stale_orders(planner: FleetPlanner) -> None:
    """Drop unsent orders for hosts that left the list or their pool."""
    for name, order in list(planner.plan.orders.items()):
        host = planner.hosts.get(name)
        if order.sent or not planner.hosts:
            continue
        if host is None or host.pool != order.pool:
            del planner.plan.orders[name]


def cancel_unneeded_moves(
    planner: FleetPlanner, wanted: Mapping[str, int]
) -> None:
    """Cancel unsent moves of hosts that their pool needs again."""
    for name, order in list(planner.plan.orders.items()):
        if order.sent or order.wave or order.pool == planner.standby:
            continue
        if wanted.get(order.pool, 0) > planner.count_hosts(order.pool):
            del planner.plan.orders[name]


def plan_moves(
    planner: FleetPlanner,
    wanted: Mapping[str, int],
    reserve: Mapping[str, int],
    now: float,
    is_short: bool = False,
) -> None:
    """Add moves; `reserve` has the hosts that pools get for a wave.

    `is_short` tells that pools want more hosts than there are.
    """
    if not planner.standby:
        return
    delay_s = SHORTAGE_DELAY_S if is_short else SURPLUS_DELAY_S
    missing: list[str] = []
    missing_reserve: list[str] = []
    surplus: list[str] = []
    for pool in planner.pools:
        spare = planner.count_hosts(pool) - wanted[pool]
        if spare < 0:
            missing.extend([pool] * -spare)
        spare -= reserve.get(pool, 0)
        if spare < 0:
            missing_reserve.extend([pool] * min(-spare, reserve.get(pool, 0)))
        if spare <= 0 or not planner.has_seen_work:
            planner.surplus_since.pop(pool, None)
            continue
        since = planner.surplus_since.setdefault(pool, now)
        if now - since < delay_s:
            continue
        names = _releasable_hosts(planner, pool)
        if is_short:
            names = _settled_hosts(planner, names, now)
        surplus.extend(names[:spare])
    candidates = _standby_candidates(planner)
    for pool in missing + missing_reserve:
        if surplus:
            planner.add_order(surplus.pop(0), target=pool)
        elif candidates:
            planner.add_order(candidates.pop(0), target=pool)
    for name in surplus:
        planner.add_order(name, target=planner.standby)


def _releasable_hosts(planner: FleetPlanner, pool: str) -> list[str]:
    """Return a pool's hosts without long-running tasks.

    The least loaded hosts come first, and among equally loaded ones
    those that are due for maintenance.
    """
    summary = planner.summaries.get(pool)
    if summary is None or planner.withdrawals.is_paused(planner, pool):
        return []
    due = planner.due_for_maintenance()
    found: list[tuple[int, bool, str]] = []
    for name in planner.active_hosts(pool):
        load = summary.hosts.get(name)
        if load is None or load.lasting_runs:
            continue
        found.append((load.used_cpu, name not in due, name))
    return [name for _, _, name in sorted(found)]


def _settled_hosts(
    planner: FleetPlanner, names: list[str], now: float
) -> list[str]:
    """Return the hosts that have not just joined their pool."""
    found: list[str] = []
    for name in names:
        since = planner.known.listed_since(name)
        if since is None or now - since >= STAY_MIN_S:
            found.append(name)
    return found


def _standby_candidates(planner: FleetPlanner) -> list[str]:
    """Return the standby hosts in the order in which to move them.

    Hosts in isolated zones come last because the owner of their new
    pool could not reach them, and hosts due for maintenance come after
    those that are not.
    """
    due = planner.due_for_maintenance()
    isolated = isolated_zones(
        planner.hosts, planner.summaries, planner.plan.orders
    )
    found: list[tuple[bool, bool, str]] = []
    for name in planner.active_hosts(planner.standby):
        is_isolated = planner.hosts[name].zone in isolated
        found.append((is_isolated, name in due, name))
    return [name for _, _, name in sorted(found)]
