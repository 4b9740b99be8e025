"""Tests of a pool's schedule under executor failures and changes of owner."""

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


def begun_progress(term: int = 1) -> ProgressRecord:
    return ProgressRecord(begun_term=term, state=JobState.RUNNING)


def test_job_without_stored_begun_mark_is_not_started() -> None:
    world = PoolWorld()
    world.add_executor("x")
    job = world.add_job(ONE, is_begun_stored=False)
    assert world.plan() == []
    assert world.schedule.jobs_to_begin() == [job]


def test_executor_is_used_only_once_its_use_is_stored() -> None:
    """A later owner must know all executors that may have runs.

    The store entries of an isolated zone expire, so the stored summary may
    be the only record of its executors.
    """
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


def test_capacity_is_never_exceeded() -> None:
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


def test_unanswered_start_is_stopped_before_the_task_restarts() -> None:
    world = PoolWorld()
    world.add_executor("x")
    world.add_executor("y")
    world.add_job(ONE)
    (order,) = world.starts()
    other = "y" if order.executor_id == "x" else "x"
    # A report requested with the same token as the start proves nothing.
    polled_before = world.send_poll(order.executor_id)
    world.answer(order, StartAnswer.NO_ANSWER)
    world.now += 2.0
    world.report_tasks(order.executor_id, call=polled_before)
    world.report_tasks(other)
    (stop,) = world.stops()
    world.answer_stop(stop, answered=False)
    (stop,) = world.stops()
    polled_before.sent_at = world.now
    world.now += 0.1
    world.answer_stop(stop)
    # Neither does one requested before the stop was answered.
    world.report_tasks(order.executor_id, call=polled_before)
    assert world.starts() == []
    world.now += 0.1
    polled_before.sent_at = world.now
    world.report_tasks(order.executor_id, call=polled_before)
    world.report_tasks(order.executor_id)
    world.report_tasks(other)
    (again,) = world.starts()
    assert again.run > order.run


def test_unanswered_start_is_disproved_by_a_call_with_a_higher_token() -> None:
    world = PoolWorld()
    view = world.add_executor("x")
    world.add_job(ONE)
    (order,) = world.starts()
    world.answer(order, StartAnswer.NO_ANSWER)
    world.now += 0.1
    # The list leaves ends out: the run may have ended.
    world.report_tasks("x", lists_all_ends=False)
    assert world.starts() == []
    assert view.runs
    call = world.send_poll("x")
    assert call.token > order.token
    world.report_tasks("x", call=call)
    assert not view.runs
    world.now += 0.1
    (again,) = world.starts()
    assert again.run > order.run
    assert again.token > order.token


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


def test_unresponsive_executor_keeps_tasks_until_last_lease_ends() -> None:
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


def test_owner_without_verified_ownership_gives_up_no_run() -> None:
    """A new owner may have extended the lease.

    An owner in an isolated zone doesn't learn that it was replaced.
    """
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


def test_runs_are_lost_with_a_new_incarnation() -> None:
    world = PoolWorld()
    world.add_executor("x")
    world.add_job(ONE)
    (order,) = world.starts()
    world.answer(order)
    world.now += 1
    world.report_tasks("x", born_ms=2)
    # Its entry still describes the former incarnation.
    assert world.starts() == []
    world.restart_entry("x", born_ms=2)
    world.report_tasks("x", born_ms=2)
    (again,) = world.starts()
    assert again.run > order.run
    assert again.token > order.token


def test_run_of_earlier_owner_is_adopted_and_not_restarted() -> None:
    world = PoolWorld(term=2, earlier_leases_end_at=200.0)
    world.add_executor("x", has_reported=False)
    world.add_executor("y", has_reported=False)
    world.add_job(ONE, progress=begun_progress())
    world.report_tasks("y")
    # The run may be on the executor that has not reported yet.
    assert world.starts() == []
    world.report_tasks("x", running=[(TASK, 1001)])
    assert world.plan() == []
    task = world.schedule.jobs[JOB].find_task(TASK)
    assert task is not None
    assert task.executor_id == "x"


def test_superfluous_run_ends_before_its_task_is_started() -> None:
    """The run was reported, as superfluous, before its job was known."""
    world = PoolWorld(term=2, earlier_leases_end_at=200.0)
    world.add_executor("x", has_reported=False)
    world.report_tasks("x", running=[(TASK, 1005)])
    (stop,) = world.stops()
    world.add_job(ONE, progress=begun_progress())
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


def test_host_is_drained_once_every_start_is_disproved() -> None:
    world = PoolWorld()
    view = world.add_executor("x")
    world.add_job(ONE)
    (order,) = world.starts()
    view.drain_order = "1.1"
    assert not view.is_drained
    polled_before = world.send_poll("x")
    world.answer(order, StartAnswer.NO_ANSWER)
    world.now += 2
    world.report_tasks("x", call=polled_before)
    (stop,) = world.stops()
    world.answer_stop(stop)
    assert not view.is_drained
    world.now += 1
    world.report_tasks("x")
    assert view.is_drained


def test_cancel_stops_active_and_unanswered_runs() -> None:
    world = PoolWorld()
    world.add_executor("x")
    world.add_job([StepSpec(count=2, cpu_millis=1000)])
    started, unanswered = world.starts()
    world.answer(started)
    world.answer(unanswered, StartAnswer.NO_ANSWER)
    world.schedule.cancel_job(JOB, 0)
    world.now += 0.1
    assert len(world.stops()) == 2


