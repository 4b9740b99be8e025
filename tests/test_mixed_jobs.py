"""Tests of jobs of which some steps last and others don't."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from lycheelug.workloads import (
    EndKind,
    LossCause,
    Resources,
    RunPhase,
    StepSpec,
)
from lycheelug.workloads.model import JobState
from tests.pool_world import PoolWorld

if TYPE_CHECKING:
    from lycheelug.workloads import StartOrder

MAX_ATTEMPTS = 4
LASTING = StepSpec(count=2, cpu_millis=100, lasts=True)
AFTER = StepSpec(count=2, cpu_millis=100, lasts=True, depends_on=[0])


def play_failures(world: PoolWorld, failing: int, rounds: int) -> list[int]:
    """Let all runs of a step fail; return how often each task was started.

    Of a gang, one member fails and the others are broken.
    """
    starts: dict[int, int] = {}
    running: dict[str, list[StartOrder]] = {"x": []}
    for _ in range(rounds):
        world.now += 1.0
        failed: list[StartOrder] = []
        for order in world.starts():
            world.answer(order)
            if order.task.name.step != failing:
                running["x"].append(order)
                continue
            number = order.task.name.number
            starts[number] = starts.get(number, 0) + 1
            failed.append(order)
        ended: list[tuple[object, int, EndKind]] = []
        for position, order in enumerate(failed):
            is_broken = order.task.step.is_gang and position
            kind = EndKind.BROKEN if is_broken else EndKind.FAILED
            ended.append((order.task.name, order.run, kind))
        world.report_tasks(
            "x",
            [(each.task.name, each.run) for each in running["x"]],
            ended,  # type: ignore[arg-type]
            percent=100,
        )
    return list(starts.values())


# Guards against a step whose tasks fail without limit, as another step of its
# job lasts (review case 10).
@pytest.mark.parametrize(
    ("steps", "failing"),
    [
        ([StepSpec(count=1, cpu_millis=100), AFTER], 0),
        # The one that lasts doesn't depend on the failing one.
        ([StepSpec(count=1, cpu_millis=100), LASTING], 0),
        ([LASTING, StepSpec(count=1, cpu_millis=100)], 1),
        ([StepSpec(count=20, cpu_millis=100), AFTER], 0),
        ([StepSpec(count=3, cpu_millis=100, is_gang=True), AFTER], 0),
        ([StepSpec(count=3, cpu_millis=100, is_gang=True), LASTING], 0),
        ([StepSpec(count=1, cpu_millis=100, may_duplicate=True), AFTER], 0),
        # Without one that lasts.
        ([StepSpec(count=1, cpu_millis=100)], 0),
    ],
)
def test_failing_step_beside_one_that_lasts_is_given_up(
    steps: list[StepSpec], failing: int
) -> None:
    world = PoolWorld()
    world.add_executor("x", capacity=Resources(64_000, 64_000, 0))
    job = world.add_job(steps, max_attempts=MAX_ATTEMPTS)
    starts = play_failures(world, failing, rounds=12)
    assert max(starts) == MAX_ATTEMPTS
    assert job.progress.state == JobState.FAILED
    # What lasts is stopped with its job.
    world.plan()
    for run in world.schedule.executors["x"].runs.values():
        assert run.phase is RunPhase.STOPPING


# Guards against a limit on the attempts of what lasts.
@pytest.mark.parametrize(
    ("steps", "failing"),
    [([LASTING], 0), ([StepSpec(count=1, cpu_millis=100), LASTING], 1)],
)
def test_step_that_lasts_is_restarted_without_limit(
    steps: list[StepSpec], failing: int
) -> None:
    world = PoolWorld()
    world.add_executor("x")
    job = world.add_job(steps, max_attempts=MAX_ATTEMPTS)
    starts = play_failures(world, failing, rounds=30)
    assert min(starts) > MAX_ATTEMPTS
    assert not job.is_final


# Guards against a task that crashes executors and is never given up, as
# another step of its job lasts (related to review case 10).
@pytest.mark.parametrize(
    ("steps", "most"),
    [
        ([StepSpec(count=1, cpu_millis=100)], 5),
        ([StepSpec(count=1, cpu_millis=100), AFTER], 5),
    ],
)
def test_deadly_task_beside_one_that_lasts_is_given_up(
    steps: list[StepSpec], most: int
) -> None:
    world = PoolWorld()
    job = world.add_job(steps)
    schedule = world.schedule
    starts = 0
    for number in range(12):
        world.add_executor(f"x{number}")
        world.now += 2.5
        world.report_tasks(f"x{number}")
        for order in world.starts():
            world.answer(order)
            starts += 1
        # The crash comes too late to make it a likely cause.
        world.now += 3.0
        view = schedule.executors[f"x{number}"]
        view.last_report_at = None
        schedule.crashes.record_silence(schedule, view, world.now, world.now)
        schedule.remove_executor(f"x{number}", world.now, LossCause.REPLACED)
        world.plan()
    assert starts == most
    assert job.progress.state == JobState.FAILED
