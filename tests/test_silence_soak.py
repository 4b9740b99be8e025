"""Random cuts, crashes, takeovers and stale host lists, on virtual time.

`SILENCE_SOAK_SEEDS` sets how many seeds are run; CI runs the first few.
"""

from __future__ import annotations

import asyncio
import os
import random
from typing import TYPE_CHECKING

import pytest

from lycheelug.jobservice.submissions import ReplyKind
from lycheelug.workloads import StepSpec, TaskName
from lycheelug.workloads.model import JobState
from tests.disturbed_fleet import DisturbedFleet
from tests.job_world import JobWorld, job_id, until
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from lycheelug.workloads import ExecutorInfo
    from tests.job_world import FakeExecutor

SEEDS = int(os.environ.get("SILENCE_SOAK_SEEDS", "4"))
FIRST_SEED = int(os.environ.get("SILENCE_SOAK_FIRST", "0"))
# Seeds that have shown a fault.
KEPT_SEEDS = (117, 123, 134, 269)
DAEMONS = 3
EXECUTORS = 10
JOBS = 14
EVENTS = 12
# A task may be given up once two executors have crashed under it, and may be
# started twice more after a third one has.
LAWFUL_CRASHES = 2
STARTS_AFTER_THIRD = 2
# After the last disturbance, all tasks that last must run again in time.
CALM_S = 4.0
RESTARTED_S = 3.0
FINISHED_S = 60.0


