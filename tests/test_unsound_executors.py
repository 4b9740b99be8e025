"""A pool's schedule with executors that fail, stall or fall silent."""

from __future__ import annotations

import pytest

from lycheelug.workloads import (
    EndKind,
    RunPhase,
    StartAnswer,
    StepSpec,
    TaskName,
)
from lycheelug.workloads.model import JobState
from lycheelug.workloads.stalls import STALLED
from tests.pool_world import JOB, PoolWorld

TASK = TaskName(JOB, 0, 0, 0)
ONE = [StepSpec(count=1, cpu_millis=1000, estimate_ms=1000)]
TWIN = [
    StepSpec(count=1, cpu_millis=1000, estimate_ms=1000, may_duplicate=True)
]


def job_id(number: int) -> str:
    return f"{number:016x}"


@pytest.mark.parametrize(
    ("steps", "restarts"),
    [
        # A second run may race the first: it starts at once.
        (TWIN, 1),
        # It may still run there: nothing until its lease has ended.
        (ONE, 0),
    ],
)
def test_task_on_a_silent_executor_is_started_twice_only_where_it_may(
    steps: list[StepSpec], restarts: int
) -> None:
    world = PoolWorld()
    lost = world.add_executor("x")
    job = world.add_job(steps)
    (first,) = world.starts()
    world.answer(first)
    world.add_executor("y")
    lost.last_report_at = None
    second = world.starts()
    assert [order.executor_id for order in second] == ["y"] * restarts
    if not restarts:
        return
    world.answer(second[0])
    # The first run ends well after all: the second is stopped.
    world.report_tasks("x", ended=[(TASK, first.run, EndKind.DONE)])
    assert job.progress.state == JobState.COMPLETED
    (stop,) = world.stops()
    assert (stop.executor_id, stop.run) == ("y", second[0].run)


def test_duplicate_is_stopped_once_its_executor_is_back() -> None:
    world = PoolWorld()
    lost = world.add_executor("x")
    world.add_job(TWIN)
    (first,) = world.starts()
    world.answer(first)
    world.add_executor("y")
    lost.last_report_at = None
    (second,) = world.starts()
    world.answer(second)
    assert world.stops() == []
    world.now += 0.5
    world.report_tasks("x", running=[(TASK, first.run)])
    (stop,) = world.stops()
    assert (stop.executor_id, stop.run) == ("x", first.run)


@pytest.mark.parametrize(
    ("percents", "is_stopped"),
    [
        ([10, 10, 10, 10], True),
        ([10, 30, 50, 70], False),
        ([0, 0, 0, 0], True),
        # It is about to be listed as ended.
        ([90, 100, 100, 100], False),
    ],
)
def test_run_that_stands_still_is_stopped_and_goes_elsewhere(
    percents: list[int], is_stopped: bool
) -> None:
    world = PoolWorld()
    view = world.add_executor("x")
    world.add_job(ONE)
    (first,) = world.starts()
    world.answer(first)
    for percent in percents:
        world.now += 0.8
        world.report_tasks("x", running=[(TASK, first.run)], percent=percent)
    stops = world.stops()
    assert bool(stops) == is_stopped
    if not is_stopped:
        return
    assert stops[0].reason == STALLED
    world.answer_stop(stops[0])
    world.now += 0.4
    world.report_tasks("x", ended=[(TASK, first.run, EndKind.STOPPED)])
    world.add_executor("y")
    (second,) = world.starts()
    assert second.executor_id == "y"
    assert view.health.is_quarantined(world.now)


def test_executor_that_fails_everything_draws_in_no_more_tasks() -> None:
    """Load pattern: one executor ends each run at once, as failed.

    It always has room, and packing prefers it: without a memory of its
    failures, jobs lose all their attempts there.
    """
    world = PoolWorld()
    world.add_executor("bad")
    world.add_executor("good")
    failed = 0
    jobs = []
    for number in range(12):
        jobs.append(world.add_job(ONE, job_id=job_id(number)))
        ends: dict[str, list[tuple[TaskName, int, EndKind]]] = {}
        for order in world.starts():
            world.answer(order)
            kind = EndKind.DONE
            if order.executor_id == "bad":
                kind = EndKind.FAILED
                failed += 1
            ends.setdefault(order.executor_id, []).append(
                (order.task.name, order.run, kind)
            )
        world.now += 0.3
        for executor_id in ("bad", "good"):
            world.report_tasks(executor_id, ended=ends.get(executor_id))
    assert failed <= 4
    assert all(job.progress.state != "failed" for job in jobs)


def test_job_that_always_fails_condemns_no_executor() -> None:
    world = PoolWorld()
    view = world.add_executor("x")
    world.add_job(ONE, max_attempts=3)
    for _ in range(3):
        (order,) = world.starts()
        world.answer(order)
        world.report_tasks("x", ended=[(TASK, order.run, EndKind.FAILED)])
    assert not view.health.is_quarantined(world.now)


def test_executor_gets_nothing_after_an_unanswered_start() -> None:
    world = PoolWorld()
    world.add_executor("x")
    world.add_job(ONE)
    (order,) = world.starts()
    world.now += 0.5
    world.answer(order, StartAnswer.NO_ANSWER)
    world.add_job(ONE, job_id=job_id(2))
    assert world.starts() == []
    world.now += 0.2
    world.report_tasks("x", running=[(TASK, order.run)])
    assert len(world.starts()) == 1


def test_lasting_task_that_never_comes_up_is_restarted() -> None:
    world = PoolWorld()
    view = world.add_executor("x")
    world.add_job([StepSpec(count=1, cpu_millis=1000, lasts=True)])
    (order,) = world.starts()
    world.answer(order)
    for _ in range(7):
        world.now += 0.8
        view.record_lease(world.now, 5.0)
        world.report_tasks("x", running=[(TASK, order.run)], percent=40)
    (stop,) = world.stops()
    assert stop.reason == STALLED
    assert view.runs[TASK, order.run].phase is RunPhase.STOPPING
