"""The measures of a replay, and the outcomes that a trace states for them.

A request is eligible for a measure where its caller waited long enough to
be served and the request can run at all.  Missed requests are compared with
`replay_bound`: what no schedule could have served.  A start on a worker that
fails everything is no start; a request that ended by such failures is
counted as failed, not as missed.
"""

from __future__ import annotations

from collections import Counter
from math import inf
from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.admission_queue import URGENT_START_S
from lycheelug.replay_bound import (
    BoundedRequest,
    CapacityCurve,
    missed_at_least,
)
from lycheelug.replay_requests import RequestEnd
from lycheelug.requests import RequestClass

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from lycheelug.replay_requests import Request
    from lycheelug.traces import Trace

__all__ = [
    "ClassReport",
    "Expectation",
    "ReplayReport",
    "ReportRow",
    "deadline_bound",
    "make_report",
    "shortfalls",
]

DIGITS: Final = 3
# Latest starts lie on floats; a start at the very limit is in time.
EPSILON_S: Final = 1e-9


class ClassReport(msgspec.Struct):
    """How the requests of one class ended; `lost` must be 0."""

    arrived: int
    in_time: int
    late: int
    refused: int
    cancelled: int
    failed: int
    set_aside: int
    unknown: int
    lost: int


class ReportRow(msgspec.Struct):
    """One line of a report's table."""

    measure: str
    value: str


class ReplayReport(msgspec.Struct):
    """All measures of one replay."""

    deployment: str
    policy: str
    trace_seed: int
    seed: int
    classes: dict[str, ClassReport]
    # Refused as not run, by reason.
    refused_by: dict[str, int]
    # Requests without an end: must be 0.
    lost: int
    # Answers that came after the deadline.
    late: int
    # Slot-seconds of runs that ended in time, and of runs that did not.
    useful_slot_s: float
    wasted_slot_s: float
    # Urgent requests that could be started in time, were not, and that no
    # schedule could have started.
    urgent_eligible: int
    urgent_missed: int
    urgent_missed_bound: int
    urgent_wait_p50_s: float
    urgent_wait_p99_s: float
    urgent_wait_max_s: float
    # Urgent and short requests not answered in time, likewise.
    deadline_eligible: int
    deadline_missed: int
    deadline_missed_bound: int
    refusal_delay_p50_s: float
    refusal_delay_p99_s: float
    long_wait_p50_s: float
    long_wait_max_s: float

    @property
    def urgent_excess(self) -> int:
        """Urgent starts missed beyond what no schedule could do."""
        return self.urgent_missed - self.urgent_missed_bound

    @property
    def late_share(self) -> float:
        """Late answers as a share of the requests with a deadline."""
        return self.late / max(1, self.deadline_eligible)

    def rows(self) -> list[ReportRow]:
        """Return the measures as lines of a table."""
        rows: list[ReportRow] = []
        for name in self.__struct_fields__:
            value = getattr(self, name)
            if name == "classes":
                rows.extend(_class_rows(self.classes))
            elif name == "refused_by":
                for reason in sorted(self.refused_by):
                    count = self.refused_by[reason]
                    rows.append(ReportRow(f"refused: {reason}", str(count)))
            else:
                rows.append(ReportRow(name.replace("_", " "), str(value)))
        return rows


class Expectation(msgspec.Struct, omit_defaults=True):
    """A stated outcome: bounds of one measure, and the promise behind it.

    `measure` is a field or property of `ReplayReport`.
    """

    measure: str
    promise: str
    at_most: float | None = None
    at_least: float | None = None


def shortfalls(
    report: ReplayReport, expectations: Iterable[Expectation]
) -> list[str]:
    """Return a sentence for each expectation that a report does not meet."""
    found: list[str] = []
    for expected in expectations:
        value = getattr(report, expected.measure)
        if expected.at_most is not None and value > expected.at_most:
            found.append(
                f"{expected.measure} is {value}, over {expected.at_most}:"
                f" {expected.promise}"
            )
        if expected.at_least is not None and value < expected.at_least:
            found.append(
                f"{expected.measure} is {value}, under {expected.at_least}:"
                f" {expected.promise}"
            )
    return found


def deadline_bound(trace: Trace, requests: Sequence[Request]) -> int:
    """Return how many deadlines every schedule misses, as for any policy."""
    return _bound(trace, _to_answer(requests), _latest_start)


