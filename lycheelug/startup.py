"""How a daemon enters the fleet and leaves it.

It joins through the platform's table and becomes ready once its view has
reached the revision of its join.  While the platform is away it takes its
view from another daemon, which lists it as sponsored until it has joined;
it goes on trying to join in the background.
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

RETRY_S: Final = 1.0
REACH_TIMEOUT_S: Final = 10.0
LEAVE_TIMEOUT_S: Final = 2.0


async def enter_fleet(daemon: Daemon) -> None:
    """Return once the daemon has a view that it may dispatch by."""
    while True:
        if await _join_platform(daemon):
            return
        if await _take_view_from_peer(daemon):
            daemon.keep_joining()
            return
        await asyncio.sleep(RETRY_S)


async def leave_fleet(daemon: Daemon) -> None:
    """Remove the daemon's row, if the platform can be reached in time."""
    try:
        async with asyncio.timeout(LEAVE_TIMEOUT_S):
            await remove_entry(
                daemon.core.platform, _entry(daemon), daemon.core.rng
            )
    except TimeoutError:
        log_change("row not removed", name=daemon.core.settings.name)


async def join_later(daemon: Daemon) -> None:
    """Join as soon as the platform answers."""
    while True:
        if await _join_platform(daemon):
            return
        await asyncio.sleep(RETRY_S)


async def _join_platform(daemon: Daemon) -> bool:
    """Join through the table, and catch up with it.

    The host list is read first: a join tells which state of it the run
    has seen.
    """
    if not await daemon.watch.poll():
        return False
    if daemon.core.members.is_host_gone(daemon.core.settings.name):
        # The list still shows the host's former life.
        return False
    joined = await join(daemon.core.platform, _entry(daemon), daemon.core.rng)
    match joined:
        case Success(revision):
            pass
        case Failure(fault):
            if fault.code is ENTRY_NAME_TAKEN:
                log_fault("join refused", fault)
            return False
    try:
        async with asyncio.timeout(REACH_TIMEOUT_S):
            await daemon.watch.poll_until(revision)
    except TimeoutError:
        return False
    daemon.core.join_revision = revision
    log_change("joined", revision=revision)
    return True


async def _take_view_from_peer(daemon: Daemon) -> bool:
    """Copy the view of another daemon of the zone."""
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
    """Return clients of the daemons to ask, known ones before seeds."""
    addresses = list(daemon.core.members.addresses().values())
    for seed in daemon.core.settings.seeds:
        if seed not in addresses:
            addresses.append(seed)
    return [daemon.core.clients.get(address) for address in addresses]


def _entry(daemon: Daemon) -> EntryRow:
    """Return the daemon's row."""
    own = daemon.core.members.own
    return EntryRow(
        own.name,
        own.zone,
        own.address,
        own.run,
        daemon.core.view.host_list_revision,
    )
