"""Claims duties for this daemon, holds them and gives them back.

A duty is a pool or the fleet's planning.  Claims are conditional writes of
the owner's row with a term one higher; heartbeats only tell when a claim
is worth a try.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final, Protocol

import msgspec
from returns.result import Failure, Success

from lycheelug.jobservice.heartbeats import Heartbeats
from lycheelug.jobservice.tables import FLEET_PART, OWNER_ROW
from lycheelug.logs import log_change, log_fault
from lycheelug.ownership import (
    OWNER_KEY,
    OWNERS_TABLE,
    OwnerRecord,
    choose_claims,
    choose_successor,
)
from lycheelug.store.replica import TableReplica
from lycheelug.store.rows import RowCommit

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.jobservice.clock import Clock
    from lycheelug.store.rows import RowStore, StoredRow

__all__ = ["Duties", "DutyHolder"]

# A new daemon waits for the others to show up before it claims anything.
SETTLE_S: Final = 0.6
# A daemon whose turn it is has this long to claim a duty.
CLAIM_TURN_S: Final = 0.4
# Giving a duty back is tried again while the store does not answer: an
# owner that is gone without it is missed only by its heartbeat.
RELEASE_ATTEMPTS: Final = 6
RELEASE_RETRY_S: Final = 0.2


class DutyHolder(Protocol):
    """What carries out a duty while it is held."""

    async def run(self) -> None:
        """Carry it out until it is lost."""

    def revoke(self, reason: str) -> None:
        """End it: another holder was seen."""

    async def hand_over(self) -> None:
        """Bring what is known to the store before the duty is given back."""


class _HeldDuty:
    """A duty in this daemon's hands."""

    __slots__ = ("holder", "record", "task", "version")

    def __init__(
        self,
        holder: DutyHolder,
        record: OwnerRecord,
        version: int,
        task: asyncio.Task[None],
    ) -> None:
        self.holder = holder
        self.record = record
        self.version = version
        self.task = task


