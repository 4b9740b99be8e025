"""Fills an embedded platform with the pools and hosts of the settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.records import HostRow, PoolRow, encode, host_key, pool_key
from lycheelug.store import (
    ABSENT,
    Guard,
    HostEntry,
    Transaction,
    Write,
)
from lycheelug.store.memory import MemoryPlatform

if TYPE_CHECKING:
    from lycheelug.settings import Settings
    from lycheelug.store import Platform

__all__ = ["fill_embedded"]


async def fill_embedded(platform: Platform, settings: Settings) -> None:
    """Write the configured pools and hosts to an embedded platform.

    Do nothing for any other platform.
    """
    if not isinstance(platform, MemoryPlatform):
        return
    guards: list[Guard] = []
    writes: list[Write] = []
    for pool in settings.platform.pools:
        key = pool_key(pool.name)
        row = PoolRow(
            pool.name,
            min_available=pool.min_available,
            spare=pool.spare,
            slots=pool.slots,
            connections=pool.connections,
        )
        guards.append(Guard(key, ABSENT))
        writes.append(Write(key, encode(row)))
    for host in settings.platform.hosts:
        key = host_key(settings.zone, host.name)
        entry = HostEntry(host.name, settings.zone, host.rack, host.address)
        platform.put_host(entry)
        host_row = HostRow(
            host.name,
            settings.zone,
            host.rack,
            host.pool,
            address=host.address,
        )
        guards.append(Guard(key, ABSENT))
        writes.append(Write(key, encode(host_row)))
    await platform.transact(Transaction(guards, writes, "embedded"))
