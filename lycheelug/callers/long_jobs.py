"""Long work as callers meet it: submit, ask, fetch the answer, cancel.

POST any path, class long                      202 and a handle
GET    /.well-known/lycheelug/jobs/HANDLE         its state
GET    /.well-known/lycheelug/jobs/HANDLE/answer  its answer
DELETE /.well-known/lycheelug/jobs/HANDLE         cancel it
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
    """One failed run of a job."""

    host: str
    rack: str
    reason: str
    at: float


class JobView(msgspec.Struct):
    """A job as its caller sees it."""

    handle: str
    state: str
    outcome: str
    detail: str = ""
    cancel_wanted: bool = False
    failures: list[FailureView] = []


class LongJobs:
    """Callers' side of the jobs."""

    __slots__ = ("_book", "_clock", "_metrics", "on_submitted")

    def __init__(
        self,
        book: JobStore,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._book = book
        self._metrics = metrics
        self._clock = clock
        # Called with the pool of a job submitted here.
        self.on_submitted: Callable[[str], None] = _ignore

    async def submit(self, wanted: CallerRequest) -> Answer:
        """Make a request durable and answer with its handle."""
        submitted = await self._book.submit(
            wanted.tenant, wanted.pool, _job_request(wanted), self._clock()
        )
        if isinstance(submitted, Failure):
            fault = submitted.failure()
            none = fault.code is PLATFORM_UNREACHABLE
            outcome = Outcome.NOT_RUN if none else Outcome.UNKNOWN
            return self._refuse(fault, outcome)
        handle: str = submitted.unwrap()
        self._metrics.count("jobs-accepted")
        self.on_submitted(wanted.pool)
        view = JobView(handle, JobState.WAITING.value, Outcome.ACCEPTED.value)
        answer = json_answer(ACCEPTED_STATUS, view)
        location = JOBS_PATH + handle
        answer.headers.append((b"location", location.encode()))
        answer.headers.append(OUTCOME_HEADERS[Outcome.ACCEPTED])
        return answer

    async def handle(self, request: Request, prefix: bytes) -> Answer:
        """Answer a request about one job."""
        tail = request.target[len(prefix) :].decode("latin-1")
        if request.method == b"DELETE":
            return await self._cancel(tail)
        if request.method != b"GET":
            detail = request.method.decode("latin-1")
            fault = Fault(UNKNOWN_ROUTE, Step.PARSE, Peer.CALLER, detail)
            return self._refuse(fault, Outcome.NOT_RUN)
        handle = tail.removesuffix(ANSWER_SUFFIX)
        found = await self._book.state(handle)
        if isinstance(found, Failure):
            return self._refuse(found.failure(), Outcome.UNKNOWN)
        status = found.unwrap()
        if tail.endswith(ANSWER_SUFFIX):
            return self._answer_of(status)
        return _state_answer(handle, status)

    async def _cancel(self, handle: str) -> Answer:
        """Cancel a job; what runs already runs on until it is reached."""
        found = await self._book.cancel(handle, self._clock())
        if isinstance(found, Failure):
            return self._refuse(found.failure(), Outcome.UNKNOWN)
        self._metrics.count("jobs-cancelled")
        return _state_answer(handle, found.unwrap())

    def _answer_of(self, status: JobStatus) -> Answer:
        """Return a finished job's answer, or why there is none."""
        if status.state is not JobState.DONE:
            detail = f"{status.state.value} {status.detail}".strip()
            fault = Fault(JOB_NOT_DONE, Step.READ, Peer.SELF, detail)
            return self._refuse(fault, status.outcome)
        if not status.body_kept:
            detail = f"it was answered with status {status.status}"
            fault = Fault(ANSWER_NOT_KEPT, Step.READ, Peer.PLATFORM, detail)
            return self._refuse(fault, Outcome.ANSWERED)
        return forward_answer(
            Answer(status.status, list(status.headers), status.body)
        )

    def _refuse(self, fault: Fault, outcome: Outcome) -> Answer:
        """Return a fault with its outcome."""
        self._metrics.count(f"{outcome}.{fault.code.name}")
        return problem_answer(fault, outcome)


def _job_request(wanted: CallerRequest) -> JobRequest:
    """Return what a job keeps of its request."""
    request = wanted.request
    headers: list[tuple[str, str]] = []
    for name, value in request.headers:
        headers.append((name.decode("latin-1"), value.decode("latin-1")))
    return JobRequest(
        request.method.decode("latin-1"),
        request.target.decode("latin-1"),
        headers,
        request.body,
        wanted.repeatable,
    )


def _state_answer(handle: str, status: JobStatus) -> Answer:
    """Return a job's state."""
    failures: list[FailureView] = []
    for each in status.failures:
        failures.append(
            FailureView(each.host, each.rack, each.reason, each.at)
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
    """Tell nobody."""
    del pool
