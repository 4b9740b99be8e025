"""How many hosts each pool wants, by several policies.

All policies weigh an idle host against late work.  With `late` the cost of
a second's work done late and `buffer` that of a host idle for a second, the
number of hosts with the least expected cost is the quantile
late / (late + buffer) of demand (the newsvendor rule).  They differ in what
they take for the distribution of demand, and in whether pools share what
they hold for surges.

Limits: demand is in hosts' worth of work; the size of executors is the
caller's matter.
"""

from __future__ import annotations

import math
from statistics import NormalDist, fmean, pstdev
from typing import TYPE_CHECKING, Final, Protocol

from lycheelug.demand_history import DemandHistory, quantile
from lycheelug.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

__all__ = [
    "CALO_WEIGHTS",
    "CAPACITY",
    "GUILD_WEIGHTS",
    "CapacityPolicy",
    "CapacityWeights",
    "PoolState",
    "Wanted",
]

# Demand must have exceeded a pool this long before it counts as sustained.
_SUSTAINED_S: Final = 60.0
# Part of the wanted quantile that each pool holds itself when the rest is
# pooled.
_OWN_PART: Final = 0.85
# A slot of the day with fewer samples says nothing.
_MIN_SLOT_SAMPLES: Final = 300.0
# Look ahead of the forecast: the time that a move takes to come about.
_LEAD_S: Final = 60.0


class CapacityWeights:
    """What a user weighs, in units of one host idle for one second."""

    __slots__ = ("buffer", "late", "moves", "roll_out")

    def __init__(
        self,
        buffer: float = 1.0,
        late: float = 30.0,
        moves: float = 60.0,
        roll_out: float = 1.0,
    ) -> None:
        # A host held idle for a second.
        self.buffer = buffer
        # A second's work of one host done late.
        self.late = late
        # One host shifted between pools.
        self.moves = moves
        # A second that one move is under way.
        self.roll_out = roll_out

    @property
    def fractile(self) -> float:
        """The quantile of demand with the least expected cost.

        >>> CapacityWeights(buffer=1.0, late=9.0).fractile
        0.9
        """
        return self.late / (self.late + self.buffer)


GUILD_WEIGHTS: Final = CapacityWeights(buffer=3.0, roll_out=1.0)
CALO_WEIGHTS: Final = CapacityWeights(buffer=1.0, roll_out=3.0)


class PoolState:
    """One pool now: its hosts, the least it keeps, whether it is spare."""

    __slots__ = ("floor", "hosts", "name", "spare")

    def __init__(
        self, name: str, hosts: int, floor: int = 0, spare: bool = False
    ) -> None:
        self.name = name
        self.hosts = hosts
        self.floor = floor
        self.spare = spare


class Wanted:
    """Hosts that each pool wants, and idle hosts that all share.

    `reserve` hosts are held in the spare pool beyond its own want.
    """

    __slots__ = ("hosts", "reserve")

    def __init__(self, hosts: Mapping[str, int], reserve: int = 0) -> None:
        self.hosts = dict(hosts)
        self.reserve = reserve


class CapacityPolicy(Protocol):
    """Says how many hosts each pool wants."""

    def __call__(
        self,
        history: DemandHistory,
        pools: Sequence[PoolState],
        weights: CapacityWeights,
        now: float,
    ) -> Wanted:
        """Return the wanted hosts, not yet bounded by the fleet."""


CAPACITY: Final[Registry[CapacityPolicy]] = Registry("capacity policy")


@CAPACITY.register("hold")
def hold(
    history: DemandHistory,
    pools: Sequence[PoolState],
    weights: CapacityWeights,
    now: float,
) -> Wanted:
    """Baseline: leave every host where it is."""
    del history, weights, now
    return Wanted({pool.name: pool.hosts for pool in pools})


@CAPACITY.register("static-peak")
def static_peak(
    history: DemandHistory,
    pools: Sequence[PoolState],
    weights: CapacityWeights,
    now: float,
) -> Wanted:
    """Baseline: each pool holds its highest recent demand."""
    del weights, now
    hosts: dict[str, int] = {}
    for pool in pools:
        recent = history.recent(pool.name, history.window_s)
        hosts[pool.name] = math.ceil(max(recent, default=0.0))
    return Wanted(hosts)


@CAPACITY.register("mean-sigma")
def mean_sigma(
    history: DemandHistory,
    pools: Sequence[PoolState],
    weights: CapacityWeights,
    now: float,
) -> Wanted:
    """Each pool holds the quantile as if demand were normal."""
    del now
    sigmas = NormalDist().inv_cdf(weights.fractile)
    hosts: dict[str, int] = {}
    for pool in pools:
        recent = history.recent(pool.name, history.window_s)
        if not recent:
            hosts[pool.name] = 0
            continue
        hosts[pool.name] = math.ceil(
            max(0.0, fmean(recent) + sigmas * pstdev(recent))
        )
    return Wanted(hosts)


@CAPACITY.register("quantile")
def own_quantile(
    history: DemandHistory,
    pools: Sequence[PoolState],
    weights: CapacityWeights,
    now: float,
) -> Wanted:
    """Each pool holds the quantile of its own recent demand."""
    del now
    hosts: dict[str, int] = {}
    for pool in pools:
        recent = sorted(history.recent(pool.name, history.window_s))
        hosts[pool.name] = math.ceil(quantile(recent, weights.fractile))
    return Wanted(hosts)


@CAPACITY.register("pooled-quantile")
def pooled_quantile(
    history: DemandHistory,
    pools: Sequence[PoolState],
    weights: CapacityWeights,
    now: float,
) -> Wanted:
    """Pools hold less each, and share a reserve for their joint excess.

    A pool holds a lower quantile, or its sustained demand where that is
    more; the reserve is the quantile of what all pools' demand exceeds
    this by at the same time.
    """
    del now
    hosts: dict[str, int] = {}
    excess: list[float] = []
    for pool in pools:
        samples = history.recent(pool.name, history.window_s)
        own = quantile(sorted(samples), weights.fractile * _OWN_PART)
        sustained = quantile(
            sorted(history.recent(pool.name, _SUSTAINED_S)), 0.5
        )
        held = math.ceil(max(own, sustained))
        hosts[pool.name] = held
        if len(samples) > len(excess):
            excess = [0.0] * (len(samples) - len(excess)) + excess
        for back, demand in enumerate(reversed(samples), start=1):
            excess[-back] += max(0.0, demand - held)
    reserve = math.ceil(quantile(sorted(excess), weights.fractile))
    return Wanted(hosts, reserve)


@CAPACITY.register("time-of-day")
def time_of_day(
    history: DemandHistory,
    pools: Sequence[PoolState],
    weights: CapacityWeights,
    now: float,
) -> Wanted:
    """Each pool holds the quantile usual at the time a move takes effect.

    Falls back to the recent quantile where that hour is not known yet.
    """
    recent = own_quantile(history, pools, weights, now)
    hosts: dict[str, int] = {}
    for pool in pools:
        at = now + _LEAD_S
        if history.slot_samples(pool.name, at) < _MIN_SLOT_SAMPLES:
            hosts[pool.name] = recent.hosts[pool.name]
            continue
        usual = history.slot_quantile(pool.name, at, weights.fractile)
        hosts[pool.name] = math.ceil(usual)
    return Wanted(hosts)
