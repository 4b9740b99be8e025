"""Earliest deadline first, urgent and short work before long work."""

from __future__ import annotations

from typing import Final

from lycheelug.admission_queue import (
    QUEUES,
    AdmissionQueue,
    QueueSettings,
    Refusal,
    Ticket,
)
from lycheelug.errors import QUEUE_FULL, TOO_LATE
from lycheelug.requests import RequestClass
from lycheelug.ticket_heap import TicketHeap

__all__ = ["DeadlineQueue"]

CLASS_ORDER: Final = (
    RequestClass.URGENT,
    RequestClass.SHORT,
    RequestClass.LONG,
)


@QUEUES.register("deadline")
class DeadlineQueue(AdmissionQueue):
    """Serves each class by deadline, and long work last."""

    __slots__ = ("_heaps", "_settings")

    def __init__(self, pool: str, settings: QueueSettings) -> None:
        self._settings = settings
        self._heaps = {kind: TicketHeap() for kind in CLASS_ORDER}

    @property
    def queued_by_tenant(self) -> dict[str, int]:
        """Return how many requests wait for each tenant with any."""
        counts: dict[str, int] = {}
        for heap in self._heaps.values():
            for ticket in heap:
                counts[ticket.tenant] = counts.get(ticket.tenant, 0) + 1
        return counts

    def __len__(self) -> int:
        return sum(len(heap) for heap in self._heaps.values())

    def offer(
        self, ticket: Ticket, now: float, capacity: int
    ) -> Refusal | None:
        """Queue a request, or say why not."""
        if ticket.deadline <= now:
            return Refusal(TOO_LATE, "the deadline passed on arrival")
        if len(self) >= self._settings.max_queued:
            return Refusal(QUEUE_FULL, f"{len(self)} requests wait")
        latest = self._latest_start(ticket)
        self._heaps[ticket.request_class].push(latest, ticket)
        return None

    def take(self, now: float) -> Ticket | None:
        """Remove and return the request to start in a free slot, if any."""
        for kind in CLASS_ORDER:
            heap = self._heaps[kind]
            ticket = self._first_startable(heap, now)
            if ticket is not None:
                heap.remove(ticket.ticket_id)
                return ticket
        return None

    def drop_expired(self, now: float) -> list[Ticket]:
        """Remove and return the requests that can't finish in time."""
        expired: list[Ticket] = []
        for heap in self._heaps.values():
            while (latest := heap.peek_key()) is not None and latest <= now:
                ticket = heap.pop()
                if ticket is not None:
                    expired.append(ticket)
        return expired

    def cancel(self, ticket_id: int) -> bool:
        """Remove a waiting request; False where it does not wait."""
        return any(heap.remove(ticket_id) for heap in self._heaps.values())

    def on_started(self, ticket: Ticket, now: float) -> None:
        """Note that a taken request started."""

    def on_finished(
        self, ticket: Ticket, service_s: float, now: float
    ) -> None:
        """Note that a started request ended."""

    def _latest_start(self, ticket: Ticket) -> float:
        """Return the time after which a start is of no use."""
        if ticket.request_class is not RequestClass.URGENT:
            return ticket.deadline
        start_by = ticket.enqueued_at + self._settings.urgent_start_s
        return min(ticket.deadline, start_by)

    def _first_startable(self, heap: TicketHeap, now: float) -> Ticket | None:
        """Return the first ticket of a heap that is not expired."""
        latest = heap.peek_key()
        if latest is None:
            return None
        if latest > now:
            return heap.peek()
        live = [t for t in heap if self._latest_start(t) > now]
        return min(live, key=self._latest_start, default=None)
