"""The steps of a long job: pure functions from one row to the next.

A job that may not be repeated leaves WAITING for good once it is marked
DISPATCHED: from there it only ends, as DONE, CANCELLED or UNKNOWN.  A
repeatable one goes back to WAITING until `job_failures` finds that the job
itself is at fault.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from lycheelug.job_failures import judge_job
from lycheelug.job_records import (
    FINISHED_STATES,
    FailureRow,
    JobRow,
    JobState,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.job_failures import JobFailure

__all__ = [
    "cancel",
    "claim",
    "dispatch",
    "end",
    "fail",
    "finish",
    "give_up_claim",
    "release",
]


def claim(row: JobRow, owner: str, writer: str) -> JobRow:
    """Return the row of a waiting job that a daemon run takes."""
    return msgspec.structs.replace(
        row,
        state=JobState.CLAIMED,
        owner=owner,
        epoch=row.epoch + 1,
        writer=writer,
    )


def release(row: JobRow, writer: str) -> JobRow:
    """Return the row of a job whose claim certainly was not used."""
    return msgspec.structs.replace(
        row, state=JobState.WAITING, owner="", writer=writer
    )


def dispatch(row: JobRow, writer: str) -> JobRow:
    """Return the row of a claimed job whose first byte is about to go."""
    return msgspec.structs.replace(
        row, state=JobState.DISPATCHED, writer=writer
    )


def give_up_claim(
    row: JobRow, writer: str, now: float, detail: str, sent: bool
) -> JobRow:
    """Return the row of a held job whose owner no longer runs it.

    `sent` is False where it is certain that no byte left in this claim.
    """
    if sent and not row.repeatable:
        return finish(row, JobState.UNKNOWN, writer, now, detail)
    dispatched = row.dispatched or sent
    return _wait_again(row, writer, now, dispatched)


def fail(
    row: JobRow,
    failure: JobFailure,
    may_have_run: bool,
    is_suspect: Callable[[str], bool],
    racks_in_pool: int,
    writer: str,
) -> JobRow:
    """Return the row of a job that failed on a worker.

    `is_suspect` tells of a host whether it fails other jobs as well.
    """
    failures = [*row.failures, FailureRow.of(failure)]
    failed = msgspec.structs.replace(row, failures=failures)
    now = failure.at
    if may_have_run and not row.repeatable:
        detail = f"failed while it ran: {failure.reason}"
        return finish(failed, JobState.UNKNOWN, writer, now, detail)
    failed.dispatched = row.dispatched or may_have_run
    verdict = judge_job(failed.job_failures(), is_suspect, racks_in_pool)
    if verdict is not None:
        detail = "; ".join(verdict.reasons)
        return end(failed, JobState.SET_ASIDE, writer, now, detail)
    return _wait_again(failed, writer, now, failed.dispatched)


def cancel(row: JobRow, writer: str, now: float) -> JobRow | None:
    """Return the row of a job whose caller no longer wants it.

    A dispatched job keeps running until its owner ends it; None where the
    cancellation changes nothing.
    """
    if row.state in FINISHED_STATES or row.cancel_wanted:
        return None
    if row.state is JobState.DISPATCHED:
        return msgspec.structs.replace(row, cancel_wanted=True, writer=writer)
    return end(row, JobState.CANCELLED, writer, now, "cancelled")


def finish(
    row: JobRow, state: JobState, writer: str, now: float, detail: str
) -> JobRow:
    """Return the row of a finished job, of which a byte may have left.

    Its request is dropped; the name of the request's object stays until
    the row is deleted.
    """
    finished = end(row, state, writer, now, detail)
    finished.dispatched = True
    return finished


def end(
    row: JobRow, state: JobState, writer: str, now: float, detail: str
) -> JobRow:
    """Return the row of a job that ends without leaving again."""
    return msgspec.structs.replace(
        row,
        state=state,
        owner="",
        request=None,
        detail=detail,
        finished_at=now,
        writer=writer,
    )


def _wait_again(
    row: JobRow, writer: str, now: float, dispatched: bool
) -> JobRow:
    """Return the row of a job that waits again, if it is still wanted."""
    waiting = msgspec.structs.replace(
        row,
        state=JobState.WAITING,
        owner="",
        dispatched=dispatched,
        writer=writer,
    )
    if not row.cancel_wanted:
        return waiting
    return end(waiting, JobState.CANCELLED, writer, now, "cancelled")
