"""Planner of the next steps that bring the fleet to the state of the sheet.

The sheet is the operators' table of the desired state: the hosts of each
pool by zone, availability budgets, tenant quotas and maintenance windows.

`next_steps` is a pure function of a snapshot of the fleet, so any daemon
may call it at any time, and an interrupted plan is resumed from the stored
rows alone.  It returns every step that is allowed now, at most one for each
pool, so that the transactions of two steps don't write the same rows; and
it names the conditions (blockers) that the remaining steps wait for.

Steps are planned in this order: write the sheet's values into the pool
rows; advance hosts that are being moved or maintained; start moves; start
maintenance.  A budget that allows only one stop is thus spent on a move
before maintenance.

The planner does no I/O; `plan_driver` commits the steps.
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
    """Steps and calls that are allowed now, remaining moves and blockers."""

    __slots__ = ("blockers", "calls", "moves", "steps")

    def __init__(self) -> None:
        self.steps: list[Step] = []
        self.calls: list[PlatformCall] = []
        self.blockers: list[Blocker] = []
        self.moves: list[Move] = []

    @property
    def is_done(self) -> bool:
        """Whether no step, call, move or blocker remains."""
        return not (self.steps or self.calls or self.blockers or self.moves)


class _Planner:
    """A single planning pass over one snapshot."""

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
        self._advance_hosts(placement)
        self._enrol_hosts([move for move in placement if not move.source])
        self._drain_moving_hosts()
        if maintenance:
            self._start_waves()
        for blocker in shortages(self._fleet, self._sheet, placement):
            if self._is_in_scope(blocker.waiting_for[0]):
                self.plan.blockers.append(blocker)
        for builder in self._builders.values():
            if builder.step.changes:
                self.plan.steps.append(builder.build())
        return self.plan

    def _is_in_scope(self, zone: str) -> bool:
        return self._zones is None or zone in self._zones

    def _builder_for(self, pool: str) -> StepBuilder | None:
        """Return the builder of the pool's step.

        Return None if the pool has no row, or if its step holds the maximum
        number of changes.
        """
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

    def _advance_hosts(self, placement: list[Move]) -> None:
        """Advance each host that is moved or maintained by one phase."""
        targets = {move.host: move.target for move in placement}
        progress = HostProgress(self._fleet, self._sheet, self._now, targets)
        for name in sorted(self._fleet.hosts):
            host = self._fleet.hosts[name]
            if not self._is_in_scope(host.row.zone):
                continue
            if not progress.needs_step(host):
                continue
            if host.row.pool in self._to_adopt:
                # The adoption step already writes the pool's row in this
                # pass; a second write would conflict with it.
                continue
            builder = self._builder_for(host.row.pool)
            if builder is not None:
                progress.advance(host, builder)
        self.plan.calls.extend(progress.calls)
        self.plan.blockers.extend(progress.blockers)

    def _enrol_hosts(self, placements: list[Move]) -> None:
        """Add steps that create the rows of new hosts.

        No daemon dispatches to a host without a row, so no budget and no
        acknowledgement is needed.
        """
        step: Step | None = None
        for move in placements:
            if not self._is_in_scope(move.zone):
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
        """Return the row of a new host.

        The time of its last maintenance is derived from a hash of its rack,
        so that the racks of a new fleet don't fall due all at once.
        """
        age_range_s = MAINTENANCE_INTERVAL_S - MAINTENANCE_AHEAD_S
        rack = f"{move.zone}/{move.rack}".encode()
        age_s = crc32(rack) / 2**32 * age_range_s
        # An epoch grows by at most one per write, so this one exceeds every
        # epoch of a deleted row of the same host.
        key = host_key(move.zone, move.host)
        epoch = (
            max(self._fleet.table_revision, self._fleet.newest_revision(key))
            + 1
        )
        return HostRow(
            move.host,
            move.zone,
            move.rack,
            move.target,
            epoch=epoch,
            maintained_at=self._now - age_s,
            address=self._fleet.listed[move.host].address,
            since=self._now,
            list_revision=self._fleet.list_revision,
        )

    def _drain_moving_hosts(self) -> None:
        """Start to drain hosts to be moved, as far as budgets allow."""
        over_budget: Counter[str] = Counter()
        stale_pools: set[str] = set()
        for move in self.plan.moves:
            host = self._fleet.hosts[move.host]
            if not self._is_in_scope(move.zone):
                continue
            if host.row.phase is not HostPhase.SERVING:
                continue
            if not self._is_view_current(move.source):
                stale_pools.add(move.source)
            elif not self._drain_if_allowed(host, move.target):
                over_budget[move.source] += 1
        self._add_budget_blockers(over_budget, "moves")
        for pool in sorted(stale_pools):
            self.plan.blockers.append(
                Blocker(
                    BlockerKind.VIEW_BEHIND,
                    f"pool {pool}",
                    (),
                    "waiting for this daemon's view of the pool to catch up",
                )
            )

    def _is_view_current(self, pool: str) -> bool:
        """Return whether the view's hosts are as new as the pool's row.

        A host that left the pool after the view's revision still belongs to
        it in the view, but the newer pool row no longer lists it as out of
        service: the budget would count it as available.
        """
        versioned = self._fleet.pools.get(pool)
        if versioned is None:
            return False
        if versioned.revision > self._fleet.table_revision:
            return False
        return pool not in self._to_adopt

    def _drain_if_allowed(self, host: Versioned[HostRow], target: str) -> bool:
        """Start to drain a host unless its pool's budget forbids it.

        Return False only if the budget forbids it.  A host that does not
        fit into the pool's step is left for the next step.
        """
        row = host.row
        budget = self._budgets.get(row.pool)
        if budget is None or not budget.can_stop_host(rack_of(row)):
            return False
        builder = self._builder_for(row.pool)
        if builder is None:
            return True
        budget.count_stopped(rack_of(row))
        builder.drain(host, target)
        return True

    def _add_budget_blockers(
        self, over_budget: Counter[str], subjects: str
    ) -> None:
        for pool in sorted(over_budget):
            budget = self._budgets.get(pool)
            available = budget.available if budget is not None else 0
            minimum = budget.min_available if budget is not None else 0
            self.plan.blockers.append(
                Blocker(
                    BlockerKind.BUDGET,
                    f"pool {pool}",
                    (),
                    f"{over_budget[pool]} {subjects} wait for its "
                    f"availability budget ({available} available, "
                    f"{minimum} must stay)",
                )
            )

    def _start_waves(self) -> None:
        """Start the next maintenance wave of each zone with an open window."""
        racks_out = self._racks_in_maintenance()
        moving = {move.host for move in self.plan.moves}
        over_budget: Counter[str] = Counter()
        waiting_hosts: dict[str, int] = {}
        for wave in plan_waves(self._fleet, self._now):
            if not self._is_in_scope(wave.zone):
                continue
            if open_until(self._sheet.windows, wave.zone, self._now) is None:
                waiting_hosts[wave.zone] = waiting_hosts.get(
                    wave.zone, 0
                ) + len(wave.hosts)
                continue
            if racks_out.get(wave.zone, {wave.rack}) != {wave.rack}:
                continue
            if self._start_wave(wave, moving, over_budget):
                racks_out[wave.zone] = {wave.rack}
        self._add_budget_blockers(over_budget, "hosts due for maintenance")
        for zone in sorted(waiting_hosts):
            self.plan.blockers.append(
                self._window_blocker(zone, waiting_hosts[zone])
            )

    def _start_wave(
        self, wave: Wave, moving: set[str], over_budget: Counter[str]
    ) -> bool:
        started = False
        for row in wave.hosts:
            if row.name in moving or not self._is_view_current(row.pool):
                continue
            if self._drain_if_allowed(self._fleet.hosts[row.name], ""):
                started = True
            else:
                over_budget[row.pool] += 1
        return started

    def _racks_in_maintenance(self) -> dict[str, set[str]]:
        """Return the racks that are out for maintenance, by zone.

        A host that does not return from its reboot in time still counts
        against its pool's budget, but does not block the other racks.
        """
        racks: dict[str, set[str]] = {}
        for versioned in self._fleet.hosts.values():
            row = versioned.row
            if row.phase is HostPhase.SERVING or row.target:
                continue
            if self._fleet.listed_state(row.name) is HostState.GONE:
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
            f"{hosts} due hosts wait for a maintenance window: {when}",
        )


def next_steps(
    fleet: FleetSnapshot,
    now: float,
    zones: frozenset[str] | None = None,
    maintenance: bool = True,
) -> Plan:
    """Return the steps that bring some zones closer to the sheet.

    If `zones` is None, all zones are planned.  Without `maintenance`, no
    new maintenance wave is started.
    """
    if fleet.sheet is None:
        plan = Plan()
        plan.blockers.append(
            Blocker(
                BlockerKind.NO_SHEET, "fleet", (), "no sheet has been accepted"
            )
        )
        return plan
    return _Planner(fleet, fleet.sheet, now, zones).run(maintenance)
