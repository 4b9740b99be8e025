"""Tests of how often a pool's owner plans."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lycheelug.jobservice.pool_owner import PLAN_MIN_INTERVAL_S, PoolOwner
from lycheelug.workloads import PoolSchedule
from tests.job_world import POOL, JobWorld, until
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    import pytest

EVENTS = 300
EVENT_INTERVAL_S = 0.001


def test_events_in_quick_succession_share_plans(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    planned_at: list[float] = []
    plan = PoolSchedule.plan

    def record_plan(
        schedule: PoolSchedule,
        now: float,
        verified_at: float,
        unix_ms: int = 0,
    ) -> object:
        planned_at.append(now)
        return plan(schedule, now, verified_at, unix_ms)

    monkeypatch.setattr(PoolSchedule, "plan", record_plan)

    async def scenario() -> tuple[float, list[float]]:
        world = JobWorld()
        service = world.start_daemon("d1")
        await until(lambda: bool(world.holders()) and bool(planned_at))
        owner = service.duties.held[POOL]
        assert isinstance(owner, PoolOwner)
        await asyncio.sleep(1.0)
        planned_at.clear()
        await until(lambda: bool(planned_at))
        await asyncio.sleep(2 * PLAN_MIN_INTERVAL_S)
        planned_at.clear()
        woken_at = asyncio.get_running_loop().time()
        for _ in range(EVENTS):
            owner.wake()
            await asyncio.sleep(EVENT_INTERVAL_S)
        await world.stop()
        return woken_at, list(planned_at)

    woken_at, plans = run_virtual(scenario())
    assert plans[0] == woken_at
    plans_max = EVENTS * EVENT_INTERVAL_S / PLAN_MIN_INTERVAL_S + 1
    assert 1 < len(plans) <= plans_max
