"""One pool's schedule against executors that fail in all known ways."""

from __future__ import annotations

import pytest

from lycheelug.workloads import (
    EndKind,
    ProgressRecord,
    RunPhase,
    StartAnswer,
    StepSpec,
    TaskName,
    TaskState,
)
from lycheelug.workloads.model import JobState
from tests.pool_world import JOB, PoolWorld

TASK = TaskName(JOB, 0, 0, 0)
ONE = [StepSpec(count=1, cpu_millis=1000, memory_mb=100)]


def begun(term: int = 1) -> ProgressRecord:
    return ProgressRecord(begun_term=term, state=JobState.RUNNING)


def test_job_without_stored_mark_is_not_started() -> None:
    world = PoolWorld()
    world.add_executor("x")
    job = world.add_job(ONE, begun=False)
    assert world.plan() == []
    assert world.schedule.jobs_to_begin() == [job]


def test_executor_is_used_only_once_the_store_knows_of_it() -> None:
    """A later owner must know where runs may be; seen in a cut zone."""
    world = PoolWorld()
    view = world.add_executor("x")
    view.is_recorded = False
    world.add_job(ONE)
    assert world.plan() == []
    view.is_recorded = True
    assert len(world.starts()) == 1


def test_steps_follow_their_dependencies() -> None:
    world = PoolWorld()
    world.add_executor("x")
    steps = [
        StepSpec(count=2, cpu_millis=500),
        StepSpec(count=1, cpu_millis=500, depends_on=[0]),
    ]
    job = world.add_job(steps)
    first = world.starts()
    assert [order.task.name.step for order in first] == [0, 0]
    for order in first:
        world.answer(order)
    name = first[0].task.name
    world.report_tasks(
        "x",
        running=[(first[1].task.name, first[1].run)],
        ended=[(name, first[0].run, EndKind.DONE)],
    )
    assert world.starts() == []
    name = first[1].task.name
    world.report_tasks("x", ended=[(name, first[1].run, EndKind.DONE)])
    (last,) = world.starts()
    assert last.task.name.step == 1
    world.answer(last)
    world.report_tasks("x", ended=[(last.task.name, last.run, EndKind.DONE)])
    assert job.progress.state == JobState.COMPLETED


def test_room_is_never_exceeded() -> None:
    world = PoolWorld()
    world.add_executor("x")
    world.add_job([StepSpec(count=9, cpu_millis=1500, memory_mb=10)])
    assert len(world.starts()) == 2


@pytest.mark.parametrize(
    ("answer", "is_free"),
    [
        (StartAnswer.REJECTED, True),
        (StartAnswer.NO_ROOM, True),
        (StartAnswer.NOT_SENT, True),
        (StartAnswer.FENCED, True),
        (StartAnswer.NO_ANSWER, False),
        (StartAnswer.STARTED, False),
    ],
)
def test_only_a_start_that_had_no_effect_frees_its_task(
    answer: StartAnswer, is_free: bool
) -> None:
    world = PoolWorld()
    world.add_executor("x")
    job = world.add_job(ONE)
    (order,) = world.starts()
    world.answer(order, answer)
    task = job.find_task(TASK)
    assert task is not None
    assert (task.state is TaskState.READY) is is_free
    assert bool(world.schedule.executors["x"].runs) is not is_free


def test_unanswered_start_is_stopped_before_it_goes_elsewhere() -> None:
    world = PoolWorld()
    world.add_executor("x")
    world.add_executor("y")
    world.add_job(ONE)
    (order,) = world.starts()
    other = "y" if order.executor_id == "x" else "x"
    world.answer(order, StartAnswer.NO_ANSWER)
    world.now += 1.0
    world.report_tasks(order.executor_id)
    world.report_tasks(other)
    (stop,) = world.stops()
    world.answer_stop(stop, answered=False)
    (stop,) = world.stops()
    asked_before = world.now
    world.now += 0.1
    world.answer_stop(stop)
    # A list that was asked for before the stop's answer proves nothing.
    world.report_tasks(order.executor_id, polled_at=asked_before)
    assert world.starts() == []
    world.now += 0.1
    world.report_tasks(order.executor_id)
    world.report_tasks(other)
    (again,) = world.starts()
    assert again.run > order.run


def test_unanswered_start_that_runs_is_kept() -> None:
    world = PoolWorld()
    view = world.add_executor("x")
    world.add_job(ONE)
    (order,) = world.starts()
    world.answer(order, StartAnswer.NO_ANSWER)
    world.report_tasks("x", running=[(TASK, order.run)])
    world.now += 5
    world.report_tasks("x", running=[(TASK, order.run)])
    assert world.plan() == []
    assert view.runs[TASK, order.run].phase is RunPhase.RUNNING


