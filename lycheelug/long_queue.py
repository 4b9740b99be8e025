"""The queue of a pool's long requests: by age, and fair between tenants.

Tenants that recently used more than their fair share of the slots come after
the others.  Among equals the oldest request comes first, unless another one
has a near deadline.  No request starves: a tenant is above its share only if
its requests have been running.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Final

from lycheelug.ticket_heap import TicketHeap

if TYPE_CHECKING:
    from lycheelug.admission_queue import Ticket
    from lycheelug.quotas import TenantUsage

__all__ = ["LongQueue"]

# Requests are ordered as if they had to start within this time after their
# arrival.
AGING_S: Final = 60.0


class LongQueue:
    """Long tickets in one heap per tenant.

    A ticket expires at its deadline; run times are not taken into account.
    """

    __slots__ = ("_heaps", "_tenant_by_id")

    def __init__(self) -> None:
        self._heaps: dict[str, TicketHeap] = {}
        # The tenant of each queued ticket, by ticket id.
        self._tenant_by_id: dict[int, str] = {}

    @property
    def by_tenant(self) -> dict[str, int]:
        """Return the number of queued tickets by tenant, without zeros."""
        return {name: len(heap) for name, heap in self._heaps.items()}

    def __len__(self) -> int:
        return len(self._tenant_by_id)

    def tenant_of(self, ticket_id: int) -> str | None:
        """Return the tenant of a queued ticket, or None."""
        return self._tenant_by_id.get(ticket_id)

    def push(self, ticket: Ticket) -> None:
        """Add a ticket."""
        heap = self._heaps.get(ticket.tenant)
        if heap is None:
            heap = self._heaps[ticket.tenant] = TicketHeap()
        heap.push(_order_key(ticket), ticket)
        self._tenant_by_id[ticket.ticket_id] = ticket.tenant

    def remove(self, ticket_id: int) -> bool:
        """Remove a ticket by its id; return False if it is not queued."""
        tenant = self._tenant_by_id.pop(ticket_id, None)
        if tenant is None:
            return False
        heap = self._heaps[tenant]
        heap.remove(ticket_id)
        if not len(heap):
            del self._heaps[tenant]
        if not self._tenant_by_id:
            # Frees the hash table, which deletions leave at its largest size.
            self._tenant_by_id.clear()
        return True

    def pop(
        self, usage: TenantUsage, fair_share_sum: float, now: float
    ) -> Ticket | None:
        """Remove and return the ticket to start, skipping expired ones."""
        best: Ticket | None = None
        best_rank = (True, inf)
        for tenant, heap in self._heaps.items():
            ticket = heap.peek()
            if ticket is None or ticket.deadline <= now:
                continue
            rank = (
                usage.is_over_share(tenant, fair_share_sum),
                _order_key(ticket),
            )
            if best is None or rank < best_rank:
                best = ticket
                best_rank = rank
        if best is not None:
            self.remove(best.ticket_id)
        return best

    def pop_expired(self, now: float) -> list[Ticket]:
        """Remove and return expired tickets at the head of a tenant's heap."""
        expired: list[Ticket] = []
        for heap in list(self._heaps.values()):
            while (ticket := heap.peek()) is not None:
                if ticket.deadline > now:
                    break
                self.remove(ticket.ticket_id)
                expired.append(ticket)
        return expired


def _order_key(ticket: Ticket) -> float:
    """Return the key that orders the tickets of a tenant."""
    return min(ticket.deadline, ticket.enqueued_at + AGING_S)
