"""An in-memory platform with fault injection, for tests and stand-ins.

`RecordingPlatform` is the in-memory platform with a history of its recent
revisions.  `FaultyPlatform` wraps it for one client, so that each client of
a shared table has its own faults.  Random faults are drawn from a seeded
generator.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from typing import TYPE_CHECKING, Final, TypeVar

import msgspec
from returns.result import Failure, Success

from lycheelug.errors import (
    PLATFORM_UNKNOWN,
    PLATFORM_UNREACHABLE,
    Fault,
    Peer,
    Step,
)
from lycheelug.store.interface import (
    Delta,
    HostDelta,
    HostEntry,
    Platform,
    Row,
)
from lycheelug.store.memory import MemoryPlatform

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from returns.result import Result

    from lycheelug.errors import ErrorCode
    from lycheelug.store.interface import Commit, Conflict, Transaction

__all__ = ["Faults", "FaultyPlatform", "RecordingPlatform"]

T = TypeVar("T")

# By how many changes a stale read can lag at most.
MAX_HISTORY: Final = 1_000


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """The faults in effect between one client and the platform.

    `lose_answers` is the number of following calls whose answer is lost
    after they took effect; every other call loses its answer with
    probability `lose_share`.  `late_writes` is the number of following
    transactions whose answer is lost at once and which take effect only
    when `apply_late_writes` is called.  `stale_reads` and `list_lag` say by
    how many revisions reads of the table and of the host list lag.
    """

    delay_ms: float = 0.0
    down: bool = False
    lose_answers: int = 0
    lose_share: float = 0.0
    late_writes: int = 0
    stale_reads: int = 0
    list_lag: int = 0
    seed: int = 0


class RecordingPlatform(MemoryPlatform):
    """The in-memory platform with a history of its changes."""

    __slots__ = ("_host_history", "_row_history")

    def __init__(
        self,
        clock: Callable[[], float] | None = None,
        reboot_s: float | None = None,
    ) -> None:
        if clock is None:
            super().__init__(reboot_s=reboot_s)
        else:
            super().__init__(clock, reboot_s)
        # For each commit, its rows as they were before; newest commit last.
        self._row_history: deque[tuple[int, dict[str, Row | None]]] = deque(
            maxlen=MAX_HISTORY
        )
        self._host_history: deque[tuple[int, HostEntry]] = deque(
            maxlen=MAX_HISTORY
        )

    async def transact(
        self, transaction: Transaction
    ) -> Result[Commit | Conflict, Fault]:
        """Apply the transaction and record the rows as they were before."""
        before: dict[str, Row | None] = {}
        for write in transaction.writes:
            before[write.key] = self.row(write.key)
        revision = self.revision
        answer = await super().transact(transaction)
        if self.revision > revision:
            self._row_history.append((self.revision, before))
        return answer

    def put_host(self, entry: HostEntry) -> None:
        """Add or replace a host and record the change."""
        super().put_host(entry)
        self._host_history.append((self.host_revision, entry))

    def rows_as_of(self, prefix: str, revision: int) -> list[Row]:
        """Return the rows of a prefix as they were at a revision."""
        rows: dict[str, Row | None] = {}
        for row in self.rows(prefix):
            rows[row.key] = row
        for committed, before in reversed(self._row_history):
            if committed <= revision:
                break
            for key, earlier in before.items():
                if key.startswith(prefix):
                    rows[key] = earlier
        found = [row for row in rows.values() if row is not None]
        found.sort(key=lambda row: row.revision)
        return found

    def hosts_between(self, start: int, end: int) -> list[HostEntry]:
        """Return the newest entries changed after start, up to end."""
        newest: dict[str, HostEntry] = {}
        for revision, entry in self._host_history:
            if start < revision <= end:
                newest[entry.name] = entry
        return list(newest.values())


class FaultyPlatform(Platform):
    """One client's access to a recording platform, with injected faults.

    `pause` is awaited with a step's name before and after each call takes
    effect, so that a test can suspend a client between any two steps.
    """

    __slots__ = ("_held_writes", "_inner", "_pause", "_rng", "calls", "faults")

    def __init__(
        self,
        inner: RecordingPlatform,
        faults: Faults | None = None,
        pause: Callable[[str], Awaitable[None]] | None = None,
    ) -> None:
        self.faults = Faults() if faults is None else faults
        self.calls: dict[str, int] = {}
        self._inner = inner
        self._pause = pause
        self._rng = random.Random(self.faults.seed)
        self._held_writes: list[Transaction] = []

    @property
    def inner(self) -> RecordingPlatform:
        """The platform behind the faults."""
        return self._inner

    def set_faults(self, faults: Faults) -> None:
        """Replace all faults and reseed their random generator."""
        self.faults = faults
        self._rng = random.Random(faults.seed)

    async def apply_late_writes(self) -> int:
        """Apply the delayed transactions and return their number."""
        held = self._held_writes
        self._held_writes = []
        for transaction in held:
            await self._inner.transact(transaction)
        return len(held)

    async def read(self, key: str) -> Result[Row | None, Fault]:
        """Return a row as this client sees it."""
        return await self._call_read("read", lambda: self._read(key))

    async def read_since(
        self, prefix: str, revision: int
    ) -> Result[Delta, Fault]:
        """Return the rows of a prefix as this client sees them."""
        return await self._call_read(
            "read_since", lambda: self._read_since(prefix, revision)
        )

    async def transact(
        self, transaction: Transaction
    ) -> Result[Commit | Conflict, Fault]:
        """Apply a transaction; its answer or effect may be lost or late."""
        return await self._call_faulty(
            "transact", lambda: self._transact(transaction)
        )

    async def put_object(self, name: str, data: bytes) -> Result[None, Fault]:
        """Store an object; the answer may be lost."""
        return await self._call_faulty(
            "put_object", lambda: self._inner.put_object(name, data)
        )

    async def get_object(self, name: str) -> Result[bytes, Fault]:
        """Return an object."""
        return await self._call_read(
            "get_object", lambda: self._inner.get_object(name)
        )

    async def delete_object(self, name: str) -> Result[None, Fault]:
        """Delete an object; the answer may be lost."""
        return await self._call_faulty(
            "delete_object", lambda: self._inner.delete_object(name)
        )

    async def hosts_since(self, revision: int) -> Result[HostDelta, Fault]:
        """Return the hosts that changed since a revision, with the lag."""
        return await self._call_read(
            "hosts_since", lambda: self._hosts_since(revision)
        )

    async def drain(self, host: str) -> Result[None, Fault]:
        """Drain a host; the answer may be lost."""
        return await self._call_faulty(
            "drain", lambda: self._inner.drain(host)
        )

    async def reboot(self, host: str, nonce: str) -> Result[None, Fault]:
        """Reboot a host; the answer may be lost."""
        return await self._call_faulty(
            "reboot", lambda: self._inner.reboot(host, nonce)
        )

    async def resume(self, host: str) -> Result[None, Fault]:
        """End a drain; the answer may be lost."""
        return await self._call_faulty(
            "resume", lambda: self._inner.resume(host)
        )

    async def _transact(
        self, transaction: Transaction
    ) -> Result[Commit | Conflict, Fault]:
        if self.faults.late_writes == 0:
            return await self._inner.transact(transaction)
        self.faults.late_writes -= 1
        self._held_writes.append(transaction)
        return Failure(_fault(PLATFORM_UNKNOWN, "transact"))

    async def _read(self, key: str) -> Result[Row | None, Fault]:
        if self.faults.stale_reads == 0:
            return await self._inner.read(key)
        revision = max(0, self._inner.revision - self.faults.stale_reads)
        for row in self._inner.rows_as_of(key, revision):
            if row.key == key and row.value is not None:
                return Success(row)
        return Success(None)

    async def _read_since(
        self, prefix: str, revision: int
    ) -> Result[Delta, Fault]:
        if self.faults.stale_reads == 0:
            return await self._inner.read_since(prefix, revision)
        end = max(0, self._inner.revision - self.faults.stale_reads)
        found: list[Row] = []
        for row in self._inner.rows_as_of(prefix, end):
            if row.revision > revision:
                found.append(row)
        return Success(Delta(found, end))

    async def _hosts_since(self, revision: int) -> Result[HostDelta, Fault]:
        if self.faults.list_lag == 0:
            return await self._inner.hosts_since(revision)
        end = max(0, self._inner.host_revision - self.faults.list_lag)
        hosts = self._inner.hosts_between(revision, end)
        return Success(HostDelta(hosts, end))

    async def _call_read(
        self, name: str, call: Callable[[], Awaitable[Result[T, Fault]]]
    ) -> Result[T, Fault]:
        """Make a read-only call: a lost answer counts as a failed call."""
        answer = await self._call_faulty(name, call)
        match answer:
            case Failure(fault) if fault.code is PLATFORM_UNKNOWN:
                return Failure(_fault(PLATFORM_UNREACHABLE, name))
        return answer

    async def _call_faulty(
        self, name: str, call: Callable[[], Awaitable[Result[T, Fault]]]
    ) -> Result[T, Fault]:
        """Make a call with all faults applied to it."""
        self.calls[name] = self.calls.get(name, 0) + 1
        await self._pause_at(f"{name}:before")
        if self.faults.delay_ms > 0:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.down:
            return Failure(_fault(PLATFORM_UNREACHABLE, name))
        answer = await call()
        await self._pause_at(f"{name}:after")
        if self._is_answer_lost():
            return Failure(_fault(PLATFORM_UNKNOWN, name))
        return answer

    async def _pause_at(self, step: str) -> None:
        if self._pause is not None:
            await self._pause(step)

    def _is_answer_lost(self) -> bool:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return True
        if self.faults.lose_share <= 0:
            return False
        return self._rng.random() < self.faults.lose_share


def _fault(code: ErrorCode, call: str) -> Fault:
    return Fault(code, Step.WRITE, Peer.PLATFORM, call)
