"""A heap of tickets that supports the removal of any ticket.

Removal is lazy: the entry stays in the heap and is skipped later.  The heap
is rebuilt when removed entries outnumber live ones, so that it never holds
more than twice its live tickets (plus a small constant), and each operation
costs O(log n) amortized.
"""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lycheelug.admission_queue import Ticket

__all__ = ["TicketHeap"]

MIN_REBUILD: Final = 16


class TicketHeap:
    """Tickets ordered by a key, then by arrival.

    >>> from lycheelug.admission_queue import Ticket
    >>> from lycheelug.requests import RequestClass
    >>> heap = TicketHeap()
    >>> for number in range(3):
    ...     ticket = Ticket(number, "p", "t", RequestClass.SHORT, 0.0)
    ...     heap.push(float(-number), ticket)
    >>> heap.remove(2)
    True
    >>> heap.pop()
    Ticket(1, short)
    >>> len(heap)
    1
    """

    __slots__ = ("_entries", "_live", "_sequence")

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, int]] = []
        self._live: dict[int, tuple[Ticket, float]] = {}
        self._sequence = 0

    @property
    def stored_entries(self) -> int:
        """The number of heap entries, including removed ones."""
        return len(self._entries)

    def __len__(self) -> int:
        return len(self._live)

    def __contains__(self, ticket_id: object) -> bool:
        return ticket_id in self._live

    def __iter__(self) -> Iterator[Ticket]:
        for ticket, _ in self._live.values():
            yield ticket

    def push(self, key: float, ticket: Ticket) -> None:
        """Add a ticket; raise ValueError if its id is already queued."""
        if ticket.ticket_id in self._live:
            raise ValueError(f"ticket {ticket.ticket_id} is already queued")
        self._sequence += 1
        self._live[ticket.ticket_id] = (ticket, key)
        heappush(self._entries, (key, self._sequence, ticket.ticket_id))

    def peek(self) -> Ticket | None:
        """Return the first ticket without removing it."""
        self._skip_removed()
        if not self._entries:
            return None
        return self._live[self._entries[0][2]][0]

    def peek_key(self) -> float | None:
        """Return the first ticket's key."""
        self._skip_removed()
        return self._entries[0][0] if self._entries else None

    def pop(self) -> Ticket | None:
        """Remove and return the first ticket."""
        ticket = self.peek()
        if ticket is None:
            return None
        heappop(self._entries)
        del self._live[ticket.ticket_id]
        self._free_if_empty()
        return ticket

    def remove(self, ticket_id: int) -> bool:
        """Remove a ticket by its id; return False if it is not queued."""
        if self._live.pop(ticket_id, None) is None:
            return False
        if len(self._entries) > 2 * len(self._live) + MIN_REBUILD:
            self._rebuild()
        self._free_if_empty()
        return True

    def _skip_removed(self) -> None:
        """Pop removed entries from the top of the heap."""
        while self._entries and not self._is_live(self._entries[0]):
            heappop(self._entries)

    def _is_live(self, entry: tuple[float, int, int]) -> bool:
        return entry[2] in self._live

    def _rebuild(self) -> None:
        """Drop all removed entries at once."""
        self._entries = [e for e in self._entries if self._is_live(e)]
        heapify(self._entries)
        # A dict does not shrink when entries are deleted; a copy does.
        self._live = dict(self._live)

    def _free_if_empty(self) -> None:
        """Free the memory that the heap needed at its largest size."""
        if self._live:
            return
        self._live.clear()
        self._entries.clear()
