"""Tests of what a pool concludes from the loss of its executors."""

from __future__ import annotations

import msgspec
import pytest

from lycheelug.workloads import (
    EndKind,
    HostEvidence,
    Job,
    LossCause,
    ProgressRecord,
    StartAnswer,
    StartOrder,
    StepSpec,
    TaskName,
    TaskState,
)
from lycheelug.workloads.model import FailureCause, JobState
from tests.pool_world import JOB, PoolWorld

TASK = TaskName(JOB, 0, 0, 0)
ONE = [StepSpec(count=1, cpu_millis=1000, memory_mb=100)]


def job_id(number: int) -> str:
    return f"{number:016x}"


def start_one(world: PoolWorld) -> StartOrder:
    """Plan, answer the only start, and return it."""
    (order,) = world.starts()
    world.answer(order)
    return order


def start_soon(world: PoolWorld, executor_id: str) -> StartOrder:
    """Wait until the only executor gets a start, and answer it."""
    for _ in range(10):
        world.now += 0.2
        world.report_tasks(executor_id)
        for order in world.starts():
            world.answer(order)
            return order
    raise AssertionError("nothing is started")


def lose(
    world: PoolWorld,
    executor_id: str,
    cause: LossCause = LossCause.REPLACED,
    silent_s: float = 0.0,
) -> None:
    """Let an executor fall silent, and then prove or assume its end."""
    schedule = world.schedule
    view = schedule.executors[executor_id]
    view.last_report_at = None
    schedule.crashes.record_silence(schedule, view, world.now, world.now)
    world.now += silent_s
    schedule.remove_executor(executor_id, world.now, cause)


def lost_executors(job: Job) -> list[str]:
    """Return the executors whose losses are recorded under the first task."""
    records = job.progress.crashes.get("0.0.0", [])
    return [record.executor for record in records]


# Guards against a task that is started without end on crashing executors.
def test_second_crash_in_isolation_fails_the_job_with_a_reason() -> None:
    world = PoolWorld()
    for name in ("a", "b", "c"):
        world.add_executor(name)
    job = world.add_job(ONE)
    first = start_one(world)
    lose(world, first.executor_id)
    second = start_one(world)
    assert second.executor_id != first.executor_id
    lose(world, second.executor_id)
    assert world.starts() == []
    assert job.progress.state == JobState.FAILED
    for order in (first, second):
        assert order.executor_id in job.progress.reason


# Guards against a neighbour that is given up for another job's crashes.
def test_neighbours_of_a_deadly_task_are_kept_and_cleared() -> None:
    world = PoolWorld()
    for name in ("a", "b", "c", "d"):
        world.add_executor(name)
    neighbour = world.add_job(ONE, job_id(2))
    beside = start_one(world)
    world.now += 0.5
    deadly = world.add_job(ONE)
    first = start_one(world)
    assert first.executor_id == beside.executor_id
    world.now += 0.01
    lose(world, first.executor_id)
    # What was started last is tried first; each gets an executor of its own.
    orders = world.starts()
    assert len({order.executor_id for order in orders}) == len(orders)
    assert TASK in {order.task.name for order in orders}
    for order in orders:
        world.answer(order)
    (tried,) = (order for order in orders if order.task.name == TASK)
    lose(world, tried.executor_id)
    world.plan()
    assert deadly.progress.state == JobState.FAILED
    assert not neighbour.is_final
    assert not neighbour.progress.crashes


def test_run_that_goes_on_for_longer_clears_its_task() -> None:
    world = PoolWorld()
    for name in ("a", "b"):
        world.add_executor(name)
    job = world.add_job(ONE)
    first = start_one(world)
    world.now += 0.1
    lose(world, first.executor_id)
    second = start_one(world)
    world.now += 0.2
    world.report_tasks(second.executor_id, [(TASK, second.run)])
    assert job.is_suspect
    world.now += 0.2
    world.report_tasks(second.executor_id, [(TASK, second.run)])
    assert not job.is_suspect
    assert not job.progress.crashes


