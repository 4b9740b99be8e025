"""The size of the transactions in which a pool's progress is stored."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Failure

from lycheelug.errors import PLATFORM_INVALID, Fault, Peer, Step
from lycheelug.jobservice.pool_owner import PoolOwner
from lycheelug.jobservice.submissions import ReplyKind
from tests.job_world import POOL, FaultyRows, JobWorld, until
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from collections.abc import Mapping

    import pytest
    from returns.result import Result

    from lycheelug.store.rows import RowCommit, RowConflict, RowName

# What the store accepts in a transaction; values are base64 on the wire.
STORE_BYTES_MAX = 1_000_000
JOBS = 45
TASKS = 900


def limit_transactions(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the store reject large transactions."""
    commit = FaultyRows.commit

    async def commit_small(
        store: FaultyRows,
        part: str,
        expected: Mapping[RowName, int],
        writes: Mapping[RowName, bytes | None],
    ) -> Result[RowCommit | RowConflict, Fault]:
        size = sum(len(value or b"") for value in writes.values())
        if size * 4 // 3 > STORE_BYTES_MAX:
            return Failure(Fault(PLATFORM_INVALID, Step.WRITE, Peer.PLATFORM))
        return await commit(store, part, expected, writes)

    monkeypatch.setattr(FaultyRows, "commit", commit_small)


# Guards against a pool that stores no progress any more, because that of many
# wide jobs changed at once and is repeated in one transaction for ever.
def test_progress_of_many_wide_jobs_is_stored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    limit_transactions(monkeypatch)

    async def run() -> None:
        world = JobWorld()
        service = world.start_daemon("e0")
        await until(lambda: len(world.holders()) == 1)
        await asyncio.sleep(2.0)
        for number in range(JOBS):
            reply = await world.submit("e0", number)
            assert reply.kind is ReplyKind.OK
        await asyncio.sleep(1.0)
        owner = service.duties.held[POOL]
        assert isinstance(owner, PoolOwner)
        jobs = list(owner.schedule.jobs.values())
        assert len(jobs) == JOBS
        for job in jobs:
            for task in range(TASKS):
                job.progress.checkpoints[f"0.0.{task}"] = "00000bb87a21d94b"
            job.is_dirty = True
        await asyncio.sleep(1.0)
        assert not any(job.is_dirty for job in jobs)
        await world.stop()

    run_virtual(run())
