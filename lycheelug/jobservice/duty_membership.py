"""Keeps a daemon in the duty group or out of it, as the group needs it.

Members publish a census of the group.  A daemon outside the group follows
only that; it reads the heartbeats, to decide whether to join, while the
census shows a group that is too small or is not published any more.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.decoding import decode_json
from lycheelug.logs import log_change
from lycheelug.ownership import (
    CENSUS_KEY,
    CENSUS_PART,
    OWNERS_TABLE,
    CensusRecord,
    DutyGroup,
)
from lycheelug.store.rows import RowName

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.jobservice.clock import Clock
    from lycheelug.jobservice.heartbeats import Heartbeats
    from lycheelug.store.rows import RowStore, StoredRow

__all__ = ["CENSUS_INTERVAL_S", "DutyMembership"]

# How often the group's first member publishes the census.
CENSUS_INTERVAL_S: Final = 2.0
# Without a census for this long, while the table in which it is published
# can be read, no member may be left.
CENSUS_LATE_S: Final = 4.5
# The table is read at least each two seconds; a longer gap is an outage.
READ_GAP_S: Final = 3.0
# The intervals of the decision while the heartbeats are read, and otherwise.
WATCH_INTERVAL_S: Final = 0.05
IDLE_INTERVAL_S: Final = 0.5
# A daemon that doesn't join stops reading the heartbeats after this time.
WATCH_S: Final = 2.0
# A new member claims nothing before this time, and sees the others' heartbeats
# as soon as they are written meanwhile.
JOIN_SETTLE_S: Final = 0.2
# A member leaves the group no sooner than this after it has joined.
STAY_MIN_S: Final = 10.0

CENSUS_ROW: Final = RowName(OWNERS_TABLE, CENSUS_KEY)


class DutyMembership:
    """Decides whether this daemon takes part in the ownership of duties."""

    __slots__ = (
        "_census",
        "_census_at",
        "_clock",
        "_count_duties",
        "_group",
        "_heartbeats",
        "_holds_duties",
        "_is_leaving",
        "_joined_at",
        "_name",
        "_number",
        "_owners_read_at",
        "_store",
        "_watched_since",
    )

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        name: str,
        zone: str,
        weight: float,
        heartbeats: Heartbeats,
        count_duties: Callable[[], int],
        holds_duties: Callable[[], bool],
    ) -> None:
        self._store = store
        self._clock = clock
        self._name = name
        self._heartbeats = heartbeats
        # Returns the number of duties of the whole deployment.
        self._count_duties = count_duties
        # Returns whether this daemon holds a duty.
        self._holds_duties = holds_duties
        self._group = DutyGroup(name, zone, weight)
        self._census: CensusRecord | None = None
        # Local times at which the census last changed, and at which the
        # table of owners was last read.
        self._census_at = clock.now()
        self._owners_read_at = clock.now()
        self._number = 0
        self._joined_at = 0.0
        self._is_leaving = False
        # Local time since when the heartbeats are read without joining.
        self._watched_since: float | None = None

    @property
    def has_settled(self) -> bool:
        """Whether the other members have had time to see this one."""
        if not self._heartbeats.is_member:
            return False
        return self._clock.now() - self._joined_at >= JOIN_SETTLE_S

    def member_addresses(self) -> list[tuple[str, str]]:
        """Return the zone and address of each member, as last known."""
        if self._heartbeats.is_member:
            return self._heartbeats.addresses(self._clock.now())
        return list(self._census.members) if self._census is not None else []

    def record_census(self, row: StoredRow) -> None:
        """Apply a new census."""
        census = decode_json(row.value or b"", CensusRecord).value_or(None)
        if census is None:
            log_change("row-unreadable", table=row.table, part=row.part)
            return
        self._census = census
        self._census_at = self._clock.now()

    def record_owners_read(self) -> None:
        """Record that the table with the census was read.

        After a gap, the next census is awaited as long as usual: it could
        not be published meanwhile.
        """
        now = self._clock.now()
        if now - self._owners_read_at > READ_GAP_S:
            self._census_at = now
        self._owners_read_at = now

    def leave(self) -> None:
        """Neither join the group any more nor publish the census."""
        self._is_leaving = True

    async def run(self) -> None:
        """Join and leave the group as needed, until cancelled."""
        self._watch()
        while not self._is_leaving:
            if self._heartbeats.is_member:
                await self._review()
            elif self._watched_since is not None:
                self._decide_to_join(self._watched_since)
            elif self._is_census_short():
                self._watch()
            is_watching = self._watched_since is not None
            await asyncio.sleep(
                WATCH_INTERVAL_S if is_watching else IDLE_INTERVAL_S
            )

    async def publish_census(self) -> None:
        """Publish the census at intervals while first in the group."""
        while True:
            await asyncio.sleep(CENSUS_INTERVAL_S)
            heartbeats = self._heartbeats
            if not heartbeats.is_member or not heartbeats.is_current:
                continue
            now = self._clock.now()
            members = heartbeats.zones(now)
            if self._is_leaving or self._name != min(members, default=""):
                continue
            self._number += 1
            census = CensusRecord(self._number, heartbeats.addresses(now))
            await self._store.commit(
                CENSUS_PART, {}, {CENSUS_ROW: msgspec.json.encode(census)}
            )
            await heartbeats.remove_silent()

    def _watch(self) -> None:
        """Read the heartbeats, to decide whether to join."""
        self._watched_since = self._clock.now()
        self._heartbeats.follow(True)

    def _is_census_short(self) -> bool:
        """Whether the census shows that the group may need this daemon.

        A census that was not read says nothing about the group.
        """
        if self._owners_read_at - self._census_at > CENSUS_LATE_S:
            return True
        if self._census is None:
            return False
        zones = [zone for zone, _ in self._census.members]
        return self._group.is_short(zones, self._count_duties())

    def _decide_to_join(self, since: float) -> None:
        """Join if the group is too small, or stop watching if it is not."""
        now = self._clock.now()
        if not self._heartbeats.is_current:
            return
        zones = self._heartbeats.zones(now)
        duties = self._count_duties()
        weights = self._heartbeats.weights().values()
        known_weight = max(weights, default=0.0)
        # After a restart of all, the group is the same again at once.
        if self._heartbeats.was_member or self._group.should_join(
            zones, duties, now, known_weight
        ):
            self._watched_since = None
            self._joined_at = now
            self._heartbeats.join()
            log_change("group-joined", members=len(zones), duties=duties)
            return
        is_short = self._group.is_short(zones.values(), duties)
        if not is_short and now - since > WATCH_S:
            self._watched_since = None
            self._heartbeats.follow(False)
            # The next census is awaited as long as usual.
            self._census_at = now
            log_change("group-not-joined", members=len(zones), duties=duties)

    async def _review(self) -> None:
        """Leave the group if it has too many members."""
        now = self._clock.now()
        if self._holds_duties() or now - self._joined_at < STAY_MIN_S:
            return
        if not self._heartbeats.is_current:
            return
        zones = self._heartbeats.zones(now)
        weights = self._heartbeats.weights()
        if not self._group.should_leave(zones, weights, self._count_duties()):
            return
        log_change("group-left", members=len(zones))
        await self._heartbeats.leave_group()
        self._heartbeats.follow(False)
        self._census_at = self._clock.now()
