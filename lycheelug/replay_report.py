"""The measures of a replay, and the outcomes that are expected of them.

A request is eligible for a measure if its caller waited long enough for it
to be served and the request can succeed at all.  Missed requests are
compared with the lower bound of `replay_bound`.  A start on a worker that
fails every run does not count; a request that ended because of such
failures counts as failed, not as missed.
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
    min_missed_starts,
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
    "unmet_expectations",
]

DIGITS: Final = 3
# Tolerance for rounding errors: a start exactly at the limit is in time.
EPSILON_S: Final = 1e-9


class ClassReport(msgspec.Struct):
    """How many requests of one class ended in each way.

    `lost` must be 0.
    """

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
    """One row of a report's table."""

    measure: str
    value: str


class ReplayReport(msgspec.Struct):
    """All measures of one replay."""

    deployment: str
    policy: str
    trace_seed: int
    seed: int
    classes: dict[str, ClassReport]
    # Requests refused as not run, by reason.
    refused_by: dict[str, int]
    # Requests that never ended; must be 0.
    lost: int
    # Answers after the deadline.
    late: int
    # Slot-seconds of runs that ended in time, and of runs that ended late.
    useful_slot_s: float
    wasted_slot_s: float
    # Urgent requests that should start in time, those that did not, and
    # how many of them every schedule misses.
    urgent_eligible: int
    urgent_missed: int
    urgent_missed_bound: int
    urgent_wait_p50_s: float
    urgent_wait_p99_s: float
    urgent_wait_max_s: float
    # The same for urgent and short requests that should be answered by
    # their deadline.
    deadline_eligible: int
    deadline_missed: int
    deadline_missed_bound: int
    refusal_delay_p50_s: float
    refusal_delay_p99_s: float
    long_wait_p50_s: float
    long_wait_max_s: float

    @property
    def urgent_excess(self) -> int:
        """The missed urgent starts in excess of the lower bound."""
        return self.urgent_missed - self.urgent_missed_bound

    @property
    def late_share(self) -> float:
        """The ratio of late answers to requests eligible for a deadline."""
        return self.late / max(1, self.deadline_eligible)

    def rows(self) -> list[ReportRow]:
        """Return the measures as rows of a table."""
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
    """The expected bounds of a measure, and the promise that they verify.

    `measure` is a field or property of `ReplayReport`.
    """

    measure: str
    promise: str
    at_most: float | None = None
    at_least: float | None = None


def unmet_expectations(
    report: ReplayReport, expectations: Iterable[Expectation]
) -> list[str]:
    """Return a message for each expectation that a report does not meet."""
    unmet: list[str] = []
    for expected in expectations:
        value = getattr(report, expected.measure)
        if expected.at_most is not None and value > expected.at_most:
            unmet.append(
                f"{expected.measure} is {value}, above {expected.at_most}:"
                f" {expected.promise}"
            )
        if expected.at_least is not None and value < expected.at_least:
            unmet.append(
                f"{expected.measure} is {value}, below {expected.at_least}:"
                f" {expected.promise}"
            )
    return unmet


def deadline_bound(trace: Trace, requests: Sequence[Request]) -> int:
    """Return how many deadlines every schedule misses.

    The result does not depend on the policy.
    """
    return _missed_bound(trace, _eligible_answers(requests), _latest_start)


