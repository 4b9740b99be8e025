"""Knows the addresses of a few other daemons, which relay store calls.

Each daemon writes its address to a row, once at its start and then rarely,
and reads the rows of some daemons of its own zone: those after its own in
the order of a hash.  So each daemon is known to a few others, and what one
reads doesn't grow with the number of daemons.  A daemon that writes no
heartbeats reads its own row often, which shows whether the store can be
reached, and how fast it answers.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Final
from zlib import crc32

import msgspec
from returns.result import Failure

from lycheelug.decoding import decode_json
from lycheelug.logs import log_change
from lycheelug.ownership import PEERS_TABLE, PeerRecord
from lycheelug.store.rows import RowName

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.jobservice.clock import Clock
    from lycheelug.store.rows import RowStore, StoredRow

__all__ = ["PeerDirectory"]

# How often the rows are read.
READ_S: Final = 5.0
# How often a daemon that writes no heartbeats reads its own row, to detect
# that the store doesn't answer: as often as others write a heartbeat.
PROBE_S: Final = 0.4
# How much longer than a read a small write takes.
WRITE_FACTOR: Final = 2.0
WRITE_S: Final = 20.0
# A row that was not written for this long belongs to no daemon any more.
EXPIRY_S: Final = 100.0
# The range of hashes, and how many rows a read is to return.
HASHES: Final = 4096
ROWS_MIN: Final = 4
ROWS_MAX: Final = 10


class PeerDirectory:
    """The addresses of some daemons in this daemon's zone."""

    __slots__ = (
        "_clock",
        "_is_leaving",
        "_is_member",
        "_key",
        "_name",
        "_on_probe",
        "_peers",
        "_store",
        "_width",
        "_written_at",
        "_zone",
        "address",
    )

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        name: str,
        zone: str,
        is_member: Callable[[], bool],
        on_probe: Callable[[float], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._name = name
        self._zone = zone
        # Whether this daemon is in the duty group.
        self._is_member = is_member
        # Told how long a small write would take, in seconds.
        self._on_probe = on_probe
        self._key = f"{crc32(name.encode()) % HASHES:03x}/{name}"
        # The width of the range of hashes that is read.
        self._width = HASHES // 8
        # Addresses by name.
        self._peers: dict[str, str] = {}
        self._written_at = -math.inf
        self._is_leaving = False
        # The address of this daemon for the others; empty for none.
        self.address = ""

    def peers(self, members: list[tuple[str, str]]) -> list[str]:
        """Return the addresses that were read last, and those of members.

        `members` are the zones and addresses of the duty group; those of
        other zones come last.  Each daemon has another order of the others,
        so that calls are spread over all.
        """
        ranked = sorted(
            self._peers,
            key=lambda name: crc32(f"{self._name}\0{name}".encode()),
        )
        found = [self._peers[name] for name in ranked]
        for zone, address in members:
            if zone == self._zone:
                found.append(address)
        for zone, address in members:
            if zone != self._zone:
                found.append(address)
        unusable = ("", self.address)
        return [each for each in dict.fromkeys(found) if each not in unusable]

    async def run(self) -> None:
        """Write and read until cancelled."""
        read_at = -math.inf
        while True:
            began = self._clock.now()
            if not self._is_leaving:
                await self._write()
                if began - read_at >= READ_S:
                    is_enough = await self._read()
                    read_at = began if is_enough else -math.inf
                elif not self._is_member():
                    await self._probe()
            spent_s = self._clock.now() - began
            await asyncio.sleep(max(PROBE_S / 4, PROBE_S - spent_s))

    async def leave(self) -> None:
        """Remove this daemon's row."""
        self._is_leaving = True
        name = RowName(PEERS_TABLE, self._key)
        await self._store.commit(self._zone, {}, {name: None})

    async def _write(self) -> None:
        """Write this daemon's row if it is due."""
        now = self._clock.now()
        if now - self._written_at < WRITE_S or not self.address:
            return
        record = PeerRecord(self._name, self.address, self._clock.unix_ms())
        name = RowName(PEERS_TABLE, self._key)
        result = await self._store.commit(
            self._zone, {}, {name: msgspec.json.encode(record)}
        )
        if not isinstance(result, Failure):
            self._written_at = now

    async def _read(self) -> bool:
        """Read the rows of some daemons; the width adapts to their number.

        Return whether the next read has time.
        """
        own = int(self._key[:3], 16)
        first = max(0, min(own, HASHES - self._width))
        end = first + self._width
        result = await self._store.read(
            PEERS_TABLE,
            self._zone,
            f"{first:03x}",
            f"{end:03x}" if end < HASHES else "~",
        )
        if isinstance(result, Failure):
            return True
        rows = result.unwrap().rows
        is_enough = len(rows) >= ROWS_MIN or self._width == HASHES
        if len(rows) < ROWS_MIN:
            self._width = min(HASHES, self._width * 2)
        elif len(rows) > ROWS_MAX:
            self._width = max(1, self._width // 2)
        self._peers = {}
        for row in rows:
            await self._use_row(row)
        return is_enough

    async def _probe(self) -> None:
        """Read this daemon's row; record how long a write would take."""
        began = self._clock.now()
        await self._store.read(
            PEERS_TABLE, self._zone, self._key, self._key + "\0"
        )
        self._on_probe((self._clock.now() - began) * WRITE_FACTOR)

    async def _use_row(self, row: StoredRow) -> None:
        """Add a row's address, or remove the row if it is too old."""
        if row.key == self._key or row.value is None:
            return
        record = decode_json(row.value, PeerRecord).value_or(None)
        if record is None:
            log_change("row-unreadable", table=row.table, key=row.key)
            return
        if self._clock.unix_ms() - record.at_ms < EXPIRY_S * 1000:
            self._peers[record.name] = record.address
            return
        name = RowName(PEERS_TABLE, row.key)
        await self._store.commit(self._zone, {name: row.version}, {name: None})
        log_change("peer-expired", daemon=record.name)
