"""Claims under faults: a request runs at most once in any interleaving."""

from __future__ import annotations

import asyncio
import random
from collections import OrderedDict
from typing import TYPE_CHECKING

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful
from returns.result import Success

from lycheelug import claims
from lycheelug.claims import Claim, ClaimStore, IssuedKeys, Replay
from lycheelug.errors import (
    CLAIM_LOST,
    KEY_CLAIMED,
    KEY_FORGOTTEN,
    KEY_REUSED,
    KEY_RUN_ENDED,
    PLATFORM_UNREACHABLE,
    ErrorCode,
)
from standins.faults import Faults, FaultyPlatform, RecordingPlatform
from standins.interleaving import StepScheduler

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from returns.result import Result

    from lycheelug.errors import Fault
    from lycheelug.issued_keys import IssuedClaim

    Scenario = Callable[["World"], Awaitable[None]]

ALWAYS = 10_000
HEADERS = [(b"content-type", b"text/plain"), (b"x-odd", b"\xff")]
DAY_S = 86_400.0


class World:
    """The claim stores of two daemons, each with its own faults."""

    __slots__ = ("a", "b", "faulty", "now", "platform", "scheduler")

    def __init__(self) -> None:
        self.now = 0.0
        self.platform = RecordingPlatform()
        self.scheduler = StepScheduler()
        self.scheduler.release_all()
        self.faulty: dict[str, FaultyPlatform] = {}
        self.a = self.store("a")
        self.b = self.store("b")

    def store(self, name: str) -> ClaimStore:
        faulty = FaultyPlatform(self.platform, pause=self.scheduler.pause)
        self.faulty[name] = faulty
        return ClaimStore(
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

    async def claim(
        self, store: ClaimStore, digest: str = "d"
    ) -> Claim | Replay | ErrorCode:
        answer = await store.claim("guild", "key-1", digest, self.now)
        if is_successful(answer):
            return answer.unwrap()
        return answer.failure().code

    async def expect_claim(self, store: ClaimStore) -> Claim:
        claimed = await self.claim(store)
        assert isinstance(claimed, Claim), claimed
        return claimed

    async def expect_replay(self, store: ClaimStore) -> Replay:
        replay = await self.claim(store)
        assert isinstance(replay, Replay), replay
        return replay


async def calls_per_claim_are_few(world: World) -> None:
    claimed = await world.expect_claim(world.a)
    assert world.faulty["a"].calls == {"transact": 1}
    await world.a.record(claimed, 200, HEADERS, b"done")
    assert world.faulty["a"].calls == {"transact": 2}
    await world.expect_replay(world.b)
    assert world.faulty["b"].calls == {"transact": 1, "read_since": 1}


async def second_arrival_is_claimed_then_replayed(world: World) -> None:
    claimed = await world.expect_claim(world.a)
    assert await world.claim(world.b) is KEY_CLAIMED
    assert await world.claim(world.a) is KEY_CLAIMED
    await world.a.record(claimed, 201, HEADERS, b"done")
    for store in (world.a, world.b):
        replay = await world.expect_replay(store)
        assert (replay.status, replay.headers) == (201, HEADERS)
        assert (replay.body, replay.body_kept) == (b"done", True)
        assert await world.claim(store, "other") is KEY_REUSED


async def released_key_can_be_claimed_again(world: World) -> None:
    await world.a.release(await world.expect_claim(world.a))
    claimed = await world.expect_claim(world.b)
    assert await world.claim(world.a) is KEY_CLAIMED
    await world.b.record(claimed, 200, [], b"")
    assert (await world.expect_replay(world.a)).status == 200


async def row_contains_neither_tenant_nor_key(world: World) -> None:
    await world.expect_claim(world.a)
    for row in world.platform.rows(""):
        text = row.key.encode() + (row.value or b"")
        assert b"guild" not in text
        assert b"key-1" not in text


async def lost_answer_is_recognised_by_its_nonce(world: World) -> None:
    world.fail("a", Faults(lose_answers=1))
    claimed = await world.expect_claim(world.a)
    assert await world.claim(world.b) is KEY_CLAIMED
    await world.a.release(claimed)
    await world.expect_claim(world.b)


async def lost_answer_is_recognised_by_its_row(world: World) -> None:
    world.fail("a", Faults(lose_answers=1))
    world.platform._nonces = _NoNonces()
    await world.expect_claim(world.a)
    assert await world.claim(world.b) is KEY_CLAIMED


async def uncertain_claim_is_released(world: World) -> None:
    world.fail("a", Faults(lose_answers=ALWAYS))
    assert await world.claim(world.a) is CLAIM_LOST
    assert await world.claim(world.b) is KEY_CLAIMED
    await world.end_faults()
    claimed = await world.expect_claim(world.b)
    await world.b.record(claimed, 200, [], b"")
    assert (await world.expect_replay(world.a)).status == 200


async def platform_down_claims_nothing(world: World) -> None:
    world.fail("a", Faults(down=True))
    assert await world.claim(world.a) is PLATFORM_UNREACHABLE
    assert world.platform.revision == 0
    assert world.a.pending == 0


async def delayed_copies_have_no_effect(world: World) -> None:
    world.fail("a", Faults(late_writes=4))
    assert await world.claim(world.a) is CLAIM_LOST
    await world.end_faults()
    assert await world.faulty["a"].apply_late_writes() == 4
    await world.expect_claim(world.b)


async def delayed_copy_of_a_reclaim_has_no_effect(world: World) -> None:
    world.fail("a", Faults(lose_answers=1))
    await world.a.release(await world.expect_claim(world.a))
    world.scheduler = StepScheduler()
    world.b = world.store("b")
    claiming = asyncio.ensure_future(world.claim(world.b))
    # The first write conflicts with the FREE row; the next are delayed.
    await world.scheduler.run_until("sleep")
    world.fail("b", Faults(late_writes=3))
    world.scheduler.release_all()
    assert await claiming is CLAIM_LOST
    await world.end_faults()
    await world.faulty["b"].apply_late_writes()
    await world.expect_claim(world.a)


async def stale_reads_never_mislead(world: World) -> None:
    first = await world.expect_claim(world.a)
    world.fail("b", Faults(stale_reads=1))
    assert await world.claim(world.b) is CLAIM_LOST
    await world.a.release(first)
    second = await world.expect_claim(world.a)
    world.fail("b", Faults(stale_reads=2))
    assert await world.claim(world.b) is CLAIM_LOST
    await world.a.record(second, 200, [], b"")
    world.fail("b", Faults(stale_reads=1))
    assert await world.claim(world.b) is CLAIM_LOST
    await world.end_faults()
    await world.expect_replay(world.b)


async def cancelled_claim_is_released(world: World) -> None:
    world.scheduler = StepScheduler()
    world.a = world.store("a")
    claiming = asyncio.ensure_future(world.claim(world.a))
    await world.scheduler.run_until("transact:after")
    claiming.cancel()
    assert await world.claim(world.b) is KEY_CLAIMED
    world.scheduler.release_all()
    await world.end_faults()
    await world.expect_claim(world.b)


async def outcome_is_stored_after_an_outage(world: World) -> None:
    claimed = await world.expect_claim(world.a)
    world.fail("a", Faults(down=True))
    await world.a.record(claimed, 200, HEADERS, b"done")
    assert world.a.pending > 0
    assert await world.claim(world.b) is KEY_CLAIMED
    await world.end_faults()
    assert (await world.expect_replay(world.b)).body == b"done"


async def repeated_record_changes_nothing(world: World) -> None:
    claimed = await world.expect_claim(world.a)
    world.fail("a", Faults(lose_answers=3))
    await world.a.record(claimed, 200, [], b"first")
    await world.a.record(claimed, 500, [], b"second")
    await world.a.release(claimed)
    await world.end_faults()
    assert (await world.expect_replay(world.b)).body == b"first"


async def released_claim_takes_no_outcome(world: World) -> None:
    claimed = await world.expect_claim(world.a)
    await world.a.release(claimed)
    assert not claimed.is_usable(0.0)
    with pytest.raises(RuntimeError):
        await world.a.record(claimed, 200, [], b"")


async def large_answer_is_stored_as_an_object(world: World) -> None:
    body = bytes(range(256)) * 80
    claimed = await world.expect_claim(world.a)
    world.fail("a", Faults(lose_answers=1))
    await world.a.record(claimed, 200, HEADERS, body)
    await world.end_faults()
    replay = await world.expect_replay(world.b)
    assert (replay.headers, replay.body) == (HEADERS, body)
    name = world.platform.object_names[0]
    await world.platform.delete_object(name)
    assert not (await world.expect_replay(world.b)).body_kept


async def oversized_answer_is_recorded_without_body(world: World) -> None:
    claimed = await world.expect_claim(world.a)
    await world.a.record(claimed, 200, HEADERS, b"x" * 2_000_000)
    replay = await world.expect_replay(world.b)
    assert (replay.status, replay.body_kept) == (200, False)
    assert world.platform.object_names == []


async def paused_daemon_may_not_use_its_claim(world: World) -> None:
    claimed = await world.expect_claim(world.a)
    assert claimed.is_usable(599.0)
    assert not claimed.is_usable(601.0)
    assert not claimed.is_usable(-601.0)


async def old_rows_are_swept(world: World) -> None:
    claimed = await world.expect_claim(world.a)
    await world.a.record(claimed, 200, HEADERS, b"x" * 20_000)
    world.now = DAY_S
    match await world.a.claim("guild", "key-2", "d", world.now):
        case Success(Claim()):
            pass
        case other:
            raise AssertionError(other)
    assert await _sweep(world) == 0
    world.now = DAY_S + 1
    assert await _sweep(world) == 1
    assert world.platform.object_names == []
    await world.expect_claim(world.b)
    assert await world.claim(world.a) is KEY_CLAIMED


SCENARIOS: tuple[Scenario, ...] = (
    calls_per_claim_are_few,
    second_arrival_is_claimed_then_replayed,
    released_key_can_be_claimed_again,
    row_contains_neither_tenant_nor_key,
    lost_answer_is_recognised_by_its_nonce,
    lost_answer_is_recognised_by_its_row,
    uncertain_claim_is_released,
    platform_down_claims_nothing,
    delayed_copies_have_no_effect,
    delayed_copy_of_a_reclaim_has_no_effect,
    stale_reads_never_mislead,
    cancelled_claim_is_released,
    outcome_is_stored_after_an_outage,
    repeated_record_changes_nothing,
    released_claim_takes_no_outcome,
    large_answer_is_stored_as_an_object,
    oversized_answer_is_recorded_without_body,
    paused_daemon_may_not_use_its_claim,
    old_rows_are_swept,
)


class _NoNonces(OrderedDict[str, int]):
    """A table of nonces that stores nothing."""

    def __setitem__(self, nonce: str, revision: int) -> None:
        return


async def _sweep(world: World) -> int:
    total = 0
    for _ in range(16):
        total += await world.b.sweep(world.now)
    return total


@pytest.mark.parametrize(
    "scenario", SCENARIOS, ids=[item.__name__ for item in SCENARIOS]
)
def test_claims_under_faults(
    scenario: Scenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(claims, "PARTITION_DIGITS", 1)

    async def run() -> None:
        world = World()
        await scenario(world)
        for store in (world.a, world.b):
            await store.close()

    asyncio.run(run())


class _RepeatingCallers:
    """Callers that send the same key repeatedly through both daemons."""

    __slots__ = ("replays", "runs", "used_late", "world")

    def __init__(self, world: World) -> None:
        self.world = world
        self.runs = 0
        self.replays = 0
        self.used_late = False

    async def send(self, store: ClaimStore, dispatches: bool) -> None:
        answer = await self.world.claim(store)
        if isinstance(answer, Replay):
            assert answer.body == b"run 1"
            self.replays += 1
            return
        if not isinstance(answer, Claim):
            return
        if not dispatches:
            await store.release(answer)
            return
        await self.world.scheduler.pause("dispatch")
        self.runs += 1
        body = f"run {self.runs}".encode()
        await store.record(answer, 200, [], body)

    def change_faults(self, choice: int) -> None:
        """Change the faults of one daemon for some of the choices."""
        name = "ab"[choice % 2]
        faults = self.world.faulty[name].faults
        match choice // 2 % 11:
            case 0:
                faults.lose_answers += 1
            case 1:
                faults.down = not faults.down
            case 2:
                faults.stale_reads = (faults.stale_reads + 1) % 3
            case 3:
                faults.late_writes += 1
                self.used_late = True


async def _interleave(choices: list[int], plan: list[bool]) -> None:
    world = World()
    world.scheduler = StepScheduler()
    world.a = world.store("a")
    world.b = world.store("b")
    callers = _RepeatingCallers(world)
    tasks: list[asyncio.Task[None]] = []
    for index, dispatches in enumerate(plan):
        store = (world.a, world.b)[index % 2]
        task = asyncio.ensure_future(callers.send(store, dispatches))
        tasks.append(task)

    def before(choice: int) -> None:
        callers.change_faults(choice)
        if choice % 23 == 0:
            tasks[choice // 23 % len(tasks)].cancel()

    await world.scheduler.run(choices, before)
    await world.end_faults()
    await asyncio.gather(*tasks, return_exceptions=True)
    await world.end_faults()
    for faulty in world.faulty.values():
        await faulty.apply_late_writes()
    for task in tasks:
        assert task.cancelled() or task.exception() is None
    assert callers.runs <= 1
    cancelled = any(task.cancelled() for task in tasks)
    if callers.runs == 0 and not callers.used_late and not cancelled:
        await world.expect_claim(world.b)
    if callers.runs == 1 and not cancelled:
        await world.expect_replay(world.a)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    choices=st.lists(st.integers(0, 2**16), min_size=20, max_size=150),
    plan=st.lists(st.booleans(), min_size=2, max_size=6),
)
def test_any_interleaving_runs_at_most_once(
    choices: list[int], plan: list[bool]
) -> None:
    asyncio.run(_interleave(choices, plan))


def _code(result: Result[IssuedClaim | Replay, Fault]) -> ErrorCode:
    return result.failure().code


def test_issued_keys_are_used_once_in_their_run() -> None:
    keys = IssuedKeys("a", "r1", random.Random(1), ttl_s=10.0)
    key = keys.issue(0.0)
    other_run = IssuedKeys("a", "r2", random.Random(1))
    assert IssuedKeys.is_issued(key)
    assert _code(other_run.claim(key, "d", 0.0)) is KEY_RUN_ENDED
    claim = keys.claim(key, "d", 1.0).unwrap()
    assert not isinstance(claim, Replay)
    assert _code(keys.claim(key, "d", 1.0)) is KEY_CLAIMED
    assert _code(keys.claim(key, "e", 1.0)) is KEY_REUSED
    keys.release(claim, 2.0)
    keys.claim(key, "e", 3.0).unwrap()
    keys.record(claim, 200, HEADERS, b"done")
    keys.release(claim, 4.0)
    replay = keys.claim(key, "e", 99.0).unwrap()
    assert isinstance(replay, Replay)
    assert replay.body == b"done"
    late = keys.issue(0.0)
    assert _code(keys.claim(late, "d", 11.0)) is KEY_FORGOTTEN


def test_issued_keys_are_bounded_and_never_run_again() -> None:
    keys = IssuedKeys("a", "r1", random.Random(1), keys_max=2, bytes_max=9)
    issued = [keys.issue(0.0) for _ in range(3)]
    assert _code(keys.claim(issued[0], "d", 0.0)) is KEY_FORGOTTEN
    used: list[str] = []
    for _ in range(3):
        key = keys.issue(0.0)
        used.append(key)
        claim = keys.claim(key, "d", 0.0).unwrap()
        assert not isinstance(claim, Replay)
        keys.record(claim, 200, [], b"123456")
    assert _code(keys.claim(used[0], "d", 0.0)) is KEY_FORGOTTEN
    older = keys.claim(used[1], "d", 0.0).unwrap()
    newer = keys.claim(used[2], "d", 0.0).unwrap()
    assert isinstance(older, Replay)
    assert isinstance(newer, Replay)
    assert (older.body_kept, newer.body_kept) == (False, True)
