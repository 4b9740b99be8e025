"""Tests of the job service with faults of daemons, store and executors."""

from __future__ import annotations

import asyncio

import pytest

from lycheelug.jobservice.submissions import ReplyKind
from lycheelug.workloads import StepSpec
from lycheelug.workloads.model import JobState
from tests.job_world import POOL, JobWorld, until
from tests.virtual_time import run_virtual


async def start_all(world: JobWorld, executors: int, daemons: int) -> None:
    """Start everything and wait until the pool has an owner."""
    for number in range(executors):
        world.fleet.add(f"x{number}")
    world.start_fleet()
    for number in range(daemons):
        world.start_daemon(f"e{number}")
    await until(lambda: len(world.holders()) == 1)


async def wait_state(
    world: JobWorld, daemon: str, number: int, state: str
) -> None:
    async with asyncio.timeout(40):
        while await world.state(daemon, number) != state:  # noqa: ASYNC110
            await asyncio.sleep(0.1)


def test_job_is_completed_and_runs_once() -> None:
    async def run() -> None:
        world = JobWorld()
        await start_all(world, executors=2, daemons=3)
        for daemon in world.daemons:
            reply = await world.submit(daemon, 1)
            assert reply.kind is ReplyKind.OK
        await wait_state(world, "e0", 1, JobState.COMPLETED)
        assert len(world.fleet.started) == 2
        await world.stop()

    run_virtual(run())


@pytest.mark.parametrize(
    ("down", "lost_answers", "kind"),
    [
        # Nothing was stored, and the reply says so.
        (True, 0, ReplyKind.REFUSED),
        # The row is stored, and the retry finds it.
        (False, 1, ReplyKind.OK),
        (False, 2, ReplyKind.OK),
        (False, 3, ReplyKind.OK),
        # The owner's write and all three attempts have an unknown outcome.
        (False, 4, ReplyKind.UNDECIDED),
    ],
)
def test_submission_reply_matches_the_outcome_in_the_store(
    down: bool, lost_answers: int, kind: ReplyKind
) -> None:
    async def run() -> None:
        world = JobWorld()
        await start_all(world, executors=1, daemons=1)
        world.stores["e0"].down = down
        world.stores["e0"].lose_answers = lost_answers
        reply = await world.submit("e0", 7)
        assert reply.kind is kind
        await world.stop()

    run_virtual(run())


def test_daemon_without_the_store_refuses_at_once_and_stores_nothing() -> None:
    async def run() -> None:
        world = JobWorld()
        await start_all(world, executors=1, daemons=1)
        world.stores["e0"].is_known_unreachable = True
        loop = asyncio.get_running_loop()
        began = loop.time()
        reply = await world.submit("e0", 3)
        assert reply.kind is ReplyKind.REFUSED
        assert reply.retry_after_s > 0
        assert loop.time() == began
        world.stores["e0"].is_known_unreachable = False
        assert await world.state("e0", 3) == ""
        await world.stop()

    run_virtual(run())


def test_daemon_without_the_store_passes_submissions_to_the_owner() -> None:
    async def run() -> None:
        world = JobWorld()
        await start_all(world, executors=1, daemons=3)
        (owner,) = world.holders()
        other = next(name for name in world.daemons if name != owner)
        world.stores[other].down = True
        world.stores[other].is_known_unreachable = True
        reply = await world.submit(other, 3)
        assert reply.kind is ReplyKind.OK
        await wait_state(world, owner, 3, JobState.COMPLETED)
        await world.stop()

    run_virtual(run())


def test_submissions_share_transactions_while_the_store_is_slow() -> None:
    """Test 40 concurrent callers with transactions forty times as slow.

    One transaction per submission would take 13 s; callers wait 3 s.
    """

    async def run() -> None:
        world = JobWorld()
        await start_all(world, executors=2, daemons=3)
        for store in world.stores.values():
            store.write_s = 0.32
        loop = asyncio.get_running_loop()
        began = loop.time()
        names = list(world.daemons)
        one = [StepSpec(count=1, cpu_millis=100)]
        replies = await asyncio.gather(
            *(
                world.submit(names[number % 3], number, one)
                for number in range(40)
            )
        )
        assert loop.time() - began < 2.0
        assert all(reply.kind is ReplyKind.OK for reply in replies)
        await until(lambda: len(world.fleet.started) == 40, timeout_s=4)
        assert world.fleet.duplicated_tasks == []
        await world.stop()

    run_virtual(run())


