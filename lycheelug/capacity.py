"""Where idle hosts are held before a surge, and which moves are worth it.

A policy says what each pool wants (`capacity_policies`).  The plan fits
this to the fleet and decides which hosts to move.  A move costs; it is
planned only where the late work that it is expected to avoid, less what
the giving pool will miss, is worth more over the planning horizon.  The
expectation is taken over minutes of demand, so a surge of some seconds
moves nothing by itself.

The plan depends on its arguments alone: any daemon may compute it again.

Limits: hosts are alike; which host moves is the fleet plan's decision.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.capacity_policies import (
    CALO_WEIGHTS,
    CAPACITY,
    GUILD_WEIGHTS,
    CapacityPolicy,
    CapacityWeights,
    PoolState,
    Wanted,
)
from lycheelug.demand_history import DemandHistory

if TYPE_CHECKING:
    from collections.abc import Sequence

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

_DEFAULT_POLICY: Final = "pooled-quantile"
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
    targets = {pool.name: pool.hosts for pool in current}
    moves: list[Move] = []
    while True:
        move = _next_move(history, current, wanted, targets)
        if move is None:
            break
        if settings.moves_must_pay and not _pays(
            history, move, targets, weights, settings
        ):
            break
        targets[move.source] -= 1
        targets[move.target] += 1
        moves.append(move)
    return CapacityPlan(targets, wanted.reserve, moves)


def _next_move(
    history: DemandHistory,
    pools: Sequence[PoolState],
    wanted: Wanted,
    targets: dict[str, int],
) -> Move | None:
    """Return the most urgent move towards what is wanted, if any."""
    target = _neediest(history, pools, wanted, targets)
    if target is None:
        return _return_to_spare(pools, wanted, targets)
    source = _richest(pools, wanted, targets, target)
    return None if source is None else Move(source, target)


def _neediest(
    history: DemandHistory,
    pools: Sequence[PoolState],
    wanted: Wanted,
    targets: dict[str, int],
) -> str | None:
    """Return the pool below its want where a host would help most."""
    best: str | None = None
    best_late = -1.0
    for pool in pools:
        if targets[pool.name] >= max(wanted.hosts[pool.name], pool.floor):
            continue
        late = _short(history, pool.name, targets[pool.name])
        if late > best_late:
            best = pool.name
            best_late = late
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
        if pool.name == taker or targets[pool.name] <= pool.floor:
            continue
        over = targets[pool.name] - wanted.hosts[pool.name]
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
    source = _richest(
        [pool for pool in pools if not pool.spare], wanted, targets, spare
    )
    return None if source is None else Move(source, spare)


def _pays(
    history: DemandHistory,
    move: Move,
    targets: dict[str, int],
    weights: CapacityWeights,
    settings: CapacitySettings,
) -> bool:
    """Whether a move is worth more than it costs over the horizon."""
    avoided = _short(history, move.target, targets[move.target])
    caused = _short(history, move.source, targets[move.source] - 1)
    useful_s = settings.horizon_s - settings.move_s
    gain = (avoided * useful_s - caused * settings.horizon_s) * weights.late
    # A host that is idle in both pools costs the same in both, but one in
    # the spare pool is held for all.
    freed = (1.0 - caused) - (1.0 - avoided)
    gain += freed * useful_s * weights.buffer
    return gain > weights.moves + weights.roll_out * settings.move_s


def _short(history: DemandHistory, pool: str, hosts: int) -> float:
    """Return the part of recent time in which demand exceeded `hosts`."""
    recent = history.recent(pool, history.window_s)
    if not recent:
        return 0.0
    above = sum(1 for demand in recent if demand > hosts)
    return above / len(recent)