def make_report(
    trace: Trace,
    policy: str,
    seed: int,
    requests: Sequence[Request],
    deadlines_bound: int | None = None,
) -> ReplayReport:
    """Compute the measures of a replay's requests.

    `deadlines_bound` is the result of `deadline_bound` if already known.
    """
    if deadlines_bound is None:
        deadlines_bound = deadline_bound(trace, requests)
    urgent = [r for r in requests if _class_of(r) is RequestClass.URGENT]
    long = [r for r in requests if _class_of(r) is RequestClass.LONG]
    eligible_starts = _eligible_starts(requests)
    eligible_answers = _eligible_answers(requests)
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
            request_class.value: _class_report(
                [r for r in requests if _class_of(r) is request_class]
            )
            for request_class in RequestClass
        },
        refused_by=dict(Counter(r.reason for r in refused)),
        lost=_count(requests, RequestEnd.WAITING),
        late=_count(requests, RequestEnd.LATE),
        useful_slot_s=_slot_s(requests, RequestEnd.IN_TIME),
        wasted_slot_s=_slot_s(requests, RequestEnd.LATE),
        urgent_eligible=len(eligible_starts),
        urgent_missed=sum(_is_start_missed(r) for r in eligible_starts),
        urgent_missed_bound=_missed_bound(
            trace, eligible_starts, _start_limit, starts_only=True
        ),
        urgent_wait_p50_s=_quantile(urgent_waits, 0.5),
        urgent_wait_p99_s=_quantile(urgent_waits, 0.99),
        urgent_wait_max_s=_quantile(urgent_waits, 1.0),
        deadline_eligible=len(eligible_answers),
        deadline_missed=sum(
            r.end is not RequestEnd.IN_TIME for r in eligible_answers
        ),
        deadline_missed_bound=deadlines_bound,
        refusal_delay_p50_s=_quantile(delays, 0.5),
        refusal_delay_p99_s=_quantile(delays, 0.99),
        long_wait_p50_s=_quantile(long_waits, 0.5),
        long_wait_max_s=_quantile(long_waits, 1.0),
    )


def _class_of(request: Request) -> RequestClass:
    return request.arrival.request_class


def _start_limit(request: Request) -> float:
    """Return the time by which an urgent request must start."""
    return request.arrival.at + URGENT_START_S


def _latest_start(request: Request) -> float:
    """Return the latest start that meets all limits of a request."""
    if _class_of(request) is not RequestClass.URGENT:
        return request.latest_start
    return min(request.latest_start, _start_limit(request))


def _is_waiting_until(request: Request, limit: float) -> bool:
    """Return whether a request can succeed and its caller waits that long."""
    return request.arrival.runnable and request.cancelled_at > limit


def _eligible_starts(requests: Sequence[Request]) -> list[Request]:
    """Return the urgent requests that should start in time."""
    eligible: list[Request] = []
    for request in requests:
        if _class_of(request) is not RequestClass.URGENT:
            continue
        if request.is_failed_by_worker:
            continue
        if _is_waiting_until(request, _start_limit(request)):
            eligible.append(request)
    return eligible


def _eligible_answers(requests: Sequence[Request]) -> list[Request]:
    """Return the urgent and short requests that should end in time."""
    eligible: list[Request] = []
    for request in requests:
        if _class_of(request) is RequestClass.LONG:
            continue
        if _is_waiting_until(request, request.ticket.deadline):
            eligible.append(request)
    return eligible


def _is_start_missed(request: Request) -> bool:
    """Return whether an urgent request started too late or never."""
    return request.started_at > _start_limit(request) + EPSILON_S


def _missed_bound(
    trace: Trace,
    requests: Sequence[Request],
    latest_start: Callable[[Request], float],
    starts_only: bool = False,
) -> int:
    """Return how many requests every schedule must miss."""
    missed = 0
    for pool in trace.header.pools:
        bounded = [
            BoundedRequest(r.arrival.at, latest_start(r), r.actual_s)
            for r in requests
            if r.arrival.pool == pool.name
        ]
        curve = CapacityCurve(trace, pool.name, starts_only)
        missed += min_missed_starts(bounded, curve)
    return missed


def _waits(requests: Iterable[Request]) -> list[float]:
    """Return the sorted wait times of the requests that started."""
    waits = (r.waited_s for r in requests)
    return sorted(wait for wait in waits if wait != inf)


def _count(requests: Iterable[Request], end: RequestEnd) -> int:
    return sum(r.end is end for r in requests)


def _slot_s(requests: Iterable[Request], end: RequestEnd) -> float:
    total_s = sum(r.actual_s for r in requests if r.end is end)
    return round(total_s, DIGITS)


def _quantile(ordered: Sequence[float], q: float) -> float:
    """Return a quantile of sorted values; 0 if there are none."""
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
    """Return one row for each class and way of ending."""
    rows: list[ReportRow] = []
    for request_class, report in classes.items():
        for name in report.__struct_fields__:
            value = str(getattr(report, name))
            rows.append(
                ReportRow(f"{request_class}: {name.replace('_', ' ')}", value)
            )
    return rows
