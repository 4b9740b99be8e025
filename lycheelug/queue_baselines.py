"""Baseline queue policies, for comparison with the default.

`fifo` starts requests in order of arrival.  `fixed-limit` does the same, and
rejects requests while as many are queued as the pool has slots.
`earliest-deadline` orders by deadline alone.  All three drop requests whose
deadline has passed, and ignore request classes, tenants and run times.
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

# Maximum number of queued requests per slot under the fixed limit.
WAITING_PER_SLOT: Final = 1


@QUEUES.register("fifo")
class FifoQueue(AdmissionQueue):
    """Starts requests in order of arrival."""

    __slots__ = ("_by_deadline", "_by_order", "_settings")

    def __init__(self, pool: str, settings: QueueSettings) -> None:
        self._settings = settings
        self._by_order = TicketHeap()
        self._by_deadline = TicketHeap()

    @property
    def queued_by_tenant(self) -> dict[str, int]:
        """Return the number of queued requests by tenant, without zeros."""
        counts: dict[str, int] = {}
        for ticket in self._by_deadline:
            counts[ticket.tenant] = counts.get(ticket.tenant, 0) + 1
        return counts

    def __len__(self) -> int:
        return len(self._by_deadline)

    def offer(
        self, ticket: Ticket, now: float, capacity: int
    ) -> Refusal | None:
        """Queue a request, or return why it is rejected."""
        if ticket.deadline <= now:
            return Refusal(TOO_LATE, "the deadline has passed")
        if len(self) >= self._max_waiting(capacity):
            return Refusal(QUEUE_FULL, f"{len(self)} requests are queued")
        self._by_order.push(self._order_key(ticket), ticket)
        self._by_deadline.push(ticket.deadline, ticket)
        return None

    def take(self, now: float) -> Ticket | None:
        """Remove and return the request to start in a free slot, if any."""
        while (ticket := self._by_order.pop()) is not None:
            if ticket.deadline <= now:
                # The ticket stays in the other heap until `drop_expired`.
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
        """Remove a queued request; return False if it is not queued."""
        self._by_order.remove(ticket_id)
        return self._by_deadline.remove(ticket_id)

    def on_started(self, ticket: Ticket, now: float) -> None:
        """Do nothing: the order does not depend on running requests."""

    def on_finished(
        self, ticket: Ticket, service_s: float, now: float, ok: bool = True
    ) -> None:
        """Do nothing: the order does not depend on run times."""

    def reconfigure(self, settings: QueueSettings) -> None:
        """Replace the settings; keep queued requests."""
        self._settings = settings

    def _order_key(self, ticket: Ticket) -> float:
        """Return the key that orders the tickets."""
        return 0.0

    def _max_waiting(self, capacity: int) -> int:
        """Return the maximum number of queued requests."""
        return self._settings.max_queued


@QUEUES.register("fixed-limit")
class FixedLimitQueue(FifoQueue):
    """Starts in order of arrival; queues at most one request per slot."""

    __slots__ = ()

    def _max_waiting(self, capacity: int) -> int:
        return min(self._settings.max_queued, WAITING_PER_SLOT * capacity)


@QUEUES.register("earliest-deadline")
class EarliestDeadlineQueue(FifoQueue):
    """Orders by deadline, regardless of the request class."""

    __slots__ = ()

    def _order_key(self, ticket: Ticket) -> float:
        return ticket.deadline
