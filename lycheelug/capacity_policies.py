"""Policies that compute how many hosts each pool should have.

All policies weigh the cost of an idle host against that of late work.
They differ in the distribution of demand that they assume, in whether
they model how long callers accept to wait, and in whether pools share a
reserve for surges.

Limits: demand is measured in hosts; the caller converts it for executors
of different sizes.
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
    "DesiredHosts",
    "PoolState",
]

# Period over which the median of demand counts as sustained demand.
_SUSTAINED_S: Final = 60.0
# Factor on the quantile that each pool holds itself if the rest is held
# in a shared reserve.
_OWN_QUANTILE_FACTOR: Final = 0.85
# Samples that a slot of the day needs before its mean is used.
_MIN_SLOT_SAMPLES: Final = 100.0
# Period of demand that the reactive baseline uses.
_REACTIVE_S: Final = 5.0
# Largest factor by which the day profile scales demand; its inverse is the
# smallest.
_MAX_GROWTH: Final = 3.0
# Period that the forecast covers.
_FORECAST_S: Final = 300.0
# Largest difference between today and the previous days, in the logarithm
# of demand, at which the forecast is used.
_LEVEL_TOLERANCE: Final = 0.25
_TREND_TOLERANCE: Final = 0.25
# Relative change below which the forecast equals the recent demand.
_MIN_GROWTH: Final = 0.2


class PoolState:
    """The current hosts of a pool, its floor, and whether it is spare."""

    __slots__ = ("floor", "hosts", "name", "spare")

    def __init__(
        self, name: str, hosts: int, floor: int = 0, spare: bool = False
    ) -> None:
        self.name = name
        self.hosts = hosts
        self.floor = floor
        self.spare = spare


class DesiredHosts:
    """The hosts that each pool should have, and a shared reserve.

    `reserve` is the number of idle hosts that the spare pool should hold
    in addition to its own.  `expected` is the demand of each pool that the
    policy assumes, as samples in order of time.
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
    """Computes how many hosts each pool should have."""

    def __call__(
        self,
        history: DemandHistory,
        pools: Sequence[PoolState],
        weights: CapacityWeights,
        now: float,
    ) -> DesiredHosts:
        """Return the desired hosts, without regard to the fleet's size."""


CAPACITY: Final[Registry[CapacityPolicy]] = Registry("capacity policy")


def _recent_demand(
    history: DemandHistory, pools: Sequence[PoolState]
) -> dict[str, list[float]]:
    """Return the recent demand samples of each pool."""
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
) -> DesiredHosts:
    """Keep every host in its pool, as a baseline."""
    del weights, now
    return DesiredHosts(
        {pool.name: pool.hosts for pool in pools},
        _recent_demand(history, pools),
    )


@CAPACITY.register("reactive")
def reactive(
    history: DemandHistory,
    pools: Sequence[PoolState],
    weights: CapacityWeights,
    now: float,
) -> DesiredHosts:
    """Follow the peak demand of the last seconds, as a baseline."""
    del weights, now
    hosts: dict[str, int] = {}
    for pool in pools:
        last = history.recent(pool.name, _REACTIVE_S)
        hosts[pool.name] = math.ceil(max(last, default=0.0))
    return DesiredHosts(hosts, _recent_demand(history, pools))


@CAPACITY.register("static-peak")
def static_peak(
    history: DemandHistory,
    pools: Sequence[PoolState],
    weights: CapacityWeights,
    now: float,
) -> DesiredHosts:
    """Give each pool its highest recent demand, as a baseline."""
    del weights, now
    expected = _recent_demand(history, pools)
    hosts: dict[str, int] = {}
    for name, samples in expected.items():
        hosts[name] = math.ceil(max(samples, default=0.0))
    return DesiredHosts(hosts, expected)


@CAPACITY.register("mean-sigma")
def mean_sigma(
    history: DemandHistory,
    pools: Sequence[PoolState],
    weights: CapacityWeights,
    now: float,
) -> DesiredHosts:
    """Give each pool the quantile of a normal distribution of demand."""
    del now
    z_score = NormalDist().inv_cdf(weights.critical_fractile)
    expected = _recent_demand(history, pools)
    hosts: dict[str, int] = {}
    for name, samples in expected.items():
        if not samples:
            hosts[name] = 0
            continue
        bound = fmean(samples) + z_score * pstdev(samples)
        hosts[name] = math.ceil(max(0.0, bound))
    return DesiredHosts(hosts, expected)


