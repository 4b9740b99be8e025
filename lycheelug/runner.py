"""Execution of one caller's request on the executors of its pool.

A request is retried only if that is safe: no byte of it was sent, or it may
be repeated. The outcome reported to the caller follows from the attempts:
*not run* only if no attempt can have run it, *answered* only with a
complete answer, else *unknown*.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Success

from lycheelug.errors import (
    ANSWER_TRUNCATED,
    CLAIM_LOST,
    CONNECT_FAILED,
    DEADLINE_PASSED,
    UPSTREAM_REFUSED,
    Fault,
    Peer,
    Step,
)
from lycheelug.requests import Outcome
from lycheelug.retries import Retry, UnlimitedRetries, should_retry

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
# The assumed run time on an executor that has not answered yet.
ASSUMED_RUN_TIME_S: Final = 0.05


class RunResult:
    """The result of a request: an answer, or a fault and its outcome."""

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
        # The run time of the last attempt.
        self.service_s = service_s
        self.outcome = outcome
        self.answer = answer
        self.fault = fault
        # The host of the last attempt.
        self.worker = worker
        self.worker_rack = worker_rack


class _Attempts:
    """One request, and the state of its attempts so far."""

    __slots__ = (
        "arrived_at",
        "broken",
        "caller_request",
        "count",
        "deadline",
        "excluded",
        "may_have_run",
        "may_start",
        "queue_s",
        "request_id",
        "scheduler",
        "worker",
        "worker_rack",
    )

    def __init__(
        self,
        scheduler: PoolScheduler,
        caller_request: CallerRequest,
        request_id: str,
        arrived_at: float,
        may_start: StartGuard | None,
    ) -> None:
        self.scheduler = scheduler
        self.caller_request = caller_request
        self.request_id = request_id
        self.arrived_at = arrived_at
        self.deadline = arrived_at + caller_request.timeout_s
        self.may_start = may_start
        self.count = 0
        # Attempts after which the connection ended without an answer.
        self.broken = 0
        self.excluded: frozenset[str] = frozenset()
        self.may_have_run = False
        self.queue_s = 0.0
        self.worker = ""
        self.worker_rack = ""

    def end(self, fault: Fault) -> RunResult:
        """Return the result of a request that got no answer."""
        may_have_run = self.may_have_run
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        return RunResult(outcome, None, fault, self.worker, self.worker_rack)


class RequestRunner:
    """Runs the requests of callers and of long jobs."""

    __slots__ = (
        "_budget",
        "_clock",
        "_freshness_gate",
        "_metrics",
        "_settings",
        "_unlimited_retries",
        "_upstreams",
    )

    def __init__(
        self,
        upstreams: Upstreams,
        budget: Budget,
        settings: UpstreamSettings,
        metrics: Metrics,
        freshness_gate: FreshnessGate,
        clock: Callable[[], float],
    ) -> None:
        self._freshness_gate = freshness_gate
        self._upstreams = upstreams
        self._budget = budget
        self._unlimited_retries = UnlimitedRetries()
        self._settings = settings
        self._metrics = metrics
        self._clock = clock

    async def run(
        self,
        scheduler: PoolScheduler,
        caller_request: CallerRequest,
        request_id: str,
        arrived_at: float,
        may_start: StartGuard | None = None,
    ) -> RunResult:
        """Run a request before its deadline.

        `may_start` is called in each attempt after a slot is acquired and
        before the first byte is sent; if it returns False, the request is
        not sent.
        """
        attempts = _Attempts(
            scheduler, caller_request, request_id, arrived_at, may_start
        )
        self._budget.on_first_try(arrived_at)
        while True:
            result = await self._attempt(attempts)
            if result is not None:
                return result

    async def _attempt(self, attempts: _Attempts) -> RunResult | None:
        """Make one attempt; return None if the request is retried."""
        caller_request = attempts.caller_request
        left_s = attempts.deadline - self._clock()
        if not await self._freshness_gate.wait_until_fresh(left_s):
            detail = "the view is being refreshed"
            return attempts.end(
                Fault(DEADLINE_PASSED, Step.ADMIT, Peer.SELF, detail)
            )
        queued_at = self._clock()
        ticket = attempts.scheduler.make_ticket(
            caller_request.tenant,
            caller_request.request_class,
            queued_at,
            attempts.deadline,
        )
        acquired = await attempts.scheduler.acquire(
            ticket, attempts.excluded, caller_request.repeatable
        )
        if type(acquired) is Failure:
            return attempts.end(acquired.failure())
        executor = acquired.unwrap()
        attempts.queue_s += self._clock() - queued_at
        fault = await self._check_start(attempts, ticket, executor)
        if fault is not None:
            attempts.scheduler.release(ticket, executor, 0.0, ok=False)
            return attempts.end(fault)
        return await self._send(attempts, ticket, executor)

    async def _check_start(
        self, attempts: _Attempts, ticket: Ticket, executor: Executor
    ) -> Fault | None:
        """Return why a request that has a slot must not be sent, or None."""
        if attempts.may_start is not None:
            try:
                allowed = await attempts.may_start()
            except asyncio.CancelledError:
                attempts.scheduler.release(ticket, executor, 0.0, ok=False)
                raise
            if not allowed:
                return Fault(CLAIM_LOST, Step.CLAIM, Peer.PLATFORM)
        if self._clock() >= attempts.deadline:
            return Fault(DEADLINE_PASSED, Step.SEND, Peer.SELF)
        return None

    async def _send(
        self, attempts: _Attempts, ticket: Ticket, executor: Executor
    ) -> RunResult | None:
        """Send a request that has a slot, and evaluate the result."""
        caller_request = attempts.caller_request
        attempts.worker = executor.name
        attempts.worker_rack = executor.rack
        started_at = self._clock()
        answered = False
        try:
            result = await self._upstreams.run(
                executor,
                caller_request.request,
                f"{attempts.request_id}.{attempts.count}",
                attempts.deadline - started_at,
                caller_request.repeatable,
            )
            answered = type(result) is Success
        finally:
            service_s = self._clock() - started_at
            attempts.scheduler.release(ticket, executor, service_s, answered)
        if answered:
            return self._record_answer(
                attempts, executor, result.unwrap(), service_s
            )
        fault = result.failure()
        self._record_fault(attempts, executor, fault, service_s)
        attempts.count += 1
        attempts.may_have_run = attempts.may_have_run or fault.maybe_sent
        attempts.broken += fault.code is ANSWER_TRUNCATED
        attempts.excluded |= {executor.name}
        if self._may_retry(attempts, fault, executor):
            return None
        return attempts.end(fault)

    def _record_answer(
        self,
        attempts: _Attempts,
        executor: Executor,
        answer: Answer,
        service_s: float,
    ) -> RunResult:
        """Record an answer, and return the result of the request."""
        now = self._clock()
        ok = answer.status < SERVER_ERROR_STATUS
        attempts.scheduler.executors.record_end(
            executor, attempts.request_id, ok, answer.close, service_s, now
        )
        self._metrics.record(
            attempts.caller_request.tenant,
            attempts.caller_request.request_class.value,
            attempts.queue_s,
            service_s,
            now - attempts.arrived_at,
        )
        return RunResult(
            Outcome.ANSWERED,
            answer,
            None,
            executor.name,
            executor.rack,
            service_s,
        )

    def _may_retry(
        self, attempts: _Attempts, fault: ExchangeFault, executor: Executor
    ) -> bool:
        """Return whether the request is retried after a fault."""
        if attempts.count >= self._settings.max_tries:
            return False
        # A failed connect or the refusal of a leaving host puts no load on
        # an executor, and the host gets no further work, so these retries
        # need no token of the budget.
        is_leaving_refusal = (
            fault.code is UPSTREAM_REFUSED and fault.detail == "closing"
        )
        needs_no_token = fault.code is CONNECT_FAILED or is_leaving_refusal
        is_safe = (
            attempts.caller_request.repeatable or not attempts.may_have_run
        )
        decision = should_retry(
            self._unlimited_retries if needs_no_token else self._budget,
            is_safe,
            self._clock(),
            attempts.deadline,
            executor.latency_s or ASSUMED_RUN_TIME_S,
            attempts.count,
            attempts.broken,
        )
        if not isinstance(decision, Retry):
            self._metrics.count(f"no-retry.{decision.reason.value}")
            return False
        self._metrics.count("retries")
        return True

    def _record_fault(
        self,
        attempts: _Attempts,
        executor: Executor,
        fault: ExchangeFault,
        service_s: float,
    ) -> None:
        """Record a fault in the metrics and in the executor set."""
        now = self._clock()
        executors = attempts.scheduler.executors
        self._metrics.count(f"upstream.{fault.code.name}")
        if fault.code is CONNECT_FAILED:
            executors.record_unreachable(executor, now)
            return
        if fault.code is UPSTREAM_REFUSED:
            closing = fault.detail == "closing"
            executors.record_refusal(executor, closing, now)
            return
        executors.record_end(
            executor, attempts.request_id, False, False, service_s, now
        )
