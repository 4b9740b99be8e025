"""The job service's promises while daemons, store and executors fail."""

from __future__ import annotations

import asyncio

import pytest

from lycheelug.jobservice.submissions import ReplyKind
from lycheelug.workloads import StepSpec
from lycheelug.workloads.model import JobState
from tests.job_world import POOL, JobWorld, until
from tests.virtual_time import run_virtual


async def settled(world: JobWorld, executors: int, daemons: int) -> None:
    """Start everything and wait until the pool has an owner."""
    for number in range(executors):
        world.fleet.add(f"x{number}")
    world.play()
    for number in range(daemons):
        world.start_daemon(f"e{number}")
    await until(lambda: len(world.holders()) == 1)


async def wait_state(
    world: JobWorld, daemon: str, number: int, state: str
) -> None:
    async with asyncio.timeout(40):
        while await world.state(daemon, number) != state:  # noqa: ASYNC110
            await asyncio.sleep(0.1)


def test_job_runs_to_its_end_and_only_once() -> None:
    async def run() -> None:
        world = JobWorld()
        await settled(world, executors=2, daemons=3)
        for daemon in world.daemons:
            reply = await world.submit(daemon, 1)
            assert reply.kind is ReplyKind.OK
        await wait_state(world, "e0", 1, JobState.COMPLETED)
        assert len(world.fleet.began) == 2
        await world.stop()

    run_virtual(run())


@pytest.mark.parametrize(
    ("down", "lost_answers", "kind"),
    [
        # Nothing was done, and the caller is told so.
        (True, 0, ReplyKind.REFUSED),
        # The row is there: the repeat finds it.
        (False, 1, ReplyKind.OK),
        (False, 2, ReplyKind.OK),
        (False, 3, ReplyKind.OK),
        # No sure answer at all: neither to the owner nor to three tries.
        (False, 4, ReplyKind.UNDECIDED),
    ],
)
def test_submission_is_told_truly_whatever_the_store_does(
    down: bool, lost_answers: int, kind: ReplyKind
) -> None:
    async def run() -> None:
        world = JobWorld()
        await settled(world, executors=1, daemons=1)
        world.ways["e0"].down = down
        world.ways["e0"].lose_answers = lost_answers
        reply = await world.submit("e0", 7)
        assert reply.kind is kind
        await world.stop()

    run_virtual(run())


def test_daemon_without_the_store_refuses_at_once_and_truly() -> None:
    async def run() -> None:
        world = JobWorld()
        await settled(world, executors=1, daemons=1)
        world.ways["e0"].known_away = True
        loop = asyncio.get_running_loop()
        began = loop.time()
        reply = await world.submit("e0", 3)
        assert reply.kind is ReplyKind.REFUSED
        assert reply.retry_after_s > 0
        assert loop.time() == began
        world.ways["e0"].known_away = False
        assert await world.state("e0", 3) == ""
        await world.stop()

    run_virtual(run())


def test_daemon_without_the_store_passes_submissions_to_the_owner() -> None:
    async def run() -> None:
        world = JobWorld()
        await settled(world, executors=1, daemons=3)
        (owner,) = world.holders()
        other = next(name for name in world.daemons if name != owner)
        world.ways[other].down = True
        world.ways[other].known_away = True
        reply = await world.submit(other, 3)
        assert reply.kind is ReplyKind.OK
        await wait_state(world, owner, 3, JobState.COMPLETED)
        await world.stop()

    run_virtual(run())


def test_submissions_share_transactions_while_the_store_is_slow() -> None:
    """Load pattern: 40 callers at once, transactions forty times as slow.

    One transaction a submission would take 13 s; callers wait 3 s.
    """

    async def run() -> None:
        world = JobWorld()
        await settled(world, executors=2, daemons=3)
        for way in world.ways.values():
            way.write_s = 0.32
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
        await until(lambda: len(world.fleet.began) == 40, timeout_s=4)
        assert world.fleet.doubled == []
        await world.stop()

    run_virtual(run())


def test_repeated_submission_at_the_owner_is_one_job() -> None:
    async def run() -> None:
        world = JobWorld()
        await settled(world, executors=1, daemons=2)
        names = [*world.daemons] * 3
        replies = await asyncio.gather(
            *(world.submit(name, 5) for name in names)
        )
        assert all(reply.kind is ReplyKind.OK for reply in replies)
        await wait_state(world, "e0", 5, JobState.COMPLETED)
        assert len(world.fleet.began) == 2
        await world.stop()

    run_virtual(run())


