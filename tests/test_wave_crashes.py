"""Waves one after another beside hosts that are lost for good.

`WAVE_SEEDS` sets how many seeds are run; CI runs the first few.
"""

from __future__ import annotations

import asyncio
import math
import os
import random

import pytest

from lycheelug.workloads import StepSpec
from tests.job_world import until
from tests.virtual_time import run_virtual
from tests.wave_world import (
    SHORT_JOBS_FROM,
    STANDBY,
    WAITING_MAX_S,
    WaveFleet,
    WaveWorld,
)

SEEDS = int(os.environ.get("WAVE_SEEDS", "2"))
POOLS = ["a", "b", "c"]
WAVES = (12.0, 39.0, 66.0)
WAVE_S = 26.0
WAVE_SHARE = 0.48
DAY_S = 92.0
# By then, the long-running tasks have run long enough not to be suspected of
# the loss of their hosts.
SETTLED_S = 10.0


async def play(
    seed: int,
    hosts: int,
    standby: int,
    lost: int,
    settled_s: float = 0.0,
    daemons: int = 2,
) -> WaveFleet:
    """Play a day with three waves, and return its fleet.

    Hosts are lost once the long-running tasks have run for some time, in
    seconds.
    """
    rng = random.Random(seed)
    world = WaveWorld(POOLS)
    fleet = world.waves_fleet
    for pool in POOLS:
        for number in range(hosts):
            fleet.add_host(f"{pool}{number}", pool)
    for number in range(standby):
        fleet.add_host(f"s{number}", STANDBY)
    world.start(daemons)
    loop = asyncio.get_running_loop()
    for number in range(6):
        count = rng.randint(2, 4)
        step = StepSpec(
            count,
            rng.choice([600, 800, 1000]),
            rng.choice([300, 600, 1000]),
            lasts=True,
            may_miss=1,
            max_per_executor=rng.choice([0, 0, math.ceil(count / hosts)]),
        )
        await world.submit_lasting(number, POOLS[number % len(POOLS)], step)
    await until(lambda: world.running_tasks() == len(world.lasting_tasks()))
    await asyncio.sleep(settled_s)
    began = loop.time()
    short = loop.create_task(submit_short(world, rng))
    for _ in range(lost):
        await asyncio.sleep(rng.uniform(0.1, 6.5 / lost))
        fleet.lose(rng.choice(sorted(hosts_up(fleet))))
    for number, at in enumerate(WAVES, 1):
        await asyncio.sleep(max(0.0, began + at - loop.time()))
        names = sorted(fleet.hosts_by_name)
        due = rng.sample(names, max(1, int(len(names) * WAVE_SHARE)))
        world.announce(number, due, WAVE_S)
    await asyncio.sleep(max(0.0, began + DAY_S - loop.time()))
    short.cancel()
    await world.end()
    return fleet


def hosts_up(fleet: WaveFleet) -> list[str]:
    """Return the hosts that have an executor."""
    return [
        host.name
        for host in fleet.hosts_by_name.values()
        if host.executor is not None
    ]


async def submit_short(world: WaveWorld, rng: random.Random) -> None:
    """Hand in short work all the time."""
    number = SHORT_JOBS_FROM
    while True:
        await asyncio.sleep(rng.uniform(0.3, 1.2))
        number += 1
        step = StepSpec(rng.randint(1, 3), 900, 300, estimate_ms=1000)
        await world.submit_to(number, rng.choice(POOLS), step)


# Guards against LOST: waves beside few hosts take the only place of
# long-running tasks, which aren't started again.
@pytest.mark.parametrize("seed", range(SEEDS))
@pytest.mark.parametrize(
    ("hosts", "standby", "lost", "is_completed"),
    [
        (3, 2, 0, True),
        # Each pool has one host, which is replaced first.
        (1, 1, 0, True),
        # There may be no replacement, so waves may wait.
        (1, 0, 0, False),
        (2, 1, 3, False),
        (3, 2, 4, False),
    ],
)
def test_waves_cost_no_long_running_task_its_place(
    hosts: int, standby: int, lost: int, is_completed: bool, seed: int
) -> None:
    fleet = run_virtual(play(seed, hosts, standby, lost, SETTLED_S))
    assert fleet.broken_rules == []
    if is_completed:
        assert fleet.published == {1: True, 2: True, 3: True}


# Guards against LOST: an executor is reserved for a task though its step is
# full there, so the task waits and no other executor is reserved for it.
@pytest.mark.parametrize("seed", range(2))
def test_tasks_of_hosts_lost_soon_are_placed_again(seed: int) -> None:
    fleet = run_virtual(play(seed, 3, 2, 4))
    assert fleet.broken_rules == []


async def play_full_hosts(standby: int) -> WaveFleet:
    """Announce a wave while no other host has memory for a task."""
    world = WaveWorld(["a"])
    fleet = world.waves_fleet
    for name in ("a0", "a1"):
        fleet.add_host(name, "a")
    for number in range(standby):
        fleet.add_host(f"s{number}", STANDBY)
    world.start(2)
    step = StepSpec(2, 1000, 5000, lasts=True, may_miss=1)
    await world.submit_lasting(0, "a", step)
    await until(lambda: world.running_tasks() == 2)
    await asyncio.sleep(SETTLED_S)
    world.announce(1, ["a0", "a1"], WAVE_S)
    await asyncio.sleep(2 * WAVE_S)
    # Short work is still started on the hosts whose orders were withdrawn.
    await world.submit_to(SHORT_JOBS_FROM, "a", StepSpec(4, 3000, 300))
    await asyncio.sleep(WAITING_MAX_S)
    assert len(fleet.started) >= 6
    await world.end()
    return fleet


# Guards against LOST: the planner's count of hosts leaves out what keeps a
# task from its only other host, and the order is not withdrawn.
@pytest.mark.parametrize("standby", [0, 1])
def test_order_for_a_host_that_a_task_needs_is_withdrawn(standby: int) -> None:
    fleet = run_virtual(play_full_hosts(standby))
    assert fleet.broken_rules == []
    assert fleet.published == {1: standby > 0}
    assert bool(fleet.ends) is (standby > 0)