@pytest.mark.parametrize(
    ("cause", "is_draining", "is_counted"),
    [
        (LossCause.REPLACED, False, True),
        (LossCause.NOT_LISTED, False, True),
        (LossCause.HOST_ORDER, False, False),
        (LossCause.REPLACED, True, False),
    ],
    ids=["replaced", "not-listed", "host-order", "announced"],
)
def test_planned_end_of_an_executor_is_not_recorded(
    cause: LossCause, is_draining: bool, is_counted: bool
) -> None:
    world = PoolWorld()
    view = world.add_executor("a")
    job = world.add_job(ONE)
    start_one(world)
    view.info.draining = is_draining
    lose(world, "a", cause)
    assert lost_executors(job) == ["a"] * is_counted


def test_executors_lost_together_make_no_suspects() -> None:
    world = PoolWorld()
    jobs: list[Job] = []
    for number in range(5):
        world.add_executor(f"x{number}")
        jobs.append(
            world.add_job([StepSpec(count=1, cpu_millis=4000)], job_id(number))
        )
    for order in world.starts():
        world.answer(order)
    schedule = world.schedule
    for view in schedule.executors.values():
        view.last_report_at = None
        schedule.crashes.record_silence(schedule, view, world.now, world.now)
        world.now += 0.02
    world.now += 3.0
    for name in list(schedule.executors):
        schedule.remove_executor(name, world.now, LossCause.REPLACED)
    assert not any(job.is_suspect for job in jobs)
    # A task that is lost once more is suspected, whatever else was lost.
    world.add_executor("y")
    order = start_one(world)
    lose(world, "y")
    assert order.task.job.is_suspect


@pytest.mark.parametrize(
    ("answer", "is_counted"),
    [
        (StartAnswer.STARTED, True),
        (StartAnswer.NO_ANSWER, True),
        (StartAnswer.NOT_SENT, False),
        (StartAnswer.REJECTED, False),
    ],
)
# Guards against a job that is given up though its task never ran there.
def test_start_that_was_not_carried_out_is_no_evidence(
    answer: StartAnswer, is_counted: bool
) -> None:
    world = PoolWorld()
    world.add_executor("a")
    job = world.add_job(ONE)
    (order,) = world.starts()
    world.now += 0.2
    if answer in (StartAnswer.STARTED, StartAnswer.NO_ANSWER):
        world.answer(order, answer)
        lose(world, "a")
    else:
        view = world.schedule.executors["a"]
        lose(world, "a")
        world.schedule.executors["a"] = view
        world.answer(order, answer)
    assert lost_executors(job) == ["a"] * is_counted


def test_job_is_not_given_up_for_two_uncertain_runs() -> None:
    world = PoolWorld()
    for number in range(6):
        world.add_executor(f"x{number}")
    job = world.add_job(ONE)
    for _ in range(5):
        assert not job.is_final
        world.now += 1.5
        for name in world.schedule.executors:
            world.report_tasks(name)
        (order,) = world.starts()
        world.answer(order, StartAnswer.NO_ANSWER)
        lose(world, order.executor_id)
    world.plan()
    assert job.is_final


def test_silent_executor_that_answers_again_is_no_evidence() -> None:
    world = PoolWorld()
    world.add_executor("a")
    world.add_executor("b")
    steps = [StepSpec(count=1, cpu_millis=1000, may_duplicate=True)]
    job = world.add_job(steps)
    first = start_one(world)
    schedule = world.schedule
    view = schedule.executors[first.executor_id]
    view.last_report_at = None
    schedule.crashes.record_silence(schedule, view, world.now, world.now)
    start_one(world)
    assert lost_executors(job) == [first.executor_id]
    world.report_tasks(first.executor_id, [(TASK, first.run)])
    assert lost_executors(job) == []


