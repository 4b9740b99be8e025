"""Serves callers' requests, from the received request to the answer.

There are three kinds of requests.  A plain request runs at once.  For a
non-repeatable request with an idempotency key, the key is claimed first.  A
long request is stored as a job and answered with a handle.  In each case
the caller gets exactly one answer, which states the outcome.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Final

from returns.result import Failure

from lycheelug.callers.answers import forward_answer, problem_answer
from lycheelug.callers.request_headers import parse_request
from lycheelug.errors import (
    NOT_READY,
    UNKNOWN_POOL,
    UNKNOWN_ROUTE,
    UNKNOWN_TENANT,
    Fault,
    Peer,
    Step,
)
from lycheelug.http import Answer, Request, json_answer
from lycheelug.requests import Outcome, RequestClass

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.callers.keyed import KeyedRequests
    from lycheelug.callers.long_jobs import LongJobs
    from lycheelug.callers.request_headers import CallerRequest
    from lycheelug.metrics import Metrics
    from lycheelug.pools import PoolTable
    from lycheelug.recording import Recording
    from lycheelug.runner import RequestRunner, RunResult, StartGuard
    from lycheelug.scheduler import PoolScheduler
    from lycheelug.settings import Settings

__all__ = ["WELL_KNOWN_PATH", "CallerService"]

# The daemon serves paths below this prefix; all others go to upstreams.
WELL_KNOWN_PATH: Final = b"/.well-known/lycheelug/"

READINESS_TARGET: Final = WELL_KNOWN_PATH + b"ready"
JOBS_TARGET: Final = WELL_KNOWN_PATH + b"jobs/"
KEYS_TARGET: Final = WELL_KNOWN_PATH + b"keys"


class CallerService:
    """Handles the requests of callers."""

    __slots__ = (
        "_clock",
        "_ids",
        "_is_ready",
        "_keyed",
        "_long_jobs",
        "_metrics",
        "_pools",
        "_recording",
        "_run_id",
        "_runner",
        "_settings",
        "in_flight",
    )

    def __init__(
        self,
        settings: Settings,
        run_id: str,
        pools: PoolTable,
        runner: RequestRunner,
        keyed: KeyedRequests,
        long_jobs: LongJobs,
        recording: Recording,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._run_id = run_id
        self._pools = pools
        self._runner = runner
        self._keyed = keyed
        self._long_jobs = long_jobs
        self._recording = recording
        self._metrics = metrics
        self._is_ready = is_ready
        self._clock = clock
        self._ids = itertools.count(1)
        # The number of requests in progress.
        self.in_flight = 0

    async def handle(self, request: Request) -> Answer:
        """Return the answer to a request."""
        arrived_at = self._clock()
        if request.target.startswith(WELL_KNOWN_PATH):
            return await self._serve_daemon_resource(request)
        self.in_flight += 1
        try:
            return await self._serve(request, arrived_at)
        except asyncio.CancelledError:
            self._metrics.count("caller-gone")
            raise
        finally:
            self.in_flight -= 1

    async def _serve(self, request: Request, arrived_at: float) -> Answer:
        """Check a request and run it, or store it as a job."""
        limits = self._settings.limits
        parsed = parse_request(
            request, limits.default_deadline_s, limits.max_deadline_s
        )
        if type(parsed) is Failure:
            return self._refuse(parsed.failure())
        caller_request = parsed.unwrap()
        scheduler = self._pools.get(caller_request.pool)
        fault = self._find_fault(caller_request, scheduler)
        if fault is not None or scheduler is None:
            assert fault is not None
            return self._refuse(fault)
        request_id = f"{self._run_id}-{next(self._ids)}"

        async def work(may_start: StartGuard | None = None) -> Answer:
            recording_id = self._recording.on_arrival(
                caller_request, arrived_at
            )
            try:
                result = await self._runner.run(
                    scheduler,
                    caller_request,
                    request_id,
                    arrived_at,
                    may_start,
                )
            except asyncio.CancelledError:
                self._recording.on_cancel(recording_id)
                raise
            self._recording.on_end(recording_id, result)
            return self._result_answer(result)

        async def submit(may_start: StartGuard | None = None) -> Answer:
            del may_start
            return await self._long_jobs.submit(caller_request)

        is_long = caller_request.request_class is RequestClass.LONG
        handler = submit if is_long else work
        if caller_request.key and not caller_request.repeatable:
            return await self._keyed.handle(caller_request, handler)
        return await handler()

    def _find_fault(
        self, caller_request: CallerRequest, scheduler: PoolScheduler | None
    ) -> Fault | None:
        """Return the fault of a request that can't be served, or None."""
        if not self._is_ready():
            return Fault(NOT_READY, Step.ADMIT, Peer.SELF)
        if scheduler is None:
            return Fault(
                UNKNOWN_POOL, Step.ADMIT, Peer.CALLER, caller_request.pool
            )
        if not self._settings.allows_tenant(caller_request.tenant):
            detail = caller_request.tenant
            return Fault(UNKNOWN_TENANT, Step.ADMIT, Peer.CALLER, detail)
        return None

    def _result_answer(self, result: RunResult) -> Answer:
        """Return the answer to a request that has ended."""
        if result.answer is not None:
            self._metrics.count("answered")
            return forward_answer(result.answer)
        assert result.fault is not None
        self._metrics.count(f"{result.outcome}.{result.fault.code.name}")
        return problem_answer(result.fault, result.outcome)

    def _refuse(self, fault: Fault) -> Answer:
        """Count a fault and return the error answer; nothing was run."""
        self._metrics.count(f"{Outcome.NOT_RUN}.{fault.code.name}")
        return problem_answer(fault, Outcome.NOT_RUN)

    async def _serve_daemon_resource(self, request: Request) -> Answer:
        """Answer a request to the daemon itself, or about a job."""
        if request.target.startswith(JOBS_TARGET):
            return await self._long_jobs.handle(request, JOBS_TARGET)
        if request.target == KEYS_TARGET and request.method == b"POST":
            return json_answer(200, {"key": self._keyed.issue_key()})
        if request.target != READINESS_TARGET:
            detail = request.target.decode("latin-1")[:80]
            return self._refuse(
                Fault(UNKNOWN_ROUTE, Step.PARSE, Peer.CALLER, detail)
            )
        if self._is_ready():
            return json_answer(200, {"ready": True})
        return self._refuse(Fault(NOT_READY, Step.ADMIT, Peer.SELF))
