"""Tests of the fleet planner: drain orders, moves and maintenance."""

from __future__ import annotations

import random

import pytest

from lycheelug.fleetplan import (
    FleetPlanner,
    HostInfo,
    HostLoad,
    HostState,
    MaintenanceWave,
    PlanRecord,
    SummaryRecord,
)
from lycheelug.fleetplan.absences import GONE_AFTER_S
from lycheelug.fleetplan.sizing import size_by_demand
from lycheelug.workloads import Resources
from lycheelug.workloads.demand import Arrivals

HOST_CAPACITY = Resources(1000, 1000, 0)


class FleetWorld:
    """A planner with hosts in two pools and in the standby pool."""

    def __init__(self, plan: PlanRecord | None = None) -> None:
        self.now = 50.0
        self.planner = FleetPlanner(3, plan, 2.0)
        self.planner.pools = ["a", "b"]
        self.planner.standby = "off"
        self.planner.summaries["a"] = SummaryRecord(1, ready_cpu=1)
        self.hosts: dict[str, HostInfo] = {}
        # Let the planner observe work, which permits it to release hosts.
        self.planner.decide(0.0)

    def add(self, pool: str, *names: str, used: int = 0) -> None:
        summary = self.planner.summaries.setdefault(pool, SummaryRecord(1))
        for name in names:
            self.hosts[name] = HostInfo(
                name,
                pool,
                HostState.UP,
                capacity=HOST_CAPACITY,
                executor_id=name,
            )
            summary.hosts[name] = HostLoad(
                name, used_cpu=used, runs=bool(used), is_usable=True
            )
            summary.running_cpu += used

    def decide(self, after_s: float = 0.0) -> None:
        self.now += after_s
        self.planner.update_hosts(self.hosts, self.now)
        self.planner.decide(self.now)

    def confirm(self) -> None:
        """Confirm all orders on behalf of the pools' owners."""
        for name, order in self.planner.plan.orders.items():
            summary = self.planner.summaries[order.pool]
            summary.vacated[name] = order.number

    def wave(self, *names: str, max_concurrent: int = 2) -> None:
        self.planner.waves[1] = MaintenanceWave(
            1, names, 20.0, max_concurrent, 1
        )

    @property
    def targets(self) -> dict[str, str]:
        return {
            name: order.target or f"wave {order.wave}"
            for name, order in self.planner.plan.orders.items()
        }


def test_pool_in_need_gets_standby_hosts_at_once() -> None:
    world = FleetWorld()
    world.add("a", "a1", used=900)
    world.add("b", "b1")
    world.add("off", "s1", "s2", "s3")
    world.planner.summaries["a"].ready_cpu = 1700
    world.decide()
    assert world.targets == {"s1": "a", "s2": "a"}
    # Ordered moves count towards the pool's size, so no order is added.
    world.decide(0.1)
    assert world.targets == {"s1": "a", "s2": "a"}


def test_surplus_goes_to_standby_only_after_it_has_persisted() -> None:
    world = FleetWorld()
    world.add("a", "a1", "a2", "a3")
    world.add("b", "b1")
    world.decide()
    assert world.targets == {}
    world.decide(1.0)
    assert set(world.targets.values()) == {"off"}
    assert len(world.targets) == 2


def test_no_host_is_released_before_any_work_was_observed() -> None:
    """A new planner must not release hosts before the first surge."""
    world = FleetWorld()
    world.planner = FleetPlanner(3, None, 2.0)
    world.planner.pools = ["a", "b"]
    world.planner.standby = "off"
    world.add("a", "a1", "a2", "a3")
    world.add("b", "b1")
    world.decide()
    world.decide(9.0)
    assert world.targets == {}
    world.planner.summaries["b"].ready_cpu = 10
    world.decide()
    world.decide(1.0)
    assert len(world.targets) == 2


def test_persistent_surplus_goes_to_the_pool_in_need() -> None:
    world = FleetWorld()
    world.add("a", "a1", "a2")
    world.add("b", "b1", used=900)
    world.decide()
    world.planner.summaries["b"].ready_cpu = 500
    world.decide(1.0)
    assert list(world.targets.values()) == ["b"]


