"""Tests of the relocation of long-running tasks from drained hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from lycheelug.jobservice.summary import refused_orders
from lycheelug.workloads import (
    EndKind,
    StartOrder,
    StepSpec,
    StopOrder,
)
from tests.pool_world import CAPACITY, PoolWorld

if TYPE_CHECKING:
    from lycheelug.workloads import ExecutorView

OTHER_JOB = "5c0e7a21d94b36f9"
TICK_S = 0.1


def lasting(
    count: int = 1,
    cpu_millis: int = 1000,
    may_miss: int = 0,
    max_per_executor: int = 0,
) -> StepSpec:
    return StepSpec(
        count,
        cpu_millis,
        lasts=True,
        may_miss=may_miss,
        max_per_executor=max_per_executor,
    )


def short(count: int, cpu_millis: int = 1000) -> StepSpec:
    return StepSpec(count=count, cpu_millis=cpu_millis, estimate_ms=500)


class DrainWorld(PoolWorld):
    """A pool whose executors carry out their orders within a step."""

    def run_starts(self) -> list[StartOrder]:
        """Carry out the starts that are due."""
        orders = self.starts()
        for order in orders:
            self.answer(order)
        self.report_all()
        return orders

    def report_all(self) -> None:
        """Let all executors report their runs as available."""
        for name, view in self.schedule.executors.items():
            self.report_tasks(name, running=list(view.runs), percent=100)

    def step(self) -> list[StartOrder | StopOrder]:
        """Advance the time and carry out all orders, stops at once."""
        self.now += TICK_S
        self.report_all()
        orders = [
            each
            for each in self.plan()
            if isinstance(each, StartOrder | StopOrder)
        ]
        for order in orders:
            if isinstance(order, StartOrder):
                self.answer(order)
                continue
            self.answer_stop(order)
            self.report_tasks(
                order.executor_id,
                running=[
                    key
                    for key in self.schedule.executors[order.executor_id].runs
                    if key != (order.task_name, order.run)
                ],
                ended=[(order.task_name, order.run, EndKind.STOPPED)],
                percent=100,
            )
        return orders

    def view(self, name: str) -> ExecutorView:
        return self.schedule.executors[name]

    def count_lasting(self, *names: str) -> int:
        """Return the long-running runs on some executors."""
        return sum(
            run.task is not None and run.task.step.lasts
            for name in names
            for run in self.view(name).runs.values()
        )


def drained_world(step: StepSpec) -> DrainWorld:
    """Return a pool whose executor x has a job's tasks and an order."""
    world = DrainWorld()
    world.add_executor("x")
    world.add_job([step])
    assert len(world.run_starts()) == step.count
    world.view("x").drain_order = "1.1"
    return world


# Guards against LOST: the only place of a long-running task is taken away for
# the maintenance of its host.
@pytest.mark.parametrize(
    "obstacle",
    ["absent", "full", "drained", "draining", "silent", "label", "reserved"],
)
def test_task_without_another_place_is_not_stopped(obstacle: str) -> None:
    world = drained_world(StepSpec(1, 1000, lasts=True, required_label="a"))
    world.view("x").drain_order = ""
    if obstacle != "absent":
        labels = ("b", "r1") if obstacle == "label" else ("a", "r1")
        other = world.add_executor("y", labels=labels)
        if obstacle == "full":
            world.add_job([lasting(1, 4000)], job_id=OTHER_JOB)
            assert len(world.run_starts()) == 1
        other.drain_order = "1.2" if obstacle == "drained" else ""
        other.info.draining = obstacle == "draining"
        if obstacle == "silent":
            other.last_report_at = None
        if obstacle == "reserved":
            world.schedule.isolation.restore("y", OTHER_JOB)
            world.add_job([lasting(1, 4000)], job_id=OTHER_JOB)
    world.view("x").drain_order = "1.1"
    assert world.stops() == []
    assert world.count_lasting("x") == 1


# Guards against LOST: a task is stopped on a host beside whose tasks the
# limit of tasks per executor leaves it no place.
@pytest.mark.parametrize(("limit", "stop_count"), [(1, 0), (2, 1)])
def test_limit_of_tasks_per_executor_holds_for_the_other_place(
    limit: int, stop_count: int
) -> None:
    world = DrainWorld()
    world.add_executor("x")
    world.add_executor("y")
    world.add_job([lasting(2, max_per_executor=1, may_miss=1)])
    (first, _) = world.run_starts()
    first.task.step.max_per_executor = limit
    world.view(first.executor_id).drain_order = "1.1"
    assert len(world.stops()) == stop_count


