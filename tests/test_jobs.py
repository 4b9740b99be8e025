"""Long jobs under faults: no job is lost, and none runs if it must not."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from lycheelug import jobs
from lycheelug.errors import (
    CLAIM_LOST,
    JOB_CONFLICT,
    PLATFORM_UNKNOWN,
    PLATFORM_UNREACHABLE,
    UNKNOWN_JOB,
)
from lycheelug.job_queue import JobQueue
from lycheelug.job_records import HELD_STATES, job_key
from lycheelug.jobs import JobClaim, JobRequest, JobState, JobStatus, JobStore
from lycheelug.requests import Outcome
from standins.faults import Faults, FaultyPlatform, RecordingPlatform
from standins.interleaving import StepScheduler

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Scenario = Callable[["World"], Awaitable[None]]

ALWAYS = 10_000
DAY_S = 86_400.0
POOL = "press"


class World:
    """The job stores of two daemons, each with its own faults."""

    __slots__ = ("a", "b", "faulty", "now", "platform", "scheduler")

    def __init__(self, scheduler: StepScheduler | None = None) -> None:
        self.now = 0.0
        self.platform = RecordingPlatform()
        self.scheduler = scheduler or StepScheduler()
        if scheduler is None:
            self.scheduler.release_all()
        self.faulty: dict[str, FaultyPlatform] = {}
        self.a = self.store("a")
        self.b = self.store("b")

    def store(self, name: str) -> JobStore:
        faulty = FaultyPlatform(self.platform, pause=self.scheduler.pause)
        self.faulty[name] = faulty
        return JobStore(
            faulty,
            name,
            "r1",
            lambda: self.now,
            random.Random(name),
            sleep=self.scheduler.sleep,
        )

    def fail(self, name: str, faults: Faults) -> None:
        self.faulty[name].set_faults(faults)

    async def end_faults(self) -> None:
        """End all faults and wait until no write is pending."""
        for faulty in self.faulty.values():
            faulty.set_faults(Faults())
        for store in (self.a, self.b):
            await asyncio.wait_for(store.flush(), 30)

    async def submit(
        self, body: bytes = b"cut", repeatable: bool = False
    ) -> str:
        request = JobRequest("POST", "/cut", [], body, repeatable)
        return (await self.a.submit("guild", POOL, request, self.now)).unwrap()

    async def claim(self, store: JobStore) -> JobClaim:
        claim = (await store.claim_next(POOL)).unwrap()
        assert claim is not None
        return claim

    async def state(self, handle: str) -> JobStatus:
        return (await self.b.state(handle)).unwrap()

    def index_rows(self) -> list[str]:
        """Return the keys of all index rows of waiting and held jobs."""
        keys: list[str] = []
        for row in self.platform.rows(""):
            if row.value is not None and not row.key.startswith("job/"):
                keys.append(row.key)
        return keys


async def job_costs_few_calls(world: World) -> None:
    handle = await world.submit()
    assert world.faulty["a"].calls == {"transact": 1}
    claim = await world.claim(world.b)
    assert world.faulty["b"].calls == {"read_since": 2, "transact": 1}
    (await world.b.dispatch(claim)).unwrap()
    await world.b.report_done(claim, 200, [(b"a", b"\xff")], b"done")
    assert world.faulty["b"].calls == {"read_since": 2, "transact": 3}
    status = await world.state(handle)
    assert (status.state, status.outcome) == (JobState.DONE, Outcome.ANSWERED)
    assert (status.status, status.body) == (200, b"done")
    assert status.headers == [(b"a", b"\xff")]
    assert world.index_rows() == []


async def handle_is_not_stored(world: World) -> None:
    handle = await world.submit()
    secret = handle.split(".")[1].encode()
    for row in world.platform.rows(""):
        assert secret not in row.key.encode() + (row.value or b"")
    for wrong in ("", "lj1.x", "lj1.x.0", "lj1.x.zz", f"{handle}.1"):
        answer = await world.b.state(wrong)
        assert answer.failure().code is UNKNOWN_JOB


async def large_bodies_are_stored_in_objects(world: World) -> None:
    body = bytes(range(256)) * 100
    handle = await world.submit(body)
    claim = await world.claim(world.b)
    assert claim.request.body == body
    (await world.b.dispatch(claim)).unwrap()
    await world.b.report_done(claim, 200, [], body[::-1])
    await world.end_faults()
    assert (await world.state(handle)).body == body[::-1]
    assert len(world.platform.object_names) == 1


async def submit_without_platform_makes_no_job(world: World) -> None:
    world.fail("a", Faults(down=True))
    for body in (b"", b"x" * 20_000):
        request = JobRequest("POST", "/cut", [], body)
        answer = await world.a.submit("guild", POOL, request, 0.0)
        assert answer.failure().code is PLATFORM_UNREACHABLE
    await world.end_faults()
    assert world.platform.revision == 0


async def submit_survives_a_lost_answer(world: World) -> None:
    world.fail("a", Faults(lose_answers=1))
    handle = await world.submit()
    assert (await world.state(handle)).state is JobState.WAITING
    assert len(world.index_rows()) == 1


async def unanswered_submit_is_withdrawn(world: World) -> None:
    request = JobRequest("POST", "/cut", [], b"cut")
    for faults in (Faults(lose_answers=ALWAYS), Faults(late_writes=3)):
        world.fail("a", faults)
        answer = await world.a.submit("guild", POOL, request, 0.0)
        assert answer.failure().code is PLATFORM_UNKNOWN
        await world.end_faults()
        await world.faulty["a"].apply_late_writes()
        assert world.index_rows() == []
        assert (await world.b.claim_next(POOL)).unwrap() is None


async def one_daemon_claims_a_job(world: World) -> None:
    await world.submit()
    answers = await asyncio.gather(
        world.a.claim_next(POOL), world.b.claim_next(POOL)
    )
    claims = [answer.unwrap() for answer in answers]
    assert sum(claim is not None for claim in claims) == 1


async def stale_views_claim_nothing_twice(world: World) -> None:
    await world.submit()
    await world.b.claim_next("other")
    await world.claim(world.a)
    world.fail("b", Faults(stale_reads=1))
    answer = await world.b.claim_next(POOL)
    assert not is_successful(answer) or answer.unwrap() is None
    await world.end_faults()
    assert (await world.b.claim_next(POOL)).unwrap() is None


async def claim_with_lost_answer_is_released(world: World) -> None:
    handle = await world.submit()
    cases = (
        Faults(lose_answers=ALWAYS),
        Faults(late_writes=3),
        Faults(lose_answers=1),
    )
    for faults in cases:
        world.scheduler = StepScheduler()
        world.a = world.store("a")
        claiming = asyncio.ensure_future(world.a.claim_next(POOL))
        await world.scheduler.run_until("transact:before")
        world.fail("a", faults)
        world.scheduler.release_all()
        answer = await claiming
        if is_successful(answer):
            assert faults is cases[-1]
            claim = answer.unwrap()
            assert claim is not None
            await world.a.hand_back(claim)
        else:
            assert answer.failure().code is CLAIM_LOST
        await world.end_faults()
        await world.faulty["a"].apply_late_writes()
        assert (await world.state(handle)).state is JobState.WAITING
    claim = await world.claim(world.b)
    (await world.b.dispatch(claim)).unwrap()


async def releasing_an_uncertain_claim_keeps_others(world: World) -> None:
    handle = await world.submit()
    world.scheduler = StepScheduler()
    world.a = world.store("a")
    claiming = asyncio.ensure_future(world.a.claim_next(POOL))
    await world.scheduler.run_until("transact:before")
    world.fail("a", Faults(late_writes=ALWAYS))
    world.scheduler.release_all()
    assert (await claiming).failure().code is CLAIM_LOST
    claim = await world.claim(world.b)
    await world.end_faults()
    assert (await world.state(handle)).state is JobState.CLAIMED
    (await world.b.dispatch(claim)).unwrap()


async def cancel_before_dispatch_is_not_run(world: World) -> None:
    waiting = await world.submit()
    status = (await world.b.cancel(waiting, 1.0)).unwrap()
    assert status.state is JobState.CANCELLED
    assert status.outcome is Outcome.NOT_RUN
    claimed = await world.submit()
    claim = await world.claim(world.a)
    status = (await world.b.cancel(claimed, 1.0)).unwrap()
    assert status.outcome is Outcome.NOT_RUN
    refused = await world.a.dispatch(claim)
    assert refused.failure().code is JOB_CONFLICT
    await world.a.hand_back(claim)
    await world.end_faults()
    assert (await world.state(claimed)).state is JobState.CANCELLED
    assert world.index_rows() == []


async def cancel_after_dispatch_reaches_the_owner(world: World) -> None:
    handle = await world.submit()
    claim = await world.claim(world.a)
    (await world.a.dispatch(claim)).unwrap()
    status = (await world.b.cancel(handle, 1.0)).unwrap()
    assert status.cancel_wanted
    assert status.outcome is Outcome.UNKNOWN
    assert (await world.a.cancelled_names()).unwrap() == [claim.name]
    assert (await world.a.cancelled_names()).unwrap() == []
    await world.a.report_cancelled(claim)
    status = await world.state(handle)
    assert status.state is JobState.CANCELLED
    assert status.outcome is Outcome.UNKNOWN
    assert world.index_rows() == []


async def answer_overrides_a_cancellation(world: World) -> None:
    handle = await world.submit()
    claim = await world.claim(world.a)
    (await world.a.dispatch(claim)).unwrap()
    (await world.b.cancel(handle, 1.0)).unwrap()
    await world.a.report_done(claim, 200, [], b"done")
    await world.end_faults()
    assert (await world.state(handle)).body == b"done"
    status = (await world.b.cancel(handle, 1.0)).unwrap()
    assert status.state is JobState.DONE


async def poison_job_is_set_aside(world: World) -> None:
    handle = await world.submit(repeatable=True)
    workers = (("w1", "r1"), ("w2", "r1"), ("w3", "r1"), ("w5", "r2"))
    for index, (host, rack) in enumerate(workers):
        claim = await world.claim((world.a, world.b)[index % 2])
        assert claim.epoch == index + 1
        assert len(claim.failures) == index
        store = (world.a, world.b)[index % 2]
        (await store.dispatch(claim)).unwrap()
        await store.report_failed(claim, host, rack, "exit 1", True)
    status = await world.state(handle)
    assert status.state is JobState.SET_ASIDE
    assert status.outcome is Outcome.UNKNOWN
    assert [item.host for item in status.failures] == ["w1", "w2", "w3", "w5"]
    assert "w5: exit 1" in status.detail
    assert (await world.a.claim_next(POOL)).unwrap() is None


async def failed_job_is_repeated_only_if_allowed(world: World) -> None:
    handle = await world.submit()
    claim = await world.claim(world.a)
    (await world.a.dispatch(claim)).unwrap()
    await world.a.report_failed(claim, "w1", "r1", "refused", False)
    assert (await world.state(handle)).outcome is Outcome.NOT_RUN
    claim = await world.claim(world.a)
    (await world.a.dispatch(claim)).unwrap()
    await world.a.report_failed(claim, "w1", "r1", "cut off", True)
    status = await world.state(handle)
    assert status.state is JobState.UNKNOWN
    assert status.outcome is Outcome.UNKNOWN
    assert (await world.b.claim_next(POOL)).unwrap() is None


async def jobs_of_an_ended_run_are_released(world: World) -> None:
    cases = (
        (False, False, JobState.WAITING),
        (False, True, JobState.UNKNOWN),
        (True, True, JobState.WAITING),
    )
    for repeatable, dispatched, expected in cases:
        handle = await world.submit(repeatable=repeatable)
        claim = await world.claim(world.a)
        if dispatched:
            (await world.a.dispatch(claim)).unwrap()
        assert await world.b.recover([], 1.0) == 0
        assert await world.b.recover(["a.r0"], 1.0) == 0
        assert await world.b.recover([world.a.owner], 1.0) == 1
        assert (await world.state(handle)).state is expected
        # The owner was only paused. It must neither send the request nor
        # record a result.
        refused = await world.a.dispatch(claim)
        assert refused.failure().code is JOB_CONFLICT
        await world.a.report_done(claim, 200, [], b"x" * 20_000)
        await world.end_faults()
        assert (await world.state(handle)).state is expected
        assert world.platform.object_names == []
        if expected is JobState.WAITING:
            reclaimed = await world.claim(world.b)
            assert reclaimed.epoch == 2
            await world.a.hand_back(claim)
            await world.end_faults()
            assert (await world.state(handle)).state is JobState.CLAIMED
            (await world.b.dispatch(reclaimed)).unwrap()
            await world.b.report_done(reclaimed, 200, [], b"")


async def stop_hands_jobs_back(world: World) -> None:
    cases = (
        (False, False, JobState.WAITING),
        (False, True, JobState.UNKNOWN),
        (True, True, JobState.WAITING),
    )
    for repeatable, sent, expected in cases:
        handle = await world.submit(repeatable=repeatable)
        claim = await world.claim(world.a)
        (await world.a.dispatch(claim)).unwrap()
        world.fail("a", Faults(lose_answers=3))
        await world.a.hand_back(claim, sent, "stopping")
        await world.end_faults()
        status = await world.state(handle)
        assert status.state is expected
        outcome = Outcome.UNKNOWN if sent else Outcome.NOT_RUN
        assert status.outcome is outcome
        (await world.b.cancel(handle, 1.0)).unwrap()


async def mass_cancellation_leaves_no_rows(world: World) -> None:
    handles: list[str] = []
    for number in range(60):
        body = b"x" * (20_000 if number % 3 == 0 else 10)
        handles.append(await world.submit(body))
    for _ in range(10):
        await world.claim(world.a)
    world.fail("b", Faults(lose_share=0.3, seed=1))
    for _ in range(2):
        for handle in handles:
            await world.b.cancel(handle, 1.0)
    await world.end_faults()
    for handle in handles:
        status = await world.state(handle)
        assert status.outcome is Outcome.NOT_RUN
        assert status.state is JobState.CANCELLED
    assert world.index_rows() == []
    assert world.platform.object_names == []
    assert (await world.a.claim_next(POOL)).unwrap() is None
    assert world.a.waiting(POOL) == 0
    assert await _sweep(world, DAY_S) == 0
    assert await _sweep(world, DAY_S + 2) == 60
    assert all(row.value is None for row in world.platform.rows(""))


async def unfinished_and_failed_jobs_are_kept(world: World) -> None:
    await world.submit()
    world.now = 1.0
    handle = await world.submit()
    for _ in range(2):
        claim = await world.claim(world.a)
    (await world.a.dispatch(claim)).unwrap()
    await world.a.hand_back(claim, sent=True)
    assert await _sweep(world, 6 * DAY_S) == 0
    assert (await world.state(handle)).state is JobState.UNKNOWN
    assert await _sweep(world, 8 * DAY_S) == 1


SCENARIOS: tuple[Scenario, ...] = (
    job_costs_few_calls,
    handle_is_not_stored,
    large_bodies_are_stored_in_objects,
    submit_without_platform_makes_no_job,
    submit_survives_a_lost_answer,
    unanswered_submit_is_withdrawn,
    one_daemon_claims_a_job,
    stale_views_claim_nothing_twice,
    claim_with_lost_answer_is_released,
    releasing_an_uncertain_claim_keeps_others,
    cancel_before_dispatch_is_not_run,
    cancel_after_dispatch_reaches_the_owner,
    answer_overrides_a_cancellation,
    poison_job_is_set_aside,
    failed_job_is_repeated_only_if_allowed,
    jobs_of_an_ended_run_are_released,
    stop_hands_jobs_back,
    mass_cancellation_leaves_no_rows,
    unfinished_and_failed_jobs_are_kept,
)


async def _sweep(world: World, now: float) -> int:
    total = 0
    for _ in range(32):
        total += await world.b.sweep(now)
    return total


@pytest.mark.parametrize(
    "scenario", SCENARIOS, ids=[item.__name__ for item in SCENARIOS]
)
def test_jobs_under_faults(
    scenario: Scenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(jobs, "PARTITION_DIGITS", 1)

    async def run() -> None:
        world = World()
        await scenario(world)
        for store in (world.a, world.b):
            await store.close()

    asyncio.run(run())


def test_tenants_are_served_alternately() -> None:
    queue = JobQueue()
    for number in range(4):
        queue.add(f"band{number}", "band", number)
    queue.add("gate0", "gate", 10.0)
    assert [queue.pop() for _ in range(3)] == ["band0", "gate0", "band1"]
    # A tenant without waiting jobs for a while gets no credit for that time.
    for number in range(3):
        queue.add(f"late{number}", "late", 20.0 + number)
    queue.remove("late1")
    queue.add("band1", "band", 1.0)
    order = [queue.pop() for _ in range(6)]
    assert order == ["band1", "late0", "band2", "late2", "band3", None]


class _Fleet:
    """Callers that submit a few jobs, and two daemons that run them."""

    __slots__ = ("handles", "not_run", "runs", "world")

    def __init__(self, world: World) -> None:
        self.world = world
        # The handle by row key, and whether the job may be repeated.
        self.handles: dict[str, tuple[str, bool]] = {}
        self.runs: dict[str, int] = {}
        self.not_run: set[str] = set()

    async def call(self, store: JobStore, action: int) -> None:
        """Submit a job, and for some actions cancel it at once."""
        repeatable = action % 2 == 0
        request = JobRequest("POST", "/cut", [], b"cut", repeatable)
        answer = await store.submit(f"t{action % 3}", POOL, request, 0.0)
        if not is_successful(answer):
            return
        handle = answer.unwrap()
        name = job_key(handle.split(".")[1])
        self.handles[name] = (handle, repeatable)
        if action % 5 > 0:
            return
        cancelled = await store.cancel(handle, 1.0)
        if not is_successful(cancelled):
            return
        if cancelled.unwrap().outcome is Outcome.NOT_RUN:
            self.not_run.add(name)

    async def work(self, store: JobStore, action: int) -> None:
        """Claim a job, and end it in the way that the action selects."""
        answer = await store.claim_next(POOL)
        if not is_successful(answer):
            return
        claim = answer.unwrap()
        if claim is None:
            return
        if action % 7 == 0:
            await store.hand_back(claim)
            return
        if not is_successful(await store.dispatch(claim)):
            await store.hand_back(claim)
            return
        await self.world.scheduler.pause("dispatch")
        self.runs[claim.name] = self.runs.get(claim.name, 0) + 1
        match action % 4:
            case 0:
                await store.report_done(claim, 200, [], b"done")
            case 1:
                await store.report_failed(claim, "w1", "r1", "exit 1", True)
            case 2:
                await store.hand_back(claim, sent=True)

    async def end_runs(self, store: JobStore) -> None:
        """Release the jobs of both runs, which may still be working."""
        for _ in range(2):
            owners = (self.world.a.owner, self.world.b.owner)
            await store.recover(owners, 1.0)

    async def check(self) -> None:
        """Check all guarantees once no operation is in progress."""
        checker = self.world.store("keeper")
        await self.end_runs(checker)
        waiting = 0
        for name, (handle, repeatable) in self.handles.items():
            status = (await checker.state(handle)).unwrap()
            runs = self.runs.get(name, 0)
            assert repeatable or runs <= 1
            assert status.state not in HELD_STATES
            if status.outcome is Outcome.NOT_RUN:
                assert runs == 0
            if name in self.not_run:
                assert runs == 0
            waiting += status.state is JobState.WAITING
        index = self.world.index_rows()
        assert len(index) == waiting
        for _ in range(waiting):
            assert (await self.world.claim(checker)).name in self.handles
        assert (await checker.claim_next(POOL)).unwrap() is None


async def _interleave(choices: list[int], plan: list[int]) -> None:
    world = World(StepScheduler())
    fleet = _Fleet(world)
    tasks: list[asyncio.Task[None]] = []
    for action in plan:
        store = (world.a, world.b)[action % 2]
        step = fleet.call if action % 3 == 0 else fleet.work
        task = asyncio.ensure_future(step(store, action // 6))
        tasks.append(task)

    def before(choice: int) -> None:
        faults = world.faulty["ab"[choice % 2]].faults
        match choice // 2 % 13:
            case 0:
                faults.lose_answers += 1
            case 1:
                faults.down = not faults.down
            case 2:
                faults.stale_reads = (faults.stale_reads + 1) % 3
            case 3:
                faults.late_writes += 1
            case 4:
                tasks[choice // 26 % len(tasks)].cancel()
            case 5:
                other = world.b if choice % 2 else world.a
                tasks.append(asyncio.ensure_future(fleet.end_runs(other)))
            case 6:
                store = (world.a, world.b)[choice % 2]
                work = fleet.work(store, choice // 26)
                tasks.append(asyncio.ensure_future(work))

    await world.scheduler.run(choices, before)
    await world.end_faults()
    await asyncio.gather(*tasks, return_exceptions=True)
    await world.end_faults()
    for faulty in world.faulty.values():
        await faulty.apply_late_writes()
    for task in tasks:
        assert task.cancelled() or task.exception() is None
    await fleet.check()


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    choices=st.lists(st.integers(0, 2**16), min_size=30, max_size=200),
    plan=st.lists(st.integers(0, 2**16), min_size=3, max_size=10),
)
def test_any_interleaving_keeps_jobs(
    choices: list[int], plan: list[int]
) -> None:
    asyncio.run(_interleave(choices, plan))
