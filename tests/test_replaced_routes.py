"""Tests of addresses that the operator gives to routes of other names."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import msgspec
import pytest

from lycheelug.jobservice.interfaces import Configuration, PoolPolicy, Route
from lycheelug.jobservice.pool_owner import PoolOwner
from lycheelug.jobservice.queue_rows import (
    ADDRESSES_TABLE,
    QUEUES_PART,
    QUEUES_TABLE,
    GateRecord,
    QueueRecord,
    encode_row,
    gate_name,
    queue_name,
)
from lycheelug.jobservice.replies import Reply, ReplyKind
from lycheelug.jobservice.tables import JOB_PREFIX, decode_job, jobs_table
from lycheelug.store.rows import RowConflict, RowName
from lycheelug.workloads import JobRecord, StepSpec
from lycheelug.workloads.model import JobState
from tests.job_world import JobWorld, job_id, until
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from collections.abc import Callable

POOLS = ["alpha", "beta", "gamma"]
JOB = 7
STEPS = [StepSpec(count=2, cpu_millis=1000)]
LONG_S = 30.0


def route(name: str, path: str, pool: str, max_attempts: int = 2) -> Route:
    return Route(
        name, "a.example", path, pool, 0, max_attempts, 1.6, 0.6, False
    )


FIRST = route("r-1f", "/x/", "alpha")
OTHER = route("r-9a", "/y/", "beta")


class RouteWorld(JobWorld):
    """Daemons whose routes change, and an executor in each pool."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 3
        self.routes = [FIRST, OTHER]

    async def begin(self, work_s: float = LONG_S, daemons: int = 3) -> None:
        for pool in POOLS:
            self.fleet.add(f"x-{pool}", work_s).info.pool = pool
        self.start_fleet()
        for number in range(daemons):
            self.start(f"e{number}")
        await until(
            lambda: all(len(self.holders(pool)) == 1 for pool in POOLS)
        )
        await asyncio.sleep(1.0)

    def start(self, name: str) -> None:
        """Start a daemon that sees only the newest configuration."""
        self.start_daemon(name, configuration=self.configuration())

    def configuration(self) -> Configuration:
        pools = [PoolPolicy(name) for name in POOLS]
        return Configuration(self.version, self.routes, pools)

    async def change(self, *routes: Route, names: str = "") -> None:
        """Write a version; only some daemons see it, if any is named."""
        self.version += 5
        self.routes = list(routes)
        for name in names.split() or list(self.daemons):
            self.daemons[name].apply_configuration(self.configuration())
        await asyncio.sleep(1.0)

    async def restart_all(self) -> None:
        """Replace each daemon by a new one, one after the other."""
        for name in list(self.daemons):
            await self.daemons.pop(name).stop()
            self.start(name + "n")
            await asyncio.sleep(1.0)

    def _route(self, daemon: str, path: str) -> Route:
        configuration = self.daemons[daemon].configuration
        assert configuration is not None
        found = configuration.find_route("a.example", path + job_id(0))
        assert found is not None
        return found

    async def hand_in(self, daemon: str, path: str, number: int) -> Reply:
        found = self._route(daemon, path)
        record = JobRecord(found.name, "payload", STEPS)
        submissions = self.daemons[daemon].submissions
        return await submissions.submit(found, job_id(number), record)

    async def ask(self, daemon: str, path: str, number: int) -> Reply:
        submissions = self.daemons[daemon].submissions
        found = self._route(daemon, path)
        return await submissions.state(found, job_id(number))

    async def cancel_at(self, daemon: str, path: str, number: int) -> Reply:
        submissions = self.daemons[daemon].submissions
        found = self._route(daemon, path)
        return await submissions.cancel(found, job_id(number))

    async def count_at(self, daemon: str, path: str) -> int:
        submissions = self.daemons[daemon].submissions
        reply = await submissions.pending(self._route(daemon, path))
        assert reply.kind is ReplyKind.OK
        return reply.pending

    def stored_in(self, number: int) -> list[str]:
        """Return the pools in which a job is stored."""
        found: list[str] = []
        for pool in POOLS:
            key = (jobs_table(pool), pool, JOB_PREFIX + job_id(number))
            if key in self.rows._rows:
                found.append(pool)
        return found

    def runs_of(self, number: int) -> int:
        return sum(
            run.name.job == job_id(number) for run in self.fleet.started
        )

    async def as_earlier_release(self) -> None:
        """Let all rows be as the last release has stored them."""
        for table, part, key in list(self.rows._rows):
            name = RowName(table, key)
            read = await self.rows.read(table, part, key, key + "\0")
            data = read.unwrap().rows[0].value or b""
            if table == ADDRESSES_TABLE or key.startswith("address/"):
                await self.rows.commit(part, {}, {name: None})
            elif table == QUEUES_TABLE:
                queue = msgspec.json.decode(data, type=QueueRecord)
                queue.address = ""
                await self.rows.commit(part, {}, {name: encode_row(queue)})
            elif key.startswith(JOB_PREFIX):
                record = decode_job(data)
                assert record is not None
                record.address = ""
                encoded = msgspec.json.encode(record)
                await self.rows.commit(part, {}, {name: encoded})


