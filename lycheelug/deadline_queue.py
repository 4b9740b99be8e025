"""The default queue policy: deadlines, classes, tenants and early refusal.

* Urgent work goes before short work, and short before long.  Within a class
  the request with the earliest latest start goes first; the latest start is
  the deadline less a quantile of measured run times, and for urgent work not
  after its start limit.
* Tenants that used more than their fair share of the slots lately go after
  all others of the class.  A tenant over its quota is refused while others
  wait.
* A request is refused on arrival where the expected work before it takes
  longer than it can wait.
* Long work has a share of the slots that short work does not take, and a
  cap that leaves slots free for the next surge, because a started run is
  never stopped.

`take` looks at one request per waiting tenant; everything else costs
O(log n) in the waiting requests.  The expected wait leaves out the rest of
the runs in flight, and work of other tenants that fairness puts behind.  Long
work past its deadline is dropped when it is the oldest of its tenant.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Final

from lycheelug.admission_queue import (
    QUEUES,
    AdmissionQueue,
    QueueSettings,
    Refusal,
    Ticket,
)
from lycheelug.errors import QUEUE_FULL, QUOTA_SPENT, TOO_LATE
from lycheelug.queued_work import QueuedWork
from lycheelug.quotas import TenantUsage
from lycheelug.requests import RequestClass
from lycheelug.run_times import RunTimes
from lycheelug.ticket_heap import TicketHeap

if TYPE_CHECKING:
    from lycheelug.run_times import Estimate

__all__ = ["DeadlineQueue"]

URGENT: Final = RequestClass.URGENT
SHORT: Final = RequestClass.SHORT
LONG: Final = RequestClass.LONG
# The share of the queue's room that a class may fill.
ROOM: Final = {URGENT: 1.0, SHORT: 0.9, LONG: 0.5}
# Long work is ordered as if it had to start within this time.
LONG_AGING_S: Final = 60.0


class _Waiting:
    """A waiting ticket with what was expected of it on arrival."""

    __slots__ = ("expected_s", "latest", "order", "step", "ticket")

    def __init__(
        self, ticket: Ticket, latest: float, expected_s: float, step: int
    ) -> None:
        self.ticket = ticket
        self.latest = latest
        self.expected_s = expected_s
        self.step = step
        # Long work without a near deadline goes by age.
        self.order = latest
        if ticket.request_class is LONG:
            self.order = min(latest, ticket.enqueued_at + LONG_AGING_S)


class _ClassQueue:
    """The waiting tickets of one class, by tenant."""

    __slots__ = ("by_tenant", "count", "work")

    def __init__(self) -> None:
        self.by_tenant: dict[str, TicketHeap] = {}
        self.work = QueuedWork()
        self.count = 0

    def push(self, waiting: _Waiting) -> None:
        """Add a ticket whose work is already counted."""
        tenant = waiting.ticket.tenant
        heap = self.by_tenant.get(tenant)
        if heap is None:
            heap = self.by_tenant[tenant] = TicketHeap()
        heap.push(waiting.order, waiting.ticket)
        self.count += 1

    def remove(self, waiting: _Waiting) -> None:
        """Remove a ticket and its work."""
        tenant = waiting.ticket.tenant
        heap = self.by_tenant[tenant]
        heap.remove(waiting.ticket.ticket_id)
        if not len(heap):
            del self.by_tenant[tenant]
        self.work.remove(waiting.step, waiting.expected_s)
        self.count -= 1


@QUEUES.register("deadline")
class DeadlineQueue(AdmissionQueue):
    """Serves by class, fair share and latest start; refuses early."""

    __slots__ = (
        "_capacity",
        "_charged",
        "_classes",
        "_expired",
        "_long_since",
        "_pool",
        "_run_times",
        "_running_long",
        "_settings",
        "_usage",
        "_waiting",
    )

    def __init__(self, pool: str, settings: QueueSettings) -> None:
        self._pool = pool
        self._settings = settings
        self._run_times = RunTimes(settings.run_quantile)
        self._usage = TenantUsage(settings.quotas, settings.quota_window_s)
        self._classes = {
            URGENT: _ClassQueue(),
            SHORT: _ClassQueue(),
            LONG: _ClassQueue(),
        }
        self._waiting: dict[int, _Waiting] = {}
        # Found expired by `take`, and not yet dropped.
        self._expired: dict[int, Ticket] = {}
        # Slot-seconds charged to the tenant of each started ticket.
        self._charged: dict[int, float] = {}
        self._running_long = 0
        # Since when long work waits with none running.
        self._long_since = inf
        self._capacity = 1

    @property
    def queued_by_tenant(self) -> dict[str, int]:
        """Return how many requests wait for each tenant with any."""
        counts: dict[str, int] = {}
        for queue in self._classes.values():
            for tenant, heap in queue.by_tenant.items():
                counts[tenant] = counts.get(tenant, 0) + len(heap)
        return counts

    def __len__(self) -> int:
        return len(self._waiting) + len(self._expired)

    def offer(
        self, ticket: Ticket, now: float, capacity: int
    ) -> Refusal | None:
        """Queue a request, or say why not."""
        self._capacity = max(1, capacity)
        kind = ticket.request_class
        estimate = self._run_times.estimate(kind, ticket.tenant)
        latest = self._latest_start(ticket, estimate)
        refusal = self._refusal(ticket, latest, now)
        if refusal is not None:
            return refusal
        queue = self._classes[kind]
        if kind is LONG and not queue.count:
            self._long_since = now
        step = queue.work.add(now, latest, estimate.mean_s)
        waiting = _Waiting(ticket, latest, estimate.mean_s, step)
        queue.push(waiting)
        self._waiting[ticket.ticket_id] = waiting
        return None

    def take(self, now: float) -> Ticket | None:
        """Remove and return the request to start in a free slot, if any."""
        if self._is_long_due(now):
            ticket = self._take_from(LONG, now)
            if ticket is not None:
                return ticket
        for kind in (URGENT, SHORT):
            ticket = self._take_from(kind, now)
            if ticket is not None:
                return ticket
        cap = self._settings.long_cap * self._capacity
        if self._running_long < cap:
            return self._take_from(LONG, now)
        return None

    def drop_expired(self, now: float) -> list[Ticket]:
        """Remove and return the requests that can't finish in time."""
        for kind in (URGENT, SHORT, LONG):
            for heap in list(self._classes[kind].by_tenant.values()):
                self._set_expired_aside(heap, now)
        expired = list(self._expired.values())
        self._expired.clear()
        return expired

    def cancel(self, ticket_id: int) -> bool:
        """Remove a waiting request; False where it does not wait."""
        waiting = self._waiting.pop(ticket_id, None)
        if waiting is None:
            return self._expired.pop(ticket_id, None) is not None
        self._classes[waiting.ticket.request_class].remove(waiting)
        return True

    def on_started(self, ticket: Ticket, now: float) -> None:
        """Charge the tenant with the expected run."""
        kind = ticket.request_class
        if kind is LONG:
            self._running_long += 1
        expected_s = self._run_times.estimate(kind, ticket.tenant).mean_s
        self._charged[ticket.ticket_id] = expected_s
        self._usage.charge(ticket.tenant, expected_s, now)

    def on_finished(
        self, ticket: Ticket, service_s: float, now: float, ok: bool = True
    ) -> None:
        """Put the tenant's charge right and measure the run."""
        kind = ticket.request_class
        if kind is LONG:
            self._running_long = max(0, self._running_long - 1)
            self._long_since = now
        charged_s = self._charged.pop(ticket.ticket_id, 0.0)
        self._usage.charge(ticket.tenant, service_s - charged_s, now)
        if ok:
            self._run_times.record(kind, ticket.tenant, service_s)

    def _latest_start(self, ticket: Ticket, estimate: Estimate) -> float:
        """Return the time after which a start is of no use."""
        latest = ticket.deadline - estimate.quantile_s
        if ticket.request_class is not URGENT:
            return latest
        return min(latest, ticket.enqueued_at + self._settings.urgent_start_s)

    def _refusal(
        self, ticket: Ticket, latest: float, now: float
    ) -> Refusal | None:
        """Say why a request is not queued, if so."""
        kind = ticket.request_class
        if latest < now:
            return Refusal(TOO_LATE, "a run takes longer than the deadline")
        room = self._settings.max_queued * ROOM[kind]
        if len(self) >= room:
            return Refusal(QUEUE_FULL, f"{len(self)} requests wait")
        if self._is_quota_spent(ticket.tenant, now):
            return Refusal(QUOTA_SPENT, f"the share of {ticket.tenant}")
        wait_s = self._expected_wait_s(kind, latest)
        if wait_s > self._settings.wait_margin * (latest - now):
            return Refusal(TOO_LATE, f"{wait_s:.1f} s of work go before")
        return None

    def _is_quota_spent(self, tenant: str, now: float) -> bool:
        """Whether a tenant is over its quota while others wait."""
        if not self._usage.is_quota_spent(tenant, now, self._capacity):
            return False
        own = 0
        for queue in self._classes.values():
            heap = queue.by_tenant.get(tenant)
            own += 0 if heap is None else len(heap)
        return own < len(self._waiting)

    def _expected_wait_s(self, kind: RequestClass, latest: float) -> float:
        """Return how long the work that goes before will take."""
        if kind is LONG:
            return 0.0
        before_s = self._classes[kind].work.before(latest)
        if kind is SHORT:
            before_s += self._classes[URGENT].work.total_s
        slots = max(1, self._capacity - self._running_long)
        return before_s / slots

    def _is_long_due(self, now: float) -> bool:
        """Whether long work has less than its share of the slots."""
        queue = self._classes[LONG]
        if not queue.count:
            return False
        guaranteed = int(self._settings.long_share * self._capacity)
        if guaranteed:
            return self._running_long < guaranteed
        if self._running_long:
            return False
        return now - self._long_since >= self._settings.long_patience_s

    def _take_from(self, kind: RequestClass, now: float) -> Ticket | None:
        """Remove and return the first request of a class."""
        queue = self._classes[kind]
        if not queue.count:
            return None
        fair_sum = inf
        if self._settings.fair:
            fair_sum = self._usage.fair_sum(now, self._capacity)
        best: Ticket | None = None
        best_rank = (True, inf, inf)
        for tenant, heap in list(queue.by_tenant.items()):
            self._set_expired_aside(heap, now)
            ticket = heap.peek()
            if ticket is None:
                continue
            is_over = self._usage.is_over_share(tenant, fair_sum)
            order = self._waiting[ticket.ticket_id].order
            rank = (is_over, order, ticket.enqueued_at)
            if best is None or rank < best_rank:
                best = ticket
                best_rank = rank
        if best is None:
            return None
        queue.remove(self._waiting.pop(best.ticket_id))
        return best

    def _set_expired_aside(self, heap: TicketHeap, now: float) -> None:
        """Move a tenant's expired tickets to those to be dropped."""
        while (ticket := heap.peek()) is not None:
            waiting = self._waiting[ticket.ticket_id]
            if waiting.latest >= now:
                return
            del self._waiting[ticket.ticket_id]
            self._classes[ticket.request_class].remove(waiting)
            self._expired[ticket.ticket_id] = ticket
