"""Which policy is in force for a job, and what is decided without one."""

from __future__ import annotations

import asyncio
from typing import Final

import msgspec
import pytest

from lycheelug.jobservice.interfaces import (
    Configuration,
    PoolPolicy,
    Route,
    SubmissionAnswer,
    SubmissionRouter,
)
from lycheelug.jobservice.pool_owner import PoolOwner
from lycheelug.jobservice.queue_rows import NO_GATES, GateVersions
from lycheelug.jobservice.submissions import ReplyKind, Submissions
from lycheelug.jobservice.tables import JOB_PREFIX, decode_job, jobs_table
from lycheelug.metrics import Metrics
from lycheelug.store.rows import RowName
from lycheelug.workloads import (
    EndKind,
    Job,
    JobLimits,
    JobRecord,
    JobState,
    PolicyRecord,
    QueuePolicy,
    StepSpec,
    TaskName,
    apply_policy,
    find_error,
)
from tests.job_world import POOL, ROUTE, JobWorld, job_id, until
from tests.pool_world import PoolWorld
from tests.virtual_time import VirtualClock, run_virtual

NUMBER: Final = 1
TASK: Final = TaskName(job_id(NUMBER), 0, 0, 0)
STEPS: Final = [StepSpec(count=1, cpu_millis=1000)]
OTHER: Final = Route("other", "", "/o/", POOL, 0, 9, 1.6, 0.6, False)


class NoRouter(SubmissionRouter):
    """Reaches no owner."""

    async def submit(
        self,
        pool: str,
        job_id: str,
        record: JobRecord,
        gates: GateVersions = NO_GATES,
    ) -> SubmissionAnswer:
        return SubmissionAnswer.NOT_TAKEN

    async def count_waiting(self, pool: str, queue: str, address: str) -> None:
        return None


def route(max_attempts: int, priority: int = 0) -> Route:
    """Return the queue's route with another policy."""
    return Route(
        ROUTE.name, "", "/q/", POOL, priority, max_attempts, 1.6, 0.6, False
    )


def configure(world: JobWorld, version: int, *routes: Route) -> None:
    """Let all daemons have a version of the configuration."""
    for service in world.daemons.values():
        service.apply_configuration(
            Configuration(version, routes, [PoolPolicy(POOL)])
        )


def find_job(world: JobWorld) -> Job | None:
    """Return the job at the pool's owner, if it is known there."""
    for service in world.daemons.values():
        holder = service.duties.held.get(POOL)
        if isinstance(holder, PoolOwner):
            return holder.schedule.jobs.get(job_id(NUMBER))
    return None


def running(world: JobWorld) -> bool:
    """Whether the task runs."""
    return any(TASK in each.running for each in world.fleet.executors.values())


def fail_run(world: JobWorld) -> None:
    """End the run of the task as failed."""
    for executor in world.fleet.executors.values():
        if TASK in executor.running:
            executor.end(TASK, EndKind.FAILED)


async def start_world(work_s: float = 60.0) -> JobWorld:
    """Start two daemons and an executor."""
    world = JobWorld()
    world.fleet.add("x0", work_s)
    world.start_fleet()
    for name in ("e0", "e1"):
        world.start_daemon(name)
    await until(lambda: len(world.holders()) == 1)
    return world


async def change_owner(world: JobWorld) -> None:
    """Stop the pool's owner, and wait for the next one to know the job."""
    (holder,) = world.holders()
    await world.daemons.pop(holder).stop()
    await until(lambda: find_job(world) is not None)


async def has_failed(world: JobWorld) -> bool:
    """Whether callers are told that the job has failed."""
    daemon = next(iter(world.daemons))
    return await world.state(daemon, NUMBER) == JobState.FAILED


async def fail_until_ended(world: JobWorld, limit: int) -> int:
    """Fail runs until the job is shown as failed; return their number."""
    for failed in range(1, limit + 1):
        await until(lambda: running(world))
        fail_run(world)
        for _ in range(30):
            await asyncio.sleep(0.05)
            if await has_failed(world):
                return failed
            if running(world):
                break
    return limit + 1


