"""Synchronization of a daemon's components with changes of the fleet.

Input is the rows of the table, the platform's host list and the digests of
other daemons.  Pools, slot shares, signs of leaving hosts and the daemon's
own digest are updated from them.  Each update runs in one step of the event
loop, so that the digest never reports a revision that the pools have not
applied yet.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure

from lycheelug.core import Phase
from lycheelug.entries.messages import Digest, PoolLoad
from lycheelug.leaving import LeavingSign
from lycheelug.logs import log_change
from lycheelug.records import ENTRY_PREFIX, EntryRow, decode
from lycheelug.store import HostState

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheelug.config_exchange import ConfigExchange
    from lycheelug.core import Core
    from lycheelug.records import HostRow
    from lycheelug.store import HostEntry, Row

__all__ = ["FleetSync"]


class FleetSync:
    """Keeps a daemon's pools and digest consistent with its view."""

    __slots__ = ("_config", "_core", "_synced_revisions")

    def __init__(self, core: Core, config: ConfigExchange) -> None:
        self._core = core
        self._config = config
        # Revisions of the table and the host list that the pools reflect.
        self._synced_revisions = (-1, -1)

    def publish(self) -> Digest:
        """Publish the daemon's digest: view, load and leaving hosts."""
        core = self._core
        now = time.monotonic()
        self.sync_pools()
        loads: list[PoolLoad] = []
        for scheduler in core.pools.all():
            executors = scheduler.executors
            executors.refresh_if_due(now)
            loads.append(
                PoolLoad(
                    executors.pool,
                    scheduler.queued,
                    executors.in_flight,
                    executors.idle,
                )
            )
        busy: list[str] = []
        for host in core.view.draining_hosts():
            if core.pools.in_flight_on(host.name):
                busy.append(host.name)
        return core.members.publish(
            core.phase.value,
            core.view.revision,
            self._config.accepted.revision,
            loads,
            busy,
            core.leaving.hosts_to_report(now),
        )

    def fresh_digests(self) -> list[Digest]:
        """Publish the daemon's digest and return all known digests.

        Without a peer no exchange publishes the digest, and a plan would
        wait for an acknowledgement of this daemon itself.
        """
        self.publish()
        return self._core.members.known_digests()

    def sync_pools(self) -> None:
        """Update the pools from the view, if it has changed."""
        core = self._core
        revisions = (core.view.revision, core.view.host_list_revision)
        if revisions == self._synced_revisions:
            return
        if revisions[1] != self._synced_revisions[1]:
            self._record_listed_states()
        self._synced_revisions = revisions
        for name, row in core.view.pools.items():
            core.pools.update_pool(row, self._executor_rows(name))
        for name in core.pools.names:
            if name not in core.view.pools:
                core.pools.drop_pool(name)
        self.update_shares()

    def rebuild_pools(self) -> None:
        """Update the pools after a change of the settings."""
        self._synced_revisions = (-1, self._synced_revisions[1])
        self.sync_pools()

    def update_shares(self) -> None:
        """Divide the slots among the live daemons of the zone."""
        core = self._core
        now = time.monotonic()
        peers: list[Digest] = []
        for digest in core.members.alive(now):
            is_same_zone = digest.zone == core.settings.zone
            if is_same_zone and digest.state == Phase.READY:
                peers.append(digest)
        core.pools.update_shares(core.settings.name, peers)

    def on_rows(self, rows: Sequence[Row]) -> None:
        """Apply changed rows of the table."""
        now = time.monotonic()
        for row in rows:
            if not row.key.startswith(ENTRY_PREFIX):
                continue
            name = row.key.removeprefix(ENTRY_PREFIX)
            entry = None
            if row.value:
                decoded = decode(row.value, EntryRow)
                if isinstance(decoded, Failure):
                    log_change(
                        "row-unreadable", key=row.key, error=decoded.failure()
                    )
                    continue
                entry = decoded.unwrap()
            self._core.members.apply_row(name, entry, now)
        self._config.on_rows(rows)
        self.sync_pools()

    def on_entry_hosts(self, hosts: Sequence[HostEntry]) -> None:
        """Apply changed entry hosts of the platform's list."""
        for host in hosts:
            self._core.members.apply_host(host)

    def on_digests(self, names: Sequence[str]) -> None:
        """Apply newer digests of other daemons."""
        now = time.monotonic()
        for name in names:
            digest = self._core.members.digest(name)
            if digest is None:
                continue
            for host in digest.leaving:
                self._core.leaving.record_sign(
                    host, LeavingSign.TOLD, now, reporter=digest.name
                )
        self._config.on_digests(names)
        self.update_shares()

    def _executor_rows(self, pool: str) -> list[HostRow]:
        """Return the rows of a pool's hosts with their current addresses."""
        view = self._core.view
        rows: list[HostRow] = []
        for row in view.executors(pool):
            address = view.address(row.name)
            if not address:
                continue
            rows.append(msgspec.structs.replace(row, address=address))
        return rows

    def _record_listed_states(self) -> None:
        """Pass listed host states to the detection of leaving hosts."""
        core = self._core
        now = time.monotonic()
        revision = core.view.host_list_revision
        for name in core.view.hosts:
            state = core.view.listed_state(name)
            if state is HostState.LIVE:
                core.leaving.record_live(name, revision, now)
            elif state is not None:
                core.leaving.record_sign(
                    name, LeavingSign.LISTED, now, revision
                )
