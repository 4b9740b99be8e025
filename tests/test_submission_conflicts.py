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


# Guards against incident inc1, SHORT: each batch of a slow owner conflicted
# with rows that senders had stored meanwhile, and nothing of the pool was
# stored until the surge was over.
@pytest.mark.parametrize("transit_s", [0.03, 0.3, 0.5])
def test_slow_owner_goes_on_storing_while_senders_give_up(
    transit_s: float,
) -> None:
    async def run() -> None:
        world = JobWorld()
        world.start_fleet()
        for number in range(3):
            world.start_daemon(f"e{number}")
        await until(lambda: len(world.holders()) == 1)
        (owner,) = world.holders()
        others = [name for name in world.daemons if name != owner]
        await asyncio.sleep(2.0)
        world.forward_timeout_s = 0.9
        store = world.stores[owner]
        store.transit_s = transit_s
        loop = asyncio.get_running_loop()
        began = loop.time()
        replies = []
        number = 0
        while loop.time() - began < SURGE_S:
            number += 1
            replies.append(
                loop.create_task(
                    world.submit(
                        others[number % 2],
                        number,
                        [StepSpec(count=1, cpu_millis=1000)],
                    )
                )
            )
            await asyncio.sleep(1 / SUBMISSIONS_PER_S)
        await asyncio.gather(*replies)
        await asyncio.sleep(1.0)
        times = [time for time in store.stored_at if time > began]
        times = [began, *times, loop.time()]
        gaps = [after - before for before, after in itertools.pairwise(times)]
        assert max(gaps) <= MAX_GAP_S
        assert world.holders() == [owner]
        await world.stop()

    run_virtual(run())