# Guards against a job that fails at its first failed run, as its queue was
# away from the configuration when a new owner read it.
@pytest.mark.parametrize("comes_back", [False, True])
def test_queue_that_is_away_keeps_its_attempts(comes_back: bool) -> None:
    async def run() -> None:
        world = await start_world()
        configure(world, 2, route(4), OTHER)
        reply = await world.daemons["e0"].submissions.submit(
            route(4), job_id(NUMBER), JobRecord(ROUTE.name, "", STEPS)
        )
        assert reply.kind is ReplyKind.OK
        await until(lambda: running(world))
        configure(world, 3, OTHER)
        await change_owner(world)
        if comes_back:
            configure(world, 4, route(4), OTHER)
        assert await fail_until_ended(world, 5) == 4
        await world.stop()

    run_virtual(run())


# Guards against a job that fails at its first failed run, as its owner's
# configuration is older than that of the daemon that accepted it.
@pytest.mark.parametrize(
    "known", [pytest.param([OTHER], id="absent"), [route(1), OTHER]]
)
def test_owner_with_a_late_configuration_grants_all_attempts(
    known: list[Route],
) -> None:
    async def run() -> None:
        world = await start_world()
        configure(world, 2, *known)
        (holder,) = world.holders()
        other = next(name for name in world.daemons if name != holder)
        world.daemons[other].apply_configuration(
            Configuration(3, [route(3), OTHER], [PoolPolicy(POOL)])
        )
        reply = await world.daemons[other].submissions.submit(
            route(3), job_id(NUMBER), JobRecord(ROUTE.name, "", STEPS)
        )
        assert reply.kind is ReplyKind.OK
        assert await fail_until_ended(world, 5) == 3
        await world.stop()

    run_virtual(run())


# Guards against a policy that is kept for good although a newer one is in
# force, here and at the next owner.
@pytest.mark.parametrize("changes_owner", [False, True])
def test_jobs_follow_the_configuration_in_force(changes_owner: bool) -> None:
    async def run() -> None:
        world = await start_world()
        assert (await world.submit("e0", NUMBER, STEPS)).kind is ReplyKind.OK
        await until(lambda: running(world))
        configure(world, 2, route(3, priority=5), OTHER)
        job = find_job(world)
        assert job is not None
        await until(lambda: job.policy.priority == 5)
        await until(lambda: not job.is_dirty)
        configure(world, 3, OTHER)
        if changes_owner:
            await change_owner(world)
        assert await fail_until_ended(world, 5) == 3
        await world.stop()

    run_virtual(run())


async def store_earlier_job(world: JobWorld) -> None:
    """Store a job as an earlier release did, without a policy."""
    name = RowName(jobs_table(POOL), JOB_PREFIX + job_id(NUMBER))
    value = msgspec.json.encode(JobRecord(ROUTE.name, "", STEPS))
    await world.rows.commit(POOL, {name: 0}, {name: value})


# Guards against a final decision under a policy that nobody knows.
@pytest.mark.parametrize("attempts", [1, 2, 3])
def test_job_of_an_earlier_release_waits_for_its_policy(attempts: int) -> None:
    async def run() -> None:
        world = await start_world()
        configure(world, 2, OTHER)
        await store_earlier_job(world)
        await until(lambda: find_job(world) is not None)
        await asyncio.sleep(2.0)
        assert not running(world)
        # The wait is bounded.
        await until(lambda: running(world), 12.0)
        fail_run(world)
        await asyncio.sleep(15.0)
        assert not running(world)
        assert not await has_failed(world)
        configure(world, 3, route(attempts), OTHER)
        if attempts > 1:
            assert await fail_until_ended(world, 5) == attempts - 1
        async with asyncio.timeout(1.0):
            while not await has_failed(world):  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        assert len(world.fleet.started) == attempts
        await world.stop()

    run_virtual(run())