def test_dead_owner_is_replaced_and_running_work_goes_on() -> None:
    async def run() -> None:
        world = JobWorld()
        await settled(world, executors=2, daemons=3)
        (owner,) = world.holders()
        other = next(name for name in world.daemons if name != owner)
        await world.submit(other, 1, [StepSpec(count=4, cpu_millis=1000)])
        await until(lambda: len(world.fleet.began) == 4)
        await world.daemons.pop(owner).stop()
        await wait_state(world, other, 1, JobState.COMPLETED)
        assert len(world.fleet.began) == 4
        assert world.fleet.doubled == []
        await world.submit(other, 2)
        await wait_state(world, other, 2, JobState.COMPLETED)
        await world.stop()

    run_virtual(run())


def test_silent_owner_is_replaced_before_callers_lose_their_jobs() -> None:
    """A surge's jobs have some two seconds to spare, so less is allowed."""

    async def run() -> None:
        world = JobWorld()
        await settled(world, executors=2, daemons=3)
        (owner,) = world.holders()
        world.ways[owner].down = True
        began = asyncio.get_running_loop().time()
        await until(lambda: len(world.holders()) == 2)
        assert asyncio.get_running_loop().time() - began < 2.0
        await world.stop()

    run_virtual(run())


def test_slow_store_makes_no_living_owner_look_dead() -> None:
    """Load pattern: the store's answers take sixty times as long."""

    async def run() -> None:
        world = JobWorld()
        await settled(world, executors=2, daemons=3)
        (owner,) = world.holders()
        term = world.daemons[owner].duties.owners[POOL].term
        for way in world.ways.values():
            way.write_s = 0.5
        await asyncio.sleep(6.0)
        for way in world.ways.values():
            way.write_s = 0.008
        await asyncio.sleep(3.0)
        assert world.holders() == [owner]
        assert world.daemons[owner].duties.owners[POOL].term == term
        await world.stop()

    run_virtual(run())


def test_owner_without_the_store_is_fenced_by_the_next() -> None:
    """Two owners at once: nothing runs twice, and only one writes."""

    async def run() -> None:
        world = JobWorld()
        await settled(world, executors=2, daemons=3)
        (owner,) = world.holders()
        other = next(name for name in world.daemons if name != owner)
        for executor in world.fleet.executors.values():
            executor.work_s = 6.0
        await world.submit(other, 1)
        await until(lambda: len(world.fleet.began) == 2)
        world.ways[owner].down = True
        await until(lambda: len(world.holders()) == 2)
        await world.submit(other, 2)
        await wait_state(world, other, 1, JobState.COMPLETED)
        await wait_state(world, other, 2, JobState.COMPLETED)
        world.ways[owner].down = False
        await until(lambda: len(world.holders()) == 1)
        assert world.fleet.doubled == []
        assert len(world.fleet.began) == 4
        await world.stop()

    run_virtual(run())


def test_new_owner_looks_for_executors_whose_entries_are_gone() -> None:
    """Entries lapse in a cut; what runs there must not run again."""

    async def run() -> None:
        world = JobWorld()
        await settled(world, executors=2, daemons=3)
        (owner,) = world.holders()
        for executor in world.fleet.executors.values():
            executor.work_s = 3.0
        await world.submit(owner, 1)
        await until(lambda: len(world.fleet.began) == 2)
        used = world.fleet.began[0].executor_id
        world.fleet.executors[used].dark = True
        await world.daemons.pop(owner).stop()
        for service in world.daemons.values():
            service.update_executor(used, None)
        other = next(iter(world.daemons))
        await until(lambda: len(world.holders()) == 1)
        await asyncio.sleep(1.5)
        assert len(world.fleet.began) == 2
        world.fleet.executors[used].dark = False
        await wait_state(world, other, 1, JobState.COMPLETED)
        assert len(world.fleet.began) == 2
        await world.stop()

    run_virtual(run())


def test_moved_host_holds_up_no_owner_after_a_rolling_stop() -> None:
    """Its old life is over, though nothing there says so; seen on a day."""

    async def run() -> None:
        world = JobWorld()
        await settled(world, executors=2, daemons=3)
        world.fleet.executors["x1"].dark = True
        world.fleet.moved.add("x1")
        (owner,) = world.holders()
        other = next(name for name in world.daemons if name != owner)
        # More than fits: some tasks of the begun job wait for a place.
        await world.submit(other, 1, [StepSpec(count=10, cpu_millis=2000)])
        await until(lambda: len(world.fleet.began) >= 4)
        await world.daemons[owner].drain()
        await world.daemons.pop(owner).stop()
        await until(lambda: len(world.holders()) == 1)
        began = len(world.fleet.began)
        await until(lambda: len(world.fleet.began) > began, timeout_s=3)
        await wait_state(world, other, 1, JobState.COMPLETED)
        assert world.fleet.doubled == []
        await world.stop()

    run_virtual(run())


