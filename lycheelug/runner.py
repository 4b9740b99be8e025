"""Runs one caller's request on the executors of its pool.

A request is tried again only where that is safe: no byte of it has left,
or it may be repeated.  What the caller may be told follows from the tries:
*not run* only if no try can have run it, *answered* only with a whole
answer, else *unknown*.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Success

from lycheelug.errors import (
    CLAIM_LOST,
    CONNECT_FAILED,
    DEADLINE_PASSED,
    UPSTREAM_REFUSED,
    Fault,
    Peer,
    Step,
)
from lycheelug.requests import Outcome
from lycheelug.retries import FreeRetries, Retry, should_retry

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from lycheelug.admission import Ticket
    from lycheelug.callers.request_headers import CallerRequest
    from lycheelug.dispatch import Executor
    from lycheelug.freshness import FreshnessGate
    from lycheelug.http import Answer, ExchangeFault
    from lycheelug.metrics import Metrics
    from lycheelug.retries import Budget
    from lycheelug.scheduler import PoolScheduler
    from lycheelug.settings import UpstreamSettings
    from lycheelug.upstreams.exchange import Upstreams

    StartGuard = Callable[[], Awaitable[bool]]

__all__ = ["RequestRunner", "RunResult"]

SERVER_ERROR_STATUS: Final = 500
# Assumed run time of an executor that has not answered yet.
UNKNOWN_RUN_S: Final = 0.05


class RunResult:
    """The end of a request: an answer, or a fault with its outcome."""

    __slots__ = (
        "answer",
        "fault",
        "outcome",
        "service_s",
        "worker",
        "worker_rack",
    )

    def __init__(
        self,
        outcome: Outcome,
        answer: Answer | None = None,
        fault: Fault | None = None,
        worker: str = "",
        worker_rack: str = "",
        service_s: float = 0.0,
    ) -> None:
        # Run time of the last try, in seconds.
        self.service_s = service_s
        self.outcome = outcome
        self.answer = answer
        self.fault = fault
        # The host of the last try.
        self.worker = worker
        self.worker_rack = worker_rack


class _Tries:
    """One request, and what is known of its tries so far."""

    __slots__ = (
        "arrived_at",
        "count",
        "deadline",
        "exclude",
        "may_have_run",
        "may_start",
        "queue_s",
        "request_id",
        "scheduler",
        "wanted",
        "worker",
        "worker_rack",
    )

    def __init__(
        self,
        scheduler: PoolScheduler,
        wanted: CallerRequest,
        request_id: str,
        arrived_at: float,
        may_start: StartGuard | None,
    ) -> None:
        self.scheduler = scheduler
        self.wanted = wanted
        self.request_id = request_id
        self.arrived_at = arrived_at
        self.deadline = arrived_at + wanted.timeout_s
        self.may_start = may_start
        self.count = 0
        self.exclude: frozenset[str] = frozenset()
        self.may_have_run = False
        self.queue_s = 0.0
        self.worker = ""
        self.worker_rack = ""

    def end(self, fault: Fault) -> RunResult:
        """Return the end of a request that got no answer."""
        ran = self.may_have_run
        outcome = Outcome.UNKNOWN if ran else Outcome.NOT_RUN
        return RunResult(outcome, None, fault, self.worker, self.worker_rack)


class RequestRunner:
    """Runs requests; shared by callers' requests and long jobs."""

    __slots__ = (
        "_budget",
        "_clock",
        "_free",
        "_gate",
        "_metrics",
        "_settings",
        "_upstreams",
    )

    def __init__(
        self,
        upstreams: Upstreams,
        budget: Budget,
        settings: UpstreamSettings,
        metrics: Metrics,
        gate: FreshnessGate,
        clock: Callable[[], float],
    ) -> None:
        self._gate = gate
        self._upstreams = upstreams
        self._budget = budget
        self._free = FreeRetries()
        self._settings = settings
        self._metrics = metrics
        self._clock = clock

    async def run(
        self,
        scheduler: PoolScheduler,
        wanted: CallerRequest,
        request_id: str,
        arrived_at: float,
        may_start: StartGuard | None = None,
    ) -> RunResult:
        """Run a request before its deadline.

        `may_start` is asked, with a slot in hand, before the first byte of
        each try; where it says no, the request is not sent.
        """
        tries = _Tries(scheduler, wanted, request_id, arrived_at, may_start)
        self._budget.on_first_try(arrived_at)
        while True:
            run = await self._try_once(tries)
            if run is not None:
                return run

    async def _try_once(self, tries: _Tries) -> RunResult | None:
        """Try a request; None where it is to be tried again."""
        wanted = tries.wanted
        left_s = tries.deadline - self._clock()
        if not await self._gate.pass_through(left_s):
            detail = "the view is being refreshed"
            return tries.end(
                Fault(DEADLINE_PASSED, Step.ADMIT, Peer.SELF, detail)
            )
        waited_from = self._clock()
        ticket = tries.scheduler.make_ticket(
            wanted.tenant, wanted.request_class, waited_from, tries.deadline
        )
        acquired = await tries.scheduler.acquire(
            ticket, tries.exclude, wanted.repeatable
        )
        if type(acquired) is Failure:
            return tries.end(acquired.failure())
        executor = acquired.unwrap()
        tries.queue_s += self._clock() - waited_from
        fault = await self._hold(tries, ticket, executor)
        if fault is not None:
            tries.scheduler.release(ticket, executor, 0.0, ok=False)
            return tries.end(fault)
        return await self._send(tries, ticket, executor)

    async def _hold(
        self, tries: _Tries, ticket: Ticket, executor: Executor
    ) -> Fault | None:
        """Return why a request with a slot must not be sent, or None."""
        if tries.may_start is not None:
            try:
                allowed = await tries.may_start()
            except asyncio.CancelledError:
                tries.scheduler.release(ticket, executor, 0.0, ok=False)
                raise
            if not allowed:
                return Fault(CLAIM_LOST, Step.CLAIM, Peer.PLATFORM)
        if self._clock() >= tries.deadline:
            return Fault(DEADLINE_PASSED, Step.SEND, Peer.SELF)
        return None

    async def _send(
        self, tries: _Tries, ticket: Ticket, executor: Executor
    ) -> RunResult | None:
        """Send a request that holds a slot, and judge its end."""
        wanted = tries.wanted
        tries.worker = executor.name
        tries.worker_rack = executor.rack
        started_at = self._clock()
        answered = False
        try:
            result = await self._upstreams.run(
                executor,
                wanted.request,
                f"{tries.request_id}.{tries.count}",
                tries.deadline - started_at,
                wanted.repeatable,
            )
            answered = type(result) is Success
        finally:
            service_s = self._clock() - started_at
            tries.scheduler.release(ticket, executor, service_s, answered)
        if answered:
            return self._end_answered(
                tries, executor, result.unwrap(), service_s
            )
        fault = result.failure()
        self._note_fault(tries, executor, fault, service_s)
        tries.count += 1
        tries.may_have_run = tries.may_have_run or fault.sent
        tries.exclude |= {executor.name}
        if self._retries(tries, fault, executor):
            return None
        return tries.end(fault)

    def _end_answered(
        self,
        tries: _Tries,
        executor: Executor,
        answer: Answer,
        service_s: float,
    ) -> RunResult:
        """Count an answer, and return the request's end."""
        now = self._clock()
        ok = answer.status < SERVER_ERROR_STATUS
        tries.scheduler.executors.note_end(
            executor, tries.request_id, ok, answer.close, service_s, now
        )
        self._metrics.record(
            tries.wanted.tenant,
            tries.wanted.request_class.value,
            tries.queue_s,
            service_s,
            now - tries.arrived_at,
        )
        return RunResult(
            Outcome.ANSWERED,
            answer,
            None,
            executor.name,
            executor.rack,
            service_s,
        )

    def _retries(
        self, tries: _Tries, fault: ExchangeFault, executor: Executor
    ) -> bool:
        """Whether the request is tried again after a fault."""
        if tries.count >= self._settings.max_tries:
            return False
        # A failed connect or a leaving host's refusal loads no executor,
        # and the host gets no further work: no token is needed.
        refused_leaving = (
            fault.code is UPSTREAM_REFUSED and fault.detail == "closing"
        )
        free = fault.code is CONNECT_FAILED or refused_leaving
        safe = tries.wanted.repeatable or not tries.may_have_run
        decision = should_retry(
            self._free if free else self._budget,
            safe,
            self._clock(),
            tries.deadline,
            executor.latency_s or UNKNOWN_RUN_S,
            tries.count,
        )
        if not isinstance(decision, Retry):
            self._metrics.count(f"no-retry.{decision.reason.value}")
            return False
        self._metrics.count("retries")
        return True

    def _note_fault(
        self,
        tries: _Tries,
        executor: Executor,
        fault: ExchangeFault,
        service_s: float,
    ) -> None:
        """Tell the executor set of a fault."""
        now = self._clock()
        executors = tries.scheduler.executors
        self._metrics.count(f"upstream.{fault.code.name}")
        if fault.code is CONNECT_FAILED:
            executors.note_unreachable(executor, now)
            return
        if fault.code is UPSTREAM_REFUSED:
            closing = fault.detail == "closing"
            executors.note_refused(executor, closing, now)
            return
        executors.note_end(
            executor, tries.request_id, False, False, service_s, now
        )
