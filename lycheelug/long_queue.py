"""Waiting long work of one pool: by age, and fair between tenants.

Tenants that used more than their fair share of the slots lately go after
the others; within that, the oldest request goes first, unless another one
has a near deadline.  No request is passed over for ever: a tenant over its
share is one that was served.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Final

from lycheelug.ticket_heap import TicketHeap

if TYPE_CHECKING:
    from lycheelug.admission_queue import Ticket
    from lycheelug.quotas import TenantUsage

__all__ = ["LongQueue"]

# Requests are ordered as if they had to start within this time.
AGING_S: Final = 60.0


class LongQueue:
    """Long tickets by tenant; the latest start of each is its deadline."""

    __slots__ = ("_by_tenant", "_tenants")

    def __init__(self) -> None:
        self._by_tenant: dict[str, TicketHeap] = {}
        # The tenant of each waiting ticket.
        self._tenants: dict[int, str] = {}

    @property
    def by_tenant(self) -> dict[str, int]:
        """Return how many tickets wait for each tenant with any."""
        return {name: len(heap) for name, heap in self._by_tenant.items()}

    def __len__(self) -> int:
        return len(self._tenants)

    def tenant_of(self, ticket_id: int) -> str | None:
        """Return the tenant of a waiting ticket, or None."""
        return self._tenants.get(ticket_id)

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        heap = self._by_tenant.get(ticket.tenant)
        if heap is None:
            heap = self._by_tenant[ticket.tenant] = TicketHeap()
        heap.push(_order(ticket), ticket)
        self._tenants[ticket.ticket_id] = ticket.tenant

    def remove(self, ticket_id: int) -> bool:
        """Remove a ticket by its id; False where it is not in."""
        tenant = self._tenants.pop(ticket_id, None)
        if tenant is None:
            return False
        heap = self._by_tenant[tenant]
        heap.remove(ticket_id)
        if not len(heap):
            del self._by_tenant[tenant]
        if not self._tenants:
            # Frees the table, which deletions leave at its largest size.
            self._tenants.clear()
        return True

    def pop(
        self, usage: TenantUsage, fair_sum: float, now: float
    ) -> Ticket | None:
        """Remove and return the ticket to start, passing expired ones."""
        best: Ticket | None = None
        best_rank = (True, inf)
        for tenant, heap in self._by_tenant.items():
            ticket = heap.peek()
            if ticket is None or ticket.deadline <= now:
                continue
            rank = (usage.is_over_share(tenant, fair_sum), _order(ticket))
            if best is None or rank < best_rank:
                best = ticket
                best_rank = rank
        if best is not None:
            self.remove(best.ticket_id)
        return best

    def pop_expired(self, now: float) -> list[Ticket]:
        """Remove and return tickets at the head of a tenant that expired."""
        expired: list[Ticket] = []
        for heap in list(self._by_tenant.values()):
            while (ticket := heap.peek()) is not None:
                if ticket.deadline > now:
                    break
                self.remove(ticket.ticket_id)
                expired.append(ticket)
        return expired


def _order(ticket: Ticket) -> float:
    """Return the key by which a tenant's tickets are served."""
    return min(ticket.deadline, ticket.enqueued_at + AGING_S)
