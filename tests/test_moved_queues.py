"""Tests of queues that the operator moves from one pool to another."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import pytest

from lycheelug.jobservice.interfaces import (
    Configuration,
    PoolPolicy,
    Route,
    SubmissionAnswer,
)
from lycheelug.jobservice.queue_rows import (
    NO_GATES,
    QUEUES_PART,
    GateRecord,
    encode_row,
    gate_name,
    queue_name,
)
from lycheelug.jobservice.replies import Reply, ReplyKind
from lycheelug.jobservice.tables import JOB_PREFIX, jobs_table
from lycheelug.store.rows import RowConflict, RowName
from lycheelug.workloads import JobRecord, StepSpec
from lycheelug.workloads.model import JobState
from tests.job_world import POOL, FaultyRows, JobWorld, job_id, until
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from collections.abc import Mapping

    from returns.result import Result

    from lycheelug.errors import Fault
    from lycheelug.jobservice.service import JobService
    from lycheelug.store.rows import RowCommit, RowSet

POOLS = [POOL, "bulk", "third"]
JOB = 7
STEPS = [StepSpec(count=2, cpu_millis=1000)]
LONG_S = 30.0


def route_to(pool: str) -> Route:
    return Route("quick", "", "/q/", pool, 0, 2, 1.6, 0.6, False)


def configuration(version: int, pool: str) -> Configuration:
    return Configuration(
        version, [route_to(pool)], [PoolPolicy(name) for name in POOLS]
    )


class MovedWorld(JobWorld):
    """Daemons that serve one queue, and an executor in each pool."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 1
        self.pool = POOL

    async def begin(self, work_s: float, daemons: int = 3) -> None:
        for pool in POOLS:
            self.fleet.add(f"x-{pool}", work_s).info.pool = pool
        self.start_fleet()
        for number in range(daemons):
            self.start(f"e{number}")
        await until(
            lambda: all(len(self.holders(pool)) == 1 for pool in POOLS)
        )
        await asyncio.sleep(1.0)

    def start(self, name: str) -> JobService:
        """Start a daemon that has seen only the newest configuration."""
        service = self.start_daemon(name)
        service.configuration = None
        service.apply_configuration(configuration(self.version, self.pool))
        return service

    async def restart(self, name: str) -> None:
        await self.daemons.pop(name).stop()
        self.start(name)

    async def move(self, pool: str, *names: str) -> None:
        """Move the queue; only some daemons hear of it, if any is named."""
        self.version += 1
        self.pool = pool
        for name in names or tuple(self.daemons):
            self.daemons[name].apply_configuration(
                configuration(self.version, pool)
            )
        await asyncio.sleep(1.0)

    async def hand_in(self, daemon: str, number: int = JOB) -> Reply:
        service = self.daemons[daemon]
        assert service.configuration is not None
        (route,) = service.configuration.routes
        record = JobRecord(route.name, "payload", STEPS)
        return await service.submissions.submit(route, job_id(number), record)

    async def ask(self, daemon: str, number: int = JOB) -> Reply:
        service = self.daemons[daemon]
        assert service.configuration is not None
        (route,) = service.configuration.routes
        return await service.submissions.state(route, job_id(number))

    def stored_in(self, number: int = JOB) -> list[str]:
        """Return the pools in which a job is stored."""
        found: list[str] = []
        for pool in POOLS:
            key = (jobs_table(pool), pool, JOB_PREFIX + job_id(number))
            if key in self.rows._rows:
                found.append(pool)
        return found


async def kill_one(world: MovedWorld) -> None:
    await world.move("bulk")
    await world.restart("e2")


async def restart_all(world: MovedWorld) -> None:
    await world.move("bulk")
    for name in ("e0", "e1", "e2"):
        await world.restart(name)


async def move_twice(world: MovedWorld) -> None:
    await world.move("bulk")
    await world.move("third")
    await world.restart("e2")


