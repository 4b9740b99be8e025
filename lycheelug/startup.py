"""Joining and leaving the fleet of entry daemons.

A daemon joins through the platform's table and becomes ready once its view
has reached the revision of its join. While the platform is unreachable, it
copies the view of another daemon, which lists it as sponsored until it has
joined, and keeps trying to join in the background.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Success

from lycheelug.entries.join import join, remove_entry
from lycheelug.entries.refresh import fetch_view
from lycheelug.errors import ENTRY_NAME_TAKEN
from lycheelug.logs import log_change, log_fault
from lycheelug.records import EntryRow

if TYPE_CHECKING:
    from lycheelug.daemon import Daemon
    from lycheelug.entries.client import EntryClient

__all__ = ["enter_fleet", "join_later", "leave_fleet", "peer_clients"]

RETRY_DELAY_S: Final = 1.0
VIEW_TIMEOUT_S: Final = 10.0
LEAVE_TIMEOUT_S: Final = 2.0


async def enter_fleet(daemon: Daemon) -> None:
    """Join, or copy a peer's view; return when dispatching is allowed."""
    while True:
        if await _join_platform(daemon):
            return
        if await _copy_view_from_peer(daemon):
            daemon.join_in_background()
            return
        await asyncio.sleep(RETRY_DELAY_S)


async def leave_fleet(daemon: Daemon) -> None:
    """Delete the daemon's row, if the platform answers in time."""
    try:
        async with asyncio.timeout(LEAVE_TIMEOUT_S):
            await remove_entry(
                daemon.core.platform, _own_row(daemon), daemon.core.rng
            )
    except TimeoutError:
        log_change("row not removed", name=daemon.core.settings.name)


async def join_later(daemon: Daemon) -> None:
    """Retry the join until it succeeds."""
    while True:
        if await _join_platform(daemon):
            return
        await asyncio.sleep(RETRY_DELAY_S)


async def _join_platform(daemon: Daemon) -> bool:
    """Join through the table, and wait until the view includes the join.

    The host list is read first, because the row of the join contains the
    revision of the list that this run has seen.
    """
    if not await daemon.watch.poll():
        return False
    if daemon.core.members.is_host_gone(daemon.core.settings.name):
        # The list still has the state of the host's former incarnation.
        return False
    joined = await join(
        daemon.core.platform, _own_row(daemon), daemon.core.rng
    )
    match joined:
        case Success(revision):
            pass
        case Failure(fault):
            if fault.code is ENTRY_NAME_TAKEN:
                log_fault("join refused", fault)
            return False
    try:
        async with asyncio.timeout(VIEW_TIMEOUT_S):
            await daemon.watch.poll_until(revision)
    except TimeoutError:
        return False
    daemon.core.join_revision = revision
    log_change("joined", revision=revision)
    return True


async def _copy_view_from_peer(daemon: Daemon) -> bool:
    """Copy the view of another daemon of the same zone."""
    for client in peer_clients(daemon):
        fetched = await fetch_view(
            client,
            daemon.core.view,
            daemon.sync.on_rows,
            daemon.core.settings.name,
        )
        if fetched == Success(True):
            log_change("view from peer", peer=client.address)
            return True
    return False


def peer_clients(daemon: Daemon) -> list[EntryClient]:
    """Return clients of the known members, followed by the seeds."""
    addresses = list(daemon.core.members.addresses().values())
    for seed in daemon.core.settings.seeds:
        if seed not in addresses:
            addresses.append(seed)
    return [daemon.core.clients.get(address) for address in addresses]


def _own_row(daemon: Daemon) -> EntryRow:
    """Return the row with which the daemon joins."""
    own = daemon.core.members.own
    return EntryRow(
        own.name,
        own.zone,
        own.address,
        own.run,
        daemon.core.view.host_list_revision,
    )
