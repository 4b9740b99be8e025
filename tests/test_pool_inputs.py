"""Owners of pools whose writes pass while their reads fail.

A proof of ownership is small.  The submissions, the plan's orders and the
executors are large and arrive through feeds of their own.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from returns.result import Failure

from lycheelug.errors import PLATFORM_UNKNOWN, Fault, Peer, Step
from lycheelug.jobservice.submissions import ReplyKind
from lycheelug.jobservice.tables import jobs_table
from lycheelug.workloads.model import JobState
from tests.job_world import POOL, ROUTE, FaultyRows, JobWorld, until
from tests.test_executor_list import ListedWorld
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from returns.result import Result

    from lycheelug.store.rows import HistoryGone, RowSet

NO_ANSWER_S = 0.5
# The owner notices that a feed is late after three seconds, and is replaced
# a second or two later.
MAX_REPLACE_S = 9.0


class LostReads:
    """Some daemons receive no answer to reads and feeds of some tables."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *tables: str) -> None:
        self.stores: list[FaultyRows] = []
        read = FaultyRows.read
        feed = FaultyRows.feed
        fault = Fault(PLATFORM_UNKNOWN, Step.READ, Peer.PLATFORM)

        async def lose_read(
            store: FaultyRows,
            table: str,
            part: str,
            first: str = "",
            end: str = "",
        ) -> Result[RowSet, Fault]:
            if table in tables and store in self.stores and not end:
                await asyncio.sleep(NO_ANSWER_S)
                return Failure(fault)
            return await read(store, table, part, first, end)

        async def lose_feed(
            store: FaultyRows, table: str, after: int, wait_s: float
        ) -> Result[RowSet | HistoryGone, Fault]:
            if table in tables and store in self.stores:
                await asyncio.sleep(NO_ANSWER_S)
                return Failure(fault)
            return await feed(store, table, after, wait_s)

        monkeypatch.setattr(FaultyRows, "read", lose_read)
        monkeypatch.setattr(FaultyRows, "feed", lose_feed)


async def start(daemons: int) -> tuple[JobWorld, str, str]:
    """Start daemons and an executor; return the owner and another."""
    world = JobWorld()
    world.start_fleet()
    executor = world.fleet.add("x0")
    for number in range(daemons):
        service = world.start_daemon(f"e{number}")
        service.update_executor("x0", executor.info)
    await until(lambda: len(world.holders()) == 1)
    (owner,) = world.holders()
    other = next(name for name in world.daemons if name != owner)
    await asyncio.sleep(3.0)
    return world, owner, other


# Guards against incident inc1, SHORT and MIXED: an owner proves its ownership
# and answers no count, while it receives no submission or no drain order.
@pytest.mark.parametrize("table", [jobs_table(POOL), "plans"])
def test_owner_whose_feed_fails_is_replaced(
    monkeypatch: pytest.MonkeyPatch, table: str
) -> None:
    lost = LostReads(monkeypatch, table)

    async def run() -> None:
        world, owner, other = await start(daemons=3)
        lost.stores = [world.stores[owner]]
        await asyncio.sleep(MAX_REPLACE_S)
        assert world.holders()
        assert owner not in world.holders()
        await world.submit(other, 1)
        await asyncio.sleep(4.0)
        assert await world.state(other, 1) == JobState.COMPLETED
        reply = await world.daemons[other].submissions.pending(ROUTE)
        assert reply.kind is ReplyKind.OK
        assert world.fleet.duplicated_tasks == []
        await world.stop()

    run_virtual(run())


# Guards against a new owner that never starts: it proves its ownership while
# it waits for the submissions.
def test_new_owner_that_can_not_read_the_submissions_is_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lost = LostReads(monkeypatch, jobs_table(POOL))

    async def run() -> None:
        world, owner, other = await start(daemons=3)
        for name, store in world.stores.items():
            if name not in (owner, other):
                lost.stores.append(store)
        await world.submit(other, 1)
        await world.daemons.pop(owner).stop()
        await asyncio.sleep(20.0)
        assert await world.state(other, 1) == JobState.COMPLETED
        assert world.fleet.duplicated_tasks == []
        await world.stop()

    run_virtual(run())


# Guards against incident inc1, SHORT: the owner learned of none of the
# executors that joined its pool for the surge.
def test_owner_that_receives_no_list_of_executors_is_replaced() -> None:
    async def run() -> None:
        world = ListedWorld()
        owner = await world.begin(executors=2, daemons=3)
        await asyncio.sleep(3.0)
        world.lists[owner].down = True
        await asyncio.sleep(MAX_REPLACE_S)
        assert world.holders()
        assert owner not in world.holders()
        await world.end()

    run_virtual(run())
