"""Tests of starts that a removed executor may yet carry out."""

from __future__ import annotations

from lycheelug.workloads import EndKind, LossCause, StartAnswer, StepSpec
from lycheelug.workloads.executors import LATE_CALL_S
from tests.pool_world import PoolWorld

GANG = StepSpec(count=2, cpu_millis=3000, estimate_ms=1000, is_gang=True)


# Guards against second runs of a gang's member whose start is in doubt, as
# the gang starts again for the sake of another member (issue 56).
def test_gang_waits_for_the_start_of_each_member() -> None:
    world = PoolWorld()
    world.add_executor("x")
    world.add_executor("y")
    world.add_job([GANG])
    orders = {order.executor_id: order for order in world.starts()}
    world.answer(orders["x"], StartAnswer.NO_ANSWER)
    world.answer(orders["y"])
    world.schedule.remove_executor("x", world.now, LossCause.NOT_LISTED)
    removed_at = world.now
    world.add_executor("z")
    world.now += 0.1
    other = orders["y"]
    ended = [(other.task.name, other.run, EndKind.BROKEN)]
    world.report_tasks("y", ended=ended)
    world.report_tasks("z")
    assert world.starts() == []
    world.now = removed_at + LATE_CALL_S
    world.report_tasks("y")
    world.report_tasks("z")
    again = world.starts()
    assert {order.task.name for order in again} == {
        order.task.name for order in orders.values()
    }