async def move_back(world: MovedWorld) -> None:
    await world.move("bulk")
    await world.move(POOL)
    await world.restart("e2")


async def move_unseen(world: MovedWorld) -> None:
    """One daemon takes the queue up in between; the others don't see it."""
    await world.move("bulk", "e0")
    assert (await world.hand_in("e0", JOB + 1)).kind is ReplyKind.OK
    await world.move("third")


async def add_daemon(world: MovedWorld) -> None:
    await world.move("bulk")
    world.start("e9")


MOVES = {
    "daemon started again": (kill_one, "e2"),
    "all daemons started again": (restart_all, "e1"),
    "moved twice": (move_twice, "e2"),
    "moved back": (move_back, "e2"),
    "moved unseen": (move_unseen, "e2"),
    "daemon added": (add_daemon, "e9"),
}


# Guards against a job that runs twice, as its submission is repeated after
# its queue has moved, at a daemon that hasn't seen its former pool (case 8).
@pytest.mark.parametrize("move", MOVES)
@pytest.mark.parametrize("state", ["running", "completed", "cancelled"])
def test_repeated_submission_is_found_in_a_former_pool(
    move: str, state: str
) -> None:
    async def run() -> None:
        world = MovedWorld()
        await world.begin(0.5 if state == "completed" else LONG_S)
        assert (await world.hand_in("e0")).kind is ReplyKind.OK
        await until(lambda: len(world.fleet.started) == 2)
        if state == "cancelled":
            submissions = world.daemons["e0"].submissions
            reply = await submissions.cancel(route_to(POOL), job_id(JOB))
            assert reply.kind is ReplyKind.OK
        await asyncio.sleep(2.0)
        disturb, daemon = MOVES[move]
        await disturb(world)
        await asyncio.sleep(2.0)
        assert (await world.hand_in(daemon)).kind is ReplyKind.OK
        assert (await world.ask(daemon)).state == state
        assert world.stored_in() == [POOL]
        await asyncio.sleep(2.0)
        runs = [
            run for run in world.fleet.started if run.name.job == job_id(JOB)
        ]
        assert len(runs) == 2
        await world.stop()

    run_virtual(run())


# Guards against a daemon with an older configuration that goes on storing
# jobs in the former pool, where nobody looks any more (related to case 8).
def test_former_pool_takes_no_submissions() -> None:
    async def run() -> None:
        world = MovedWorld()
        await world.begin(LONG_S)
        await world.move("bulk", "e0")
        # Not taken up yet: the older configuration is still served.
        assert (await world.hand_in("e1", 1)).kind is ReplyKind.OK
        assert world.stored_in(1) == [POOL]
        assert (await world.hand_in("e0")).kind is ReplyKind.OK
        assert world.stored_in() == ["bulk"]
        for number in (JOB, 2):
            reply = await world.hand_in("e1", number)
            assert reply.kind is ReplyKind.REFUSED
        assert world.stored_in() == ["bulk"]
        assert world.stored_in(2) == []
        world.daemons["e1"].apply_configuration(configuration(2, "bulk"))
        for number in (JOB, 1, 2):
            assert (await world.hand_in("e1", number)).kind is ReplyKind.OK
        assert world.stored_in(1) == [POOL]
        assert world.stored_in(2) == ["bulk"]
        # A daemon that has missed the move finds what was stored since.
        assert (await world.ask("e2")).state == JobState.RUNNING
        await world.stop()

    run_virtual(run())


