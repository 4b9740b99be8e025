"""Tests of tasks that crash the executors that start them."""

from __future__ import annotations

import asyncio

import pytest

from lycheelug.workloads import StepSpec, TaskName
from lycheelug.workloads.model import JobState
from tests.crash_world import CrashWorld
from tests.job_world import job_id, until
from tests.virtual_time import run_virtual

# A task may be started twice more after a third executor crashed under it.
CRASHES_MAX = 3
STARTS_MAX = CRASHES_MAX + 2
DEADLY = 1


async def start_all(world: CrashWorld, executors: int) -> None:
    for number in range(executors):
        world.fleet.add(f"x{number}")
    world.start_fleet()
    for number in range(2):
        world.start_daemon(f"e{number}")
    await until(lambda: len(world.holders()) == 1)


# Guards against a task that crashes one executor after another, and takes
# the runs of other jobs with it each time.
@pytest.mark.parametrize("delay_s", [0.0, 0.01, 0.4])
@pytest.mark.parametrize("may_duplicate", [False, True])
def test_deadly_task_is_given_up_and_its_neighbours_are_served(
    may_duplicate: bool, delay_s: float
) -> None:
    deadly = TaskName(job_id(DEADLY), 0, 0, 0)

    async def run() -> None:
        world = CrashWorld()
        world.crashing.crash_delay = lambda name: (
            delay_s if name == deadly else None
        )
        await start_all(world, executors=6)
        steps = [
            StepSpec(
                count=3,
                cpu_millis=500,
                estimate_ms=1000,
                may_duplicate=may_duplicate,
            )
        ]
        others = range(DEADLY + 1, DEADLY + 9)
        for number in (DEADLY, *others):
            await world.submit("e0", number, steps)
        await asyncio.sleep(20)
        assert world.starts(deadly) <= STARTS_MAX
        assert world.crash_counts(deadly) <= CRASHES_MAX
        assert await world.state("e0", DEADLY) == JobState.FAILED
        for number in others:
            assert await world.state("e0", number) == JobState.COMPLETED
        await world.stop()

    run_virtual(run())
