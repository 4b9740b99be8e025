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

__all__ = ["RequestRunner", "Run"]

SERVER_ERROR_STATUS: Final = 500
# Assumed run time of an executor that has not answered yet.
UNKNOWN_RUN_S: Final = 0.05


class Run:
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
    """What is known of a request's tries so far."""

    __slots__ = (
        "count",
        "exclude",
        "may_have_run",
        "queue_s",
        "worker",
        "worker_rack",
    )

    def __init__(self) -> None:
        self.count = 0
        self.exclude: frozenset[str] = frozenset()
        self.may_have_run = False
        self.queue_s = 0.0
        self.worker = ""
        self.worker_rack = ""

    def end(self, fault: Fault) -> Run:
        """Return the end of a request that got no answer."""
        ran = self.may_have_run
        outcome = Outcome.UNKNOWN if ran else Outcome.NOT_RUN
        return Run(outcome, None, fault, self.worker, self.worker_rack)


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
    ) -> Run:
        """Run a request before its deadline.

        `may_start` is asked, with a slot in hand, before the first byte of
        each try; where it says no, the request is not sent.
        """
        tries = _Tries()
        deadline = arrived_at + wanted.timeout_s
        self._budget.on_first_try(arrived_at)
        while True:
            left_s = deadline - self._clock()
            if not await self._gate.pass_through(left_s):
                detail = "the view is being refreshed"
                return tries.end(
                    Fault(DEADLINE_PASSED, Step.ADMIT, Peer.SELF, detail)
                )
            waited_from = self._clock()
            ticket = scheduler.make_ticket(
                wanted.tenant, wanted.request_class, waited_from, deadline
            )
            acquired = await scheduler.acquire(
                ticket, tries.exclude, wanted.repeatable
            )
            if type(acquired) is Failure:
                return tries.end(acquired.failure())
            executor = acquired.unwrap()
            started_at = self._clock()
            tries.queue_s += started_at - waited_from
            fault: Fault | None = None
            if may_start is not None:
                fault = await self._hold(
                    ticket, executor, scheduler, may_start
                )
            remaining_s = deadline - self._clock()
            if fault is None and remaining_s <= 0:
                fault = Fault(DEADLINE_PASSED, Step.SEND, Peer.SELF)
            if fault is not None:
                scheduler.release(ticket, executor, 0.0)
                return tries.end(fault)
            tries.worker = executor.name
            tries.worker_rack = executor.rack
            try:
                result = await self._upstreams.run(
                    executor,
                    wanted.request,
                    f"{request_id}.{tries.count}",
                    remaining_s,
                    wanted.repeatable,
                )
            finally:
                ended_at = self._clock()
                service_s = ended_at - started_at
                scheduler.release(ticket, executor, service_s)
            if type(result) is Success:
                answer = result.unwrap()
                self._note_answer(
                    scheduler, executor, answer, request_id, service_s
                )
                self._metrics.record(
                    wanted.tenant,
                    wanted.request_class.value,
                    tries.queue_s,
                    service_s,
                    ended_at - arrived_at,
                )
                return Run(
                    Outcome.ANSWERED,
                    answer,
                    None,
                    executor.name,
                    executor.rack,
                    service_s,
                )
            fault = result.failure()
            self._note_fault(scheduler, executor, fault, request_id, service_s)
            tries.count += 1
            tries.may_have_run = tries.may_have_run or fault.sent
            tries.exclude |= {executor.name}
            if not self._retries(wanted, tries, fault, executor, deadline):
                return tries.end(fault)

    async def _hold(
        self,
        ticket: Ticket,
        executor: Executor,
        scheduler: PoolScheduler,
        may_start: StartGuard,
    ) -> Fault | None:
        """Return why a request with a slot must not be sent, or None."""
        try:
            allowed = await may_start()
        except asyncio.CancelledError:
            scheduler.release(ticket, executor, 0.0)
            raise
        if allowed:
            return None
        return Fault(CLAIM_LOST, Step.CLAIM, Peer.PLATFORM)

    def _retries(
        self,
        wanted: CallerRequest,
        tries: _Tries,
        fault: ExchangeFault,
        executor: Executor,
        deadline: float,
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
        safe = wanted.repeatable or not tries.may_have_run
        decision = should_retry(
            self._free if free else self._budget,
            safe,
            self._clock(),
            deadline,
            executor.latency_s or UNKNOWN_RUN_S,
            tries.count,
        )
        if not isinstance(decision, Retry):
            self._metrics.count(f"no-retry.{decision.reason.value}")
            return False
        self._metrics.count("retries")
        return True

    def _note_answer(
        self,
        scheduler: PoolScheduler,
        executor: Executor,
        answer: Answer,
        job_key: str,
        service_s: float,
    ) -> None:
        """Tell the executor set of an answer."""
        ok = answer.status < SERVER_ERROR_STATUS
        now = self._clock()
        scheduler.executors.note_end(
            executor, job_key, ok, answer.close, service_s, now
        )

    def _note_fault(
        self,
        scheduler: PoolScheduler,
        executor: Executor,
        fault: ExchangeFault,
        job_key: str,
        service_s: float,
    ) -> None:
        """Tell the executor set of a fault."""
        now = self._clock()
        executors = scheduler.executors
        self._metrics.count(f"upstream.{fault.code.name}")
        if fault.code is CONNECT_FAILED:
            executors.note_unreachable(executor, now)
            return
        if fault.code is UPSTREAM_REFUSED:
            closing = fault.detail == "closing"
            executors.note_refused(executor, closing, now)
            return
        executors.note_end(executor, job_key, False, False, service_s, now)
