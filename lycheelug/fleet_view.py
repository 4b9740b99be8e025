"""A daemon's view of the platform's table, and of the hosts of its zone.

The view holds the rows of its own zone's hosts, of all pools, of the entry
daemons, and the configuration, each at the newest revision that it has
seen: an older answer of a lagging store, or an older row from a peer,
changes nothing.  Each prefix has the revision up to which it is complete;
the view's own revision is the lowest of them.

The view lives on while the platform is away.  Deleted rows are kept as
rows without a value, up to a limit, so that a late answer can't bring them
back.  A whole read, from revision 0, also tells what does not exist.

Pure: no I/O, no time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypeVar

import msgspec

from lycheelug.entries.messages import ViewReply, ViewRow
from lycheelug.records import (
    CONFIG_KEY,
    ENTRY_PREFIX,
    HOST_PREFIX,
    POOL_PREFIX,
    EntryRow,
    HostPhase,
    HostRow,
    PoolRow,
    decode,
)
from lycheelug.store.interface import HostRole, HostState, Row

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheelug.store.interface import Delta, HostDelta, HostEntry

__all__ = ["FleetView"]

_CONFIG_PREFIX: Final = CONFIG_KEY.partition("/")[0] + "/"
# Covers the rows of the daemons and the join epoch, in one read.
_ENTRIES_PREFIX: Final = ENTRY_PREFIX.rstrip("/")
_MAX_DELETED_ROWS: Final = 4096
_MAX_LISTED_HOSTS: Final = 8192
_PAGE_ROWS: Final = 500

S = TypeVar("S", bound=msgspec.Struct)


class FleetView:
    """What one daemon knows of the table and of its zone's hosts."""

    __slots__ = (
        "_by_pool",
        "_deleted",
        "_executors",
        "_host_list_revision",
        "_hosts",
        "_listed",
        "_pools",
        "_reached",
        "_rows",
        "_zone",
        "invalid_rows",
    )

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._rows: dict[str, Row] = {}
        self._deleted: dict[str, None] = {}
        self._reached: dict[str, int] = dict.fromkeys(
            (
                f"{HOST_PREFIX}{zone}/",
                POOL_PREFIX,
                _ENTRIES_PREFIX,
                _CONFIG_PREFIX,
            ),
            0,
        )
        self._hosts: dict[str, HostRow] = {}
        self._by_pool: dict[str, dict[str, HostRow]] = {}
        self._executors: dict[str, list[HostRow]] = {}
        self._pools: dict[str, PoolRow] = {}
        self._listed: dict[str, HostEntry] = {}
        self._host_list_revision = 0
        self.invalid_rows = 0

    @property
    def zone(self) -> str:
        """The availability zone whose hosts the view holds."""
        return self._zone

    @property
    def prefixes(self) -> tuple[str, ...]:
        """The prefixes of the table that the view is made of."""
        return tuple(self._reached)

    @property
    def revision(self) -> int:
        """The revision of the table that all of the view has reached."""
        return min(self._reached.values())

    @property
    def host_list_revision(self) -> int:
        """The revision of the platform's host list that was reached."""
        return self._host_list_revision

    @property
    def pools(self) -> dict[str, PoolRow]:
        """The pools by name; not to be changed."""
        return self._pools

    @property
    def hosts(self) -> dict[str, HostRow]:
        """The hosts of the zone by name; not to be changed."""
        return self._hosts

    def prefix_revision(self, prefix: str) -> int:
        """Return the revision up to which a prefix is complete."""
        return self._reached[prefix]

    def row(self, key: str) -> Row | None:
        """Return a row of the view, deleted ones included."""
        return self._rows.get(key)

    def row_count(self) -> int:
        """Return how many rows are held, deleted ones included."""
        return len(self._rows)

    def executors(self, pool: str) -> list[HostRow]:
        """Return a pool's hosts that serve and aren't listed as leaving.

        A host that the lagging list doesn't show yet counts as live.
        """
        found = self._executors.get(pool)
        if found is not None:
            return found
        found = []
        for name, host in self._by_pool.get(pool, {}).items():
            if host.phase is not HostPhase.SERVING:
                continue
            listed = self._listed.get(name)
            if listed is None or listed.state is HostState.LIVE:
                found.append(host)
        self._executors[pool] = found
        return found

    def listed_state(self, name: str) -> HostState | None:
        """Return what the platform's list says of a host of the zone."""
        listed = self._listed.get(name)
        return listed.state if listed is not None else None

    def address(self, name: str) -> str:
        """Return a host's address, "" where it isn't known."""
        listed = self._listed.get(name)
        if listed is not None:
            return listed.address
        host = self._hosts.get(name)
        return host.address if host else ""

    def draining_hosts(self) -> list[HostRow]:
        """Return the zone's hosts that may be given no new work."""
        found = []
        for host in self._hosts.values():
            if host.phase is HostPhase.DRAINING:
                found.append(host)
        return found

    def entries(self) -> list[EntryRow]:
        """Return the rows of the entry daemons that have joined."""
        found = []
        for key, row in self._rows.items():
            if row.value is None or not key.startswith(ENTRY_PREFIX):
                continue
            entry = _decoded(row.value, EntryRow)
            if entry is not None and entry.address:
                found.append(entry)
        return found

    def apply(
        self, prefix: str, delta: Delta, is_snapshot: bool = False
    ) -> list[Row]:
        """Take in an answer of the platform; return the rows that changed.

        `is_snapshot` tells that the delta was read from revision 0: what it
        doesn't name does not exist.
        """
        if delta.revision < self._reached[prefix]:
            return []
        changed = self._apply_rows(delta.rows)
        if is_snapshot:
            named = {row.key for row in delta.rows}
            changed += self._delete_absent(prefix, named, delta.revision)
        self._reached[prefix] = delta.revision
        return changed

    def apply_reply(self, reply: ViewReply) -> list[Row]:
        """Take in a page of a peer's view; return the rows that changed."""
        rows: list[Row] = []
        for row in reply.rows:
            if self._prefix_of(row.key):
                rows.append(Row(row.key, row.value, row.revision))
        return self._apply_rows(rows)

    def finish_snapshot(
        self, zone: str, named: set[str], revision: int
    ) -> list[Row]:
        """Take in that a peer's whole view was read, from 0 to a revision.

        `named` are the keys in its pages: others did not exist at that
        revision.  Return the rows that changed.
        """
        changed: list[Row] = []
        for prefix, reached in self._reached.items():
            if prefix.startswith(HOST_PREFIX) and zone != self._zone:
                continue
            changed += self._delete_absent(prefix, named, revision)
            self._reached[prefix] = max(reached, revision)
        return changed

    def apply_hosts(self, delta: HostDelta) -> list[HostEntry]:
        """Take in a delta of the host list; return all its entry hosts.

        Only the states of the zone's own hosts are kept.
        """
        if delta.revision < self._host_list_revision:
            return []
        self._host_list_revision = delta.revision
        entry_hosts = []
        for host in delta.hosts:
            if host.role is HostRole.ENTRY:
                entry_hosts.append(host)
                continue
            if host.zone != self._zone:
                continue
            self._listed[host.name] = host
        self._forget_gone_hosts()
        self._executors.clear()
        return entry_hosts

    def rows_since(self, zone: str, revision: int) -> ViewReply:
        """Return a page of the rows after a revision, for a peer.

        A page never ends between two rows of one revision.
        """
        newer = []
        for row in self._rows.values():
            is_host = row.key.startswith(HOST_PREFIX)
            if row.revision <= revision or (is_host and zone != self._zone):
                continue
            newer.append(ViewRow(row.key, row.value, row.revision))
        newer.sort(key=lambda row: row.revision)
        if len(newer) <= _PAGE_ROWS:
            return ViewReply(self._zone, newer, self.revision)
        last = newer[_PAGE_ROWS - 1].revision
        if last >= self.revision:
            # The last page names every row, those beyond the view's own
            # revision too: the reader takes unnamed rows for deleted.
            return ViewReply(self._zone, newer, self.revision)
        page = [row for row in newer if row.revision <= last]
        return ViewReply(self._zone, page, last, more=True)

    def _apply_rows(self, rows: Iterable[Row]) -> list[Row]:
        changed = []
        for row in rows:
            known = self._rows.get(row.key)
            if known is not None and known.revision >= row.revision:
                continue
            self._rows[row.key] = row
            self._note_deletion(row)
            self._index(row)
            changed.append(row)
        if changed:
            self._executors.clear()
        return changed

    def _forget_gone_hosts(self) -> None:
        """Drop hosts that are gone and have no row, over a limit."""
        if len(self._listed) <= _MAX_LISTED_HOSTS:
            return
        for name, host in list(self._listed.items()):
            if host.state is HostState.GONE and name not in self._hosts:
                del self._listed[name]

    def _delete_absent(
        self, prefix: str, named: set[str], revision: int
    ) -> list[Row]:
        absent = []
        for key, row in self._rows.items():
            if row.value is None or key in named:
                continue
            if key.startswith(prefix) and row.revision <= revision:
                absent.append(Row(key, None, revision))
        for row in absent:
            # A row of this very revision would pass for the same.
            self._rows.pop(row.key)
        return self._apply_rows(absent)

    def _note_deletion(self, row: Row) -> None:
        self._deleted.pop(row.key, None)
        if row.value is None:
            self._deleted[row.key] = None
        if len(self._deleted) > _MAX_DELETED_ROWS:
            oldest = next(iter(self._deleted))
            del self._deleted[oldest]
            del self._rows[oldest]

    def _index(self, row: Row) -> None:
        if row.key.startswith(HOST_PREFIX):
            self._index_host(row)
        elif row.key.startswith(POOL_PREFIX):
            name = row.key.removeprefix(POOL_PREFIX)
            self._pools.pop(name, None)
            pool = self._read(row, PoolRow)
            if pool is not None:
                self._pools[name] = pool

    def _index_host(self, row: Row) -> None:
        """Index a host's row; an invalid one takes it out of service."""
        name = row.key.rpartition("/")[2]
        before = self._hosts.pop(name, None)
        if before is not None:
            del self._by_pool[before.pool][name]
        host = self._read(row, HostRow)
        if host is None:
            return
        self._hosts[name] = host
        self._by_pool.setdefault(host.pool, {})[name] = host

    def _read(self, row: Row, kind: type[S]) -> S | None:
        if row.value is None:
            return None
        found = _decoded(row.value, kind)
        if found is None:
            self.invalid_rows += 1
        return found

    def _prefix_of(self, key: str) -> str:
        for prefix in self._reached:
            if key.startswith(prefix):
                return prefix
        return ""


def _decoded(value: bytes, kind: type[S]) -> S | None:
    try:
        return decode(value, kind)
    except msgspec.MsgspecError:
        return None
