"""Tests that the work of one plan is bounded, whatever the job's size.

They count operations, so that they don't depend on the machine's speed.
`bench.plan_growth` measures the same cases.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from lycheelug.workloads import (
    HostEvidence,
    JobRecord,
    LossCause,
    ProgressRecord,
    QueuePolicy,
    Resources,
    StartOrder,
    StepSpec,
)
from lycheelug.workloads.crash_records import CrashRecord
from lycheelug.workloads.executors import ExecutorView
from tests.pool_world import PoolWorld

if TYPE_CHECKING:
    from collections.abc import ItemsView, ValuesView

CAPACITY = Resources(64_000, 128_000, 0)
OTHER = "00000000000000ff"
# What one plan may do: look a few times at each crash record, task and run,
# ask each executor a few times, and consider so many executors for tasks.
LOOKS_PER_TASK = 4
ASKS_PER_EXECUTOR = 6
CHECKS_MAX = 50_000
# The tasks that one plan starts at most, but for a gang.
STARTS_MAX = 200
SIZES = pytest.mark.parametrize("tasks", [1_000, 2_000, 5_000])


class Counts:
    """Counts operations from the moment it was made."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.record_looks = 0
        self.fit_checks = 0
        is_likely = CrashRecord.is_likely
        fits = ExecutorView.fits

        def look(record: CrashRecord) -> bool:
            self.record_looks += 1
            return bool(is_likely.__get__(record))

        def check(view: ExecutorView, resources: Resources) -> bool:
            self.fit_checks += 1
            return fits(view, resources)

        monkeypatch.setattr(CrashRecord, "is_likely", property(look))
        monkeypatch.setattr(ExecutorView, "fits", check)

    def reset(self) -> None:
        self.record_looks = 0
        self.fit_checks = 0


class CountedRecords(dict[str, list[CrashRecord]]):
    """The crash records of a job, with the number of those gone through."""

    def __init__(self) -> None:
        super().__init__()
        self.looks = 0

    def items(self) -> ItemsView[str, list[CrashRecord]]:
        self.looks += len(self)
        return super().items()

    def values(self) -> ValuesView[list[CrashRecord]]:
        self.looks += len(self)
        return super().values()


def wide_world(executors: int) -> PoolWorld:
    world = PoolWorld()
    for number in range(executors):
        world.add_executor(f"x{number:04d}", capacity=CAPACITY)
    return world


def start_all(world: PoolWorld) -> None:
    """Plan until nothing more is started, and answer each start."""
    while True:
        starts = world.starts()
        if not starts:
            return
        for order in starts:
            world.answer(order)


def small_step(tasks: int, executors: int) -> StepSpec:
    """Return a step that fills the executors to five sixths."""
    cpu_millis = CAPACITY.cpu_millis * executors * 5 // (6 * tasks)
    return StepSpec(tasks, cpu_millis, estimate_ms=6000)


def crash_at_once(world: PoolWorld, executors: int) -> None:
    """Crash the busiest executors, as with their rack."""
    schedule = world.schedule
    views = sorted(
        schedule.executors.values(), key=lambda view: -len(view.runs)
    )
    world.now += 0.3
    for view in views[:executors]:
        view.last_report_at = None
        schedule.crashes.record_silence(schedule, view, world.now, world.now)
    for view in views[:executors]:
        world.report_tasks(view.executor_id, born_ms=2)
    world.store_crashes()


# Guards against plans that take seconds under a wide job of which several
# executors have crashed, so that no heartbeat is written and the pool changes
# its owner without end.
@SIZES
@pytest.mark.parametrize("crashed", [1, 2, 3, 6])
def test_plan_looks_at_each_crash_record_a_few_times(
    tasks: int, crashed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = wide_world(7)
    job = world.add_job([small_step(tasks, 7)])
    start_all(world)
    counts = Counts(monkeypatch)
    crash_at_once(world, crashed)
    assert len(job.progress.crashes) >= tasks // 7
    for _ in range(4):
        counts.reset()
        orders = world.schedule.plan(world.now, world.now, 0)
        assert counts.record_looks <= LOOKS_PER_TASK * tasks
        for order in orders:
            if isinstance(order, StartOrder):
                world.answer(order)
        world.store_crashes()
        world.now += 0.1


# Guards against a takeover that looks at all crash records for each run that
# an executor reports.
@SIZES
def test_takeover_looks_at_each_crash_record_a_few_times(
    tasks: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = wide_world(7)
    job = world.add_job([small_step(tasks, 7)])
    start_all(world)
    crash_at_once(world, 3)
    progress = msgspec.json.decode(
        msgspec.json.encode(job.progress), type=ProgressRecord
    )
    later = PoolWorld(term=2, earlier_leases_end_at=world.now)
    for view in world.schedule.executors.values():
        later.add_executor(
            view.executor_id, has_reported=False, capacity=CAPACITY
        )
    counts = Counts(monkeypatch)
    later.add_job(job.record.steps, progress=progress)
    for view in world.schedule.executors.values():
        later.report_tasks(
            view.executor_id, list(view.runs), born_ms=view.born_ms
        )
    later.plan()
    assert counts.record_looks <= LOOKS_PER_TASK * tasks


# Guards against losses that are compared with all records of all jobs, once
# for each executor that is silent, answers or is found in the list of hosts.
def test_losses_of_a_whole_pool_are_linear() -> None:
    executors, tasks = 300, 3_000
    world = wide_world(executors)
    step = small_step(tasks, executors)
    step.max_per_executor = tasks // executors
    job = world.add_job([step])
    start_all(world)
    records = job.progress.crashes = CountedRecords()
    schedule = world.schedule
    for view in schedule.executors.values():
        view.last_report_at = None
        schedule.crashes.record_silence(schedule, view, world.now, world.now)
    assert len(records) == tasks
    hosts = schedule.crashes.unproved_executors()
    schedule.crashes.record_hosts(dict.fromkeys(hosts, HostEvidence.ENDED))
    for executor_id in list(schedule.executors):
        schedule.remove_executor(executor_id, world.now, LossCause.NOT_LISTED)
    world.plan()
    assert records.looks <= LOOKS_PER_TASK * tasks


# Guards against the end of a task that looks at all tasks of its step.
def test_step_ends_with_its_last_task() -> None:
    world = wide_world(7)
    first, second = small_step(500, 7), StepSpec(1, 100, depends_on=[0])
    job = world.schedule.add_job(
        OTHER,
        JobRecord("queue", "", [first, second]),
        QueuePolicy("queue", "quotes"),
        ProgressRecord(done={"0.0": [3, 4, 700]}),
        0,
        0.0,
    )
    assert job.open_steps == {0: {0: 498, 1: 1}}
    for task in job.occurrences[0][0]:
        ready = job.record_done(task, 0, 0.0)
    assert [task.name.step for task in ready] == [1]
    job.record_done(ready[0], 0, 0.0)
    assert job.progress.state == "completed"
    assert job.open_steps == {}
