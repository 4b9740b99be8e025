"""Where idle hosts are held before a surge, and which moves are worth it.

A policy says what each pool wants (`capacity_policies`).  The plan fits
this to the fleet and decides which hosts to move.  A move costs; it is
planned only where the late work and idle time that it is expected to
save, less what the giving pool will miss, is worth more over the planning
horizon.  The expectation is taken over minutes of demand, so a surge of
some seconds moves nothing by itself.

The plan depends on its arguments alone: any daemon may compute it again.

Limits: hosts are alike; which host moves is the fleet plan's decision.
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
    PoolState,
    Wanted,
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
    "Move",
    "PoolState",
    "Wanted",
    "plan_capacity",
]

_DEFAULT_POLICY: Final = "time-of-day"
_HORIZON_S: Final = 600.0
_MOVE_S: Final = 30.0


class CapacitySettings:
    """Settings of the capacity plan."""

    __slots__ = ("horizon_s", "move_s", "moves_must_pay", "policy")

    def __init__(
        self,
        policy: str = _DEFAULT_POLICY,
        horizon_s: float = _HORIZON_S,
        move_s: float = _MOVE_S,
        moves_must_pay: bool = True,
    ) -> None:
        self.policy = policy
        # Time over which a move must pay.
        self.horizon_s = horizon_s
        # Time that a move takes; its host serves neither pool meanwhile.
        self.move_s = move_s
        # False leaves out the hysteresis, for comparison.
        self.moves_must_pay = moves_must_pay


class Move:
    """One host to be shifted from a pool to another."""

    __slots__ = ("source", "target")

    def __init__(self, source: str, target: str) -> None:
        self.source = source
        self.target = target

    def __repr__(self) -> str:
        return f"Move({self.source} -> {self.target})"


class CapacityPlan:
    """Hosts that each pool is to have, and the moves towards it.

    `reserve` hosts of the spare pool are to be kept idle for all pools.
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
    """Return how many hosts each pool is to have from now on.

    The targets add up to the hosts that there are, and none is below its
    pool's floor unless the pool is already.

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
    wanted = CAPACITY.get(settings.policy)(history, current, weights, now)
    curves: dict[str, CostCurve] = {}
    for pool in current:
        samples = wanted.expected[pool.name]
        curves[pool.name] = CostCurve(samples, history.step_s)
    targets = {pool.name: pool.hosts for pool in current}
    moves: list[Move] = []
    # Pools whose next move would not pay.
    settled: set[str] = set()
    while True:
        open_pools = [each for each in current if each.name not in settled]
        move = _next_move(open_pools, wanted, curves, targets)
        if move is None:
            break
        gain = _gain(open_pools, wanted, curves, move, targets, weights)
        cost = weights.move_cost + weights.rollout_cost * settings.move_s
        if settings.moves_must_pay and gain * settings.horizon_s <= cost:
            spare_gains = _is_spare(current, move.target)
            settled.add(move.source if spare_gains else move.target)
            continue
        targets[move.source] -= 1
        targets[move.target] += 1
        moves.append(move)
    return CapacityPlan(targets, wanted.reserve, moves)


def _next_move(
    pools: Sequence[PoolState],
    wanted: Wanted,
    curves: Mapping[str, CostCurve],
    targets: dict[str, int],
) -> Move | None:
    """Return the most urgent move towards what is wanted, if any."""
    target = _neediest(pools, wanted, curves, targets)
    if target is None:
        return _return_to_spare(pools, wanted, targets)
    source = _richest(pools, wanted, targets, target)
    return None if source is None else Move(source, target)


def _least(pool: PoolState, wanted: Wanted) -> int:
    """Return the hosts below which a pool wants more."""
    hosts = wanted.hosts[pool.name]
    if pool.spare:
        hosts += wanted.reserve
    return max(hosts, pool.floor)


def _neediest(
    pools: Sequence[PoolState],
    wanted: Wanted,
    curves: Mapping[str, CostCurve],
    targets: dict[str, int],
) -> str | None:
    """Return the pool below its want where a host would help most."""
    best: str | None = None
    most_saved_s = -1.0
    for pool in pools:
        hosts = targets[pool.name]
        if hosts >= _least(pool, wanted):
            continue
        curve = curves[pool.name]
        saved_s = curve.late_s(hosts) - curve.late_s(hosts + 1)
        if saved_s > most_saved_s:
            best = pool.name
            most_saved_s = saved_s
    return best


def _richest(
    pools: Sequence[PoolState],
    wanted: Wanted,
    targets: dict[str, int],
    taker: str,
) -> str | None:
    """Return the pool that can best give a host; the spare pool first."""
    best: str | None = None
    best_rank = (False, 0)
    for pool in pools:
        if pool.name == taker:
            continue
        over = targets[pool.name] - max(wanted.hosts[pool.name], pool.floor)
        if over <= 0:
            continue
        rank = (pool.spare, over)
        if best is None or rank > best_rank:
            best = pool.name
            best_rank = rank
    return best


def _return_to_spare(
    pools: Sequence[PoolState], wanted: Wanted, targets: dict[str, int]
) -> Move | None:
    """Return the move of a host that a pool no longer wants."""
    spare = next((pool.name for pool in pools if pool.spare), None)
    if spare is None:
        return None
    owners = [pool for pool in pools if not pool.spare]
    source = _richest(owners, wanted, targets, spare)
    return None if source is None else Move(source, spare)


def _gain(
    pools: Sequence[PoolState],
    wanted: Wanted,
    curves: Mapping[str, CostCurve],
    move: Move,
    targets: Mapping[str, int],
    weights: CapacityWeights,
) -> float:
    """Return what a move saves in each second of the expected demand."""
    gain = 0.0
    for pool in pools:
        curve = curves[pool.name]
        if curve.span_s == 0.0:
            continue
        hosts = targets[pool.name]
        if pool.name == move.source:
            late_s = curve.late_s(hosts) - curve.late_s(hosts - 1)
            after = hosts - 1
        elif pool.name == move.target:
            late_s = curve.recurring_late_s(hosts)
            late_s -= curve.recurring_late_s(hosts + 1)
            after = hosts + 1
        else:
            continue
        idle_s = _held_idle_s(pool, wanted, curve, hosts)
        idle_s -= _held_idle_s(pool, wanted, curve, after)
        saved = weights.late_cost * late_s + weights.idle_cost * idle_s
        gain += saved / curve.span_s
    return gain


def _held_idle_s(
    pool: PoolState, wanted: Wanted, curve: CostCurve, hosts: int
) -> float:
    """Return the idle time of hosts that count as buffer.

    Hosts of the spare pool beyond the reserve are free for long work.
    """
    idle_s = curve.idle_s(hosts)
    if not pool.spare:
        return idle_s
    free = max(0, hosts - _least(pool, wanted))
    return max(0.0, idle_s - free * curve.span_s)


def _is_spare(pools: Sequence[PoolState], name: str) -> bool:
    """Whether the pool of that name is the spare pool."""
    return any(pool.spare and pool.name == name for pool in pools)
