"""The jobs that one daemon run holds, from the claim to the result.

A claim is a conditional write that increments the job's epoch; the write
that ends the claim is conditional on the claim still being held. A change
whose answer was lost is recognised by its unique writer name in the row. A
result that the platform has not confirmed is retried in the background
until the platform has stored it or a later change has superseded it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec
from returns.result import Failure, Result, Success

from lycheelug import job_transitions
from lycheelug.claim_records import pack_answer
from lycheelug.errors import (
    CLAIM_LOST,
    JOB_CONFLICT,
    PLATFORM_UNREACHABLE,
    UNKNOWN_JOB,
    Fault,
    Step,
)
from lycheelug.job_failures import JobFailure
from lycheelug.job_records import (
    FINISHED_STATES,
    HELD_STATES,
    JobClaim,
    JobRow,
    JobState,
    StoredJob,
)
from lycheelug.job_table import JobTable, LostRace, job_fault
from lycheelug.job_views import HeldJobsView, WaitingJobsViews
from lycheelug.write_retries import WriteRetryQueue

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from lycheelug.claim_records import AnswerHeaders
    from lycheelug.store.interface import Platform

    # Returns the next row of a held job for its current row.
    NextRow = Callable[[JobRow], JobRow]

__all__ = ["INLINE_BYTES_MAX", "JobHolder"]

MAX_CLAIM_ATTEMPTS: Final = 4
MAX_END_ATTEMPTS: Final = 4
INLINE_BYTES_MAX: Final = 16 * 1024
STORED_ANSWER_BYTES_MAX: Final = 4 * 1024 * 1024
# Bounds the memory of answers that the platform has not stored yet.
PENDING_BYTES_MAX: Final = 4 * 1024 * 1024


class JobHolder:
    """Claims jobs for one daemon run, and records their results."""

    __slots__ = (
        "_clock",
        "_counter",
        "_held_jobs",
        "_owner",
        "_platform",
        "_retry_queue",
        "_rng",
        "_table",
        "_waiting_jobs",
    )

    def __init__(
        self,
        platform: Platform,
        daemon: str,
        run: str,
        clock: Callable[[], float],
        rng: random.Random,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._owner = f"{daemon}.{run}"
        self._platform = platform
        self._clock = clock
        self._rng = rng
        self._table = JobTable(platform, rng, sleep)
        self._retry_queue = WriteRetryQueue(rng, sleep)
        self._waiting_jobs = WaitingJobsViews(platform)
        self._held_jobs = HeldJobsView(platform, self._owner)
        self._counter = 0

    @property
    def owner(self) -> str:
        """The name of this run in job rows: daemon name and run."""
        return self._owner

    @property
    def pending(self) -> int:
        """The number of changes that the platform has not confirmed."""
        return self._retry_queue.pending

    @property
    def dropped(self) -> int:
        """The number of abandoned changes, whose jobs stay claimed."""
        return self._retry_queue.dropped

    def waiting(self, pool: str) -> int:
        """Return how many jobs of a pool waited at the last refresh."""
        return len(self._waiting_jobs.queue(pool))

    async def claim_next(self, pool: str) -> Result[JobClaim | None, Fault]:
        """Claim the next job of the pool; return None if none waits.

        After a failure no job is held: a claim whose result is not known is
        released in the background.
        """
        match await self._waiting_jobs.refresh(pool):
            case Failure(fault):
                return Failure(fault)
        queue = self._waiting_jobs.queue(pool)
        for _ in range(MAX_CLAIM_ATTEMPTS):
            name = queue.pop()
            if name is None:
                return Success(None)
            revision = self._waiting_jobs.revision(pool)
            match await self._table.read_at(name, revision):
                case Success(job):
                    pass
                case Failure(fault) if fault.code is UNKNOWN_JOB:
                    continue
                case Failure(fault):
                    self._waiting_jobs.reset(pool)
                    return Failure(fault)
            if job.row.state is not JobState.WAITING:
                continue
            claimed = await self._claim(job, pool)
            if claimed is not None:
                return claimed
        return Success(None)

    async def dispatch(self, claim: JobClaim) -> Result[None, Fault]:
        """Mark a job as dispatched; send its request only on success.

        After a failure the caller hands the claim back as not sent.
        """
        before = claim.stored
        row = job_transitions.dispatch(before.row, self._new_writer())
        changed = await self._table.change(
            before, StoredJob(claim.name, row, 0)
        )
        match changed:
            case Success(StoredJob() as stored):
                claim.stored = stored
                return Success(None)
            case Success(_):
                detail = "cancelled, or claimed by another daemon"
                return Failure(job_fault(JOB_CONFLICT, Step.CLAIM, detail))
            case Failure(fault):
                return Failure(job_fault(CLAIM_LOST, Step.CLAIM, str(fault)))
        raise AssertionError

    async def report_done(
        self,
        claim: JobClaim,
        status: int,
        headers: AnswerHeaders,
        body: bytes,
    ) -> None:
        """Record a job's answer.

        This and the other reports return after the first attempt; retries
        run in the background.
        """
        writer = self._new_writer()
        now = self._clock()
        answer = pack_answer(headers, body)
        data = b""
        name = ""
        may_store = self._may_store_answer(len(body))
        if may_store and len(body) > INLINE_BYTES_MAX:
            name = f"{claim.name}/answer/{claim.epoch}"
            data = msgspec.msgpack.encode(answer)
        inline = answer if may_store and not name else None

        def next_row(row: JobRow) -> JobRow:
            done = job_transitions.finish(row, JobState.DONE, writer, now, "")
            done.status = status
            done.answer = inline
            done.answer_object = name
            return done

        await self._end(claim, next_row, name, data)

    async def report_failed(
        self,
        claim: JobClaim,
        host: str,
        rack: str,
        reason: str,
        may_have_run: bool,
        racks_in_pool: int = 2,
        is_suspect: Callable[[str], bool] = lambda host: False,
    ) -> None:
        """Record a failed run; the job waits again unless it is set aside.

        `racks_in_pool` is the number of racks that the job could run in.
        `may_have_run` is False only if no byte was sent. `is_suspect`
        returns whether a host fails other jobs as well.
        """
        writer = self._new_writer()
        failure = JobFailure(host, rack, reason, self._clock())
        await self._end(
            claim,
            lambda row: job_transitions.fail(
                row, failure, may_have_run, is_suspect, racks_in_pool, writer
            ),
        )

    async def report_cancelled(self, claim: JobClaim) -> None:
        """Record that a dispatched job was cancelled for its caller."""
        writer = self._new_writer()
        now = self._clock()
        await self._end(
            claim,
            lambda row: job_transitions.finish(
                row, JobState.CANCELLED, writer, now, "cancelled"
            ),
        )

    async def hand_back(
        self, claim: JobClaim, sent: bool = False, detail: str = ""
    ) -> None:
        """End a claim; the job waits again if it may still be run.

        `sent` is True if a byte may have been sent under this claim.
        """
        writer = self._new_writer()
        now = self._clock()
        await self._end(
            claim,
            lambda row: job_transitions.give_up_claim(
                row, writer, now, detail, sent
            ),
        )

    async def cancelled_names(self) -> Result[list[str], Fault]:
        """Return the held jobs that were cancelled since the last call."""
        return await self._held_jobs.newly_cancelled()

    # --- Internal steps.

    async def _claim(
        self, job: StoredJob, pool: str
    ) -> Result[JobClaim | None, Fault] | None:
        """Claim one waiting job; return None after a lost race."""
        row = job_transitions.claim(job.row, self._owner, self._new_writer())
        after = StoredJob(job.name, row, 0)
        try:
            changed = await self._table.change(job, after)
        except asyncio.CancelledError:
            self._release_uncertain(job, after)
            raise
        match changed:
            case Success(StoredJob() as held):
                return await self._with_request(held)
            case Success(_):
                return None
            case Failure(fault) if fault.code is PLATFORM_UNREACHABLE:
                self._waiting_jobs.reset(pool)
                return Failure(fault)
            case Failure(fault):
                self._release_uncertain(job, after)
                return Failure(job_fault(CLAIM_LOST, Step.CLAIM, str(fault)))
        raise AssertionError

    async def _with_request(
        self, held: StoredJob
    ) -> Result[JobClaim | None, Fault]:
        """Return a claim with its request; release the job on failure."""
        has_request = False
        try:
            match await self._table.fetch_request(held):
                case Success(request):
                    has_request = True
                    return Success(JobClaim(held, request))
                case Failure(fault):
                    return Failure(fault)
            raise AssertionError
        finally:
            if not has_request:
                self._release_uncertain(held, held)

    def _release_uncertain(self, before: StoredJob, after: StoredJob) -> None:
        """Release a claim that may have been or may yet be stored.

        `before` is the row that the claim was based on.
        """
        writer = self._new_writer()

        async def attempt() -> bool:
            # Write the row even if it is unchanged: a delayed copy of the
            # claim then fails its condition.
            row = job_transitions.release(before.row, writer)
            release_row = StoredJob(before.name, row, 0)
            match await self._table.change(before, release_row):
                case Success(StoredJob()):
                    return True
                case Success(LostRace(found=StoredJob() as found)):
                    pass
                case Success(_):
                    return True
                case _:
                    return False
            if found.row.writer != after.row.writer:
                return True
            row = job_transitions.release(found.row, writer)
            match await self._table.change(
                found, StoredJob(found.name, row, 0)
            ):
                case Success(_):
                    return True
            return False

        self._retry_queue.attempt_later(attempt)

    async def _end(
        self,
        claim: JobClaim,
        next_row: NextRow,
        answer_name: str = "",
        answer: bytes = b"",
    ) -> None:
        """Write the next row of a held job; retry in the background."""

        async def attempt() -> bool:
            if answer_name:
                put = await self._platform.put_object(answer_name, answer)
                if not isinstance(put, Success):
                    return False
            return await self._end_once(claim, next_row, answer_name)

        await self._retry_queue.attempt_now(attempt, len(answer))

    async def _end_once(
        self, claim: JobClaim, next_row: NextRow, answer_name: str
    ) -> bool:
        """Write the next row once; return True if no retry is needed."""
        for _ in range(MAX_END_ATTEMPTS):
            row = next_row(claim.stored.row)
            after = StoredJob(claim.name, row, 0)
            match await self._table.change(claim.stored, after):
                case Success(StoredJob() as stored):
                    self._delete_finished_request(stored.row)
                    return True
                case Success(LostRace(found=StoredJob() as found)):
                    pass
                case Success(_):
                    break
                case _:
                    return False
            if not self._still_holds(claim, found.row):
                break
            claim.stored = found
        else:
            return False
        if answer_name:
            self._delete_later(answer_name)
        return True

    def _still_holds(self, claim: JobClaim, row: JobRow) -> bool:
        if row.state not in HELD_STATES:
            return False
        return row.owner == self._owner and row.epoch == claim.epoch

    def _delete_finished_request(self, row: JobRow) -> None:
        """Delete a finished job's request from the object store."""
        if row.state in FINISHED_STATES and row.request_object:
            self._delete_later(row.request_object)

    def _delete_later(self, name: str) -> None:
        async def attempt() -> bool:
            deleted = await self._platform.delete_object(name)
            return isinstance(deleted, Success)

        self._retry_queue.attempt_later(attempt)

    def _may_store_answer(self, size_bytes: int) -> bool:
        if size_bytes > STORED_ANSWER_BYTES_MAX:
            return False
        return (
            self._retry_queue.pending_bytes + size_bytes <= PENDING_BYTES_MAX
        )

    def _new_writer(self) -> str:
        """Return a unique name for one change."""
        self._counter += 1
        suffix = f"{self._rng.getrandbits(64):016x}"
        return f"{self._owner}.{self._counter}.{suffix}"
