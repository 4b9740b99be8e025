"""The default queue policy: earliest latest start, with early refusal.

* Urgent and short work go by latest start: the deadline less a quantile of
  measured run times, and for urgent work not after its start limit.  Short
  work goes before urgent work only while all urgent work has time to spare.
* Where more work waits than can start in time, by its expected run times,
  some is refused at once: short before urgent work, and that of tenants over
  their fair share of the slots before others', newest first.
* A tenant over its quota is refused while others wait.
* Long work has a share of the slots that other work does not take, and a cap
  that leaves slots free for the next surge, because a started run is never
  stopped.

`offer`, `take` and `cancel` cost O(log n) in the waiting requests, and a walk
over the steps of latest start or the tenants with long work.  Refusing what
became too much costs O(n log n) in what waits, once a call.  The expected
wait leaves out what is left of the runs in flight.
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
from lycheelug.latest_start_queue import DatedQueue
from lycheelug.long_queue import LongQueue
from lycheelug.queued_work import Waiting, first_overload
from lycheelug.quotas import TenantUsage
from lycheelug.requests import RequestClass
from lycheelug.run_times import RunTimes

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["DeadlineQueue"]

URGENT: Final = RequestClass.URGENT
SHORT: Final = RequestClass.SHORT
LONG: Final = RequestClass.LONG
# The share of the queue's room that a class may fill.
ROOM: Final = {URGENT: 1.0, SHORT: 0.9, LONG: 0.5}
# What a refused request is taken to relieve at least.
LEAST_WORK_S: Final = 0.001


@QUEUES.register("deadline")
class DeadlineQueue(AdmissionQueue):
    """Serves by latest start; refuses what measured run times rule out."""

    __slots__ = (
        "_capacity",
        "_charged",
        "_expired",
        "_long",
        "_long_since",
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
        self._urgent = DatedQueue()
        self._short = DatedQueue()
        self._long = LongQueue()
        self._queued_by_tenant: dict[str, int] = {}
        # Found expired by `take`, and not yet dropped.
        self._expired: dict[int, Ticket] = {}
        # Slot-seconds charged to the tenant of each started ticket.
        self._charged: dict[int, float] = {}
        self._running_long = 0
        # Since when long work waits with none running.
        self._long_since = 0.0
        self._capacity = 1
        # Until when an overload is taken to last.
        self._overloaded_until = 0.0

    @property
    def queued_by_tenant(self) -> dict[str, int]:
        """Return how many requests wait for each tenant with any."""
        return dict(self._queued_by_tenant)

    def __len__(self) -> int:
        dated = len(self._urgent.waiting) + len(self._short.waiting)
        return dated + len(self._long) + len(self._expired)

    def offer(
        self, ticket: Ticket, now: float, capacity: int
    ) -> Refusal | None:
        """Queue a request, or say why not."""
        self._capacity = max(1, capacity)
        kind = ticket.request_class
        estimate = self._run_times.estimate(kind, ticket.tenant)
        latest = ticket.deadline - estimate.quantile_s
        if now < self._overloaded_until:
            latest = ticket.deadline - estimate.high_s
        if kind is URGENT:
            limit = ticket.enqueued_at + self._settings.urgent_start_s
            latest = min(latest, limit)
        waiting = Waiting(ticket, latest, estimate.mean_s, now)
        refusal = self._refusal(waiting, now)
        if refusal is not None:
            return refusal
        if kind is LONG:
            if not len(self._long):
                self._long_since = now
            self._long.push(ticket)
        else:
            self._dated(kind).push(waiting)
        self._count(ticket.tenant, 1)
        return None

    def take(self, now: float) -> Ticket | None:
        """Remove and return the request to start in a free slot, if any."""
        ticket: Ticket | None = None
        if self._is_long_due(now):
            ticket = self._take_long(now)
        if ticket is None:
            ticket = self._take_dated(now)
        if ticket is None:
            cap = self._settings.long_cap * self._capacity
            if self._running_long < cap:
                ticket = self._take_long(now)
        if ticket is not None:
            self._count(ticket.tenant, -1)
        return ticket

    def drop_expired(self, now: float) -> list[Ticket]:
        """Remove and return the requests that can't finish in time."""
        self._set_expired_aside(now)
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
            self._count(ticket.tenant, -1)
        return dropped

    def cancel(self, ticket_id: int) -> bool:
        """Remove a waiting request; False where it does not wait."""
        tenant = self._tenant_of(ticket_id)
        if tenant is None:
            return False
        self._expired.pop(ticket_id, None)
        self._urgent.remove(ticket_id)
        self._short.remove(ticket_id)
        self._long.remove(ticket_id)
        self._count(tenant, -1)
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
        if ok and service_s > 0.0:
            self._run_times.record(kind, ticket.tenant, service_s)

    def reconfigure(self, settings: QueueSettings) -> None:
        """Go on with other settings; what waits and was measured stays."""
        self._settings = settings
        self._usage.reconfigure(settings.quotas)
        self._run_times.reconfigure(
            settings.run_quantile, settings.overload_quantile
        )

    def _dated(self, kind: RequestClass) -> DatedQueue:
        return self._urgent if kind is URGENT else self._short

    def _tenant_of(self, ticket_id: int) -> str | None:
        """Return the tenant of a waiting ticket, or None."""
        expired = self._expired.get(ticket_id)
        if expired is not None:
            return expired.tenant
        for queue in (self._urgent, self._short):
            waiting = queue.waiting.get(ticket_id)
            if waiting is not None:
                return waiting.ticket.tenant
        return self._long.tenant_of(ticket_id)

    def _count(self, tenant: str, change: int) -> None:
        """Keep the count of a tenant's waiting requests."""
        count = self._queued_by_tenant.get(tenant, 0) + change
        if count:
            self._queued_by_tenant[tenant] = count
        else:
            del self._queued_by_tenant[tenant]

    def _refusal(self, waiting: Waiting, now: float) -> Refusal | None:
        """Say why a request is not queued, if so."""
        ticket = waiting.ticket
        if waiting.latest < now or ticket.deadline <= now:
            return Refusal(TOO_LATE, "a run takes longer than the deadline")
        kind = ticket.request_class
        count = len(self)
        if count >= self._settings.max_queued * ROOM[kind]:
            return Refusal(QUEUE_FULL, f"{count} requests wait")
        if self._is_quota_spent(ticket.tenant, now):
            return Refusal(QUOTA_SPENT, f"the share of {ticket.tenant}")
        if kind is not LONG and self._is_too_much(waiting, now):
            self._overloaded_until = now + self._settings.overload_s
            return Refusal(TOO_LATE, "the work before it takes too long")
        return None

    def _is_quota_spent(self, tenant: str, now: float) -> bool:
        """Whether a tenant is over its quota while others wait."""
        if not self._usage.is_quota_spent(tenant, now, self._capacity):
            return False
        return self._queued_by_tenant.get(tenant, 0) < len(self)

    def _slots(self) -> int:
        """Return the slots that urgent and short work can use."""
        return max(1, self._capacity - self._running_long)

    def _fair_sum(self, now: float) -> float:
        return self._usage.fair_sum(now, self._capacity)

    def _is_too_much(self, waiting: Waiting, now: float) -> bool:
        """Whether work can't start in time if a request is added.

        A tenant within its fair share is let in; what others have waiting
        is refused for it.
        """
        settings = self._settings
        queues = [self._urgent]
        margin_s = settings.urgent_margin_s
        if waiting.ticket.request_class is SHORT:
            queues.append(self._short)
            margin_s = settings.shed_margin_s
        total_s = sum(queue.work.total_s for queue in queues)
        if total_s <= self._slots() * (waiting.latest - now):
            return False
        works = [queue.work for queue in queues]
        overload = first_overload(
            works, now, self._slots(), margin_s, since=waiting.latest
        )
        if overload is None:
            return False
        if not settings.fair:
            return True
        tenant = waiting.ticket.tenant
        return self._usage.is_over_share(tenant, self._fair_sum(now))

    def _shed(
        self, queues: Sequence[DatedQueue], margin_s: float, now: float
    ) -> list[Ticket]:
        """Remove from the first queue what makes all of them too much."""
        dropped: list[Ticket] = []
        works = [queue.work for queue in queues]
        queue = queues[0]
        while queue.waiting:
            overload = first_overload(works, now, self._slots(), margin_s)
            if overload is None:
                break
            victims = queue.work.up_to(overload.step)
            if not victims:
                break
            self._sort_victims(victims, now)
            excess_s = overload.excess_s
            while victims and excess_s > 0:
                victim = victims.pop()
                queue.remove(victim.ticket.ticket_id)
                dropped.append(victim.ticket)
                excess_s -= max(victim.expected_s, LEAST_WORK_S)
        return dropped

    def _sort_victims(self, victims: list[Waiting], now: float) -> None:
        """Sort so that what is refused first comes last."""
        fair_sum = self._fair_sum(now)
        fair = self._settings.fair
        usage = self._usage

        def rank(victim: Waiting) -> tuple[bool, float]:
            tenant = victim.ticket.tenant
            is_over = fair and usage.is_over_share(tenant, fair_sum)
            return is_over, victim.ticket.enqueued_at

        victims.sort(key=rank)

    def _is_long_due(self, now: float) -> bool:
        """Whether long work has less than its share of the slots."""
        if not len(self._long):
            return False
        guaranteed = int(self._settings.long_share * self._capacity)
        if guaranteed:
            return self._running_long < guaranteed
        if self._running_long:
            return False
        return now - self._long_since >= self._settings.long_patience_s

    def _take_long(self, now: float) -> Ticket | None:
        """Remove and return the long request to start."""
        if not len(self._long):
            return None
        return self._long.pop(self._usage, self._fair_sum(now), now)

    def _take_dated(self, now: float) -> Ticket | None:
        """Remove and return the urgent or short request to start."""
        self._set_expired_aside(now)
        urgent = self._urgent.heap.peek_key()
        short = self._short.heap.peek_key()
        if urgent is None:
            queue = self._short
        elif short is None or urgent <= short or self._is_urgent_tight(now):
            queue = self._urgent
        else:
            queue = self._short
        ticket = queue.heap.peek()
        if ticket is not None:
            queue.remove(ticket.ticket_id)
        return ticket

    def _is_urgent_tight(self, now: float) -> bool:
        """Whether urgent work has no time to let short work go first."""
        guard_s = self._settings.urgent_guard_s
        work = self._urgent.work
        overload = first_overload([work], now, self._slots(), -guard_s)
        return overload is not None

    def _set_expired_aside(self, now: float) -> None:
        """Move expired urgent and short tickets to those to be dropped."""
        for queue in (self._urgent, self._short):
            for ticket in queue.pop_expired(now):
                self._expired[ticket.ticket_id] = ticket
