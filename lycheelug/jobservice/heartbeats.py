"""Writes this daemon's heartbeat and reads those of the duty group.

Each member of the duty group rewrites one row of its own, and all members
follow the table's feed.  A heartbeat also has the address at which its daemon
can be reached, the capacity of its host, and the duties that it holds but
can't do the work of.  A daemon outside the group does neither.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec
from returns.result import Failure

from lycheelug.decoding import decode_json
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
# The same while this daemon decides whether to join the group: it must see
# soon that others have joined.
WATCH_PAUSE_S: Final = 0.05
# The feed answers at least this often, so that a connection that has
# stopped responding is detected.
FEED_WAIT_S: Final = 0.5
# After this many heartbeats a new daemon counts as settled, because the
# others have seen it by then.
SETTLED_HEARTBEATS: Final = 6
# A member without a heartbeat for this long, a period and a half, does not
# count for the size of the group.
MEMBER_TIMEOUT_S: Final = 0.6
# The rows of daemons that are silent for longer than this are removed.
SILENT_REMOVE_S: Final = 60.0
# If no heartbeat has passed for this long, failing work does not show that
# another daemon could do it.
PASS_GAP_S: Final = 1.0


class Heartbeats:
    """Writes this daemon's heartbeat and tracks the other daemons."""

    __slots__ = (
        "_beats",
        "_clock",
        "_feed",
        "_followed",
        "_incarnation",
        "_is_leaving",
        "_member",
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
        # The heartbeats since this daemon has joined the group.
        self._beats = 0
        self._is_leaving = False
        # Set while the heartbeats are wanted, and while this daemon writes
        # its own.
        self._followed = asyncio.Event()
        self._member = asyncio.Event()
        # Reads the heartbeats.
        self._feed: asyncio.Task[None] | None = None
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

    @property
    def is_member(self) -> bool:
        """Whether this daemon is in the duty group."""
        return self._member.is_set()

    @property
    def was_member(self) -> bool:
        """Whether this daemon was in the duty group when its last life ended.

        That life wrote a heartbeat and did not leave.
        """
        last = self._records.get(self._name)
        if last is None or last.leaving:
            return False
        return last.incarnation != self._incarnation

    def zones(self, now: float) -> dict[str, str]:
        """Return the zones of the duty group's live members by name.

        A member counts for less time than the holder of a duty does: it
        costs little to join a group that is complete.
        """
        return {
            name: self._records[name].zone
            for name in self.liveness.members(now, MEMBER_TIMEOUT_S)
        }

    def weights(self) -> dict[str, float]:
        """Return the capacity of all known members' hosts by name."""
        return {name: each.weight for name, each in self._records.items()}

    def addresses(self, now: float) -> list[tuple[str, str]]:
        """Return the zone and address of each live member."""
        found: list[tuple[str, str]] = []
        for name in sorted(self.liveness.members(now)):
            record = self._records[name]
            found.append((record.zone, record.address))
        return found

    def follow(self, is_wanted: bool) -> None:
        """Begin or stop to read the heartbeats."""
        if is_wanted:
            self._replica.pause_s = WATCH_PAUSE_S
            self._followed.set()
            return
        self._followed.clear()
        self._replica.loaded.clear()
        if self._feed is not None:
            self._feed.cancel()

    def join(self) -> None:
        """Write heartbeats from now on."""
        self.follow(True)
        self._member.set()

    async def leave_group(self) -> None:
        """Stop writing heartbeats, and tell the other members."""
        self._member.clear()
        self._beats = 0
        self._sequence += 1
        await self._commit(True)

    async def follow_peers(self) -> None:
        """Follow the members' heartbeats whenever wanted, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._followed.wait()
            self._feed = loop.create_task(self._replica.run())
            try:
                await asyncio.wait([self._feed])
            finally:
                self._feed.cancel()
            if not self._feed.cancelled():
                self._feed.result()

    async def write_periodically(self) -> None:
        """Write this daemon's heartbeat while it is a member."""
        while True:
            await self._member.wait()
            began = self._clock.now()
            if not self._is_leaving:
                await self._write()
            spent_s = self._clock.now() - began
            self.liveness.record_write_delay(spent_s)
            await asyncio.sleep(
                max(HEARTBEAT_PERIOD_S / 4, HEARTBEAT_PERIOD_S - spent_s)
            )

    async def remove_silent(self) -> None:
        """Remove the rows of daemons that have been silent for long."""
        now = self._clock.now()
        silent = self.liveness.silent(now, SILENT_REMOVE_S)
        for row in self._replica.rows:
            if row.key not in silent:
                continue
            name = RowName(DAEMONS_TABLE, row.key)
            result = await self._store.commit(
                row.part, {name: row.version}, {name: None}
            )
            if isinstance(result, Failure):
                return
            log_change("heartbeat-removed", daemon=row.key)

    async def leave(self) -> None:
        """Announce to the others that this daemon is stopping."""
        self._is_leaving = True
        if self.is_member:
            await self._write()

    def refresh_own(self) -> None:
        """Count this daemon as alive, even if its row is old."""
        self.liveness.refresh(self._name, self._incarnation, self._clock.now())

    async def _write(self) -> None:
        """Write the heartbeat row; a failed write is not retried.

        The next heartbeat replaces it.
        """
        self._sequence += 1
        self._beats += 1
        if self._beats >= SETTLED_HEARTBEATS:
            self._replica.pause_s = FEED_PAUSE_S
        is_gap = self._clock.now() - self._passed_at > PASS_GAP_S
        has_passed = await self._commit(
            self._is_leaving, self._stalled_duties(is_gap)
        )
        if not has_passed:
            return
        self._passed_at = self._clock.now()
        if is_gap:
            self._on_gap_end()

    async def _commit(
        self, is_leaving: bool, stalled: list[str] | None = None
    ) -> bool:
        """Write the row once; return False if that failed."""
        record = HeartbeatRecord(
            self._incarnation,
            self._zone,
            self.address,
            self._sequence,
            is_leaving,
            self._weight,
            stalled or [],
        )
        name = RowName(DAEMONS_TABLE, self._name)
        result = await self._store.commit(
            self._name, {}, {name: msgspec.json.encode(record)}
        )
        return not isinstance(result, Failure)

    def _on_row(self, row: StoredRow) -> None:
        """Record one heartbeat."""
        if row.value is None:
            self._records.pop(row.key, None)
            self.liveness.remove(row.key)
            return
        heartbeat = decode_json(row.value, HeartbeatRecord).value_or(None)
        if heartbeat is None:
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
