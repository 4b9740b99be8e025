"""The age of a count of waiting jobs behind a slow link."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Success

from lycheelug.jobservice.interfaces import SubmissionAnswer
from lycheelug.jobservice.queue_rows import NO_GATES, GateVersions
from lycheelug.jobservice.submissions import ReplyKind
from lycheelug.jobservice.tables import jobs_table
from lycheelug.store.rows import RowSet
from tests.job_world import POOL, ROUTE, FaultyRows, JobWorld, until
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    import pytest
    from returns.result import Result

    from lycheelug.errors import Fault
    from lycheelug.store.rows import HistoryGone
    from lycheelug.workloads import JobRecord

# The bound of the visibility of a job, and of the age of a count.
COUNT_LAG_S = 5.0
# How long an answer with rows takes on the owner's link.
TRANSFER_S = 3.8
SURGE_JOBS = 40


class DirectWorld(JobWorld):
    """Daemons that store all submissions themselves."""

    async def forward(
        self,
        address: str,
        pool: str,
        job_id: str,
        record: JobRecord,
        gates: GateVersions = NO_GATES,
    ) -> SubmissionAnswer:
        return SubmissionAnswer.NOT_TAKEN


def slow_down(
    monkeypatch: pytest.MonkeyPatch,
    slow: list[FaultyRows],
    asked: asyncio.Event,
) -> None:
    """Delay the answers with changed submissions to some daemons."""
    feed = FaultyRows.feed

    async def feed_slowly(
        store: FaultyRows, table: str, after: int, wait_s: float
    ) -> Result[RowSet | HistoryGone, Fault]:
        if table != jobs_table(POOL) or store not in slow:
            return await feed(store, table, after, wait_s)
        asked.set()
        result = await feed(store, table, after, wait_s)
        match result:
            case Success(RowSet() as changes) if changes.rows:
                await asyncio.sleep(TRANSFER_S)
        return result

    monkeypatch.setattr(FaultyRows, "feed", feed_slowly)


# Guards against MIXED: an answer that took seconds on a slow link
# counts as the state at its arrival.
def test_count_is_refused_if_the_submissions_arrived_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    slow: list[FaultyRows] = []

    async def run() -> None:
        asked = asyncio.Event()
        slow_down(monkeypatch, slow, asked)
        world = DirectWorld()
        for number in range(3):
            world.start_daemon(f"e{number}")
        await until(lambda: len(world.holders()) == 1)
        (owner,) = world.holders()
        other = next(name for name in world.daemons if name != owner)
        await asyncio.sleep(2.5)
        slow.append(world.stores[owner])
        await asked.wait()
        loop = asyncio.get_running_loop()
        accepted: list[float] = []
        # The first answer has one job; those of the surge are in the next.
        for number in range(140):
            if number < SURGE_JOBS:
                reply = await world.submit(other, number)
                assert reply.kind is ReplyKind.OK
                accepted.append(loop.time())
            await asyncio.sleep(0.02 if number < SURGE_JOBS else 0.1)
            count = await world.daemons[other].count_waiting(
                POOL, ROUTE.name, ROUTE.address
            )
            if count is None:
                continue
            old = loop.time() - COUNT_LAG_S
            assert count >= sum(at < old for at in accepted) / 2
        assert count == SURGE_JOBS
        await world.stop()

    run_virtual(run())
