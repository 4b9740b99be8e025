"""Serves callers' requests: from the parsed headers to the answer.

Three ways lead through: a plain request runs at once; one with an
idempotency key that may not be repeated is claimed first; long work is
made durable and answered with a handle.  Whatever happens, the caller gets
one answer with its outcome.
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

__all__ = ["OWN_PATH", "CallerService"]

# Paths below this are the daemon's own; all others go to upstreams.
OWN_PATH: Final = b"/.well-known/lycheelug/"

HEALTH_TARGET: Final = OWN_PATH + b"ready"
JOBS_TARGET: Final = OWN_PATH + b"jobs/"
KEYS_TARGET: Final = OWN_PATH + b"keys"


class CallerService:
    """Handles whole requests of callers."""

    __slots__ = (
        "_clock",
        "_ids",
        "_is_ready",
        "_keyed",
        "_long",
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
        self._long = long_jobs
        self._recording = recording
        self._metrics = metrics
        self._is_ready = is_ready
        self._clock = clock
        self._ids = itertools.count(1)
        # Requests being served now.
        self.in_flight = 0

    async def handle(self, request: Request) -> Answer:
        """Return the answer to a request."""
        arrived_at = self._clock()
        if request.target.startswith(OWN_PATH):
            return await self._own_resource(request)
        self.in_flight += 1
        try:
            return await self._serve(request, arrived_at)
        except asyncio.CancelledError:
            self._metrics.count("caller-gone")
            raise
        finally:
            self.in_flight -= 1

    async def _serve(self, request: Request, arrived_at: float) -> Answer:
        """Check a request and send it the way that it asks for."""
        limits = self._settings.limits
        parsed = parse_request(
            request, limits.default_deadline_s, limits.max_deadline_s
        )
        if type(parsed) is Failure:
            return self._refuse(parsed.failure())
        wanted = parsed.unwrap()
        scheduler = self._pools.get(wanted.pool)
        fault = self._inadmissible(wanted, scheduler)
        if fault is not None or scheduler is None:
            assert fault is not None
            return self._refuse(fault)
        request_id = f"{self._run_id}-{next(self._ids)}"

        async def work(may_start: StartGuard | None = None) -> Answer:
            number = self._recording.on_arrival(wanted, arrived_at)
            try:
                run = await self._runner.run(
                    scheduler, wanted, request_id, arrived_at, may_start
                )
            except asyncio.CancelledError:
                self._recording.on_cancel(number)
                raise
            self._recording.on_end(number, run)
            return self._answer_run(run)

        async def submit(may_start: StartGuard | None = None) -> Answer:
            del may_start
            return await self._long.submit(wanted)

        is_long = wanted.request_class is RequestClass.LONG
        way = submit if is_long else work
        if wanted.key and not wanted.repeatable:
            return await self._keyed.handle(wanted, way)
        return await way()

    def _inadmissible(
        self, wanted: CallerRequest, scheduler: PoolScheduler | None
    ) -> Fault | None:
        """Return why a well-formed request can't be served, or None."""
        if not self._is_ready():
            return Fault(NOT_READY, Step.ADMIT, Peer.SELF)
        if scheduler is None:
            return Fault(UNKNOWN_POOL, Step.ADMIT, Peer.CALLER, wanted.pool)
        if not self._settings.allows_tenant(wanted.tenant):
            detail = wanted.tenant
            return Fault(UNKNOWN_TENANT, Step.ADMIT, Peer.CALLER, detail)
        return None

    def _answer_run(self, run: RunResult) -> Answer:
        """Return the answer that tells how a request ended."""
        if run.answer is not None:
            self._metrics.count("answered")
            return forward_answer(run.answer)
        assert run.fault is not None
        self._metrics.count(f"{run.outcome}.{run.fault.code.name}")
        return problem_answer(run.fault, run.outcome)

    def _refuse(self, fault: Fault) -> Answer:
        """Return the refusal of a request of which nothing was run."""
        self._metrics.count(f"{Outcome.NOT_RUN}.{fault.code.name}")
        return problem_answer(fault, Outcome.NOT_RUN)

    async def _own_resource(self, request: Request) -> Answer:
        """Answer for the daemon itself, or for a job."""
        if request.target.startswith(JOBS_TARGET):
            return await self._long.handle(request, JOBS_TARGET)
        if request.target == KEYS_TARGET and request.method == b"POST":
            return json_answer(200, {"key": self._keyed.issue_key()})
        if request.target != HEALTH_TARGET:
            detail = request.target.decode("latin-1")[:80]
            return self._refuse(
                Fault(UNKNOWN_ROUTE, Step.PARSE, Peer.CALLER, detail)
            )
        if self._is_ready():
            return json_answer(200, {"ready": True})
        return self._refuse(Fault(NOT_READY, Step.ADMIT, Peer.SELF))
