from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import pytest
from returns.result import Failure, Result

from lycheelug.entries.messages import ViewReply, ViewRow
from lycheelug.errors import PLATFORM_UNREACHABLE, Fault, Peer, Step
from lycheelug.fleet_view import FleetView
from lycheelug.records import (
    EntryRow,
    HostPhase,
    HostRow,
    PoolRow,
    encode,
    entry_key,
    host_key,
    pool_key,
)
from lycheelug.store import memory
from lycheelug.store.interface import (
    Delta,
    HostDelta,
    HostEntry,
    HostRole,
    HostState,
    Row,
    Transaction,
    Write,
)
from lycheelug.store.memory import MemoryPlatform
from lycheelug.store.watch import Watch

if TYPE_CHECKING:
    from collections.abc import Sequence

HOSTS = "host/arima/"


def host(name: str, pool: str = "quotes", phase: str = "serving") -> bytes:
    row = HostRow(name, "arima", "rack1", pool, HostPhase(phase))
    return encode(row)


def put(revision: int, name: str, value: bytes | None) -> Row:
    return Row(host_key("arima", name), value, revision)


def listed(name: str, state: HostState, zone: str = "arima") -> HostEntry:
    role = HostRole.ENTRY if name.startswith("e") else HostRole.WORKER
    return HostEntry(name, zone, "rack1", "10.1.0.1:80", role, state)


Answer = tuple[int, list[Row]]


@pytest.mark.parametrize(
    ("answers", "is_snapshot", "expected", "reached"),
    [
        ([(1, [put(1, "w1", host("w1"))])], False, "w1:quotes", 1),
        (
            [(1, [put(1, "w1", host("w1"))]), (2, [])],
            False,
            "w1:quotes",
            2,
        ),
        (
            [
                (4, [put(4, "w1", host("w1", "tooling"))]),
                (2, [put(2, "w1", host("w1"))]),
            ],
            False,
            "w1:tooling",
            4,
        ),
        (
            [
                (4, [put(4, "w1", host("w1", "tooling"))]),
                (5, [put(2, "w1", host("w1"))]),
            ],
            False,
            "w1:tooling",
            5,
        ),
        (
            [(1, [put(1, "w1", host("w1"))]), (2, [put(2, "w1", None)])],
            False,
            "",
            2,
        ),
        (
            [(3, [put(2, "w1", None)]), (4, [put(1, "w1", host("w1"))])],
            False,
            "",
            4,
        ),
        (
            [
                (1, [put(1, "w1", host("w1"))]),
                (2, [put(2, "w1", host("w1", "quotes", "draining"))]),
            ],
            False,
            "",
            2,
        ),
        (
            [(1, [put(1, "w1", host("w1"))]), (2, [put(2, "w1", b"{")])],
            False,
            "",
            2,
        ),
        (
            [
                (2, [put(1, "w1", host("w1")), put(2, "w2", host("w2"))]),
                (3, [put(2, "w2", host("w2"))]),
            ],
            True,
            "w2:quotes",
            3,
        ),
        (
            [(5, [put(1, "w1", host("w1"))]), (3, [])],
            True,
            "w1:quotes",
            5,
        ),
    ],
    ids=[
        "one row",
        "empty delta",
        "stale answer",
        "stale row",
        "deleted",
        "late row after its deletion",
        "draining host gets no work",
        "invalid row takes the host out",
        "whole read without a row",
        "stale whole read",
    ],
)
def test_answers_of_the_store(
    answers: list[Answer], is_snapshot: bool, expected: str, reached: int
) -> None:
    view = FleetView("arima")
    for revision, rows in answers:
        view.apply(HOSTS, Delta(rows, revision), is_snapshot)
    found = []
    for pool in ("quotes", "tooling"):
        for row in view.executors(pool):
            found.append(f"{row.name}:{row.pool}")
    assert ",".join(found) == expected
    assert view.prefix_revision(HOSTS) == reached
    assert view.revision == 0


@pytest.mark.parametrize(
    ("deltas", "serves"),
    [
        ([(1, [listed("w1", HostState.LIVE)])], True),
        ([], True),
        ([(1, [listed("w1", HostState.LEAVING)])], False),
        ([(1, [listed("w1", HostState.GONE)])], False),
        (
            [
                (3, [listed("w1", HostState.LEAVING)]),
                (2, [listed("w1", HostState.LIVE)]),
            ],
            False,
        ),
        (
            [
                (1, [listed("w1", HostState.LEAVING)]),
                (2, [listed("w1", HostState.LIVE)]),
            ],
            True,
        ),
        ([(1, [listed("w1", HostState.GONE, zone="other")])], True),
    ],
)
def test_host_list(
    deltas: list[tuple[int, list[HostEntry]]], serves: bool
) -> None:
    view = FleetView("arima")
    view.apply(HOSTS, Delta([put(1, "w1", host("w1"))], 1))
    for revision, hosts in deltas:
        entry = listed("e1", HostState.LIVE)
        changed = view.apply_hosts(HostDelta([*hosts, entry], revision))
        assert changed in ([entry], [])
    assert [row.name for row in view.executors("quotes")] == (
        ["w1"] if serves else []
    )


async def write(
    platform: MemoryPlatform, key: str, value: bytes | None
) -> None:
    nonce = f"test-{platform.revision}"
    await platform.transact(Transaction([], [Write(key, value)], nonce))


