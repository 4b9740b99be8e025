"""Fair queue of one pool's waiting jobs, as known to one daemon.

The tenant that was served least often goes first; the jobs of a tenant are
ordered by submission time. A tenant that had no waiting jobs for a while
starts with at least the count of the least served tenant that waits, so it
gets no credit for the time in which it did not use its share.

Limits: each daemon keeps its own counts, and counts jobs rather than their
run time.
"""

from __future__ import annotations

import heapq

__all__ = ["JobQueue"]


class JobQueue:
    """Waiting jobs, fairly ordered among tenants.

    >>> queue = JobQueue()
    >>> queue.add("job/1", "band", 1.0)
    >>> queue.add("job/2", "band", 2.0)
    >>> queue.add("job/3", "gate", 3.0)
    >>> order = []
    >>> while (name := queue.pop()) is not None:
    ...     order.append(name)
    >>> order
    ['job/1', 'job/3', 'job/2']
    """

    __slots__ = ("_heaps", "_served", "_tenants")

    def __init__(self) -> None:
        # The tenant of each waiting job, by job name.
        self._tenants: dict[str, str] = {}
        # A heap of jobs by submission time for each tenant. Removed jobs
        # stay in the heap and are skipped.
        self._heaps: dict[str, list[tuple[float, str]]] = {}
        self._served: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._tenants)

    def add(self, name: str, tenant: str, submitted_at: float) -> None:
        """Add a waiting job, unless the queue already has it."""
        if name in self._tenants:
            return
        if tenant not in self._heaps:
            served_counts = [self._served[other] for other in self._heaps]
            least_served = min(served_counts, default=0)
            self._served[tenant] = max(
                self._served.get(tenant, 0), least_served
            )
            self._heaps[tenant] = []
        self._tenants[name] = tenant
        heapq.heappush(self._heaps[tenant], (submitted_at, name))

    def remove(self, name: str) -> None:
        """Remove a job that is no longer waiting."""
        tenant = self._tenants.pop(name, None)
        if tenant is not None:
            self._drop_removed(tenant)

    def pop(self) -> str | None:
        """Remove and return the next job, or None if the queue is empty."""
        if not self._heaps:
            return None
        tenant = min(self._heaps, key=self._service_order)
        name = self._heaps[tenant][0][1]
        self._served[tenant] += 1
        self.remove(name)
        return name

    def clear(self) -> None:
        """Remove all jobs, but keep the counts of jobs served."""
        self._tenants.clear()
        self._heaps.clear()

    def _service_order(self, tenant: str) -> tuple[int, float, str]:
        return (self._served[tenant], self._heaps[tenant][0][0], tenant)

    def _drop_removed(self, tenant: str) -> None:
        """Discard removed jobs from the top of a tenant's heap."""
        heap = self._heaps[tenant]
        while heap and heap[0][1] not in self._tenants:
            heapq.heappop(heap)
        if not heap:
            del self._heaps[tenant]
