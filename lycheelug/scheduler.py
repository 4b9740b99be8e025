"""Assigns executors of a pool to the requests in its admission queue.

A request gets a slot of an executor at once if the queue and the executors
allow it, and waits in the queue otherwise.  A queued request is removed as
soon as its task is cancelled.  The admission queue and the executor set make
all decisions; this module only keeps the waiting tasks.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from lycheelug.admission import Ticket
from lycheelug.errors import DEADLINE_PASSED, NO_UPSTREAM, Fault, Peer, Step

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.admission import AdmissionQueue
    from lycheelug.dispatch import Executor
    from lycheelug.requests import RequestClass
    from lycheelug.upstreams.executors import ExecutorSet

__all__ = ["PoolScheduler"]


class _Waiter:
    """A task that waits for a slot."""

    __slots__ = ("exclude", "future", "may_probe", "ticket")

    def __init__(
        self,
        ticket: Ticket,
        future: asyncio.Future[Result[Executor, Fault]],
        exclude: frozenset[str],
        may_probe: bool,
    ) -> None:
        self.ticket = ticket
        self.future = future
        self.exclude = exclude
        self.may_probe = may_probe


class PoolScheduler:
    """The queue and the executors of one pool in one daemon."""

    __slots__ = ("_clock", "_ids", "_waiters", "executors", "queue")

    def __init__(
        self,
        queue: AdmissionQueue,
        executors: ExecutorSet,
        clock: Callable[[], float],
    ) -> None:
        self.queue = queue
        self.executors = executors
        self._clock = clock
        self._ids = itertools.count(1)
        self._waiters: dict[int, _Waiter] = {}

    @property
    def queued(self) -> int:
        """The number of queued requests."""
        return len(self.queue)

    def make_ticket(
        self,
        tenant: str,
        request_class: RequestClass,
        arrived_at: float,
        deadline: float,
    ) -> Ticket:
        """Create a ticket with a new id."""
        return Ticket(
            next(self._ids),
            self.executors.pool,
            tenant,
            request_class,
            arrived_at,
            deadline,
        )

    async def acquire(
        self, ticket: Ticket, exclude: frozenset[str], may_probe: bool
    ) -> Result[Executor, Fault]:
        """Wait for a slot; return its executor, or why there is none.

        After a fault, the request was not run.
        """
        now = self._clock()
        self.executors.refresh_if_due(now)
        capacity = self.executors.capacity
        refusal = self.queue.offer(ticket, now, capacity)
        if refusal is not None:
            code = refusal.code if capacity else NO_UPSTREAM
            return Failure(Fault(code, Step.ADMIT, Peer.SELF, refusal.detail))
        if not self._waiters:
            started = self._try_start_only(ticket, exclude, may_probe, now)
            if started is not None:
                return started
        loop = asyncio.get_running_loop()
        waiter = _Waiter(ticket, loop.create_future(), exclude, may_probe)
        self._waiters[ticket.ticket_id] = waiter
        self.start_waiting()
        try:
            return await waiter.future
        except asyncio.CancelledError:
            self._release_cancelled(ticket, waiter)
            raise

    def _try_start_only(
        self,
        ticket: Ticket,
        exclude: frozenset[str],
        may_probe: bool,
        now: float,
    ) -> Result[Executor, Fault] | None:
        """Start the only queued request at once, if possible.

        Does the same as `start_waiting` without the cost of a future.
        """
        if not self.executors.has_free_slot():
            return None
        if self.queue.take(now) is None:
            return None
        executor = self.executors.choose(exclude, may_probe, now)
        if executor is not None:
            self.queue.on_started(ticket, now)
            return Success(executor)
        # Only probes are allowed, and this request is not one.
        if self.queue.offer(ticket, now, self.executors.capacity) is None:
            return None
        return Failure(_no_upstream())

    def release(
        self,
        ticket: Ticket,
        executor: Executor,
        service_s: float,
        ok: bool,
    ) -> None:
        """Release a slot and start the next request.

        The run time is recorded only if the run was answered (`ok`).
        """
        self.executors.release(executor)
        self.queue.on_finished(ticket, service_s, self._clock(), ok)
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start queued requests while executors have free slots."""
        now = self._clock()
        while len(self.queue) and self.executors.has_free_slot():
            ticket = self.queue.take(now)
            if ticket is None:
                return
            waiter = self._waiters.pop(ticket.ticket_id)
            if waiter.future.done():
                # The task was cancelled but has not run since.
                continue
            executor = self.executors.choose(
                waiter.exclude, waiter.may_probe, now
            )
            if executor is None:
                # Only probes are allowed, and this request is not one.
                self._requeue(ticket, waiter, now)
                return
            self.queue.on_started(ticket, now)
            waiter.future.set_result(Success(executor))

    def expire(self) -> None:
        """Reject the queued requests that can't meet their deadline."""
        now = self._clock()
        none_usable = self.executors.capacity == 0
        for ticket in self.queue.drop_expired(now):
            waiter = self._waiters.pop(ticket.ticket_id)
            code = NO_UPSTREAM if none_usable else DEADLINE_PASSED
            fault = Fault(
                code, Step.QUEUE, Peer.SELF, "dropped from the queue"
            )
            if not waiter.future.done():
                waiter.future.set_result(Failure(fault))

    def _requeue(self, ticket: Ticket, waiter: _Waiter, now: float) -> None:
        """Queue a taken request again, or reject it."""
        refusal = self.queue.offer(ticket, now, self.executors.capacity)
        if refusal is None:
            self._waiters[ticket.ticket_id] = waiter
            return
        self._waiters.pop(ticket.ticket_id, None)
        waiter.future.set_result(Failure(_no_upstream()))

    def _release_cancelled(self, ticket: Ticket, waiter: _Waiter) -> None:
        """Release what a cancelled task has acquired."""
        if self._waiters.pop(ticket.ticket_id, None) is not None:
            self.queue.cancel(ticket.ticket_id)
            return
        if not waiter.future.done() or waiter.future.cancelled():
            return
        match waiter.future.result():
            case Success(executor):
                self.release(ticket, executor, 0.0, ok=False)


def _no_upstream() -> Fault:
    """Return the fault of a request that no executor accepts."""
    return Fault(NO_UPSTREAM, Step.CHOOSE, Peer.UPSTREAM)
