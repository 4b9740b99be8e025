"""Tests how a table replica catches up over a link that carries few rows."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final

from returns.result import Failure, Success

from lycheelug.errors import (
    PLATFORM_UNKNOWN,
    PLATFORM_UNREACHABLE,
    Fault,
    Peer,
    Step,
)
from lycheelug.store.memory_rows import MemoryRows
from lycheelug.store.replica import (
    FEED_EXTRA_S,
    FEED_WAIT_S,
    TableReplica,
)
from lycheelug.store.rows import HistoryGone, RowName
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from lycheelug.errors import ErrorCode
    from lycheelug.store.rows import StoredRow

LINK_ROWS_PER_S: Final = 200
# How long a call without an answer takes to fail.
NO_ANSWER_S: Final = 0.5
# How far behind the store a replica may be: a feed call that was answered at
# its limit, one that was abandoned there, and a second for reading all rows.
MAX_LAG_S: Final = 2 * (FEED_WAIT_S + FEED_EXTRA_S) + 1.0


class NarrowLinkRows(MemoryRows):
    """A store behind a link that carries few rows a second."""

    __slots__ = ("answer_limit_s", "fault_code", "reads")

    def __init__(self, answer_limit_s: float) -> None:
        super().__init__()
        # An answer that takes longer than this is lost.
        self.answer_limit_s = answer_limit_s
        # While set, all calls of the replica fail with it.
        self.fault_code: ErrorCode | None = None
        self.reads = 0

    async def read(  # type: ignore[no-untyped-def]
        self, table: str, part: str, first: str = "", end: str = ""
    ):
        self.reads += 1
        return await self._carry(await super().read(table, part, first, end))

    async def feed(  # type: ignore[no-untyped-def]
        self, table: str, after: int, wait_s: float
    ):
        return await self._carry(await super().feed(table, after, wait_s))

    async def _carry(self, result: Any) -> Any:
        """Return an answer after the time that its rows take."""
        answer = result.unwrap()
        rows = 0 if isinstance(answer, HistoryGone) else len(answer.rows)
        takes_s = rows / LINK_ROWS_PER_S
        if self.fault_code is not None or takes_s > self.answer_limit_s:
            code = self.fault_code or PLATFORM_UNKNOWN
            await asyncio.sleep(min(takes_s, NO_ANSWER_S))
            return Failure(Fault(code, Step.READ, Peer.PLATFORM))
        await asyncio.sleep(takes_s)
        return Success(answer)


class Followed:
    """A replica, its store and what the replica has reported."""

    def __init__(self, store: NarrowLinkRows) -> None:
        self.store = store
        self.reported: list[StoredRow] = []
        self.replica = TableReplica(store, "t", self.reported.append)
        self._versions: list[tuple[float, int]] = []

    async def write(self, key: str, value: bytes | None = b"v") -> None:
        result = await self.store.commit("", {}, {RowName("t", key): value})
        now = asyncio.get_running_loop().time()
        self._versions.append((now, result.unwrap().version))  # type: ignore[union-attr]

    async def write_steadily(
        self, rate: float, key: Callable[[int], str]
    ) -> None:
        number = 0
        while True:
            await self.write(key(number))
            number += 1
            await asyncio.sleep(1 / rate)

    @property
    def lag_s(self) -> float:
        """The age of the oldest write that the replica doesn't have."""
        for written_at, version in self._versions:
            if version > self.replica.version:
                return asyncio.get_running_loop().time() - written_at
        return 0.0

    async def caught_up(self, within_s: float) -> None:
        """Wait until the replica lags by less than a second."""
        for _ in range(int(within_s * 10)):
            if self.lag_s < 1.0:
                return
            await asyncio.sleep(0.1)
        raise AssertionError(f"still {self.lag_s:.1f} s behind")


def follow(
    answer_limit_s: float,
    rate: float,
    key: Callable[[int], str],
    use: Callable[[Followed], Coroutine[Any, Any, None]],
) -> Followed:
    """Run `use` while rows are written at a rate and a replica follows."""

    async def run() -> Followed:
        followed = Followed(NarrowLinkRows(answer_limit_s))
        await followed.write("removed")
        tasks = [
            asyncio.create_task(followed.replica.run()),
            asyncio.create_task(followed.write_steadily(rate, key)),
        ]
        await asyncio.sleep(1.0)
        await use(followed)
        for task in tasks:
            task.cancel()
        return followed

    return run_virtual(run())


def few_keys(number: int) -> str:
    return f"k{number % 20}"


def new_key(number: int) -> str:
    return f"k{number:06}"


# After an outage the feed's answer was lost for being too large, and was
# larger with each repetition: the replica never followed again.
def test_replica_catches_up_although_the_missed_changes_never_arrive() -> None:
    async def use(followed: Followed) -> None:
        followed.store.fault_code = PLATFORM_UNKNOWN
        await followed.write("removed", None)
        await asyncio.sleep(4.0)
        followed.store.fault_code = None
        await followed.caught_up(within_s=10.0)

    reported = follow(1.0, 100, few_keys, use).reported
    assert reported[-1].value is not None
    versions: dict[str, list[int]] = {}
    for row in reported:
        versions.setdefault(row.key, []).append(row.version)
    for key, found in versions.items():
        assert found == sorted(set(found)), key
    (removed,) = [row for row in reported if row.value is None]
    assert removed.key == "removed"


# Rows are rewritten faster than the link carries their changes: each feed
# took longer than the one before, and the replica fell behind without end.
def test_lag_is_bounded_when_changes_outrun_the_link() -> None:
    lags_s: list[float] = []

    async def use(followed: Followed) -> None:
        for _ in range(600):
            await asyncio.sleep(0.1)
            lags_s.append(followed.lag_s)

    follow(1000.0, 300, few_keys, use)
    assert max(lags_s) <= MAX_LAG_S


# Reading a table that only grows takes longer than its missed changes.
def test_replica_of_a_growing_table_catches_up() -> None:
    async def use(followed: Followed) -> None:
        followed.store.fault_code = PLATFORM_UNKNOWN
        await asyncio.sleep(20.0)
        followed.store.fault_code = None
        await followed.caught_up(within_s=60.0)

    follow(1000.0, 100, new_key, use)


# Reading rows while the store refuses calls would add to its load.
def test_refused_feeds_do_not_cause_reads() -> None:
    async def use(followed: Followed) -> None:
        reads = followed.store.reads
        followed.store.fault_code = PLATFORM_UNREACHABLE
        await asyncio.sleep(5.0)
        followed.store.fault_code = None
        await followed.caught_up(within_s=10.0)
        assert followed.store.reads == reads

    follow(1000.0, 20, few_keys, use)