def test_repeated_submission_at_the_owner_is_one_job() -> None:
    async def run() -> None:
        world = JobWorld()
        await start_all(world, executors=1, daemons=2)
        names = [*world.daemons] * 3
        replies = await asyncio.gather(
            *(world.submit(name, 5) for name in names)
        )
        assert all(reply.kind is ReplyKind.OK for reply in replies)
        await wait_state(world, "e0", 5, JobState.COMPLETED)
        assert len(world.fleet.started) == 2
        await world.stop()

    run_virtual(run())


def test_dead_owner_is_replaced_and_its_runs_continue() -> None:
    async def run() -> None:
        world = JobWorld()
        await start_all(world, executors=2, daemons=3)
        (owner,) = world.holders()
        other = next(name for name in world.daemons if name != owner)
        await world.submit(other, 1, [StepSpec(count=4, cpu_millis=1000)])
        await until(lambda: len(world.fleet.started) == 4)
        await world.daemons.pop(owner).stop()
        await wait_state(world, other, 1, JobState.COMPLETED)
        assert len(world.fleet.started) == 4
        assert world.fleet.duplicated_tasks == []
        await world.submit(other, 2)
        await wait_state(world, other, 2, JobState.COMPLETED)
        await world.stop()

    run_virtual(run())


def test_unresponsive_owner_is_replaced_before_deadlines_pass() -> None:
    """Jobs of a surge have a slack of about two seconds; stay below it."""

    async def run() -> None:
        world = JobWorld()
        await start_all(world, executors=2, daemons=3)
        (owner,) = world.holders()
        world.stores[owner].down = True
        began = asyncio.get_running_loop().time()
        await until(lambda: len(world.holders()) == 2)
        assert asyncio.get_running_loop().time() - began < 2.0
        await world.stop()

    run_virtual(run())


def test_slow_store_causes_no_takeover() -> None:
    """Test that a store sixty times as slow causes no takeover."""

    async def run() -> None:
        world = JobWorld()
        await start_all(world, executors=2, daemons=3)
        (owner,) = world.holders()
        term = world.daemons[owner].duties.owners[POOL].term
        for store in world.stores.values():
            store.write_s = 0.5
        await asyncio.sleep(6.0)
        for store in world.stores.values():
            store.write_s = 0.008
        await asyncio.sleep(3.0)
        assert world.holders() == [owner]
        assert world.daemons[owner].duties.owners[POOL].term == term
        await world.stop()

    run_virtual(run())


def test_owner_without_the_store_is_fenced_by_the_next() -> None:
    """With two owners at once no task runs twice, and only one writes."""

    async def run() -> None:
        world = JobWorld()
        await start_all(world, executors=2, daemons=3)
        (owner,) = world.holders()
        other = next(name for name in world.daemons if name != owner)
        for executor in world.fleet.executors.values():
            executor.work_s = 6.0
        await world.submit(other, 1)
        await until(lambda: len(world.fleet.started) == 2)
        world.stores[owner].down = True
        await until(lambda: len(world.holders()) == 2)
        await world.submit(other, 2)
        await wait_state(world, other, 1, JobState.COMPLETED)
        await wait_state(world, other, 2, JobState.COMPLETED)
        world.stores[owner].down = False
        await until(lambda: len(world.holders()) == 1)
        assert world.fleet.duplicated_tasks == []
        assert len(world.fleet.started) == 4
        await world.stop()

    run_virtual(run())


