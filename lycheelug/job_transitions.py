"""State transitions of a long job, as pure functions from row to row.

A job that may not be repeated never returns to WAITING once it was
DISPATCHED: it can only end, as DONE, CANCELLED or UNKNOWN. A repeatable job
returns to WAITING after a failure until `job_failures` decides that the job
itself causes the failures.
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
    """Return the row of a waiting job that a daemon run claims."""
    return msgspec.structs.replace(
        row,
        state=JobState.CLAIMED,
        owner=owner,
        epoch=row.epoch + 1,
        writer=writer,
    )


def release(row: JobRow, writer: str) -> JobRow:
    """Return the row of a job whose claim was certainly never used."""
    return msgspec.structs.replace(
        row, state=JobState.WAITING, owner="", writer=writer
    )


def dispatch(row: JobRow, writer: str) -> JobRow:
    """Return the row of a claimed job that is about to be sent."""
    return msgspec.structs.replace(
        row, state=JobState.DISPATCHED, writer=writer
    )


def give_up_claim(
    row: JobRow, writer: str, now: float, detail: str, sent: bool
) -> JobRow:
    """Return the row of a held job whose owner no longer runs it.

    `sent` is False only if no byte was sent under this claim.
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

    `is_suspect` returns whether a host fails other jobs as well.
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
    """Return the row of a cancelled job, or None if nothing changes.

    A dispatched job keeps running until its owner ends it.
    """
    if row.state in FINISHED_STATES or row.cancel_wanted:
        return None
    if row.state is JobState.DISPATCHED:
        return msgspec.structs.replace(row, cancel_wanted=True, writer=writer)
    return end(row, JobState.CANCELLED, writer, now, "cancelled")


def finish(
    row: JobRow, state: JobState, writer: str, now: float, detail: str
) -> JobRow:
    """Return the row of a finished job that may have been sent.

    The request is dropped from the row; the name of the request's object is
    kept until the row is deleted.
    """
    finished = end(row, state, writer, now, detail)
    finished.dispatched = True
    return finished


def end(
    row: JobRow, state: JobState, writer: str, now: float, detail: str
) -> JobRow:
    """Return the row of a job that ends in the given final state."""
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
    """Return the row of a job that waits again, unless it was cancelled."""
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
