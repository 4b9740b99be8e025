"""Queue policies that the default is measured against.

`fifo` serves in order of arrival.  `fixed-limit` does too, and refuses
where as many requests wait as the pool has slots.  `earliest-deadline`
serves by deadline alone.  All three drop what is past its deadline, and
know neither classes, tenants nor run times.
"""

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
from lycheelug.ticket_heap import TicketHeap

__all__ = ["EarliestDeadlineQueue", "FifoQueue", "FixedLimitQueue"]

# Requests that may wait for each slot under the fixed limit.
WAITING_PER_SLOT: Final = 1


@QUEUES.register("fifo")
class FifoQueue(AdmissionQueue):
    """First come, first served."""

    __slots__ = ("_by_deadline", "_by_order", "_settings")

    def __init__(self, pool: str, settings: QueueSettings) -> None:
        self._settings = settings
        self._by_order = TicketHeap()
        self._by_deadline = TicketHeap()

    @property
    def queued_by_tenant(self) -> dict[str, int]:
        """Return how many requests wait for each tenant with any."""
        counts: dict[str, int] = {}
        for ticket in self._by_deadline:
            counts[ticket.tenant] = counts.get(ticket.tenant, 0) + 1
        return counts

    def __len__(self) -> int:
        return len(self._by_deadline)

    def offer(
        self, ticket: Ticket, now: float, capacity: int
    ) -> Refusal | None:
        """Queue a request, or say why not."""
        if ticket.deadline <= now:
            return Refusal(TOO_LATE, "the deadline has passed")
        if len(self) >= self._room(capacity):
            return Refusal(QUEUE_FULL, f"{len(self)} requests wait")
        self._by_order.push(self._order(ticket), ticket)
        self._by_deadline.push(ticket.deadline, ticket)
        return None

    def take(self, now: float) -> Ticket | None:
        """Remove and return the request to start in a free slot, if any."""
        while (ticket := self._by_order.pop()) is not None:
            if ticket.deadline <= now:
                # Still in the other heap, from which it is dropped.
                continue
            self._by_deadline.remove(ticket.ticket_id)
            return ticket
        return None

    def drop_expired(self, now: float) -> list[Ticket]:
        """Remove and return the requests whose deadline has passed."""
        expired: list[Ticket] = []
        while (key := self._by_deadline.peek_key()) is not None:
            if key > now:
                break
            ticket = self._by_deadline.pop()
            if ticket is None:
                break
            self._by_order.remove(ticket.ticket_id)
            expired.append(ticket)
        return expired

    def cancel(self, ticket_id: int) -> bool:
        """Remove a waiting request; False where it does not wait."""
        self._by_order.remove(ticket_id)
        return self._by_deadline.remove(ticket_id)

    def on_started(self, ticket: Ticket, now: float) -> None:
        """Count nothing: starts do not matter here."""

    def on_finished(
        self, ticket: Ticket, service_s: float, now: float, ok: bool = True
    ) -> None:
        """Measure nothing: run times do not matter here."""

    def reconfigure(self, settings: QueueSettings) -> None:
        """Go on with other settings."""
        self._settings = settings

    def _order(self, ticket: Ticket) -> float:
        """Return the key by which tickets are served."""
        return 0.0

    def _room(self, capacity: int) -> int:
        """Return how many requests may wait."""
        return self._settings.max_queued


@QUEUES.register("fixed-limit")
class FixedLimitQueue(FifoQueue):
    """First come, first served, with as many waiting as there are slots."""

    __slots__ = ()

    def _room(self, capacity: int) -> int:
        return min(self._settings.max_queued, WAITING_PER_SLOT * capacity)


@QUEUES.register("earliest-deadline")
class EarliestDeadlineQueue(FifoQueue):
    """Earliest deadline first, whatever the class."""

    __slots__ = ()

    def _order(self, ticket: Ticket) -> float:
        return ticket.deadline