def test_silent_executor_keeps_its_tasks_until_the_last_lease_ends() -> None:
    world = PoolWorld()
    world.add_executor("x")
    world.add_job(ONE)
    (order,) = world.starts()
    world.answer(order)
    world.add_executor("y")
    world.now += 4.9
    world.report_tasks("y")
    assert world.starts() == []
    world.now += 0.3
    world.report_tasks("y")
    (again,) = world.starts()
    assert again.executor_id == "y"


def test_owner_without_proof_gives_no_run_up() -> None:
    """A new owner may have extended the lease; seen in a cut zone."""
    world = PoolWorld()
    world.add_executor("x")
    world.add_job(ONE)
    (order,) = world.starts()
    world.answer(order)
    world.add_executor("y")
    world.verified_at = world.now + 1
    world.now += 6
    world.report_tasks("y")
    assert world.starts() == []
    world.verified_at = world.now
    assert len(world.starts()) == 1


def test_new_life_at_the_same_address_has_lost_its_runs() -> None:
    world = PoolWorld()
    world.add_executor("x")
    world.add_job(ONE)
    (order,) = world.starts()
    world.answer(order)
    world.now += 1
    world.report_tasks("x", born_ms=2)
    (again,) = world.starts()
    assert again.run > order.run


def test_taken_over_run_is_adopted_and_not_started_again() -> None:
    world = PoolWorld(term=2, earlier_leases_end_at=200.0)
    world.add_executor("x", has_reported=False)
    world.add_executor("y", has_reported=False)
    world.add_job(ONE, progress=begun())
    world.report_tasks("y")
    # The run may be on the executor that was not heard yet.
    assert world.starts() == []
    world.report_tasks("x", running=[(TASK, 1001)])
    assert world.plan() == []
    task = world.schedule.jobs[JOB].find_task(TASK)
    assert task is not None
    assert task.executor_id == "x"


def test_unwanted_run_ends_before_its_task_is_started() -> None:
    """A run that was judged before its job was known; seen on a day."""
    world = PoolWorld(term=2, earlier_leases_end_at=200.0)
    world.add_executor("x", has_reported=False)
    world.report_tasks("x", running=[(TASK, 1005)])
    (stop,) = world.stops()
    world.add_job(ONE, progress=begun())
    assert world.starts() == []
    world.answer_stop(stop)
    world.now += 0.1
    world.report_tasks("x", ended=[(TASK, 1005, EndKind.STOPPED)])
    (order,) = world.starts()
    assert order.run > 1005


def test_job_fails_with_its_last_attempt() -> None:
    world = PoolWorld()
    world.add_executor("x")
    world.add_executor("y")
    job = world.add_job(ONE, max_attempts=2)
    (order,) = world.starts()
    first = order.executor_id
    world.answer(order)
    world.report_tasks(first, ended=[(TASK, order.run, EndKind.FAILED)])
    (order,) = world.starts()
    assert order.executor_id != first
    world.answer(order)
    world.report_tasks(
        order.executor_id, ended=[(TASK, order.run, EndKind.FAILED)]
    )
    assert job.progress.state == JobState.FAILED
    assert world.plan() == []


def test_host_is_vacated_once_every_start_is_ruled_out() -> None:
    world = PoolWorld()
    view = world.add_executor("x")
    world.add_job(ONE)
    (order,) = world.starts()
    view.drain_order = "1.1"
    assert not view.is_drained
    world.answer(order, StartAnswer.NO_ANSWER)
    world.now += 1
    world.report_tasks("x")
    (stop,) = world.stops()
    world.answer_stop(stop)
    assert not view.is_drained
    world.now += 1
    world.report_tasks("x")
    assert view.is_drained


def test_cancel_stops_what_runs_and_what_was_not_answered() -> None:
    world = PoolWorld()
    world.add_executor("x")
    world.add_job([StepSpec(count=2, cpu_millis=1000)])
    started, unanswered = world.starts()
    world.answer(started)
    world.answer(unanswered, StartAnswer.NO_ANSWER)
    world.schedule.cancel_job(JOB, 0)
    world.now += 0.1
    assert len(world.stops()) == 2


def test_gang_starts_whole_with_one_run_number() -> None:
    world = PoolWorld()
    world.add_executor("x")
    world.add_job([StepSpec(count=3, cpu_millis=2000, is_gang=True)])
    assert world.starts() == []
    world.add_executor("y")
    orders = world.starts()
    assert len(orders) == 3
    assert len({order.run for order in orders}) == 1


