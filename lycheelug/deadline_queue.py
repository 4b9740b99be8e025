"""The default queue policy: order by latest start, with early rejection.

* Urgent and short requests are ordered by latest start: the deadline minus a
  quantile of measured run times, and for urgent requests at most their start
  limit.  Short requests start before urgent ones only while all urgent
  requests have slack.
* If the queued requests can't all start in time by their expected run times,
  some are rejected at once: short before urgent ones, then those of tenants
  above their fair share of the slots before others, newest first.
* A tenant above its quota is rejected while other tenants wait.
* Long requests have a reserved fraction of the slots, and a cap that leaves
  slots free for the next surge, because a started run is never stopped.

With n queued requests, `offer`, `take` and `cancel` cost O(log n), plus a
scan over the time buckets of latest starts or over the tenants with long
requests.  Shedding excess requests costs O(n log n) per call.  The expected
wait ignores the remaining time of the runs in flight.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.admission_queue import (
    QUEUES,
    AdmissionQueue,
    QueueSettings,
    Refusal,
    Ticket,
)
from lycheelug.errors import QUEUE_FULL, QUOTA_SPENT, TOO_LATE
from lycheelug.latest_start_queue import LatestStartQueue
from lycheelug.long_queue import LongQueue
from lycheelug.queued_work import QueuedTicket, first_overload
from lycheelug.quotas import TenantUsage
from lycheelug.requests import RequestClass
from lycheelug.run_times import RunTimes

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["DeadlineQueue"]

URGENT: Final = RequestClass.URGENT
SHORT: Final = RequestClass.SHORT
LONG: Final = RequestClass.LONG
# The fraction of the maximum queue length that each class may fill.
MAX_FILL: Final = {URGENT: 1.0, SHORT: 0.9, LONG: 0.5}
# Minimum work that shedding one request counts for; without it, requests with
# an expected run time of 0 would not reduce the excess.
MIN_SHED_S: Final = 0.001


@QUEUES.register("deadline")
class DeadlineQueue(AdmissionQueue):
    """Orders by latest start; rejects requests that can't run in time."""

    __slots__ = (
        "_capacity",
        "_charged",
        "_expired",
        "_long",
        "_long_waiting_since",
        "_overloaded_until",
        "_queued_by_tenant",
        "_run_times",
        "_running_long",
        "_settings",
        "_short",
        "_urgent",
        "_usage",
    )

    def __init__(self, pool: str, settings: QueueSettings) -> None:
        self._settings = settings
        self._run_times = RunTimes(
            settings.run_quantile, settings.overload_quantile
        )
        self._usage = TenantUsage(settings.quotas, settings.quota_window_s)
        self._urgent = LatestStartQueue()
        self._short = LatestStartQueue()
        self._long = LongQueue()
        self._queued_by_tenant: dict[str, int] = {}
        # Tickets that `take` found expired and `drop_expired` will return.
        self._expired: dict[int, Ticket] = {}
        # Slot-seconds charged to the tenant for each started ticket, by id.
        self._charged: dict[int, float] = {}
        self._running_long = 0
        # When long requests began to wait with none of them running.
        self._long_waiting_since = 0.0
        self._capacity = 1
        # The time until which the pool counts as overloaded.
        self._overloaded_until = 0.0

    @property
    def queued_by_tenant(self) -> dict[str, int]:
        """Return the number of queued requests by tenant, without zeros."""
        return dict(self._queued_by_tenant)

    def __len__(self) -> int:
        ordered = len(self._urgent.tickets) + len(self._short.tickets)
        return ordered + len(self._long) + len(self._expired)

    def offer(
        self, ticket: Ticket, now: float, capacity: int
    ) -> Refusal | None:
        """Queue a request, or return why it is rejected."""
        self._capacity = max(1, capacity)
        request_class = ticket.request_class
        estimate = self._run_times.estimate(request_class, ticket.tenant)
        latest_start = ticket.deadline - estimate.quantile_s
        if now < self._overloaded_until:
            latest_start = ticket.deadline - estimate.high_quantile_s
        if request_class is URGENT:
            limit = ticket.enqueued_at + self._settings.urgent_start_s
            latest_start = min(latest_start, limit)
        queued = QueuedTicket(ticket, latest_start, estimate.mean_s, now)
        refusal = self._find_refusal(queued, now)
        if refusal is not None:
            return refusal
        if request_class is LONG:
            if not len(self._long):
                self._long_waiting_since = now
            self._long.push(ticket)
        else:
            self._queue_of(request_class).push(queued)
        self._change_count(ticket.tenant, 1)
        return None

    def take(self, now: float) -> Ticket | None:
        """Remove and return the request to start in a free slot, if any."""
        ticket: Ticket | None = None
        if self._is_long_due(now):
            ticket = self._take_long(now)
        if ticket is None:
            ticket = self._take_ordered(now)
        if ticket is None:
            cap = self._settings.long_cap * self._capacity
            if self._running_long < cap:
                ticket = self._take_long(now)
        if ticket is not None:
            self._change_count(ticket.tenant, -1)
        return ticket

    def drop_expired(self, now: float) -> list[Ticket]:
        """Remove and return the requests that can't meet their deadline."""
        self._collect_expired(now)
        for ticket in self._long.pop_expired(now):
            self._expired[ticket.ticket_id] = ticket
        dropped = list(self._expired.values())
        self._expired.clear()
        settings = self._settings
        queues = [self._urgent]
        shed = self._shed(queues, settings.urgent_margin_s, now)
        queues = [self._short, self._urgent]
        shed.extend(self._shed(queues, settings.shed_margin_s, now))
        if shed:
            self._overloaded_until = now + self._settings.overload_s
        dropped.extend(shed)
        for ticket in dropped:
            self._change_count(ticket.tenant, -1)
        return dropped

    def cancel(self, ticket_id: int) -> bool:
        """Remove a queued request; return False if it is not queued."""
        tenant = self._tenant_of(ticket_id)
        if tenant is None:
            return False
        self._expired.pop(ticket_id, None)
        self._urgent.remove(ticket_id)
        self._short.remove(ticket_id)
        self._long.remove(ticket_id)
        self._change_count(tenant, -1)
        return True

    def on_started(self, ticket: Ticket, now: float) -> None:
        """Charge the tenant for the expected run time."""
        request_class = ticket.request_class
        if request_class is LONG:
            self._running_long += 1
        expected_s = self._run_times.estimate(
            request_class, ticket.tenant
        ).mean_s
        self._charged[ticket.ticket_id] = expected_s
        self._usage.charge(ticket.tenant, expected_s, now)

    def on_finished(
        self, ticket: Ticket, service_s: float, now: float, ok: bool = True
    ) -> None:
        """Correct the tenant's charge and record the run time."""
        request_class = ticket.request_class
        if request_class is LONG:
            self._running_long = max(0, self._running_long - 1)
            self._long_waiting_since = now
        charged_s = self._charged.pop(ticket.ticket_id, 0.0)
        self._usage.charge(ticket.tenant, service_s - charged_s, now)
        if ok and service_s > 0.0:
            self._run_times.record(request_class, ticket.tenant, service_s)

    def reconfigure(self, settings: QueueSettings) -> None:
        """Replace the settings; keep queued requests and measurements."""
        self._settings = settings
        self._usage.reconfigure(settings.quotas)
        self._run_times.reconfigure(
            settings.run_quantile, settings.overload_quantile
        )

    def _queue_of(self, request_class: RequestClass) -> LatestStartQueue:
        return self._urgent if request_class is URGENT else self._short

    def _tenant_of(self, ticket_id: int) -> str | None:
        """Return the tenant of a queued ticket, or None."""
        expired = self._expired.get(ticket_id)
        if expired is not None:
            return expired.tenant
        for queue in (self._urgent, self._short):
            queued = queue.tickets.get(ticket_id)
            if queued is not None:
                return queued.ticket.tenant
        return self._long.tenant_of(ticket_id)

    def _change_count(self, tenant: str, change: int) -> None:
        """Change the number of queued requests of a tenant."""
        count = self._queued_by_tenant.get(tenant, 0) + change
        if count:
            self._queued_by_tenant[tenant] = count
        else:
            del self._queued_by_tenant[tenant]

    def _find_refusal(
        self, queued: QueuedTicket, now: float
    ) -> Refusal | None:
        """Return why a request is rejected, or None if it may be queued."""
        ticket = queued.ticket
        if queued.latest_start < now or ticket.deadline <= now:
            return Refusal(
                TOO_LATE,
                "the expected run time exceeds the time to the deadline",
            )
        request_class = ticket.request_class
        count = len(self)
        if count >= self._settings.max_queued * MAX_FILL[request_class]:
            return Refusal(QUEUE_FULL, f"{count} requests are queued")
        if self._is_quota_spent(ticket.tenant, now):
            return Refusal(
                QUOTA_SPENT, f"tenant {ticket.tenant} is over its quota"
            )
        if request_class is not LONG and self._is_overloaded_by(queued, now):
            self._overloaded_until = now + self._settings.overload_s
            return Refusal(
                TOO_LATE, "the queued requests can't all start in time"
            )
        return None

    def _is_quota_spent(self, tenant: str, now: float) -> bool:
        """Whether a tenant is above its quota while others wait."""
        if not self._usage.is_quota_spent(tenant, now, self._capacity):
            return False
        return self._queued_by_tenant.get(tenant, 0) < len(self)

    def _available_slots(self) -> int:
        """Return the number of slots for urgent and short requests."""
        return max(1, self._capacity - self._running_long)

    def _fair_share_sum(self, now: float) -> float:
        return self._usage.fair_share_sum(now, self._capacity)

    def _is_overloaded_by(self, queued: QueuedTicket, now: float) -> bool:
        """Whether requests would start too late if one more is queued.

        Requests of tenants within their fair share are still queued;
        requests of other tenants are shed later to make up for it.
        """
        settings = self._settings
        queues = [self._urgent]
        margin_s = settings.urgent_margin_s
        if queued.ticket.request_class is SHORT:
            queues.append(self._short)
            margin_s = settings.shed_margin_s
        total_s = sum(queue.work.total_s for queue in queues)
        if total_s <= self._available_slots() * (queued.latest_start - now):
            return False
        loads = [queue.work for queue in queues]
        overload = first_overload(
            loads,
            now,
            self._available_slots(),
            margin_s,
            since=queued.latest_start,
        )
        if overload is None:
            return False
        if not settings.fair:
            return True
        tenant = queued.ticket.tenant
        return self._usage.is_over_share(tenant, self._fair_share_sum(now))

    def _shed(
        self, queues: Sequence[LatestStartQueue], margin_s: float, now: float
    ) -> list[Ticket]:
        """Remove requests from the first queue until all can start in time."""
        dropped: list[Ticket] = []
        loads = [queue.work for queue in queues]
        queue = queues[0]
        while queue.tickets:
            overload = first_overload(
                loads, now, self._available_slots(), margin_s
            )
            if overload is None:
                break
            candidates = queue.work.tickets_up_to(overload.bucket)
            if not candidates:
                break
            self._sort_by_shed_order(candidates, now)
            excess_s = overload.excess_s
            while candidates and excess_s > 0:
                candidate = candidates.pop()
                queue.remove(candidate.ticket.ticket_id)
                dropped.append(candidate.ticket)
                excess_s -= max(candidate.expected_s, MIN_SHED_S)
        return dropped

    def _sort_by_shed_order(
        self, candidates: list[QueuedTicket], now: float
    ) -> None:
        """Sort so that the first request to shed comes last."""
        fair_share_sum = self._fair_share_sum(now)
        fair = self._settings.fair
        usage = self._usage

        def rank(candidate: QueuedTicket) -> tuple[bool, float]:
            tenant = candidate.ticket.tenant
            is_over = fair and usage.is_over_share(tenant, fair_share_sum)
            return is_over, candidate.ticket.enqueued_at

        candidates.sort(key=rank)

    def _is_long_due(self, now: float) -> bool:
        """Whether long requests use less than their reserved slots."""
        if not len(self._long):
            return False
        guaranteed = int(self._settings.long_share * self._capacity)
        if guaranteed:
            return self._running_long < guaranteed
        if self._running_long:
            return False
        return now - self._long_waiting_since >= self._settings.long_patience_s

    def _take_long(self, now: float) -> Ticket | None:
        """Remove and return the long request to start."""
        if not len(self._long):
            return None
        return self._long.pop(self._usage, self._fair_share_sum(now), now)

    def _take_ordered(self, now: float) -> Ticket | None:
        """Remove and return the urgent or short request to start."""
        self._collect_expired(now)
        urgent = self._urgent.heap.peek_key()
        short = self._short.heap.peek_key()
        if urgent is None:
            queue = self._short
        elif (
            short is None
            or urgent <= short
            or self._is_urgent_below_guard(now)
        ):
            queue = self._urgent
        else:
            queue = self._short
        ticket = queue.heap.peek()
        if ticket is not None:
            queue.remove(ticket.ticket_id)
        return ticket

    def _is_urgent_below_guard(self, now: float) -> bool:
        """Whether some urgent request has less slack than the guard time."""
        guard_s = self._settings.urgent_guard_s
        work = self._urgent.work
        overload = first_overload(
            [work], now, self._available_slots(), -guard_s
        )
        return overload is not None

    def _collect_expired(self, now: float) -> None:
        """Move expired urgent and short tickets to `_expired`."""
        for queue in (self._urgent, self._short):
            for ticket in queue.pop_expired(now):
                self._expired[ticket.ticket_id] = ticket