class UnreachablePlatform(MemoryPlatform):
    """A platform that can be unreachable."""

    def __init__(self) -> None:
        super().__init__()
        self.unreachable = False

    async def read_since(
        self, prefix: str, revision: int
    ) -> Result[Delta, Fault]:
        if self.unreachable:
            return Failure(
                Fault(PLATFORM_UNREACHABLE, Step.READ, Peer.PLATFORM)
            )
        return await super().read_since(prefix, revision)


def watched(platform: MemoryPlatform, changed: list[str]) -> Watch:
    def on_rows(rows: Sequence[Row]) -> None:
        changed.extend(row.key for row in rows)

    def on_entry_hosts(hosts: Sequence[HostEntry]) -> None:
        changed.extend(host.name for host in hosts)

    async def sleep(_: float) -> None:
        await asyncio.sleep(0)

    view = FleetView("arima")
    return Watch(
        platform, view, random.Random(1), on_rows, on_entry_hosts, sleep
    )


def test_watch_reads_deltas_and_keeps_the_view_in_an_outage() -> None:
    async def run() -> None:
        platform = UnreachablePlatform()
        await write(platform, host_key("arima", "w1"), host("w1"))
        await write(platform, host_key("other", "w9"), host("w9"))
        await write(platform, pool_key("quotes"), encode(PoolRow("quotes")))
        entry = EntryRow("e1", "arima", "10.0.0.1:7000", "r1")
        await write(platform, entry_key("e1"), encode(entry))
        platform.put_host(listed("e1", HostState.LIVE))
        changed: list[str] = []
        watch = watched(platform, changed)
        view = watch.view
        assert await watch.poll()
        assert changed == ["host/arima/w1", "pool/quotes", "entry/e1", "e1"]
        assert view.revision == platform.revision
        assert view.entries() == [entry]
        rows = watch.counters.rows
        assert await watch.poll()
        assert watch.counters.rows == rows
        platform.unreachable = True
        assert not await watch.poll()
        assert watch.is_platform_unreachable
        assert [row.name for row in view.executors("quotes")] == ["w1"]
        platform.unreachable = False
        await write(platform, host_key("arima", "w2"), host("w2"))
        await watch.poll_until(platform.revision)
        assert len(view.executors("quotes")) == 2
        assert not watch.is_platform_unreachable

    asyncio.run(run())


def test_watch_reads_all_rows_again_if_deletions_are_forgotten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        monkeypatch.setattr(memory, "TOMBSTONES_KEPT", 1)
        platform = MemoryPlatform()
        for name in ("w1", "w2", "w3"):
            await write(platform, host_key("arima", name), host(name))
        watch = watched(platform, [])
        await watch.poll()
        for name in ("w1", "w2"):
            await write(platform, host_key("arima", name), None)
        await watch.poll()
        found = watch.view.executors("quotes")
        assert [row.name for row in found] == ["w3"]

    asyncio.run(run())


@pytest.mark.parametrize(
    ("zone", "count", "expected"),
    [("arima", 1200, 1202), ("other", 1200, 1), ("arima", 3, 5)],
    ids=["pages", "host rows stay in the zone", "one page"],
)
def test_view_from_a_peer(zone: str, count: int, expected: int) -> None:
    peer = FleetView("arima")
    rows = []
    for number in range(count):
        # Three rows have the same revision, and must be in the same page.
        name = f"w{number}"
        rows.append(put(1 + number // 3, name, host(name)))
    top = 1 + count // 3
    for prefix in peer.prefixes:
        peer.apply(prefix, Delta(rows if prefix == HOSTS else [], top))
    pool = Row(pool_key("quotes"), encode(PoolRow("quotes")), top)
    peer.apply("pool/", Delta([pool], top))
    view = FleetView(zone)
    lost = put(1, "deleted", host("deleted"))
    view.apply(view.prefixes[0], Delta([lost] if zone == "arima" else [], 1))
    revision = 0
    named: set[str] = set()
    while True:
        reply = peer.rows_since(zone, revision)
        view.apply_reply(reply)
        named.update(row.key for row in reply.rows)
        if not reply.has_more:
            break
        assert reply.revision > revision
        revision = reply.revision
    view.finish_snapshot(reply.zone, named, reply.revision)
    assert "deleted" not in view.hosts
    assert view.row_count() == expected
    assert view.prefix_revision("pool/") == top
    assert view.prefix_revision(view.prefixes[0]) == (
        top if zone == "arima" else 1
    )


def test_reply_never_brings_back_an_older_row() -> None:
    view = FleetView("arima")
    view.apply(HOSTS, Delta([put(5, "w1", host("w1", "tooling"))], 5))
    old = ViewRow(host_key("arima", "w1"), host("w1"), 4)
    foreign = ViewRow(host_key("other", "w2"), host("w2"), 9)
    assert view.apply_reply(ViewReply("arima", [old, foreign], 4)) == []
    assert view.prefix_revision(HOSTS) == 5
    assert len(view.executors("tooling")) == 1


def test_last_page_contains_rows_beyond_the_view_revision() -> None:
    peer = FleetView("arima")
    rows = [put(10 + i, f"w{i}", host(f"w{i}")) for i in range(600)]
    peer.apply(HOSTS, Delta(rows, 700))
    for prefix in peer.prefixes[1:]:
        peer.apply(prefix, Delta([], 9))
    reply = peer.rows_since("arima", 0)
    assert (reply.revision, reply.has_more, len(reply.rows)) == (9, False, 600)
