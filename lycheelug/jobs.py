"""Durable long jobs, which any daemon may run.

A job is stored before it is accepted, as one row in the platform's table.
Its handle is random, and the row key contains a hash of the handle. Daemons
claim waiting jobs by a conditional write that increments the job's epoch,
and mark a job as dispatched before the first byte of its request is sent.
Correctness does not depend on leases or clocks: a claim is valid until its
owner ends it, or until the owner's run is known to have ended. In the
latter case a job that was not dispatched, or that may be repeated, waits
again; any other job becomes UNKNOWN, stays visible and is never run a
second time.

Platform calls of a job that succeeds at the first attempt: one write to
submit it; two reads and one write to claim it; one write to mark it as
dispatched; one write to record its result. Requests and answers over
`INLINE_BYTES_MAX` add one object each.

Limits: each daemon holds an index of the waiting jobs of the pools it
serves. A submission whose answer is lost is withdrawn in the background,
and may have run before the withdrawal takes effect.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec
from returns.result import Failure, Result, Success

from lycheelug import job_transitions
from lycheelug.claim_records import StoredAnswer, unpack_headers
from lycheelug.decoding import decode_msgpack
from lycheelug.errors import (
    JOB_CONFLICT,
    PLATFORM_UNREACHABLE,
    UNKNOWN_JOB,
    UNKNOWN_OBJECT,
    Fault,
    Step,
)
from lycheelug.job_holder import INLINE_BYTES_MAX, JobHolder
from lycheelug.job_records import (
    FINISHED_STATES,
    HELD_STATES,
    JOB_PREFIX,
    JobClaim,
    JobRequest,
    JobRow,
    JobState,
    JobStatus,
    StoredJob,
    job_key,
)
from lycheelug.job_table import LostRace, decode_job, job_fault
from lycheelug.job_views import HeldJobsView
from lycheelug.sweeping import RowSweeper

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable, Collection

    from lycheelug.store.interface import Platform, Row

__all__ = [
    "JobClaim",
    "JobRequest",
    "JobState",
    "JobStatus",
    "JobStore",
]

HANDLE_PREFIX: Final = "lj1"
HANDLE_BITS: Final = 128
MAX_CANCEL_ATTEMPTS: Final = 4
RETENTION_S: Final = 24 * 3600.0
# Jobs that were set aside or whose result is unknown are kept for longer.
FAILED_RETENTION_S: Final = 7 * 24 * 3600.0
PARTITION_DIGITS: Final = 3
RUN_ENDED: Final = "its daemon's run ended"


class JobStore(JobHolder):
    """Access of one daemon run to the stored long jobs.

    `clock` returns Unix seconds. `rng` should be random.SystemRandom, since
    knowledge of the handle is all that authorises access to a job.
    """

    __slots__ = ("_retention_s", "_sweeper")

    def __init__(
        self,
        platform: Platform,
        daemon: str,
        run: str,
        clock: Callable[[], float],
        rng: random.Random,
        retention_s: float = RETENTION_S,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        super().__init__(platform, daemon, run, clock, rng, sleep)
        self._retention_s = retention_s
        self._sweeper = RowSweeper(
            platform,
            self._owner,
            rng,
            JOB_PREFIX,
            PARTITION_DIGITS,
            self._expired_objects,
        )

    # --- Requests of callers.

    async def submit(
        self, tenant: str, pool: str, request: JobRequest, now: float
    ) -> Result[str, Fault]:
        """Store a job and return its handle once it is durable.

        `platform-unreachable` means that no job was stored. After any other
        fault one may have been stored; it is withdrawn in the background.
        """
        secret = f"{self._rng.getrandbits(HANDLE_BITS):032x}"
        row = JobRow(tenant, pool, now, self._new_writer())
        row.repeatable = request.repeatable
        job = StoredJob(job_key(secret), row, 0)
        try:
            stored = await self._store_request(job, request)
            if not isinstance(stored, Success):
                self._delete_finished_request(row)
                return Failure(stored.failure())
            changed = await self._table.change(None, job)
        except asyncio.CancelledError:
            self._withdraw(job)
            raise
        match changed:
            case Success(StoredJob() as submitted):
                revision = f"{submitted.revision:x}"
                return Success(f"{HANDLE_PREFIX}.{secret}.{revision}")
            case Failure(fault) if fault.code is PLATFORM_UNREACHABLE:
                self._delete_finished_request(row)
                return Failure(fault)
            case Failure(fault):
                self._withdraw(job)
                return Failure(fault)
        return Failure(
            job_fault(
                JOB_CONFLICT, Step.RECORD, "the handle is already in use"
            )
        )

    async def state(self, handle: str) -> Result[JobStatus, Fault]:
        """Return the status of a job."""
        match await self._find(handle):
            case Success(job):
                return await self._status(job)
            case Failure(fault):
                return Failure(fault)
        raise AssertionError

    async def cancel(
        self, handle: str, now: float
    ) -> Result[JobStatus, Fault]:
        """Cancel a job and return its status.

        A dispatched job keeps running until its owner has read the
        cancellation. After a fault the cancellation may or may not have
        taken effect.
        """
        match await self._find(handle):
            case Success(job):
                pass
            case Failure(fault):
                return Failure(fault)
        writer = self._new_writer()
        for _ in range(MAX_CANCEL_ATTEMPTS):
            row = job_transitions.cancel(job.row, writer, now)
            if row is None:
                # The answer to an earlier cancellation may have been lost
                # before the request's object was deleted.
                self._delete_finished_request(job.row)
                return await self._status(job)
            match await self._table.change(job, StoredJob(job.name, row, 0)):
                case Success(StoredJob() as job):
                    self._delete_finished_request(job.row)
                    return await self._status(job)
                case Success(LostRace(found=StoredJob() as job)):
                    continue
                case Success(_):
                    break
                case Failure(fault):
                    return Failure(fault)
        return Failure(job_fault(JOB_CONFLICT, Step.RECORD, "raced"))

    # --- Maintenance.

    async def recover(self, ended_runs: Collection[str], now: float) -> int:
        """Release the jobs of daemon runs that are known to have ended.

        `ended_runs` contains `owner` names. Keep calling this for some time
        after the end of a run: a delayed claim of that run may still reach
        the store. Return how many jobs were released or finished.
        """
        recovered = 0
        for owner in ended_runs:
            view = HeldJobsView(self._platform, owner)
            match await view.names():
                case Success(names):
                    pass
                case _:
                    continue
            for name in names:
                recovered += await self._recover_job(
                    name, owner, view.revision, now
                )
        return recovered

    async def sweep(self, now: float) -> int:
        """Delete old finished jobs of one partition; return the count."""
        return await self._sweeper.step(now)

    async def flush(self) -> None:
        """Wait until no write is pending; the caller sets a timeout."""
        await self._retry_queue.flush()

    async def close(self) -> None:
        """Stop background work, and abandon the writes still pending."""
        await self._retry_queue.close()

    # --- Internal steps.

    async def _store_request(
        self, job: StoredJob, request: JobRequest
    ) -> Result[None, Fault]:
        """Store a request in the job's row or, if large, in an object."""
        if len(request.body) <= INLINE_BYTES_MAX:
            job.row.request = request
            return Success(None)
        job.row.request_object = f"{job.name}/request"
        stored = await self._platform.put_object(
            job.row.request_object, msgspec.msgpack.encode(request)
        )
        if isinstance(stored, Success):
            return Success(None)
        # No job exists: an object counts only if a job row refers to it.
        detail = str(stored.failure())
        return Failure(job_fault(PLATFORM_UNREACHABLE, Step.RECORD, detail))

    def _withdraw(self, job: StoredJob) -> None:
        """Cancel a submission whose caller did not receive a handle."""
        writer = self._new_writer()
        now = self._clock()
        cancelled = job_transitions.cancel(job.row, writer, now)
        assert cancelled is not None

        async def attempt() -> bool:
            # If no row exists, write a cancelled one: a delayed copy of
            # the submission then fails its condition.
            withdrawn = StoredJob(job.name, cancelled, 0)
            match await self._table.change(None, withdrawn):
                case Success(LostRace(found=StoredJob() as found)):
                    return await self._cancel_once(found, writer, now)
                case Success(StoredJob()):
                    self._delete_finished_request(cancelled)
                    return True
            return False

        self._retry_queue.attempt_later(attempt)

    async def _cancel_once(
        self, job: StoredJob, writer: str, now: float
    ) -> bool:
        """Cancel a job as it was read; return True if no retry is needed."""
        row = job_transitions.cancel(job.row, writer, now)
        if row is None:
            return True
        match await self._table.change(job, StoredJob(job.name, row, 0)):
            case Success(StoredJob()):
                self._delete_finished_request(row)
                return True
        return False

    async def _find(self, handle: str) -> Result[StoredJob, Fault]:
        """Return a handle's job, read at the handle's revision or later."""
        parts = handle.split(".")
        if len(parts) != 3 or parts[0] != HANDLE_PREFIX:
            return Failure(
                job_fault(UNKNOWN_JOB, Step.READ, "the handle is malformed")
            )
        try:
            revision = int(parts[2], 16)
        except ValueError:
            return Failure(
                job_fault(UNKNOWN_JOB, Step.READ, "the handle is malformed")
            )
        return await self._table.read_at(job_key(parts[1]), revision)

    async def _status(self, job: StoredJob) -> Result[JobStatus, Fault]:
        """Return the status of a job for its caller, with the answer."""
        row = job.row
        answer = row.answer
        if row.answer_object:
            match await self._platform.get_object(row.answer_object):
                case Success(data):
                    answer = _decode_answer(data)
                case Failure(fault) if fault.code is UNKNOWN_OBJECT:
                    pass
                case Failure(fault):
                    return Failure(fault)
        if answer is None:
            body_kept = row.state is not JobState.DONE
            return Success(JobStatus(row, [], b"", body_kept))
        headers = unpack_headers(answer)
        return Success(JobStatus(row, headers, answer.body, True))

    async def _recover_job(
        self, name: str, owner: str, revision: int, now: float
    ) -> int:
        """Release one job of an ended run; return 1 if that was done."""
        match await self._table.read_at(name, revision):
            case Success(job):
                row: JobRow = job.row
            case _:
                return 0
        if row.owner != owner or row.state not in HELD_STATES:
            return 0
        sent = row.state is JobState.DISPATCHED
        after = job_transitions.give_up_claim(
            row, self._new_writer(), now, RUN_ENDED, sent
        )
        match await self._table.change(job, StoredJob(name, after, 0)):
            case Success(StoredJob()):
                self._delete_finished_request(after)
                return 1
        return 0

    def _expired_objects(self, row: Row, now: float) -> list[str] | None:
        """Return the objects of an expired job, or None to keep the row."""
        job = decode_job(row)
        if job is None or job.state not in FINISHED_STATES:
            return None
        retention_s = self._retention_s
        if job.state in (JobState.SET_ASIDE, JobState.UNKNOWN):
            retention_s = max(retention_s, FAILED_RETENTION_S)
        if now - job.finished_at <= retention_s:
            return None
        names = (job.request_object, job.answer_object)
        return [name for name in names if name]


def _decode_answer(data: bytes) -> StoredAnswer | None:
    return decode_msgpack(data, StoredAnswer).value_or(None)
