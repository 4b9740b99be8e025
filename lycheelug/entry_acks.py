"""Acknowledgement of a host's drain by the entry daemons.

A host may leave its pool only when no entry daemon can still dispatch to it
for that pool.  A daemon's view never goes back to an older revision.  Once
a digest of the daemon shows that its view has reached the revision of the
drain and that it has no requests in flight on the host, the daemon won't
dispatch to the host for the old pool again.  An old digest thus proves as
much as a fresh one, and no clock is needed.  A daemon run that joined after
the drain started with a view that contained it.

A daemon's view contains only the hosts of its own availability zone (see
`fleet_view`), so the daemon can't dispatch to hosts of other zones: a zone
that is cut off delays only its own hosts.

An unreachable daemon is waited for until the platform lists its host as
gone or an operator declares its run dead.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.store.interface import HostState

if TYPE_CHECKING:
    from lycheelug.fleet import FleetSnapshot, Versioned
    from lycheelug.records import EntryRow, HostRow

__all__ = ["knows_all_entries", "unacknowledged_entries"]


def knows_all_entries(fleet: FleetSnapshot, revision: int) -> bool:
    """Return whether the snapshot contains every daemon that has joined.

    It must be complete up to the drain's revision and up to the entry epoch,
    which each join writes.  A transaction guarded by the epoch's revision
    then fails if another daemon has joined.
    """
    return fleet.table_revision >= max(revision, fleet.entry_epoch_revision)


def unacknowledged_entries(
    fleet: FleetSnapshot, host: Versioned[HostRow]
) -> list[str]:
    """Return the names of the entry daemons that have yet to acknowledge."""
    names: list[str] = []
    for name in sorted(fleet.entries):
        entry = fleet.entries[name]
        if entry.row.zone != host.row.zone:
            continue
        if entry.revision > host.revision:
            continue
        if _has_ended(fleet, name, entry):
            continue
        if not _has_acknowledged(fleet, entry, host):
            names.append(name)
    for name in _unjoined_entries(fleet, host.row.zone):
        if not _has_unjoined_acknowledged(fleet, name, host):
            names.append(name)
    return sorted(names)


def _unjoined_entries(fleet: FleetSnapshot, zone: str) -> set[str]:
    """Return the daemons of a zone that serve without having joined.

    Such a daemon got its view from a peer, whose digest lists it as
    sponsored.
    """
    names: set[str] = set()
    for digest in fleet.digests.values():
        if digest.zone == zone:
            names.update(digest.sponsored)
    return names - set(fleet.entries)


def _has_unjoined_acknowledged(
    fleet: FleetSnapshot, name: str, host: Versioned[HostRow]
) -> bool:
    """Return whether a daemon that hasn't joined acknowledges the drain."""
    for digest in fleet.digests.values():
        if digest.name != name:
            continue
        has_seen_drain = digest.table_revision >= host.revision
        if has_seen_drain and host.row.name not in digest.busy_draining:
            return True
    return False


def _has_ended(
    fleet: FleetSnapshot, name: str, entry: Versioned[EntryRow]
) -> bool:
    if not entry.row.address:
        # The run was ended in the table, or never joined.
        return True
    if entry.row.run in fleet.dead_runs:
        return True
    listed = fleet.listed.get(name)
    if listed is None or listed.state is not HostState.GONE:
        return False
    # An older list shows the host's state before this run joined.
    return fleet.list_revision > entry.row.list_revision


def _has_acknowledged(
    fleet: FleetSnapshot,
    entry: Versioned[EntryRow],
    host: Versioned[HostRow],
) -> bool:
    digest = fleet.digests.get(entry.row.run)
    if digest is None or digest.table_revision < host.revision:
        return False
    return host.row.name not in digest.busy_draining
