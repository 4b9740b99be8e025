from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import pytest
from returns.result import Failure, Result, Success

from lycheelug.entries.join import confirm_entry, join, remove_entry
from lycheelug.entries.messages import Digest
from lycheelug.entries.reaper import Reaper
from lycheelug.errors import (
    PLATFORM_UNKNOWN,
    PLATFORM_UNREACHABLE,
    Fault,
    Peer,
    Step,
)
from lycheelug.membership import Members
from lycheelug.records import (
    ENTRY_EPOCH_KEY,
    EntryRow,
    encode,
    entry_key,
)
from lycheelug.store.interface import (
    Commit,
    Conflict,
    HostEntry,
    HostRole,
    HostState,
    Row,
    Transaction,
    Write,
)
from lycheelug.store.memory import MemoryPlatform

if TYPE_CHECKING:
    from collections.abc import Sequence


class FaultyPlatform(MemoryPlatform):
    """Injects one fault from a list into each transaction, then none."""

    def __init__(self, faults: Sequence[str]) -> None:
        super().__init__()
        self.faults = list(faults)
        self.stale_rows: dict[str, Row | None] = {}

    async def read(self, key: str) -> Result[Row | None, Fault]:
        if key in self.stale_rows:
            return Success(self.stale_rows.pop(key))
        return await super().read(key)

    async def transact(
        self, transaction: Transaction
    ) -> Result[Commit | Conflict, Fault]:
        fault = self.faults.pop(0) if self.faults else ""
        step_and_peer = (Step.WRITE, Peer.PLATFORM)
        if fault == "unreachable":
            return Failure(Fault(PLATFORM_UNREACHABLE, *step_and_peer))
        if fault == "conflict":
            await self.put(ENTRY_EPOCH_KEY, b"other")
        if fault == "request lost":
            return Failure(Fault(PLATFORM_UNKNOWN, *step_and_peer))
        answer = await super().transact(transaction)
        if fault.startswith("answer lost"):
            if fault == "answer lost, stale read":
                self.stale_rows[entry_key("e1")] = None
            return Failure(Fault(PLATFORM_UNKNOWN, *step_and_peer))
        return answer

    async def put(self, key: str, value: bytes | None) -> None:
        nonce = f"test-{self.revision}"
        await super().transact(Transaction([], [Write(key, value)], nonce))


def entry(run: str = "r5", address: str = "10.0.0.1:7000") -> EntryRow:
    return EntryRow("e1", "arima", address, run)


@pytest.mark.parametrize(
    ("name", "faults", "stored_entry", "expected"),
    [
        ("first time", [], None, "joined"),
        ("concurrent join of another daemon", ["conflict"], None, "joined"),
        ("request lost", ["request lost"], None, "joined"),
        ("answer lost", ["answer lost"], None, "joined"),
        (
            "answer lost and read stale",
            ["answer lost, stale read"],
            None,
            "joined",
        ),
        (
            "platform unreachable",
            ["unreachable"],
            None,
            "platform-unreachable",
        ),
        (
            "platform never answers",
            ["request lost"] * 8,
            None,
            "platform-unknown",
        ),
        ("earlier run, same address", [], entry("r4"), "joined"),
        ("earlier run declared dead", [], entry("r4", ""), "joined"),
        (
            "earlier run, other address",
            [],
            entry("r4", "10.0.0.7:7000"),
            "entry-name-taken",
        ),
        ("later run", [], entry("r6"), "entry-name-taken"),
    ],
)
def test_join(
    name: str, faults: list[str], stored_entry: EntryRow | None, expected: str
) -> None:
    async def run() -> str:
        platform = FaultyPlatform(faults)
        if stored_entry is not None:
            await platform.put(entry_key("e1"), encode(stored_entry))
        match await join(platform, entry(), random.Random(1)):
            case Failure(fault):
                return str(fault.code.name)
            case Success(revision):
                row = platform.row(entry_key("e1"))
                epoch = platform.row(ENTRY_EPOCH_KEY)
        assert row is not None
        assert epoch is not None
        assert row.value == encode(entry())
        assert row.revision == epoch.revision == revision
        return "joined"

    assert asyncio.run(run()) == expected


@pytest.mark.parametrize(
    ("name", "faults", "removed_run", "removed"),
    [
        ("own run", [], "r5", True),
        ("answer lost", ["", "answer lost"], "r5", True),
        ("another run holds the name", [], "r4", False),
    ],
)
def test_removed_run_is_not_confirmed(
    name: str, faults: list[str], removed_run: str, removed: bool
) -> None:
    async def run() -> None:
        rng = random.Random(1)
        platform = FaultyPlatform(faults)
        revision = (await join(platform, entry(), rng)).unwrap()
        answer = await remove_entry(platform, entry(removed_run), rng)
        if faults:
            assert answer.failure().code is PLATFORM_UNKNOWN
        else:
            assert answer == Success(removed)
        found = await confirm_entry(platform, "e1", revision, rng)
        assert (found == Success(None)) is removed

    asyncio.run(run())


def test_run_that_never_joined_can_be_declared_dead() -> None:
    async def run() -> None:
        platform = FaultyPlatform([])
        rng = random.Random(1)
        assert await remove_entry(platform, entry(), rng) == Success(True)
        row = platform.row(entry_key("e1"))
        assert row is not None
        assert row.value == encode(entry(address=""))

    asyncio.run(run())


@pytest.mark.parametrize(
    ("state", "now", "faults", "removed"),
    [
        (HostState.GONE, 60.0, [], ["e1"]),
        (HostState.GONE, 60.0, ["unreachable"], []),
        (HostState.GONE, 1.0, [], []),
        (HostState.LIVE, 60.0, [], []),
    ],
    ids=[
        "host removed and run unresponsive",
        "platform unreachable",
        "run still alive",
        "host live",
    ],
)
def test_reaper_removes_rows_of_removed_hosts(
    state: HostState, now: float, faults: list[str], removed: list[str]
) -> None:
    async def run() -> None:
        rng = random.Random(1)
        platform = FaultyPlatform(["", *faults])
        await join(platform, entry(), rng)
        own = Digest("e2", "arima", "r1", 0, "", "", 0, 0, [], [], [])
        members = Members(own)
        members.apply_row("e1", entry(), 0.0)
        members.apply_host(
            HostEntry(
                "e1", "arima", "", entry().address, HostRole.ENTRY, state
            )
        )
        reaper = Reaper(platform, members, lambda: now, rng)
        assert await reaper.run_once() == removed
        row = platform.row(entry_key("e1"))
        assert (row is None) is (removed == ["e1"])

    asyncio.run(run())
