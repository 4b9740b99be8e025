"""Traces and simulations that isolate single effects of load.

The traces of whole deployments combine all effects; these traces complement
them with steady overload, one flooding tenant and shared executors.
"""

from __future__ import annotations

from math import log
from operator import attrgetter
from random import Random
from typing import TYPE_CHECKING, Final

from lycheelug.limits import LIMITS
from lycheelug.replay_executors import ReplayExecutor
from lycheelug.replay_requests import Request, Run
from lycheelug.requests import RequestClass
from lycheelug.traces import (
    FORMAT,
    VERSION,
    Arrival,
    Event,
    Header,
    Trace,
    TraceExecutor,
    TracePool,
    WorkerSlowed,
)

if TYPE_CHECKING:
    from lycheelug.limits import Limit

__all__ = [
    "FLOODING_TENANT",
    "make_flood_trace",
    "make_overload_trace",
    "shared_executor_rate",
]

SLOTS: Final = 8
CONNECTIONS: Final = 64
RUN_MEAN_S: Final = 0.15
RUN_SIGMA: Final = 0.6
FLOODING_TENANT: Final = "hog"
FLOOD_FROM_S: Final = 10.0
FLOOD_UNTIL_S: Final = 20.0
OTHERS_LOAD: Final = 0.7
FLOOD_LOAD: Final = 1.5
OTHER_TENANTS: Final = 20


def make_overload_trace(
    load: float,
    slots: int,
    slowdown_exponent: float,
    seed: int,
    duration_s: float,
) -> Trace:
    """Return steady short work at a multiple of two executors' capacity.

    The executors are configured with 8 slots but have `slots`.
    """
    rng = Random(seed)
    events: list[Event] = [
        WorkerSlowed(0.0, f"w{number}", slots) for number in range(2)
    ]
    rate = load * 2 * slots / RUN_MEAN_S
    at = rng.expovariate(rate)
    while at < duration_s:
        tenant = f"team-{rng.randrange(10)}"
        deadline_s = rng.uniform(1.0, 3.0)
        events.append(_short(len(events), at, tenant, deadline_s, rng))
        at += rng.expovariate(rate)
    return _trace(events, 2, slowdown_exponent, seed, duration_s)


def make_flood_trace(seed: int) -> Trace:
    """Return a trace of even load by many tenants and a flood by one."""
    rng = Random(seed)
    slots = 4 * SLOTS
    events: list[Event] = []
    others_rate = OTHERS_LOAD * slots / RUN_MEAN_S
    at = rng.expovariate(others_rate)
    while at < FLOOD_UNTIL_S + FLOOD_FROM_S:
        tenant = f"team-{rng.randrange(OTHER_TENANTS)}"
        deadline_s = rng.uniform(1.0, 3.0)
        events.append(_short(0, at, tenant, deadline_s, rng))
        at += rng.expovariate(others_rate)
    flood_rate = FLOOD_LOAD * slots / RUN_MEAN_S
    at = FLOOD_FROM_S
    while at < FLOOD_UNTIL_S:
        # The flooding tenant also has the tightest deadlines.
        events.append(_short(0, at, FLOODING_TENANT, 1.0, rng))
        at += rng.expovariate(flood_rate)
    events.sort(key=attrgetter("at"))
    for number, event in enumerate(events):
        if isinstance(event, Arrival):
            event.id = number
    return _trace(events, 4, 1.0, seed, FLOOD_UNTIL_S + FLOOD_FROM_S)


class _Daemon:
    """One daemon's limit and requests in flight at a shared executor."""

    __slots__ = ("in_flight", "limit")

    def __init__(self, limit: Limit) -> None:
        self.limit = limit
        self.in_flight = 0


def shared_executor_rate(
    limit_name: str,
    daemons: int,
    slots: int,
    seed: int,
    capped: bool = False,
    duration_s: float = 120.0,
) -> float:
    """Return the throughput of a shared executor as a share of its maximum.

    Every daemon always has work waiting.  The executor is configured with
    8 slots but has `slots`; beyond them, its runs slow down with the square
    of the overload.  A `capped` limit never exceeds the daemon's share of
    the configured slots.
    """
    rng = Random(seed)
    share = max(1, SLOTS // daemons)
    max_limit = share if capped else CONNECTIONS // daemons
    make_limit = LIMITS.get(limit_name)
    fleet = [_Daemon(make_limit(share, max_limit)) for _ in range(daemons)]
    open_limit = LIMITS.get("none")(SLOTS, CONNECTIONS)
    executor = ReplayExecutor(0, "p", slots, open_limit, 2.0)
    request = Request(_short(0, 0.0, "t", 1.0, rng), RUN_MEAN_S)
    owners: dict[int, _Daemon] = {}
    now = 0.0
    reported_at = 0.0
    ended = 0
    while now < duration_s:
        for daemon in rng.sample(fleet, len(fleet)):
            while daemon.in_flight < daemon.limit.limit(now):
                run = Run(request, now)
                owners[id(run)] = daemon
                executor.start(run, _run_s(rng), now)
                daemon.limit.on_start(now)
                daemon.in_flight += 1
        now = executor.next_at
        run = executor.finish(now)
        daemon = owners.pop(id(run))
        daemon.in_flight -= 1
        daemon.limit.on_finish(now - run.started_at, True, now)
        if now > duration_s / 4:
            ended += 1
        if now - reported_at >= 1.0:
            reported_at = now
            for each in fleet:
                others = executor.in_flight - each.in_flight
                each.limit.on_other_daemons(others)
    max_ended = slots / RUN_MEAN_S * duration_s * 0.75
    return ended / max_ended


def _run_s(rng: Random) -> float:
    """Return a lognormal run time."""
    mu = log(RUN_MEAN_S) - RUN_SIGMA**2 / 2
    return rng.lognormvariate(mu, RUN_SIGMA)


def _short(
    number: int, at: float, tenant: str, deadline_s: float, rng: Random
) -> Arrival:
    """Return one short request."""
    return Arrival(
        at=at,
        id=number,
        pool="p",
        tenant=tenant,
        request_class=RequestClass.SHORT,
        declared_s=1.0,
        actual_s=_run_s(rng),
        deadline_s=deadline_s,
    )


def _trace(
    events: list[Event],
    executors: int,
    slowdown_exponent: float,
    seed: int,
    duration_s: float,
) -> Trace:
    """Return a trace of one pool."""
    trace_executors = [
        TraceExecutor(f"w{number}") for number in range(executors)
    ]
    pool = TracePool(
        "p", trace_executors, SLOTS, CONNECTIONS, slowdown_exponent
    )
    header = Header(FORMAT, VERSION, "case", duration_s, [pool], seed)
    return Trace(header, events)
