from __future__ import annotations

import pytest

from lycheelug.capacity import (
    CALO_WEIGHTS,
    CAPACITY,
    GUILD_WEIGHTS,
    CapacityPlan,
    CapacitySettings,
    CapacityWeights,
    DemandHistory,
    PoolState,
    plan_capacity,
)
from lycheelug.capacity_costs import CostCurve, late_work

DAY_S = 4800.0


def make_history(
    series: dict[str, list[float]], recent: int = 600
) -> DemandHistory:
    history = DemandHistory(1.0, recent_samples=recent, day_s=DAY_S)
    for pool, samples in series.items():
        for second, demand in enumerate(samples):
            history.record(pool, float(second), demand)
    return history


def surges(length: int = 600) -> list[float]:
    """Return periodic demand: in each 40 s, 2 hosts, 10 for 4 s, then 0.1."""
    cycle = [2.0] * 20 + [10.0] * 4 + [0.1] * 16
    return (cycle * (length // 40 + 1))[:length]


def make_pools(hosts: int, spare: int, floor: int = 0) -> list[PoolState]:
    return [
        PoolState("a", hosts, floor),
        PoolState("b", hosts, floor),
        PoolState("spare", spare, floor, spare=True),
    ]


def make_plan(
    history: DemandHistory,
    pools: list[PoolState],
    policy: str,
    weights: CapacityWeights = GUILD_WEIGHTS,
    must_pay: bool = True,
) -> CapacityPlan:
    settings = CapacitySettings(policy, moves_must_pay=must_pay)
    return plan_capacity(history, pools, weights, 600.0, settings)


@pytest.mark.parametrize("policy", list(CAPACITY))
@pytest.mark.parametrize("must_pay", [True, False])
@pytest.mark.parametrize(
    ("hosts", "spare", "floor"),
    [(6, 8, 1), (1, 2, 1), (0, 0, 0), (3, 3, 5), (20, 1, 2)],
    ids=["usual", "shortage", "empty", "below-floor", "surplus"],
)
def test_targets_add_up_and_respect_floors(
    policy: str, must_pay: bool, hosts: int, spare: int, floor: int
) -> None:
    history = make_history({"a": surges(), "b": surges(), "spare": [1.0] * 9})
    pools = make_pools(hosts, spare, floor)
    plan = make_plan(history, pools, policy, must_pay=must_pay)
    assert sum(plan.targets.values()) == 2 * hosts + spare
    for pool in pools:
        assert plan.targets[pool.name] >= min(pool.hosts, floor)
    hosts_after_moves = {pool.name: pool.hosts for pool in pools}
    for move in plan.moves:
        hosts_after_moves[move.source] -= 1
        hosts_after_moves[move.target] += 1
    assert hosts_after_moves == plan.targets


@pytest.mark.parametrize("policy", list(CAPACITY))
def test_no_history_moves_no_host(policy: str) -> None:
    plan = make_plan(DemandHistory(), make_pools(6, 8), policy)
    assert plan.moves == ()


@pytest.mark.parametrize(
    ("policy", "must_pay", "moves"),
    [
        ("reactive", False, True),
        ("reactive", True, False),
        ("queue-replay", True, False),
        ("time-of-day", True, False),
        ("hold", True, False),
    ],
)
def test_surge_of_seconds_moves_no_host(
    policy: str, must_pay: bool, moves: bool
) -> None:
    base_demand = [4.0] * 596
    history = make_history(
        {"a": base_demand + [20.0] * 4, "b": [4.0] * 600, "spare": [1.0] * 600}
    )
    plan = make_plan(history, make_pools(4, 8), policy, must_pay=must_pay)
    assert bool(plan.moves) is moves


@pytest.mark.parametrize("weights", [GUILD_WEIGHTS, CALO_WEIGHTS])
def test_sustained_demand_gets_hosts_from_the_spare_pool(
    weights: CapacityWeights,
) -> None:
    series = {"a": [7.0] * 600, "b": [2.0] * 600, "spare": [1.0] * 600}
    plan = make_plan(
        make_history(series), make_pools(4, 8), "queue-replay", weights
    )
    assert plan.targets["a"] == 7
    assert all(move.source != "a" for move in plan.moves)


def test_higher_idle_cost_gives_fewer_hosts() -> None:
    history = make_history({"a": surges(), "b": surges(), "spare": [1.0]})
    held: list[int] = []
    for idle_cost in (1.0, 10.0, 100.0):
        plan = make_plan(
            history,
            make_pools(10, 0),
            "queue-replay",
            CapacityWeights(idle_cost=idle_cost, late_cost=300.0),
        )
        held.append(plan.targets["a"])
    assert held == sorted(held, reverse=True)
    assert held[0] > held[-1]


def test_plan_is_stable_after_its_moves() -> None:
    history = make_history({"a": surges(), "b": [3.0] * 600, "spare": [1.0]})
    for policy in CAPACITY:
        first = make_plan(history, make_pools(4, 12), policy)
        pools = [
            PoolState("a", first.targets["a"]),
            PoolState("b", first.targets["b"]),
            PoolState("spare", first.targets["spare"], spare=True),
        ]
        assert make_plan(history, pools, policy).moves == (), policy


@pytest.mark.parametrize(
    ("second_day", "expects_more"),
    [("same", True), ("inverse", False), ("none", False)],
)
def test_forecast_is_used_only_on_a_usual_day(
    second_day: str, expects_more: bool
) -> None:
    day = int(DAY_S)
    usual_day = [2.0] * (day // 2) + [6.0] * (day // 2)
    # The plan is computed 200 s before noon of the second day.
    today = usual_day if second_day == "same" else [6.0] * day
    series = usual_day + today[: day // 2 - 200]
    if second_day == "none":
        series = usual_day[: day // 2 - 200]
    history = make_history({"a": series})
    now = float(len(series))
    pools = [PoolState("a", 3), PoolState("spare", 20, spare=True)]
    plans: list[int] = []
    for policy in ("queue-replay", "time-of-day"):
        plan = plan_capacity(
            history, pools, GUILD_WEIGHTS, now, CapacitySettings(policy)
        )
        plans.append(plan.targets["a"])
    assert (plans[1] > plans[0]) is expects_more


@pytest.mark.parametrize(
    ("samples", "hosts", "late"),
    [
        ([], 1, 0.0),
        ([4.0], 4, 0.0),
        ([4.0, 0.0, 0.0, 0.0], 1, 0.1),
        ([10.0] * 4 + [0.0] * 4, 10, 0.0),
        ([10.0] * 4 + [0.0] * 4, 0, 40.0),
    ],
)
def test_late_work(samples: list[float], hosts: int, late: float) -> None:
    assert late_work(samples, hosts, 1.0, 2.9) == pytest.approx(late)


def test_cheapest_has_the_minimum_cost() -> None:
    for weight in (5.0, 30.0, 300.0):
        weights = CapacityWeights(idle_cost=1.0, late_cost=weight)
        curve = CostCurve(surges(), 1.0)
        costs = [curve.cost(hosts, weights) for hosts in range(12)]
        assert costs[curve.cheapest(weights)] == min(costs)
