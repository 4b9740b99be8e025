"""One pool's waiting jobs in a daemon's view, and whose turn it is.

Tenants take turns: the tenant that this daemon served least goes first,
and within a tenant the job submitted first.  A tenant that comes back
after a pause starts level with the least served one that waits, so it
can't claim the turns that it did not use.

Limits: turns are counted by each daemon for itself, in jobs, not in time.
"""

from __future__ import annotations

import heapq

__all__ = ["JobQueue"]


class JobQueue:
    """Waiting jobs by tenant.

    >>> queue = JobQueue()
    >>> queue.add("job/1", "band", 1.0)
    >>> queue.add("job/2", "band", 2.0)
    >>> queue.add("job/3", "gate", 3.0)
    >>> order = []
    >>> while (name := queue.take()) is not None:
    ...     order.append(name)
    >>> order
    ['job/1', 'job/3', 'job/2']
    """

    __slots__ = ("_heaps", "_tenants", "_turns")

    def __init__(self) -> None:
        # The tenant of each waiting job.
        self._tenants: dict[str, str] = {}
        # Per tenant its jobs by submit time; removed ones are skipped.
        self._heaps: dict[str, list[tuple[float, str]]] = {}
        self._turns: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._tenants)

    def add(self, name: str, tenant: str, submitted_at: float) -> None:
        """Add a waiting job; adding it again changes nothing."""
        if name in self._tenants:
            return
        if tenant not in self._heaps:
            waiting = [self._turns[other] for other in self._heaps]
            level = min(waiting, default=0)
            self._turns[tenant] = max(self._turns.get(tenant, 0), level)
            self._heaps[tenant] = []
        self._tenants[name] = tenant
        heapq.heappush(self._heaps[tenant], (submitted_at, name))

    def remove(self, name: str) -> None:
        """Remove a job that no longer waits."""
        tenant = self._tenants.pop(name, None)
        if tenant is not None:
            self._drop_removed(tenant)

    def take(self) -> str | None:
        """Remove and return the job whose turn it is."""
        if not self._heaps:
            return None
        tenant = min(self._heaps, key=self._turn_order)
        name = self._heaps[tenant][0][1]
        self._turns[tenant] += 1
        self.remove(name)
        return name

    def clear(self) -> None:
        """Forget all jobs, but not the turns taken."""
        self._tenants.clear()
        self._heaps.clear()

    def _turn_order(self, tenant: str) -> tuple[int, float, str]:
        return (self._turns[tenant], self._heaps[tenant][0][0], tenant)

    def _drop_removed(self, tenant: str) -> None:
        """Make sure that a tenant's first entry is a waiting job."""
        heap = self._heaps[tenant]
        while heap and heap[0][1] not in self._tenants:
            heapq.heappop(heap)
        if not heap:
            del self._heaps[tenant]
