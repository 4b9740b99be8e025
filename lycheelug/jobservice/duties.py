"""Claims, holds and releases the duties of a daemon.

A duty is the ownership of a pool or of the fleet plan.  A claim is a
conditional write of the duty's owner row with a term that is one higher.
Heartbeats only decide when a daemon attempts a claim; the conditional
write decides who gets the duty.  A holder whose work fails while its
heartbeat passes names the duty there, and another daemon claims it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec
from returns.result import Failure

from lycheelug.jobservice.duty_membership import DutyMembership
from lycheelug.jobservice.heartbeats import Heartbeats
from lycheelug.jobservice.held_duty import HeldDuty
from lycheelug.jobservice.owner_table import OwnerTable
from lycheelug.jobservice.peer_directory import PeerDirectory
from lycheelug.jobservice.tables import FLEET_PART, OWNER_ROW
from lycheelug.logs import log_change, log_fault
from lycheelug.ownership import (
    OwnerRecord,
    choose_claims,
    choose_successor,
)
from lycheelug.store.rows import RowCommit
from lycheelug.supervision import describe_error, supervise

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.jobservice.clock import Clock
    from lycheelug.jobservice.held_duty import DutyHolder
    from lycheelug.metrics import Metrics
    from lycheelug.store.rows import RowStore

__all__ = ["Duties"]

# A new daemon claims nothing before it has had time to read the heartbeats
# of the others.
SETTLE_S: Final = 0.6
# How long the highest-ranked daemon has to claim a free duty before the
# next one tries.
CLAIM_TURN_S: Final = 0.4


class Duties:
    """Tracks the owners of all duties and manages those of one daemon."""

    __slots__ = (
        "_clock",
        "_directory",
        "_free_since",
        "_held",
        "_incarnation",
        "_leaving",
        "_make_holder",
        "_metrics",
        "_name",
        "_owners",
        "_pools",
        "_started_at",
        "_store",
        "_tasks",
        "_undecided",
        "_wake",
        "heartbeats",
        "membership",
    )

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        name: str,
        incarnation: str,
        zone: str,
        pools: Callable[[], list[str]],
        make_holder: Callable[[str, OwnerRecord, int], DutyHolder],
        metrics: Metrics,
        weight: float = 1.0,
    ) -> None:
        self._metrics = metrics
        self._store = store
        self._clock = clock
        self._name = name
        self._incarnation = incarnation
        # Returns the pools that need an owner.
        self._pools = pools
        # Creates the holder of a duty from its name, owner row and version.
        self._make_holder = make_holder
        # Local times at which duties were first seen without a live holder.
        self._free_since: dict[str, float] = {}
        self._held: dict[str, HeldDuty] = {}
        # Duties whose claim may have taken effect without an answer.
        self._undecided: set[str] = set()
        self._leaving = False
        self._started_at = clock.now()
        self._tasks: list[asyncio.Task[None]] = []
        self._wake = asyncio.Event()
        self.heartbeats = Heartbeats(
            store,
            clock,
            name,
            incarnation,
            zone,
            self._wake.set,
            self._stalled_duties,
            self._restart_limits,
            weight,
        )
        self.membership = DutyMembership(
            store,
            clock,
            name,
            zone,
            weight,
            self.heartbeats,
            lambda: len(pools()) + 1,
            lambda: bool(self._held),
        )
        self._owners = OwnerTable(
            store,
            self._on_owner,
            self.membership.record_census,
            self.membership.record_owners_read,
        )
        self._directory = PeerDirectory(
            store,
            clock,
            name,
            zone,
            lambda: self.heartbeats.is_member,
            self.heartbeats.liveness.record_write_delay,
        )

    @property
    def held(self) -> dict[str, DutyHolder]:
        """The holders of this daemon's duties by duty."""
        return {duty: held.holder for duty, held in self._held.items()}

    @property
    def owners(self) -> dict[str, OwnerRecord]:
        """The last known owner record of each duty."""
        return self._owners.records

    def owner_address(self, duty: str) -> str:
        """Return the address of the other daemon that holds a duty.

        Empty if this daemon holds the duty, or the address is unknown.
        """
        return self._owners.address(duty, self._name)

    def peers(self) -> list[str]:
        """Return addresses of other daemons, those of this zone first."""
        return self._directory.peers(self.membership.member_addresses())

    def start(self, address: str) -> None:
        """Start to claim duties; other daemons reach this one at `address`."""
        self.heartbeats.address = address
        self._directory.address = address
        loop = asyncio.get_running_loop()
        for name, work in (
            ("owners", self._owners.replica.run),
            ("heartbeat", self.heartbeats.write_periodically),
            ("heartbeats", self.heartbeats.follow_peers),
            ("claims", self._claim_loop),
            ("group", self.membership.run),
            ("census", self.membership.publish_census),
            ("peers", self._directory.run),
        ):
            self._tasks.append(
                loop.create_task(supervise(name, work, self._metrics))
            )

    async def release(self) -> None:
        """Release all duties and announce that this daemon is leaving."""
        self._leaving = True
        self.membership.leave()
        releases = [self._release_duty(duty) for duty in list(self._held)]
        await asyncio.gather(
            *releases, self.heartbeats.leave(), self._directory.leave()
        )

    async def stop(self) -> None:
        """Cancel all tasks without releasing the duties."""
        for held in self._held.values():
            held.task.cancel()
        for task in self._tasks:
            task.cancel()

    # --- Claims.

    def _on_owner(self, duty: str, record: OwnerRecord, version: int) -> None:
        """Act on a changed owner row."""
        if record.holder:
            self.heartbeats.liveness.record_claim(
                record.holder, record.incarnation, version, self._clock.now()
            )
        held = self._held.get(duty)
        if held is not None and version > held.version:
            held.holder.revoke(f"held by {record.holder or 'nobody'}")
        self._wake.set()

    async def _claim_loop(self) -> None:
        """Claim duties without a live owner after each relevant change."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            self._remove_finished()
            now = self._clock.now()
            is_settled = now - self._started_at >= SETTLE_S
            # A row of this daemon's last life doesn't make it a member.
            is_member = is_settled and self.membership.has_settled
            if self._leaving or not is_member:
                continue
            if not self._owners.is_loaded or not self.heartbeats.is_current:
                continue
            pools = self._pools()
            if not pools:
                continue
            self.heartbeats.refresh_own()
            duties = [*pools, FLEET_PART]
            claims = choose_claims(
                self._name,
                duties,
                self._effective_owners(),
                self.heartbeats.liveness,
                now,
                self._count_turns(duties, now),
            )
            claims = list(dict.fromkeys([*self._won_claims(duties), *claims]))
            # A claim may take seconds, so the rows that the choice is based
            # on are the conditions of all of them.
            known = {duty: self._owners.get(duty) for duty in claims}
            for duty in claims:
                if duty not in self._held:
                    await self._claim(duty, known[duty])

    def _won_claims(self, duties: list[str]) -> list[str]:
        """Return the duties whose unanswered claim has taken effect.

        To the other daemons they have a live holder, so nobody else claims
        them, and there are no turns to wait for.
        """
        found: list[str] = []
        for duty in duties:
            owner = self._owners.get(duty)
            if owner is None or duty not in self._undecided:
                continue
            if owner[0].incarnation == self._incarnation:
                found.append(duty)
        return found

    def _count_turns(self, duties: list[str], now: float) -> dict[str, int]:
        """Count the claim turns that have passed for each free duty."""
        turns: dict[str, int] = {}
        owners = self._effective_owners()
        for duty in duties:
            owner = owners.get(duty)
            if owner is not None and self.heartbeats.liveness.is_serving(
                owner.holder, owner.incarnation, duty, now
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
        """Return the owners, without duties that this daemon has dropped.

        The stored row may still name this daemon after its holder ended.
        """
        found: dict[str, OwnerRecord] = {}
        for duty, record in self.owners.items():
            if record.holder != self._name or duty in self._held:
                found[duty] = record
        return found

    def _remove_finished(self) -> None:
        """Remove the duties whose holder task has finished."""
        for duty, held in list(self._held.items()):
            if not held.task.done():
                continue
            del self._held[duty]
            error = None if held.task.cancelled() else held.task.exception()
            if error is not None:
                log_change("defect", duty=duty, error=describe_error(error))
                self._metrics.count("defects")

    def _count_stalled(self, duty: str, former: OwnerRecord) -> int:
        """Return how many holders in a row were replaced as stalled."""
        if former.incarnation == self._incarnation:
            # It repeats its own claim.
            return former.stalled_before
        if self.heartbeats.liveness.is_stalled(former.holder, duty):
            return former.stalled_before + 1
        return 0

    async def _claim(
        self, duty: str, known: tuple[OwnerRecord, int] | None
    ) -> None:
        """Claim a duty by a conditional write of its owner row.

        `known` is that row and its version.
        """
        term = known[0].term + 1 if known is not None else 1
        version = known[1] if known is not None else 0
        record = OwnerRecord(self._name, self._incarnation, term)
        record.address = self.heartbeats.address
        if known is not None:
            record.stalled_before = self._count_stalled(duty, known[0])
            record.is_after_release = not known[0].holder
        result = await self._store.commit(
            duty,
            {OWNER_ROW: version},
            {OWNER_ROW: msgspec.json.encode(record)},
        )
        if isinstance(result, Failure):
            # If the write took effect, the feed delivers the row, and the
            # next claim replaces it with a higher term.
            log_fault("claim-undecided", result.failure(), duty=duty)
            self._undecided.add(duty)
            return
        self._undecided.discard(duty)
        outcome = result.unwrap()
        if not isinstance(outcome, RowCommit):
            # Another daemon was faster; the answer has its row.
            row = outcome.rows.get(OWNER_ROW)
            if row is not None and row.version > version:
                self._owners.apply(row)
            return
        log_change(
            "duty-claimed",
            duty=duty,
            term=term,
            former=known[0].holder if known is not None else "",
            stalled_before=record.stalled_before,
        )
        self._owners.put(duty, record, outcome.version)
        holder = self._make_holder(duty, record, outcome.version)
        task = asyncio.get_running_loop().create_task(holder.run())
        task.add_done_callback(lambda _: self._wake.set())
        self._held[duty] = HeldDuty(holder, record, outcome.version, task)

    def _restart_limits(self) -> None:
        """Restart the limits of failing work: heartbeats pass again."""
        for held in self._held.values():
            held.holder.work.restart_limit(self._clock.now())

    def _stalled_duties(self, is_gap: bool) -> list[str]:
        """Return the held duties whose work has failed for too long.

        `is_gap` says that this daemon's heartbeats have not passed either.
        """
        now = self._clock.now()
        delay_s = self.heartbeats.liveness.write_delay_s
        found: list[str] = []
        for duty, held in self._held.items():
            if held.check_stalled(duty, now, delay_s, is_gap):
                found.append(duty)
        return found

    async def _release_duty(self, duty: str) -> None:
        """Release a duty so that its successor can claim it at once."""
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
        # Count this duty for its successor, so that the next released
        # duty goes to a less loaded daemon.
        self._owners.put(duty, record, held.version)
        is_stored = await self._owners.store_release(
            duty, record, held.version
        )
        log_change(
            "duty-given-back",
            duty=duty,
            term=held.record.term,
            successor=successor,
            stored=is_stored,
        )