# Guards against a write that takes effect late, in a pool that the queue has
# left meanwhile (related to case 8).
def test_late_write_to_a_former_pool_has_no_effect() -> None:
    async def run() -> None:
        world = MovedWorld()
        await world.begin(LONG_S)
        await world.move("bulk")
        assert (await world.hand_in("e0")).kind is ReplyKind.OK
        name = RowName(jobs_table(POOL), JOB_PREFIX + job_id(JOB))
        gate = gate_name(POOL, "quick")
        result = await world.rows.commit(
            POOL, {name: 0, gate: 0}, {name: b"{}"}
        )
        assert isinstance(result.unwrap(), RowConflict)
        # Neither has one that an owner has taken over from its sender.
        (owner,) = world.holders(POOL)
        record = JobRecord("quick", "payload", STEPS)
        answer = await world.daemons[owner].submit_locally(
            POOL, job_id(JOB), record, NO_GATES
        )
        assert answer is SubmissionAnswer.MOVED
        assert world.stored_in() == ["bulk"]
        await world.stop()

    run_virtual(run())


# Guards against a count that leaves out the jobs that wait in a former pool
# (related to case 8; a spare finding of the second review).
@pytest.mark.parametrize("is_restarted", [False, True])
def test_count_includes_the_former_pools(is_restarted: bool) -> None:
    async def run() -> None:
        world = MovedWorld()
        await world.begin(LONG_S)
        # The pool has room for four of these jobs.
        for number in range(20):
            assert (await world.hand_in("e0", number)).kind is ReplyKind.OK
        await asyncio.sleep(1.0)
        await world.move("bulk")
        if is_restarted:
            await world.restart("e1")
            await asyncio.sleep(3.0)
        for number in range(20, 30):
            assert (await world.hand_in("e1", number)).kind is ReplyKind.OK
        await asyncio.sleep(1.0)
        submissions = world.daemons["e1"].submissions
        reply = await submissions.pending(route_to("bulk"))
        assert reply.pending == 16 + 6
        await world.stop()

    run_virtual(run())


# Guards against a submission that is stored anew while the former pools can't
# be read (related to case 8).
def test_moved_queue_refuses_submissions_without_the_store() -> None:
    async def run() -> None:
        world = MovedWorld()
        await world.begin(LONG_S)
        assert (await world.hand_in("e0")).kind is ReplyKind.OK
        await world.move("bulk")
        for is_known in (False, True):
            store = world.stores["e1"]
            store.down = True
            store.is_known_unreachable = is_known
            reply = await world.hand_in("e1")
            assert reply.kind is ReplyKind.REFUSED
        assert world.stored_in() == [POOL]
        store.down = store.is_known_unreachable = False
        assert (await world.hand_in("e1")).kind is ReplyKind.OK
        assert world.stored_in() == [POOL]
        await world.stop()

    run_virtual(run())


class CountedRows(FaultyRows):
    """Counts the calls about jobs and queues."""

    reads = 0
    writes = 0

    async def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[RowSet, Fault]:
        is_counted = table.startswith(("jobs-", "queues", "addresses"))
        CountedRows.reads += is_counted and bool(first)
        return await super().read(table, part, first, end)

    async def commit(
        self,
        part: str,
        expected: Mapping[RowName, int],
        writes: Mapping[RowName, bytes | None],
    ) -> Result[RowCommit | RowConflict, Fault]:
        CountedRows.writes += any(
            name.table in ("queues", "addresses")
            or name.key.startswith(("queue/", "address/"))
            for name in writes
        )
        return await super().commit(part, expected, writes)


# Guards against store calls for each submission of a queue that stays where
# it is, and for each daemon that looks a moved one up.
def test_queue_that_never_moved_costs_no_calls() -> None:
    async def run() -> None:
        world = MovedWorld()
        world.fleet.add("x").info.pool = POOL
        world.start_fleet()
        for number in range(3):
            world.start_daemon(f"e{number}", store_class=CountedRows)
        await until(lambda: len(world.holders(POOL)) == 1)
        await asyncio.sleep(1.0)
        # Each daemon looks the queue up once.
        CountedRows.reads = CountedRows.writes = 0
        for number in range(100, 103):
            await world.submit(f"e{number % 3}", number, STEPS)
        assert CountedRows.reads <= 3 * 2
        assert CountedRows.writes <= 1
        CountedRows.reads = CountedRows.writes = 0
        for number in range(30):
            reply = await world.submit(f"e{number % 3}", number, STEPS)
            assert reply.kind is ReplyKind.OK
        assert (CountedRows.reads, CountedRows.writes) == (0, 0)
        await world.move("bulk")
        for number in range(30, 60):
            reply = await world.hand_in(f"e{number % 3}", number)
            assert reply.kind is ReplyKind.OK
        # The row and two gates at each daemon, and each job in one pool.
        assert CountedRows.reads <= 3 * 5 + 30
        assert CountedRows.writes <= 2 * 3
        await world.stop()

    run_virtual(run())


