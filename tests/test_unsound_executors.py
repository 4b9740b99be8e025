"""Tests of the schedule with failing, stalling or unresponsive executors."""

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
DUPLICABLE = [
    StepSpec(count=1, cpu_millis=1000, estimate_ms=1000, may_duplicate=True)
]


def job_id(number: int) -> str:
    return f"{number:016x}"


@pytest.mark.parametrize(
    ("steps", "restarts"),
    [
        # The step allows duplicates: the second run starts immediately.
        (DUPLICABLE, 1),
        # The task may still be running: no restart before the lease ends.
        (ONE, 0),
    ],
)
def test_only_duplicable_task_of_unresponsive_executor_restarts(
    steps: list[StepSpec], restarts: int
) -> None:
    world = PoolWorld()
    unresponsive = world.add_executor("x")
    job = world.add_job(steps)
    (first,) = world.starts()
    world.answer(first)
    world.add_executor("y")
    unresponsive.last_report_at = None
    second = world.starts()
    assert [order.executor_id for order in second] == ["y"] * restarts
    if not restarts:
        return
    world.answer(second[0])
    # The first run turns out to have succeeded: the second is stopped.
    world.report_tasks("x", ended=[(TASK, first.run, EndKind.DONE)])
    assert job.progress.state == JobState.COMPLETED
    (stop,) = world.stops()
    assert (stop.executor_id, stop.run) == ("y", second[0].run)


def test_duplicated_run_is_stopped_once_its_executor_responds() -> None:
    world = PoolWorld()
    unresponsive = world.add_executor("x")
    world.add_job(DUPLICABLE)
    (first,) = world.starts()
    world.answer(first)
    world.add_executor("y")
    unresponsive.last_report_at = None
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
        # It is about to be reported as ended.
        ([90, 100, 100, 100], False),
    ],
)
def test_stalled_run_is_stopped_and_restarted_elsewhere(
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


def test_executor_that_fails_every_run_gets_no_more_tasks() -> None:
    """Without a quarantine, jobs would use up all their attempts there.

    Load pattern: one executor fails each run immediately, so that it always
    has free capacity and packing prefers it.
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


def test_failures_of_one_job_do_not_quarantine_its_executor() -> None:
    world = PoolWorld()
    view = world.add_executor("x")
    world.add_job(ONE, max_attempts=3)
    for _ in range(3):
        (order,) = world.starts()
        world.answer(order)
        world.report_tasks("x", ended=[(TASK, order.run, EndKind.FAILED)])
    assert not view.health.is_quarantined(world.now)


def test_executor_gets_no_starts_after_an_unanswered_one() -> None:
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


def test_long_running_task_stalled_in_startup_is_stopped() -> None:
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
