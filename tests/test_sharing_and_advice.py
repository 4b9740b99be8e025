"""Tests of backfill throttling and of queues that need placement hints."""

from __future__ import annotations

import pytest

from lycheelug.workloads import PaceOrder, StartAnswer, StepName, StepSpec
from tests.pool_world import JOB, PoolWorld

SERVING = StepSpec(count=1, cpu_millis=4000, lasts=True, target_ms=100)
BACKFILL = StepSpec(count=1, cpu_millis=4000, lasts=True, fills=True)
STEP = StepName(JOB, 0, 0)


def start_serving_and_backfill(world: PoolWorld) -> list[tuple[object, int]]:
    """Start a serving and a backfill task on the same, full executor."""
    world.add_executor("x")
    world.add_job([SERVING], job_id="serving")
    world.add_job([BACKFILL], job_id="filling")
    orders = world.starts()
    for order in orders:
        world.answer(order)
    return [(order.task.name, order.run) for order in orders]


def ordered_paces(world: PoolWorld) -> list[int]:
    return [
        order.percent for order in world.plan() if isinstance(order, PaceOrder)
    ]


@pytest.mark.parametrize(
    ("tails_ms", "expected"),
    [
        # Below the target: the backfill task keeps its pace.
        ([20], [[]]),
        # Above the target: halved with each report, finally suspended.
        ([150, 150, 150, 150], [[50], [25], [12], [0]]),
        # Well below the target again: raised in steps.
        ([150, 20, 20], [[50], [60], [70]]),
        # In between: unchanged.
        ([150, 70], [[50], []]),
    ],
)
def test_backfill_pace_follows_the_tail_response_time(
    tails_ms: list[int], expected: list[list[int]]
) -> None:
    world = PoolWorld()
    running = start_serving_and_backfill(world)
    assert len(running) == 2
    for tail_ms, expected_paces in zip(tails_ms, expected, strict=True):
        world.now += 0.5
        world.report_tasks("x", running=running, load=tail_ms)  # type: ignore[arg-type]
        assert ordered_paces(world) == expected_paces


def test_step_waits_for_hints_and_uses_only_permitted_executors() -> None:
    world = PoolWorld()
    world.add_executor("x")
    world.add_executor("y")
    world.add_job(
        [StepSpec(count=2, cpu_millis=100)], needs_placement_hint=True
    )
    schedule = world.schedule
    assert world.starts() == []
    assert set(schedule.hint_requests.pop(STEP)) == {"x", "y"}
    # A call is pending, so no second one is requested.
    assert world.starts() == []
    assert schedule.hint_requests == {}
    schedule.placement_hints.add_tickets(
        STEP, {"y": "t1"}, 3.0, world.now, ["x", "y"]
    )
    orders = world.starts()
    assert [(each.executor_id, each.ticket) for each in orders] == [
        ("y", "t1"),
        ("y", "t1"),
    ]


def test_rejected_ticket_is_requested_again() -> None:
    world = PoolWorld()
    world.add_executor("y")
    world.add_job(
        [StepSpec(count=1, cpu_millis=100)], needs_placement_hint=True
    )
    schedule = world.schedule
    schedule.placement_hints.add_tickets(
        STEP, {"y": "t1"}, 3.0, world.now, ["y"]
    )
    (order,) = world.starts()
    world.answer(order, StartAnswer.BAD_TICKET)
    world.now += 0.1
    assert world.starts() == []
    assert schedule.hint_requests == {STEP: ["y"]}