# Guards against an accepted job that is unknown to a daemon which was started
# after the job's queue had moved to another pool.
@pytest.mark.parametrize("cancels", [False, True])
def test_job_is_found_by_a_daemon_started_after_its_queue_moved(
    cancels: bool,
) -> None:
    async def run() -> None:
        world = await start_world()
        assert (await world.submit("e0", NUMBER, STEPS)).kind is ReplyKind.OK
        await until(lambda: running(world))
        moved = Route(ROUTE.name, "", "/q/", "bulk", 0, 2, 1.6, 0.6, False)
        submissions = Submissions(
            world.rows, VirtualClock(), Metrics(), NoRouter()
        )
        pools = [PoolPolicy(POOL), PoolPolicy("bulk"), PoolPolicy("third")]
        submissions.apply_configuration(
            Configuration(2, [moved, OTHER], pools)
        )
        # Another queue's job may have the same id.
        new = Route("new", "", "/n/", "third", 0, 2, 1.6, 0.6, False)
        reply = await submissions.state(new, job_id(NUMBER))
        assert reply.kind is ReplyKind.UNKNOWN_JOB
        if cancels:
            reply = await submissions.cancel(moved, job_id(NUMBER))
            assert reply.kind is ReplyKind.OK
            await until(lambda: not running(world))
        reply = await submissions.state(moved, job_id(NUMBER))
        assert reply.kind is ReplyKind.OK
        expected = JobState.CANCELLED if cancels else JobState.RUNNING
        assert reply.state == expected
        await world.stop()

    run_virtual(run())


# Guards against starts without a ticket that the queue may need.
def test_nothing_is_started_at_first_under_an_unknown_policy() -> None:
    world = PoolWorld()
    world.add_executor("a")
    job = world.add_job(STEPS)
    unknown = QueuePolicy(
        "queue", "quotes", is_known=False, held_until=world.now + 5
    )
    apply_policy(world.schedule, job, unknown, 0)
    assert world.starts() == []
    hinted = QueuePolicy("queue", "quotes", needs_placement_hint=True)
    apply_policy(world.schedule, job, hinted, 0)
    assert world.starts() == []
    assert world.schedule.hint_requests
    apply_policy(world.schedule, job, unknown, 0)
    world.now += 6
    world.report_tasks("a")
    assert len(world.starts()) == 1


def test_gang_with_a_failed_member_waits_for_its_policy() -> None:
    world = PoolWorld()
    world.add_executor("a")
    job = world.add_job([StepSpec(count=2, cpu_millis=1000, is_gang=True)])
    apply_policy(
        world.schedule, job, QueuePolicy("queue", "quotes", is_known=False), 0
    )
    orders = world.starts()
    assert len(orders) == 2
    for order in orders:
        world.answer(order)
    ends = [
        (orders[0].task.name, orders[0].run, EndKind.STOPPED),
        (orders[1].task.name, orders[1].run, EndKind.FAILED),
    ]
    world.report_tasks("a", ended=ends)
    world.now += 1
    assert world.starts() == []
    assert not job.is_final
    apply_policy(
        world.schedule, job, QueuePolicy("queue", "quotes", max_attempts=2), 0
    )
    assert len(world.starts()) == 2


def test_new_priority_reorders_waiting_jobs() -> None:
    world = PoolWorld()
    first = world.add_job(STEPS, "a" * 16)
    second = world.add_job(STEPS, "b" * 16)
    run_times = world.schedule.run_times
    order = [step.job for step in world.schedule.ready.ordered(0, run_times)]
    assert order == [first, second]
    later = QueuePolicy("queue", "quotes", priority=1)
    apply_policy(world.schedule, first, later, 0)
    order = [step.job for step in world.schedule.ready.ordered(0, run_times)]
    assert order == [second, first]


# Guards against an accepted job that its owner rejects for the bytes of the
# stored policy.
def test_stored_policy_does_not_count_as_part_of_the_submission() -> None:
    record = JobRecord("q", "", [StepSpec(count=1, image="")])
    size = len(msgspec.json.encode(record))
    image = "x" * (JobLimits().record_bytes - size - len('"image":"",'))
    record.steps[0] = StepSpec(count=1, image=image)
    assert find_error(record, JobLimits()) is None
    record.policy = PolicyRecord(2**31, 9, 9, 1.25, 0.125, True)
    assert find_error(record, JobLimits()) is None


def test_job_record_of_an_earlier_release_is_read() -> None:
    stored = b'{"queue":"q","payload":"","steps":[{"count":1}]}'
    record = decode_job(stored)
    assert record is not None
    assert record.policy is None
