"""Daemons outside the duty group that lose the store, or meet a slow one.

They write no heartbeats, and must notice both as soon as members do.
"""

from __future__ import annotations

import asyncio
import itertools

import pytest

from lycheelug.jobservice.submissions import SLOW_STORE_S
from tests.job_world import FaultyRows, JobWorld
from tests.virtual_time import run_virtual

# A member notices a failure with its next heartbeat, each 0.4 s.
HEARTBEAT_S = 0.4
# An answer of the store, and a small write, usually take 4 and 8 ms.
READ_S = 0.004
WRITE_S = 0.008


async def start(world: JobWorld, daemons: int) -> list[str]:
    """Start daemons; return those outside the duty group."""
    world.fleet.add("x0")
    for number in range(daemons):
        world.start_daemon(f"e{number:02d}")
    await asyncio.sleep(12.0)
    return [
        name
        for name, service in world.daemons.items()
        if not service.duties.heartbeats.is_member
    ]


def test_daemon_outside_the_group_calls_the_store_as_often(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    calls: dict[int, list[float]] = {}
    read = FaultyRows.read

    async def recorded(
        self: FaultyRows, table: str, part: str, first: str = "", end: str = ""
    ) -> object:
        now = asyncio.get_running_loop().time()
        calls.setdefault(id(self), []).append(now)
        return await read(self, table, part, first, end)

    async def run() -> None:
        world = JobWorld()
        outside = await start(world, 20)
        assert outside
        monkeypatch.setattr(FaultyRows, "read", recorded)
        began = asyncio.get_running_loop().time()
        await asyncio.sleep(6.0)
        for name in outside:
            times = [began, *calls[id(world.stores[name])]]
            gaps = [
                later - earlier for earlier, later in itertools.pairwise(times)
            ]
            assert max(gaps) <= HEARTBEAT_S + 2 * READ_S
        await world.stop()

    run_virtual(run())


@pytest.mark.parametrize("factor", [1, 10, 30, 60])
def test_daemon_outside_the_group_knows_that_the_store_is_slow(
    monkeypatch: pytest.MonkeyPatch, factor: int
) -> None:
    read = FaultyRows.read

    async def slow(
        self: FaultyRows, table: str, part: str, first: str = "", end: str = ""
    ) -> object:
        await asyncio.sleep(READ_S * (factor - 1))
        return await read(self, table, part, first, end)

    async def run() -> None:
        world = JobWorld()
        outside = await start(world, 20)
        monkeypatch.setattr(FaultyRows, "read", slow)
        await asyncio.sleep(3.0)
        is_slow = WRITE_S * factor > SLOW_STORE_S
        for name in outside:
            liveness = world.daemons[name].duties.heartbeats.liveness
            assert (liveness.write_delay_s > SLOW_STORE_S) is is_slow
        await world.stop()

    run_virtual(run())
