"""Tests of what an owner does in one turn, and what it must not wait for."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from lycheelug.jobservice import order_sender
from lycheelug.jobservice.pool_owner import OWNERSHIP_VALID_S, PoolOwner
from lycheelug.jobservice.summary import summarize
from lycheelug.workloads import Job, PoolSchedule, StepSpec, TaskState
from tests.crash_world import CrashWorld
from tests.job_world import (
    POOL,
    ROUTE,
    FakeFleet,
    FaultyRows,
    JobWorld,
    job_id,
    until,
)
from tests.pool_world import PoolWorld
from tests.virtual_time import VirtualClock, run_virtual

if TYPE_CHECKING:
    from collections.abc import Mapping

    import pytest
    from returns.result import Result

    from lycheelug.errors import Fault
    from lycheelug.jobservice.interfaces import StopAnswer
    from lycheelug.store.rows import RowCommit, RowConflict, RowName
    from lycheelug.workloads import ExecutorInfo, StartAnswer, TaskName

# Orders that one turn of the event loop sends at most: those of one chunk,
# and of the next one if the loop's turn begins between them.
ORDERS_PER_TURN = 100
# A task must run again within this time after its executor has crashed.
RESTARTED_S = 15.0


class CountedFleet(FakeFleet):
    """Executors that count the orders of each turn of the event loop."""

    def __init__(self) -> None:
        super().__init__()
        self.most_orders = 0
        self._orders = 0

    def count(self) -> None:
        if not self._orders:
            asyncio.get_running_loop().call_soon(self._end_turn)
        self._orders += 1
        self.most_orders = max(self.most_orders, self._orders)

    def _end_turn(self) -> None:
        self._orders = 0

    async def start(self, *arguments: Any) -> tuple[StartAnswer, int | None]:
        self.count()
        return await super().start(*arguments)

    async def stop(
        self, info: ExecutorInfo, task: TaskName, run: int, token: int
    ) -> StopAnswer:
        self.count()
        return await super().stop(info, task, run, token)


def owner_of(world: JobWorld, daemon: str) -> PoolOwner:
    holder = world.daemons[daemon].duties.held[POOL]
    assert isinstance(holder, PoolOwner)
    return holder


# Guards against thousands of orders that are sent while the daemon writes no
# heartbeat and answers no caller.
def test_orders_of_a_wide_job_leave_turns_to_other_tasks() -> None:
    async def run() -> None:
        world = JobWorld()
        fleet = CountedFleet()
        world.fleet = fleet
        world.fleet.add("x0", 60.0)
        world.start_fleet()
        world.start_daemon("e0")
        await until(lambda: world.holders(POOL) == ["e0"])
        step = StepSpec(count=1_500, cpu_millis=2, memory_mb=1)
        await world.submit("e0", 1, [step])
        await until(lambda: len(fleet.started) == step.count)
        await world.daemons["e0"].submissions.cancel(ROUTE, job_id(1))
        await until(lambda: not fleet.executors["x0"].running)
        assert 0 < fleet.most_orders <= ORDERS_PER_TURN
        await world.stop()

    run_virtual(run())


# Guards against a line for each withheld order, which crowds out the lines
# that tell why.
def test_withheld_orders_have_one_line(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[dict[str, Any]] = []

    def record(event: str, **fields: Any) -> None:
        if event.startswith("task-order"):
            lines.append(fields)

    async def run() -> int:
        world = JobWorld()
        paused_s = 0.0

        class PausedClock(VirtualClock):
            __slots__ = ()

            def now(self) -> float:
                return asyncio.get_running_loop().time() + paused_s

        monkeypatch.setattr("tests.job_world.VirtualClock", PausedClock)
        world.fleet.add("x0", 60.0)
        world.start_fleet()
        world.start_daemon("e0")
        await until(lambda: world.holders(POOL) == ["e0"])
        owner = owner_of(world, "e0")
        make_plan = owner.schedule.plan
        withheld = 0

        def plan_and_pause(*arguments: Any) -> Any:
            nonlocal paused_s, withheld
            orders = make_plan(*arguments)
            if len(orders) > 20:
                paused_s = OWNERSHIP_VALID_S + 1.0
                world.stores["e0"].down = True
                withheld += len(orders)
            return orders

        monkeypatch.setattr(
            PoolSchedule,
            "plan",
            lambda _, *arguments: plan_and_pause(*arguments),
        )
        step = StepSpec(count=120, cpu_millis=2, memory_mb=1)
        await world.submit("e0", 1, [step])
        await until(lambda: withheld > 0)
        await asyncio.sleep(0.5)
        assert not world.fleet.started
        await world.stop()
        return withheld

    monkeypatch.setattr(order_sender, "log_change", record)
    withheld = run_virtual(run())
    assert withheld == 120
    # Those of each turn of the event loop share a line.
    assert 0 < len(lines) <= 1 + withheld // order_sender.ORDERS_PER_TURN
    assert sum(line["orders"]["start"] for line in lines) == withheld
    for line in lines:
        assert line["executors"] == ["x0"]
        assert line["proof_age_s"] >= OWNERSHIP_VALID_S
        assert 0 < len(line["tasks"]) <= order_sender.NAMED_MAX


class ChangingRows(FaultyRows):
    """A store during whose commits tasks end or save their work."""

    __slots__ = ("jobs",)

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.jobs: dict[str, Job] = {}

    async def commit(
        self,
        part: str,
        expected: Mapping[RowName, int],
        writes: Mapping[RowName, bytes | None],
    ) -> Result[RowCommit | RowConflict, Fault]:
        now = asyncio.get_running_loop().time()
        for job in self.jobs.values():
            for task in job.tasks()[-1:]:
                job.record_checkpoint(task, f"{now:.6f}")
        return await super().commit(part, expected, writes)


# Guards against tasks that wait for their crash records to be stored while
# the job's other tasks end one after the other.
def test_lost_task_starts_again_although_its_job_always_changes() -> None:
    async def run() -> None:
        world = CrashWorld()
        for name in ("x0", "x1", "x2"):
            world.fleet.add(name, 600.0)
        world.start_fleet()
        world.start_daemon("e0", store_class=ChangingRows)
        await until(lambda: world.holders(POOL) == ["e0"])
        steps = [
            StepSpec(count=2, cpu_millis=100, max_per_executor=1),
            StepSpec(count=1, cpu_millis=100, saves_checkpoints=True),
        ]
        await world.submit("e0", 1, steps)
        await until(lambda: len(world.fleet.started) == 3)
        store = world.stores["e0"]
        assert isinstance(store, ChangingRows)
        store.jobs = owner_of(world, "e0").schedule.jobs
        first = world.fleet.started[0]
        world.crashing.crash(first.executor_id)
        await until(lambda: world.starts(first.name) == 2, RESTARTED_S)
        store.jobs = {}
        await world.stop()

    run_virtual(run())


# Guards against a summary that visits each task of each job ten times a
# second.
def test_summary_visits_no_task(monkeypatch: pytest.MonkeyPatch) -> None:
    world = PoolWorld()
    world.add_executor("x0")
    steps = [
        StepSpec(count=30, cpu_millis=200, memory_mb=8, estimate_ms=10),
        StepSpec(count=7, cpu_millis=300, memory_mb=1, depends_on=[0]),
        StepSpec(count=2, cpu_millis=50, memory_mb=2),
    ]
    job = world.add_job(steps)
    world.add_job([StepSpec(3, 90, 4, lasts=True)], "00000000000000ff")
    (done, *_) = world.starts()
    world.answer(done)
    job.record_done(job.occurrences[0][2][0], 0, 0.0)
    tasks = [
        task for each in world.schedule.jobs.values() for task in each.tasks()
    ]
    ready = [task for task in tasks if task.state is TaskState.READY]
    blocked = [task for task in tasks if task.state is TaskState.BLOCKED]
    late = [task for task in ready if not task.step.lasts]
    lasting = [task for task in tasks if task.step.lasts]

    def fail(_: Job) -> None:
        raise AssertionError("the summary visits all tasks")

    monkeypatch.setattr(Job, "tasks", fail)
    summary = summarize(world.schedule, world.now, 10**9)
    assert len(blocked) == 7
    assert late
    for total, counted in (
        (summary.ready_cpu, ready),
        (summary.blocked_cpu, blocked),
        (summary.late_cpu, late),
        (summary.lasting_cpu, lasting),
    ):
        assert total == sum(each.step.cpu_millis for each in counted)
    assert summary.ready_memory == sum(each.step.memory_mb for each in ready)
