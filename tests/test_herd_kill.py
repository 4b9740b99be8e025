"""Many daemons killed at one moment: half, all but one, or all of them.

Callers keep what they were told: an accepted job is done, a refused one never
runs, and no task runs twice.
"""

from __future__ import annotations

import asyncio

import pytest

from lycheelug.jobservice.submissions import ReplyKind
from lycheelug.workloads.model import JobState
from tests.job_world import POOL, JobWorld, job_id, until
from tests.virtual_time import run_virtual

DAEMONS = 12
ZONES = 4
# The daemons are started again after this time.
DOWN_S = 1.0
# Tasks run for longer than the daemons are down.
WORK_S = 4.0
# How long after that an executor can't be reached.
CUT_S = 1.0
# The stated time in which service is back after all were killed.
RECOVERY_S = 15.0

KILLED = {
    "half": lambda names: names[: len(names) // 2],
    "a zone": lambda names: names[::ZONES],
    "all but one": lambda names: names[1:],
    "all": lambda names: names,
}


def start(world: JobWorld, names: list[str]) -> None:
    for name in names:
        number = int(name[1:])
        world.start_daemon(name, zone=f"z{number % ZONES}")


async def kill(world: JobWorld, names: list[str]) -> None:
    for name in names:
        if name in world.daemons:
            await world.daemons.pop(name).stop()


async def prepare(world: JobWorld, moment: str) -> None:
    """Bring about the moment in which daemons are killed."""
    (owner,) = world.holders(POOL)
    if moment == "takeover":
        # The next owner is reading the pool's state.
        await kill(world, [owner])
        await until(lambda: bool(world.holders(POOL)))
    if moment == "hand-over":
        await world.daemons[owner].drain()


@pytest.mark.parametrize("killed", list(KILLED))
@pytest.mark.parametrize(
    "moment", ["transaction", "running", "takeover", "hand-over"]
)
def test_accepted_jobs_survive_and_refused_ones_never_run(
    killed: str, moment: str
) -> None:
    async def run() -> None:
        world = JobWorld()
        for number in range(4):
            world.fleet.add(f"x{number}", WORK_S)
        world.start_fleet()
        names = [f"e{number:02d}" for number in range(DAEMONS)]
        start(world, names)
        await asyncio.sleep(4.0)
        replies: dict[int, ReplyKind] = {}

        async def submit(number: int) -> None:
            alive = list(world.daemons)
            reply = await world.submit(alive[number % len(alive)], number)
            replies[number] = reply.kind

        loop = asyncio.get_running_loop()
        for number in range(8):
            await submit(number)
        await prepare(world, moment)
        pending = [loop.create_task(submit(n)) for n in range(8, 20)]
        # A transaction takes 8 ms.
        wait_s = {"transaction": 0.006, "running": 0.6}.get(moment, 0.02)
        await asyncio.sleep(wait_s)
        # The next owner can't reach an executor on which tasks run.
        world.fleet.executors["x0"].is_partitioned = True
        await kill(world, KILLED[killed](names))
        for task in pending:
            task.cancel()
        await asyncio.sleep(DOWN_S)
        start(world, [name for name in names if name not in world.daemons])
        await until(lambda: len(world.holders(POOL)) == 1, RECOVERY_S)
        await asyncio.sleep(CUT_S)
        world.fleet.executors["x0"].is_partitioned = False
        accepted = [n for n, kind in replies.items() if kind is ReplyKind.OK]
        assert len(accepted) >= 8
        async with asyncio.timeout(60):
            for number in accepted:
                while await world.state("e00", number) != JobState.COMPLETED:  # noqa: ASYNC110
                    await asyncio.sleep(0.1)
        assert world.fleet.duplicated_tasks == []
        started = {each.name.job for each in world.fleet.started}
        for number, kind in replies.items():
            if kind is ReplyKind.REFUSED:
                assert job_id(number) not in started
        await world.stop()

    run_virtual(run())
