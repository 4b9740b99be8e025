"""The submissions that wait at a pool's owner, stored in batches.

The owner stores a submission together with the progress record that marks
the job as begun, so its tasks can start after one transaction.  On a slow
store, concurrent submissions share a transaction instead of waiting for
each other.  Each submission is written once: a definite failure is
reported as such, and after an unknown outcome the condition on the row
decides when the caller or another daemon retries it.  A submission that its
sender has stored, or will have stored, meanwhile leaves the queue.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.errors import PLATFORM_UNREACHABLE
from lycheelug.jobservice.interfaces import SubmissionAnswer
from lycheelug.jobservice.queue_rows import (
    NO_GATES,
    GateVersions,
    gate_versions,
)
from lycheelug.jobservice.tables import (
    JOB_PREFIX,
    PROGRESS_TABLE,
    decode_job,
    jobs_table,
)
from lycheelug.logs import log_change
from lycheelug.store.rows import RowName
from lycheelug.tenants import is_foreign
from lycheelug.workloads import JobRecord, JobState, ProgressRecord

if TYPE_CHECKING:
    from lycheelug.errors import Fault
    from lycheelug.store.rows import RowConflict, StoredRow

__all__ = [
    "SUBMIT_TIMEOUT_S",
    "Submission",
    "SubmissionQueue",
    "answer_repeated",
    "stored_tenant",
]

# How long a sender waits for the owner's answer before it stores its
# submission itself.  An owner answers after at most two transactions: one in
# progress, and the one that stores the submission.  Callers wait 3 s in total.
SUBMIT_TIMEOUT_S: Final = 0.9

# The size limit of the submissions in one transaction.  The store accepts
# one megabyte in all.
BATCH_BYTES_MAX: Final = 500_000
# The conditions and writes of one submission, and of all in a transaction.
# The store accepts 100 entries in all; the others are the rows of the owner,
# its summary and its executors.
ENTRIES_EACH: Final = 4
BATCH_ENTRIES_MAX: Final = 68


class Submission:
    """One submission that is not yet stored."""

    __slots__ = (
        "answer",
        "gates",
        "job_id",
        "progress",
        "queued_at",
        "record",
        "value",
    )

    def __init__(
        self,
        job_id: str,
        record: JobRecord,
        term: int,
        queued_at: float,
        gates: GateVersions = NO_GATES,
    ) -> None:
        # The versions of its queue's gates, conditions of the transaction.
        self.gates = gates
        self.queued_at = queued_at
        self.job_id = job_id
        self.record = record
        self.value = msgspec.json.encode(record)
        # The progress record stored with it; None for a job with a
        # schedule, which begins when its first occurrence is due.
        self.progress: ProgressRecord | None = None
        if record.schedule is None:
            self.progress = ProgressRecord(
                term, JobState.RUNNING, tenant=record.tenant
            )
        loop = asyncio.get_running_loop()
        self.answer: asyncio.Future[SubmissionAnswer] = loop.create_future()

    def resolve(self, answer: SubmissionAnswer) -> None:
        """Answer the callers that wait for this submission."""
        if not self.answer.done():
            self.answer.set_result(answer)


class SubmissionQueue:
    """The queue of submissions at one pool's owner."""

    __slots__ = ("_pool", "_table", "_term", "_waiting", "commit_s")

    def __init__(self, pool: str, term: int) -> None:
        self._pool = pool
        self._table = jobs_table(pool)
        self._term = term
        self._waiting: dict[str, Submission] = {}
        # How long the last transaction took.
        self.commit_s = 0.0

    @property
    def has_work(self) -> bool:
        """Whether any submission waits to be stored."""
        return bool(self._waiting)

    def add(
        self,
        job_id: str,
        record: JobRecord,
        now: float,
        gates: GateVersions = NO_GATES,
    ) -> Submission:
        """Queue a submission; return the queued one for a duplicate."""
        known = self._waiting.get(job_id)
        if known is None:
            known = Submission(job_id, record, self._term, now, gates)
            self._waiting[job_id] = known
        return known

    def take_batch(self, max_count: int, now: float) -> list[Submission]:
        """Dequeue the submissions that fit into the next transaction."""
        self._reject_late(now)
        self._reject_outdated()
        batch: list[Submission] = []
        size = entries = 0
        known: set[RowName] = set()
        for submission in self._waiting.values():
            size += len(submission.value)
            # The gates of each queue are conditions too.
            gates = self.gates(submission).keys()
            entries += ENTRIES_EACH + len(gates - known)
            known |= gates
            is_full = size > BATCH_BYTES_MAX or entries > BATCH_ENTRIES_MAX
            if len(batch) >= max_count or (batch and is_full):
                break
            batch.append(submission)
        for submission in batch:
            del self._waiting[submission.job_id]
        return batch

    def _reject_late(self, now: float) -> None:
        """Reject the submissions whose senders will have stored them.

        Their rows would make the whole transaction conflict.  A sender that
        still waits stores its submission at once.
        """
        latest_s = SUBMIT_TIMEOUT_S - self.commit_s / 2
        rejected = 0
        for submission in list(self._waiting.values()):
            if now - submission.queued_at <= latest_s:
                continue
            del self._waiting[submission.job_id]
            submission.resolve(SubmissionAnswer.NOT_TAKEN)
            rejected += 1
        if rejected:
            log_change(
                "submissions-late",
                pool=self._pool,
                rejected=rejected,
                waiting=len(self._waiting),
                transaction_s=round(self.commit_s, 3),
            )

    def _reject_outdated(self) -> None:
        """Reject the submissions whose senders have seen an older gate.

        A gate's versions rise, so the others of the queue have seen that it
        has changed.
        """
        newest: dict[RowName, int] = {}
        for submission in self._waiting.values():
            for gate, version in self.gates(submission).items():
                newest[gate] = max(newest.get(gate, 0), version)
        for submission in list(self._waiting.values()):
            gates = self.gates(submission)
            if any(gates[gate] < newest[gate] for gate in gates):
                del self._waiting[submission.job_id]
                submission.resolve(SubmissionAnswer.MOVED)

    def settle(self, job_id: str, tenant: str) -> None:
        """Answer a queued submission whose row was stored by another daemon.

        Left in the queue, it would make the next transaction conflict.  The
        tenant is that of the stored row.
        """
        known = self._waiting.pop(job_id, None)
        if known is not None:
            known.resolve(answer_repeated(tenant, known.record.tenant))

    def row_name(self, submission: Submission) -> RowName:
        """Return the name of a submission's row."""
        return RowName(self._table, JOB_PREFIX + submission.job_id)

    def gates(self, submission: Submission) -> dict[RowName, int]:
        """Return the gates of a submission's queue, with their versions."""
        return gate_versions(self._pool, submission.record, submission.gates)

    def rows(self, submission: Submission) -> dict[RowName, bytes]:
        """Return the rows to write, on condition that none exists."""
        rows = {self.row_name(submission): submission.value}
        if submission.progress is not None:
            name = RowName(PROGRESS_TABLE, submission.job_id)
            rows[name] = msgspec.json.encode(submission.progress)
        return rows

    def apply_conflict(
        self, submissions: list[Submission], conflict: RowConflict
    ) -> None:
        """Answer the submissions in conflict; queue the others again."""
        for submission in submissions:
            row = conflict.rows.get(self.row_name(submission))
            if row is not None:
                submission.resolve(
                    answer_repeated(
                        stored_tenant(row), submission.record.tenant
                    )
                )
                continue
            if conflict.has_other_versions(self.gates(submission)):
                submission.resolve(SubmissionAnswer.MOVED)
                continue
            if any(name in conflict.rows for name in self.rows(submission)):
                # Progress without a submission; no code writes that.
                submission.resolve(SubmissionAnswer.NOT_TAKEN)
                continue
            self._waiting.setdefault(submission.job_id, submission)

    def apply_failure(
        self, submissions: list[Submission], fault: Fault
    ) -> None:
        """Answer the submissions of a failed transaction."""
        answer = SubmissionAnswer.UNDECIDED
        if fault.code is PLATFORM_UNREACHABLE:
            answer = SubmissionAnswer.NOT_TAKEN
        for submission in submissions:
            submission.resolve(answer)

    def close(self) -> None:
        """Reject all queued submissions."""
        for submission in self._waiting.values():
            submission.resolve(SubmissionAnswer.NOT_TAKEN)
        self._waiting.clear()


def answer_repeated(owner: str, tenant: str) -> SubmissionAnswer:
    """Return the answer to a submission whose id has a job of an owner."""
    if is_foreign(owner, tenant):
        return SubmissionAnswer.FOREIGN
    return SubmissionAnswer.KNOWN


def stored_tenant(row: StoredRow) -> str:
    """Return the tenant of a stored submission; empty for none."""
    record = decode_job(row.value or b"")
    return "" if record is None else record.tenant
