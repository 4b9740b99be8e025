"""The parts that tell an executor's incarnations apart, without I/O."""

from __future__ import annotations

from typing import NamedTuple

import pytest

from lycheelug.jobservice.used_executors import decode_used_executors
from lycheelug.workloads import (
    EndKind,
    LossCause,
    StartAnswer,
    StepSpec,
    TaskName,
    apply_start_answer,
    awaits_starts,
    make_poll,
)
from lycheelug.workloads.executor_clock import CLOCK_DRIFT, ExecutorClock
from lycheelug.workloads.executors import LATE_CALL_S, ExecutorView
from lycheelug.workloads.late_starts import LateStarts
from lycheelug.workloads.runs import Run, RunPhase
from tests.pool_world import JOB, PoolWorld

ONE = [StepSpec(count=1, cpu_millis=1000)]
TASK = TaskName(JOB, 0, 0, 0)
OTHER = TaskName(JOB, 0, 0, 1)
LEASE_S = 3.5
LEASE_MAX_S = 6.0


class ClockAnswer(NamedTuple):
    """A value in an answer; times are counted from the last report."""

    # How much the clock had advanced between the first and the last report.
    known_s: float
    value_ms: int
    sent_s: float
    received_s: float
    is_continued: bool


# The last report has the value 5,000 ms.
CLOCK_ANSWERS = {
    "in-time": ClockAnswer(2.0, 6_005, 1.0, 1.01, True),
    "slow-clock": ClockAnswer(2.0, 5_985, 1.0, 1.01, True),
    "slower-than-allowed": ClockAnswer(2.0, 5_970, 1.0, 1.01, False),
    "begun-anew": ClockAnswer(2.0, 400, 1.0, 1.01, False),
    "begun-anew-at-the-last-report": ClockAnswer(2.0, 1_010, 1.0, 1.01, False),
    "ahead-within-transit": ClockAnswer(2.0, 6_250, 1.0, 1.01, True),
    "ahead": ClockAnswer(2.0, 6_300, 1.0, 1.01, False),
    "first-report-only": ClockAnswer(0.0, 6_005, 1.0, 1.01, False),
    "call-as-long-as-known": ClockAnswer(0.5, 6_505, 1.0, 1.51, False),
    "long-call": ClockAnswer(2.0, 6_800, 1.0, 1.8, True),
}


# Guards against an answer of the next incarnation that locates a run.
@pytest.mark.parametrize("name", CLOCK_ANSWERS)
def test_answer_is_attributed_by_its_clock(name: str) -> None:
    case = CLOCK_ANSWERS[name]
    clock = ExecutorClock()
    clock.record(5_000 - int(case.known_s * 1000), 100.0 - case.known_s)
    clock.record(5_000, 100.0)
    is_continued = clock.is_continued_by(
        case.value_ms, 100.0 + case.sent_s, 100.0 + case.received_s
    )
    assert is_continued is case.is_continued


def test_clock_that_no_report_has_shown_continues_nothing() -> None:
    assert not ExecutorClock().is_continued_by(5_000, 100.0, 100.1)


# Guards against a next incarnation that catches up with the former clock.
@pytest.mark.parametrize("known_s", [0.01, 0.2, 1.0, 5.0])
@pytest.mark.parametrize("call_s", [0.01, 0.2, 0.5])
@pytest.mark.parametrize("sent_s", [0.0, 0.5, 4.0])
def test_no_value_of_a_next_incarnation_continues_a_clock(
    known_s: float, call_s: float, sent_s: float
) -> None:
    clock = ExecutorClock()
    clock.record(0, 100.0 - known_s)
    clock.record(int(known_s * 1000), 100.0)
    received_at = 100.0 + sent_s + call_s
    # It has begun at the earliest at the last report of the former one.
    highest_ms = int((received_at - 100.0) * 1000)
    for value_ms in range(0, highest_ms + 1, 5):
        assert not clock.is_continued_by(value_ms, 100.0 + sent_s, received_at)