class Duties:
    """The duties of one daemon."""

    __slots__ = (
        "_clock",
        "_free_since",
        "_held",
        "_incarnation",
        "_leaving",
        "_make_holder",
        "_name",
        "_owners",
        "_pools",
        "_replica",
        "_started_at",
        "_store",
        "_tasks",
        "_wake",
        "heartbeats",
    )

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        name: str,
        incarnation: str,
        zone: str,
        pools: Callable[[], list[str]],
        make_holder: Callable[[str, int, int], DutyHolder],
    ) -> None:
        self._store = store
        self._clock = clock
        self._name = name
        self._incarnation = incarnation
        # The pools that need an owner.
        self._pools = pools
        # Makes the holder of a duty from its name, term and row version.
        self._make_holder = make_holder
        self._replica = TableReplica(store, OWNERS_TABLE, self._on_owner_row)
        # Local times since which duties were seen without a holder.
        self._free_since: dict[str, float] = {}
        self._owners: dict[str, tuple[OwnerRecord, int]] = {}
        self._held: dict[str, _HeldDuty] = {}
        self._leaving = False
        self._started_at = clock.now()
        self._tasks: list[asyncio.Task[None]] = []
        self._wake = asyncio.Event()
        self.heartbeats = Heartbeats(
            store, clock, name, incarnation, zone, self._wake.set
        )

    @property
    def held(self) -> dict[str, DutyHolder]:
        """The duties held, with what carries them out."""
        return {duty: held.holder for duty, held in self._held.items()}

    @property
    def owners(self) -> dict[str, OwnerRecord]:
        """Who holds which duty, as far as is known."""
        return {duty: record for duty, (record, _) in self._owners.items()}

    def owner_address(self, duty: str) -> str:
        """Return where a duty's holder is reached; empty for nowhere."""
        owner = self._owners.get(duty)
        if owner is None or owner[0].holder == self._name:
            return ""
        record = owner[0]
        return self.heartbeats.address_of(record.holder, record.incarnation)

    def start(self) -> None:
        """Begin to show that this daemon lives, and to claim duties."""
        loop = asyncio.get_running_loop()
        for work in (
            self._replica.run(),
            self.heartbeats.write_periodically(),
            self.heartbeats.follow_peers(),
            self._claim_loop(),
        ):
            self._tasks.append(loop.create_task(work))

    async def release(self) -> None:
        """Give all duties back, and say that this daemon leaves."""
        self._leaving = True
        releases = [self._release_duty(duty) for duty in list(self._held)]
        await asyncio.gather(*releases, self.heartbeats.leave())

    async def stop(self) -> None:
        """End everything at once."""
        for held in self._held.values():
            held.task.cancel()
        for task in self._tasks:
            task.cancel()

    # --- Claims.

    def _on_owner_row(self, row: StoredRow) -> None:
        """Take in who holds a duty."""
        if row.key != OWNER_KEY or row.value is None:
            return
        try:
            record = msgspec.json.decode(row.value, type=OwnerRecord)
        except msgspec.DecodeError:
            log_change("row-unreadable", table=row.table, part=row.part)
            return
        self._owners[row.part] = (record, row.version)
        log_change(
            "duty-seen",
            duty=row.part,
            holder=record.holder,
            term=record.term,
            version=row.version,
        )
        held = self._held.get(row.part)
        if held is not None and row.version > held.version:
            held.holder.revoke(f"held by {record.holder or 'nobody'}")
        self._wake.set()

    async def _claim_loop(self) -> None:
        """Claim what nobody holds, whenever something has changed."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            self._remove_finished()
            now = self._clock.now()
            is_settled = now - self._started_at >= SETTLE_S
            if self._leaving or not is_settled:
                continue
            if not self._replica.loaded.is_set():
                continue
            if not self.heartbeats.is_current:
                continue
            pools = self._pools()
            if not pools:
                continue
            self.heartbeats.refresh_own()
            duties = [*pools, FLEET_PART]
            wanted = choose_claims(
                self._name,
                duties,
                self._effective_owners(),
                self.heartbeats.liveness,
                now,
                self._count_turns(duties, now),
            )
            for duty in wanted:
                if duty not in self._held:
                    await self._claim(duty)

    def _count_turns(self, duties: list[str], now: float) -> dict[str, int]:
        """Return how many daemons had their turn at each free duty."""
        turns: dict[str, int] = {}
        owners = self._effective_owners()
        for duty in duties:
            owner = owners.get(duty)
            if owner is not None and self.heartbeats.liveness.is_alive(
                owner.holder, owner.incarnation, now
            ):
                self._free_since.pop(duty, None)
                continue
            since = self._free_since.setdefault(duty, now)
            turns[duty] = int((now - since) / CLAIM_TURN_S)
        if self._free_since:
            loop = asyncio.get_running_loop()
            loop.call_later(CLAIM_TURN_S / 2, self._wake.set)
        return turns

    def _effective_owners(self) -> dict[str, OwnerRecord]:
        """Return who holds what, without what this daemon let go."""
        found: dict[str, OwnerRecord] = {}
        for duty, record in self.owners.items():
            if record.holder != self._name or duty in self._held:
                found[duty] = record
        return found

    def _remove_finished(self) -> None:
        """Forget the duties whose holder has ended."""
        for duty, held in list(self._held.items()):
            if held.task.done():
                del self._held[duty]

    async def _claim(self, duty: str) -> None:
        """Take a duty by a conditional write."""
        known = self._owners.get(duty)
        term = known[0].term + 1 if known is not None else 1
        version = known[1] if known is not None else 0
        record = OwnerRecord(self._name, self._incarnation, term)
        result = await self._store.commit(
            duty,
            {OWNER_ROW: version},
            {OWNER_ROW: msgspec.json.encode(record)},
        )
        if isinstance(result, Failure):
            # If it took effect, the feed brings the row, and the next
            # claim replaces it with a higher term.
            log_fault("claim-undecided", result.failure(), duty=duty)
            return
        outcome = result.unwrap()
        if not isinstance(outcome, RowCommit):
            # Somebody else was first: the answer tells who.
            row = outcome.rows.get(OWNER_ROW)
            if row is not None and row.version > version:
                self._on_owner_row(row)
            return
        log_change(
            "duty-claimed",
            duty=duty,
            term=term,
            former=known[0].holder if known is not None else "",
        )
        self._owners[duty] = (record, outcome.version)
        holder = self._make_holder(duty, term, outcome.version)
        task = asyncio.get_running_loop().create_task(holder.run())
        task.add_done_callback(lambda _: self._wake.set())
        self._held[duty] = _HeldDuty(holder, record, outcome.version, task)

    async def _release_duty(self, duty: str) -> None:
        """Give a duty back, so that its successor claims it at once."""
        held = self._held.pop(duty)
        await held.holder.hand_over()
        held.task.cancel()
        successor = choose_successor(
            self._name,
            duty,
            self.owners,
            self.heartbeats.liveness,
            self._clock.now(),
        )
        record = OwnerRecord("", "", held.record.term, successor)
        # Further duties given back go elsewhere, if they can.
        self._owners[duty] = (record, held.version)
        is_stored = False
        for _ in range(RELEASE_ATTEMPTS):
            result = await self._store.commit(
                duty,
                {OWNER_ROW: held.version},
                {OWNER_ROW: msgspec.json.encode(record)},
            )
            # After a conflict either an earlier try took effect, or the
            # duty has another holder already.
            is_stored = isinstance(result, Success)
            if is_stored:
                break
            await asyncio.sleep(RELEASE_RETRY_S)
        log_change(
            "duty-given-back",
            duty=duty,
            term=held.record.term,
            successor=successor,
            stored=is_stored,
        )
