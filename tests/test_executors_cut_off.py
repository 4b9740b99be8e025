"""Owners of pools that are cut off from executors, not from the store."""

from __future__ import annotations

import asyncio

from lycheelug.workloads.model import JobState
from tests.job_world import JobWorld, until
from tests.virtual_time import run_virtual


# Guards against a pool whose owner alone is cut off from its executors: it
# proves its ownership, and no task starts.
def test_owner_that_reaches_no_executor_is_replaced() -> None:
    async def run() -> None:
        world = JobWorld()
        world.start_fleet()
        executors = [world.fleet.add(f"x{number}") for number in range(3)]
        for number in range(3):
            service = world.start_daemon(f"e{number}")
            for executor in executors:
                info = executor.info
                service.update_executor(info.executor_id, info)
        await until(lambda: len(world.holders()) == 1)
        (owner,) = world.holders()
        other = next(name for name in world.daemons if name != owner)
        await asyncio.sleep(3.0)
        world.fleet.partitions = {
            (1, executor.info.executor_id) for executor in executors
        }
        await world.submit(other, 1)
        await asyncio.sleep(30.0)
        assert await world.state(other, 1) == JobState.COMPLETED
        assert world.fleet.duplicated_tasks == []
        await world.stop()

    run_virtual(run())
