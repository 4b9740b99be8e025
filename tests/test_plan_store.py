"""The stored fleet plan: when it is written, and how much."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from lycheelug.fleetplan import DrainOrder, MaintenanceWave, PlanRecord
from lycheelug.jobservice.plan_store import PlanStore
from lycheelug.jobservice.tables import FLEET_PART, OWNER_ROW
from lycheelug.store.memory_rows import MemoryRows
from lycheelug.store.rows import RowName
from tests.job_world import FaultyRows, JobWorld, until
from tests.test_host_reads import ListedFleet
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from returns.result import Result

    from lycheelug.errors import Fault
    from lycheelug.store.rows import RowCommit, RowConflict

PLAN_ROW = RowName("plans", "plan")
# What each owner of a pool receives while hosts are maintained.
PLAN_BYTES_PER_S = 1_500


class CountedRows(MemoryRows):
    """A store that counts the bytes of the plan's orders."""

    __slots__ = ("plan_bytes", "plan_writes")

    def __init__(self) -> None:
        super().__init__()
        self.plan_bytes = 0
        self.plan_writes = 0

    async def commit(
        self,
        part: str,
        expected: Mapping[RowName, int],
        writes: Mapping[RowName, bytes | None],
    ) -> Result[RowCommit | RowConflict, Fault]:
        if PLAN_ROW in writes:
            # Values are base64 on the wire.
            self.plan_bytes += len(writes[PLAN_ROW] or b"") * 4 // 3
            self.plan_writes += 1
        return await super().commit(part, expected, writes)


# Guards against a plan that grows with each maintained host and is sent whole
# to the owners of all pools.
def test_orders_stay_small_during_a_wave() -> None:
    async def run() -> None:
        world = JobWorld()
        rows = CountedRows()
        world.rows = rows
        fleet = ListedFleet(200)
        world.fleet = fleet
        service = world.start_daemon("e0")
        await until(lambda: len(world.holders(FLEET_PART)) == 1)
        for number in range(200):
            fleet.add(f"x{number}")
            info = fleet.executors[f"x{number}"].info
            service.update_executor(info.executor_id, info)
        await asyncio.sleep(3.0)
        service.update_wave(MaintenanceWave(1, fleet.names, 60.0, 8, 1))
        await asyncio.sleep(30.0)
        maintained = len(fleet.host_orders)
        rows.plan_bytes = rows.plan_writes = 0
        await asyncio.sleep(10.0)
        rate = rows.plan_bytes / 10.0
        print(
            f"after {maintained} hosts: {rate:.0f} B/s,"
            f" {rows.plan_writes} writes in 10 s"
        )
        assert maintained > 40
        assert rate < PLAN_BYTES_PER_S
        await world.stop()

    run_virtual(run())


async def open_store(rows: MemoryRows) -> tuple[PlanStore, FaultyRows]:
    """Return the plan's store for an owner, and its access to the rows."""
    claimed = await rows.commit(FLEET_PART, {}, {OWNER_ROW: b"{}"})
    access = FaultyRows(rows)
    return PlanStore(access, claimed.unwrap().version), access  # type: ignore[union-attr]


def add_order(plan: PlanRecord) -> None:
    plan.orders["h2"] = DrainOrder("1.2", "quotes", "spare")


def send_order(plan: PlanRecord) -> None:
    plan.orders["h1"].sent = True


def withdraw_order(plan: PlanRecord) -> None:
    del plan.orders["h1"]


# Guards against hosts that are moved late: only the end of an order may wait.
@pytest.mark.parametrize(
    "change",
    [
        pytest.param(add_order, id="new"),
        pytest.param(send_order, id="sent"),
        pytest.param(withdraw_order, id="withdrawn"),
    ],
)
def test_change_of_an_open_order_is_stored_at_once(
    change: Callable[[PlanRecord], None],
) -> None:
    async def run() -> None:
        rows = MemoryRows()
        store, _ = await open_store(rows)
        plan = PlanRecord(1, {"h1": DrainOrder("1.1", "quotes", "spare")})
        assert await store.save(plan, 10.0)
        change(plan)
        assert await store.save(plan, 10.01)
        stored = (await PlanStore(rows, 0).load(2)).unwrap()
        assert stored.orders == plan.orders

    run_virtual(run())


# Guards against a host that the next owner maintains again: its end is stored
# together with the removal of its order.
def test_end_of_an_order_is_stored_later_and_whole() -> None:
    async def run() -> None:
        rows = MemoryRows()
        store, _ = await open_store(rows)
        order = DrainOrder("1.1", "quotes", wave=1, sent=True)
        plan = PlanRecord(1, {"h1": order})
        assert await store.save(plan, 10.0)
        del plan.orders["h1"]
        plan.maintained["1"] = ["h1"]
        plan.completed.append(1)
        assert await store.save(plan, 10.1)
        stored = (await PlanStore(rows, 0).load(2)).unwrap()
        assert stored.orders
        assert not stored.maintained
        assert await store.save(plan, 10.6)
        stored = (await PlanStore(rows, 0).load(2)).unwrap()
        assert not stored.orders
        assert stored.maintained == {"1": ["h1"]}
        assert stored.completed == [1]

    run_virtual(run())


# Guards against an order that the store records late, after it was withdrawn.
def test_unanswered_write_is_replaced() -> None:
    async def run() -> None:
        rows = MemoryRows()
        store, access = await open_store(rows)
        plan = PlanRecord(1)
        assert await store.save(plan, 10.0)
        plan.orders["h1"] = DrainOrder("1.1", "quotes", "spare")
        access.down = True
        assert not await store.save(plan, 11.0)
        access.down = False
        del plan.orders["h1"]
        before = (await rows.read("plans", FLEET_PART)).unwrap().version
        assert await store.save(plan, 11.1)
        after = (await rows.read("plans", FLEET_PART)).unwrap().version
        assert after > before

    run_virtual(run())


# Guards against a planner that goes on after another owner has claimed.
def test_plan_of_a_lost_duty_is_not_stored() -> None:
    async def run() -> None:
        rows = MemoryRows()
        store, _ = await open_store(rows)
        assert await store.save(PlanRecord(1), 10.0)
        await open_store(rows)
        plan = PlanRecord(1, {"h1": DrainOrder("1.1", "quotes", "spare")})
        assert not await store.save(plan, 11.0)
        assert store.is_lost

    run_virtual(run())


# Guards against a crash of the planner on rows of another build.
def test_unreadable_rows_are_ignored() -> None:
    async def run() -> None:
        rows = MemoryRows()
        for name in (PLAN_ROW, RowName("waves", "1"), RowName("waves", "x")):
            await rows.commit(FLEET_PART, {}, {name: b"[1]"})
        store, _ = await open_store(rows)
        plan = (await store.load(2)).unwrap()
        assert not plan.orders
        assert not plan.maintained
        plan.maintained["1"] = ["h1"]
        assert await store.save(plan, 10.0)

    run_virtual(run())
