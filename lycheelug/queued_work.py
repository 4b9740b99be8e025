"""The expected work in a queue, bucketed by latest start.

Expected run times are summed per time bucket of latest starts, so that
checking whether all requests can start in time needs no scan over the queued
requests.  Latest starts beyond the horizon share one bucket, which never
counts as overloaded.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheelug.admission_queue import Ticket

__all__ = ["Overload", "QueuedTicket", "QueuedWork", "first_overload"]

BUCKET_S: Final = 0.25
HORIZON_S: Final = 30.0
FAR_BUCKET: Final = 1 << 62


class QueuedTicket:
    """A queued ticket with the estimates made on its arrival."""

    __slots__ = ("bucket", "expected_s", "latest_start", "ticket")

    def __init__(
        self,
        ticket: Ticket,
        latest_start: float,
        expected_s: float,
        now: float,
    ) -> None:
        self.ticket = ticket
        # A request that starts later than this misses its deadline.
        self.latest_start = latest_start
        # The expected run time.
        self.expected_s = expected_s
        self.bucket = FAR_BUCKET
        if latest_start < now + HORIZON_S:
            self.bucket = int(latest_start / BUCKET_S)


class Overload:
    """The first bucket whose work can't start in time, and the excess."""

    __slots__ = ("bucket", "excess_s")

    def __init__(self, bucket: int, excess_s: float) -> None:
        self.bucket = bucket
        self.excess_s = excess_s


class _Bucket:
    """The tickets of one bucket and the sum of their expected run times."""

    __slots__ = ("tickets", "work_s")

    def __init__(self) -> None:
        self.tickets: dict[int, QueuedTicket] = {}
        self.work_s = 0.0


class QueuedWork:
    """Queued tickets by bucket of latest start.

    >>> from lycheelug.admission_queue import Ticket
    >>> from lycheelug.requests import RequestClass
    >>> work = QueuedWork()
    >>> for number in range(4):
    ...     ticket = Ticket(number, "p", "t", RequestClass.SHORT, 0.0, 2.0)
    ...     work.add(QueuedTicket(ticket, 1.0, expected_s=1.0, now=0.0))
    >>> first_overload([work], now=0.0, slots=4, margin_s=0.0) is None
    True
    >>> round(first_overload([work], 0.0, slots=2, margin_s=0.0).excess_s, 1)
    1.5
    """

    __slots__ = ("_buckets", "_total_s")

    def __init__(self) -> None:
        self._buckets: dict[int, _Bucket] = {}
        self._total_s = 0.0

    @property
    def total_s(self) -> float:
        """The sum of all expected run times, in seconds."""
        return self._total_s

    @property
    def buckets(self) -> Iterable[int]:
        """The numbers of the buckets that are not empty."""
        return self._buckets.keys()

    def work_in(self, bucket: int) -> float:
        """Return the expected run seconds of one bucket."""
        found = self._buckets.get(bucket)
        return 0.0 if found is None else found.work_s

    def add(self, queued: QueuedTicket) -> None:
        """Add a ticket."""
        bucket = self._buckets.get(queued.bucket)
        if bucket is None:
            bucket = self._buckets[queued.bucket] = _Bucket()
        bucket.tickets[queued.ticket.ticket_id] = queued
        bucket.work_s += queued.expected_s
        self._total_s += queued.expected_s

    def remove(self, queued: QueuedTicket) -> None:
        """Remove a ticket that was added."""
        bucket = self._buckets[queued.bucket]
        del bucket.tickets[queued.ticket.ticket_id]
        bucket.work_s -= queued.expected_s
        self._total_s -= queued.expected_s
        if not bucket.tickets:
            del self._buckets[queued.bucket]
        if not self._buckets:
            self._total_s = 0.0

    def tickets_up_to(self, last: int) -> list[QueuedTicket]:
        """Return the tickets of all buckets up to and including `last`."""
        found: list[QueuedTicket] = []
        for number, bucket in self._buckets.items():
            if number <= last:
                found.extend(bucket.tickets.values())
        return found


def first_overload(
    loads: Iterable[QueuedWork],
    now: float,
    slots: int,
    margin_s: float,
    since: float = -inf,
) -> Overload | None:
    """Return the first bucket whose work can't start in time, if any.

    A bucket is overloaded if the slots can't do the work of all buckets up
    to it by the end of the bucket.  Buckets that end before `since` are not
    checked, and starts up to `margin_s` too late are tolerated.
    """
    loads = list(loads)
    buckets: set[int] = set()
    for work in loads:
        buckets.update(work.buckets)
    buckets.discard(FAR_BUCKET)
    needed_s = 0.0
    for bucket in sorted(buckets):
        for work in loads:
            needed_s += work.work_in(bucket)
        starts_by = (bucket + 1) * BUCKET_S
        if starts_by < since:
            continue
        available_s = max(0.0, starts_by - now + margin_s) * slots
        if needed_s > available_s:
            return Overload(bucket, needed_s - available_s)
    return None
