"""The jobs that one run of a daemon holds, from claim to end.

A claim is a conditional write that raises the job's epoch, and its end is
one on the condition that the claim still stands.  A change whose answer
was lost is recognised by the name of its writer in the row.  What a daemon
reports goes on in the background until the platform has it, or another
change has overtaken it.
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
from lycheelug.job_table import JobTable, Raced, job_fault
from lycheelug.job_views import PoolViews, RunView
from lycheelug.settlements import SettlementQueue

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from lycheelug.claim_records import AnswerHeaders
    from lycheelug.store.interface import Platform

    # Makes a held job's next row from its present one.
    NextRow = Callable[[JobRow], JobRow]

__all__ = ["INLINE_BYTES_MAX", "JobHolder"]

CLAIM_TRIES: Final = 4
CHANGE_ROUNDS: Final = 4
INLINE_BYTES_MAX: Final = 16 * 1024
KEPT_BYTES_MAX: Final = 4 * 1024 * 1024
# Answers that wait for the platform hold no more than this in memory.
PENDING_BYTES_MAX: Final = 4 * 1024 * 1024


class JobHolder:
    """Takes jobs for one run of a daemon, and reports how they ended."""

    __slots__ = (
        "_clock",
        "_counter",
        "_held",
        "_owner",
        "_platform",
        "_pools",
        "_queue",
        "_rng",
        "_table",
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
        self._queue = SettlementQueue(rng, sleep)
        self._pools = PoolViews(platform)
        self._held = RunView(platform, self._owner)
        self._counter = 0

    @property
    def owner(self) -> str:
        """The name under which this run holds jobs: daemon and run."""
        return self._owner

    @property
    def pending(self) -> int:
        """How many changes still have to reach the platform."""
        return self._queue.pending

    @property
    def dropped(self) -> int:
        """How many changes were given up: their jobs stay held."""
        return self._queue.dropped

    def waiting(self, pool: str) -> int:
        """Return how many jobs of a pool waited at the last look."""
        return len(self._pools.queue(pool))

    async def claim_next(self, pool: str) -> Result[JobClaim | None, Fault]:
        """Take the pool's job whose turn it is; None if none waits.

        A failure means that nothing is held; a claim of unknown fate is
        given back in the background.
        """
        match await self._pools.refresh(pool):
            case Failure(fault):
                return Failure(fault)
        queue = self._pools.queue(pool)
        for _ in range(CLAIM_TRIES):
            name = queue.take()
            if name is None:
                return Success(None)
            revision = self._pools.revision(pool)
            match await self._table.read_at(name, revision):
                case Success(job):
                    pass
                case Failure(fault) if fault.code is UNKNOWN_JOB:
                    continue
                case Failure(fault):
                    self._pools.forget(pool)
                    return Failure(fault)
            if job.row.state is not JobState.WAITING:
                continue
            claimed = await self._claim(job, pool)
            if claimed is not None:
                return claimed
        return Success(None)

    async def dispatch(self, claim: JobClaim) -> Result[None, Fault]:
        """Mark a job before its first byte leaves; send only on success.

        After a failure the caller hands the claim back as not sent.
        """
        before = claim.stored
        row = job_transitions.dispatch(before.row, self._writer())
        changed = await self._table.change(
            before, StoredJob(claim.name, row, 0)
        )
        match changed:
            case Success(StoredJob() as stored):
                claim.stored = stored
                return Success(None)
            case Success(_):
                detail = "cancelled, or taken by another daemon"
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

        This and the other reports return after the first attempt; the
        rest goes on by itself.
        """
        writer = self._writer()
        now = self._clock()
        answer = pack_answer(headers, body)
        data = b""
        name = ""
        kept = self._may_keep(len(body))
        if kept and len(body) > INLINE_BYTES_MAX:
            name = f"{claim.name}/answer/{claim.epoch}"
            data = msgspec.msgpack.encode(answer)
        inline = answer if kept and not name else None

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
        """Record a failed run; the job waits again unless it is at fault.

        `racks_in_pool` counts the racks that the job could be tried in;
        `may_have_run` is False where it is certain that no byte left;
        `is_suspect` tells of a host whether it fails other jobs as well.
        """
        writer = self._writer()
        failure = JobFailure(host, rack, reason, self._clock())
        await self._end(
            claim,
            lambda row: job_transitions.fail(
                row, failure, may_have_run, is_suspect, racks_in_pool, writer
            ),
        )

    async def report_cancelled(self, claim: JobClaim) -> None:
        """Record that a dispatched job was ended as its caller wished."""
        writer = self._writer()
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
        """End a claim; the job waits again where it may.

        `sent` says that a byte may have left in this claim.
        """
        writer = self._writer()
        now = self._clock()
        await self._end(
            claim,
            lambda row: job_transitions.give_up_claim(
                row, writer, now, detail, sent
            ),
        )

    async def cancelled_names(self) -> Result[list[str], Fault]:
        """Return the held jobs whose callers newly wish to cancel them."""
        return await self._held.newly_cancelled()

    # --- Steps of the above.

    async def _claim(
        self, job: StoredJob, pool: str
    ) -> Result[JobClaim | None, Fault] | None:
        """Take one waiting job; None where another change came first."""
        row = job_transitions.claim(job.row, self._owner, self._writer())
        wanted = StoredJob(job.name, row, 0)
        try:
            changed = await self._table.change(job, wanted)
        except asyncio.CancelledError:
            self._abandon(job, wanted)
            raise
        match changed:
            case Success(StoredJob() as held):
                return await self._with_request(held)
            case Success(_):
                return None
            case Failure(fault) if fault.code is PLATFORM_UNREACHABLE:
                self._pools.forget(pool)
                return Failure(fault)
            case Failure(fault):
                self._abandon(job, wanted)
                return Failure(job_fault(CLAIM_LOST, Step.CLAIM, str(fault)))
        raise AssertionError

    async def _with_request(
        self, held: StoredJob
    ) -> Result[JobClaim | None, Fault]:
        """Return a claim with its request, or hand the job back."""
        done = False
        try:
            match await self._table.fetch_request(held):
                case Success(request):
                    done = True
                    return Success(JobClaim(held, request))
                case Failure(fault):
                    return Failure(fault)
            raise AssertionError
        finally:
            if not done:
                self._abandon(held, held)

    def _abandon(self, before: StoredJob, wanted: StoredJob) -> None:
        """Make sure that a claim neither holds nor will, in time.

        `before` is the row that the claim was to change.
        """
        writer = self._writer()

        async def attempt() -> bool:
            # Written anew even if unchanged: a late copy then fails.
            row = job_transitions.release(before.row, writer)
            fence = StoredJob(before.name, row, 0)
            match await self._table.change(before, fence):
                case Success(StoredJob()):
                    return True
                case Success(Raced(found=StoredJob() as found)):
                    pass
                case Success(_):
                    return True
                case _:
                    return False
            if found.row.writer != wanted.row.writer:
                return True
            row = job_transitions.release(found.row, writer)
            match await self._table.change(
                found, StoredJob(found.name, row, 0)
            ):
                case Success(_):
                    return True
            return False

        self._queue.settle_later(attempt)

    async def _end(
        self,
        claim: JobClaim,
        next_row: NextRow,
        answer_name: str = "",
        answer: bytes = b"",
    ) -> None:
        """Write a held job's next row as soon as the platform allows."""

        async def attempt() -> bool:
            if answer_name:
                put = await self._platform.put_object(answer_name, answer)
                if not isinstance(put, Success):
                    return False
            return await self._end_once(claim, next_row, answer_name)

        await self._queue.settle(attempt, len(answer))

    async def _end_once(
        self, claim: JobClaim, next_row: NextRow, answer_name: str
    ) -> bool:
        """Write the next row; True when nothing is left to do."""
        for _ in range(CHANGE_ROUNDS):
            row = next_row(claim.stored.row)
            wanted = StoredJob(claim.name, row, 0)
            match await self._table.change(claim.stored, wanted):
                case Success(StoredJob() as stored):
                    self._forget_request(stored.row)
                    return True
                case Success(Raced(found=StoredJob() as found)):
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

    def _forget_request(self, row: JobRow) -> None:
        """Delete a finished job's request from the object store."""
        if row.state in FINISHED_STATES and row.request_object:
            self._delete_later(row.request_object)

    def _delete_later(self, name: str) -> None:
        async def attempt() -> bool:
            deleted = await self._platform.delete_object(name)
            return isinstance(deleted, Success)

        self._queue.settle_later(attempt)

    def _may_keep(self, size_bytes: int) -> bool:
        if size_bytes > KEPT_BYTES_MAX:
            return False
        return self._queue.pending_bytes + size_bytes <= PENDING_BYTES_MAX

    def _writer(self) -> str:
        """Return a name for one change that no other change has."""
        self._counter += 1
        salt = f"{self._rng.getrandbits(64):016x}"
        return f"{self._owner}.{self._counter}.{salt}"
