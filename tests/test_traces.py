from __future__ import annotations

import pytest
from returns.result import Failure, Success

from lycheelug.requests import RequestClass
from lycheelug.trace_generator import DEPLOYMENTS, make_trace
from lycheelug.trace_recorder import TraceRecorder
from lycheelug.traces import (
    Arrival,
    Cancel,
    HostFailed,
    Trace,
    TraceExecutor,
    TracePool,
    WorkerBad,
    parse_trace,
    render_trace,
)

HEADER = (
    b'{"type":"header","format":"lycheelug-trace","version":1,'
    b'"deployment":"guild","duration_s":9.0,'
    b'"pools":[{"name":"quotes","executors":[{"host":"w1"}]}]}'
)
ARRIVAL = (
    b'{"type":"arrival","at":1.0,"id":1,"pool":"quotes","tenant":"shop",'
    b'"class":"short","declared_s":1.0,"actual_s":0.5}'
)


@pytest.mark.parametrize(
    ("lines", "start", "remedy"),
    [
        pytest.param([], "x:1: format: there is no header", "must be", id="0"),
        pytest.param([ARRIVAL], "x:1: type: an event", "use header", id="1"),
        pytest.param(
            [HEADER.replace(b":1,", b":9,")],
            "x:1: version: unknown version 9",
            "reads version 1",
            id="version",
        ),
        pytest.param(
            [HEADER.replace(b"lycheelug-trace", b"other")],
            "x:1: format: unknown format 'other'",
            "lycheelug-trace",
            id="format",
        ),
        pytest.param(
            [HEADER, b"{"], "x:2: not JSON", "docs/TRACES.md", id="not-json"
        ),
        pytest.param(
            [HEADER, b'{"type":"surge"}'], "x:2: type:", "use header", id="tag"
        ),
        pytest.param(
            [HEADER, ARRIVAL.replace(b'"short"', b'"fast"')],
            "x:2: class: Invalid enum value 'fast'",
            "use urgent, short or long",
            id="class",
        ),
        pytest.param(
            [HEADER, ARRIVAL.replace(b'"at":1.0', b'"at":"1"')],
            "x:2: at: Expected `float`, got `str`",
            "give seconds",
            id="type-of-field",
        ),
        pytest.param(
            [HEADER, ARRIVAL.replace(b'"tenant":"shop",', b"")],
            "x:2: tenant: missing",
            "docs/TRACES.md",
            id="missing-field",
        ),
        pytest.param(
            [HEADER, ARRIVAL.replace(b"quotes", b"kilns")],
            "x:2: pool: unknown pool 'kilns'",
            "header lists",
            id="pool",
        ),
        pytest.param(
            [HEADER, ARRIVAL.replace(b"0.5", b"-0.5")],
            "x:2: actual_s: -0.5 is not above 0",
            "above zero",
            id="negative-run",
        ),
        pytest.param(
            [HEADER, ARRIVAL, ARRIVAL],
            "x:3: id: 1 arrived before",
            "no other",
            id="id-twice",
        ),
        pytest.param(
            [HEADER, b'{"type":"cancel","at":1.0,"id":5}'],
            "x:2: id: no arrival 5 before it",
            "whole number",
            id="cancel-of-nothing",
        ),
        pytest.param(
            [HEADER, b'{"type":"host_failed","at":1.0,"host":"w9"}'],
            "x:2: host: unknown host 'w9'",
            "header lists",
            id="host",
        ),
        pytest.param(
            [HEADER, ARRIVAL, b'{"type":"cancel","at":0.5,"id":1}'],
            "x:3: at: 0.5 is before 1.0",
            "seconds since",
            id="out-of-order",
        ),
        pytest.param(
            [HEADER, HEADER], "x:2: type: a second header", "use", id="twice"
        ),
    ],
)
def test_fault_names_line_field_and_remedy(
    lines: list[bytes], start: str, remedy: str
) -> None:
    match parse_trace(lines, "x"):
        case Failure(fault):
            assert fault.detail.startswith(start)
            assert remedy in fault.detail
        case Success(_):
            pytest.fail("no fault was found")


