"""Claims of duties whose answers are lost, and holders that were replaced."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure

from lycheelug.errors import PLATFORM_UNKNOWN, Fault, Peer, Step
from lycheelug.jobservice.tables import FLEET_PART, OWNER_ROW
from lycheelug.ownership import OwnerRecord, WorkProgress
from tests.job_world import POOL, FaultyRows, JobWorld, until
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from collections.abc import Mapping

    import pytest
    from returns.result import Result

    from lycheelug.store.rows import RowCommit, RowConflict, RowName

# How long a transaction without an answer takes to fail.
NO_ANSWER_S = 1.25
# A claimant reads its own row from the feed at once.
MAX_RECLAIM_S = 1.5
DAEMONS = 12


class LostClaim:
    """The next claim of a pool takes effect without an answer."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        no_answer_s: float = NO_ANSWER_S,
    ) -> None:
        self.is_armed = False
        # When the caller learned that there was no answer.
        self.failed_at: float | None = None
        commit = FaultyRows.commit
        lost = self

        async def lose(
            store: FaultyRows,
            part: str,
            expected: Mapping[RowName, int],
            writes: Mapping[RowName, bytes | None],
        ) -> Result[RowCommit | RowConflict, Fault]:
            result = await commit(store, part, expected, writes)
            if not lost.is_armed or part != POOL or OWNER_ROW not in writes:
                return result
            lost.is_armed = False
            await asyncio.sleep(no_answer_s)
            lost.failed_at = asyncio.get_running_loop().time()
            return Failure(Fault(PLATFORM_UNKNOWN, Step.WRITE, Peer.PLATFORM))

        monkeypatch.setattr(FaultyRows, "commit", lose)


async def stored_owner(world: JobWorld, duty: str = POOL) -> OwnerRecord:
    """Return the stored owner row of a duty."""
    read = await world.rows.read(OWNER_ROW.table, duty)
    (row,) = read.unwrap().rows
    return msgspec.json.decode(row.value or b"", type=OwnerRecord)


# Guards against a pool without an owner for as many turns as there are
# daemons: all others see its claimant as the owner.
def test_claim_without_an_answer_is_repeated_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lost = LostClaim(monkeypatch)

    async def run() -> float:
        world = JobWorld()
        lost.is_armed = True
        for number in range(DAEMONS):
            world.start_daemon(f"e{number}")
        await until(lambda: lost.failed_at is not None)
        assert lost.failed_at is not None
        async with asyncio.timeout(60.0):
            while not world.holders():  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        taken_s = asyncio.get_running_loop().time() - lost.failed_at
        await world.stop()
        return taken_s

    assert run_virtual(run()) < MAX_RECLAIM_S


# Guards against a pool that changes hands every second: a repeated claim of a
# stalled holder's duty forgets how many holders stalled before.
def test_repeated_claim_keeps_the_number_of_stalled_holders(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lost = LostClaim(monkeypatch)

    async def run() -> int:
        world = JobWorld()
        for number in range(3):
            world.start_daemon(f"e{number}")
        await until(lambda: len(world.holders()) == 1)
        (former,) = world.holders()
        await asyncio.sleep(2.0)
        lost.is_armed = True
        world.stores[former].refused_parts = {POOL}
        async with asyncio.timeout(30.0):
            while lost.failed_at is None or not set(  # noqa: ASYNC110
                world.holders()
            ) - {former}:
                await asyncio.sleep(0.02)
        record = await stored_owner(world)
        await world.stop()
        return record.stalled_before

    assert run_virtual(run()) == 1


# Guards against a holder that is replaced ten seconds late, because others
# stalled long before it.
def test_stalled_holders_of_long_ago_do_not_extend_the_limit() -> None:
    work = WorkProgress(stalled_before=3)
    now = 1000.0
    while now < 1600.0:
        work.record_attempt(now)
        work.record_success()
        now += 1.0
    work.record_attempt(now)
    assert not work.is_stalled(now + 1.0, delay_s=0.0)
    assert work.is_stalled(now + 1.5, delay_s=0.0)


# Guards against a duty taken from a holder that works: the choice to claim it
# is older than the holder's own claim.
def test_claim_does_not_replace_a_holder_that_was_faster(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lost = LostClaim(monkeypatch, no_answer_s=10.0)

    async def run() -> tuple[list[str], int]:
        world = JobWorld()
        lost.is_armed = True
        # It chooses to claim the pool and then the fleet plan.
        world.start_daemon("e0")
        await until(lambda: not lost.is_armed)
        world.start_daemon("e1")
        await until(lambda: world.holders(FLEET_PART) == ["e1"])
        assert lost.failed_at is None
        await until(lambda: lost.failed_at is not None)
        await asyncio.sleep(2.0)
        record = await stored_owner(world, FLEET_PART)
        holders = world.holders(FLEET_PART)
        await world.stop()
        return holders, record.term

    assert run_virtual(run()) == (["e1"], 1)
