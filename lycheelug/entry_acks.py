"""Which entry daemons might still dispatch to a draining host.

A daemon's view only moves forward.  Once its digest says that the view has
reached the revision of the drain, and that nothing of its own is left on
the host, it will not dispatch there for the old pool again: so an old
digest is as good as a fresh one, and no clock is needed.  A run that
joined after the drain started from a view that held it.

A daemon's view holds the hosts of its own availability zone only (see
`fleet_view`), so it can't dispatch to those of another: a zone that is cut
off holds up its own hosts and no others.

A daemon that can't be heard is waited for until the platform's list says
that its host is gone, or an operator declares the run dead.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.store.interface import HostState

if TYPE_CHECKING:
    from lycheelug.fleet import FleetSnapshot, Versioned
    from lycheelug.records import EntryRow, HostRow

__all__ = ["knows_all_entries", "unacknowledged_entries"]


def knows_all_entries(fleet: FleetSnapshot, revision: int) -> bool:
    """Tell whether the view holds every join up to a drain and the epoch.

    A transaction guarded by the epoch's revision then can't miss a daemon.
    """
    return fleet.table_revision >= max(revision, fleet.entry_epoch_revision)


def unacknowledged_entries(
    fleet: FleetSnapshot, host: Versioned[HostRow]
) -> list[str]:
    """Return the entry daemons that a draining host waits for, by name."""
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
    """Return the daemons of a zone that serve by a peer's view, unjoined."""
    names: set[str] = set()
    for digest in fleet.digests.values():
        if digest.zone == zone:
            names.update(digest.sponsored)
    return names - set(fleet.entries)


def _has_unjoined_acknowledged(
    fleet: FleetSnapshot, name: str, host: Versioned[HostRow]
) -> bool:
    """Tell whether an unjoined daemon's own digest shows the drain."""
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
        # A run that was ended in the table, or never joined.
        return True
    if entry.row.run in fleet.dead_runs:
        return True
    listed = fleet.listed.get(name)
    if listed is None or listed.state is not HostState.GONE:
        return False
    # An older list tells of the host's life before this run joined.
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
