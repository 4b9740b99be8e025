"""The callers' interface for long jobs.

A request of class `long` to any path is stored as a job and answered with
status 202 and a handle.  The caller uses the handle for:

GET    /.well-known/lycheelug/jobs/HANDLE         the job's state
GET    /.well-known/lycheelug/jobs/HANDLE/answer  the job's answer
DELETE /.well-known/lycheelug/jobs/HANDLE         cancellation
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec
from returns.result import Failure

from lycheelug.callers.answers import (
    OUTCOME_HEADERS,
    forward_answer,
    problem_answer,
)
from lycheelug.errors import (
    ANSWER_NOT_KEPT,
    JOB_NOT_DONE,
    PLATFORM_UNREACHABLE,
    UNKNOWN_ROUTE,
    Fault,
    Peer,
    Step,
)
from lycheelug.http import Answer, json_answer
from lycheelug.jobs import JobRequest, JobState
from lycheelug.requests import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.callers.request_headers import CallerRequest
    from lycheelug.http import Request
    from lycheelug.jobs import JobStatus, JobStore
    from lycheelug.metrics import Metrics

__all__ = ["JobView", "LongJobs"]

ACCEPTED_STATUS: Final = 202
JOBS_PATH: Final = "/.well-known/lycheelug/jobs/"
ANSWER_SUFFIX: Final = "/answer"


class FailureView(msgspec.Struct):
    """One failed run of a job, as JSON; `at` is in Unix seconds."""

    host: str
    rack: str
    reason: str
    at: float


class JobView(msgspec.Struct):
    """The state of a job, as JSON for its caller."""

    handle: str
    state: str
    outcome: str
    detail: str = ""
    cancel_wanted: bool = False
    failures: list[FailureView] = []


class LongJobs:
    """Submits, reports and cancels the long jobs of callers."""

    __slots__ = ("_clock", "_jobs", "_metrics", "on_submitted")

    def __init__(
        self,
        jobs: JobStore,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._jobs = jobs
        self._metrics = metrics
        self._clock = clock
        # Called with the pool after a job was submitted to this daemon.
        self.on_submitted: Callable[[str], None] = _ignore

    async def submit(self, caller_request: CallerRequest) -> Answer:
        """Store a request as a job and answer with the job's handle."""
        submitted = await self._jobs.submit(
            caller_request.tenant,
            caller_request.pool,
            _job_request(caller_request),
            self._clock(),
        )
        if isinstance(submitted, Failure):
            fault = submitted.failure()
            is_unstored = fault.code is PLATFORM_UNREACHABLE
            outcome = Outcome.NOT_RUN if is_unstored else Outcome.UNKNOWN
            return self._refuse(fault, outcome)
        handle: str = submitted.unwrap()
        self._metrics.count("jobs-accepted")
        self.on_submitted(caller_request.pool)
        view = JobView(handle, JobState.WAITING.value, Outcome.ACCEPTED.value)
        answer = json_answer(ACCEPTED_STATUS, view)
        location = JOBS_PATH + handle
        answer.headers.append((b"location", location.encode()))
        answer.headers.append(OUTCOME_HEADERS[Outcome.ACCEPTED])
        return answer

    async def handle(self, request: Request, prefix: bytes) -> Answer:
        """Answer a request about one job."""
        path = request.target[len(prefix) :].decode("latin-1")
        if request.method == b"DELETE":
            return await self._cancel(path)
        if request.method != b"GET":
            detail = request.method.decode("latin-1")
            fault = Fault(UNKNOWN_ROUTE, Step.PARSE, Peer.CALLER, detail)
            return self._refuse(fault, Outcome.NOT_RUN)
        handle = path.removesuffix(ANSWER_SUFFIX)
        found = await self._jobs.state(handle)
        if isinstance(found, Failure):
            return self._refuse(found.failure(), Outcome.UNKNOWN)
        status = found.unwrap()
        if path.endswith(ANSWER_SUFFIX):
            return self._result_answer(status)
        return _state_answer(handle, status)

    async def _cancel(self, handle: str) -> Answer:
        """Cancel a job; a run in progress ends once its daemon is notified."""
        found = await self._jobs.cancel(handle, self._clock())
        if isinstance(found, Failure):
            return self._refuse(found.failure(), Outcome.UNKNOWN)
        self._metrics.count("jobs-cancelled")
        return _state_answer(handle, found.unwrap())

    def _result_answer(self, status: JobStatus) -> Answer:
        """Return a finished job's answer, or an error if there is none."""
        if status.state is not JobState.DONE:
            detail = f"{status.state.value} {status.detail}".strip()
            fault = Fault(JOB_NOT_DONE, Step.READ, Peer.SELF, detail)
            return self._refuse(fault, status.outcome)
        if not status.body_kept:
            detail = f"the job was answered with status {status.status}"
            fault = Fault(ANSWER_NOT_KEPT, Step.READ, Peer.PLATFORM, detail)
            return self._refuse(fault, Outcome.ANSWERED)
        return forward_answer(
            Answer(status.status, list(status.headers), status.body)
        )

    def _refuse(self, fault: Fault, outcome: Outcome) -> Answer:
        """Count a fault and return its error answer."""
        self._metrics.count(f"{outcome}.{fault.code.name}")
        return problem_answer(fault, outcome)


def _job_request(caller_request: CallerRequest) -> JobRequest:
    """Return the parts of a request that its job stores."""
    request = caller_request.request
    headers: list[tuple[str, str]] = []
    for name, value in request.headers:
        headers.append((name.decode("latin-1"), value.decode("latin-1")))
    return JobRequest(
        request.method.decode("latin-1"),
        request.target.decode("latin-1"),
        headers,
        request.body,
        caller_request.repeatable,
    )


def _state_answer(handle: str, status: JobStatus) -> Answer:
    """Return the answer with a job's state."""
    failures: list[FailureView] = []
    for failure in status.failures:
        failures.append(
            FailureView(failure.host, failure.rack, failure.reason, failure.at)
        )
    view = JobView(
        handle,
        status.state.value,
        status.outcome.value,
        status.detail,
        status.cancel_wanted,
        failures,
    )
    answer = json_answer(200, view)
    answer.headers.append(OUTCOME_HEADERS[status.outcome])
    return answer


def _ignore(pool: str) -> None:
    """Do nothing; used until a callback is set."""
    del pool
