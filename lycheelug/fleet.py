"""Snapshot of the fleet: table rows, digests and the platform's host list.

All decisions about the fleet are made from a FleetSnapshot, which is
updated with rows and list entries as they arrive and does no I/O.  It may
be out of date: it contains every write up to the revision
`table_revision`, while single rows may be newer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

import msgspec
from returns.result import Failure, Success

from lycheelug.logs import log_change
from lycheelug.records import (
    ENTRY_EPOCH_KEY,
    ENTRY_PREFIX,
    HOST_PREFIX,
    PLAN_LEASE_PREFIX,
    POOL_PREFIX,
    SHEET_KEY,
    EntryRow,
    HostPhase,
    HostRow,
    PlanLeaseRow,
    PoolRow,
    SheetRow,
    decode,
)
from lycheelug.sheet import parse_sheet
from lycheelug.store.interface import HostRole, HostState, Row

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheelug.entries.messages import Digest
    from lycheelug.sheet import Sheet
    from lycheelug.store.interface import HostDelta, HostEntry

__all__ = ["FLEET_PREFIXES", "FleetSnapshot", "Versioned", "last_part"]

R = TypeVar("R", bound=msgspec.Struct)

# Every key that a snapshot holds has one of these prefixes.
FLEET_PREFIXES = (
    HOST_PREFIX,
    POOL_PREFIX,
    ENTRY_PREFIX,
    ENTRY_EPOCH_KEY,
    SHEET_KEY,
    PLAN_LEASE_PREFIX,
)


class Versioned(Generic[R]):
    """A row and the revision of its last write."""

    __slots__ = ("revision", "row")

    def __init__(self, row: R, revision: int) -> None:
        self.row = row
        self.revision = revision


class FleetSnapshot:
    """The input of all decisions about the fleet.

    `digests` holds the latest digest of each daemon run, by run.
    `dead_runs` holds runs of entry daemons that an operator declared dead.
    """

    __slots__ = (
        "_newest_revisions",
        "dead_runs",
        "digests",
        "entries",
        "entry_epoch_revision",
        "hosts",
        "leases",
        "list_revision",
        "listed",
        "pools",
        "sheet",
        "sheet_revision",
        "sheet_row",
        "table_revision",
    )

    def __init__(self) -> None:
        self.table_revision = 0
        self.list_revision = 0
        self.hosts: dict[str, Versioned[HostRow]] = {}
        self.pools: dict[str, Versioned[PoolRow]] = {}
        self.entries: dict[str, Versioned[EntryRow]] = {}
        self.leases: dict[str, Versioned[PlanLeaseRow]] = {}
        self.entry_epoch_revision = 0
        self.sheet: Sheet | None = None
        self.sheet_row: SheetRow | None = None
        self.sheet_revision = 0
        self.digests: dict[str, Digest] = {}
        self.dead_runs: set[str] = set()
        self.listed: dict[str, HostEntry] = {}
        # The newest applied revision by key, since rows may arrive out of
        # order.
        self._newest_revisions: dict[str, int] = {}

    def copy(self) -> FleetSnapshot:
        """Return a copy that can be modified independently of this one."""
        duplicate = FleetSnapshot()
        for name in self.__slots__:
            value = getattr(self, name)
            if isinstance(value, (dict, set)):
                value = value.copy()
            setattr(duplicate, name, value)
        return duplicate

    def apply_rows(self, rows: Iterable[Row], revision: int) -> None:
        """Apply rows that make the snapshot complete up to a revision."""
        for row in rows:
            self.apply_row(row)
        self.table_revision = max(self.table_revision, revision)

    def apply_row(self, row: Row) -> None:
        """Apply one row, unless a newer one with its key was applied."""
        if row.revision <= self._newest_revisions.get(row.key, 0):
            return
        self._newest_revisions[row.key] = row.revision
        if row.key.startswith(HOST_PREFIX):
            _store_row(self.hosts, row, HostRow)
        elif row.key.startswith(POOL_PREFIX):
            _store_row(self.pools, row, PoolRow)
        elif row.key.startswith(ENTRY_PREFIX):
            former = self.entries.get(last_part(row.key))
            if former is not None:
                self.digests.pop(former.row.run, None)
            _store_row(self.entries, row, EntryRow)
        elif row.key.startswith(PLAN_LEASE_PREFIX):
            _store_row(self.leases, row, PlanLeaseRow)
        elif row.key == ENTRY_EPOCH_KEY:
            self.entry_epoch_revision = row.revision
        elif row.key == SHEET_KEY:
            self._apply_sheet(row)

    def _apply_sheet(self, row: Row) -> None:
        self.sheet_revision = row.revision
        self.sheet = None
        self.sheet_row = None
        if row.value is None:
            return
        sheet_row = decode(row.value, SheetRow)
        if isinstance(sheet_row, Failure):
            _log_unreadable(row, sheet_row.failure())
            return
        self.sheet_row = sheet_row.unwrap()
        match parse_sheet(self.sheet_row.text):
            case Success(sheet):
                self.sheet = sheet

    def apply_hosts(self, delta: HostDelta) -> None:
        """Apply changed entries of the platform's host list."""
        if delta.revision < self.list_revision:
            return
        for host in delta.hosts:
            self.listed[host.name] = host
        self.list_revision = delta.revision

    def apply_digest(self, digest: Digest) -> None:
        """Apply a daemon's digest, unless a newer one was applied."""
        known = self.digests.get(digest.run)
        if known is None or digest.sequence > known.sequence:
            self.digests[digest.run] = digest

    def newest_revision(self, key: str) -> int:
        """Return the newest applied revision of a key, even if deleted."""
        return self._newest_revisions.get(key, 0)

    def listed_state(self, host: str) -> HostState:
        """Return a host's state in the platform's list; GONE if not listed."""
        entry = self.listed.get(host)
        return entry.state if entry is not None else HostState.GONE

    def in_service(self, row: HostRow) -> bool:
        """Return whether a host serves its pool and is listed as live."""
        if row.phase is not HostPhase.SERVING:
            return False
        return self.listed_state(row.name) is HostState.LIVE

    def usable_workers(self) -> list[HostEntry]:
        """Return the workers that are listed as live or in maintenance."""
        usable: list[HostEntry] = []
        for entry in self.listed.values():
            if entry.role is not HostRole.WORKER:
                continue
            if entry.state is HostState.LIVE or self.is_in_maintenance(
                entry.name
            ):
                usable.append(entry)
        return usable

    def address(self, row: HostRow) -> str:
        """Return a host's newest known address.

        The list's address takes precedence over the row's if the list is
        newer than the one that the row was written from.
        """
        entry = self.listed.get(row.name)
        if entry is None or not entry.address:
            return row.address
        is_list_newer = self.list_revision > row.list_revision
        return entry.address if is_list_newer else row.address

    def is_in_maintenance(self, host: str) -> bool:
        """Return whether a host is out, or leaving, for maintenance.

        Such a host is expected to return to its pool.
        """
        versioned = self.hosts.get(host)
        if versioned is None:
            return False
        row = versioned.row
        if row.phase is HostPhase.MAINTENANCE:
            return True
        is_leaving = self.listed_state(host) is HostState.LEAVING
        return (
            row.phase is HostPhase.DRAINING and not row.target and is_leaving
        )

    def zones(self) -> list[str]:
        """Return the zones that have workers, sorted."""
        zones = {row.row.zone for row in self.hosts.values()}
        for entry in self.listed.values():
            if entry.role is HostRole.WORKER:
                zones.add(entry.zone)
        return sorted(zones)


def last_part(key: str) -> str:
    """Return the name at the end of a row's key.

    >>> last_part("host/arima/w7")
    'w7'
    """
    return key.rpartition("/")[2]


def _store_row(rows: dict[str, Versioned[R]], row: Row, kind: type[R]) -> None:
    """Store or delete a row under the name at the end of its key."""
    name = last_part(row.key)
    if row.value is None:
        rows.pop(name, None)
        return
    decoded = decode(row.value, kind)
    if isinstance(decoded, Failure):
        # The former row stays; writes that depend on it will conflict.
        _log_unreadable(row, decoded.failure())
        return
    rows[name] = Versioned(decoded.unwrap(), row.revision)


def _log_unreadable(row: Row, error: str) -> None:
    """Log a row that can't be decoded."""
    log_change(
        "row-unreadable", key=row.key, revision=row.revision, error=error
    )
