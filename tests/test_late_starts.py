"""Tests of calls that another incarnation has carried out, or may yet."""

from __future__ import annotations

from copy import copy
from typing import TYPE_CHECKING

import pytest

from lycheelug.jobservice.used_executors import (
    UsedExecutors,
    decode_used_executors,
)
from lycheelug.workloads import (
    EndKind,
    ExecutorInfo,
    LossCause,
    PoolSchedule,
    StartAnswer,
    StepSpec,
    TaskReport,
    apply_start_answer,
    apply_task_report,
    make_poll,
)
from lycheelug.workloads.executors import CLOCK_DRIFT, LATE_CALL_S
from tests.pool_world import CAPACITY, PoolWorld

if TYPE_CHECKING:
    from lycheelug.workloads import ExecutorView

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


def hear(schedule: PoolSchedule, view: ExecutorView, now: float) -> None:
    born_ms = view.info.born_ms
    clock_ms = int(now * 1000) - born_ms
    report = TaskReport(clock_ms, born_ms, [], [])
    call = make_poll(view, now, schedule.lease_s, False)
    apply_task_report(schedule, view, report, call, now, 0)


# Guards against a new owner that gives runs up while a lease which their
# executor has granted on the former clock goes on (issue 56).
@pytest.mark.parametrize("heard_for_s", [0.5, 2.0, 5.9, 6.5, 20.0])
def test_next_owner_knows_of_leases_on_a_former_clock(
    heard_for_s: float,
) -> None:
    restarted_at = 100.0
    longest_s = 6.0
    first = PoolSchedule("quotes", 1, 3.5, 0.0, lease_max_s=longest_s)
    info = ExecutorInfo("x", "quotes", "a:1", CAPACITY, host="x", born_ms=1)
    view = first.observe_executor(info)
    hear(first, view, 50.0)
    hear(first, view, 60.0)
    info = copy(info)
    info.born_ms = 99_000
    view = first.observe_executor(info)
    # A poll with a deadline on the former clock has just arrived.
    hear(first, view, restarted_at)
    now = restarted_at + heard_for_s
    hear(first, view, now)
    view.is_recorded = True
    ((_, value),) = UsedExecutors(first).take_changes().values()
    records = decode_used_executors(value)
    assert records is not None
    second = PoolSchedule("quotes", 2, 3.5, now + 7.6, lease_max_s=longest_s)
    view = second.observe_executor(info)
    view.recorded_born_ms = records["x"].born_ms
    hear(second, view, now)
    assert view.leases_end_at >= restarted_at + longest_s
    # Once they have ended, a lost run is given up as early as before.
    is_settled = heard_for_s > longest_s / (1 - CLOCK_DRIFT)
    assert (view.leases_end_at < now + 4.0) == is_settled


# Guards against jobs that crash each executor before a report has located
# their runs, and are not suspected of it (related to issue 56).
@pytest.mark.parametrize(
    ("answer", "has_run_since", "is_recorded"),
    [
        # Surely carried out, and not by the incarnation that reports.
        (StartAnswer.STARTED, False, True),
        (StartAnswer.STARTED, True, False),
        (StartAnswer.NO_ANSWER, False, False),
    ],
)
def test_run_that_was_not_located_is_lost_with_its_executor(
    answer: StartAnswer, has_run_since: bool, is_recorded: bool
) -> None:
    world = PoolWorld()
    view = world.add_executor("x")
    job = world.add_job([StepSpec(count=1, cpu_millis=1000)])
    (order,) = world.starts()
    apply_start_answer(
        world.schedule,
        view,
        order.task,
        order.run,
        answer,
        world.now,
        is_located=False,
    )
    world.now += 0.3
    running = [(order.task.name, order.run)] if has_run_since else []
    world.report_tasks("x", running=running, born_ms=2)
    assert bool(job.progress.crashes) == is_recorded
    assert len(view.runs) == len(running)
