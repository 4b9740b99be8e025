"""How many hosts each pool wants, by several policies.

All policies weigh an idle host against late work.  They differ in what
they take for the distribution of demand, in whether they reckon with the
patience of callers, and in whether pools share what they hold for surges.

Limits: demand is in hosts' worth of work; the size of executors is the
caller's matter.
"""

from __future__ import annotations

import math
from statistics import NormalDist, fmean, pstdev
from typing import TYPE_CHECKING, Final, Protocol

from lycheelug.capacity_costs import CapacityWeights, CostCurve
from lycheelug.demand_history import DemandHistory, quantile
from lycheelug.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

__all__ = [
    "CAPACITY",
    "CapacityPolicy",
    "PoolState",
    "Wanted",
]

# Demand must have exceeded a pool this long before it counts as sustained.
_SUSTAINED_S: Final = 60.0
# Part of the wanted quantile that each pool holds itself when the rest is
# pooled.
_OWN_PART: Final = 0.85
# A slot of the day with fewer samples says nothing.
_MIN_SLOT_SAMPLES: Final = 100.0
# What the reactive baseline looks back on.
_REACTIVE_S: Final = 5.0
# Bound on what a day profile may scale demand by.
_MAX_GROWTH: Final = 3.0
# Look ahead of the forecast.
_AHEAD_S: Final = 300.0
# Largest difference of today from the days before, in the logarithm of
# demand, at which the forecast is trusted.
_LEVEL_TOLERANCE: Final = 0.25
_TREND_TOLERANCE: Final = 0.25
# Change of demand below which the forecast keeps the recent demand.
_LEAST_GROWTH: Final = 0.2


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

    `reserve` hosts are held in the spare pool beyond its own want;
    `expected` is the demand of each pool that the policy reckons with, as
    samples in order of time.
    """

    __slots__ = ("expected", "hosts", "reserve")

    def __init__(
        self,
        hosts: Mapping[str, int],
        expected: Mapping[str, Sequence[float]],
        reserve: int = 0,
    ) -> None:
        self.hosts = dict(hosts)
        self.expected = expected
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


def _recent(
    history: DemandHistory, pools: Sequence[PoolState]
) -> dict[str, list[float]]:
    """Return the recent samples of all pools."""
    samples: dict[str, list[float]] = {}
    for pool in pools:
        samples[pool.name] = history.recent(pool.name, history.window_s)
    return samples


@CAPACITY.register("hold")
def hold(
    history: DemandHistory,
    pools: Sequence[PoolState],
    weights: CapacityWeights,
    now: float,
) -> Wanted:
    """Baseline: leave every host where it is."""
    del weights, now
    return Wanted(
        {pool.name: pool.hosts for pool in pools}, _recent(history, pools)
    )


@CAPACITY.register("reactive")
def reactive(
    history: DemandHistory,
    pools: Sequence[PoolState],
    weights: CapacityWeights,
    now: float,
) -> Wanted:
    """Baseline: follow the demand of the last seconds."""
    del weights, now
    hosts: dict[str, int] = {}
    for pool in pools:
        last = history.recent(pool.name, _REACTIVE_S)
        hosts[pool.name] = math.ceil(max(last, default=0.0))
    return Wanted(hosts, _recent(history, pools))


@CAPACITY.register("static-peak")
def static_peak(
    history: DemandHistory,
    pools: Sequence[PoolState],
    weights: CapacityWeights,
    now: float,
) -> Wanted:
    """Baseline: each pool holds its highest recent demand."""
    del weights, now
    expected = _recent(history, pools)
    hosts: dict[str, int] = {}
    for name, samples in expected.items():
        hosts[name] = math.ceil(max(samples, default=0.0))
    return Wanted(hosts, expected)


@CAPACITY.register("mean-sigma")
def mean_sigma(
    history: DemandHistory,
    pools: Sequence[PoolState],
    weights: CapacityWeights,
    now: float,
) -> Wanted:
    """Each pool holds the quantile as if demand were normal."""
    del now
    sigmas = NormalDist().inv_cdf(weights.critical_fractile)
    expected = _recent(history, pools)
    hosts: dict[str, int] = {}
    for name, samples in expected.items():
        if not samples:
            hosts[name] = 0
            continue
        bound = fmean(samples) + sigmas * pstdev(samples)
        hosts[name] = math.ceil(max(0.0, bound))
    return Wanted(hosts, expected)


@CAPACITY.register("quantile")
def own_quantile(
    history: DemandHistory,
    pools: Sequence[PoolState],
    weights: CapacityWeights,
    now: float,
) -> Wanted:
    """Each pool holds the quantile of its own recent demand."""
    del now
    expected = _recent(history, pools)
    hosts: dict[str, int] = {}
    for name, samples in expected.items():
        held = quantile(sorted(samples), weights.critical_fractile)
        hosts[name] = math.ceil(held)
    return Wanted(hosts, expected)


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
    expected = _recent(history, pools)
    hosts: dict[str, int] = {}
    excess: list[float] = []
    for name, samples in expected.items():
        own = quantile(sorted(samples), weights.critical_fractile * _OWN_PART)
        last = sorted(history.recent(name, _SUSTAINED_S))
        held = math.ceil(max(own, quantile(last, 0.5)))
        hosts[name] = held
        if len(samples) > len(excess):
            excess = [0.0] * (len(samples) - len(excess)) + excess
        for back, demand in enumerate(reversed(samples), start=1):
            excess[-back] += max(0.0, demand - held)
    reserve = math.ceil(quantile(sorted(excess), weights.critical_fractile))
    return Wanted(hosts, expected, reserve)


@CAPACITY.register("queue-replay")
def queue_replay(
    history: DemandHistory,
    pools: Sequence[PoolState],
    weights: CapacityWeights,
    now: float,
) -> Wanted:
    """Each pool holds what had cost least over the recent demand.

    The recent samples are replayed through a queue for each number of
    hosts, so that what callers' patience absorbs needs no hosts.
    """
    del now
    expected = _recent(history, pools)
    hosts: dict[str, int] = {}
    for name, samples in expected.items():
        hosts[name] = CostCurve(samples, history.step_s).cheapest(weights)
    return Wanted(hosts, expected)


@CAPACITY.register("time-of-day")
def time_of_day(
    history: DemandHistory,
    pools: Sequence[PoolState],
    weights: CapacityWeights,
    now: float,
) -> Wanted:
    """As `queue-replay`, on demand scaled to the time of day ahead.

    The scale is the day profile's mean at the time when a move takes
    effect, over its mean during the recent samples.
    """
    expected: dict[str, list[float]] = {}
    hosts: dict[str, int] = {}
    for pool in pools:
        name = pool.name
        samples = history.recent(name, history.window_s)
        growth = _growth(history, name, now)
        expected[name] = [demand * growth for demand in samples]
        curve = CostCurve(expected[name], history.step_s)
        hosts[name] = curve.cheapest(weights)
    return Wanted(hosts, expected)


def _growth(history: DemandHistory, pool: str, now: float) -> float:
    """Return how demand usually changes from the recent past to soon.

    The profile is trusted only while today is like the days before.
    Bursts make it noisy: a small change counts as none.
    """
    if history.slot_samples(pool, now + _AHEAD_S) < _MIN_SLOT_SAMPLES:
        return 1.0
    if not _is_usual(history, pool, now):
        return 1.0
    past = history.usual_mean(pool, now - history.window_s, now)
    ahead = history.usual_mean(pool, now, now + _AHEAD_S)
    growth = ahead / past
    if abs(growth - 1.0) < _LEAST_GROWTH:
        return 1.0
    return min(_MAX_GROWTH, max(1.0 / _MAX_GROWTH, growth))


def _is_usual(history: DemandHistory, pool: str, now: float) -> bool:
    """Whether recent demand had the level and the trend of this hour."""
    samples = history.recent(pool, history.window_s)
    half = len(samples) // 2
    if half == 0:
        return False
    middle = now - half * history.step_s
    start = now - len(samples) * history.step_s
    actual_first = fmean(samples[:half])
    actual_last = fmean(samples[half:])
    usual_first = history.usual_mean(pool, start, middle)
    usual_last = history.usual_mean(pool, middle, now)
    if min(actual_first, actual_last, usual_first, usual_last) <= 0.0:
        return False
    for actual, usual in (
        (actual_first, usual_first),
        (actual_last, usual_last),
    ):
        if abs(math.log(actual / usual)) > _LEVEL_TOLERANCE:
            return False
    actual_trend = math.log(actual_last / actual_first)
    usual_trend = math.log(usual_last / usual_first)
    return abs(actual_trend - usual_trend) <= _TREND_TOLERANCE
