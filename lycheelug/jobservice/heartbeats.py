"""Writes this daemon's heartbeat and reads those of the other daemons.

Each daemon rewrites one row of its own, and all follow the table's feed.
A heartbeat also has the address at which its daemon can be reached, the
capacity of its host, and the duties that it holds but can't do the work of.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final
from zlib import crc32

import msgspec
from returns.result import Failure

from lycheelug.logs import log_change
from lycheelug.ownership import DAEMONS_TABLE, HeartbeatRecord, Liveness
from lycheelug.store.replica import TableReplica
from lycheelug.store.rows import RowName

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.jobservice.clock import Clock
    from lycheelug.store.rows import RowStore, StoredRow

__all__ = ["HEARTBEAT_PERIOD_S", "Heartbeats"]

# A third of the time after which a daemon without a heartbeat counts as dead.
HEARTBEAT_PERIOD_S: Final = 0.4
# After a gap of this length between two reads of the heartbeats, all daemons
# are assumed alive for a grace period: their heartbeats could not be seen.
READ_GAP_S: Final = 1.2
# The pause between two calls to the feed: less than a heartbeat period, so
# that each heartbeat is seen separately.
FEED_PAUSE_S: Final = 0.3
# The feed answers at least this often, so that a connection that has
# stopped responding is detected.
FEED_WAIT_S: Final = 0.5
# After this many heartbeats a new daemon counts as settled, because the
# others have seen it by then.
SETTLED_HEARTBEATS: Final = 6
# If no heartbeat has passed for this long, failing work does not show that
# another daemon could do it.
PASS_GAP_S: Final = 1.0


class Heartbeats:
    """Writes this daemon's heartbeat and tracks the other daemons."""

    __slots__ = (
        "_clock",
        "_incarnation",
        "_is_leaving",
        "_name",
        "_on_gap_end",
        "_on_update",
        "_passed_at",
        "_records",
        "_replica",
        "_sequence",
        "_stalled_duties",
        "_store",
        "_weight",
        "_zone",
        "address",
        "liveness",
    )

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        name: str,
        incarnation: str,
        zone: str,
        on_update: Callable[[], None],
        stalled_duties: Callable[[bool], list[str]],
        on_gap_end: Callable[[], None],
        weight: float = 1.0,
    ) -> None:
        # Returns the duties whose work fails here, and is told whether
        # heartbeats have not passed for a while.
        self._stalled_duties = stalled_duties
        # Called when the first heartbeat has passed after that.
        self._on_gap_end = on_gap_end
        # Local time of the last heartbeat that passed.
        self._passed_at = clock.now()
        self._weight = weight
        self._store = store
        self._clock = clock
        self._name = name
        self._incarnation = incarnation
        self._zone = zone
        # The address of this daemon for the others; empty for none.
        self.address = ""
        # Called after each answer of the feed.
        self._on_update = on_update
        self._records: dict[str, HeartbeatRecord] = {}
        self._sequence = 0
        self._is_leaving = False
        self.liveness = Liveness()
        self._replica = TableReplica(
            store,
            DAEMONS_TABLE,
            self._on_row,
            pause_s=FEED_PAUSE_S,
            wait_s=FEED_WAIT_S,
            on_answer=self._on_answer,
        )

    @property
    def is_current(self) -> bool:
        """Whether the heartbeats were read recently."""
        return self.liveness.is_current(self._clock.now(), READ_GAP_S)

    def peers(self) -> list[str]:
        """Return the other daemons' addresses, those of this zone first.

        While heartbeats can't be read, the last known ones are used.
        """
        found: list[tuple[bool, int, str]] = []
        for name, heartbeat in self._records.items():
            if (
                name == self._name
                or not heartbeat.address
                or heartbeat.leaving
            ):
                continue
            rank = crc32(f"{self._name}\0{name}".encode())
            found.append(
                (heartbeat.zone != self._zone, rank, heartbeat.address)
            )
        return [address for _, _, address in sorted(found)]

    def address_of(self, name: str, incarnation: str) -> str:
        """Return the address of a daemon's incarnation; empty for none."""
        heartbeat = self._records.get(name)
        if heartbeat is None or heartbeat.incarnation != incarnation:
            return ""
        return heartbeat.address

    async def follow_peers(self) -> None:
        """Follow the other daemons' heartbeats until cancelled."""
        await self._replica.run()

    async def write_periodically(self) -> None:
        """Write this daemon's heartbeat until cancelled."""
        while True:
            began = self._clock.now()
            if not self._is_leaving:
                await self._write()
            spent_s = self._clock.now() - began
            self.liveness.record_write_delay(spent_s)
            await asyncio.sleep(
                max(HEARTBEAT_PERIOD_S / 4, HEARTBEAT_PERIOD_S - spent_s)
            )

    async def leave(self) -> None:
        """Announce to the others that this daemon is stopping."""
        self._is_leaving = True
        await self._write()

    def refresh_own(self) -> None:
        """Count this daemon as alive, even if its row is old."""
        self.liveness.refresh(self._name, self._incarnation, self._clock.now())

    async def _write(self) -> None:
        """Write the heartbeat row; a failed write is not retried.

        The next heartbeat replaces it.
        """
        self._sequence += 1
        is_gap = self._clock.now() - self._passed_at > PASS_GAP_S
        record = HeartbeatRecord(
            self._incarnation,
            self._zone,
            self.address,
            self._sequence,
            self._is_leaving,
            self._weight,
            self._stalled_duties(is_gap),
        )
        name = RowName(DAEMONS_TABLE, self._name)
        result = await self._store.commit(
            self._name, {}, {name: msgspec.json.encode(record)}
        )
        if isinstance(result, Failure):
            return
        self._passed_at = self._clock.now()
        if is_gap:
            self._on_gap_end()

    def _on_row(self, row: StoredRow) -> None:
        """Record one heartbeat."""
        if row.value is None:
            self._records.pop(row.key, None)
            self.liveness.remove(row.key)
            return
        try:
            heartbeat = msgspec.json.decode(row.value, type=HeartbeatRecord)
        except (msgspec.DecodeError, UnicodeDecodeError):
            log_change("row-unreadable", table=row.table, key=row.key)
            return
        self._records[row.key] = heartbeat
        self.liveness.record_heartbeat(
            row.key,
            heartbeat.incarnation,
            row.version,
            self._clock.now(),
            heartbeat.leaving,
            heartbeat.beat >= SETTLED_HEARTBEATS,
            heartbeat.weight,
            heartbeat.stalled,
        )

    def _on_answer(self) -> None:
        """Record that the feed has answered."""
        self.liveness.record_read(self._clock.now(), READ_GAP_S)
        self._on_update()