# Guards against rows of other writers that make a queue unusable.
@pytest.mark.parametrize("value", [b"", b"\xff", b"[]", b'{"queue":7}'])
def test_unreadable_rows_of_a_queue_are_replaced(value: bytes) -> None:
    async def run() -> None:
        world = MovedWorld()
        await world.rows.commit(QUEUES_PART, {}, {queue_name("quick"): value})
        await world.rows.commit(POOL, {}, {gate_name(POOL, "quick"): value})
        await world.begin(LONG_S)
        assert (await world.hand_in("e0", 1)).kind is ReplyKind.OK
        await world.move("bulk")
        assert (await world.hand_in("e0", 1)).kind is ReplyKind.OK
        assert world.stored_in(1) == [POOL]
        assert (await world.hand_in("e1")).kind is ReplyKind.OK
        assert world.stored_in() == ["bulk"]
        await world.stop()

    run_virtual(run())


# Guards against an older configuration that opens a pool again (case 8).
def test_closed_gate_of_a_newer_configuration_stays_closed() -> None:
    async def run() -> None:
        world = MovedWorld()
        await world.begin(LONG_S)
        record = GateRecord("quick", 9, False)
        gate = gate_name(POOL, "quick")
        await world.rows.commit(POOL, {}, {gate: encode_row(record)})
        assert (await world.hand_in("e0")).kind is ReplyKind.REFUSED
        assert world.stored_in() == []
        await world.stop()

    run_virtual(run())


# Guards against a job in two pools, whatever versions daemons have and
# whichever of them a submission reaches (related to case 8).
@pytest.mark.parametrize("seed", range(12))
def test_job_is_stored_once_while_its_queue_moves(seed: int) -> None:
    async def run() -> None:
        rng = random.Random(seed)
        world = MovedWorld()
        await world.begin(LONG_S, daemons=4)
        names = list(world.daemons)
        pools = [POOL]
        accepted: set[int] = set()

        async def send(number: int) -> None:
            await asyncio.sleep(rng.random() * 2.5)
            for _ in range(6):
                reply = await world.hand_in(rng.choice(names), number)
                if reply.kind is ReplyKind.OK:
                    accepted.add(number)
                await asyncio.sleep(rng.random() * 0.4)

        async def change() -> None:
            for version in range(2, 9):
                pools.append(rng.choice(POOLS))
                for name in rng.sample(names, rng.randint(1, 4)):
                    await asyncio.sleep(rng.random() * 0.05)
                    world.daemons[name].apply_configuration(
                        configuration(version, pools[-1])
                    )
                if rng.random() < 0.3:
                    store = world.stores[rng.choice(names)]
                    store.lose_answers = 2
                await asyncio.sleep(rng.random() * 0.4)

        sending = [send(number) for number in range(40)]
        await asyncio.gather(change(), *sending)
        for name in names:
            world.daemons[name].apply_configuration(
                configuration(9, pools[-1])
            )
        await asyncio.sleep(1.0)
        for number in range(40):
            assert len(world.stored_in(number)) <= 1
            if number in accepted:
                assert world.stored_in(number)
                for name in names:
                    assert (await world.ask(name, number)).state
        assert len(accepted) > 20
        assert not world.fleet.duplicated_tasks
        await world.stop()

    run_virtual(run())
