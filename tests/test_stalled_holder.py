"""Holders of duties that are alive but can't do their work.

A heartbeat row is small and has a part of its own.  It may pass while the
transactions of the duty fail: on a full link, through slow peers, in a late
event loop.
"""

from __future__ import annotations

import asyncio

from lycheelug.fleetplan import MaintenanceWave
from lycheelug.jobservice.submissions import ReplyKind
from lycheelug.jobservice.tables import FLEET_PART
from lycheelug.workloads.model import JobState
from tests.job_world import POOL, ROUTE, JobWorld, until
from tests.virtual_time import run_virtual

# What the platform allows a count of waiting jobs to lag behind.
PENDING_LAG_S = 2.0
# Jobs of a surge have a slack of about two seconds.  Their pool's next owner
# needs some of the rest to recover.
MAX_REPLACE_S = 6.0


async def start(daemons: int) -> tuple[JobWorld, str, str]:
    """Start daemons; return the world, the pool's owner and another."""
    world = JobWorld()
    world.start_fleet()
    for number in range(daemons):
        world.start_daemon(f"e{number}")
    await until(lambda: len(world.holders()) == 1)
    (owner,) = world.holders()
    other = next(name for name in world.daemons if name != owner)
    return world, owner, other


# Guards against incident inc1, MIXED: an old summary answered as current.
def test_count_of_waiting_jobs_is_not_taken_from_an_old_summary() -> None:
    async def run() -> None:
        world, owner, other = await start(daemons=3)
        for number in range(4):
            await world.submit(other, number)
        await asyncio.sleep(1.0)
        world.stores[owner].refused_parts = {POOL}
        for number in range(4, 24):
            reply = await world.submit(other, number)
            assert reply.kind is ReplyKind.OK
        await asyncio.sleep(PENDING_LAG_S)
        counts: list[int] = []
        for _ in range(20):
            reply = await world.daemons[other].submissions.pending(ROUTE)
            if reply.kind is ReplyKind.OK:
                counts.append(reply.pending)
            await asyncio.sleep(0.2)
        assert counts
        assert min(counts) >= 12
        await world.stop()

    run_virtual(run())


# Guards against incident inc1, MIXED: the count of a pool whose owner can't be
# asked is refused, not guessed from what was stored last.
def test_count_is_refused_while_the_owner_can_not_be_asked() -> None:
    async def run() -> None:
        world, owner, other = await start(daemons=2)
        for number in range(4):
            await world.submit(other, number)
        await asyncio.sleep(1.0)
        reply = await world.daemons[other].submissions.pending(ROUTE)
        assert (reply.kind, reply.pending) == (ReplyKind.OK, 4)
        for store in world.stores.values():
            store.refused_parts = {POOL}
        await world.daemons.pop(owner).stop()
        reply = await world.daemons[other].submissions.pending(ROUTE)
        assert reply.kind is ReplyKind.REFUSED
        assert reply.retry_after_s > 0
        await world.stop()

    run_virtual(run())


# Guards against incident inc1, SHORT: a pool whose owner lives, and stores
# nothing, until the store takes its writes again.
def test_owner_that_can_not_store_progress_is_replaced() -> None:
    async def run() -> None:
        world, owner, other = await start(daemons=3)
        executor = world.fleet.add("x0")
        for service in world.daemons.values():
            service.update_executor("x0", executor.info)
        await asyncio.sleep(2.0)
        world.stores[owner].refused_parts = {POOL}
        reply = await world.submit(other, 1)
        assert reply.kind is ReplyKind.OK
        async with asyncio.timeout(MAX_REPLACE_S):
            while await world.state(other, 1) != JobState.COMPLETED:  # noqa: ASYNC110
                await asyncio.sleep(0.1)
        assert world.fleet.duplicated_tasks == []
        await world.stop()

    run_virtual(run())


# Guards against the collapse of the grown quiet day, SHORT: a fleet owner
# that renews its claim, can't store its plan, and moves no host.
def test_fleet_owner_that_can_not_store_its_plan_is_replaced() -> None:
    async def run() -> None:
        world, _, _ = await start(daemons=3)
        await until(lambda: len(world.holders(FLEET_PART)) == 1)
        (holder,) = world.holders(FLEET_PART)
        await asyncio.sleep(2.0)
        world.stores[holder].refused_parts = {FLEET_PART}
        executor = world.fleet.add("x0")
        wave = MaintenanceWave(1, ["h-x0"], 1.0, 1, 1)
        for service in world.daemons.values():
            service.update_executor("x0", executor.info)
            service.update_wave(wave)
        async with asyncio.timeout(MAX_REPLACE_S):
            while not world.fleet.host_orders:  # noqa: ASYNC110
                await asyncio.sleep(0.1)
        _, _, token = world.fleet.host_orders[0]
        assert token > 1
        await world.stop()

    run_virtual(run())