REPLACED = route("r-2c", "/x/", "beta")

# The routes of the versions that follow, and the address at which the job's
# callers look for it.
CHANGES = {
    "other name": ([[route("r-2c", "/x/", "alpha"), OTHER]], "/x/"),
    "other name and pool": ([[REPLACED, OTHER]], "/x/"),
    "replaced and back": ([[REPLACED, OTHER], [FIRST, OTHER]], "/x/"),
    "replaced twice": (
        [[REPLACED, OTHER], [route("r-3", "/x/", "gamma"), OTHER]],
        "/x/",
    ),
    "addresses traded": (
        [[route("r-1f", "/y/", "alpha"), route("r-9a", "/x/", "beta")]],
        "/x/",
    ),
    "names traded": (
        [[route("r-9a", "/x/", "alpha"), route("r-1f", "/y/", "beta")]],
        "/x/",
    ),
    "names and pools traded": (
        [[route("r-9a", "/x/", "beta"), route("r-1f", "/y/", "alpha")]],
        "/x/",
    ),
    "name at another address, its own replaced": (
        [[route("r-1f", "/z/", "gamma"), REPLACED, OTHER]],
        "/x/",
    ),
    "other address": ([[route("r-1f", "/z/", "alpha"), OTHER]], "/z/"),
    "other address and pool": (
        [[route("r-1f", "/z/", "gamma"), OTHER]],
        "/z/",
    ),
}


async def stay(world: RouteWorld) -> None:
    pass


async def restart_all(world: RouteWorld) -> None:
    await world.restart_all()


async def upgrade(world: RouteWorld) -> None:
    """Replace the daemons of the last release before the routes change."""
    await world.as_earlier_release()
    await world.restart_all()


# Guards against accepted jobs that are answered 410, and run again when their
# requests are repeated, as their route was replaced by one of another name at
# the same address (review case 13).
@pytest.mark.parametrize("change", CHANGES)
@pytest.mark.parametrize("disturb", [stay, restart_all, upgrade])
@pytest.mark.parametrize("state", ["running", "completed"])
def test_job_is_found_at_its_address(
    change: str, disturb: Callable[[RouteWorld], object], state: str
) -> None:
    async def run() -> None:
        world = RouteWorld()
        await world.begin(0.5 if state == "completed" else LONG_S)
        assert (await world.hand_in("e0", "/x/", JOB)).kind is ReplyKind.OK
        await until(lambda: len(world.fleet.started) == 2)
        await asyncio.sleep(2.0)
        if disturb is upgrade:
            await upgrade(world)
        versions, path = CHANGES[change]
        for routes in versions:
            await world.change(*routes)
        if disturb is restart_all:
            await restart_all(world)
        for daemon in world.daemons:
            reply = await world.ask(daemon, path, JOB)
            assert (reply.kind, reply.state) == (ReplyKind.OK, state)
            reply = await world.hand_in(daemon, path, JOB)
            assert reply.kind is ReplyKind.OK
        assert world.stored_in(JOB) == ["alpha"]
        assert world.runs_of(JOB) == 2
        # New jobs go where the address leads now.
        daemon = next(iter(world.daemons))
        assert (await world.hand_in(daemon, path, 8)).kind is ReplyKind.OK
        assert world.stored_in(8) == [world._route(daemon, path).pool]
        await world.stop()

    run_virtual(run())