def test_new_owner_polls_executors_without_entries() -> None:
    """Entries expire in a partition; their executors' tasks still run.

    A new owner must not start these tasks again elsewhere.
    """

    async def run() -> None:
        world = JobWorld()
        await start_all(world, executors=2, daemons=3)
        (owner,) = world.holders()
        for executor in world.fleet.executors.values():
            executor.work_s = 3.0
        await world.submit(owner, 1)
        await until(lambda: len(world.fleet.started) == 2)
        used = world.fleet.started[0].executor_id
        world.fleet.executors[used].is_partitioned = True
        await world.daemons.pop(owner).stop()
        for service in world.daemons.values():
            service.update_executor(used, None)
        other = next(iter(world.daemons))
        await until(lambda: len(world.holders()) == 1)
        await asyncio.sleep(1.5)
        assert len(world.fleet.started) == 2
        world.fleet.executors[used].is_partitioned = False
        await wait_state(world, other, 1, JobState.COMPLETED)
        assert len(world.fleet.started) == 2
        await world.stop()

    run_virtual(run())


def test_moved_host_does_not_delay_the_next_owner() -> None:
    """Guard against waiting for an executor whose host was moved.

    Its incarnation has ended, but nothing answers at its address, so the
    new owner waited for its leases.  Only the list of hosts shows the end.
    """

    async def run() -> None:
        world = JobWorld()
        await start_all(world, executors=2, daemons=3)
        world.fleet.executors["x1"].is_partitioned = True
        world.fleet.restarted.add("x1")
        (owner,) = world.holders()
        other = next(name for name in world.daemons if name != owner)
        # More than fits: some tasks of the begun job wait for capacity.
        await world.submit(other, 1, [StepSpec(count=10, cpu_millis=2000)])
        await until(lambda: len(world.fleet.started) >= 4)
        await world.daemons[owner].drain()
        await world.daemons.pop(owner).stop()
        await until(lambda: len(world.holders()) == 1)
        began = len(world.fleet.started)
        await until(lambda: len(world.fleet.started) > began, timeout_s=3)
        await wait_state(world, other, 1, JobState.COMPLETED)
        assert world.fleet.duplicated_tasks == []
        await world.stop()

    run_virtual(run())


def test_daemon_that_regains_the_store_claims_no_owned_pool() -> None:
    """Guard against a storm of claims after a loss of the store.

    The daemons' view of the others' heartbeats is old at that time.
    """

    async def run() -> None:
        world = JobWorld()
        await start_all(world, executors=1, daemons=4)
        (owner,) = world.holders()
        others = [name for name in world.daemons if name != owner]
        for name in others[:2]:
            world.stores[name].down = True
        await asyncio.sleep(9)
        for name in others[:2]:
            world.stores[name].down = False
        await asyncio.sleep(5)
        assert world.holders() == [owner]
        assert world.daemons[owner].duties.owners[POOL].term == 1
        await world.stop()

    run_virtual(run())


def test_owner_waits_for_the_store_without_a_new_claim() -> None:
    async def run() -> None:
        world = JobWorld()
        await start_all(world, executors=1, daemons=2)
        (owner,) = world.holders()
        other = next(name for name in world.daemons if name != owner)
        await world.daemons.pop(owner).stop()
        await until(lambda: len(world.holders()) == 1)
        world.stores[other].down = True
        await asyncio.sleep(3)
        world.stores[other].down = False
        await asyncio.sleep(3)
        assert world.daemons[other].duties.owners[POOL].term == 2
        await world.stop()

    run_virtual(run())


def test_graceful_stop_hands_the_pool_over_at_once() -> None:
    async def run() -> None:
        world = JobWorld()
        await start_all(world, executors=2, daemons=3)
        (owner,) = world.holders()
        other = next(name for name in world.daemons if name != owner)
        await world.submit(other, 1, [StepSpec(count=3, cpu_millis=1000)])
        await until(lambda: len(world.fleet.started) == 3)
        began = asyncio.get_running_loop().time()
        leaving = asyncio.create_task(world.daemons[owner].drain())
        await until(lambda: world.holders() not in ([], [owner]))
        # One write to release it, one to claim it, and a feed in between.
        assert asyncio.get_running_loop().time() - began < 0.15
        await leaving
        await world.daemons.pop(owner).stop()
        await wait_state(world, other, 1, JobState.COMPLETED)
        assert len(world.fleet.started) == 3
        assert world.fleet.duplicated_tasks == []
        await world.stop()

    run_virtual(run())


