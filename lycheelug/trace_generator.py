"""Generates traces of the two deployments from their specified sizes.

Each pool's arrivals are a Poisson process with a variable rate: the pool's
mean, then five times the mean for some seconds, then a twentieth of it,
then the mean again.  The surges of the pools follow one another.  Run times
are lognormal.  Declared run times deviate by a lognormal factor, and some
callers always declare the same value.  The trace also contains waves of
cancellations, requests that fail on every worker, workers that fail every
request, and the simultaneous failure of a whole rack.

The same seed gives the same trace.

Limits: daily patterns and correlation between the requests of a caller are
not modelled.
"""

from __future__ import annotations

from math import log
from operator import attrgetter
from random import Random
from typing import TYPE_CHECKING, Final

from lycheelug.trace_deployments import DEPLOYMENTS
from lycheelug.traces import (
    FORMAT,
    VERSION,
    Arrival,
    Cancel,
    Header,
    HostBack,
    HostFailed,
    Trace,
    TraceExecutor,
    TracePool,
    WorkerBad,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheelug.trace_deployments import ClassMix, Deployment, PoolMix
    from lycheelug.traces import Event

__all__ = ["DEPLOYMENTS", "make_trace"]

SURGE_FACTOR: Final = 5.0
TROUGH_FACTOR: Final = 0.05
SURGE_S: Final = 6.0
TROUGH_S: Final = 20.0
SLOTS: Final = 8
CONNECTIONS: Final = 64
HOSTS_PER_RACK: Final = 4
MIN_RUN_S: Final = 0.005
DECLARED_SIGMA: Final = 1.5
CONSTANT_DECLARED_SHARE: Final = 0.2
CONSTANT_DECLARED_S: Final = 1.0
CANCEL_WAVE_MAX_AGE_S: Final = 4.0
CANCEL_WAVE_SPREAD_S: Final = 0.3
CANCEL_WAVE_SHARE: Final = 0.3
NEVER_RUNS_SHARE: Final = 0.004
BAD_WORKER_S: Final = 15.0
RACK_DOWN_S: Final = 20.0
DIGITS: Final = 4


def make_trace(
    deployment: Deployment,
    seed: int,
    duration_s: float = 60.0,
    scale: float = 1.0,
) -> Trace:
    """Return the trace of a seed; `scale` scales executors and arrivals.

    >>> trace = make_trace(DEPLOYMENTS.get("guild"), seed=1, duration_s=5.0)
    >>> len(trace.header.pools), len(trace.header.pools[0].executors)
    (5, 8)
    """
    rng = Random(seed)
    pools = _place_pools(deployment, scale)
    header = Header(
        format=FORMAT,
        version=VERSION,
        deployment=deployment.name,
        duration_s=duration_s,
        pools=pools,
        seed=seed,
    )
    events: list[Event] = []
    interval_s = duration_s / len(pools)
    for number, mix in enumerate(deployment.pools):
        slots = len(pools[number].executors) * SLOTS
        surge_at = number * interval_s + rng.uniform(0.3, 0.6) * interval_s
        tenant_weights = _tenant_weights(deployment.tenants, rng)
        arrivals = _pool_arrivals(
            mix, slots, duration_s, surge_at, tenant_weights, rng
        )
        events.extend(arrivals)
    events.sort(key=attrgetter("at"))
    _assign_ids(events)
    events.extend(_cancellations(events, duration_s, rng))
    events.extend(_failures(pools, duration_s, rng))
    events.sort(key=attrgetter("at"))
    return Trace(header, events)


def _place_pools(deployment: Deployment, scale: float) -> list[TracePool]:
    """Distribute the executors over the zones, with four hosts per rack.

    Hosts are assigned to the racks of a zone in the order of the pools, so
    a rack contains hosts of several pools.
    """
    executors = max(2, round(deployment.executors * scale))
    hosts_in_zone = dict.fromkeys(deployment.zones, 0)
    pools: list[TracePool] = []
    placed_count = 0
    for mix in deployment.pools:
        hosts: list[TraceExecutor] = []
        for number in range(executors):
            zone = deployment.zones[placed_count % len(deployment.zones)]
            placed_count += 1
            rack = f"{zone}-r{hosts_in_zone[zone] // HOSTS_PER_RACK}"
            hosts_in_zone[zone] += 1
            hosts.append(TraceExecutor(f"{mix.name}-{number}", zone, rack))
        pools.append(TracePool(mix.name, hosts, SLOTS, CONNECTIONS))
    return pools


def _tenant_weights(tenants: int, rng: Random) -> list[float]:
    """Return the share of each tenant, of which a few send most work."""
    tenant_weights = [1.0 / (rank + 2) for rank in range(tenants)]
    rng.shuffle(tenant_weights)
    return tenant_weights


def _rate_factor(at: float, surge_at: float) -> float:
    """Return the arrival rate as a multiple of the pool's mean rate."""
    if at < surge_at:
        return 1.0
    if at < surge_at + SURGE_S:
        return SURGE_FACTOR
    if at < surge_at + SURGE_S + TROUGH_S:
        return TROUGH_FACTOR
    return 1.0


def _pool_arrivals(
    mix: PoolMix,
    slots: int,
    duration_s: float,
    surge_at: float,
    tenant_weights: Sequence[float],
    rng: Random,
) -> list[Event]:
    """Return the arrivals of a pool, thinned from its peak rate."""
    tenants = [
        f"team-{number + 1:02}" for number in range(len(tenant_weights))
    ]
    arrivals: list[Event] = []
    for class_mix in mix.classes:
        mean_rate = (
            slots * mix.load * class_mix.work_share / class_mix.run_mean_s
        )
        peak_rate = mean_rate * SURGE_FACTOR
        at = rng.expovariate(peak_rate)
        while at < duration_s:
            factor = _rate_factor(at, surge_at)
            if rng.random() * SURGE_FACTOR < factor:
                tenant = rng.choices(tenants, tenant_weights)[0]
                arrivals.append(_arrival(mix, class_mix, at, tenant, rng))
            at += rng.expovariate(peak_rate)
    return arrivals


def _arrival(
    mix: PoolMix, class_mix: ClassMix, at: float, tenant: str, rng: Random
) -> Arrival:
    """Return a request whose id is assigned later."""
    mu = log(class_mix.run_mean_s) - class_mix.run_sigma**2 / 2
    actual_s = max(MIN_RUN_S, rng.lognormvariate(mu, class_mix.run_sigma))
    declared_s = actual_s * rng.lognormvariate(0.0, DECLARED_SIGMA)
    if rng.random() < CONSTANT_DECLARED_SHARE:
        declared_s = CONSTANT_DECLARED_S
    deadline_s: float | None = None
    if (
        class_mix.deadline_from_s is not None
        and class_mix.deadline_to_s is not None
    ):
        drawn_s = rng.uniform(
            class_mix.deadline_from_s, class_mix.deadline_to_s
        )
        deadline_s = round(drawn_s, DIGITS)
    return Arrival(
        at=round(at, DIGITS),
        id=0,
        pool=mix.name,
        tenant=tenant,
        request_class=class_mix.request_class,
        declared_s=max(round(declared_s, DIGITS), MIN_RUN_S),
        actual_s=round(actual_s, DIGITS),
        deadline_s=deadline_s,
        repeatable=rng.random() < mix.repeatable_share,
        runnable=rng.random() >= NEVER_RUNS_SHARE,
    )


def _assign_ids(events: Sequence[Event]) -> None:
    """Assign ids to the arrivals in order of time."""
    number = 0
    for event in events:
        if not isinstance(event, Arrival):
            continue
        number += 1
        event.id = number


def _cancellations(
    events: Sequence[Event], duration_s: float, rng: Random
) -> list[Event]:
    """Return two waves of cancellations of recently arrived requests."""
    cancels: list[Event] = []
    cancelled: set[int] = set()
    for _ in range(2):
        wave_at = rng.uniform(0.2, 0.9) * duration_s
        for event in events:
            if not isinstance(event, Arrival) or event.id in cancelled:
                continue
            if not wave_at - CANCEL_WAVE_MAX_AGE_S < event.at < wave_at:
                continue
            if rng.random() >= CANCEL_WAVE_SHARE:
                continue
            at = wave_at + rng.uniform(0.0, CANCEL_WAVE_SPREAD_S)
            cancels.append(Cancel(round(at, DIGITS), event.id))
            cancelled.add(event.id)
    return cancels


def _failures(
    pools: Sequence[TracePool], duration_s: float, rng: Random
) -> list[Event]:
    """Return the failures: a bad worker in two pools and one rack."""
    failures: list[Event] = []
    bad_hosts: set[str] = set()
    for pool in rng.sample(list(pools), 2):
        host = rng.choice(pool.executors).host
        bad_hosts.add(host)
        at = rng.uniform(0.1, 0.6) * duration_s
        failures.append(WorkerBad(round(at, DIGITS), host))
        back_at = round(at + BAD_WORKER_S, DIGITS)
        failures.append(HostBack(back_at, host))
    racks = sorted({e.rack for pool in pools for e in pool.executors})
    rack = rng.choice(racks)
    at = round(rng.uniform(0.2, 0.7) * duration_s, DIGITS)
    for pool in pools:
        for executor in pool.executors:
            if executor.rack != rack or executor.host in bad_hosts:
                continue
            failures.append(HostFailed(at, executor.host))
            back_at = round(at + RACK_DOWN_S, DIGITS)
            failures.append(HostBack(back_at, executor.host))
    return failures