# Guards against jobs that nobody can cancel, as their route was replaced
# (related to review case 13).
@pytest.mark.parametrize("change", CHANGES)
def test_job_is_cancelled_at_its_address(change: str) -> None:
    async def run() -> None:
        world = RouteWorld()
        await world.begin()
        assert (await world.hand_in("e0", "/x/", JOB)).kind is ReplyKind.OK
        await until(lambda: len(world.fleet.started) == 2)
        versions, path = CHANGES[change]
        for routes in versions:
            await world.change(*routes)
        assert (await world.cancel_at("e1", path, JOB)).kind is ReplyKind.OK
        await asyncio.sleep(2.0)
        reply = await world.ask("e2", path, JOB)
        assert reply.state == JobState.CANCELLED
        assert not any(
            executor.running for executor in world.fleet.executors.values()
        )
        await world.stop()

    run_virtual(run())


# Guards against jobs of the last release that aren't found, as their route was
# replaced before any daemon of this one has seen it (related to case 13).
def test_job_of_the_last_release_is_found_after_its_route_is_gone() -> None:
    async def run() -> None:
        world = RouteWorld()
        await world.begin()
        assert (await world.hand_in("e0", "/x/", JOB)).kind is ReplyKind.OK
        await until(lambda: len(world.fleet.started) == 2)
        await world.as_earlier_release()
        world.version += 5
        world.routes = [REPLACED, OTHER]
        await world.restart_all()
        for daemon in world.daemons:
            reply = await world.ask(daemon, "/x/", JOB)
            assert reply.state == JobState.RUNNING
            reply = await world.hand_in(daemon, "/x/", JOB)
            assert reply.kind is ReplyKind.OK
        assert world.stored_in(JOB) == ["alpha"]
        assert world.runs_of(JOB) == 2
        # Later addresses don't get its pool.
        daemon = next(iter(world.daemons))
        await world.change(REPLACED, OTHER, route("r-5", "/w/", "gamma"))
        locations = world.daemons[daemon].submissions.locations
        found = await locations.find(world._route(daemon, "/w/"))
        location = found.unwrap()
        assert location is not None
        assert location.former_pools == ()
        await world.stop()

    run_virtual(run())


# Guards against a job in two pools during a rolling replacement: a daemon of
# the last release knows the gates of names only (related to case 13).
def test_daemon_of_the_last_release_stores_nothing_in_a_former_pool() -> None:
    async def run() -> None:
        world = RouteWorld()
        await world.begin()
        await world.as_earlier_release()
        await world.restart_all()
        await world.change(route("r-1f", "/x/", "beta"), OTHER)
        daemon = next(iter(world.daemons))
        assert (await world.hand_in(daemon, "/x/", JOB)).kind is ReplyKind.OK
        assert world.stored_in(JOB) == ["beta"]
        name = RowName(jobs_table("alpha"), JOB_PREFIX + job_id(JOB))
        gate = gate_name("alpha", "r-1f")
        result = await world.rows.commit(
            "alpha", {name: 0, gate: 0}, {name: b"{}"}
        )
        assert isinstance(result.unwrap(), RowConflict)
        await world.stop()

    run_virtual(run())


