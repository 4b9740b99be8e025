"""The next steps towards the sheet, and what the fleet waits for.

`next_steps` is a pure function of a snapshot: any daemon may call it at
any time, and a plan that was cut off is taken up from the rows alone.  It
returns all steps that are allowed now, at most one for each pool, so that
their transactions don't touch each other's rows.

The order: new sheet's wishes into the pool rows; hosts under way; moves;
maintenance.  Moves go before maintenance where a budget allows only one.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final
from zlib import crc32

from lycheelug.blockers import Blocker, BlockerKind
from lycheelug.budgets import budgets_of, rack_of
from lycheelug.moves import plan_placement
from lycheelug.plan_hosts import HostProgress
from lycheelug.plan_pools import adoption_step, pools_to_adopt, shortages
from lycheelug.records import (
    SHEET_KEY,
    HostPhase,
    HostRow,
    host_key,
)
from lycheelug.steps import Change, ChangeKind, PlatformCall, Step, StepBuilder
from lycheelug.store.interface import ABSENT, HostState
from lycheelug.waves import (
    MAINTENANCE_AHEAD_S,
    MAINTENANCE_INTERVAL_S,
    is_late,
    next_window_start,
    open_until,
    plan_waves,
)

if TYPE_CHECKING:
    from lycheelug.budgets import PoolBudget
    from lycheelug.fleet import FleetSnapshot, Versioned
    from lycheelug.moves import Move
    from lycheelug.sheet import Sheet
    from lycheelug.waves import Wave

__all__ = ["Plan", "next_steps"]

MAX_CHANGES_PER_STEP: Final = 64


class Plan:
    """What can be done now, what is left, and what is waited for."""

    __slots__ = ("blockers", "calls", "moves", "steps")

    def __init__(self) -> None:
        self.steps: list[Step] = []
        self.calls: list[PlatformCall] = []
        self.blockers: list[Blocker] = []
        self.moves: list[Move] = []

    @property
    def done(self) -> bool:
        """Nothing is left to do, and nothing is waited for."""
        return not (self.steps or self.calls or self.blockers or self.moves)


class _Planner:
    """One run of the planning over one snapshot."""

    __slots__ = (
        "_budgets",
        "_builders",
        "_fleet",
        "_now",
        "_sheet",
        "_to_adopt",
        "_zones",
        "plan",
    )

    def __init__(
        self,
        fleet: FleetSnapshot,
        sheet: Sheet,
        now: float,
        zones: frozenset[str] | None,
    ) -> None:
        self._fleet = fleet
        self._sheet = sheet
        self._now = now
        self._zones = zones
        self._budgets: dict[str, PoolBudget] = budgets_of(fleet)
        self._builders: dict[str, StepBuilder] = {}
        self._to_adopt = pools_to_adopt(fleet, sheet)
        self.plan = Plan()

    def run(self, maintenance: bool) -> Plan:
        adoption = adoption_step(self._fleet, self._sheet, self._to_adopt)
        if adoption.changes:
            self.plan.steps.append(adoption)
        placement = plan_placement(self._sheet, self._fleet)
        self.plan.moves = [move for move in placement if move.source]
        self._advance(placement)
        self._enrol([move for move in placement if not move.source])
        self._move()
        if maintenance:
            self._maintain()
        for blocker in shortages(self._fleet, self._sheet, placement):
            if self._mine(blocker.waiting_for[0]):
                self.plan.blockers.append(blocker)
        for builder in self._builders.values():
            if builder.step.changes:
                self.plan.steps.append(builder.finished())
        return self.plan

    def _mine(self, zone: str) -> bool:
        return self._zones is None or zone in self._zones

    def _builder(self, pool: str) -> StepBuilder | None:
        """Return the pool's step, if it can take one more change."""
        versioned = self._fleet.pools.get(pool)
        if versioned is None:
            return None
        builder = self._builders.get(pool)
        if builder is None:
            builder = StepBuilder(self._fleet, versioned, self._now)
            self._builders[pool] = builder
        if len(builder.step.changes) >= MAX_CHANGES_PER_STEP:
            return None
        return builder

    def _advance(self, placement: list[Move]) -> None:
        """Take hosts under way one phase on."""
        targets = {move.host: move.target for move in placement}
        progress = HostProgress(self._fleet, self._sheet, self._now, targets)
        for name in sorted(self._fleet.hosts):
            host = self._fleet.hosts[name]
            if not self._mine(host.row.zone):
                continue
            if not progress.needs_step(host):
                continue
            if host.row.pool in self._to_adopt:
                # The adoption writes the pool's row now.
                continue
            builder = self._builder(host.row.pool)
            if builder is not None:
                progress.advance(host, builder)
        self.plan.calls.extend(progress.calls)
        self.plan.blockers.extend(progress.blockers)

    def _enrol(self, placements: list[Move]) -> None:
        """Create rows for new hosts; no daemon dispatches to them yet."""
        step: Step | None = None
        for move in placements:
            if not self._mine(move.zone):
                continue
            if step is None or len(step.changes) >= MAX_CHANGES_PER_STEP:
                guards = {SHEET_KEY: self._fleet.sheet_revision}
                step = Step([], guards, {}, set())
                self.plan.steps.append(step)
            key = host_key(move.zone, move.host)
            step.guards[key] = ABSENT
            step.rows[key] = self._new_row(move)
            step.zones.add(move.zone)
            step.changes.append(
                Change(ChangeKind.ENROL, move.target, move.host, move.target)
            )

    def _new_row(self, move: Move) -> HostRow:
        """Return a new host's row; racks start at spread-out ages."""
        span = MAINTENANCE_INTERVAL_S - MAINTENANCE_AHEAD_S
        rack = f"{move.zone}/{move.rack}".encode()
        age = crc32(rack) / 2**32 * span
        # Epochs grow by at most one a write, so this one is above those of
        # an earlier row of the same host.
        key = host_key(move.zone, move.host)
        epoch = max(self._fleet.table_revision, self._fleet.newest(key)) + 1
        return HostRow(
            move.host,
            move.zone,
            move.rack,
            move.target,
            epoch=epoch,
            maintained_at=self._now - age,
            address=self._fleet.listed[move.host].address,
            since=self._now,
            list_revision=self._fleet.list_revision,
        )

    def _move(self) -> None:
        """Drain the hosts of moves, as far as budgets let them out."""
        held: Counter[str] = Counter()
        behind: set[str] = set()
        for move in self.plan.moves:
            host = self._fleet.hosts[move.host]
            if not self._mine(move.zone):
                continue
            if host.row.phase is not HostPhase.SERVING:
                continue
            if not self._is_current(move.source):
                behind.add(move.source)
            elif not self._drain(host, move.target):
                held[move.source] += 1
        self._note_held(held, "moves")
        for pool in sorted(behind):
            self.plan.blockers.append(
                Blocker(
                    BlockerKind.VIEW_BEHIND,
                    f"pool {pool}",
                    (),
                    "waiting for this daemon's view of the pool's row",
                )
            )

    def _is_current(self, pool: str) -> bool:
        """Tell whether the hosts seen are as new as the pool's row.

        A host that left the pool after the view's revision is in the view
        still, but no longer among the row's hosts that are out.
        """
        versioned = self._fleet.pools.get(pool)
        if versioned is None:
            return False
        if versioned.revision > self._fleet.table_revision:
            return False
        return pool not in self._to_adopt

    def _drain(self, host: Versioned[HostRow], target: str) -> bool:
        """Drain a host if its pool's budget allows it.

        A host that the pool's step has no place for waits for the next
        one, which is not a matter of the budget.
        """
        row = host.row
        budget = self._budgets.get(row.pool)
        if budget is None or not budget.can_stop_host(rack_of(row)):
            return False
        builder = self._builder(row.pool)
        if builder is None:
            return True
        budget.count_stopped(rack_of(row))
        builder.drain(host, target)
        return True

    def _note_held(self, held: Counter[str], what: str) -> None:
        for pool in sorted(held):
            budget = self._budgets.get(pool)
            available = budget.available if budget is not None else 0
            minimum = budget.min_available if budget is not None else 0
            self.plan.blockers.append(
                Blocker(
                    BlockerKind.BUDGET,
                    f"pool {pool}",
                    (),
                    f"{held[pool]} {what} wait for its availability budget "
                    f"({available} available, {minimum} must stay)",
                )
            )

    def _maintain(self) -> None:
        """Start the next wave of each zone whose window is open."""
        busy = self._racks_out()
        moving = {move.host for move in self.plan.moves}
        held: Counter[str] = Counter()
        closed: dict[str, int] = {}
        for wave in plan_waves(self._fleet, self._now):
            if not self._mine(wave.zone):
                continue
            if open_until(self._sheet.windows, wave.zone, self._now) is None:
                closed[wave.zone] = closed.get(wave.zone, 0) + len(wave.hosts)
                continue
            if busy.get(wave.zone, {wave.rack}) != {wave.rack}:
                continue
            if self._start_wave(wave, moving, held):
                busy[wave.zone] = {wave.rack}
        self._note_held(held, "hosts due for maintenance")
        for zone in sorted(closed):
            self.plan.blockers.append(self._window_blocker(zone, closed[zone]))

    def _start_wave(
        self, wave: Wave, moving: set[str], held: Counter[str]
    ) -> bool:
        started = False
        for row in wave.hosts:
            if row.name in moving or not self._is_current(row.pool):
                continue
            if self._drain(self._fleet.hosts[row.name], ""):
                started = True
            else:
                held[row.pool] += 1
        return started

    def _racks_out(self) -> dict[str, set[str]]:
        """Return the racks by zone that are out for maintenance now.

        A host that does not come back keeps its budget spent, but does not
        hold up the other racks.
        """
        racks: dict[str, set[str]] = {}
        for versioned in self._fleet.hosts.values():
            row = versioned.row
            if row.phase is HostPhase.SERVING or row.target:
                continue
            if self._fleet.state(row.name) is HostState.GONE:
                continue
            if not is_late(row, self._now):
                racks.setdefault(row.zone, set()).add(row.rack)
        return racks

    def _window_blocker(self, zone: str, hosts: int) -> Blocker:
        start = next_window_start(self._sheet.windows, zone, self._now)
        when = "the sheet has none" if start is None else f"opens at {start:g}"
        return Blocker(
            BlockerKind.WINDOW,
            f"zone {zone}",
            (),
            f"{hosts} hosts due wait for a maintenance window: {when}",
        )


def next_steps(
    fleet: FleetSnapshot,
    now: float,
    zones: frozenset[str] | None = None,
    maintenance: bool = True,
) -> Plan:
    """Return what can be done now towards the sheet in some zones.

    `zones` of None means all zones.
    """
    if fleet.sheet is None:
        plan = Plan()
        plan.blockers.append(
            Blocker(BlockerKind.NO_SHEET, "fleet", (), "no sheet is accepted")
        )
        return plan
    return _Planner(fleet, fleet.sheet, now, zones).run(maintenance)
