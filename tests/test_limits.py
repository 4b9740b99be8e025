from __future__ import annotations

from random import Random

import pytest

from lycheelug.limits import LIMITS, Limit
from lycheelug.replay_executors import ReplayExecutor
from lycheelug.replay_requests import Request, Run
from lycheelug.requests import RequestClass
from lycheelug.traces import Arrival

RUN_S = 0.15


def make_request() -> Request:
    arrival = Arrival(
        at=0.0,
        id=1,
        pool="p",
        tenant="t",
        request_class=RequestClass.SHORT,
        declared_s=1.0,
        actual_s=RUN_S,
    )
    return Request(arrival, RUN_S)


def saturate(
    limit: Limit, slots: int, sink: float, seed: int, until: float
) -> float:
    """Keep an executor at the limit; return its rate relative to the best."""
    rng = Random(seed)
    request = make_request()
    unlimited = LIMITS.get("none")(8, 64)
    executor = ReplayExecutor(0, "p", slots, unlimited, sink)
    now = 0.0
    ended = 0
    while now < until:
        while executor.in_flight < limit.limit(now):
            limit.on_start(now)
            seconds = rng.lognormvariate(-0.18, 0.6) * RUN_S
            executor.start(Run(request, now), seconds, now)
        now = executor.next_at
        run = executor.finish(now)
        limit.on_finish(now - run.started_at, True, now)
        if now > until / 2:
            ended += 1
    return ended / (until / 2) * RUN_S / slots


@pytest.mark.parametrize(
    ("name", "slots", "least_rate"),
    [
        pytest.param("probe", 8, 0.9, id="probe-as-configured"),
        pytest.param("probe", 4, 0.9, id="probe-fewer-slots-than-configured"),
        pytest.param("probe", 16, 0.85, id="probe-more-than-configured"),
        pytest.param("fixed", 8, 0.9, id="fixed-as-configured"),
        pytest.param("vegas", 8, 0.8, id="vegas-as-configured"),
        pytest.param("gradient", 8, 0.7, id="gradient-as-configured"),
        pytest.param("aimd", 8, 0.7, id="aimd-as-configured"),
    ],
)
def test_throughput_on_an_executor_that_slows_under_load(
    name: str, slots: int, least_rate: float
) -> None:
    for seed in (11, 12, 13):
        limit = LIMITS.get(name)(8, 64)
        assert saturate(limit, slots, 2.0, seed, until=120.0) >= least_rate


@pytest.mark.parametrize("name", list(LIMITS))
@pytest.mark.parametrize(
    ("latency_s", "ok"),
    [(0.1, True), (5.0, True), (0.001, False), (0.0, False)],
)
def test_limit_stays_within_its_bounds(
    name: str, latency_s: float, ok: bool
) -> None:
    limit = LIMITS.get(name)(8, 20)
    now = 0.0
    for number in range(3000):
        now += 0.01
        limit.on_start(now)
        limit.on_finish(latency_s * (1 + number % 7), ok, now)
        assert 1 <= limit.limit(now) <= 20


@pytest.mark.parametrize("name", ["aimd", "vegas", "gradient"])
def test_limit_falls_while_most_requests_fail(name: str) -> None:
    limit = LIMITS.get(name)(8, 64)
    for number in range(1000):
        limit.on_start(0.0)
        limit.on_finish(0.01, number % 4 == 0, 0.0)
    assert limit.limit(0.0) < 8


@pytest.mark.parametrize("name", ["aimd", "vegas", "gradient", "probe"])
def test_limit_that_is_not_reached_does_not_grow(name: str) -> None:
    limit = LIMITS.get(name)(8, 64)
    for _ in range(2000):
        limit.on_start(0.0)
        limit.on_finish(0.1, True, 0.0)
    assert limit.limit(0.0) <= 8
