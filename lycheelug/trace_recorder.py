"""Records the requests and failures of a daemon as a trace.

A daemon reports each arrival, end and cancellation of a request and each
change of a host.  When the recorder is full, further events are only
counted.  Events of a request whose arrival was dropped are ignored, so the
trace refers to no request that it does not contain.  Times passed in are
monotonic seconds; times in the trace count from the start of recording.
"""

from __future__ import annotations

from operator import attrgetter
from typing import TYPE_CHECKING, Final

from lycheelug.traces import (
    FORMAT,
    VERSION,
    Arrival,
    Cancel,
    Header,
    HostBack,
    HostFailed,
    Trace,
    WorkerBad,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheelug.requests import RequestClass
    from lycheelug.traces import Event, TracePool

__all__ = ["MAX_EVENTS", "TraceRecorder"]

MAX_EVENTS: Final = 20_000
MIN_RUN_S: Final = 0.0001
DIGITS: Final = 4


class TraceRecorder:
    """Records events, up to `max_events`.

    >>> from lycheelug.requests import RequestClass
    >>> recorder = TraceRecorder("guild", [], started_at=100.0)
    >>> recorder.on_arrival(
    ...     7, 100.5, "quotes", "shop", RequestClass.SHORT, 1.0, 4.0
    ... )
    >>> recorder.on_finished(7, 0.25, ok=True)
    >>> recorder.trace(now=101.0).events[0].actual_s
    0.25
    """

    __slots__ = (
        "_arrivals",
        "_deployment",
        "_dropped",
        "_events",
        "_hosts",
        "_max_events",
        "_pools",
        "_started_at",
    )

    def __init__(
        self,
        deployment: str,
        pools: Sequence[TracePool],
        started_at: float,
        max_events: int = MAX_EVENTS,
    ) -> None:
        self._deployment = deployment
        self._pools = list(pools)
        self._hosts = {e.host for pool in pools for e in pool.executors}
        self._started_at = started_at
        self._max_events = max_events
        self._events: list[Event] = []
        self._arrivals: dict[int, Arrival] = {}
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """The number of events that were dropped because of the bound."""
        return self._dropped

    def __len__(self) -> int:
        return len(self._events)

    def on_arrival(
        self,
        ticket_id: int,
        now: float,
        pool: str,
        tenant: str,
        request_class: RequestClass,
        declared_s: float,
        deadline_s: float | None,
        repeatable: bool = True,
    ) -> None:
        """Record a request; `deadline_s` is relative to its arrival."""
        arrival = Arrival(
            at=self._at(now),
            id=ticket_id,
            pool=pool,
            tenant=tenant,
            request_class=request_class,
            declared_s=max(declared_s, MIN_RUN_S),
            deadline_s=deadline_s,
            repeatable=repeatable,
        )
        if self._append(arrival):
            self._arrivals[ticket_id] = arrival

    def on_finished(self, ticket_id: int, service_s: float, ok: bool) -> None:
        """Record the run time of a request whose last run succeeded."""
        arrival = self._arrivals.get(ticket_id)
        if arrival is None or not ok:
            return
        arrival.actual_s = max(round(service_s, DIGITS), MIN_RUN_S)

    def on_set_aside(self, ticket_id: int) -> None:
        """Record that a request failed on every executor it was sent to."""
        arrival = self._arrivals.get(ticket_id)
        if arrival is not None:
            arrival.runnable = False

    def on_cancel(self, ticket_id: int, now: float) -> None:
        """Record that a caller cancelled a request."""
        if ticket_id in self._arrivals:
            self._append(Cancel(self._at(now), ticket_id))

    def on_host_failed(self, host: str, now: float) -> None:
        """Record that a host has failed."""
        if host in self._hosts:
            self._append(HostFailed(self._at(now), host))

    def on_host_back(self, host: str, now: float) -> None:
        """Record that a host has recovered."""
        if host in self._hosts:
            self._append(HostBack(self._at(now), host))

    def on_worker_bad(self, host: str, now: float) -> None:
        """Record that a worker was ejected because it failed every request."""
        if host in self._hosts:
            self._append(WorkerBad(self._at(now), host))

    def trace(self, now: float) -> Trace:
        """Return the events recorded so far as a trace."""
        header = Header(
            format=FORMAT,
            version=VERSION,
            deployment=self._deployment,
            duration_s=self._at(now),
            pools=self._pools,
            dropped=self._dropped,
        )
        return Trace(header, sorted(self._events, key=attrgetter("at")))

    def _at(self, now: float) -> float:
        """Convert a monotonic time to seconds since the start of recording."""
        return round(max(now - self._started_at, 0.0), DIGITS)

    def _append(self, event: Event) -> bool:
        """Append an event, or count it and return False at the bound."""
        if len(self._events) >= self._max_events:
            self._dropped += 1
            return False
        self._events.append(event)
        return True