def test_call_is_due_only_after_the_owner_confirmed_this_order() -> None:
    world = FleetWorld()
    world.add("a", "a1", "a2")
    world.add("b", "b1")
    world.decide()
    world.decide(1.0)
    assert world.planner.due_calls() == []
    (name,) = world.targets
    world.planner.summaries["a"].vacated[name] = "2.9"
    assert world.planner.due_calls() == []
    world.confirm()
    (call,) = world.planner.due_calls()
    assert call.host == name


def test_wave_starts_with_standby_hosts_and_keeps_its_limit() -> None:
    world = FleetWorld()
    world.add("a", "a1", "a2", "a3")
    world.add("b", "b1", "b2")
    world.add("off", "s1", "s2", "s3")
    world.wave("a1", "b1", "s1", "s2", "s3", max_concurrent=2)
    world.decide()
    assert world.targets == {"s1": "wave 1", "s2": "wave 1"}
    assert len(world.planner.due_calls()) == 2
    world.planner.record_maintenance("s1", 1, world.now)
    world.decide(0.1)
    assert len(world.planner.due_calls()) <= 1


def test_only_host_of_a_pool_is_replaced_before_its_maintenance() -> None:
    """Otherwise its long-running tasks have no host to move to."""
    world = FleetWorld()
    world.add("a", "a1", used=100)
    world.add("b", "b1")
    world.add("off", "s1")
    world.wave("a1")
    world.decide()
    assert world.targets == {"s1": "a"}
    world.planner.record_move("s1", "a", world.now)
    world.decide(0.5)
    assert world.targets == {}
    world.hosts["s1"].state = HostState.UP
    loads = world.planner.summaries["off"].hosts
    world.planner.summaries["a"].hosts["s1"] = loads.pop("s1")
    world.decide(1.5)
    assert world.targets == {"a1": "wave 1"}


def test_wave_is_finished_when_all_listed_hosts_are_maintained() -> None:
    world = FleetWorld()
    world.add("off", "s1", "s2")
    world.wave("s1", "s2", "gone")
    world.decide()
    assert world.planner.finished_waves() == []
    world.planner.record_maintenance("s1", 1, world.now)
    assert world.planner.finished_waves() == []
    world.planner.record_maintenance("s2", 1, world.now)
    # The host that is not listed may yet be.
    assert world.planner.finished_waves() == []
    world.decide(0.1)
    assert world.planner.finished_waves() == []
    world.decide(GONE_AFTER_S)
    assert world.planner.finished_waves() == [1]


@pytest.mark.parametrize(
    ("clock_jump_ms", "is_urgent"),
    [(0, True), (-90_000, False), (3_600_000, True)],
)
def test_next_planner_knows_how_old_a_wave_is(
    clock_jump_ms: int, is_urgent: bool
) -> None:
    before = FleetWorld()
    before.wave("s1")
    before.planner.decide(before.now, 1_000_000)
    world = FleetWorld(before.planner.plan)
    world.add("a", "a1", used=900)
    world.add("b", "b1", used=900)
    world.add("off", "s1")
    world.planner.summaries["a"].ready_cpu = 1700
    world.wave("s1")
    world.planner.update_hosts(world.hosts, world.now)
    world.planner.decide(world.now, 1_015_000 + clock_jump_ms)
    wanted = {"s1": "wave 1"} if is_urgent else {"s1": "a"}
    assert world.targets == wanted


def test_sent_order_is_finished_by_the_next_planner() -> None:
    """A delayed call of the previous holder must not hit a host in use."""
    before = FleetWorld()
    before.add("a", "a1", "a2")
    before.add("b", "b1")
    before.decide()
    before.decide(1.0)
    (name,) = before.targets
    before.planner.plan.orders[name].sent = True
    world = FleetWorld(before.planner.plan)
    world.add("a", "a1", "a2", used=900)
    world.add("b", "b1")
    world.planner.summaries["a"].ready_cpu = 2000
    world.decide()
    assert world.targets[name] == "off"
    world.confirm()
    assert [call.host for call in world.planner.due_calls()] == [name]


