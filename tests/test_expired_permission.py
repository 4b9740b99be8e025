"""Owners whose proof of ownership has run out, without their knowing why.

The next owner relies on it that a former one starts nothing and extends no
lease after its proof has run out, also on executors that the next owner
can't reach itself.
"""

from __future__ import annotations

import asyncio

import pytest

from lycheelug.jobservice.pool_owner import OWNERSHIP_VALID_S
from lycheelug.workloads import StepSpec
from lycheelug.workloads.executors import CLOCK_DRIFT
from tests.job_world import POOL, JobWorld, until
from tests.virtual_time import VirtualClock, run_virtual

LEASE_S = 5.0
# An order may be on its way, and a check is made each tenth of a second.
TRANSIT_S = 0.2


async def start_busy_owner(world: JobWorld) -> None:
    """Start an owner with more tasks than its executor takes at once."""
    world.fleet.add("x0", 0.5)
    world.start_fleet()
    world.start_daemon("e0")
    await until(lambda: world.holders(POOL) == ["e0"])
    await world.submit("e0", 1, [StepSpec(count=400, cpu_millis=1000)])
    await until(lambda: len(world.fleet.started) > 20)


@pytest.mark.parametrize("silent_s", [3.0, 6.0, 10.0, 30.0])
def test_owner_without_a_proof_starts_nothing_and_extends_no_lease(
    silent_s: float,
) -> None:
    async def run() -> None:
        world = JobWorld()
        await start_busy_owner(world)
        loop = asyncio.get_running_loop()
        world.stores["e0"].down = True
        # The last proof was requested before that.
        expires_at = loop.time() + OWNERSHIP_VALID_S
        await asyncio.sleep(silent_s)
        starts = [each.started_at for each in world.fleet.started]
        assert max(starts) <= expires_at + TRANSIT_S
        latest_ms = (expires_at + LEASE_S * (1 + CLOCK_DRIFT)) * 1000
        for executor in world.fleet.executors.values():
            assert executor.deadline_ms <= latest_ms + TRANSIT_S * 1000
        world.stores["e0"].down = False
        before = len(world.fleet.started)
        await until(lambda: len(world.fleet.started) > before, 15.0)
        assert world.fleet.duplicated_tasks == []
        await world.stop()

    run_virtual(run())


@pytest.mark.parametrize("pause_s", [0.1, 1.0, 4.0, 6.0, 30.0])
def test_owner_that_was_paused_acts_on_no_expired_proof(
    monkeypatch: pytest.MonkeyPatch, pause_s: float
) -> None:
    """Its clock has advanced by the pause when it looks at it again."""

    async def run() -> None:
        world = JobWorld()
        paused_s = 0.0

        class PausedClock(VirtualClock):
            __slots__ = ()

            def now(self) -> float:
                return asyncio.get_running_loop().time() + paused_s

        monkeypatch.setattr("tests.job_world.VirtualClock", PausedClock)
        await start_busy_owner(world)
        holder = world.daemons["e0"].duties.held[POOL]
        world.stores["e0"].down = True
        before = len(world.fleet.started)
        left_s = OWNERSHIP_VALID_S - pause_s
        paused_s = pause_s
        began = asyncio.get_running_loop().time()
        assert holder.is_verified is (left_s > 0)  # type: ignore[attr-defined]
        await asyncio.sleep(1.0)
        started = world.fleet.started[before:]
        if left_s <= 0:
            assert all(
                each.started_at <= began + TRANSIT_S for each in started
            )
        await world.stop()

    run_virtual(run())
