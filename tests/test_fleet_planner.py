"""Which hosts are emptied, moved and maintained."""

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
from lycheelug.fleetplan.sizing import size_by_demand
from lycheelug.workloads import Resources
from lycheelug.workloads.demand import Arrivals

ROOM = Resources(1000, 1000, 0)


class FleetWorld:
    """Hosts in two pools and in standby, as the planner is told of them."""

    def __init__(self, plan: PlanRecord | None = None) -> None:
        self.now = 50.0
        self.planner = FleetPlanner(3, plan, 2.0)
        self.planner.pools = ["a", "b"]
        self.planner.standby = "off"
        self.planner.summaries["a"] = SummaryRecord(1, ready_cpu=1)
        self.hosts: dict[str, HostInfo] = {}
        # The day's first work came long ago.
        self.planner.decide(0.0)

    def add(self, pool: str, *names: str, used: int = 0) -> None:
        summary = self.planner.summaries.setdefault(pool, SummaryRecord(1))
        for name in names:
            self.hosts[name] = HostInfo(
                name, pool, HostState.UP, capacity=ROOM, executor_id=name
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
        """Let the owners confirm all orders."""
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
    # What is on its way counts: nothing more is ordered.
    world.decide(0.1)
    assert world.targets == {"s1": "a", "s2": "a"}


def test_surplus_goes_to_standby_only_after_it_has_lasted() -> None:
    world = FleetWorld()
    world.add("a", "a1", "a2", "a3")
    world.add("b", "b1")
    world.decide()
    assert world.targets == {}
    world.decide(1.0)
    assert set(world.targets.values()) == {"off"}
    assert len(world.targets) == 2


def test_nothing_is_given_back_before_any_work_came() -> None:
    """The first surge of a day finds the hosts where they are."""
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


def test_lasting_surplus_goes_to_the_pool_in_need() -> None:
    world = FleetWorld()
    world.add("a", "a1", "a2")
    world.add("b", "b1", used=900)
    world.decide()
    world.planner.summaries["b"].ready_cpu = 500
    world.decide(1.0)
    assert list(world.targets.values()) == ["b"]


def test_host_is_called_only_once_its_owner_has_confirmed_this_order() -> None:
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


def test_wave_takes_standby_hosts_first_and_keeps_its_bound() -> None:
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


def test_only_host_of_a_pool_is_replaced_before_its_upkeep() -> None:
    """Its lasting tasks need a place to go; seen on a day."""
    world = FleetWorld()
    world.add("a", "a1", used=100)
    world.add("b", "b1")
    world.add("off", "s1")
    world.wave("a1")
    world.decide()
    assert world.targets == {"a1": "wave 1", "s1": "a"}


def test_wave_is_finished_when_all_hosts_that_stay_are_done() -> None:
    world = FleetWorld()
    world.add("off", "s1", "s2")
    world.wave("s1", "s2", "gone")
    world.decide()
    assert world.planner.finished_waves() == []
    world.planner.record_maintenance("s1", 1, world.now)
    assert world.planner.finished_waves() == []
    world.planner.record_maintenance("s2", 1, world.now)
    assert world.planner.finished_waves() == [1]


def test_order_that_was_sent_is_finished_by_the_next_planner() -> None:
    """A late call of the last holder must not hit a host in use."""
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
def test_unsound_host_does_not_count_for_its_pool(is_usable: bool) -> None:
    world = FleetWorld()
    world.add("a", "a1", "a2", used=600)
    world.add("b", "b1")
    world.add("off", "s1")
    world.planner.summaries["a"].hosts["a2"].is_usable = is_usable
    world.decide()
    assert world.targets == ({} if is_usable else {"s1": "a"})


def test_wave_leaves_standby_hosts_to_a_surge_until_time_presses() -> None:
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


def test_reserve_comes_from_zones_that_are_not_cut_off() -> None:
    """A cut zone's hosts never showed up in their pool; seen on a day."""
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


def test_host_that_its_owner_never_sees_counts_no_more() -> None:
    world = FleetWorld()
    world.add("a", "a1", used=900)
    world.add("b", "b1")
    world.add("off", "s1")
    world.hosts["a2"] = HostInfo(
        "a2", "a", HostState.UP, capacity=ROOM, executor_id="a2"
    )
    world.planner.summaries["a"].ready_cpu = 800
    world.decide()
    assert world.targets == {}
    world.decide(4.0)
    assert world.targets == {"s1": "a"}


def play_surge(foresight: bool) -> int:
    """Return how many host-seconds a surge's work lacks.

    Load pattern: a pool's work rises from next to nothing to twelve hosts'
    within four seconds; a host takes its first tasks two seconds after its
    order.
    """
    arrivals = Arrivals()
    ordered: list[int] = []
    lacking = 0
    for tick in range(60):
        now = tick * 0.1
        rate = min(12_000.0, 3_000.0 * now)
        for _ in range(2):
            arrivals.record(rate * 0.1 / 2, now)
        wanted = rate
        if foresight:
            wanted += arrivals.growth(now)
        ordered.append(size_by_demand(summary_of(wanted), 1000, 1000))
        have = ordered[max(0, tick - 20)]
        lacking += max(0, round(rate) - have * 1000)
    return lacking


def summary_of(cpu: float) -> SummaryRecord:
    return SummaryRecord(1, running_cpu=int(cpu))


def test_growing_work_finds_more_hosts_than_work_that_waits() -> None:
    assert play_surge(foresight=True) < 0.75 * play_surge(foresight=False)


@pytest.mark.parametrize("seed", range(5))
def test_steady_work_is_hardly_taken_for_growth(seed: int) -> None:
    """Thirty jobs a second by chance: the hosts ordered in vain are few."""
    source = random.Random(seed)
    arrivals = Arrivals()
    now = 0.0
    samples: list[float] = []
    for _ in range(600):
        now += source.expovariate(30.0)
        arrivals.record(1000.0, now)
        if now > 2.0:
            samples.append(arrivals.growth(now))
    assert sum(samples) / len(samples) < 0.2 * 30_000
