"""Owners whose proof of ownership has run out, without their knowing why.

The next owner relies on it that a former one starts nothing and extends no
lease after its proof has run out, also on executors that the next owner
can't reach itself.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from lycheelug.jobservice.order_sender import OrderSender
from lycheelug.jobservice.pool_owner import OWNERSHIP_VALID_S
from lycheelug.workloads import StartOrder, StepSpec, StopOrder
from lycheelug.workloads.executors import CLOCK_DRIFT
from tests.job_world import (
    POOL,
    ROUTE,
    FakeFleet,
    JobWorld,
    job_id,
    until,
)
from tests.virtual_time import VirtualClock, run_virtual

if TYPE_CHECKING:
    from lycheelug.jobservice.interfaces import StopAnswer
    from lycheelug.workloads import (
        ExecutorInfo,
        PaceOrder,
        StartAnswer,
        TaskName,
    )

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


class RecordedFleet(FakeFleet):
    """Executors with a record of the orders that reach them."""

    def __init__(self) -> None:
        super().__init__()
        self.orders: list[type] = []

    async def start(
        self,
        info: ExecutorInfo,
        task: TaskName,
        run: int,
        payload: str,
        checkpoint: str,
        deadline_ms: int,
        token: int,
        ticket: str = "",
    ) -> tuple[StartAnswer, int | None]:
        self.orders.append(StartOrder)
        return await super().start(
            info, task, run, payload, checkpoint, deadline_ms, token, ticket
        )

    async def stop(
        self, info: ExecutorInfo, task: TaskName, run: int, token: int
    ) -> StopAnswer:
        self.orders.append(StopOrder)
        return await super().stop(info, task, run, token)


# Guards against TWICE: an owner that is stopped after it has planned orders,
# and sends them when a later owner relies on it that it starts nothing.
@pytest.mark.parametrize("kind", [StartOrder, StopOrder])
@pytest.mark.parametrize("is_lost", [False, True])
def test_owner_that_was_paused_after_planning_sends_no_order(
    monkeypatch: pytest.MonkeyPatch, kind: type, is_lost: bool
) -> None:
    async def run() -> int:
        world = JobWorld()
        fleet = RecordedFleet()
        world.fleet = fleet
        is_armed = False
        paused_s = 0.0
        before = 0
        send = OrderSender.send

        class PausedClock(VirtualClock):
            __slots__ = ()

            def now(self) -> float:
                return asyncio.get_running_loop().time() + paused_s

        def pause_and_send(
            sender: OrderSender, order: StartOrder | StopOrder | PaceOrder
        ) -> None:
            nonlocal is_armed, paused_s, before
            if is_armed and isinstance(order, kind):
                is_armed = False
                before = fleet.orders.count(kind)
                world.stores["e0"].down = True
                if is_lost:
                    world.daemons["e0"].duties.held[POOL].revoke("by the test")
                else:
                    paused_s = OWNERSHIP_VALID_S
            send(sender, order)

        monkeypatch.setattr("tests.job_world.VirtualClock", PausedClock)
        monkeypatch.setattr(OrderSender, "send", pause_and_send)
        await start_busy_owner(world)
        is_armed = True
        if kind is StopOrder:
            await world.daemons["e0"].submissions.cancel(ROUTE, job_id(1))
        await until(lambda: not is_armed)
        await asyncio.sleep(1.0)
        await world.stop()
        return fleet.orders.count(kind) - before

    assert run_virtual(run()) == 0
