"""The operators' resource for long jobs that were set aside.

The jobs' rows are read in parts on demand; nothing is kept for it.  With
20,000 kept jobs of about 600 bytes one listing reads 12 MB, so it is for
people and not for polling.
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

# Job names are hexadecimal digests: one part for each first digit.
PARTS: Final = "0123456789abcdef"


@route("GET", "/v1/jobs/set-aside")
async def get_set_aside(daemon: Daemon, request: OperatorRequest) -> Answer:
    """Return the jobs that failed on several workers, with the reasons."""
    del request
    views: list[SetAsideView] = []
    for part in PARTS:
        answer = await daemon.core.platform.read_since(JOB_PREFIX + part, 0)
        match answer:
            case Success(delta):
                pass
            case Failure(fault):
                return fault_answer(fault)
        for row in delta.rows:
            view = _view(row)
            if view is not None:
                views.append(view)
    views.sort(key=lambda view: view.submitted_at)
    return json_answer(200, views)


def _view(row: Row) -> SetAsideView | None:
    """Return a job that was set aside, or None for any other row."""
    job = decode_job(row) if row.value is not None else None
    if job is None or job.state is not JobState.SET_ASIDE:
        return None
    failures: list[JobFailureView] = []
    for each in job.failures:
        failures.append(
            JobFailureView(each.host, each.rack, each.reason, each.at)
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