@pytest.mark.parametrize("is_usable", [True, False])
def test_unusable_host_does_not_count_for_its_pool(is_usable: bool) -> None:
    world = FleetWorld()
    world.add("a", "a1", "a2", used=600)
    world.add("b", "b1")
    world.add("off", "s1")
    world.planner.summaries["a"].hosts["a2"].is_usable = is_usable
    world.decide()
    assert world.targets == ({} if is_usable else {"s1": "a"})


def test_wave_leaves_standby_hosts_to_a_surge_until_it_is_urgent() -> None:
    world = FleetWorld()
    world.add("a", "a1", used=900)
    world.add("b", "b1", used=900)
    world.add("off", "s1", "s2")
    world.planner.summaries["a"].ready_cpu = 1700
    world.wave("s1", "s2")
    world.decide()
    assert world.targets == {"s1": "a", "s2": "a"}
    world = FleetWorld()
    world.add("a", "a1", used=900)
    world.add("b", "b1", used=900)
    world.add("off", "s1", "s2")
    world.wave("s1", "s2")
    world.decide()
    world.planner.plan.orders.clear()
    world.planner.summaries["a"].ready_cpu = 1700
    world.decide(13.0)
    assert set(world.targets.values()) == {"wave 1"}


def test_standby_hosts_come_from_zones_that_are_not_isolated() -> None:
    """Hosts of an isolated zone never become usable in their new pool."""
    world = FleetWorld()
    world.add("a", "a1", "a2", "a3", used=900)
    world.add("b", "b1")
    world.add("off", "s1", "s2")
    for name in ("a1", "a2", "s1"):
        world.hosts[name].zone = "cut"
    for name in ("a1", "a2"):
        world.planner.summaries["a"].hosts[name].is_usable = False
    world.planner.summaries["a"].ready_cpu = 1
    world.planner.summaries["a"].running_cpu = 1700
    world.decide()
    assert world.targets == {"s2": "a"}


def test_host_that_its_owner_never_reports_stops_counting() -> None:
    world = FleetWorld()
    world.add("a", "a1", used=900)
    world.add("b", "b1")
    world.add("off", "s1")
    world.hosts["a2"] = HostInfo(
        "a2", "a", HostState.UP, capacity=HOST_CAPACITY, executor_id="a2"
    )
    world.planner.summaries["a"].ready_cpu = 800
    world.decide()
    assert world.targets == {}
    world.decide(4.0)
    assert world.targets == {"s1": "a"}


def run_surge(forecast: bool) -> int:
    """Return the missing capacity, summed over the steps of a surge.

    The pool's work rises from almost none to that of twelve hosts within
    four seconds.  A host accepts tasks two seconds after it was ordered.
    """
    arrivals = Arrivals()
    ordered: list[int] = []
    missing = 0
    for tick in range(60):
        now = tick * 0.1
        rate = min(12_000.0, 3_000.0 * now)
        for _ in range(2):
            arrivals.record(rate * 0.1 / 2, now)
        wanted = rate
        if forecast:
            wanted += arrivals.growth(now)
        ordered.append(size_by_demand(summary_of(wanted), 1000, 1000))
        usable = ordered[max(0, tick - 20)]
        missing += max(0, round(rate) - usable * 1000)
    return missing


def summary_of(cpu: float) -> SummaryRecord:
    return SummaryRecord(1, running_cpu=int(cpu))


def test_forecast_of_growing_work_reduces_missing_capacity() -> None:
    assert run_surge(forecast=True) < 0.75 * run_surge(forecast=False)


@pytest.mark.parametrize("seed", range(5))
def test_steady_work_is_hardly_mistaken_for_growth(seed: int) -> None:
    """Random arrivals of thirty jobs per second cause few extra hosts."""
    rng = random.Random(seed)
    arrivals = Arrivals()
    now = 0.0
    samples: list[float] = []
    for _ in range(600):
        now += rng.expovariate(30.0)
        arrivals.record(1000.0, now)
        if now > 2.0:
            samples.append(arrivals.growth(now))
    assert sum(samples) / len(samples) < 0.2 * 30_000
