"""Contract tests that every platform binding must pass, with faults."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from typing import TYPE_CHECKING, TypeVar

import pytest
from returns.result import Failure, Success

from lycheelug.errors import (
    HOST_NOT_DRAINED,
    PLATFORM_UNKNOWN,
    PLATFORM_UNREACHABLE,
    REVISION_FORGOTTEN,
    UNKNOWN_HOST,
    UNKNOWN_OBJECT,
    ErrorCode,
    Fault,
)
from lycheelug.store import (
    ABSENT,
    BINDINGS,
    Commit,
    Conflict,
    Guard,
    HostDelta,
    HostEntry,
    HostState,
    MemoryPlatform,
    Platform,
    Row,
    Transaction,
    Write,
    memory,
)
from standins.faults import Faults, FaultyPlatform, RecordingPlatform
from standins.platform import PlatformServer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from returns.result import Result

    Scenario = Callable[["Rig"], Awaitable[None]]

T = TypeVar("T")

NOT_CONFIRMED = (PLATFORM_UNKNOWN, PLATFORM_UNREACHABLE)
# Exceeds the number of times that any call is repeated.
ALL_ANSWERS = 100


class Rig:
    """A binding under test and the platform behind it."""

    __slots__ = ("_nonce", "backend", "faulty", "now", "platform")

    def __init__(self) -> None:
        self.now = 0.0
        self.backend = RecordingPlatform(lambda: self.now, reboot_s=30.0)
        self.faulty = FaultyPlatform(self.backend)
        self.platform: Platform = self.faulty
        self._nonce = 0

    async def put(
        self,
        key: str,
        value: bytes | None,
        guard: int | None = None,
        nonce: str = "",
    ) -> Result[Commit | Conflict, Fault]:
        """Write one row, optionally guarded by its revision."""
        self._nonce += 1
        guards = [] if guard is None else [Guard(key, guard)]
        transaction = Transaction(
            guards, [Write(key, value)], nonce or f"n{self._nonce}"
        )
        return await self.platform.transact(transaction)

    async def value(self, key: str) -> bytes | None:
        row = unwrap(await self.platform.read(key))
        return None if row is None else row.value


def unwrap(result: Result[T, Fault]) -> T:
    return result.unwrap()


def code(result: Result[object, Fault]) -> ErrorCode:
    return result.failure().code


def kind(result: Result[Commit | Conflict, Fault]) -> str:
    return type(unwrap(result)).__name__


def names(rows: Iterable[Row]) -> list[str]:
    return [f"{row.key}={row.value!r}@{row.revision}" for row in rows]


def states(delta: HostDelta) -> dict[str, HostState]:
    return {entry.name: entry.state for entry in delta.hosts}


async def guards_are_checked(rig: Rig) -> None:
    assert kind(await rig.put("a", b"1", ABSENT)) == "Commit"
    conflict = unwrap(await rig.put("a", b"2", ABSENT))
    assert isinstance(conflict, Conflict)
    assert conflict.keys == ("a",)
    assert conflict.revision == 1
    assert kind(await rig.put("a", b"3", 1)) == "Commit"
    assert kind(await rig.put("a", b"4", 1)) == "Conflict"
    assert await rig.value("a") == b"3"


async def writes_are_all_or_nothing(rig: Rig) -> None:
    await rig.put("b", b"0")
    guards = [Guard("a", ABSENT), Guard("b", 7)]
    writes = [Write("a", b"1"), Write("b", b"1")]
    answer = await rig.platform.transact(Transaction(guards, writes, "t1"))
    assert kind(answer) == "Conflict"
    assert await rig.value("a") is None
    guards = [Guard("a", ABSENT), Guard("b", 1)]
    answer = await rig.platform.transact(Transaction(guards, writes, "t2"))
    assert kind(answer) == "Commit"
    rows = unwrap(await rig.platform.read_since("", 0)).rows
    assert names(rows) == ["a=b'1'@2", "b=b'1'@2"]


async def deleted_key_is_absent(rig: Rig) -> None:
    await rig.put("a", b"1")
    await rig.put("a", None, 1)
    assert await rig.value("a") is None
    assert kind(await rig.put("a", b"2", 1)) == "Conflict"
    assert kind(await rig.put("a", b"2", ABSENT)) == "Commit"


async def delta_has_later_rows_and_deletions(rig: Rig) -> None:
    for key in ("p/a", "p/b", "q/a", "p/c"):
        await rig.put(key, key.encode())
    await rig.put("p/a", None)
    delta = unwrap(await rig.platform.read_since("p/", 2))
    assert delta.revision == 5
    assert names(delta.rows) == ["p/c=b'p/c'@4", "p/a=None@5"]
    whole = unwrap(await rig.platform.read_since("p/", 0))
    assert names(whole.rows) == ["p/b=b'p/b'@2", "p/c=b'p/c'@4"]


async def arbitrary_bytes_are_preserved(rig: Rig) -> None:
    key = "odd/é %&?=+#\u2028"
    value = bytes(range(256))
    await rig.put(key, value)
    assert await rig.value(key) == value
    assert len(unwrap(await rig.platform.read_since("odd/é %", 0)).rows) == 1
    await rig.platform.put_object(key, value)
    assert unwrap(await rig.platform.get_object(key)) == value


async def same_nonce_takes_effect_once(rig: Rig) -> None:
    first = unwrap(await rig.put("a", b"1", ABSENT, nonce="n"))
    again = unwrap(await rig.put("a", b"1", ABSENT, nonce="n"))
    assert isinstance(again, Commit)
    assert first.revision == again.revision == rig.backend.revision


async def one_of_conflicting_writers_wins(rig: Rig) -> None:
    puts = [rig.put("a", str(i).encode(), ABSENT) for i in range(8)]
    kinds = [kind(answer) for answer in await asyncio.gather(*puts)]
    assert sorted(kinds) == ["Commit"] + ["Conflict"] * 7
    winner = kinds.index("Commit")
    assert await rig.value("a") == str(winner).encode()


async def objects_are_stored_and_deleted(rig: Rig) -> None:
    missing = await rig.platform.get_object("o")
    assert code(missing) is UNKNOWN_OBJECT
    large = b"x" * 1_000_000
    for data in (b"", b"first", large):
        unwrap(await rig.platform.put_object("o", data))
        assert unwrap(await rig.platform.get_object("o")) == data
    for _ in range(2):
        unwrap(await rig.platform.delete_object("o"))
    assert code(await rig.platform.get_object("o")) is UNKNOWN_OBJECT


async def host_list_returns_deltas(rig: Rig) -> None:
    for name in ("w1", "w2"):
        rig.backend.put_host(HostEntry(name, "arima", "r1", "127.0.0.1:1"))
    delta = unwrap(await rig.platform.hosts_since(0))
    assert states(delta) == {"w1": HostState.LIVE, "w2": HostState.LIVE}
    assert delta.hosts[0].rack == "r1"
    rig.backend.set_host_state("w2", HostState.GONE)
    later = unwrap(await rig.platform.hosts_since(delta.revision))
    assert states(later) == {"w2": HostState.GONE}
    assert later.revision == delta.revision + 1


async def drain_and_reboot_are_idempotent(rig: Rig) -> None:
    rig.backend.put_host(HostEntry("w", "arima", "r1", ""))
    platform = rig.platform
    assert code(await platform.reboot("w", "n0")) is HOST_NOT_DRAINED
    assert code(await platform.drain("x")) is UNKNOWN_HOST
    seen: list[HostState] = []
    for call in (
        platform.drain("w"),
        platform.drain("w"),
        platform.resume("w"),
        platform.drain("w"),
        platform.reboot("w", "n1"),
        platform.reboot("w", "n1"),
    ):
        unwrap(await call)
        seen += states(unwrap(await platform.hosts_since(0))).values()
    leaving = HostState.LEAVING
    assert seen[:4] == [leaving, leaving, HostState.LIVE, leaving]
    assert seen[4:] == [HostState.GONE] * 2
    rig.now = 31.0
    assert states(unwrap(await platform.hosts_since(0)))["w"] is HostState.LIVE
    unwrap(await platform.reboot("w", "n1"))
    assert states(unwrap(await platform.hosts_since(0)))["w"] is HostState.LIVE


async def calls_fail_while_platform_is_down(rig: Rig) -> None:
    rig.faulty.set_faults(Faults(down=True))
    assert code(await rig.put("a", b"1")) in NOT_CONFIRMED
    assert code(await rig.platform.put_object("o", b"1")) in NOT_CONFIRMED
    assert code(await rig.platform.read("a")) is PLATFORM_UNREACHABLE
    hosts = await rig.platform.hosts_since(0)
    assert code(hosts) is PLATFORM_UNREACHABLE
    rig.faulty.set_faults(Faults())
    assert rig.backend.revision == 0
    assert rig.backend.object_names == []
    assert kind(await rig.put("a", b"1")) == "Commit"


async def lost_answer_is_unknown_but_applied_once(rig: Rig) -> None:
    rig.faulty.set_faults(Faults(lose_answers=ALL_ANSWERS))
    answer = await rig.put("a", b"1", ABSENT, nonce="n")
    assert code(answer) is PLATFORM_UNKNOWN
    rig.faulty.set_faults(Faults())
    assert rig.backend.revision == 1
    again = unwrap(await rig.put("a", b"1", ABSENT, nonce="n"))
    assert isinstance(again, Commit)
    assert again.revision == 1


async def one_lost_answer_is_commit_or_unknown(rig: Rig) -> None:
    rig.faulty.set_faults(Faults(lose_answers=1))
    match await rig.put("a", b"1", ABSENT, nonce="n"):
        case Success(answer):
            assert isinstance(answer, Commit)
        case Failure(fault):
            assert fault.code is PLATFORM_UNKNOWN
    assert rig.backend.revision == 1


async def late_write_is_unknown(rig: Rig) -> None:
    rig.faulty.set_faults(Faults(late_writes=ALL_ANSWERS))
    assert code(await rig.put("a", b"1", ABSENT)) is PLATFORM_UNKNOWN
    assert rig.backend.revision == 0
    await rig.faulty.apply_late_writes()
    assert rig.backend.revision == 1


async def delayed_answers_keep_their_order(rig: Rig) -> None:
    rig.faulty.set_faults(Faults(delay_ms=5))
    for number in range(4):
        await rig.put(f"k{number}", str(number).encode())
    reads = [rig.value(f"k{number}") for number in range(4)]
    assert await asyncio.gather(*reads) == [b"0", b"1", b"2", b"3"]


async def stale_reads_report_their_revision(rig: Rig) -> None:
    await rig.put("a", b"1")
    await rig.put("a", b"2")
    await rig.put("a", None)
    rig.faulty.set_faults(Faults(stale_reads=1))
    assert await rig.value("a") == b"2"
    delta = unwrap(await rig.platform.read_since("a", 0))
    assert delta.revision == 2
    assert names(delta.rows) == ["a=b'2'@2"]
    assert kind(await rig.put("a", b"3", ABSENT)) == "Commit"


async def host_list_lags(rig: Rig) -> None:
    rig.backend.put_host(HostEntry("w", "arima", "r1", ""))
    unwrap(await rig.platform.drain("w"))
    rig.faulty.set_faults(Faults(list_lag=1))
    delta = unwrap(await rig.platform.hosts_since(0))
    assert states(delta) == {"w": HostState.LIVE}
    rig.faulty.set_faults(Faults())
    later = unwrap(await rig.platform.hosts_since(delta.revision))
    assert states(later) == {"w": HostState.LEAVING}


SCENARIOS: tuple[Scenario, ...] = (
    guards_are_checked,
    writes_are_all_or_nothing,
    deleted_key_is_absent,
    delta_has_later_rows_and_deletions,
    arbitrary_bytes_are_preserved,
    same_nonce_takes_effect_once,
    one_of_conflicting_writers_wins,
    objects_are_stored_and_deleted,
    host_list_returns_deltas,
    drain_and_reboot_are_idempotent,
    calls_fail_while_platform_is_down,
    lost_answer_is_unknown_but_applied_once,
    one_lost_answer_is_commit_or_unknown,
    late_write_is_unknown,
    delayed_answers_keep_their_order,
    stale_reads_report_their_revision,
    host_list_lags,
)


@pytest.mark.parametrize("binding", ["memory", "http"])
@pytest.mark.parametrize(
    "scenario", SCENARIOS, ids=[item.__name__ for item in SCENARIOS]
)
def test_binding_keeps_contract(binding: str, scenario: Scenario) -> None:
    async def run() -> None:
        rig = Rig()
        if binding == "memory":
            await scenario(rig)
            return
        server = PlatformServer(rig.faulty)
        await server.start()
        rig.platform = BINDINGS.get("http")(server.address)
        try:
            await scenario(rig)
        finally:
            await rig.platform.close()
            server.stop()

    asyncio.run(run())


def test_nothing_listens_is_unreachable() -> None:
    async def run() -> None:
        server = PlatformServer()
        await server.start()
        address = server.address
        server.stop()
        rig = Rig()
        rig.platform = BINDINGS.get("http")(address)
        assert code(await rig.put("a", b"1")) is PLATFORM_UNREACHABLE
        drained = await rig.platform.drain("w")
        assert code(drained) is PLATFORM_UNREACHABLE

    asyncio.run(run())


def test_restarted_platform_is_reached_on_a_new_connection() -> None:
    async def run() -> None:
        rig = Rig()
        server = PlatformServer(rig.faulty)
        await server.start()
        rig.platform = BINDINGS.get("http")(server.address)
        await rig.put("a", b"1")
        port = int(server.address.rpartition(":")[2])
        server.stop()
        server = PlatformServer(rig.faulty)
        await server.start(port)
        assert kind(await rig.put("b", b"2")) == "Commit"
        assert await rig.value("a") == b"1"
        await rig.platform.close()
        server.stop()

    asyncio.run(run())


def test_forgotten_deletions_are_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(memory, "TOMBSTONES_KEPT", 1)

    async def run() -> None:
        platform = MemoryPlatform()
        for number, key in enumerate(("a/1", "a/2", "b/1")):
            for value in (b"", None):
                write = Transaction(
                    [], [Write(key, value)], f"{number}{value!r}"
                )
                await platform.transact(write)
        # Revisions 2, 4 and 6 are deletions; only the last tombstone is kept.
        assert code(await platform.read_since("a/", 3)) is REVISION_FORGOTTEN
        assert unwrap(await platform.read_since("a/", 4)).rows == ()
        assert unwrap(await platform.read_since("a/", 0)).rows == ()
        assert len(unwrap(await platform.read_since("b/", 1)).rows) == 1

    asyncio.run(run())


def test_stand_in_prints_its_address_and_stops_on_sigterm() -> None:
    command = [sys.executable, "-m", "standins.platform", "--port", "0"]
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, text=True
    ) as process:
        assert process.stdout is not None
        line = process.stdout.readline()
        process.send_signal(signal.SIGTERM)
        status = process.wait(timeout=30)
    assert line.startswith("listening 127.0.0.1:")
    assert status == 0