def test_long_running_task_leaves_an_unresponsive_executor() -> None:
    """Guard against polls that extend a dead executor's lease forever.

    Its long-running task could then never start elsewhere.
    """

    async def run() -> None:
        world = JobWorld()
        await start_all(world, executors=2, daemons=1)
        for executor in world.fleet.executors.values():
            executor.work_s = 1000.0
        await world.submit("e0", 1, [StepSpec(count=1, lasts=True)])
        await until(lambda: len(world.fleet.started) == 1)
        first = world.fleet.started[0]
        world.fleet.executors[first.executor_id].is_partitioned = True
        await until(lambda: len(world.fleet.started) == 2, timeout_s=10)
        assert world.fleet.started[1].executor_id != first.executor_id
        assert world.fleet.duplicated_tasks == []
        await world.stop()

    run_virtual(run())


def test_unanswered_starts_are_kept_where_they_run() -> None:
    async def run() -> None:
        world = JobWorld()
        await start_all(world, executors=2, daemons=1)
        for executor in world.fleet.executors.values():
            executor.loses_answers = True
            executor.work_s = 2.0
        await world.submit("e0", 1)
        await wait_state(world, "e0", 1, JobState.COMPLETED)
        assert len(world.fleet.started) == 2
        await world.stop()

    run_virtual(run())


def test_cancelled_job_stops_within_two_seconds() -> None:
    async def run() -> None:
        world = JobWorld()
        await start_all(world, executors=1, daemons=2)
        for executor in world.fleet.executors.values():
            executor.work_s = 1000.0
        await world.submit("e0", 1)
        await until(lambda: len(world.fleet.started) == 2)
        service = world.daemons["e1"]
        route = service.configuration.routes[0]  # type: ignore[union-attr]
        reply = await service.submissions.cancel(route, f"{1:016x}")
        assert reply.kind is ReplyKind.OK
        await until(
            lambda: not world.fleet.executors["x0"].running, timeout_s=2
        )
        await wait_state(world, "e0", 1, JobState.CANCELLED)
        await world.stop()

    run_virtual(run())


def test_pool_is_not_released_to_a_daemon_that_has_just_started() -> None:
    """Guard against stalled pools in a rolling restart.

    A new daemon claims nothing yet, so it must not be named successor.
    """

    async def run() -> None:
        world = JobWorld()
        await start_all(world, executors=1, daemons=3)
        for round_number in range(3):
            (owner,) = world.holders()
            await world.daemons[owner].drain()
            await world.daemons.pop(owner).stop()
            world.start_daemon(f"n{round_number}")
            await until(lambda: len(world.holders()) == 1, timeout_s=0.9)
            await asyncio.sleep(1.0)
        await world.stop()

    run_virtual(run())


def test_rows_of_finished_jobs_are_removed_after_retention() -> None:
    async def run() -> None:
        world = JobWorld()
        await start_all(world, executors=1, daemons=1)
        await world.submit("e0", 1)
        await wait_state(world, "e0", 1, JobState.COMPLETED)
        await asyncio.sleep(150)
        assert (
            len((await world.rows.read("progress", POOL)).unwrap().rows) == 1
        )
        await asyncio.sleep(50)
        assert (await world.rows.read("progress", POOL)).unwrap().rows == []
        await world.submit("e0", 2)
        await wait_state(world, "e0", 2, JobState.COMPLETED)
        await world.stop()

    run_virtual(run())


def test_all_daemons_restart_with_runs_in_progress() -> None:
    async def run() -> None:
        world = JobWorld()
        await start_all(world, executors=2, daemons=2)
        await world.submit("e0", 1, [StepSpec(count=4, cpu_millis=1000)])
        await until(lambda: len(world.fleet.started) == 4)
        for name in list(world.daemons):
            await world.daemons.pop(name).stop()
        await asyncio.sleep(0.5)
        for name in ("f0", "f1"):
            world.start_daemon(name)
        await wait_state(world, "f0", 1, JobState.COMPLETED)
        assert world.fleet.duplicated_tasks == []
        await world.stop()

    run_virtual(run())
