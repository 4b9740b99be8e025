"""Tests of executors on which more ends wait than one list has.

The platform's executors list 500 ends at a time; the next ones follow once
these are acknowledged.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from lycheelug.jobservice.submissions import ReplyKind
from lycheelug.platform.executors import PlatformExecutors
from lycheelug.workloads import (
    EndKind,
    EndReport,
    Resources,
    RunReport,
    StartAnswer,
    StepSpec,
    StopOrder,
    TaskName,
    TaskReport,
    apply_start_answer,
    apply_task_report,
    make_poll,
)
from lycheelug.workloads.executors import RunPhase
from lycheelug.workloads.model import JobState
from lycheelug.workloads.stalls import STALL_S
from tests.job_world import ENDS_PER_ANSWER, JobWorld, until
from tests.pool_world import JOB, PoolWorld
from tests.test_page_messages import ask, executor
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from lycheelug.workloads import StartOrder

WIDTH = 32
JOBS = 40


class WideWorld(JobWorld):
    """Two executors that have room for all tasks of 40 wide jobs."""

    async def begin(self, daemons: int, work_s: float) -> None:
        for number in range(2):
            added = self.fleet.add(f"x{number}", work_s)
            added.info.capacity = Resources(64_000, 131_072, 0)
        self.start_fleet()
        for number in range(daemons):
            self.start_daemon(f"e{number}")
        await until(lambda: len(self.holders()) == 1)
        step = StepSpec(count=WIDTH, cpu_millis=100)
        for number in range(JOBS):
            reply = await self.submit("e0", number, [step])
            assert reply.kind is ReplyKind.OK
        await until(lambda: len(self.fleet.started) == JOBS * WIDTH)

    def waiting_ends(self) -> int:
        """Return the most ends that wait on one executor."""
        found = [len(each.ended) for each in self.fleet.executors.values()]
        return max(found)

    async def wait_done(self, daemon: str) -> None:
        left = set(range(JOBS))
        async with asyncio.timeout(60):
            while left:
                await asyncio.sleep(0.1)
                for number in list(left):
                    state = await self.state(daemon, number)
                    if state == JobState.COMPLETED:
                        left.discard(number)

    def assert_run_once(self) -> None:
        assert len(self.fleet.started) == JOBS * WIDTH
        assert not self.fleet.duplicated_tasks


# Guards against second runs of tasks whose ends wait behind 500 others while
# the store is down: they counted as never started (review case 7).
def test_ends_beyond_one_list_are_not_run_again() -> None:
    async def run() -> None:
        world = WideWorld()
        await world.begin(daemons=1, work_s=3.0)
        await asyncio.sleep(1.0)
        store = world.stores["e0"]
        store.down = store.is_known_unreachable = True
        await until(lambda: world.waiting_ends() > ENDS_PER_ANSWER)
        await asyncio.sleep(1.0)
        store.down = store.is_known_unreachable = False
        await world.wait_done("e0")
        world.assert_run_once()
        await world.stop()

    run_virtual(run())


# Guards against second runs by a new owner, which learns the runs from lists
# with the same limit (related to case 7).
@pytest.mark.parametrize("is_store_down", [False, True])
def test_new_owner_waits_for_ends_beyond_one_list(
    is_store_down: bool,
) -> None:
    async def run() -> None:
        world = WideWorld()
        await world.begin(daemons=1, work_s=3.0)
        await asyncio.sleep(1.0)
        if is_store_down:
            store = world.stores["e0"]
            store.down = store.is_known_unreachable = True
            await until(lambda: world.waiting_ends() > ENDS_PER_ANSWER)
        await world.daemons["e0"].stop()
        await until(lambda: world.waiting_ends() > ENDS_PER_ANSWER)
        world.start_daemon("e1")
        await world.wait_done("e1")
        world.assert_run_once()
        await world.stop()

    run_virtual(run())


def begin_runs(world: PoolWorld, count: int) -> list[StartOrder]:
    world.add_executor("x", capacity=Resources(10**6, 10**6, 0))
    world.add_job([StepSpec(count=count, cpu_millis=1, estimate_ms=100)])
    orders: list[StartOrder] = []
    # A plan starts only so many.
    while len(orders) < count:
        started = world.starts()
        assert started
        for order in started:
            world.answer(order)
        orders.extend(started)
    return orders


def report(
    world: PoolWorld, ended: list[EndReport], running: list[RunReport]
) -> None:
    view = world.schedule.executors["x"]
    apply_task_report(
        world.schedule,
        view,
        TaskReport(1000, 1, running, ended, len(ended) < ENDS_PER_ANSWER),
        make_poll(view, world.now, world.schedule.lease_s, False),
        world.now,
        0,
    )


def ends_of(orders: list[StartOrder], first: int) -> list[EndReport]:
    ended: list[EndReport] = []
    for number, order in enumerate(orders, first):
        ended.append(
            EndReport(number, order.task.name, order.run, EndKind.DONE)
        )
    return ended


# Guards against runs that are given up as a full list lacks them (case 7).
@pytest.mark.parametrize(
    ("listed", "left"),
    [
        # A list that isn't full proves that the others don't run.
        (499, 0),
        # A full one proves nothing of them.
        (500, 10),
    ],
)
def test_only_a_list_that_is_not_full_proves_an_absence(
    listed: int, left: int
) -> None:
    world = PoolWorld()
    orders = begin_runs(world, listed + 10)
    world.now += 1.0
    report(world, ends_of(orders[:listed], 1), [])
    view = world.schedule.executors["x"]
    assert len(view.runs) == left
    # Each task that was given up is started once more.
    assert len(world.starts()) == 10 - left
    if left:
        report(world, ends_of(orders[listed:], listed + 1), [])
        assert not view.runs
        assert not world.starts()


# Guards against acknowledgements that are withheld for ever, as the run of an
# unanswered start has ended behind a full list, or its answer didn't tell
# where it runs.
@pytest.mark.parametrize(
    "answer", [StartAnswer.NO_ANSWER, StartAnswer.STARTED]
)
def test_start_in_doubt_behind_a_full_list(answer: StartAnswer) -> None:
    world = PoolWorld()
    orders = begin_runs(world, 520)
    view = world.schedule.executors["x"]
    world.add_job([StepSpec(count=1, cpu_millis=1)], job_id="00000000000000ff")
    (doubtful,) = world.starts()
    apply_start_answer(
        world.schedule,
        view,
        doubtful.task,
        doubtful.run,
        answer,
        world.now,
        is_located=False,
    )
    ended = ends_of([*orders, doubtful], 1)
    for _ in range(6):
        world.now += 0.3
        call = make_poll(view, world.now, world.schedule.lease_s, True)
        ended = [end for end in ended if end.number > call.acknowledged]
        listed = ended[:ENDS_PER_ANSWER]
        clock_ms = int(world.now * 1000)
        is_complete = len(listed) < ENDS_PER_ANSWER
        apply_task_report(
            world.schedule,
            view,
            TaskReport(clock_ms, 1, [], listed, is_complete),
            call,
            world.now,
            0,
        )
        view.last_acked_end = view.last_applied_end
    assert not view.runs
    assert view.last_applied_end == 521
    assert world.starts() == []


# Guards against an executor that counts as stalled, or as drained, for runs
# that have ended but aren't listed yet (related to case 7).
def test_full_list_shows_neither_a_stall_nor_a_drained_executor() -> None:
    world = PoolWorld()
    orders = begin_runs(world, 510)
    view = world.schedule.executors["x"]
    world.now += STALL_S + 10
    view.leases_end_at = world.now + 5
    report(world, ends_of(orders[:500], 1), [])
    world.plan()
    assert all(run.phase is RunPhase.RUNNING for run in view.runs.values())
    other = PoolWorld()
    other.add_executor("x")
    drained = other.schedule.executors["x"]
    drained.drain_order = "1"
    assert drained.is_drained
    gone = TaskName("gone", 0, 0, 0)
    report(
        other,
        [EndReport(n + 1, gone, n + 1, EndKind.DONE) for n in range(500)],
        [],
    )
    assert not drained.is_drained


# Guards against an owner that starts the tasks of earlier terms as soon as an
# executor has answered, though not with all ends (related to case 7).
def test_earlier_runs_are_known_after_a_list_that_is_not_full() -> None:
    world = PoolWorld(term=2, earlier_leases_end_at=110.0)
    world.add_executor("x", has_reported=False)
    schedule = world.schedule
    name = TaskName(JOB, 0, 0, 0)
    full = [EndReport(n + 1, name, n + 1, EndKind.DONE) for n in range(500)]
    assert not schedule.earlier_runs_known(world.now)
    report(world, full, [])
    assert not schedule.earlier_runs_known(world.now)
    # Once its leases have ended, what has ended before doesn't count.
    view = schedule.executors["x"]
    assert schedule.earlier_runs_known(view.leases_end_at + 0.1)
    report(world, [], [])
    assert schedule.earlier_runs_known(world.now)
    # From then on all runs are this owner's, or were listed.
    report(world, full, [])
    assert schedule.earlier_runs_known(world.now)


# Guards against a full list from an executor that counts as complete (case 7).
@pytest.mark.parametrize(("count", "is_full"), [(0, 0), (499, 0), (500, 1)])
def test_list_of_500_ends_is_not_complete(count: int, is_full: bool) -> None:
    ended = [
        [number + 1, f"5c0e7a21d94b36f8.0.0.{number}", 1, "done", ""]
        for number in range(count)
    ]
    body = {"clock_ms": 1, "running": [], "ended": ended}
    found = ask(
        200,
        body,
        lambda address: PlatformExecutors().poll(
            executor(address), 7, 0, None, 0.0
        ),
    ).unwrap()
    assert found.lists_all_ends is not bool(is_full)


# Guards against a task that is stopped while another one of its step has ended
# unlisted, so that too many are away at once (related to case 7, AVAIL).
@pytest.mark.parametrize("is_full", [False, True])
def test_task_behind_a_full_list_counts_as_away(is_full: bool) -> None:
    world = PoolWorld()
    world.add_executor("x")
    world.add_executor("y")
    world.add_executor("z")
    step = StepSpec(
        count=2, cpu_millis=1000, lasts=True, may_miss=1, max_per_executor=1
    )
    world.add_job([step])
    orders = world.starts()
    for order in orders:
        world.answer(order)
    for order in orders:
        running = [(order.task.name, order.run)]
        world.report_tasks(order.executor_id, running, percent=100)
    first, second = orders
    gone = TaskName("gone", 0, 0, 0)
    count = ENDS_PER_ANSWER if is_full else 1
    ended = [
        EndReport(number + 1, gone, number + 1, EndKind.DONE)
        for number in range(count)
    ]
    view = world.schedule.executors[first.executor_id]
    apply_task_report(
        world.schedule,
        view,
        TaskReport(
            1000,
            1,
            [] if is_full else [RunReport(first.task.name, 1001, "", 100)],
            ended,
            not is_full,
        ),
        make_poll(view, world.now, world.schedule.lease_s, False),
        world.now,
        0,
    )
    world.schedule.executors[second.executor_id].drain_order = "1"
    stops = [each for each in world.plan() if isinstance(each, StopOrder)]
    assert len(stops) == (0 if is_full else 1)
