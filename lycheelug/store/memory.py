"""An in-memory platform: the default for embedding, and for tests.

Each transaction is applied within one step of the event loop, which makes the
table linearizable.  Every commit increments the table's revision, and a row
has the revision of the commit that wrote it last.  Deleted rows are kept as
tombstones without a value so that `read_since` can report the deletion.  Only
the newest `TOMBSTONES_KEPT` tombstones are kept; a reader that asks for
changes since a revision before a dropped one gets a fault and must read again
from revision 0.

Limits: nothing is persistent, and there is no access control.
"""

from __future__ import annotations

import time
from bisect import bisect_left, insort
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Success

from lycheelug.errors import (
    HOST_NOT_DRAINED,
    REVISION_FORGOTTEN,
    UNKNOWN_HOST,
    UNKNOWN_OBJECT,
    Fault,
    Peer,
    Step,
)
from lycheelug.store.interface import (
    ABSENT,
    BINDINGS,
    Commit,
    Conflict,
    Delta,
    HostDelta,
    HostEntry,
    HostState,
    Platform,
    Row,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from lycheelug.errors import ErrorCode
    from lycheelug.store.interface import Guard, Transaction, Write

__all__ = ["MemoryPlatform", "open_memory"]

# The number of nonces that are remembered to detect repetitions.
NONCES_KEPT: Final = 20_000
TOMBSTONES_KEPT: Final = 50_000
# The default duration of a reboot.
REBOOT_S: Final = 30.0


class MemoryPlatform(Platform):
    """The table, object store and host list of one process.

    `clock` returns seconds.  A rebooting host is live again after `reboot_s`,
    or if that is None, when `finish_reboot` is called.
    """

    __slots__ = (
        "_clock",
        "_dropped",
        "_host_revision",
        "_host_revisions",
        "_hosts",
        "_keys",
        "_nonces",
        "_objects",
        "_reboot_ends",
        "_reboot_nonces",
        "_reboot_s",
        "_revision",
        "_rows",
        "_tombstones",
    )

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        reboot_s: float | None = None,
    ) -> None:
        self._clock = clock
        self._reboot_s = reboot_s
        self._revision = 0
        # In the order of their last writes, so that a delta is a suffix.
        self._rows: dict[str, Row] = {}
        # The sorted keys of _rows, so that a prefix is one slice.
        self._keys: list[str] = []
        self._tombstones: OrderedDict[str, None] = OrderedDict()
        # The revision of the newest dropped tombstone, by the first part of
        # its key.
        self._dropped: dict[str, int] = {}
        self._nonces: OrderedDict[str, int] = OrderedDict()
        self._objects: dict[str, bytes] = {}
        self._host_revision = 0
        self._hosts: dict[str, HostEntry] = {}
        self._host_revisions: dict[str, int] = {}
        self._reboot_nonces: OrderedDict[str, None] = OrderedDict()
        self._reboot_ends: dict[str, float] = {}

    @property
    def revision(self) -> int:
        """The revision of the table's last commit."""
        return self._revision

    @property
    def host_revision(self) -> int:
        """The revision of the host list's last change."""
        return self._host_revision

    @property
    def object_names(self) -> list[str]:
        """The names of all stored objects, in order."""
        return sorted(self._objects)

    # --- Table.

    async def read(self, key: str) -> Result[Row | None, Fault]:
        """Return a row, or None if the key does not exist."""
        return Success(self.row(key))

    def row(self, key: str) -> Row | None:
        """Return the row that `read` returns, for stand-ins and tests."""
        row = self._rows.get(key)
        if row is None or row.value is None:
            return None
        return row

    async def read_since(
        self, prefix: str, revision: int
    ) -> Result[Delta, Fault]:
        """Return the rows of a prefix written after a revision."""
        if 0 < revision < self._newest_dropped(prefix):
            return Failure(_fault(REVISION_FORGOTTEN, Step.READ, prefix))
        if revision > 0:
            return Success(
                Delta(self._rows_since(prefix, revision), self.revision)
            )
        found: list[Row] = []
        for row in self.rows(prefix):
            if row.value is not None:
                found.append(row)
        found.sort(key=lambda row: row.revision)
        return Success(Delta(found, self._revision))

    def _rows_since(self, prefix: str, revision: int) -> list[Row]:
        """Return the rows of a prefix written after a revision, in order."""
        found: list[Row] = []
        for row in reversed(self._rows.values()):
            if row.revision <= revision:
                break
            if row.key.startswith(prefix):
                found.append(row)
        found.reverse()
        return found

    def rows(self, prefix: str) -> list[Row]:
        """Return all rows of a prefix, deleted ones included, by key."""
        found: list[Row] = []
        for index in range(bisect_left(self._keys, prefix), len(self._keys)):
            key = self._keys[index]
            if not key.startswith(prefix):
                break
            found.append(self._rows[key])
        return found

    async def transact(
        self, transaction: Transaction
    ) -> Result[Commit | Conflict, Fault]:
        """Apply all writes if all guards hold."""
        earlier = self._nonces.get(transaction.nonce)
        if earlier is not None:
            return Success(Commit(earlier))
        failed: list[str] = []
        for guard in transaction.guards:
            if not self._holds(guard):
                failed.append(guard.key)
        if failed:
            return Success(Conflict(failed, self._revision))
        self._revision += 1
        for write in transaction.writes:
            self._apply(write)
        self._drop_old_tombstones()
        self._nonces[transaction.nonce] = self._revision
        if len(self._nonces) > NONCES_KEPT:
            self._nonces.popitem(last=False)
        return Success(Commit(self._revision))

    def _holds(self, guard: Guard) -> bool:
        row = self._rows.get(guard.key)
        if row is None:
            return guard.revision == ABSENT
        if row.value is None and guard.revision == ABSENT:
            return True
        return row.revision == guard.revision

    def _apply(self, write: Write) -> None:
        """Store one write at the table's revision."""
        row = self._rows.pop(write.key, None)
        if row is None:
            if write.value is None:
                return
            insort(self._keys, write.key)
        self._rows[write.key] = Row(write.key, write.value, self._revision)
        self._tombstones.pop(write.key, None)
        if write.value is None:
            self._tombstones[write.key] = None

    def _drop_old_tombstones(self) -> None:
        while len(self._tombstones) > TOMBSTONES_KEPT:
            key, _ = self._tombstones.popitem(last=False)
            row = self._rows.pop(key)
            del self._keys[bisect_left(self._keys, key)]
            part = key.partition("/")[0]
            self._dropped[part] = max(row.revision, self._dropped.get(part, 0))

    def _newest_dropped(self, prefix: str) -> int:
        """Return the newest revision of the prefix's dropped tombstones."""
        newest = 0
        first = prefix.partition("/")[0]
        for part, revision in self._dropped.items():
            if part == first or part.startswith(prefix):
                newest = max(newest, revision)
        return newest

    # --- Object store.

    async def put_object(self, name: str, data: bytes) -> Result[None, Fault]:
        """Store an object, replacing an existing one of this name."""
        self._objects[name] = bytes(data)
        return Success(None)

    async def get_object(self, name: str) -> Result[bytes, Fault]:
        """Return an object; the fault is `unknown-object` if none exists."""
        data = self._objects.get(name)
        if data is None:
            return Failure(_fault(UNKNOWN_OBJECT, Step.READ, name))
        return Success(data)

    async def delete_object(self, name: str) -> Result[None, Fault]:
        """Delete an object; succeed if it does not exist."""
        self._objects.pop(name, None)
        return Success(None)

    # --- Hosts.

    async def hosts_since(self, revision: int) -> Result[HostDelta, Fault]:
        """Return the hosts whose list entry changed after a revision."""
        self._end_reboots()
        found: list[HostEntry] = []
        for name, changed in self._host_revisions.items():
            if changed <= revision:
                continue
            found.append(self._hosts[name])
        return Success(HostDelta(found, self._host_revision))

    async def drain(self, host: str) -> Result[None, Fault]:
        """Drain a host, which puts it in the state leaving; idempotent."""
        return self._change_state(host, HostState.LIVE, HostState.LEAVING)

    async def resume(self, host: str) -> Result[None, Fault]:
        """End a drain without a reboot; idempotent."""
        return self._change_state(host, HostState.LEAVING, HostState.LIVE)

    async def reboot(self, host: str, nonce: str) -> Result[None, Fault]:
        """Reboot a drained host once per nonce; it is live afterwards.

        A request during a reboot has no further effect.
        """
        self._end_reboots()
        entry = self._hosts.get(host)
        if entry is None:
            return Failure(_fault(UNKNOWN_HOST, Step.WRITE, host))
        if nonce in self._reboot_nonces:
            return Success(None)
        if entry.state is HostState.LIVE:
            return Failure(_fault(HOST_NOT_DRAINED, Step.WRITE, host))
        self._reboot_nonces[nonce] = None
        if len(self._reboot_nonces) > NONCES_KEPT:
            self._reboot_nonces.popitem(last=False)
        if entry.state is HostState.LEAVING:
            self.set_host_state(host, HostState.GONE)
            if self._reboot_s is not None:
                self._reboot_ends[host] = self._clock() + self._reboot_s
        return Success(None)

    def put_host(self, entry: HostEntry) -> None:
        """Add a host to the list, or replace its entry."""
        self._host_revision += 1
        self._hosts[entry.name] = entry
        self._host_revisions[entry.name] = self._host_revision

    def set_host_state(self, host: str, state: HostState) -> None:
        """Change the listed state of a host; raise KeyError if unknown."""
        entry = self._hosts[host]
        self._reboot_ends.pop(host, None)
        if entry.state is state:
            return
        changed = HostEntry(
            entry.name,
            entry.zone,
            entry.rack,
            entry.address,
            entry.role,
            state,
            entry.cores,
            entry.memory_mb,
        )
        self.put_host(changed)

    def finish_reboot(self, host: str) -> None:
        """Make a rebooting host live; raise KeyError if unknown."""
        if self._hosts[host].state is HostState.GONE:
            self.set_host_state(host, HostState.LIVE)

    def _change_state(
        self, host: str, source: HostState, target: HostState
    ) -> Result[None, Fault]:
        """Change a host's state if it is in the source state."""
        self._end_reboots()
        entry = self._hosts.get(host)
        if entry is None:
            return Failure(_fault(UNKNOWN_HOST, Step.WRITE, host))
        if entry.state is source:
            self.set_host_state(host, target)
        return Success(None)

    def _end_reboots(self) -> None:
        now = self._clock()
        for host, end in list(self._reboot_ends.items()):
            if end <= now:
                self.finish_reboot(host)


def _fault(code: ErrorCode, step: Step, detail: str) -> Fault:
    return Fault(code, step, Peer.PLATFORM, detail)


@BINDINGS.register("memory")
def open_memory(address: str) -> Platform:
    """Return a new in-memory platform; the address is not used."""
    del address
    return MemoryPlatform(reboot_s=REBOOT_S)
