"""Plans how many hosts each pool gets and which moves pay off.

A policy (`capacity_policies`) computes how many hosts each pool should
have.  The plan fits these numbers to the hosts that exist and selects the
moves.  Moving a host has a cost.  A move is planned only if the late work
and idle time that it is expected to save over the planning horizon, minus
the late work that it causes in the source pool, exceed this cost.  The
expectation covers minutes of demand, so a surge of a few seconds alone
does not cause a move.

The plan depends only on its arguments, so any daemon can recompute it.

Limits: all hosts are assumed to be equal; the fleet plan chooses which
host of a pool is moved.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.capacity_costs import (
    CALO_WEIGHTS,
    GUILD_WEIGHTS,
    CapacityWeights,
    CostCurve,
)
from lycheelug.capacity_policies import (
    CAPACITY,
    CapacityPolicy,
    DesiredHosts,
    PoolState,
)
from lycheelug.demand_history import DemandHistory

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

__all__ = [
    "CALO_WEIGHTS",
    "CAPACITY",
    "GUILD_WEIGHTS",
    "CapacityPlan",
    "CapacityPolicy",
    "CapacitySettings",
    "CapacityWeights",
    "DemandHistory",
    "DesiredHosts",
    "Move",
    "PoolState",
    "plan_capacity",
]

_DEFAULT_POLICY: Final = "time-of-day"
_HORIZON_S: Final = 600.0
_MOVE_S: Final = 30.0


class CapacitySettings:
    """Policy, horizon and move time of the capacity plan."""

    __slots__ = ("horizon_s", "move_s", "moves_must_pay", "policy")

    def __init__(
        self,
        policy: str = _DEFAULT_POLICY,
        horizon_s: float = _HORIZON_S,
        move_s: float = _MOVE_S,
        moves_must_pay: bool = True,
    ) -> None:
        self.policy = policy
        # Period within which the savings of a move must exceed its cost.
        self.horizon_s = horizon_s
        # Duration of a move; the host serves neither pool during it.
        self.move_s = move_s
        # False disables the hysteresis, to compare policies without it.
        self.moves_must_pay = moves_must_pay


class Move:
    """The transfer of one host from a source pool to a target pool."""

    __slots__ = ("source", "target")

    def __init__(self, source: str, target: str) -> None:
        self.source = source
        self.target = target

    def __repr__(self) -> str:
        return f"Move({self.source} -> {self.target})"


class CapacityPlan:
    """The target number of hosts per pool and the moves to reach it.

    `reserve` is the number of hosts of the spare pool that stay idle as a
    reserve shared by all pools.
    """

    __slots__ = ("moves", "reserve", "targets")

    def __init__(
        self,
        targets: dict[str, int],
        reserve: int,
        moves: Sequence[Move],
    ) -> None:
        self.targets = targets
        self.reserve = reserve
        self.moves = tuple(moves)


def plan_capacity(
    history: DemandHistory,
    current: Sequence[PoolState],
    weights: CapacityWeights,
    now: float,
    settings: CapacitySettings | None = None,
) -> CapacityPlan:
    """Return the target number of hosts per pool and the moves.

    The targets add up to the number of existing hosts.  No target is below
    the floor of its pool unless the pool is below its floor already.

    >>> history = DemandHistory()
    >>> for second in range(300):
    ...     history.record("quotes", float(second), 6.0)
    ...     history.record("spare", float(second), 1.0)
    >>> pools = [PoolState("quotes", 4), PoolState("spare", 8, spare=True)]
    >>> plan = plan_capacity(history, pools, GUILD_WEIGHTS, now=300.0)
    >>> plan.targets
    {'quotes': 6, 'spare': 6}
    """
    settings = settings or CapacitySettings()
    desired = CAPACITY.get(settings.policy)(history, current, weights, now)
    curves: dict[str, CostCurve] = {}
    for pool in current:
        samples = desired.expected[pool.name]
        curves[pool.name] = CostCurve(samples, history.step_s)
    targets = {pool.name: pool.hosts for pool in current}
    moves: list[Move] = []
    # Pools whose next move would cost more than it saves.
    unprofitable: set[str] = set()
    while True:
        candidates = [
            each for each in current if each.name not in unprofitable
        ]
        move = _next_move(candidates, desired, curves, targets)
        if move is None:
            break
        savings = _savings_per_s(
            candidates, desired, curves, move, targets, weights
        )
        cost = weights.move_cost + weights.rollout_cost * settings.move_s
        if settings.moves_must_pay and savings * settings.horizon_s <= cost:
            is_return = _is_spare(current, move.target)
            unprofitable.add(move.source if is_return else move.target)
            continue
        targets[move.source] -= 1
        targets[move.target] += 1
        moves.append(move)
    return CapacityPlan(targets, desired.reserve, moves)


def _next_move(
    pools: Sequence[PoolState],
    desired: DesiredHosts,
    curves: Mapping[str, CostCurve],
    targets: dict[str, int],
) -> Move | None:
    """Return the most urgent move towards the desired hosts, if any."""
    target = _best_target(pools, desired, curves, targets)
    if target is None:
        return _return_to_spare(pools, desired, targets)
    source = _best_source(pools, desired, targets, target)
    return None if source is None else Move(source, target)


def _required_hosts(pool: PoolState, desired: DesiredHosts) -> int:
    """Return the number of hosts below which a pool should receive more."""
    hosts = desired.hosts[pool.name]
    if pool.spare:
        hosts += desired.reserve
    return max(hosts, pool.floor)


def _best_target(
    pools: Sequence[PoolState],
    desired: DesiredHosts,
    curves: Mapping[str, CostCurve],
    targets: dict[str, int],
) -> str | None:
    """Return the pool with a shortage that gains most from a host."""
    best: str | None = None
    best_saved_s = -1.0
    for pool in pools:
        hosts = targets[pool.name]
        if hosts >= _required_hosts(pool, desired):
            continue
        curve = curves[pool.name]
        saved_s = curve.late_s(hosts) - curve.late_s(hosts + 1)
        if saved_s > best_saved_s:
            best = pool.name
            best_saved_s = saved_s
    return best


def _best_source(
    pools: Sequence[PoolState],
    desired: DesiredHosts,
    targets: dict[str, int],
    target: str,
) -> str | None:
    """Return the pool with the largest surplus; prefer the spare pool."""
    best: str | None = None
    best_rank = (False, 0)
    for pool in pools:
        if pool.name == target:
            continue
        surplus = targets[pool.name] - max(
            desired.hosts[pool.name], pool.floor
        )
        if surplus <= 0:
            continue
        rank = (pool.spare, surplus)
        if best is None or rank > best_rank:
            best = pool.name
            best_rank = rank
    return best


def _return_to_spare(
    pools: Sequence[PoolState], desired: DesiredHosts, targets: dict[str, int]
) -> Move | None:
    """Return a move of a surplus host to the spare pool, if any."""
    spare = next((pool.name for pool in pools if pool.spare), None)
    if spare is None:
        return None
    sources = [pool for pool in pools if not pool.spare]
    source = _best_source(sources, desired, targets, spare)
    return None if source is None else Move(source, spare)


def _savings_per_s(
    pools: Sequence[PoolState],
    desired: DesiredHosts,
    curves: Mapping[str, CostCurve],
    move: Move,
    targets: Mapping[str, int],
    weights: CapacityWeights,
) -> float:
    """Return the cost that a move saves per second of expected demand."""
    savings = 0.0
    for pool in pools:
        curve = curves[pool.name]
        if curve.span_s == 0.0:
            continue
        hosts = targets[pool.name]
        if pool.name == move.source:
            late_s = curve.late_s(hosts) - curve.late_s(hosts - 1)
            hosts_after = hosts - 1
        elif pool.name == move.target:
            late_s = curve.recurring_late_s(hosts)
            late_s -= curve.recurring_late_s(hosts + 1)
            hosts_after = hosts + 1
        else:
            continue
        idle_s = _billed_idle_s(pool, desired, curve, hosts)
        idle_s -= _billed_idle_s(pool, desired, curve, hosts_after)
        saved = weights.late_cost * late_s + weights.idle_cost * idle_s
        savings += saved / curve.span_s
    return savings


def _billed_idle_s(
    pool: PoolState, desired: DesiredHosts, curve: CostCurve, hosts: int
) -> float:
    """Return the idle host-seconds that count as held capacity.

    Hosts of the spare pool beyond the reserve do not count: they are
    available to long work.
    """
    idle_s = curve.idle_s(hosts)
    if not pool.spare:
        return idle_s
    free = max(0, hosts - _required_hosts(pool, desired))
    return max(0.0, idle_s - free * curve.span_s)


def _is_spare(pools: Sequence[PoolState], name: str) -> bool:
    """Return whether the named pool is the spare pool."""
    return any(pool.spare and pool.name == name for pool in pools)