# Guards against LOST: two tasks are stopped for the same place, so that one
# of them has none.
@pytest.mark.parametrize("jobs", [1, 2])
def test_tasks_are_not_stopped_for_the_same_place(jobs: int) -> None:
    world = DrainWorld()
    world.add_executor("x")
    for number in range(jobs):
        world.add_job(
            [lasting(2 // jobs, 2000, may_miss=2)], job_id=f"{number:016x}"
        )
    assert len(world.run_starts()) == 2
    world.view("x").drain_order = "1.1"
    free = CAPACITY._replace(cpu_millis=3000)
    world.add_executor("y", capacity=free)
    assert len(world.stops()) == 1


# Guards against LOST: a task is stopped for a place that another task of the
# pool, which waits, takes first.
def test_waiting_task_keeps_its_claim_to_the_place() -> None:
    world = drained_world(lasting(1, 3000))
    world.add_executor("y", has_reported=False)
    world.add_job([lasting(1, 3000)], job_id=OTHER_JOB)
    assert world.plan() == []
    world.report_tasks("y")
    world.view("y").backoff_until = world.now + 1.0
    assert world.plan() == []
    world.view("y").backoff_until = 0.0
    orders = world.plan()
    assert [type(order) for order in orders] == [StartOrder]
    assert world.count_lasting("x") == 1


# Guards against a wave that never ends: short tasks, here of a queue with a
# higher priority, take all room that becomes free, so a long-running task
# never has another place.
def test_room_is_held_until_the_task_is_placed() -> None:
    world = DrainWorld()
    world.add_executor("x")
    world.add_job([lasting(1, 3000)]).policy.priority = 1
    assert len(world.run_starts()) == 1
    world.view("x").info.capacity = CAPACITY._replace(cpu_millis=3000)
    world.add_executor("y")
    world.add_job([short(8)], job_id=OTHER_JOB)
    assert len(world.run_starts()) == 4
    world.view("x").drain_order = "1.1"
    runs = list(world.view("y").runs)
    for done in range(1, 4):
        assert world.stops() == []
        ended = [(*runs[done], EndKind.DONE)]
        running = [runs[0], *runs[done + 1 :]]
        world.report_tasks("y", running=running, ended=ended)
    (stop,) = world.stops()
    world.answer_stop(stop)
    key = (stop.task_name, stop.run)
    world.report_tasks("x", ended=[(*key, EndKind.STOPPED)])
    (start,) = world.starts()
    assert (start.executor_id, start.task.name) == ("y", stop.task_name)
    # Nothing is held any more.
    world.answer(start)
    ended = [(*runs[0], EndKind.DONE)]
    world.report_tasks("y", [(start.task.name, start.run)], ended)
    assert len(world.starts()) == 1


def refusals(world: PoolWorld) -> dict[str, str]:
    return refused_orders(world.schedule)


# Guards against LOST: a host stays under a drain order, without new tasks,
# though its tasks have no other place.
def test_order_is_refused_while_a_task_has_no_other_place() -> None:
    world = drained_world(lasting(1, 3000))
    for _ in range(9):
        world.step()
    # A replacement may be about to report.
    assert refusals(world) == {}
    for _ in range(5):
        world.step()
    assert refusals(world) == {"h-x": "1.1"}
    world.add_executor("y")
    world.step()
    assert refusals(world) == {}
    world.step()
    assert world.count_lasting("x") == 0
    assert world.count_lasting("y") == 1


# Guards against LOST: the hosts that a waiting task could use are all under
# drain orders, and none is given back.
@pytest.mark.parametrize(
    ("cpu_millis", "is_refused"),
    [
        (1000, True),
        # No executor of the pool could ever take the task.
        (9000, False),
    ],
)
def test_waiting_task_gets_a_host_back(
    cpu_millis: int, is_refused: bool
) -> None:
    world = DrainWorld()
    for name in ("x", "y"):
        world.add_executor(name).drain_order = f"1.{name}"
    world.add_job([lasting(1, cpu_millis)])
    for _ in range(7):
        world.step()
    assert len(refusals(world)) == int(is_refused)
    for host in refusals(world):
        # The planner withdraws the order.
        world.view(host.removeprefix("h-")).drain_order = ""
    world.step()
    assert world.count_lasting("x", "y") == int(is_refused)
