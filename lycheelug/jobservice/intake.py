"""Submissions at a pool's owner, stored many in one transaction.

The owner stores a submission together with its mark of having begun, so its
tasks start after one transaction, and on a slow store those that come
together wait for one transaction, not one after the other.  Each is tried
once: what failed for sure is told so, what may have been stored is decided
by the row's condition when it is tried again, by whomever.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.errors import PLATFORM_UNREACHABLE
from lycheelug.jobservice.interfaces import IntakeAnswer
from lycheelug.jobservice.tables import (
    JOB_PREFIX,
    PROGRESS_TABLE,
    jobs_table,
)
from lycheelug.store.rows import RowName
from lycheelug.workloads import JobRecord, JobState, ProgressRecord

if TYPE_CHECKING:
    from lycheelug.errors import Fault
    from lycheelug.store.rows import RowConflict

__all__ = ["Intake", "Submission"]

# Bytes of submissions in one transaction, of the megabyte that the store
# takes.
BATCH_BYTES_MAX: Final = 500_000


class Submission:
    """One submission on its way to the store."""

    __slots__ = ("answer", "job_id", "progress", "record", "value")

    def __init__(self, job_id: str, record: JobRecord, term: int) -> None:
        self.job_id = job_id
        self.record = record
        self.value = msgspec.json.encode(record)
        # What is stored with it; None for a job with a schedule, which
        # begins when its first occurrence is due.
        self.progress: ProgressRecord | None = None
        if record.schedule is None:
            self.progress = ProgressRecord(term, JobState.RUNNING)
        loop = asyncio.get_running_loop()
        self.answer: asyncio.Future[IntakeAnswer] = loop.create_future()

    def resolve(self, answer: IntakeAnswer) -> None:
        """Answer whoever waits."""
        if not self.answer.done():
            self.answer.set_result(answer)


class Intake:
    """The submissions that wait at one pool's owner."""

    __slots__ = ("_pool", "_table", "_term", "_waiting")

    def __init__(self, pool: str, term: int) -> None:
        self._pool = pool
        self._table = jobs_table(pool)
        self._term = term
        self._waiting: dict[str, Submission] = {}

    @property
    def has_work(self) -> bool:
        """Whether submissions wait to be stored."""
        return bool(self._waiting)

    def add(self, job_id: str, record: JobRecord) -> Submission:
        """Take in a submission; a repeated one waits with the first."""
        known = self._waiting.get(job_id)
        if known is None:
            known = Submission(job_id, record, self._term)
            self._waiting[job_id] = known
        return known

    def take_batch(self, max_count: int) -> list[Submission]:
        """Take out what the next transaction can hold."""
        batch: list[Submission] = []
        size = 0
        for submission in self._waiting.values():
            size += len(submission.value)
            if len(batch) >= max_count or (batch and size > BATCH_BYTES_MAX):
                break
            batch.append(submission)
        for submission in batch:
            del self._waiting[submission.job_id]
        return batch

    def row_name(self, submission: Submission) -> RowName:
        """Return the row of a submission."""
        return RowName(self._table, JOB_PREFIX + submission.job_id)

    def rows(self, submission: Submission) -> dict[RowName, bytes]:
        """Return the rows to write; none of them may exist."""
        rows = {self.row_name(submission): submission.value}
        if submission.progress is not None:
            name = RowName(PROGRESS_TABLE, submission.job_id)
            rows[name] = msgspec.json.encode(submission.progress)
        return rows

    def apply_conflict(
        self, submissions: list[Submission], conflict: RowConflict
    ) -> None:
        """Tell which submissions were known; the others wait again."""
        for submission in submissions:
            if self.row_name(submission) in conflict.rows:
                submission.resolve(IntakeAnswer.KNOWN)
                continue
            if any(name in conflict.rows for name in self.rows(submission)):
                # Progress without a submission: nothing makes that.
                submission.resolve(IntakeAnswer.NOT_TAKEN)
                continue
            self._waiting.setdefault(submission.job_id, submission)

    def apply_failure(
        self, submissions: list[Submission], fault: Fault
    ) -> None:
        """Tell what became of submissions that were not stored."""
        answer = IntakeAnswer.UNDECIDED
        if fault.code is PLATFORM_UNREACHABLE:
            answer = IntakeAnswer.NOT_TAKEN
        for submission in submissions:
            submission.resolve(answer)

    def close(self) -> None:
        """Turn away all that wait."""
        for submission in self._waiting.values():
            submission.resolve(IntakeAnswer.NOT_TAKEN)
        self._waiting.clear()