class SilenceSoak:
    """One seeded run."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.world = JobWorld()
        self.fleet = DisturbedFleet(self.rng)
        self.world.fleet = self.fleet
        self.fleet.on_entry = self.update_entry
        self.fleet.crash_delay = self.crash_delay
        # Shortest and longest delay of the crash, by deadly task.
        self.deadly: dict[TaskName, tuple[float, float]] = {}
        self.accepted: dict[int, StepSpec] = {}
        # What the list of hosts is like all the while.
        self.hosts_fault = self.rng.choice(
            ["", "", "late", "shortened", "down"]
        )

    def update_entry(
        self, executor_id: str, info: ExecutorInfo | None
    ) -> None:
        for service in self.world.daemons.values():
            service.update_executor(executor_id, info)

    def crash_delay(self, name: TaskName) -> float | None:
        bounds = self.deadly.get(name)
        return self.rng.uniform(*bounds) if bounds else None

    async def run(self) -> None:
        rng = self.rng
        world = self.world
        for number in range(EXECUTORS):
            self.fleet.add_host(f"x{number}")
        world.start_fleet()
        for number in range(DAEMONS):
            world.start_daemon(f"e{number}")
        await until(lambda: len(world.holders()) == 1)
        disturbing = asyncio.ensure_future(self.disturb())
        for number in range(1, JOBS + 1):
            await self.submit(number)
            await asyncio.sleep(rng.uniform(0.0, 2.0))
        await disturbing
        await self.check()
        await world.stop()

    async def submit(self, number: int) -> None:
        rng = self.rng
        kind = rng.choice(["short", "short", "duplicable", "gang", "lasting"])
        step = StepSpec(
            count=rng.randint(1, 4),
            cpu_millis=rng.choice([500, 1500])
            if kind in ("gang", "lasting")
            else rng.choice([500, 1500, 3000]),
            estimate_ms=1000,
            may_duplicate=kind == "duplicable",
            is_gang=kind == "gang",
            lasts=kind == "lasting",
            max_per_executor=rng.choice([0, 2]),
        )
        if step.lasts:
            self.fleet.lasting.add(job_id(number))
        if rng.random() < 0.2:
            name = TaskName(job_id(number), 0, 0, rng.randrange(step.count))
            low = rng.choice([0.0, 0.01, 0.1, 0.3])
            self.deadly[name] = (low, low + rng.choice([0.0, 0.05, 0.6]))
        reply = await self.world.submit("e0", number, [step])
        if reply.kind is ReplyKind.OK:
            self.accepted[number] = step

    async def disturb(self) -> None:
        """Cut executors off, crash them, and cut owners off."""
        rng = self.rng
        world = self.world
        fleet = self.fleet
        for _ in range(EVENTS):
            await asyncio.sleep(rng.uniform(0.2, 3.0))
            kind = rng.choice(
                [
                    "cut",
                    "cut",
                    "flap",
                    "zone",
                    "crash",
                    "hosts",
                    "owner",
                    "answers",
                ]
            )
            fleet.hosts_fault = self.hosts_fault
            usable = fleet.usable()
            if kind in ("cut", "zone"):
                count = 5 if kind == "zone" else rng.randint(1, 2)
                usable.sort(key=lambda each: -len(each.running))
                cut_s = rng.choice([2.5, 4.8, 6.0, 9.0])
                for executor in usable[:count]:
                    fleet.spawn(fleet.cut(executor, cut_s))
            elif kind == "flap":
                for executor in usable[:2]:
                    fleet.spawn(self.flap(executor))
            elif kind == "crash" and usable:
                fleet.crash(rng.choice(usable))
            elif kind == "answers":
                for executor in usable[:3]:
                    fleet.spawn(self.lose_answers(executor))
            elif kind == "hosts":
                fleet.hosts_fault = rng.choice(["late", "shortened", "down"])
            elif kind == "owner" and world.holders():
                owner = world.holders()[0]
                world.stores[owner].down = True
                await asyncio.sleep(rng.uniform(2.0, 7.0))
                world.stores[owner].down = False
        fleet.hosts_fault = ""
        deadly_left = 30
        while fleet.pending and deadly_left:
            deadly_left -= 1
            await asyncio.sleep(1.0)

    async def lose_answers(self, executor: FakeExecutor) -> None:
        executor.loses_answers = True
        await asyncio.sleep(self.rng.uniform(1.0, 4.0))
        executor.loses_answers = False

    async def flap(self, executor: FakeExecutor) -> None:
        for _ in range(4):
            if executor.has_crashed:
                return
            await self.fleet.cut(executor, self.rng.uniform(0.8, 5.5))
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))

    def missing(self) -> list[TaskName]:
        """Return the innocent tasks that last and don't run."""
        running: set[TaskName] = set()
        for executor in self.fleet.executors.values():
            running.update(executor.running)
        found: list[TaskName] = []
        for number, step in self.accepted.items():
            for index in range(step.count if step.lasts else 0):
                name = TaskName(job_id(number), 0, 0, index)
                if name in self.deadly or name in running:
                    continue
                found.append(name)
        return found

    async def check(self) -> None:
        deadly_jobs = {name.job for name in self.deadly}
        await asyncio.sleep(CALM_S + RESTARTED_S)
        missing = []
        for name in self.missing():
            state = await self.world.state("e1", int(name.job, 16))
            if name.job not in deadly_jobs and state == JobState.RUNNING:
                missing.append(name)
        await asyncio.sleep(FINISHED_S)
        for number, step in self.accepted.items():
            state = await self.world.state("e1", number)
            names = [
                TaskName(job_id(number), 0, 0, index)
                for index in range(step.count)
            ]
            crashes = max(self.crash_count(name) for name in names)
            if state == JobState.FAILED:
                assert crashes >= LAWFUL_CRASHES, (number, step.count)
                continue
            if job_id(number) in deadly_jobs:
                continue
            if step.lasts:
                assert state == JobState.RUNNING, (number, state)
            else:
                assert state == JobState.COMPLETED, (number, state)
        for name in self.deadly:
            assert self.starts_after_third(name) <= STARTS_AFTER_THIRD, name
        for name in self.fleet.duplicated_tasks:
            number = int(name.job, 16)
            assert self.accepted[number].may_duplicate, name
        assert missing == []

    def crash_count(self, name: TaskName) -> int:
        return sum(name in ran for _, ran in self.fleet.crashes)

    def starts_after_third(self, name: TaskName) -> int:
        """Return how often a deadly task was started after three crashes."""
        crashed = [
            executor for executor, ran in self.fleet.crashes if name in ran
        ]
        count = 0
        seen: list[FakeExecutor] = []
        for task, executor in self.fleet.starts:
            if task != name:
                continue
            count += len(seen) > LAWFUL_CRASHES
            if any(executor is each for each in crashed):
                seen.append(executor)
        return count


# Guards against silence that is taken for crashes, and against tasks that are
# lost, run twice or crash executor after executor, whatever else fails.
@pytest.mark.parametrize(
    "seed", sorted({*range(FIRST_SEED, FIRST_SEED + SEEDS), *KEPT_SEEDS})
)
def test_disturbed_executors_lose_no_job(seed: int) -> None:
    run_virtual(SilenceSoak(seed).run())
