"""Tests of submissions that a pool can't complete in time to be of use.

Load: far more jobs at once than a small pool can work off within the time
for which they are of value.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from lycheelug.jobservice.interfaces import (
    Configuration,
    PoolPolicy,
    Rejection,
    SubmissionAnswer,
)
from lycheelug.jobservice.pool_owner import PoolOwner
from lycheelug.jobservice.replies import ReplyKind
from lycheelug.relay import RelayServer, SubmissionForwarder
from lycheelug.scarcity import OverloadPolicy, PoolRoom, find_retry_after_s
from lycheelug.store.memory_rows import MemoryRows
from lycheelug.tenants import Tenant, TenantDirectory
from lycheelug.workloads import JobRecord, Occurrences, StepSpec
from tests.job_world import POOL, ROUTE, JobWorld, job_id, until
from tests.virtual_time import VirtualClock, run_virtual

if TYPE_CHECKING:
    from lycheelug.jobservice.queue_rows import GateVersions

REJECTING = OverloadPolicy("margin", rejects=True)
STEP = StepSpec(count=8, cpu_millis=1000, estimate_ms=1000)
LASTING = StepSpec(count=1, cpu_millis=1000, estimate_ms=1000, lasts=True)
JOBS = 60


def make_room(
    rate: float, free_cpu: float, in_time_s: float, late_s: float
) -> PoolRoom:
    """Return a room with work that takes 10 cores so long."""
    room = PoolRoom(rate, free_cpu)
    room.add_in_time(100_500, in_time_s * 1000 * 10_000)
    room.add_late(late_s * 1000 * 10_000)
    return room


@pytest.mark.parametrize(
    ("room", "age_ms", "is_rejected"),
    [
        pytest.param(make_room(10_000, 0, 0.5, 9), 0, False, id="in time"),
        pytest.param(make_room(10_000, 0, 2, 2), 0, False, id="of use"),
        pytest.param(make_room(10_000, 0, 2, 4), 0, True, id="too late"),
        pytest.param(
            make_room(10_000, 0, 2, 2), 2000, True, id="late since its first"
        ),
        pytest.param(make_room(10_000, 1, 60, 0), 0, False, id="free room"),
        pytest.param(make_room(0, 0, 60, 0), 0, False, id="no known host"),
        pytest.param(
            make_room(10_000, 0, 0, 0), 60_000, False, id="nothing waits"
        ),
    ],
)
def test_job_is_rejected_only_if_the_best_case_is_too_late(
    room: PoolRoom, age_ms: int, is_rejected: bool
) -> None:
    found = find_retry_after_s(
        room, "a", 100_000, 102_000 - age_ms, 106_000 - age_ms, 1000
    )
    assert (found is not None) is is_rejected


def test_retries_are_spread_and_find_the_queue_drained() -> None:
    room = make_room(10_000, 0, 6, 0)
    found = set()
    for number in range(100):
        retry_s = find_retry_after_s(room, job_id(number), 200_000, 1, 1, 0)
        assert retry_s is not None
        found.add(retry_s)
    assert found == {6, 7, 8}


def record(
    number: int, unix_ms: int, steps: list[StepSpec] | None = None
) -> JobRecord:
    return JobRecord(ROUTE.name, f"payload {number}", steps or [STEP], unix_ms)


async def start(world: JobWorld, overload: OverloadPolicy) -> None:
    for number in range(2):
        world.fleet.add(f"x{number}")
    world.start_fleet()
    for number in range(2):
        world.start_daemon(f"e{number}", overload=overload)
    await until(lambda: len(world.holders()) == 1)
    await asyncio.sleep(1.0)


async def submit(
    world: JobWorld, number: int, steps: list[StepSpec] | None = None
) -> ReplyKind:
    submissions = world.daemons[f"e{number % 2}"].submissions
    reply = await submissions.submit(
        ROUTE, job_id(number), record(number, VirtualClock().unix_ms(), steps)
    )
    if reply.kind is ReplyKind.REFUSED:
        assert reply.retry_after_s >= 1
    return reply.kind


async def wait_completed(world: JobWorld, number: int) -> None:
    async with asyncio.timeout(120):
        while await world.state("e0", number) != "completed":  # noqa: ASYNC110
            await asyncio.sleep(0.5)


def test_rejected_jobs_never_run_and_accepted_ones_are_completed() -> None:
    async def run() -> None:
        world = JobWorld()
        await start(world, REJECTING)
        kinds: dict[int, ReplyKind] = {}
        for number in range(JOBS):
            kinds[number] = await submit(world, number)
        refused = [n for n in kinds if kinds[n] is ReplyKind.REFUSED]
        accepted = [n for n in kinds if kinds[n] is ReplyKind.OK]
        assert len(refused) + len(accepted) == JOBS
        assert refused
        assert accepted
        # A repeat of an accepted job is the same job, however full it is.
        for number in accepted:
            assert await submit(world, number) is ReplyKind.OK
        # Long-running jobs are accepted however full it is.
        assert await submit(world, 900, [LASTING]) is ReplyKind.OK
        for number in accepted:
            await wait_completed(world, number)
        started = {run.name.job for run in world.fleet.started}
        assert started.isdisjoint(map(job_id, refused))
        # Once there is room, a retry is accepted.
        assert await submit(world, refused[0]) is ReplyKind.OK
        await world.stop()

    run_virtual(run())


def test_nothing_is_rejected_unless_the_policy_says_so() -> None:
    async def run() -> None:
        world = JobWorld()
        await start(world, OverloadPolicy())
        for number in range(JOBS):
            assert await submit(world, number) is ReplyKind.OK
        await world.stop()

    run_virtual(run())


def test_job_with_a_schedule_is_not_rejected() -> None:
    async def run() -> None:
        world = JobWorld()
        await start(world, REJECTING)
        for number in range(JOBS):
            await submit(world, number)
        unix_ms = VirtualClock().unix_ms()
        job = JobRecord(
            ROUTE.name, "", [STEP], unix_ms, Occurrences(2, unix_ms, 1000)
        )
        owner = world.daemons[world.holders()[0]]
        reply = await owner.submissions.submit(ROUTE, job_id(901), job)
        assert reply.kind is ReplyKind.OK
        await world.stop()

    run_virtual(run())


@pytest.mark.parametrize(
    ("sent", "received"),
    [
        (Rejection(4), 4),
        (SubmissionAnswer.STORED, SubmissionAnswer.STORED),
        (SubmissionAnswer.NOT_TAKEN, SubmissionAnswer.NOT_TAKEN),
    ],
)
def test_rejection_reaches_the_sender(
    sent: SubmissionAnswer | Rejection, received: SubmissionAnswer | int
) -> None:
    async def accept(
        pool: str, job: str, job_record: JobRecord, gates: GateVersions
    ) -> SubmissionAnswer | Rejection:
        return sent

    async def run() -> None:
        server = RelayServer(MemoryRows())
        server.accept_submission = accept
        await server.start("127.0.0.1", 0)
        forwarder = SubmissionForwarder(asyncio.get_running_loop().time)
        found = await forwarder.submit(
            f"127.0.0.1:{server.port}", POOL, job_id(1), record(1, 0)
        )
        forwarder.close()
        await server.stop()
        if isinstance(found, Rejection):
            assert found.retry_after_s == received
        else:
            assert found is received

    asyncio.run(run())


TENANT = "parish"


async def fill_share(world: JobWorld, owner: PoolOwner) -> None:
    """Submit jobs of a tenant until it is refused for being over its share."""
    tenants = TenantDirectory([Tenant(TENANT, ["k"], weight=0.001)])
    for service in world.daemons.values():
        service.apply_configuration(
            Configuration(2, [ROUTE], [PoolPolicy(POOL)], tenants)
        )
    await asyncio.sleep(1.0)
    for number in range(100, 200):
        outcome = await owner.submit(job_id(number), of_tenant(number))
        if isinstance(outcome, Rejection):
            return
        # The waiting jobs are counted at intervals.
        await asyncio.sleep(0.05)
    raise AssertionError("the tenant was never refused")


def of_tenant(number: int) -> JobRecord:
    made = record(number, VirtualClock().unix_ms())
    made.tenant = TENANT
    return made


@pytest.mark.parametrize("overload", [OverloadPolicy(), REJECTING])
def test_submission_that_may_be_stored_is_not_refused_over_share(
    overload: OverloadPolicy, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its sender may store a job that the owner has not taken."""

    async def run() -> None:
        world = JobWorld()
        await start(world, overload)
        (holder,) = world.holders()
        owner = world.daemons[holder].duties.held[POOL]
        assert isinstance(owner, PoolOwner)
        with monkeypatch.context() as patch:
            patch.setattr(PoolOwner, "_takes_submissions", lambda _: False)
            first = await owner.submit(job_id(1), of_tenant(1))
        assert first is SubmissionAnswer.NOT_TAKEN
        await fill_share(world, owner)
        repeated = await owner.submit(job_id(1), of_tenant(1))
        assert repeated is SubmissionAnswer.STORED
        new = await owner.submit(job_id(2), of_tenant(2))
        assert isinstance(new, Rejection)
        await world.stop()

    run_virtual(run())
