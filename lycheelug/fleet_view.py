"""A daemon's view of the platform's table, and of the hosts of its zone.

The view holds the rows of the hosts of its own zone, of all pools and of
the entry daemons, and the configuration, each at the newest revision seen:
an older answer of a lagging store, or an older row from a peer, changes
nothing. For each key prefix the view has the revision up to which it is
complete; the revision of the whole view is the lowest of these.

The view stays usable while the platform is unreachable. Deleted rows are
kept as tombstones (rows without a value), up to a limit, so that a late
answer can't restore them. A full read, from revision 0, also shows which
rows do not exist.

Pure: no I/O and no clock.
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
# Covers the rows of the entry daemons and the join epoch in one read.
_ENTRIES_PREFIX: Final = ENTRY_PREFIX.rstrip("/")
_MAX_DELETED_ROWS: Final = 4096
_MAX_LISTED_HOSTS: Final = 8192
_PAGE_ROWS: Final = 500

S = TypeVar("S", bound=msgspec.Struct)


class FleetView:
    """One daemon's copy of the table's rows and of its zone's host states."""

    __slots__ = (
        "_by_pool",
        "_deleted",
        "_executors",
        "_host_list_revision",
        "_hosts",
        "_listed_hosts",
        "_pools",
        "_prefix_revisions",
        "_rows",
        "_zone",
        "invalid_rows",
    )

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._rows: dict[str, Row] = {}
        self._deleted: dict[str, None] = {}
        self._prefix_revisions: dict[str, int] = dict.fromkeys(
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
        self._listed_hosts: dict[str, HostEntry] = {}
        self._host_list_revision = 0
        self.invalid_rows = 0

    @property
    def zone(self) -> str:
        """The availability zone whose hosts the view holds."""
        return self._zone

    @property
    def prefixes(self) -> tuple[str, ...]:
        """The key prefixes of the table that the view covers."""
        return tuple(self._prefix_revisions)

    @property
    def revision(self) -> int:
        """The table revision up to which the whole view is complete."""
        return min(self._prefix_revisions.values())

    @property
    def host_list_revision(self) -> int:
        """The revision of the platform's host list that was applied last."""
        return self._host_list_revision

    @property
    def pools(self) -> dict[str, PoolRow]:
        """The pools by name; callers must not modify the dictionary."""
        return self._pools

    @property
    def hosts(self) -> dict[str, HostRow]:
        """The zone's hosts by name; callers must not modify the dictionary."""
        return self._hosts

    def prefix_revision(self, prefix: str) -> int:
        """Return the revision up to which a prefix is complete."""
        return self._prefix_revisions[prefix]

    def row(self, key: str) -> Row | None:
        """Return a row of the view, or its tombstone."""
        return self._rows.get(key)

    def row_count(self) -> int:
        """Return the number of rows held, including tombstones."""
        return len(self._rows)

    def executors(self, pool: str) -> list[HostRow]:
        """Return a pool's serving hosts that are not leaving or removed.

        A host that the delayed list doesn't contain yet counts as live.
        """
        found = self._executors.get(pool)
        if found is not None:
            return found
        found = []
        for name, host in self._by_pool.get(pool, {}).items():
            if host.phase is not HostPhase.SERVING:
                continue
            listed = self._listed_hosts.get(name)
            if listed is None or listed.state is HostState.LIVE:
                found.append(host)
        self._executors[pool] = found
        return found

    def listed_state(self, name: str) -> HostState | None:
        """Return the state of a host of the zone in the platform's list."""
        listed = self._listed_hosts.get(name)
        return listed.state if listed is not None else None

    def address(self, name: str) -> str:
        """Return a host's address, or "" if it isn't known."""
        listed = self._listed_hosts.get(name)
        if listed is not None:
            return listed.address
        host = self._hosts.get(name)
        return host.address if host else ""

    def draining_hosts(self) -> list[HostRow]:
        """Return the zone's draining hosts, which get no new work."""
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
            entry = _decode_or_none(row.value, EntryRow)
            if entry is not None and entry.address:
                found.append(entry)
        return found

    def apply(
        self, prefix: str, delta: Delta, is_snapshot: bool = False
    ) -> list[Row]:
        """Apply an answer of the platform; return the changed rows.

        `is_snapshot` is true if the delta was read from revision 0: rows
        that it doesn't contain do not exist.
        """
        if delta.revision < self._prefix_revisions[prefix]:
            return []
        changed = self._apply_rows(delta.rows)
        if is_snapshot:
            present_keys = {row.key for row in delta.rows}
            changed += self._delete_absent(
                prefix, present_keys, delta.revision
            )
        self._prefix_revisions[prefix] = delta.revision
        return changed

    def apply_reply(self, reply: ViewReply) -> list[Row]:
        """Apply a page of a peer's view; return the changed rows."""
        rows: list[Row] = []
        for row in reply.rows:
            if self._prefix_of(row.key):
                rows.append(Row(row.key, row.value, row.revision))
        return self._apply_rows(rows)

    def finish_snapshot(
        self, zone: str, present_keys: set[str], revision: int
    ) -> list[Row]:
        """Finish reading a peer's whole view, from 0 to a revision.

        `present_keys` are the keys in the pages that were read: other keys
        did not exist at that revision. Return the changed rows.
        """
        changed: list[Row] = []
        for prefix, known_revision in self._prefix_revisions.items():
            if prefix.startswith(HOST_PREFIX) and zone != self._zone:
                continue
            changed += self._delete_absent(prefix, present_keys, revision)
            self._prefix_revisions[prefix] = max(known_revision, revision)
        return changed

    def apply_hosts(self, delta: HostDelta) -> list[HostEntry]:
        """Apply a delta of the host list; return the entry hosts in it.

        Of the other hosts, only those of this zone are kept.
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
            self._listed_hosts[host.name] = host
        self._drop_removed_hosts()
        self._executors.clear()
        return entry_hosts

    def rows_since(self, zone: str, revision: int) -> ViewReply:
        """Return a page of the rows after a revision, for a peer.

        All rows of one revision are in the same page.
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
            # The last page must contain all remaining rows, even those
            # after the view's own revision: the reader treats rows that are
            # in no page as deleted.
            return ViewReply(self._zone, newer, self.revision)
        page = [row for row in newer if row.revision <= last]
        return ViewReply(self._zone, page, last, has_more=True)

    def _apply_rows(self, rows: Iterable[Row]) -> list[Row]:
        changed = []
        for row in rows:
            known = self._rows.get(row.key)
            if known is not None and known.revision >= row.revision:
                continue
            self._rows[row.key] = row
            self._record_deletion(row)
            self._index(row)
            changed.append(row)
        if changed:
            self._executors.clear()
        return changed

    def _drop_removed_hosts(self) -> None:
        """Drop removed hosts that have no row, if over the limit."""
        if len(self._listed_hosts) <= _MAX_LISTED_HOSTS:
            return
        for name, host in list(self._listed_hosts.items()):
            if host.state is HostState.GONE and name not in self._hosts:
                del self._listed_hosts[name]

    def _delete_absent(
        self, prefix: str, present_keys: set[str], revision: int
    ) -> list[Row]:
        absent = []
        for key, row in self._rows.items():
            if row.value is None or key in present_keys:
                continue
            if key.startswith(prefix) and row.revision <= revision:
                absent.append(Row(key, None, revision))
        for row in absent:
            # A row with this same revision would make `_apply_rows` skip the
            # deletion.
            self._rows.pop(row.key)
        return self._apply_rows(absent)

    def _record_deletion(self, row: Row) -> None:
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
            pool = self._decode_row(row, PoolRow)
            if pool is not None:
                self._pools[name] = pool

    def _index_host(self, row: Row) -> None:
        """Index a host's row; an invalid row takes the host out of use."""
        name = row.key.rpartition("/")[2]
        before = self._hosts.pop(name, None)
        if before is not None:
            del self._by_pool[before.pool][name]
        host = self._decode_row(row, HostRow)
        if host is None:
            return
        self._hosts[name] = host
        self._by_pool.setdefault(host.pool, {})[name] = host

    def _decode_row(self, row: Row, kind: type[S]) -> S | None:
        if row.value is None:
            return None
        found = _decode_or_none(row.value, kind)
        if found is None:
            self.invalid_rows += 1
        return found

    def _prefix_of(self, key: str) -> str:
        for prefix in self._prefix_revisions:
            if key.startswith(prefix):
                return prefix
        return ""


def _decode_or_none(value: bytes, kind: type[S]) -> S | None:
    return decode(value, kind).value_or(None)
