"""Executors and daemons that are silent for a while and come back.

What was silent is not dead: running tasks go on, none is started again
elsewhere before its lease is surely over, and none is given up.  Limits: a
task's lease is 5 s here, and a daemon's heartbeat counts for 1.2 s.
"""

from __future__ import annotations

import asyncio

import pytest

from lycheelug.jobservice.submissions import ReplyKind
from lycheelug.workloads import StepSpec
from lycheelug.workloads.model import JobState
from tests.job_world import POOL, JobWorld, until
from tests.virtual_time import run_virtual

LEASE_S = 5.0
HEARTBEAT_TIMEOUT_S = 1.2
WORK_S = 12.0
TASKS = [StepSpec(count=4, cpu_millis=1000, max_per_executor=1)]


async def start(executors: int, daemons: int) -> JobWorld:
    world = JobWorld()
    for number in range(executors):
        world.fleet.add(f"x{number}", WORK_S)
    world.start_fleet()
    for number in range(daemons):
        world.start_daemon(f"e{number}")
    await until(lambda: len(world.holders()) == 1)
    return world


async def wait_completed(world: JobWorld, daemon: str, number: int) -> None:
    async with asyncio.timeout(60):
        while await world.state(daemon, number) != JobState.COMPLETED:  # noqa: ASYNC110
            await asyncio.sleep(0.1)


@pytest.mark.parametrize("silent", [1, 2, 4])
@pytest.mark.parametrize("share", [0.1, 0.3, 0.5, 0.7])
def test_tasks_of_executors_silent_within_their_lease_go_on(
    silent: int, share: float
) -> None:
    async def run() -> None:
        world = await start(executors=6, daemons=3)
        reply = await world.submit("e0", 1, TASKS)
        assert reply.kind is ReplyKind.OK
        await until(lambda: len(world.fleet.started) == 4)
        # The lease was last extended up to one poll ago.
        await asyncio.sleep(2.0)
        used = [each.executor_id for each in world.fleet.started][:silent]
        for name in used:
            world.fleet.executors[name].is_partitioned = True
        await asyncio.sleep(LEASE_S * share)
        for name in used:
            world.fleet.executors[name].is_partitioned = False
        await wait_completed(world, "e0", 1)
        assert len(world.fleet.started) == 4
        # Their capacity is used again.
        await world.submit("e0", 2, [StepSpec(count=48, cpu_millis=1000)])
        await until(lambda: len(world.fleet.started) == 52, 5.0)
        await world.stop()

    run_virtual(run())


@pytest.mark.parametrize("factor", [1.2, 1.5, 2.0, 3.0])
def test_tasks_of_executors_silent_for_longer_never_run_twice(
    factor: float,
) -> None:
    async def run() -> None:
        world = await start(executors=6, daemons=3)
        await world.submit("e0", 1, TASKS)
        await until(lambda: len(world.fleet.started) == 4)
        await asyncio.sleep(2.0)
        silent = world.fleet.started[0].executor_id
        world.fleet.executors[silent].is_partitioned = True
        await asyncio.sleep(LEASE_S * factor)
        world.fleet.executors[silent].is_partitioned = False
        await wait_completed(world, "e0", 1)
        assert world.fleet.duplicated_tasks == []
        # Only the silent executor's task was started again.
        assert len(world.fleet.started) <= 5
        await world.stop()

    run_virtual(run())


@pytest.mark.parametrize("factor", [0.5, 1.0, 1.5, 2.0, 3.0])
@pytest.mark.parametrize("is_owner", [True, False])
def test_daemon_that_was_silent_costs_no_task(
    factor: float, is_owner: bool
) -> None:
    async def run() -> None:
        world = await start(executors=6, daemons=3)
        (owner,) = world.holders()
        others = [name for name in world.daemons if name != owner]
        caller = others[1]
        await world.submit(caller, 1, TASKS)
        await until(lambda: len(world.fleet.started) == 4)
        await asyncio.sleep(2.0)
        silent = owner if is_owner else others[0]
        world.stores[silent].down = True
        await asyncio.sleep(HEARTBEAT_TIMEOUT_S * factor)
        world.stores[silent].down = False
        await wait_completed(world, caller, 1)
        assert world.fleet.duplicated_tasks == []
        assert len(world.fleet.started) == 4
        assert len(world.holders(POOL)) == 1
        if not is_owner:
            assert world.holders(POOL) == [owner]
        await world.submit(silent, 2)
        await wait_completed(world, caller, 2)
        await world.stop()

    run_virtual(run())