# Guards against a submission in a pool that a daemon of the last release has
# closed for its queue, by name (related to case 13).
def test_gate_that_the_last_release_has_closed_stays_closed() -> None:
    async def run() -> None:
        world = RouteWorld()
        await world.begin()
        moved = QueueRecord("r-1f", 8, ["beta", "alpha"])
        closed = GateRecord("r-1f", 8, False)
        await world.rows.commit(
            QUEUES_PART, {}, {queue_name("r-1f"): encode_row(moved)}
        )
        await world.rows.commit(
            "alpha", {}, {gate_name("alpha", "r-1f"): encode_row(closed)}
        )
        reply = await world.hand_in("e0", "/x/", JOB)
        assert reply.kind is ReplyKind.REFUSED
        assert world.stored_in(JOB) == []
        await world.change(route("r-1f", "/x/", "beta"), OTHER)
        assert (await world.hand_in("e0", "/x/", JOB)).kind is ReplyKind.OK
        assert world.stored_in(JOB) == ["beta"]
        await world.stop()

    run_virtual(run())


# Guards against a count that leaves out the jobs which were accepted under the
# route's former name (related to case 13).
@pytest.mark.parametrize("change", CHANGES)
def test_count_includes_the_jobs_of_the_address(change: str) -> None:
    async def run() -> None:
        world = RouteWorld()
        await world.begin()
        # A pool has room for four of these jobs.
        for number in range(20):
            reply = await world.hand_in("e0", "/x/", number)
            assert reply.kind is ReplyKind.OK
        await asyncio.sleep(1.0)
        assert await world.count_at("e1", "/x/") == 16
        versions, path = CHANGES[change]
        for routes in versions:
            await world.change(*routes)
        for daemon in world.daemons:
            assert await world.count_at(daemon, path) == 16
        await world.stop()

    run_virtual(run())


# Guards against jobs that keep an outdated policy, or get that of another
# queue, as their route has another name (related to case 13).
@pytest.mark.parametrize("has_traded", [False, True])
def test_policy_is_that_of_the_address(has_traded: bool) -> None:
    async def run() -> None:
        world = RouteWorld()
        await world.begin()
        assert (await world.hand_in("e0", "/x/", JOB)).kind is ReplyKind.OK
        await asyncio.sleep(1.0)
        routes = [route("r-2c", "/x/", "alpha", max_attempts=5), OTHER]
        if has_traded:
            routes.append(route("r-1f", "/z/", "gamma", max_attempts=9))
        await world.change(*routes)
        (owner,) = world.holders("alpha")
        holder = world.daemons[owner].duties.held["alpha"]
        assert isinstance(holder, PoolOwner)
        job = holder.schedule.jobs[job_id(JOB)]
        assert job.policy.max_attempts == 5
        # The next owner knows it too.
        await world.daemons.pop(owner).stop()
        await until(lambda: len(world.holders("alpha")) == 1)
        await asyncio.sleep(3.0)
        (owner,) = world.holders("alpha")
        holder = world.daemons[owner].duties.held["alpha"]
        assert isinstance(holder, PoolOwner)
        job = holder.schedule.jobs[job_id(JOB)]
        assert job.policy.max_attempts == 5
        await world.stop()

    run_virtual(run())


# Guards against two routes at one address, of which the one that nobody
# reaches takes it from the other (related to case 13).
def test_route_behind_another_one_changes_nothing() -> None:
    async def run() -> None:
        world = RouteWorld()
        world.routes = [FIRST, route("r-2c", "/x/", "beta"), OTHER]
        await world.begin()
        for daemon in world.daemons:
            reply = await world.hand_in(daemon, "/x/", JOB)
            assert reply.kind is ReplyKind.OK
        assert world.stored_in(JOB) == ["alpha"]
        await world.stop()

    run_virtual(run())


# Guards against two routes of one name, of which one is refused for the pool
# of the other (related to case 13).
def test_routes_of_one_name_are_two_queues() -> None:
    async def run() -> None:
        world = RouteWorld()
        world.routes = [FIRST, route("r-1f", "/y/", "beta")]
        await world.begin()
        for daemon in world.daemons:
            for number, path in enumerate(("/x/", "/y/")):
                reply = await world.hand_in(daemon, path, number)
                assert reply.kind is ReplyKind.OK
        assert world.stored_in(0) == ["alpha"]
        assert world.stored_in(1) == ["beta"]
        await world.stop()

    run_virtual(run())


