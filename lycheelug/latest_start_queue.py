"""Waiting requests of one class with deadlines, by latest start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.queued_work import QueuedWork
from lycheelug.ticket_heap import TicketHeap

if TYPE_CHECKING:
    from lycheelug.admission_queue import Ticket
    from lycheelug.queued_work import Waiting

__all__ = ["DatedQueue"]


class DatedQueue:
    """The waiting tickets of a class with deadlines, by latest start."""

    __slots__ = ("heap", "waiting", "work")

    def __init__(self) -> None:
        self.heap = TicketHeap()
        self.work = QueuedWork()
        self.waiting: dict[int, Waiting] = {}

    def push(self, waiting: Waiting) -> None:
        """Add a ticket."""
        self.heap.push(waiting.latest, waiting.ticket)
        self.work.add(waiting)
        self.waiting[waiting.ticket.ticket_id] = waiting

    def remove(self, ticket_id: int) -> bool:
        """Remove a ticket by its id; False where it is not in."""
        waiting = self.waiting.pop(ticket_id, None)
        if waiting is None:
            return False
        self.heap.remove(ticket_id)
        self.work.remove(waiting)
        if not self.waiting:
            self.waiting.clear()  # gives back the table
        return True

    def pop_expired(self, now: float) -> list[Ticket]:
        """Remove and return the tickets whose latest start has passed."""
        expired: list[Ticket] = []
        while (latest := self.heap.peek_key()) is not None and latest < now:
            ticket = self.heap.peek()
            if ticket is None:
                break
            self.remove(ticket.ticket_id)
            expired.append(ticket)
        return expired
