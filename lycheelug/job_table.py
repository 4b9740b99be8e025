"""Reads and conditional writes of job rows on the platform.

Each change is one transaction, conditional on the revision of the job row,
that also writes the index rows. The row contains the unique name of the
change that wrote it, so a change whose answer was lost is recognised when
the row is read again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from returns.result import Failure, Result, Success

from lycheelug.decoding import decode_msgpack
from lycheelug.errors import (
    PLATFORM_INVALID,
    PLATFORM_UNKNOWN,
    PLATFORM_UNREACHABLE,
    UNKNOWN_JOB,
    Fault,
    Peer,
    Step,
)
from lycheelug.job_records import (
    JobRequest,
    JobRow,
    StoredJob,
    index_writes,
)
from lycheelug.records import decode, encode
from lycheelug.store.interface import (
    ABSENT,
    Commit,
    Guard,
    Transaction,
    Write,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from lycheelug.errors import ErrorCode
    from lycheelug.store.interface import Platform, Row

__all__ = ["JobTable", "LostRace", "decode_job", "job_fault"]

MAX_WRITE_ATTEMPTS: Final = 3
MAX_READ_ATTEMPTS: Final = 5
FIRST_BACKOFF_S: Final = 0.02


class LostRace:
    """A change that lost a race; `found` is the winning row, if any."""

    __slots__ = ("found",)

    def __init__(self, found: StoredJob | None) -> None:
        self.found = found


class JobTable:
    """Access of one daemon to the job rows of the platform's table."""

    __slots__ = ("_platform", "_rng", "_sleep")

    def __init__(
        self,
        platform: Platform,
        rng: random.Random,
        sleep: Callable[[float], Awaitable[None]],
    ) -> None:
        self._platform = platform
        self._rng = rng
        self._sleep = sleep

    async def read_at(
        self, name: str, revision: int
    ) -> Result[StoredJob, Fault]:
        """Return a job as of the given revision or a later one."""
        for attempt in range(MAX_READ_ATTEMPTS):
            if attempt > 0:
                await self._back_off(attempt)
            match await self._platform.read_since(name, 0):
                case Success(delta) if delta.revision >= revision:
                    pass
                case _:
                    continue
            for row in delta.rows:
                if row.key == name and row.value is not None:
                    return _stored(row)
            return Failure(job_fault(UNKNOWN_JOB, Step.READ, ""))
        detail = "no read reached the required revision"
        return Failure(job_fault(PLATFORM_UNREACHABLE, Step.READ, detail))

    async def change(
        self, before: StoredJob | None, after: StoredJob
    ) -> Result[StoredJob | LostRace, Fault]:
        """Write the next row of a job; `after.revision` is ignored.

        The call is idempotent. After a fault other than
        `platform-unreachable` the change may have taken effect.
        """
        transaction = _transaction(before, after)
        code = PLATFORM_UNREACHABLE
        detail = ""
        for attempt in range(MAX_WRITE_ATTEMPTS):
            if attempt > 0:
                await self._back_off(attempt)
            match await self._platform.transact(transaction):
                case Success(Commit() as commit):
                    return Success(
                        StoredJob(after.name, after.row, commit.revision)
                    )
                case Success(conflict):
                    return await self._resolve_conflict(
                        after, conflict.revision
                    )
                case Failure(fault):
                    detail = str(fault)
                    if fault.code is not PLATFORM_UNREACHABLE:
                        code = PLATFORM_UNKNOWN
            if code is PLATFORM_UNREACHABLE:
                break
        return Failure(job_fault(code, Step.RECORD, detail))

    async def _resolve_conflict(
        self, after: StoredJob, revision: int
    ) -> Result[StoredJob | LostRace, Fault]:
        """Distinguish an earlier copy of this change from another change."""
        match await self.read_at(after.name, revision):
            case Success(found) if found.row.writer == after.row.writer:
                return Success(found)
            case Success(found):
                return Success(LostRace(found))
            case Failure(fault) if fault.code is UNKNOWN_JOB:
                return Success(LostRace(None))
            case Failure(fault):
                # The conflicting row may be an earlier copy of this change.
                detail = str(fault)
                return Failure(
                    job_fault(PLATFORM_UNKNOWN, Step.RECORD, detail)
                )
        raise AssertionError

    async def fetch_request(
        self, stored: StoredJob
    ) -> Result[JobRequest, Fault]:
        """Return a job's request, from the object store if it is large."""
        row = stored.row
        if row.request is not None:
            return Success(row.request)
        match await self._platform.get_object(row.request_object):
            case Success(data):
                pass
            case Failure(fault):
                return Failure(fault)
        request = decode_msgpack(data, JobRequest)
        if isinstance(request, Failure):
            detail = request.failure()
            return Failure(job_fault(PLATFORM_INVALID, Step.READ, detail))
        return Success(request.unwrap())

    async def _back_off(self, attempt: int) -> None:
        delay_s = FIRST_BACKOFF_S * 2.0 ** (attempt - 1)
        await self._sleep(delay_s * self._rng.uniform(0.5, 1.5))


def decode_job(row: Row) -> JobRow | None:
    """Return the decoded row of a job, or None if it is invalid."""
    if row.value is None:
        return None
    return decode(row.value, JobRow).value_or(None)


def job_fault(code: ErrorCode, step: Step, detail: str) -> Fault:
    """Return a fault of an operation on a job's row."""
    return Fault(code, step, Peer.PLATFORM, detail)


def _stored(row: Row) -> Result[StoredJob, Fault]:
    decoded = decode_job(row)
    if decoded is None:
        detail = "the job row can't be decoded"
        return Failure(job_fault(PLATFORM_INVALID, Step.READ, detail))
    return Success(StoredJob(row.key, decoded, row.revision))


def _transaction(before: StoredJob | None, after: StoredJob) -> Transaction:
    """Return the transaction that makes one change of a job."""
    revision = ABSENT if before is None else before.revision
    row_before = None if before is None else before.row
    writes = [Write(after.name, encode(after.row))]
    writes += index_writes(after.name, row_before, after.row)
    return Transaction(
        [Guard(after.name, revision)], writes, f"{after.row.writer}/{revision}"
    )