# Guards against duplicates that crash one silent executor after another.
def test_task_of_two_silent_executors_waits_for_proof() -> None:
    world = PoolWorld()
    for name in ("a", "b", "c", "d"):
        world.add_executor(name)
    steps = [StepSpec(count=1, cpu_millis=1000, may_duplicate=True)]
    job = world.add_job(steps)
    lost: list[str] = []
    for _ in range(2):
        order = start_one(world)
        lost.append(order.executor_id)
        view = world.schedule.executors[order.executor_id]
        view.last_report_at = None
        world.schedule.crashes.record_silence(
            world.schedule, view, world.now, world.now
        )
    assert world.starts() == []
    assert not job.is_final
    for name in lost:
        world.schedule.remove_executor(name, world.now, LossCause.REPLACED)
    world.plan()
    assert job.progress.state == JobState.FAILED


def test_start_waits_until_the_evidence_is_stored() -> None:
    world = PoolWorld()
    world.add_executor("a")
    world.add_executor("b")
    job = world.add_job(ONE)
    first = start_one(world)
    world.stores_crashes = False
    lose(world, first.executor_id)
    assert world.starts() == []
    assert job.is_dirty
    job.has_unsaved_crashes = False
    assert len(world.starts()) == 1


@pytest.mark.parametrize(
    ("reported_born_ms", "crashes"),
    [
        # The executor that the last owner reserved still runs the task.
        (1, 1),
        # It has crashed meanwhile: the task may have run there.
        (2, 2),
    ],
)
def test_next_owner_continues_the_trial_of_its_predecessor(
    reported_born_ms: int, crashes: int
) -> None:
    world = PoolWorld()
    world.add_executor("a")
    world.add_executor("b")
    job = world.add_job(ONE)
    first = start_one(world)
    lose(world, first.executor_id)
    second = start_one(world)
    stored = msgspec.json.encode(job.progress)
    later = PoolWorld(term=2, earlier_leases_end_at=108.0)
    later.add_executor(second.executor_id, has_reported=False)
    progress = msgspec.json.decode(stored, type=ProgressRecord)
    job = later.add_job(ONE, progress=progress)
    runs = [(TASK, second.run)] if reported_born_ms == 1 else []
    later.report_tasks(second.executor_id, runs, born_ms=reported_born_ms)
    assert len(job.progress.crashes["0.0.0"]) == crashes
    assert not job.is_final
    if reported_born_ms == 1:
        lose(later, second.executor_id)
        later.plan()
        assert job.progress.state == JobState.FAILED


# Guards against a crash that isn't counted, as its owner froze before the
# executor's end was proved.
def test_next_owner_counts_a_crash_that_its_predecessor_only_suspected() -> (
    None
):
    world = PoolWorld()
    view = world.add_executor("a")
    job = world.add_job(ONE)
    start_one(world)
    view.last_report_at = None
    world.schedule.crashes.record_silence(
        world.schedule, view, world.now, world.now
    )
    assert job.is_dirty
    later = PoolWorld(term=2)
    for name in ("b", "c"):
        later.add_executor(name)
    job = later.add_job(ONE, progress=job.progress)
    second = start_one(later)
    (records,) = job.progress.crashes.values()
    # Its absence from the list of executors proves nothing.
    assert not records[0].is_proved
    assert later.schedule.crashes.unproved_executors() == {"a": "h-a"}
    later.schedule.crashes.record_hosts({"a": HostEvidence.ENDED})
    assert records[0].is_proved
    lose(later, second.executor_id)
    later.plan()
    assert job.progress.state == JobState.FAILED


def test_same_crash_is_counted_once_by_two_owners() -> None:
    world = PoolWorld()
    world.add_executor("a")
    job = world.add_job(ONE)
    start_one(world)
    lose(world, "a")
    later = PoolWorld(term=2)
    later.add_executor("a", has_reported=False)
    again = later.add_job(ONE, progress=job.progress)
    later.report_tasks("a", [(TASK, 1001)])
    lose(later, "a")
    assert lost_executors(again) == ["a"]


