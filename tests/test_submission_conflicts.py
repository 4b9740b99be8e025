"""A surge of submissions at an owner whose transactions are slow.

Senders that give up store their submissions themselves, while these are
still queued at the owner.
"""

from __future__ import annotations

import asyncio
import itertools

import pytest

from lycheelug.workloads import StepSpec
from tests.job_world import JobWorld, until
from tests.virtual_time import run_virtual

SURGE_S = 5.0
SUBMISSIONS_PER_S = 100
# Jobs of a surge have a slack of about two seconds.
MAX_GAP_S = 2.0
# How long callers wait for an answer.
CALLER_WAIT_S = 3.0


async def surge(world: JobWorld, owner: str) -> list[float]:
    """Submit a surge to the other daemons; return the replies' delays."""
    others = [name for name in world.daemons if name != owner]
    loop = asyncio.get_running_loop()
    delays: list[float] = []

    async def submit(number: int) -> None:
        began = loop.time()
        await world.submit(
            others[number % len(others)],
            number,
            [StepSpec(count=1, cpu_millis=1000)],
        )
        delays.append(loop.time() - began)

    began = loop.time()
    tasks: list[asyncio.Task[None]] = []
    while loop.time() - began < SURGE_S:
        tasks.append(loop.create_task(submit(len(tasks) + 1)))
        await asyncio.sleep(1 / SUBMISSIONS_PER_S)
    await asyncio.gather(*tasks)
    return delays


async def start() -> tuple[JobWorld, str]:
    """Start three daemons; return the world and the pool's owner."""
    world = JobWorld()
    world.start_fleet()
    for number in range(3):
        world.start_daemon(f"e{number}")
    await until(lambda: len(world.holders()) == 1)
    (owner,) = world.holders()
    await asyncio.sleep(2.0)
    world.forward_timeout_s = 0.9
    return world, owner


# Guards against incident inc1, SHORT: each batch of a slow owner conflicted
# with rows that senders had stored meanwhile, and nothing of the pool was
# stored until the surge was over.
@pytest.mark.parametrize("transit_s", [0.03, 0.3, 0.5])
def test_slow_owner_goes_on_storing_while_senders_give_up(
    transit_s: float,
) -> None:
    async def run() -> None:
        world, owner = await start()
        store = world.stores[owner]
        store.transit_s = transit_s
        loop = asyncio.get_running_loop()
        began = loop.time()
        await surge(world, owner)
        await asyncio.sleep(1.0)
        times = [time for time in store.stored_at if time > began]
        times = [began, *times, loop.time()]
        gaps = [after - before for before, after in itertools.pairwise(times)]
        assert max(gaps) <= MAX_GAP_S
        assert world.holders() == [owner]
        await world.stop()

    run_virtual(run())


# Guards against a slow store in a surge, SHORT: senders that waited in vain
# for the owner stored their submissions one by one, so that the pool's part
# was busy with these, and neither the owner nor anybody else was served.
def test_slow_store_is_left_to_the_owner_in_a_surge() -> None:
    async def run() -> None:
        world, owner = await start()
        for store in world.stores.values():
            store.write_s = 0.5
        # The daemons have seen how slow it is.
        await asyncio.sleep(2.0)
        loop = asyncio.get_running_loop()
        began = loop.time()
        delays = await surge(world, owner)
        assert max(delays) <= CALLER_WAIT_S
        times = [
            time for time in world.stores[owner].stored_at if time > began
        ]
        times = [began, *times, loop.time()]
        gaps = [after - before for before, after in itertools.pairwise(times)]
        assert max(gaps) <= MAX_GAP_S
        assert world.holders() == [owner]
        await world.stop()

    run_virtual(run())