def test_gang_starts_as_a_whole_with_one_run_number() -> None:
    world = PoolWorld()
    world.add_executor("x")
    world.add_job([StepSpec(count=3, cpu_millis=2000, is_gang=True)])
    assert world.starts() == []
    world.add_executor("y")
    orders = world.starts()
    assert len(orders) == 3
    assert len({order.run for order in orders}) == 1


@pytest.mark.parametrize(
    ("percents", "stop_count"),
    [
        # All others have finished their startup: one may be unavailable.
        ((100, 100, 100), 1),
        # One task is still in its startup.
        ((100, 100, 40), 0),
    ],
)
def test_drain_stops_no_more_tasks_than_may_be_unavailable(
    percents: tuple[int, ...], stop_count: int
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
    world.add_executor("free")
    view = world.schedule.executors[orders[0].executor_id]
    view.drain_order = "1.1"
    other_view = world.schedule.executors[orders[1].executor_id]
    other_view.drain_order = "1.2"
    assert len(world.stops()) == stop_count
    assert not view.is_drained


@pytest.mark.parametrize(
    ("failure", "stop_count"),
    [
        # All executors have just reported their tasks.
        ("no", 1),
        # The executor of another task did not answer its last poll.
        ("lost", 0),
        # Its last report is too old to show whether the task still runs.
        ("old", 0),
    ],
)
def test_task_of_unresponsive_executor_counts_as_unavailable(
    failure: str, stop_count: int
) -> None:
    """Guard against a drain that continues after another host has crashed."""
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
    world.add_executor("free")
    views = [world.schedule.executors[each.executor_id] for each in orders]
    views[0].drain_order = "1.1"
    if failure == "lost":
        views[1].last_report_at = None
    if failure == "old":
        world.now += 1.6
        for order in (orders[0], orders[2]):
            running = [(order.task.name, order.run)]
            world.report_tasks(order.executor_id, running=running, percent=100)
        world.report_tasks("free")
    assert len(world.stops()) == stop_count


@pytest.mark.parametrize("is_job_known", [True, False])
def test_reported_run_uses_its_resources_after_its_job_has_ended(
    is_job_known: bool,
) -> None:
    """Otherwise a new owner places more tasks than the executor can hold."""
    world = PoolWorld(term=2)
    view = world.add_executor("x", has_reported=False)
    if is_job_known:
        world.add_job(
            [StepSpec(count=2, cpu_millis=3000)],
            progress=ProgressRecord(1, JobState.CANCELLED),
        )
    world.report_tasks("x", running=[(TASK, 1001)])
    # The run of an unknown job is assumed to use the whole capacity.
    assert view.used_cpu == (3000 if is_job_known else 4000)
    world.add_job(
        [StepSpec(count=1, cpu_millis=1500)], job_id="5c0e7a21d94b36f9"
    )
    assert world.starts() == []


def test_new_owner_waits_for_stops_of_the_previous_owner() -> None:
    """A run that is being stopped is reported as active until it has ended.

    A new owner that relocates tasks immediately stops one too many.  The
    step had too few available tasks 70 ms after a graceful handover.
    """
    world = PoolWorld(term=2, relocate_after=101.5)
    leaving = world.add_executor("x", has_reported=False)
    world.add_executor("y", has_reported=False)
    world.add_job(
        [StepSpec(count=2, cpu_millis=1000, lasts=True, may_miss=1)],
        progress=begun_progress(),
    )
    first, second = (TaskName(JOB, 0, 0, index) for index in range(2))
    leaving.drain_order = "1.1"
    # The previous owner has sent y a stop for the first task.
    world.report_tasks("y", running=[(first, 1001)], percent=100)
    world.report_tasks("x", running=[(second, 1001)], percent=100)
    assert world.stops() == []
    world.now += 0.4
    world.report_tasks("y", ended=[(first, 1001, EndKind.STOPPED)])
    world.report_tasks("x", running=[(second, 1001)], percent=100)
    assert world.stops() == []
    world.now += 1.2
    world.report_tasks("x", running=[(second, 1001)], percent=100)
    # One task is unavailable, so the other one must stay.
    assert world.stops() == []


def test_failure_stored_by_the_previous_owner_is_counted_once() -> None:
    """The end was not acknowledged, so the executor reports it again.

    Counted twice, it fails the job one attempt too early.
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
    adopted = after.add_job(ONE, progress=job.progress, max_attempts=2)
    after.report_tasks("x", ended=[(TASK, order.run, EndKind.FAILED)])
    assert adopted.progress.state == JobState.RUNNING
    (retry,) = after.starts()
    after.answer(retry)
    after.report_tasks("x", ended=[(TASK, retry.run, EndKind.FAILED)])
    assert adopted.progress.state == JobState.FAILED


# Guards against BUDGET: a fourth run of a task with three attempts, after a
# new owner had dropped the failures that executors listed out of order.
@pytest.mark.parametrize(
    "order", [(1001, 1002, 1003), (1003, 1001, 1002), (1002, 1003, 1001)]
)
def test_failures_count_in_whatever_order_executors_list_them(
    order: tuple[int, ...],
) -> None:
    world = PoolWorld(term=2)
    for run in order:
        world.add_executor(f"x{run}", has_reported=False)
    progress = ProgressRecord(1, JobState.RUNNING)
    job = world.add_job(ONE, progress=progress, max_attempts=3)
    for run in order:
        world.report_tasks(f"x{run}", ended=[(TASK, run, EndKind.FAILED)])
    assert job.progress.state == JobState.FAILED
    assert world.starts() == []