def test_gang_is_tried_as_a_whole() -> None:
    world = PoolWorld()
    for number in range(4):
        world.add_executor(f"x{number}")
    steps = [StepSpec(count=3, cpu_millis=2000, is_gang=True)]
    job = world.add_job(steps)
    orders = world.starts()
    assert len(orders) == 3
    for order in orders:
        world.answer(order)
    lost = orders[0].executor_id
    lose(world, lost)
    for order in orders:
        view = world.schedule.executors.get(order.executor_id)
        if view is not None:
            world.report_tasks(
                order.executor_id,
                ended=[(order.task.name, order.run, EndKind.BROKEN)],
            )
    again = world.starts()
    assert len(again) == 3
    assert all(not job.is_final for job in world.schedule.jobs.values())
    assert job.is_suspect


def test_long_running_job_keeps_its_other_tasks_running() -> None:
    world = PoolWorld()
    for number in range(4):
        world.add_executor(f"x{number}")
    steps = [
        StepSpec(
            count=3,
            cpu_millis=1000,
            lasts=True,
            may_miss=1,
            max_per_executor=1,
        )
    ]
    job = world.add_job(steps)
    orders = world.starts()
    for order in orders:
        world.answer(order)
    lose(world, orders[0].executor_id)
    again = world.starts()
    assert [order.task for order in again] == [orders[0].task]
    states = [task.state for task in job.tasks()]
    assert states == [TaskState.PLACED] * 3


# Guards against a suspect that keeps the only executor of a pool.
@pytest.mark.parametrize(("age_s", "is_suspect"), [(1.0, True), (20.0, False)])
def test_long_running_suspect_does_not_starve_a_pool_of_one(
    age_s: float, is_suspect: bool
) -> None:
    world = PoolWorld()
    world.add_executor("a")
    job = world.add_job([StepSpec(count=1, cpu_millis=1000, lasts=True)])
    first = start_one(world)
    world.now += age_s
    lose(world, first.executor_id)
    world.add_executor("b")
    assert job.is_suspect is is_suspect
    second = start_one(world)
    other = world.add_job(ONE, job_id(2))
    held_s = 0.0
    while not world.starts():
        held_s += 0.2
        assert held_s <= 2.0
        world.now += 0.2
        key = (second.task.name, second.run)
        world.report_tasks("b", [key], percent=100)
    assert not other.is_final


# Guards against a long-running job that is given up for crashes of others.
def test_long_running_task_survives_three_late_losses() -> None:
    world = PoolWorld()
    job = world.add_job([StepSpec(count=1, cpu_millis=1000, lasts=True)])
    for number in range(3):
        world.add_executor(f"x{number}")
        order = start_soon(world, f"x{number}")
        world.now += 14.0 - number
        lose(world, order.executor_id)
    world.plan()
    assert not job.is_final


# Guards against a long-running job that fails for the rare losses of months.
def test_hosts_lost_once_a_day_never_fail_a_long_running_job() -> None:
    world = PoolWorld()
    job = world.add_job([StepSpec(count=1, cpu_millis=1000, lasts=True)])
    for number in range(8):
        name = f"x{number}"
        world.add_executor(name)
        order = start_soon(world, name)
        # Each run is shorter than the one before.
        world.now += 86_400 - 3_600 * number
        world.report_tasks(name, [(order.task.name, order.run)], percent=100)
        lose(world, name)
        world.plan()
    assert not job.is_final
    assert len(lost_executors(job)) == 1


def test_suspects_leave_half_of_the_executors_to_others() -> None:
    world = PoolWorld()
    for number in range(6):
        world.add_executor(f"x{number}")
    for number in range(8):
        world.add_job([StepSpec(count=1, cpu_millis=500)], job_id(number))
    orders = world.starts()
    assert {order.executor_id for order in orders} == {"x0"}
    for order in orders:
        world.answer(order)
    lose(world, "x0")
    suspects = world.starts()
    assert len(suspects) == 2
    world.add_job([StepSpec(count=8, cpu_millis=1000)], job_id(99))
    others = world.starts()
    assert len(others) == 8
    reserved = {order.executor_id for order in suspects}
    assert not reserved & {order.executor_id for order in others}


