"""Tasks that fill beside tasks that serve, and queues that need advice."""

from __future__ import annotations

import pytest

from lycheelug.workloads import PaceOrder, StartAnswer, StepName, StepSpec
from tests.pool_world import JOB, PoolWorld

SERVING = StepSpec(count=1, cpu_millis=4000, lasts=True, target_ms=100)
FILLING = StepSpec(count=1, cpu_millis=4000, lasts=True, fills=True)
STEP = StepName(JOB, 0, 0)


def shared(world: PoolWorld) -> list[tuple[object, int]]:
    """Let a serving and a filling task run on one full executor."""
    world.add_executor("x")
    world.add_job([SERVING], job_id="serving")
    world.add_job([FILLING], job_id="filling")
    orders = world.starts()
    for order in orders:
        world.answer(order)
    return [(order.task.name, order.run) for order in orders]


def paces(world: PoolWorld) -> list[int]:
    return [
        order.percent for order in world.plan() if isinstance(order, PaceOrder)
    ]


@pytest.mark.parametrize(
    ("tails_ms", "expected"),
    [
        # Below the target: nothing is slowed.
        ([20], [[]]),
        # Over it: halved with each list until it stops.
        ([150, 150, 150, 150], [[50], [25], [12], [0]]),
        # Well below again: back in steps.
        ([150, 20, 20], [[50], [60], [70]]),
        # In between: kept.
        ([150, 70], [[50], []]),
    ],
)
def test_filling_task_yields_to_the_measured_tail(
    tails_ms: list[int], expected: list[list[int]]
) -> None:
    world = PoolWorld()
    running = shared(world)
    assert len(running) == 2
    for tail_ms, wanted in zip(tails_ms, expected, strict=True):
        world.now += 0.5
        world.report_tasks("x", running=running, load=tail_ms)  # type: ignore[arg-type]
        assert paces(world) == wanted


def test_step_waits_for_advice_and_uses_only_what_is_allowed() -> None:
    world = PoolWorld()
    world.add_executor("x")
    world.add_executor("y")
    world.add_job(
        [StepSpec(count=2, cpu_millis=100)], needs_placement_hint=True
    )
    schedule = world.schedule
    assert world.starts() == []
    assert set(schedule.hint_requests.pop(STEP)) == {"x", "y"}
    # One call at a time.
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


def test_rejected_ticket_is_asked_for_anew() -> None:
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