@pytest.mark.parametrize(
    ("percents", "moves"),
    [
        # All others are at work: one may be away.
        ((100, 100, 100), 1),
        # One is still in its startup.
        ((100, 100, 40), 0),
    ],
)
def test_emptying_a_host_ends_no_more_than_may_be_away(
    percents: tuple[int, ...], moves: int
) -> None:
    world = PoolWorld()
    for name in ("x", "y", "z"):
        world.add_executor(name)
    step = StepSpec(
        count=3, cpu_millis=100, lasts=True, may_miss=1, max_per_executor=1
    )
    world.add_job([step])
    orders = world.starts()
    for order, percent in zip(orders, percents, strict=True):
        world.answer(order)
        world.report_tasks(
            order.executor_id,
            running=[(order.task.name, order.run)],
            percent=percent,
        )
    view = world.schedule.executors[orders[0].executor_id]
    view.drain_order = "1.1"
    view2 = world.schedule.executors[orders[1].executor_id]
    view2.drain_order = "1.2"
    assert len(world.stops()) == moves
    assert not view.is_drained


@pytest.mark.parametrize(
    ("silent", "moves"),
    [
        # All executors have just listed their tasks.
        ("no", 1),
        # Another task's executor did not answer its last look.
        ("lost", 0),
        # Its last list is too old to tell what works there now.
        ("old", 0),
    ],
)
def test_task_on_a_silent_executor_counts_as_away(
    silent: str, moves: int
) -> None:
    """A host crashed while another was emptied; seen on a hunted day."""
    world = PoolWorld()
    step = StepSpec(
        count=3, cpu_millis=100, lasts=True, may_miss=1, max_per_executor=1
    )
    for name in ("x", "y", "z"):
        world.add_executor(name)
    world.add_job([step])
    orders = world.starts()
    for order in orders:
        world.answer(order)
        running = [(order.task.name, order.run)]
        world.report_tasks(order.executor_id, running=running, percent=100)
    views = [world.schedule.executors[each.executor_id] for each in orders]
    views[0].drain_order = "1.1"
    if silent == "lost":
        views[1].last_report_at = None
    if silent == "old":
        world.now += 1.6
        for order in (orders[0], orders[2]):
            running = [(order.task.name, order.run)]
            world.report_tasks(order.executor_id, running=running, percent=100)
    assert len(world.stops()) == moves


@pytest.mark.parametrize("known", [True, False])
def test_listed_run_takes_its_room_though_its_job_is_over(
    known: bool,
) -> None:
    """An executor was filled over its room by a new owner."""
    world = PoolWorld(term=2)
    view = world.add_executor("x", has_reported=False)
    if known:
        world.add_job(
            [StepSpec(count=2, cpu_millis=3000)],
            progress=ProgressRecord(1, JobState.CANCELLED),
        )
    world.report_tasks("x", running=[(TASK, 1001)])
    # Of a job that nobody knows, nothing tells how much it takes.
    assert view.used_cpu == (3000 if known else 4000)
    world.add_job(
        [StepSpec(count=1, cpu_millis=1500)], job_id="5c0e7a21d94b36f9"
    )
    assert world.starts() == []


def test_new_owner_lets_the_last_owners_stops_come_to_an_end() -> None:
    """A stop that is under way is listed as at work until its grace ends.

    Seen on a hunted day: AVAIL, 70 ms after a graceful handover.
    """
    world = PoolWorld(term=2, relocate_after=101.5)
    leaving = world.add_executor("x", has_reported=False)
    world.add_executor("y", has_reported=False)
    world.add_job(
        [StepSpec(count=2, cpu_millis=1000, lasts=True, may_miss=1)],
        progress=begun(),
    )
    first, second = (TaskName(JOB, 0, 0, index) for index in range(2))
    leaving.drain_order = "1.1"
    # The last owner has told y to stop the first task.
    world.report_tasks("y", running=[(first, 1001)], percent=100)
    world.report_tasks("x", running=[(second, 1001)], percent=100)
    assert world.stops() == []
    world.now += 0.4
    world.report_tasks("y", ended=[(first, 1001, EndKind.STOPPED)])
    world.report_tasks("x", running=[(second, 1001)], percent=100)
    assert world.stops() == []
    world.now += 1.2
    world.report_tasks("x", running=[(second, 1001)], percent=100)
    # One is away: the other one stays.
    assert world.stops() == []


def test_failure_that_the_last_owner_stored_is_counted_once() -> None:
    """It had not acknowledged the end, so the executor lists it again.

    Seen on a hunted day: LOST, a job failed one attempt too early.
    """
    before = PoolWorld()
    before.add_executor("x")
    job = before.add_job(ONE, max_attempts=2)
    (order,) = before.starts()
    before.answer(order)
    before.report_tasks("x", ended=[(TASK, order.run, EndKind.FAILED)])
    assert job.progress.failures == {"0.0.0": 1}
    after = PoolWorld(term=2)
    after.add_executor("x", has_reported=False)
    taken = after.add_job(ONE, progress=job.progress, max_attempts=2)
    after.report_tasks("x", ended=[(TASK, order.run, EndKind.FAILED)])
    assert taken.progress.state == JobState.RUNNING
    (retry,) = after.starts()
    after.answer(retry)
    after.report_tasks("x", ended=[(TASK, retry.run, EndKind.FAILED)])
    assert taken.progress.state == JobState.FAILED
