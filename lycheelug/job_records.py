"""The stored rows of long jobs, their keys, and the job status for callers.

A job's own row is authoritative. Two kinds of small index rows are written
in the same transactions and only serve to find jobs: one under the pool
while the job waits, one under the daemon run that holds its claim. A daemon
run is one incarnation of a daemon process.
"""

from __future__ import annotations

import hashlib
from enum import StrEnum
from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.claim_records import StoredAnswer  # noqa: TC001  # read at run time
from lycheelug.job_failures import JobFailure
from lycheelug.records import encode
from lycheelug.requests import Outcome
from lycheelug.store.interface import Write

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheelug.claim_records import AnswerHeaders

__all__ = [
    "FINISHED_STATES",
    "HELD_STATES",
    "JOB_PREFIX",
    "FailureRow",
    "JobClaim",
    "JobRequest",
    "JobRow",
    "JobState",
    "JobStatus",
    "StoredJob",
    "WaitingRow",
    "index_writes",
    "job_key",
    "running_key",
    "running_prefix",
    "waiting_key",
    "waiting_prefix",
]

JOB_PREFIX: Final = "job/"
WAITING_PREFIX: Final = "waiting/"
RUNNING_PREFIX: Final = "running/"


class JobState(StrEnum):
    """The state of a job.

    CLAIMED means that no byte of the request was sent under the present
    claim, DISPATCHED that one may have been. UNKNOWN is final: a job that
    may not be repeated was dispatched, and its result is not known.
    """

    WAITING = "waiting"
    CLAIMED = "claimed"
    DISPATCHED = "dispatched"
    DONE = "done"
    SET_ASIDE = "set-aside"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


FINISHED_STATES: Final = frozenset(
    {
        JobState.DONE,
        JobState.SET_ASIDE,
        JobState.CANCELLED,
        JobState.UNKNOWN,
    }
)
HELD_STATES: Final = frozenset({JobState.CLAIMED, JobState.DISPATCHED})


class JobRequest(msgspec.Struct, omit_defaults=True):
    """The HTTP request of a job; header fields are Latin-1 text."""

    method: str
    target: str
    headers: list[tuple[str, str]] = []
    body: bytes = b""
    repeatable: bool = False


class FailureRow(msgspec.Struct, array_like=True):
    """The stored form of one failed run of a job on one worker."""

    host: str
    rack: str
    reason: str
    at: float

    @classmethod
    def of(cls, failure: JobFailure) -> FailureRow:
        """Return the stored form of a failure."""
        return cls(failure.host, failure.rack, failure.reason, failure.at)

    def to_failure(self) -> JobFailure:
        """Return the failure that this row stores."""
        return JobFailure(self.host, self.rack, self.reason, self.at)


class JobRow(msgspec.Struct, omit_defaults=True):
    """The stored form of one job.

    `epoch` is incremented by each claim, and `owner` is the daemon run that
    holds the claim. `dispatched` is true if a byte of the request may have
    been sent under an earlier claim. `writer` is the unique name of the
    state change that wrote the row. `repeatable` is copied from the request
    because a large request is kept in the object store. Times are Unix
    seconds.
    """

    tenant: str
    pool: str
    submitted_at: float
    writer: str
    repeatable: bool = False
    state: JobState = JobState.WAITING
    epoch: int = 0
    owner: str = ""
    request: JobRequest | None = None
    request_object: str = ""
    dispatched: bool = False
    cancel_wanted: bool = False
    failures: list[FailureRow] = []
    detail: str = ""
    finished_at: float = 0.0
    status: int = 0
    answer: StoredAnswer | None = None
    answer_object: str = ""

    def job_failures(self) -> tuple[JobFailure, ...]:
        """Return the failed runs, oldest first."""
        failures: list[JobFailure] = []
        for row in self.failures:
            failures.append(row.to_failure())
        return tuple(failures)


class WaitingRow(msgspec.Struct, array_like=True):
    """An index row with the fields by which waiting jobs are ordered."""

    tenant: str
    submitted_at: float