def test_daemon_that_regains_the_store_claims_nothing_from_the_living() -> (
    None
):
    """Its view of the others' heartbeats is old; seen as a storm."""

    async def run() -> None:
        world = JobWorld()
        await settled(world, executors=1, daemons=4)
        (owner,) = world.holders()
        others = [name for name in world.daemons if name != owner]
        for name in others[:2]:
            world.ways[name].down = True
        await asyncio.sleep(9)
        for name in others[:2]:
            world.ways[name].down = False
        await asyncio.sleep(5)
        assert world.holders() == [owner]
        assert world.daemons[owner].duties.owners[POOL].term == 1
        await world.stop()

    run_virtual(run())


def test_owner_waits_for_the_store_without_a_new_claim() -> None:
    async def run() -> None:
        world = JobWorld()
        await settled(world, executors=1, daemons=2)
        (owner,) = world.holders()
        other = next(name for name in world.daemons if name != owner)
        await world.daemons.pop(owner).stop()
        await until(lambda: len(world.holders()) == 1)
        world.ways[other].down = True
        await asyncio.sleep(3)
        world.ways[other].down = False
        await asyncio.sleep(3)
        assert world.daemons[other].duties.owners[POOL].term == 2
        await world.stop()

    run_virtual(run())


def test_graceful_stop_hands_the_pool_over_at_once() -> None:
    async def run() -> None:
        world = JobWorld()
        await settled(world, executors=2, daemons=3)
        (owner,) = world.holders()
        other = next(name for name in world.daemons if name != owner)
        await world.submit(other, 1, [StepSpec(count=3, cpu_millis=1000)])
        await until(lambda: len(world.fleet.began) == 3)
        began = asyncio.get_running_loop().time()
        leaving = asyncio.create_task(world.daemons[owner].drain())
        await until(lambda: world.holders() not in ([], [owner]))
        # A write to give it back, one to claim it, a feed between them.
        assert asyncio.get_running_loop().time() - began < 0.15
        await leaving
        await world.daemons.pop(owner).stop()
        await wait_state(world, other, 1, JobState.COMPLETED)
        assert len(world.fleet.began) == 3
        assert world.fleet.doubled == []
        await world.stop()

    run_virtual(run())


def test_lasting_task_leaves_an_executor_that_fell_silent() -> None:
    """A dead executor's lease must come to an end; seen on a day."""

    async def run() -> None:
        world = JobWorld()
        await settled(world, executors=2, daemons=1)
        for executor in world.fleet.executors.values():
            executor.work_s = 1000.0
        await world.submit("e0", 1, [StepSpec(count=1, lasts=True)])
        await until(lambda: len(world.fleet.began) == 1)
        first = world.fleet.began[0]
        world.fleet.executors[first.executor_id].dark = True
        await until(lambda: len(world.fleet.began) == 2, timeout_s=10)
        assert world.fleet.began[1].executor_id != first.executor_id
        assert world.fleet.doubled == []
        await world.stop()

    run_virtual(run())


def test_unanswered_starts_are_kept_where_they_run() -> None:
    async def run() -> None:
        world = JobWorld()
        await settled(world, executors=2, daemons=1)
        for executor in world.fleet.executors.values():
            executor.mute = True
            executor.work_s = 2.0
        await world.submit("e0", 1)
        await wait_state(world, "e0", 1, JobState.COMPLETED)
        assert len(world.fleet.began) == 2
        await world.stop()

    run_virtual(run())


def test_cancelled_job_stops_within_moments() -> None:
    async def run() -> None:
        world = JobWorld()
        await settled(world, executors=1, daemons=2)
        for executor in world.fleet.executors.values():
            executor.work_s = 1000.0
        await world.submit("e0", 1)
        await until(lambda: len(world.fleet.began) == 2)
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


def test_pool_is_not_left_to_a_daemon_that_has_just_started() -> None:
    """It claims nothing yet; pools stood still in a rolling stop."""

    async def run() -> None:
        world = JobWorld()
        await settled(world, executors=1, daemons=3)
        for round_number in range(3):
            (owner,) = world.holders()
            await world.daemons[owner].drain()
            await world.daemons.pop(owner).stop()
            world.start_daemon(f"n{round_number}")
            await until(lambda: len(world.holders()) == 1, timeout_s=0.9)
            await asyncio.sleep(1.0)
        await world.stop()

    run_virtual(run())


def test_rows_of_finished_jobs_go_after_their_time() -> None:
    async def run() -> None:
        world = JobWorld()
        await settled(world, executors=1, daemons=1)
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


def test_everything_restarts_with_work_running() -> None:
    async def run() -> None:
        world = JobWorld()
        await settled(world, executors=2, daemons=2)
        await world.submit("e0", 1, [StepSpec(count=4, cpu_millis=1000)])
        await until(lambda: len(world.fleet.began) == 4)
        for name in list(world.daemons):
            await world.daemons.pop(name).stop()
        await asyncio.sleep(0.5)
        for name in ("f0", "f1"):
            world.start_daemon(name)
        await wait_state(world, "f0", 1, JobState.COMPLETED)
        assert world.fleet.doubled == []
        await world.stop()

    run_virtual(run())
