"""Hosts that the platform's list doesn't have, or has as they were before.

The list is read at intervals, may be cut short, and may have been requested
before what it is asked for.
"""

from __future__ import annotations

import asyncio

import pytest

from lycheelug.fleetplan import HostInfo, HostState, MaintenanceWave
from lycheelug.fleetplan.absences import GONE_AFTER_S
from lycheelug.fleetplan.known_hosts import LATE_CALL_S
from lycheelug.jobservice.tables import FLEET_PART
from tests.job_world import FakeFleet, JobWorld, until
from tests.test_fleet_planner import FleetWorld
from tests.virtual_time import run_virtual

# The interval of lists while hosts are awaited, and a call.
FOUND_S = 0.6


class WaveFleet(FakeFleet):
    """A platform with a record of the waves that are said to be completed."""

    def __init__(self) -> None:
        super().__init__()
        self.completed_after: list[tuple[int, int]] = []

    async def publish_wave(self, wave: int, is_completed: bool) -> bool:
        if is_completed:
            self.completed_after.append((wave, len(self.host_orders)))
        return True


def wave_of(*names: str, version: int = 1) -> MaintenanceWave:
    return MaintenanceWave(1, names, 20.0, 2, version)


# Guards against MIXED: a wave that is said to be completed because its hosts
# came after the list of hosts was read.
@pytest.mark.parametrize("later_s", [0.0, 0.3, 1.0, 1.9])
def test_wave_of_hosts_that_came_after_the_list_is_not_completed(
    later_s: float,
) -> None:
    async def run() -> tuple[float, list[tuple[int, int]]]:
        world = JobWorld()
        fleet = WaveFleet()
        world.fleet = fleet
        world.start_fleet()
        fleet.add("x0")
        service = world.start_daemon("e0")
        await until(lambda: len(world.holders(FLEET_PART)) == 1)
        await asyncio.sleep(5.0)
        added = fleet.add("x1")
        await asyncio.sleep(later_s)
        service.update_wave(wave_of("h-x1"))
        loop = asyncio.get_running_loop()
        began = loop.time()
        # Its pool has another host, so it can be drained at once.
        service.update_executor("x1", added.info)
        await until(lambda: bool(fleet.host_orders))
        waited_s = loop.time() - began
        await until(lambda: bool(fleet.completed_after))
        await world.stop()
        return waited_s, fleet.completed_after

    waited_s, completed_after = run_virtual(run())
    assert completed_after == [(1, 1)]
    assert waited_s < FOUND_S + 1.0


def start_wave(
    listed: list[str], wave: MaintenanceWave, known_s: float = 0.0
) -> FleetWorld:
    """Return a planner that read a list first and the wave then."""
    world = FleetWorld()
    world.add("a", *listed)
    world.planner.update_hosts(world.hosts, world.now)
    world.now += known_s
    world.planner.waves[1] = wave
    world.planner.decide(world.now)
    return world


def finish(world: FleetWorld, *names: str) -> None:
    for name in names:
        world.planner.record_maintenance(name, 1, world.now)


# Guards against MIXED: the absence of a host in lists that don't show it.
@pytest.mark.parametrize(
    "lists",
    [
        pytest.param([], id="requested-before"),
        pytest.param([(0.1, False)], id="one-list"),
        pytest.param([(0.1, False), (3.0, False)], id="not-for-long"),
        pytest.param(
            [(0.1, False), (3.0, True), (3.0, False)], id="cut-short"
        ),
        pytest.param([(0.1, False), (9.0, True)], id="late"),
    ],
)
def test_unlisted_host_has_not_left(lists: list[tuple[float, bool]]) -> None:
    world = start_wave(["a1"], wave_of("a1", "a2"), known_s=60.0)
    finish(world, "a1")
    for after_s, has_host in lists:
        if has_host:
            world.add("a", "a2")
        else:
            world.hosts.pop("a2", None)
        world.decide(after_s)
    assert world.planner.finished_waves() == []


def test_host_that_all_lists_lack_has_left() -> None:
    world = start_wave(["a1"], wave_of("a1", "a2"))
    finish(world, "a1")
    world.decide(0.1)
    assert world.planner.awaits_hosts
    world.decide(GONE_AFTER_S)
    assert not world.planner.awaits_hosts
    assert world.planner.finished_waves() == [1]


