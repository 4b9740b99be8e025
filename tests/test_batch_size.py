"""The size of the transactions in which a pool's progress is stored."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from returns.result import Failure

from lycheelug.errors import PLATFORM_INVALID, Fault, Peer, Step
from lycheelug.jobservice.pool_owner import PoolOwner
from lycheelug.jobservice.progress_batch import ENTRIES_MAX
from lycheelug.jobservice.submission_queue import SubmissionQueue
from lycheelug.jobservice.submissions import ReplyKind
from lycheelug.workloads import JobRecord, StepSpec
from tests.job_world import POOL, FaultyRows, JobWorld, until
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from collections.abc import Mapping

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


# Guards against a transaction that the store rejects for the number of its
# entries, as submissions of many queues each have a gate as a condition.
@pytest.mark.parametrize(
    ("queues", "has_address", "expected"),
    [
        (1, False, 16),
        (4, False, 16),
        (5, False, 15),
        (13, False, 13),
        (16, False, 13),
        (1, True, 16),
        (4, True, 15),
        (16, True, 11),
    ],
)
def test_submissions_of_many_queues_fit_into_a_transaction(
    queues: int, has_address: bool, expected: int
) -> None:
    async def run() -> None:
        queue = SubmissionQueue(POOL, 1)
        for number in range(16):
            name = f"q{number % queues}"
            record = JobRecord(name, "", [StepSpec(count=1)])
            record.address = f"host/{name}/" if has_address else ""
            queue.add(f"{number:016x}", record, 0.0)
        batch = queue.take_batch(16, 0.0)
        assert len(batch) == expected
        names: set[RowName] = set()
        entries = 0
        for submission in batch:
            names.update(queue.gates(submission))
            entries += 2 * len(queue.rows(submission))
        # Besides, the owner's row, two of its load and ten of its executors.
        assert len(names) + entries + 1 + 2 * 2 + 2 * 10 <= ENTRIES_MAX

    asyncio.run(run())