def test_unknown_fields_are_ignored() -> None:
    extended = ARRIVAL.replace(b'"id":1', b'"id":1,"weight":3')
    assert len(parse_trace([HEADER, b"", extended], "x").unwrap().events) == 1


@pytest.mark.parametrize("name", list(DEPLOYMENTS))
def test_generated_trace_survives_a_round_trip(name: str) -> None:
    lines = list(render_trace(make_trace(DEPLOYMENTS.get(name), 3, 10.0)))
    second_lines = list(
        render_trace(make_trace(DEPLOYMENTS.get(name), 3, 10.0))
    )
    assert lines == second_lines
    parsed = parse_trace(lines, "x").unwrap()
    assert list(render_trace(parsed)) == lines


def work_per_second(trace: Trace, pool: str) -> list[float]:
    """Return the slot-seconds of the requests that arrive in each second."""
    work = [0.0] * (int(trace.header.duration_s) + 1)
    for event in trace.events:
        if isinstance(event, Arrival) and event.pool == pool:
            work[int(event.at)] += event.actual_s or 0.0
    return work


@pytest.mark.parametrize("name", list(DEPLOYMENTS))
def test_generated_trace_matches_the_specification(name: str) -> None:
    deployment = DEPLOYMENTS.get(name)
    trace = make_trace(deployment, 5)
    surge_times = []
    for mix, pool in zip(deployment.pools, trace.header.pools, strict=True):
        assert len(pool.executors) == deployment.executors
        slots = len(pool.executors) * pool.slots
        work = work_per_second(trace, pool.name)
        mean_work = [sum(work[at : at + 5]) / 5 for at in range(55)]
        surge_at = max(range(55), key=mean_work.__getitem__)
        surge_times.append(surge_at)
        assert mean_work[surge_at] > 1.0 * slots
        assert mean_work[surge_at] > 3.0 * mix.load * slots
        after = work[surge_at + 8 : surge_at + 22]
        assert sum(after) / max(1, len(after)) < 0.3 * mix.load * slots
    assert surge_times == sorted(surge_times)
    arrivals = [e for e in trace.events if isinstance(e, Arrival)]
    inaccurate = [
        a
        for a in arrivals
        if a.actual_s is not None and not 0.5 < a.declared_s / a.actual_s < 2.0
    ]
    assert len(inaccurate) > len(arrivals) / 3
    assert any(not a.runnable for a in arrivals)
    assert sum(isinstance(e, Cancel) for e in trace.events) > 20
    assert sum(isinstance(e, WorkerBad) for e in trace.events) == 2
    host_failures = [e for e in trace.events if isinstance(e, HostFailed)]
    assert len(host_failures) > 1
    racks = {e.host: e.rack for p in trace.header.pools for e in p.executors}
    assert len({e.at for e in host_failures}) == 1
    assert len({racks[e.host] for e in host_failures}) == 1


def test_recorder_is_bounded_and_its_trace_is_valid() -> None:
    pools = [TracePool("quotes", [TraceExecutor("w1")])]
    recorder = TraceRecorder("guild", pools, started_at=50.0, max_events=4)
    for number in range(3):
        recorder.on_arrival(
            number, 51.0, "quotes", "t", RequestClass.SHORT, 0.0, None
        )
    recorder.on_finished(0, 0.25, ok=True)
    recorder.on_finished(1, 0.01, ok=False)
    recorder.on_set_aside(2)
    recorder.on_host_failed("not-in-the-header", 51.0)
    recorder.on_cancel(1, 52.0)
    recorder.on_arrival(9, 53.0, "quotes", "t", RequestClass.SHORT, 1.0, None)
    recorder.on_cancel(9, 54.0)
    assert len(recorder) == 4
    assert recorder.dropped == 1
    trace = recorder.trace(now=60.0)
    parsed = parse_trace(list(render_trace(trace)), "x").unwrap()
    assert parsed.header.dropped == 1
    first, second, third, cancel = parsed.events
    assert isinstance(first, Arrival)
    assert first.actual_s == 0.25
    assert isinstance(second, Arrival)
    assert second.actual_s is None
    assert isinstance(third, Arrival)
    assert not third.runnable
    assert cancel == Cancel(2.0, 1)