class PollCase(NamedTuple):
    """The state before a poll, and what is expected of it."""

    needs_barrier: bool = False
    # Whether the only run is known to be on the incarnation; None for none.
    is_located: bool | None = None
    phase: RunPhase = RunPhase.RUNNING
    acked: int = 0
    forgotten: int = 0
    acknowledged: int = 0
    # By how much the poll's token and those of later calls are higher.
    raised: int = 0
    raised_later: int = 0
    awaits_starts: bool = False


POLLS = {
    "nothing-to-acknowledge": PollCase(),
    "acknowledges": PollCase(acked=3, acknowledged=3, raised_later=1),
    "beside-located-run": PollCase(
        is_located=True, acked=3, acknowledged=3, raised_later=1
    ),
    "acknowledged-before": PollCase(acked=3, forgotten=3),
    "not-beside-a-start": PollCase(
        is_located=False, phase=RunPhase.STARTING, acked=3, awaits_starts=True
    ),
    "not-beside-an-unanswered-start": PollCase(
        is_located=False, phase=RunPhase.UNKNOWN, acked=3
    ),
    "not-beside-a-start-answered-by-another": PollCase(
        is_located=False, acked=3
    ),
    "start-without-ends": PollCase(is_located=False, phase=RunPhase.STARTING),
    "barrier": PollCase(needs_barrier=True, raised=1, raised_later=1),
    "barrier-acknowledges-nothing": PollCase(
        needs_barrier=True, acked=3, raised=1, raised_later=1
    ),
    "barrier-beside-a-start": PollCase(
        needs_barrier=True,
        is_located=False,
        phase=RunPhase.UNKNOWN,
        acked=3,
        raised=1,
        raised_later=1,
    ),
}


# Guards against an acknowledgement that lets an incarnation forget ends which
# no list has had.
@pytest.mark.parametrize("name", POLLS)
def test_poll_acknowledges_only_while_no_start_is_in_doubt(name: str) -> None:
    case = POLLS[name]
    world = PoolWorld()
    view = world.add_executor("x")
    view.last_acked_end = case.acked
    view.last_forgotten_end = case.forgotten
    if case.is_located is not None:
        run = Run(TASK, 1, ONE[0].resources, world.now, None)
        run.is_located = case.is_located
        run.phase = case.phase
        view.add_run(run)
    if case.needs_barrier:
        view.require_barrier()
    assert awaits_starts(view) is case.awaits_starts
    token = view.tokens.current
    call = make_poll(view, world.now, LEASE_S, False)
    assert call.is_barrier is case.needs_barrier
    assert call.acknowledged == case.acknowledged
    assert call.token == token + case.raised
    assert view.tokens.current == token + case.raised_later
    # An answer that arrives after another call is in doubt proves less.
    view.require_barrier()
    view.record_barrier(call.barrier_number)
    assert view.needs_barrier


@pytest.mark.parametrize(
    ("may_extend", "is_known", "deadline_ms"),
    [(True, True, 4_500), (False, True, None), (True, False, None)],
)
def test_poll_extends_leases_on_a_known_clock(
    may_extend: bool, is_known: bool, deadline_ms: int | None
) -> None:
    world = PoolWorld()
    view = world.add_executor("x", has_reported=is_known)
    ends_at = view.leases_end_at
    call = make_poll(view, world.now, LEASE_S, may_extend)
    assert call.deadline_ms == deadline_ms
    if deadline_ms is None:
        assert view.leases_end_at == ends_at
    else:
        assert view.leases_end_at >= world.now + LEASE_S / (1 - CLOCK_DRIFT)