def test_host_that_left_and_came_back_is_maintained() -> None:
    world = start_wave(["a1", "a2"], wave_of("a1", "a2"))
    finish(world, "a1")
    del world.hosts["a2"]
    world.decide(0.1)
    world.decide(GONE_AFTER_S)
    world.add("a", "a2")
    world.decide(0.1)
    assert world.planner.finished_waves() == []


# Guards against MIXED: what was known of one version of a wave, or to the
# planner's predecessor, taken for an answer about the next.
@pytest.mark.parametrize("is_restarted", [False, True])
def test_absence_is_observed_anew(is_restarted: bool) -> None:
    world = start_wave(["a1"], wave_of("a1", "a2"))
    finish(world, "a1")
    world.decide(0.1)
    world.decide(GONE_AFTER_S)
    assert world.planner.finished_waves() == [1]
    if is_restarted:
        hosts, now = world.hosts, world.now
        world = FleetWorld(world.planner.plan)
        world.hosts, world.now = hosts, now
        world.planner.update_hosts(hosts, now)
        world.planner.waves[1] = wave_of("a1", "a2")
    else:
        world.planner.waves[1] = wave_of("a1", "a2", version=2)
    world.planner.decide(world.now)
    assert world.planner.finished_waves() == []
    world.decide(0.1)
    assert world.planner.finished_waves() == []
    world.decide(GONE_AFTER_S)
    assert world.planner.finished_waves() == [1]


# Guards against LIMIT: a host in maintenance that is missing in one list and
# no longer counted.
def test_unlisted_host_counts_as_in_maintenance() -> None:
    world = start_wave(["a1", "a2", "a3"], wave_of("a1", "a2", "a3"))
    finish(world, "a1")
    host = world.hosts.pop("a1")
    world.decide(5.0)
    assert world.planner.count_in_maintenance() == 1
    world.hosts["a1"] = host
    world.decide(0.1)
    assert world.planner.count_in_maintenance() == 1
    del world.hosts["a1"]
    world.decide(0.1)
    world.decide(GONE_AFTER_S)
    assert world.planner.count_in_maintenance() == 0


# Guards against a second order for a host that a list shows in the pool from
# which it was moved after the list was requested.
def test_list_requested_before_a_move_does_not_undo_it() -> None:
    world = FleetWorld()
    world.add("a", "a1", "a2")
    world.add("b", "b1")
    world.decide()
    requested_at = world.now
    listed = {name: copy_of(world, name) for name in world.hosts}
    world.now += 0.5
    world.planner.record_move("a1", "b", world.now)
    world.planner.update_hosts(listed, requested_at)
    assert world.planner.active_hosts("a") == ["a2"]
    assert world.planner.count_hosts("b") == 2
    listed = {name: copy_of(world, name) for name in world.hosts}
    listed["a1"].pool = "b"
    listed["a1"].state = HostState.UP
    world.planner.update_hosts(listed, world.now + 0.1)
    assert sorted(world.planner.active_hosts("b")) == ["a1", "b1"]


def copy_of(world: FleetWorld, name: str) -> HostInfo:
    host = world.hosts[name]
    return HostInfo(
        name,
        host.pool,
        HostState.UP,
        capacity=host.capacity,
        executor_id=host.executor_id,
    )


# Guards against a move without an answer that the platform carries out after
# the host was moved on and is in use again.
@pytest.mark.parametrize("is_unanswered", [False, True])
def test_host_is_moved_on_once_earlier_calls_can_not_take_effect(
    is_unanswered: bool,
) -> None:
    world = FleetWorld()
    world.add("a", "a1", "a2")
    world.add("b", "b1")
    world.decide()
    if is_unanswered:
        world.planner.known.record_unanswered("a1", world.now)
    world.planner.record_move("a1", "off", world.now)
    world.decide(2.0)
    world.planner.record_maintenance("a2", 9, world.now)
    world.hosts["a1"].state = HostState.UP
    world.wave("a1")
    world.decide(0.1)
    assert world.targets == {"a1": "wave 1"}
    due = [call.host for call in world.planner.due_calls()]
    assert due == ([] if is_unanswered else ["a1"])
    world.decide(LATE_CALL_S)
    assert [call.host for call in world.planner.due_calls()] == ["a1"]


def test_order_without_an_answer_is_repeated_at_once() -> None:
    world = FleetWorld()
    world.add("off", "s1")
    world.wave("s1")
    world.decide()
    (call,) = world.planner.due_calls()
    call.order.sent = True
    world.planner.known.record_unanswered("s1", world.now)
    world.decide(0.1)
    assert [call.host for call in world.planner.due_calls()] == ["s1"]