class RunningRow(msgspec.Struct, array_like=True):
    """An index row that shows a requested cancellation to a job's owner."""

    cancel_wanted: bool = False


class StoredJob:
    """A job's row as it was last read or written, with its revision."""

    __slots__ = ("name", "revision", "row")

    def __init__(self, name: str, row: JobRow, revision: int) -> None:
        self.name = name
        self.row = row
        self.revision = revision


class JobClaim:
    """A job claimed by this daemon run, with its full request."""

    __slots__ = ("_request", "stored")

    def __init__(self, stored: StoredJob, request: JobRequest) -> None:
        self.stored = stored
        self._request = request

    @property
    def name(self) -> str:
        """The key of the job's row."""
        return self.stored.name

    @property
    def request(self) -> JobRequest:
        """The request to send."""
        return self._request

    @property
    def tenant(self) -> str:
        """The tenant that submitted the job."""
        return self.stored.row.tenant

    @property
    def epoch(self) -> int:
        """The number of this claim, counted from the job's first claim."""
        return self.stored.row.epoch

    @property
    def failures(self) -> Sequence[JobFailure]:
        """The earlier failed runs; retries should prefer other workers."""
        return self.stored.row.job_failures()


class JobStatus:
    """The status of a job as reported to its caller.

    `outcome` is NOT_RUN only if no byte of the request was ever sent,
    ANSWERED if an answer was recorded, and UNKNOWN otherwise.
    """

    __slots__ = (
        "body",
        "body_kept",
        "cancel_wanted",
        "detail",
        "failures",
        "headers",
        "outcome",
        "state",
        "status",
    )

    def __init__(
        self, row: JobRow, headers: AnswerHeaders, body: bytes, body_kept: bool
    ) -> None:
        self.state = row.state
        self.outcome = _outcome(row)
        self.status = row.status
        self.detail = row.detail
        self.failures = row.job_failures()
        self.cancel_wanted = row.cancel_wanted
        self.headers = headers
        self.body = body
        self.body_kept = body_kept


def job_key(secret: str) -> str:
    """Return the row key of a job for the secret part of its handle."""
    return JOB_PREFIX + hashlib.sha256(secret.encode()).hexdigest()


def waiting_prefix(pool: str) -> str:
    """Return the key prefix of the index rows of a pool's waiting jobs."""
    return f"{WAITING_PREFIX}{pool}/"


def waiting_key(pool: str, name: str) -> str:
    """Return the key of a waiting job's index row.

    >>> waiting_key("quotes", "job/ab12")
    'waiting/quotes/ab12'
    """
    return waiting_prefix(pool) + name.removeprefix(JOB_PREFIX)


def running_prefix(owner: str) -> str:
    """Return the key prefix of the index rows of a daemon run's jobs."""
    return f"{RUNNING_PREFIX}{owner}/"


def running_key(owner: str, name: str) -> str:
    """Return the key of a held job's index row."""
    return running_prefix(owner) + name.removeprefix(JOB_PREFIX)


def index_writes(
    name: str, before: JobRow | None, after: JobRow
) -> list[Write]:
    """Return the index row writes that accompany a change of a job."""
    writes: list[Write] = []
    if before is not None and before.state is JobState.WAITING:
        writes.append(Write(waiting_key(before.pool, name), None))
    if before is not None and before.state in HELD_STATES:
        writes.append(Write(running_key(before.owner, name), None))
    if after.state is JobState.WAITING:
        waiting = WaitingRow(after.tenant, after.submitted_at)
        key = waiting_key(after.pool, name)
        writes = [write for write in writes if write.key != key]
        writes.append(Write(key, encode(waiting)))
    if after.state in HELD_STATES:
        running = RunningRow(after.cancel_wanted)
        key = running_key(after.owner, name)
        writes = [write for write in writes if write.key != key]
        writes.append(Write(key, encode(running)))
    return writes


def _outcome(row: JobRow) -> Outcome:
    if row.state is JobState.DONE:
        return Outcome.ANSWERED
    if row.dispatched or row.state is JobState.DISPATCHED:
        return Outcome.UNKNOWN
    return Outcome.NOT_RUN