# Guards against a record without an address that gets the policy of a route
# for all hosts and paths (related to case 13).
def test_record_without_an_address_is_found_by_its_name() -> None:
    anywhere = Route("all", "", "", "alpha", 0, 2, 1.6, 0.6, False)
    configuration = Configuration(1, [anywhere, OTHER], [])
    record = JobRecord(OTHER.name, "", STEPS)
    assert configuration.find_queue_of(record) is OTHER
    record.address = OTHER.address
    assert configuration.find_queue_of(record) is OTHER
    record.queue = "gone"
    record.address = "gone.example/x/"
    assert configuration.find_queue_of(record) is None


# Guards against a daemon that remembers each address that was ever configured
# (related to cases 11 and 13).
def test_addresses_that_are_gone_are_forgotten() -> None:
    async def run() -> None:
        world = RouteWorld()
        await world.begin()
        locations = world.daemons["e0"].submissions.locations
        for number in range(20):
            await world.change(
                FIRST, route(f"r-{number}", f"/{number}/", "beta")
            )
            reply = await world.hand_in("e0", f"/{number}/", number)
            assert reply.kind is ReplyKind.OK
        assert len(locations._locations) == 2
        assert len(locations._pools) == 2
        # One that is back finds its jobs.
        await world.change(FIRST, route("r-9", "/7/", "gamma"))
        assert (await world.ask("e0", "/7/", 7)).kind is ReplyKind.OK
        reply = await world.hand_in("e0", "/7/", 7)
        assert reply.kind is ReplyKind.OK
        assert world.stored_in(7) == ["beta"]
        await world.stop()

    run_virtual(run())


# Guards against a job in two pools, whatever routes and versions daemons have
# and whichever of them a submission reaches (related to case 13).
@pytest.mark.parametrize("seed", range(12))
def test_job_is_stored_once_while_routes_change(seed: int) -> None:
    async def run() -> None:
        rng = random.Random(seed)
        world = RouteWorld()
        await world.begin(daemons=4)
        names = list(world.daemons)
        accepted: set[int] = set()

        async def send(number: int) -> None:
            await asyncio.sleep(rng.random() * 2.5)
            path = rng.choice(["/x/", "/y/"])
            for _ in range(6):
                reply = await world.hand_in(rng.choice(names), path, number)
                if reply.kind is ReplyKind.OK:
                    accepted.add(number)
                await asyncio.sleep(rng.random() * 0.4)

        async def change() -> None:
            for version in range(4, 12):
                first, second = rng.sample(["r-1f", "r-9a", "r-2c"], 2)
                world.version = version
                world.routes = [
                    route(first, "/x/", rng.choice(POOLS)),
                    route(second, "/y/", rng.choice(POOLS)),
                ]
                for name in rng.sample(names, rng.randint(1, 4)):
                    await asyncio.sleep(rng.random() * 0.05)
                    world.daemons[name].apply_configuration(
                        world.configuration()
                    )
                if rng.random() < 0.3:
                    store = world.stores[rng.choice(names)]
                    store.lose_answers = 2
                await asyncio.sleep(rng.random() * 0.4)

        sending = [send(number) for number in range(40)]
        await asyncio.gather(change(), *sending)
        world.version = 12
        for name in names:
            world.daemons[name].apply_configuration(world.configuration())
        await asyncio.sleep(1.0)
        for number in range(40):
            assert len(world.stored_in(number)) <= 1
            if number not in accepted:
                continue
            assert world.stored_in(number)
            for name in names:
                states = [
                    (await world.ask(name, path, number)).state
                    for path in ("/x/", "/y/")
                ]
                assert any(states)
        assert len(accepted) > 20
        assert not world.fleet.duplicated_tasks
        await world.stop()

    run_virtual(run())
