"""Tests that the work of one plan is bounded, whatever the job's size.

They count operations, so that they don't depend on the machine's speed.
`bench.plan_growth` measures the same cases.
"""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from lycheelug.workloads import (
    HostEvidence,
    JobRecord,
    LossCause,
    PoolSchedule,
    ProgressRecord,
    QueuePolicy,
    Resources,
    RunPhase,
    StartOrder,
    StepSpec,
    Task,
)
from lycheelug.workloads.crash_records import CrashRecord
from lycheelug.workloads.executors import ExecutorView
from tests.pool_world import PoolWorld

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

    def items(self) -> Any:
        self.looks += len(self)
        return super().items()

    def values(self) -> Any:
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
        assert counts.fit_checks <= LOOKS_PER_TASK * tasks
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


# Guards against a waiting job with a label, a limit or a preference that asks
# all executors for each of its tasks.
@pytest.mark.parametrize(
    "step",
    [
        StepSpec(3_000, 100, required_label="absent"),
        StepSpec(3_000, 64_001, lasts=True),
        StepSpec(3_000, 100, required_label="absent", lasts=True),
        StepSpec(3_000, 64_000, max_per_executor=1),
    ],
    ids=["label", "too-large", "lasting", "limit"],
)
def test_executors_are_asked_once_for_tasks_that_find_no_place(
    step: StepSpec, monkeypatch: pytest.MonkeyPatch
) -> None:
    executors = 200
    world = wide_world(executors)
    world.add_job([StepSpec(executors, 500, max_per_executor=1)], OTHER)
    start_all(world)
    world.add_job([step])
    counts = Counts(monkeypatch)
    assert not world.schedule.plan(world.now, world.now, 0)
    assert counts.fit_checks <= ASKS_PER_EXECUTOR * executors


# Guards against a gang that is tried once for each of its members, each time
# until it lacks room for the last one.
@SIZES
def test_gang_without_room_is_tried_once(
    tasks: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = wide_world(7)
    # It needs more than six executors and less than seven.
    cpu_millis = CAPACITY.cpu_millis * 13 // (2 * tasks)
    world.add_job([StepSpec(tasks, cpu_millis, is_gang=True)])
    world.schedule.executors["x0000"].backoff_until = world.now + 1.0
    places: list[object] = []
    place = PoolSchedule.place

    def count(
        schedule: PoolSchedule,
        task: Task,
        view: ExecutorView,
        now: float,
        run: int = 0,
    ) -> StartOrder:
        places.append(task)
        return place(schedule, task, view, now, run)

    monkeypatch.setattr(PoolSchedule, "place", count)
    assert not world.starts()
    assert len(places) <= tasks
    world.now += 1.0
    for name in list(world.schedule.executors):
        world.report_tasks(name)
    assert len(world.starts()) == tasks


# Guards against a plan that starts thousands of tasks at once, while the
# daemon does nothing else.
def test_plan_starts_a_limited_number_of_tasks() -> None:
    world = wide_world(7)
    job = world.add_job([small_step(5_000, 7)])
    started = 0
    while started < 5_000:
        orders = world.schedule.plan(world.now, world.now, 0)
        assert 0 < len(orders) <= STARTS_MAX
        assert world.schedule.budget.is_spent or started + len(orders) == 5_000
        started += len(orders)
    assert not world.schedule.plan(world.now, world.now, 0)
    assert all(task.executor_id for task in job.tasks())


# Guards against a plan that considers millions of executors, and against
# steps that are never reached because those before them cost too much.
def test_plan_considers_a_limited_number_of_executors(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    executors, jobs = 1_300, 100
    world = wide_world(executors)
    for number in range(jobs):
        step = StepSpec(2, 100, required_label="absent")
        world.add_job([step], f"{number:016x}", accepted_ms=number)
    last = world.add_job([StepSpec(1, 100)], OTHER, accepted_ms=jobs)
    counts = Counts(monkeypatch)
    plans = 0
    while not last.tasks()[0].executor_id:
        counts.reset()
        plans += 1
        world.schedule.plan(world.now, world.now, 0)
        assert counts.fit_checks <= CHECKS_MAX + 2 * executors
        assert plans <= jobs * executors // CHECKS_MAX + 2
    assert plans > 1


# Guards against a budget that a slow host never gets through in time.
@pytest.mark.parametrize(
    ("durations_s", "starts"),
    [
        ([0.01], 200),
        ([0.06], 100),
        ([0.06, 0.06, 0.06, 0.06], 50),
        ([0.06, 0.06, 0.03], 50),
        ([0.06, 0.06, 0.01], 100),
    ],
)
def test_plan_does_less_on_a_host_that_needs_longer(
    durations_s: list[float], starts: int
) -> None:
    world = wide_world(7)
    world.add_job([small_step(5_000, 7)])
    for took_s in durations_s:
        world.schedule.plan(world.now, world.now, 0)
        world.schedule.budget.record_duration(took_s)
    assert len(world.schedule.plan(world.now, world.now, 0)) == starts


# Guards against drains that look at all tasks of a step for each of its runs,
# and at all executors for each task without another place.
@SIZES
@pytest.mark.parametrize("has_room", [True, False])
def test_drain_looks_at_each_task_once(
    tasks: int, has_room: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = wide_world(7)
    step = small_step(tasks, 7)
    step.lasts = True
    step.may_miss = 20
    job = world.add_job([step])
    start_all(world)
    world.now += 2.0
    for name, view in world.schedule.executors.items():
        world.report_tasks(name, list(view.runs), percent=100)
    if not has_room:
        for view in world.schedule.executors.values():
            view.backoff_until = world.now + 1.0
    leaving = world.schedule.executors["x0000"]
    leaving.drain_order = "1"
    runs = len(leaving.runs)
    assert runs > 20
    gets = [0]
    step_tasks = type(job).step_tasks
    counts = Counts(monkeypatch)

    def count(self: object, task: object) -> object:
        gets[0] += 1
        return step_tasks(self, task)  # type: ignore[arg-type]

    monkeypatch.setattr(type(job), "step_tasks", count)
    world.schedule.plan(world.now, world.now, 0)
    assert gets[0] <= 1
    assert counts.fit_checks <= ASKS_PER_EXECUTOR * 7 + step.may_miss
    stopping = [
        run for run in leaving.runs.values() if run.phase is RunPhase.STOPPING
    ]
    assert len(stopping) == (step.may_miss if has_room else 0)


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
    assert [tasks.position for tasks in ready] == [1]
    job.record_done(ready[0][0], 0, 0.0)
    assert job.progress.state == "completed"
    assert job.open_steps == {}