def doubtful_view(
    world: PoolWorld, executor_id: str, name: TaskName
) -> ExecutorView:
    """Return an executor on which a start is in doubt."""
    view = world.add_executor(executor_id)
    job = world.schedule.jobs[name.job]
    task = job.find_task(name)
    run = Run(name, 1, ONE[0].resources, world.now, task)
    view.add_run(run)
    return view


class HoldCase(NamedTuple):
    """Which executors hold a task, and whether it is held then."""

    after_s: float
    released: tuple[str, ...]
    is_held: bool


HOLDS = {
    "at-once": HoldCase(0.0, (), True),
    "before-the-end": HoldCase(LATE_CALL_S - 0.01, (), True),
    "at-the-end": HoldCase(LATE_CALL_S, (), False),
    "one-released": HoldCase(1.0, ("x",), True),
    "all-released": HoldCase(1.0, ("x", "y"), False),
    "another-released": HoldCase(1.0, ("z",), True),
}


@pytest.mark.parametrize("name", HOLDS)
def test_task_waits_for_late_starts_on_all_executors(name: str) -> None:
    case = HOLDS[name]
    world = PoolWorld()
    world.add_job([StepSpec(count=2, cpu_millis=1000)])
    late_starts = LateStarts()
    for executor_id in ("x", "y"):
        late_starts.hold(doubtful_view(world, executor_id, TASK), world.now)
    for executor_id in case.released:
        late_starts.release(executor_id)
    assert late_starts.is_held(TASK, world.now + case.after_s) is case.is_held
    assert not late_starts.is_held(OTHER, world.now + case.after_s)


# Guards against tasks that no longer wait as their executor was removed again.
def test_executor_that_is_removed_twice_holds_the_tasks_of_both() -> None:
    world = PoolWorld()
    world.add_job([StepSpec(count=2, cpu_millis=1000)])
    late_starts = LateStarts()
    for task in (TASK, OTHER):
        late_starts.hold(doubtful_view(world, "x", task), world.now)
        world.now += 1.0
    assert late_starts.is_held(TASK, world.now)
    assert late_starts.is_held(OTHER, world.now)
    late_starts.release("x")
    assert not late_starts.is_held(TASK, world.now)
    assert not late_starts.is_held(OTHER, world.now)


def test_located_run_holds_no_task() -> None:
    world = PoolWorld()
    world.add_job(ONE)
    view = doubtful_view(world, "x", TASK)
    for run in view.runs.values():
        run.is_located = True
    late_starts = LateStarts()
    late_starts.hold(view, world.now)
    assert not late_starts.is_held(TASK, world.now)


# Guards against a next owner that can't read the rows of an earlier release.
@pytest.mark.parametrize(
    ("value", "born_ms"),
    [
        (b'{"x":["h","a:1",4000,4096]}', 0),
        (b'{"x":["h","a:1",4000,4096,1765000000000]}', 1765000000000),
    ],
)
def test_used_executor_is_read_with_and_without_start_time(
    value: bytes, born_ms: int
) -> None:
    executors = decode_used_executors(value)
    assert executors is not None
    assert executors["x"].born_ms == born_ms
    assert executors["x"].place.born_ms == 0
    info = executors["x"].info("x", "quotes")
    # An entry is not needed to call it, and its kind is not known.
    assert (info.address, info.host, info.labels) == ("a:1", "h", ())


@pytest.mark.parametrize("cause", [LossCause.NOT_LISTED, LossCause.REPLACED])
def test_tokens_go_on_when_an_executor_comes_back(cause: LossCause) -> None:
    world = PoolWorld()
    view = world.add_executor("x")
    world.add_job(ONE)
    (order,) = world.starts()
    world.answer(order, StartAnswer.NO_ANSWER)
    world.schedule.remove_executor("x", world.now, cause)
    # Its former entry is ignored; the next one has another start time.
    assert world.schedule.ended_incarnations.names(view.info)
    view.info.born_ms = 7
    returned = world.schedule.observe_executor(view.info)
    assert returned is not view
    assert returned.needs_barrier
    call = make_poll(returned, world.now, LEASE_S, False)
    assert call.is_barrier
    assert call.token > order.token