@CAPACITY.register("quantile")
def own_quantile(
    history: DemandHistory,
    pools: Sequence[PoolState],
    weights: CapacityWeights,
    now: float,
) -> DesiredHosts:
    """Give each pool the quantile of its own recent demand."""
    del now
    expected = _recent_demand(history, pools)
    hosts: dict[str, int] = {}
    for name, samples in expected.items():
        held = quantile(sorted(samples), weights.critical_fractile)
        hosts[name] = math.ceil(held)
    return DesiredHosts(hosts, expected)


@CAPACITY.register("pooled-quantile")
def pooled_quantile(
    history: DemandHistory,
    pools: Sequence[PoolState],
    weights: CapacityWeights,
    now: float,
) -> DesiredHosts:
    """Give each pool less and let all share a reserve for surges.

    A pool gets a lower quantile of its demand, or its sustained demand if
    that is higher.  The reserve is the quantile of the total demand that
    exceeds the pools' own hosts at the same time.
    """
    del now
    expected = _recent_demand(history, pools)
    hosts: dict[str, int] = {}
    excess: list[float] = []
    for name, samples in expected.items():
        own = quantile(
            sorted(samples), weights.critical_fractile * _OWN_QUANTILE_FACTOR
        )
        last = sorted(history.recent(name, _SUSTAINED_S))
        held = math.ceil(max(own, quantile(last, 0.5)))
        hosts[name] = held
        if len(samples) > len(excess):
            excess = [0.0] * (len(samples) - len(excess)) + excess
        for age, demand in enumerate(reversed(samples), start=1):
            excess[-age] += max(0.0, demand - held)
    reserve = math.ceil(quantile(sorted(excess), weights.critical_fractile))
    return DesiredHosts(hosts, expected, reserve)


@CAPACITY.register("queue-replay")
def queue_replay(
    history: DemandHistory,
    pools: Sequence[PoolState],
    weights: CapacityWeights,
    now: float,
) -> DesiredHosts:
    """Give each pool the hosts that minimize the cost of recent demand.

    The recent samples are replayed through a queue for each number of
    hosts, so no hosts are held for demand that can wait.
    """
    del now
    expected = _recent_demand(history, pools)
    hosts: dict[str, int] = {}
    for name, samples in expected.items():
        hosts[name] = CostCurve(samples, history.step_s).cheapest(weights)
    return DesiredHosts(hosts, expected)


@CAPACITY.register("time-of-day")
def time_of_day(
    history: DemandHistory,
    pools: Sequence[PoolState],
    weights: CapacityWeights,
    now: float,
) -> DesiredHosts:
    """Apply `queue-replay` to demand scaled by the time of day.

    The factor is the mean of the day profile over the coming minutes,
    divided by its mean over the period of the recent samples.
    """
    expected: dict[str, list[float]] = {}
    hosts: dict[str, int] = {}
    for pool in pools:
        name = pool.name
        samples = history.recent(name, history.window_s)
        growth = _expected_growth(history, name, now)
        expected[name] = [demand * growth for demand in samples]
        curve = CostCurve(expected[name], history.step_s)
        hosts[name] = curve.cheapest(weights)
    return DesiredHosts(hosts, expected)


def _expected_growth(history: DemandHistory, pool: str, now: float) -> float:
    """Return the factor by which demand usually changes from now on.

    The profile is used only while today resembles the previous days.  It
    is noisy because of bursts, so a small change is ignored.
    """
    if history.profile_samples(pool, now + _FORECAST_S) < _MIN_SLOT_SAMPLES:
        return 1.0
    if not _matches_profile(history, pool, now):
        return 1.0
    past = history.profile_mean(pool, now - history.window_s, now)
    ahead = history.profile_mean(pool, now, now + _FORECAST_S)
    growth = ahead / past
    if abs(growth - 1.0) < _MIN_GROWTH:
        return 1.0
    return min(_MAX_GROWTH, max(1.0 / _MAX_GROWTH, growth))


def _matches_profile(history: DemandHistory, pool: str, now: float) -> bool:
    """Return whether recent demand matches the profile's level and trend."""
    samples = history.recent(pool, history.window_s)
    half = len(samples) // 2
    if half == 0:
        return False
    middle = now - half * history.step_s
    start = now - len(samples) * history.step_s
    actual_first = fmean(samples[:half])
    actual_last = fmean(samples[half:])
    usual_first = history.profile_mean(pool, start, middle)
    usual_last = history.profile_mean(pool, middle, now)
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
