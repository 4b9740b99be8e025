"""Random crashes, deadly tasks and changes of owner, on virtual time.

`CRASH_SOAK_SEEDS` sets how many seeds are run; CI runs the first few.
"""

from __future__ import annotations

import asyncio
import os
import random

import pytest

from lycheelug.jobservice.submissions import ReplyKind
from lycheelug.workloads import StepSpec, TaskName
from lycheelug.workloads.model import JobState
from tests.crash_world import CrashWorld
from tests.job_world import job_id, until
from tests.virtual_time import run_virtual

SEEDS = int(os.environ.get("CRASH_SOAK_SEEDS", "6"))
DAEMONS = 3
EXECUTORS = 8
JOBS = 24
# A task may be given up once two executors have crashed under it, and may be
# started twice more after a third one has.
LAWFUL_CRASHES = 2
STARTS_AFTER_THIRD = 2


class CrashSoak:
    """One seeded run."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.world = CrashWorld()
        self.deadly: dict[TaskName, float] = {}
        self.accepted: list[int] = []
        self.world.crashing.crash_delay = self.deadly.get

    async def run(self) -> None:
        rng = self.rng
        world = self.world
        for number in range(EXECUTORS):
            world.fleet.add(f"x{number}", rng.choice([0.4, 0.8, 1.5]))
        world.start_fleet()
        for number in range(DAEMONS):
            world.start_daemon(f"e{number}")
        await until(lambda: len(world.holders()) == 1)
        disturbing = asyncio.ensure_future(self.disturb())
        for number in range(1, JOBS + 1):
            await self.submit(number)
            await asyncio.sleep(rng.uniform(0.0, 0.6))
        await disturbing
        await asyncio.sleep(30)
        await self.check()
        await world.stop()

    async def submit(self, number: int) -> None:
        rng = self.rng
        step = StepSpec(
            count=rng.randint(1, 4),
            cpu_millis=rng.choice([500, 1500, 3000]),
            estimate_ms=1000,
            may_duplicate=rng.random() < 0.4,
        )
        if rng.random() < 0.15:
            name = TaskName(job_id(number), 0, 0, rng.randrange(step.count))
            self.deadly[name] = rng.choice([0.0, 0.01, 0.1, 0.3])
        reply = await self.world.submit("e0", number, [step])
        if reply.kind is ReplyKind.OK:
            self.accepted.append(number)

    async def disturb(self) -> None:
        """Crash executors alone and together, and cut owners off."""
        rng = self.rng
        world = self.world
        for _ in range(5):
            await asyncio.sleep(rng.uniform(1.0, 4.0))
            kind = rng.choice(["one", "rack", "owner"])
            alive = [
                name
                for name in world.fleet.executors
                if name not in world.crashing.crashed
            ]
            if kind == "owner" and world.holders():
                owner = world.holders()[0]
                world.stores[owner].down = True
                await asyncio.sleep(rng.uniform(2.0, 6.0))
                world.stores[owner].down = False
                continue
            count = 4 if kind == "rack" else 1
            for name in rng.sample(alive, min(count, len(alive))):
                world.crashing.crash(name)

    async def check(self) -> None:
        world = self.world
        for number in self.accepted:
            state = await world.state("e1", number)
            names = {
                run.name
                for run in world.fleet.started
                if run.name.job == job_id(number)
            }
            crashes = max(map(world.crash_counts, names), default=0)
            if state == JobState.FAILED:
                assert crashes >= LAWFUL_CRASHES
                continue
            is_deadly = any(name.job == job_id(number) for name in self.deadly)
            assert not is_deadly
            assert state == JobState.COMPLETED
        for name in self.deadly:
            assert self.starts_after_third_crash(name) <= STARTS_AFTER_THIRD

    def starts_after_third_crash(self, name: TaskName) -> int:
        """Return how often a deadly task was started after three crashes."""
        world = self.world
        starts = [run for run in world.fleet.started if run.name == name]
        count = 0
        crashed: set[str] = set()
        for run in starts:
            count += len(crashed) >= LAWFUL_CRASHES + 1
            if name in world.crashing.crashed.get(run.executor_id, set()):
                crashed.add(run.executor_id)
        return count


# Guards against tasks that crash executor after executor, and against jobs
# that are given up for crashes of others, whatever else fails meanwhile.
@pytest.mark.parametrize("seed", range(SEEDS))
def test_deadly_tasks_are_given_up_and_no_other_job_is_lost(seed: int) -> None:
    run_virtual(CrashSoak(seed).run())
