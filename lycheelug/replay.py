"""Replays a trace through the admission and dispatch code of a daemon.

A virtual clock advances through the events of the trace, the ends of runs
and the periodic check for expired requests.  Each pool has one queue, which
receives the same calls in the same order as in a daemon; a chooser selects
the executor.  The replay simulates a single daemon that owns all slots and
detects a host failure immediately.  It has neither a network nor messages,
so it evaluates decisions only.

A run continues after its caller has cancelled, as it would on an upstream.
A failed attempt is retried on another executor if the request is
repeatable; after failures on three executors the request is set aside.
"""

from __future__ import annotations

from random import Random
from statistics import median
from typing import TYPE_CHECKING, Final, TypeAlias

from lycheelug.admission import QUEUES, QueueSettings
from lycheelug.limits import LIMITS
from lycheelug.replay_executors import ReplayExecutor
from lycheelug.replay_report import make_report
from lycheelug.replay_requests import Request, RequestEnd, Run
from lycheelug.traces import (
    Arrival,
    Cancel,
    HostBack,
    HostFailed,
    WorkerSlowed,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from lycheelug.admission import AdmissionQueue
    from lycheelug.replay_report import ReplayReport
    from lycheelug.traces import Event, Trace, TracePool

__all__ = ["Chooser", "Replay", "ReplayOptions", "least_loaded", "replay"]

# Period of the check for expired requests.
EXPIRY_CHECK_S: Final = 0.05
MAX_EXECUTORS_TRIED: Final = 3
# Duration of a run on a worker that fails every request.
FAST_FAILURE_S: Final = 0.01
# Longest time that a replay continues after the end of the trace.
MAX_DRAIN_S: Final = 900.0
# Run time of requests of a pool without any recorded run time.
UNKNOWN_RUN_S: Final = 1.0


def least_loaded(
    executors: Sequence[ReplayExecutor], rng: Random, now: float
) -> ReplayExecutor:
    """Return an executor with the fewest runs; break ties at random."""
    fewest = min(executor.in_flight for executor in executors)
    equal = [e for e in executors if e.in_flight == fewest]
    return rng.choice(equal)


Chooser: TypeAlias = (
    "Callable[[Sequence[ReplayExecutor], Random, float], ReplayExecutor]"
)


class ReplayOptions:
    """The parameters of a replay besides policy and seed."""

    __slots__ = ("chooser", "limit_name", "settings")

    def __init__(
        self,
        settings: QueueSettings | None = None,
        limit_name: str = "fixed",
        chooser: Chooser = least_loaded,
    ) -> None:
        self.settings = settings or QueueSettings()
        self.limit_name = limit_name
        self.chooser = chooser


class _Pool:
    """The queue and the executors of one pool."""

    __slots__ = ("executors", "queue")

    def __init__(
        self, queue: AdmissionQueue, executors: list[ReplayExecutor]
    ) -> None:
        self.queue = queue
        self.executors = executors

    def capacity(self, now: float) -> int:
        """Return how many requests the pool may run at the same time."""
        return sum(executor.capacity_at(now) for executor in self.executors)


class Replay:
    """One replay of a trace under one policy."""

    __slots__ = (
        "_executors",
        "_expiry_check_at",
        "_hosts",
        "_now",
        "_options",
        "_pools",
        "_requests",
        "_rng",
        "_trace",
    )

    def __init__(
        self,
        trace: Trace,
        policy_name: str,
        seed: int,
        options: ReplayOptions | None = None,
    ) -> None:
        self._trace = trace
        self._options = options or ReplayOptions()
        self._rng = Random(seed)
        self._now = 0.0
        self._expiry_check_at = EXPIRY_CHECK_S
        self._pools: dict[str, _Pool] = {}
        self._executors: list[ReplayExecutor] = []
        self._hosts: dict[str, ReplayExecutor] = {}
        for pool in trace.header.pools:
            self._add_pool(pool, policy_name)
        self._requests = _make_requests(trace.events)

    @property
    def requests(self) -> list[Request]:
        """All requests of the trace, in order of arrival."""
        return list(self._requests.values())

    def run(self) -> None:
        """Replay the whole trace, then drain the queues."""
        for event in self._trace.events:
            self._run_until(event.at)
            self._apply(event)
        end_at = self._trace.header.duration_s + MAX_DRAIN_S
        while self._now < end_at and self._is_busy():
            self._run_until(self._now + EXPIRY_CHECK_S)

    def _add_pool(self, pool: TracePool, policy_name: str) -> None:
        """Create the queue and the executors of a pool."""
        executors: list[ReplayExecutor] = []
        make_limit = LIMITS.get(self._options.limit_name)
        for trace_executor in pool.executors:
            limit = make_limit(pool.slots, pool.connections)
            executor = ReplayExecutor(
                len(self._executors),
                pool.name,
                pool.slots,
                limit,
                pool.sink,
            )
            executors.append(executor)
            self._executors.append(executor)
            self._hosts[trace_executor.host] = executor
        make_queue = QUEUES.get(policy_name)
        queue = make_queue(pool.name, self._options.settings)
        self._pools[pool.name] = _Pool(queue, executors)

    def _is_busy(self) -> bool:
        """Return whether any request is waiting or running."""
        if any(len(pool.queue) for pool in self._pools.values()):
            return True
        return any(executor.in_flight for executor in self._executors)

    def _run_until(self, until: float) -> None:
        """Process the ends of runs and the expiry checks up to a time."""
        while True:
            next_executor = min(self._executors, key=_next_at)
            at = min(next_executor.next_at, self._expiry_check_at)
            if at > until:
                break
            self._now = at
            if next_executor.next_at <= self._expiry_check_at:
                self._finish(next_executor)
                continue
            self._expiry_check_at += EXPIRY_CHECK_S
            for pool in self._pools.values():
                self._drop_expired(pool)
                self._start_waiting(pool)
        self._now = until

    def _apply(self, event: Event) -> None:
        """Apply one event of the trace."""
        if isinstance(event, Arrival):
            request = self._requests[event.id]
            self._submit(request)
            self._start_waiting(self._pools[event.pool])
        elif isinstance(event, Cancel):
            self._cancel(self._requests[event.id])
        elif isinstance(event, HostFailed):
            self._fail_host(self._hosts[event.host])
        elif isinstance(event, HostBack):
            executor = self._hosts[event.host]
            executor.recover()
            self._start_waiting(self._pools[executor.pool])
        elif isinstance(event, WorkerSlowed):
            self._hosts[event.host].set_slots(event.slots, self._now)
        else:
            self._hosts[event.host].is_bad = True

    def _submit(self, request: Request) -> None:
        """Offer a request to its pool's queue; record a rejection."""
        pool = self._pools[request.arrival.pool]
        capacity = pool.capacity(self._now)
        refusal = pool.queue.offer(request.ticket, self._now, capacity)
        if refusal is None:
            return
        # An attempt was run before, so the request does not count as refused.
        end = RequestEnd.FAILED if request.failed_on else RequestEnd.REFUSED
        request.finish(end, self._now, refusal.code.name)

    def _cancel(self, request: Request) -> None:
        """Cancel a request on behalf of its caller."""
        if request.end is not RequestEnd.WAITING:
            return
        self._pools[request.arrival.pool].queue.cancel(request.arrival.id)
        request.finish(RequestEnd.CANCELLED, self._now)

    def _drop_expired(self, pool: _Pool) -> None:
        """End the requests that the queue dropped as expired."""
        for ticket in pool.queue.drop_expired(self._now):
            request = self._requests[ticket.ticket_id]
            end = (
                RequestEnd.FAILED if request.failed_on else RequestEnd.REFUSED
            )
            request.finish(end, self._now, "too-late-waiting")

    def _start_waiting(self, pool: _Pool) -> None:
        """Start waiting requests while executors have free slots."""
        while len(pool.queue):
            free = [e for e in pool.executors if e.free_slots(self._now)]
            if not free:
                return
            ticket = pool.queue.take(self._now)
            if ticket is None:
                return
            self._start(pool, self._requests[ticket.ticket_id], free)

    def _start(
        self, pool: _Pool, request: Request, free: list[ReplayExecutor]
    ) -> None:
        """Start a request, preferably where no attempt of it has failed."""
        untried = [e for e in free if e.index not in request.failed_on]
        options = self._options
        executor = options.chooser(untried or free, self._rng, self._now)
        seconds = FAST_FAILURE_S if executor.is_bad else request.actual_s
        executor.start(Run(request, self._now), seconds, self._now)
        pool.queue.on_started(request.ticket, self._now)
        if not executor.is_bad:
            request.started_at = min(request.started_at, self._now)

    def _finish(self, executor: ReplayExecutor) -> None:
        """Process the end of the executor's next run."""
        run = executor.finish(self._now)
        request = run.request
        ok = request.arrival.runnable and not executor.is_bad
        run_s = self._now - run.started_at
        executor.on_result(run, ok, self._now)
        pool = self._pools[executor.pool]
        pool.queue.on_finished(request.ticket, run_s, self._now, ok)
        if request.end is RequestEnd.WAITING:
            self._end_attempt(request, executor, ok)
        self._start_waiting(pool)

    def _end_attempt(
        self, request: Request, executor: ReplayExecutor, ok: bool
    ) -> None:
        """End the request, or retry it on another executor."""
        if ok:
            in_time = self._now <= request.ticket.deadline
            end = RequestEnd.IN_TIME if in_time else RequestEnd.LATE
            request.finish(end, self._now)
            return
        request.failed_on.add(executor.index)
        if not request.arrival.repeatable:
            request.finish(RequestEnd.FAILED, self._now)
        elif len(request.failed_on) >= MAX_EXECUTORS_TRIED:
            request.finish(RequestEnd.SET_ASIDE, self._now)
        else:
            self._submit(request)

    def _fail_host(self, executor: ReplayExecutor) -> None:
        """Abort all runs of a failed host; retry repeatable requests."""
        pool = self._pools[executor.pool]
        for run in executor.fail(self._now):
            request = run.request
            ran_s = self._now - run.started_at
            pool.queue.on_finished(request.ticket, ran_s, self._now, ok=False)
            if request.end is not RequestEnd.WAITING:
                continue
            if not request.arrival.repeatable:
                request.finish(RequestEnd.UNKNOWN, self._now)
                continue
            request.failed_on.add(executor.index)
            self._submit(request)
        self._start_waiting(pool)


def replay(
    trace: Trace,
    policy_name: str,
    seed: int,
    options: ReplayOptions | None = None,
) -> ReplayReport:
    """Replay a trace under a policy of `QUEUES`; return its report.

    >>> from lycheelug.trace_generator import DEPLOYMENTS, make_trace
    >>> trace = make_trace(DEPLOYMENTS.get("guild"), seed=1, duration_s=5.0)
    >>> replay(trace, "deadline", seed=1).lost
    0
    """
    run = Replay(trace, policy_name, seed, options)
    run.run()
    return make_report(trace, policy_name, seed, run.requests)


def _next_at(executor: ReplayExecutor) -> float:
    return executor.next_at


def _make_requests(events: Sequence[Event]) -> dict[int, Request]:
    """Return the requests of a trace by id.

    A run time that was not recorded is replaced by the pool's median.
    """
    arrivals = [event for event in events if isinstance(event, Arrival)]
    known: dict[str, list[float]] = {}
    for arrival in arrivals:
        if arrival.actual_s is not None:
            known.setdefault(arrival.pool, []).append(arrival.actual_s)
    medians = {pool: median(times) for pool, times in known.items()}
    requests: dict[int, Request] = {}
    for arrival in arrivals:
        actual_s = arrival.actual_s
        if actual_s is None:
            actual_s = medians.get(arrival.pool, UNKNOWN_RUN_S)
        requests[arrival.id] = Request(arrival, actual_s)
    for event in events:
        if isinstance(event, Cancel):
            requests[event.id].cancelled_at = event.at
    return requests
