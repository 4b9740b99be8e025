"""Tests of waves that would take the place of long-running tasks."""

from __future__ import annotations

import pytest

from lycheelug.fleetplan import HostState, MaintenanceWave, PlanRecord
from tests.test_fleet_planner import FleetWorld

DEADLINE_S = 26.0


class PlaceWorld(FleetWorld):
    """A planner whose pools have long-running tasks."""

    def add_lasting(
        self, pool: str, *names: str, used: int = 100, spread: int = 0
    ) -> None:
        """Add hosts with one long-running task each."""
        self.add(pool, *names, used=used)
        summary = self.planner.summaries[pool]
        summary.spread = spread
        for name in names:
            summary.hosts[name].lasting_runs = 1
            summary.lasting_cpu += used

    def announce(self, *names: str, max_concurrent: int = 2) -> None:
        self.planner.waves[1] = MaintenanceWave(
            1, names, DEADLINE_S, max_concurrent, 1
        )

    def refuse(self, name: str) -> None:
        """Refuse a host's order on behalf of its pool's owner."""
        order = self.planner.plan.orders[name]
        self.planner.summaries[order.pool].refused[name] = order.number

    def arrive(self, name: str, pool: str) -> None:
        """Let a host arrive in the pool to which it was ordered."""
        self.planner.record_move(name, pool, self.now)
        self.hosts[name].state = HostState.UP
        self.hosts[name].pool = pool
        summary = self.planner.summaries[pool]
        old = self.planner.summaries["off"].hosts.pop(name)
        summary.hosts[name] = old


# Guards against LOST: a host whose owner has no other place for a task stays
# under its drain order.
@pytest.mark.parametrize("is_sent", [False, True])
def test_refused_order_is_withdrawn_unless_it_was_sent(is_sent: bool) -> None:
    world = PlaceWorld()
    world.add_lasting("a", "a1", "a2", "a3")
    world.add("b", "b1")
    world.announce("a1")
    world.decide()
    assert world.targets["a1"] == "wave 1"
    world.planner.plan.orders["a1"].sent = is_sent
    world.refuse("a1")
    world.decide(0.1)
    assert ("a1" in world.targets) is is_sent
    events = [call.host for call in world.planner.withdrawals.events]
    assert events == ([] if is_sent else ["a1"])


# Guards against a refusal of an earlier order that withdraws the next one.
def test_refusal_counts_for_its_order_only() -> None:
    world = PlaceWorld()
    world.add_lasting("a", "a1", "a2", "a3")
    world.add("b", "b1")
    world.announce("a1")
    world.decide()
    world.refuse("a1")
    world.decide(0.1)
    assert "a1" not in world.targets
    world.decide(3.1)
    assert world.targets["a1"] == "wave 1"
    world.decide(0.1)
    assert world.targets["a1"] == "wave 1"


# Guards against LOST: the next host of the pool is drained at once, or the
# same one again, though the tasks have still no other place.
def test_pool_is_not_drained_again_until_it_has_grown() -> None:
    world = PlaceWorld()
    world.add_lasting("a", "a1", "a2", "a3")
    world.add("b", "b1")
    world.add("off", "s1", "s2")
    world.announce("a1", "a2")
    world.decide()
    ordered = [name for name in world.targets if name.startswith("a")]
    loads = world.planner.summaries["a"].hosts
    for name in ordered:
        loads[name].is_usable = False
        world.refuse(name)
    world.decide(0.1)
    # The owner uses the hosts again.
    for name in ordered:
        loads[name].is_usable = True
    assert not {"a1", "a2"} & set(world.targets)
    moved = [name for name, to in world.targets.items() if to == "a"]
    assert moved
    world.decide(0.1)
    assert not {"a1", "a2"} & set(world.targets)
    world.arrive(moved[0], "a")
    world.decide(0.1)
    assert {"a1", "a2"} & set(world.targets)


# Guards against a wave that stands still: a host that can't be drained is
# ordered again and again before those that can.
def test_host_with_refused_orders_comes_last() -> None:
    world = PlaceWorld()
    world.add_lasting("a", "a1", "a2", "a3", "a4")
    world.add("b", "b1")
    world.announce("a1", "a2", max_concurrent=1)
    world.decide()
    assert set(world.targets) == {"a1"}
    world.refuse("a1")
    world.decide(0.1)
    world.decide(3.1)
    assert set(world.targets) == {"a2"}


# Guards against LOST: an order for a move is kept though a task was placed on
# the host meanwhile and has no other place.
def test_refused_move_is_withdrawn() -> None:
    world = PlaceWorld()
    world.add("a", "a1", "a2")
    world.add("b", "b1")
    world.add("off")
    world.decide()
    world.decide(1.0)
    (name,) = world.targets
    world.refuse(name)
    world.decide(0.1)
    assert world.targets == {}
    world.decide(1.0)
    assert world.targets == {}


# Guards against LOST: a wave that is late takes the only place of
# long-running tasks.  Without such tasks it goes on.
@pytest.mark.parametrize("after_s", [0.0, 20.0, 25.0, 40.0])
@pytest.mark.parametrize(
    ("lasting", "spread", "names", "drained_late"),
    [
        (True, 0, ("a1",), 0),
        (False, 0, ("a1",), 1),
        # One task a host: each of the two hosts is needed.
        (True, 2, ("a1", "a2"), 0),
        # All tasks fit on one host.
        (True, 0, ("a1", "a2"), 1),
    ],
)
def test_late_wave_waits_for_a_place(
    after_s: float,
    lasting: bool,
    spread: int,
    names: tuple[str, ...],
    drained_late: int,
) -> None:
    world = PlaceWorld()
    world.add("b", "b1")
    world.add("off")
    if lasting:
        world.add_lasting("a", *names, spread=spread)
    else:
        world.add("a", *names)
    # Short work for all hosts.
    world.planner.summaries["a"].ready_cpu = 5000
    world.announce(*names)
    world.decide()
    assert world.targets == {}
    world.decide(after_s)
    is_late = after_s > 0
    assert len(world.targets) == (drained_late if is_late else 0)


# Guards against LOST: a wave that is urgent takes standby hosts that
# long-running tasks wait for.
@pytest.mark.parametrize(("spread", "target"), [(1, "wave 1"), (2, "a")])
def test_urgent_wave_leaves_standby_hosts_to_long_running_tasks(
    spread: int, target: str
) -> None:
    before = PlanRecord(3)
    before.seen_ms["1"] = 0
    world = PlaceWorld(before)
    world.add_lasting("a", "a1", used=900, spread=spread)
    world.add("b", "b1", used=900)
    world.add("off", "s1")
    world.planner.summaries["a"].ready_cpu = 900
    world.announce("s1")
    world.planner.update_hosts(world.hosts, world.now)
    world.planner.decide(world.now, 20_000)
    assert world.targets == {"s1": target}
