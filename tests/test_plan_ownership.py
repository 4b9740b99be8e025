"""Orders to hosts by an owner of the fleet plan that was replaced."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest
from returns.result import Success

from lycheelug.fleetplan import MaintenanceWave
from lycheelug.jobservice.interfaces import HostAnswer
from lycheelug.jobservice.tables import FLEET_PART, OWNER_ROW
from lycheelug.ownership import OwnerRecord
from lycheelug.store.rows import RowSet
from tests.job_world import FakeFleet, FaultyRows, JobWorld, until
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from lycheelug.errors import Fault
    from lycheelug.store.rows import HistoryGone


class SilentFleet(FakeFleet):
    """A platform that doesn't answer orders to hosts, or throttles them."""

    def __init__(self, answer: HostAnswer) -> None:
        super().__init__()
        self.answer = answer

    def count_orders(self, token: int) -> int:
        """Return the number of orders with a fencing token."""
        return sum(each[2] == token for each in self.host_orders)

    async def maintain(
        self,
        host: str,
        wave: int,
        holder: str,
        token: int,
        may_send: Callable[[], bool],
    ) -> HostAnswer:
        answer = await super().maintain(host, wave, holder, token, may_send)
        if answer is HostAnswer.NOT_SENT:
            return answer
        await asyncio.sleep(0.2)
        return self.answer


def stop_owner_feeds(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let no daemon receive changed owner rows any more."""
    feed = FaultyRows.feed

    async def wait(
        store: FaultyRows, table: str, after: int, wait_s: float
    ) -> Result[RowSet | HistoryGone, Fault]:
        if table == OWNER_ROW.table:
            await asyncio.sleep(wait_s)
            return Success(RowSet([], after))
        return await feed(store, table, after, wait_s)

    monkeypatch.setattr(FaultyRows, "feed", wait)


# Guards against ONE: a replaced owner of the fleet plan that has not noticed
# it, and repeats its orders with a lower fencing token than the new owner's.
@pytest.mark.parametrize(
    "answer", [HostAnswer.NO_ANSWER, HostAnswer.THROTTLED]
)
def test_replaced_fleet_owner_repeats_no_order(
    monkeypatch: pytest.MonkeyPatch, answer: HostAnswer
) -> None:
    async def run() -> tuple[int, int]:
        world = JobWorld()
        fleet = SilentFleet(answer)
        world.fleet = fleet
        world.start_fleet()
        executor = fleet.add("x0")
        service = world.start_daemon("e0")
        service.update_executor("x0", executor.info)
        await until(lambda: len(world.holders(FLEET_PART)) == 1)
        service.update_wave(MaintenanceWave(1, ["h-x0"], 1.0, 1, 1))
        await until(lambda: len(fleet.host_orders) > 1)
        stop_owner_feeds(monkeypatch)
        await asyncio.sleep(3.0)
        before = fleet.count_orders(token=1)
        owner = OwnerRecord("e9", "i9", 2)
        await world.rows.commit(
            FLEET_PART, {}, {OWNER_ROW: msgspec.json.encode(owner)}
        )
        # An order that was on its way is not counted.
        await asyncio.sleep(0.5)
        replaced = fleet.count_orders(token=1)
        await asyncio.sleep(5.0)
        await world.stop()
        assert before > 2
        return replaced, fleet.count_orders(token=1)

    replaced, in_the_end = run_virtual(run())
    assert in_the_end == replaced
