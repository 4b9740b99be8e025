"""The queue of urgent or short requests, ordered by latest start.

Combines a heap, which gives the next ticket, with the sums of expected work
by latest start, which show whether all tickets can start in time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.queued_work import QueuedWork
from lycheelug.ticket_heap import TicketHeap

if TYPE_CHECKING:
    from lycheelug.admission_queue import Ticket
    from lycheelug.queued_work import QueuedTicket

__all__ = ["LatestStartQueue"]


class LatestStartQueue:
    """The queued tickets of one request class, ordered by latest start."""

    __slots__ = ("heap", "tickets", "work")

    def __init__(self) -> None:
        self.heap = TicketHeap()
        self.work = QueuedWork()
        self.tickets: dict[int, QueuedTicket] = {}

    def push(self, queued: QueuedTicket) -> None:
        """Add a ticket."""
        self.heap.push(queued.latest_start, queued.ticket)
        self.work.add(queued)
        self.tickets[queued.ticket.ticket_id] = queued

    def remove(self, ticket_id: int) -> bool:
        """Remove a ticket by its id; return False if it is not queued."""
        queued = self.tickets.pop(ticket_id, None)
        if queued is None:
            return False
        self.heap.remove(ticket_id)
        self.work.remove(queued)
        if not self.tickets:
            self.tickets.clear()  # frees the hash table
        return True

    def pop_expired(self, now: float) -> list[Ticket]:
        """Remove and return the tickets whose latest start has passed."""
        expired: list[Ticket] = []
        while (
            latest_start := self.heap.peek_key()
        ) is not None and latest_start < now:
            ticket = self.heap.peek()
            if ticket is None:
                break
            self.remove(ticket.ticket_id)
            expired.append(ticket)
        return expired
