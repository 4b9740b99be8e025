"""The operators' route for long jobs that were set aside.

A job is set aside (dead-lettered) after it failed on several workers.  Each
request reads the rows of all jobs from the platform, in parts; nothing is
cached.  With 20,000 stored jobs of about 600 bytes, one request reads 12 MB,
so the route is not meant for polling.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from returns.result import Failure, Success

from lycheelug.http import Answer, json_answer
from lycheelug.job_records import JOB_PREFIX, JobState
from lycheelug.job_table import decode_job
from lycheelug.operators.faults import fault_answer
from lycheelug.operators.messages import JobFailureView, SetAsideView
from lycheelug.operators.routes import OperatorRequest, route

if TYPE_CHECKING:
    from lycheelug.daemon import Daemon
    from lycheelug.store import Row

# Job names are hexadecimal digests; there is one part per first digit.
KEY_PARTS: Final = "0123456789abcdef"


@route("GET", "/v1/jobs/set-aside")
async def get_set_aside(daemon: Daemon, request: OperatorRequest) -> Answer:
    """Return the jobs that were set aside, with their failed runs."""
    del request
    views: list[SetAsideView] = []
    for part in KEY_PARTS:
        answer = await daemon.core.platform.read_since(JOB_PREFIX + part, 0)
        match answer:
            case Success(delta):
                pass
            case Failure(fault):
                return fault_answer(fault)
        for row in delta.rows:
            view = _set_aside_view(row)
            if view is not None:
                views.append(view)
    views.sort(key=lambda view: view.submitted_at)
    return json_answer(200, views)


def _set_aside_view(row: Row) -> SetAsideView | None:
    """Return the view of a job that was set aside; None for other rows."""
    job = decode_job(row) if row.value is not None else None
    if job is None or job.state is not JobState.SET_ASIDE:
        return None
    failures: list[JobFailureView] = []
    for failure in job.failures:
        failures.append(
            JobFailureView(
                failure.host, failure.rack, failure.reason, failure.at
            )
        )
    return SetAsideView(
        row.key.removeprefix(JOB_PREFIX),
        job.tenant,
        job.pool,
        job.submitted_at,
        job.finished_at,
        job.detail,
        failures,
    )