# Guards against starts into room that an executor has lost meanwhile.
@pytest.mark.parametrize(
    ("cpu_millis", "starts"), [(4000, 2), (2000, 0), (1500, 0), (3000, 1)]
)
def test_shrunk_and_grown_capacity_bounds_the_next_starts(
    cpu_millis: int, starts: int
) -> None:
    world = PoolWorld()
    view = world.add_executor("a")
    world.add_job([StepSpec(count=6, cpu_millis=1000)])
    running = world.starts()
    assert len(running) == 4
    for order in running:
        world.answer(order)
    view.info.capacity = view.info.capacity._replace(cpu_millis=cpu_millis)
    keys = [(order.task.name, order.run) for order in running]
    world.report_tasks(
        "a", keys[2:], [(*key, EndKind.DONE) for key in keys[:2]]
    )
    orders = world.plan()
    assert len(orders) == starts
    # Runs above the room go on; nothing is stopped for it.
    assert all(isinstance(order, StartOrder) for order in orders)


def test_nothing_starts_while_capacities_are_not_current() -> None:
    world = PoolWorld()
    world.add_executor("a")
    world.add_job(ONE)
    world.schedule.is_capacity_current = False
    assert world.starts() == []
    world.schedule.is_capacity_current = True
    assert len(world.starts()) == 1


# Guards against failed jobs whose log doesn't tell a crash from another cause.
def test_each_failed_job_is_reported_with_its_cause() -> None:
    world = PoolWorld()
    for name in ("a", "b"):
        world.add_executor(name)
    failing = world.add_job(ONE, max_attempts=1)
    order = start_one(world)
    world.report_tasks(
        order.executor_id, ended=[(TASK, order.run, EndKind.FAILED)]
    )
    crashing = world.add_job(ONE, job_id(2))
    for _ in range(2):
        world.now += 0.2
        lose(world, start_one(world).executor_id)
    world.plan()
    unscheduled = world.add_job(ONE, job_id(3))
    world.schedule.set_aside_job(unscheduled, "too large", 0)
    assert world.schedule.job_index.failed == [
        (failing, FailureCause.ATTEMPTS),
        (crashing, FailureCause.CRASHES),
        (unscheduled, FailureCause.SET_ASIDE),
    ]
    assert failing.progress.reason == "task 0.0.0 has failed 1 times"
    events = world.schedule.crashes.events
    (verdict,) = (fields for name, fields in events if name == "job-given-up")
    proofs = {loss["proof"] for loss in verdict["losses"]}
    assert proofs == {LossCause.REPLACED.value}


# Guards against a log that doesn't show that a lost executor was alive.
def test_answer_of_a_lost_executor_is_reported() -> None:
    world = PoolWorld()
    world.add_executor("a")
    world.add_job(ONE)
    order = start_one(world)
    view = world.schedule.executors["a"]
    view.last_report_at = None
    world.schedule.crashes.record_silence(
        world.schedule, view, world.now, world.now
    )
    world.report_tasks("a", [(TASK, order.run)])
    (withdrawn,) = (
        fields
        for name, fields in world.schedule.crashes.events
        if name == "loss-withdrawn"
    )
    assert withdrawn["executor"] == "a"
    assert withdrawn["reason"] == "answered"
    assert withdrawn["tasks"] == 1


# Guards against a line for each task of a wide job that is cleared.
def test_cleared_tasks_of_a_job_share_an_event() -> None:
    world = PoolWorld()
    world.add_executor("a")
    tasks = 30
    job = world.add_job([StepSpec(count=tasks, cpu_millis=100)])
    for order in world.starts():
        world.answer(order)
    lose(world, "a")
    world.add_executor("b")
    orders = world.starts()
    for order in orders:
        world.answer(order)
    assert len(job.progress.crashes) == tasks
    world.schedule.crashes.events.clear()
    world.now += 30.0
    runs = [(order.task.name, order.run) for order in orders]
    world.report_tasks("b", runs)
    assert not job.progress.crashes
    (event,) = world.schedule.crashes.events
    assert event[0] == "suspect-cleared"
    assert event[1]["tasks"] == tasks
    assert event[1]["task"] == f"{job.job_id}.0.0.0"
    assert 0 < len(event[1]["others"]) <= 20