# Guards against a second run by a start that an executor carries out after it
# was said to be down, and against a task that is held for longer.
def test_task_starts_elsewhere_once_the_returned_executor_rejects_it() -> None:
    world = PoolWorld()
    world.add_executor("x")
    world.add_job(ONE)
    (order,) = world.starts()
    world.answer(order, StartAnswer.NO_ANSWER)
    world.add_executor("y")
    info = world.schedule.executors["x"].info
    world.schedule.remove_executor("x", world.now, LossCause.NOT_LISTED)
    world.now += 1.0
    world.report_tasks("y")
    assert world.starts() == []
    info.born_ms = 7
    world.schedule.observe_executor(info).is_recorded = True
    world.report_tasks("x", born_ms=7)
    (again,) = world.starts()
    assert again.run > order.run


# Guards against an end that is taken for one of the former incarnation.
def test_ends_are_counted_anew_after_a_restart() -> None:
    world = PoolWorld()
    view = world.add_executor("x")
    world.add_job([StepSpec(count=2, cpu_millis=1000)])
    first, second = world.starts()
    for order in (first, second):
        world.answer(order)
    world.now += 0.1
    world.report_tasks(
        "x",
        [(second.task.name, second.run)],
        [(first.task.name, first.run, EndKind.DONE)],
    )
    assert (view.last_applied_end, view.last_acked_end) == (1, 1)
    world.now += 0.1
    world.report_tasks("x", born_ms=2)
    assert (view.last_applied_end, view.last_forgotten_end) == (0, 0)
    world.restart_entry("x", born_ms=2)
    world.end_numbers["x"] = 0
    world.report_tasks("x", born_ms=2)
    (again,) = world.starts()
    world.answer(again)
    world.now += 0.1
    world.report_tasks(
        "x", ended=[(again.task.name, again.run, EndKind.DONE)], born_ms=2
    )
    assert view.last_applied_end == 1
    assert world.starts() == []


# Guards against a lease that outlives the bound of a new owner: unless the
# last one has recorded the incarnation, it may have taken it for another.
@pytest.mark.parametrize(
    ("recorded_born_ms", "longest_s"),
    [(0, LEASE_MAX_S), (1, PoolWorld().schedule.lease_s), (2, LEASE_MAX_S)],
)
def test_new_owner_expects_long_leases(
    recorded_born_ms: int, longest_s: float
) -> None:
    world = PoolWorld(term=2)
    view = world.add_executor("x", has_reported=False)
    view.lease_max_s = LEASE_MAX_S
    view.recorded_born_ms = recorded_born_ms
    world.report_tasks("x", [(TASK, 1001)])
    latest = world.now + longest_s / (1 - CLOCK_DRIFT)
    assert view.leases_end_at == pytest.approx(latest)


# Guards against a job that is given up for the crash of an incarnation on
# which its task never was: the next one has answered the start.
@pytest.mark.parametrize("is_located", [True, False])
def test_run_of_the_next_incarnation_is_no_certain_loss(
    is_located: bool,
) -> None:
    world = PoolWorld()
    view = world.add_executor("x")
    world.add_job(ONE)
    (order,) = world.starts()
    apply_start_answer(
        world.schedule,
        view,
        order.task,
        order.run,
        StartAnswer.STARTED,
        world.now,
        is_located,
    )
    world.now += 0.5
    view.last_report_at = None
    view.require_barrier()
    world.schedule.crashes.record_silence(
        world.schedule, view, world.now, world.now
    )
    world.now += 1.0
    ended = [(order.task.name, order.run, EndKind.LAPSED)]
    world.report_tasks("x", ended=[] if is_located else ended, born_ms=2)
    (record,) = order.task.crash_records
    assert record.is_proved
    assert record.is_certain is is_located