def make_report(
    trace: Trace,
    policy: str,
    seed: int,
    requests: Sequence[Request],
    deadlines_bound: int | None = None,
) -> ReplayReport:
    """Work out the measures of a replay's requests.

    `deadlines_bound` is the trace's `deadline_bound` where it is known.
    """
    if deadlines_bound is None:
        deadlines_bound = deadline_bound(trace, requests)
    urgent = [r for r in requests if _kind(r) is RequestClass.URGENT]
    long = [r for r in requests if _kind(r) is RequestClass.LONG]
    to_start = _to_start(requests)
    to_answer = _to_answer(requests)
    refused = [r for r in requests if r.end is RequestEnd.REFUSED]
    urgent_waits = _waits(urgent)
    long_waits = _waits(long)
    delays = sorted(r.ended_at - r.arrival.at for r in refused)
    return ReplayReport(
        deployment=trace.header.deployment,
        policy=policy,
        trace_seed=trace.header.seed,
        seed=seed,
        classes={
            kind.value: _class_report(
                [r for r in requests if _kind(r) is kind]
            )
            for kind in RequestClass
        },
        refused_by=dict(Counter(r.reason for r in refused)),
        lost=_count(requests, RequestEnd.WAITING),
        late=_count(requests, RequestEnd.LATE),
        useful_slot_s=_slot_s(requests, RequestEnd.IN_TIME),
        wasted_slot_s=_slot_s(requests, RequestEnd.LATE),
        urgent_eligible=len(to_start),
        urgent_missed=sum(_is_start_missed(r) for r in to_start),
        urgent_missed_bound=_bound(
            trace, to_start, _start_limit, starts_only=True
        ),
        urgent_wait_p50_s=_quantile(urgent_waits, 0.5),
        urgent_wait_p99_s=_quantile(urgent_waits, 0.99),
        urgent_wait_max_s=_quantile(urgent_waits, 1.0),
        deadline_eligible=len(to_answer),
        deadline_missed=sum(
            r.end is not RequestEnd.IN_TIME for r in to_answer
        ),
        deadline_missed_bound=deadlines_bound,
        refusal_delay_p50_s=_quantile(delays, 0.5),
        refusal_delay_p99_s=_quantile(delays, 0.99),
        long_wait_p50_s=_quantile(long_waits, 0.5),
        long_wait_max_s=_quantile(long_waits, 1.0),
    )


def _kind(request: Request) -> RequestClass:
    return request.arrival.request_class


def _start_limit(request: Request) -> float:
    """Return until when an urgent request must start."""
    return request.arrival.at + URGENT_START_S


def _latest_start(request: Request) -> float:
    """Return from when a request can't end in time."""
    if _kind(request) is not RequestClass.URGENT:
        return request.latest_start
    return min(request.latest_start, _start_limit(request))


def _waits_until(request: Request, limit: float) -> bool:
    """Whether a request can run, and its caller waited so long."""
    return request.arrival.runnable and request.cancelled_at > limit


def _to_start(requests: Sequence[Request]) -> list[Request]:
    """Return the urgent requests that should start in time."""
    found: list[Request] = []
    for request in requests:
        if _kind(request) is not RequestClass.URGENT:
            continue
        if request.is_failed_by_worker:
            continue
        if _waits_until(request, _start_limit(request)):
            found.append(request)
    return found


def _to_answer(requests: Sequence[Request]) -> list[Request]:
    """Return the urgent and short requests that should end in time."""
    found: list[Request] = []
    for request in requests:
        if _kind(request) is RequestClass.LONG:
            continue
        if _waits_until(request, request.ticket.deadline):
            found.append(request)
    return found


def _is_start_missed(request: Request) -> bool:
    """Whether a request that should start in time did not."""
    return request.started_at > _start_limit(request) + EPSILON_S


def _bound(
    trace: Trace,
    requests: Sequence[Request],
    latest_start: Callable[[Request], float],
    starts_only: bool = False,
) -> int:
    """Return how many requests no schedule could have served."""
    missed = 0
    for pool in trace.header.pools:
        bounded = [
            BoundedRequest(r.arrival.at, latest_start(r), r.actual_s)
            for r in requests
            if r.arrival.pool == pool.name
        ]
        curve = CapacityCurve(trace, pool.name, starts_only)
        missed += missed_at_least(bounded, curve)
    return missed


def _waits(requests: Iterable[Request]) -> list[float]:
    """Return the sorted waits of requests that started."""
    waits = (r.waited_s for r in requests)
    return sorted(wait for wait in waits if wait != inf)


def _count(requests: Iterable[Request], end: RequestEnd) -> int:
    return sum(r.end is end for r in requests)


def _slot_s(requests: Iterable[Request], end: RequestEnd) -> float:
    total_s = sum(r.actual_s for r in requests if r.end is end)
    return round(total_s, DIGITS)


def _quantile(ordered: Sequence[float], q: float) -> float:
    """Return a quantile of sorted values; 0 where there are none."""
    if not ordered:
        return 0.0
    index = min(len(ordered) - 1, int(q * len(ordered)))
    return round(ordered[index], DIGITS)


def _class_report(requests: Sequence[Request]) -> ClassReport:
    return ClassReport(
        arrived=len(requests),
        in_time=_count(requests, RequestEnd.IN_TIME),
        late=_count(requests, RequestEnd.LATE),
        refused=_count(requests, RequestEnd.REFUSED),
        cancelled=_count(requests, RequestEnd.CANCELLED),
        failed=_count(requests, RequestEnd.FAILED),
        set_aside=_count(requests, RequestEnd.SET_ASIDE),
        unknown=_count(requests, RequestEnd.UNKNOWN),
        lost=_count(requests, RequestEnd.WAITING),
    )


def _class_rows(classes: dict[str, ClassReport]) -> list[ReportRow]:
    """Return one row for each class and end."""
    rows: list[ReportRow] = []
    for kind, report in classes.items():
        for name in report.__struct_fields__:
            value = str(getattr(report, name))
            rows.append(ReportRow(f"{kind}: {name.replace('_', ' ')}", value))
    return rows
