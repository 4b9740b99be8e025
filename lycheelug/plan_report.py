"""Reports on the fleet's plan: dry run of a sheet, and current progress.

`explain_plan` simulates the steps that a driver would take, on a copy of
the snapshot in which no acknowledgement is waited for and no host fails.  A
round is one planning pass over the fleet: hosts that start to drain in one
round serve their next pool in the following one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.budgets import budgets_of
from lycheelug.moves import plan_moves
from lycheelug.plan import next_steps
from lycheelug.records import HostPhase, encode
from lycheelug.steps import ChangeKind
from lycheelug.store.interface import Row
from lycheelug.waves import next_window_start, open_until, plan_waves

if TYPE_CHECKING:
    from lycheelug.blockers import Blocker
    from lycheelug.fleet import FleetSnapshot
    from lycheelug.moves import Move
    from lycheelug.sheet import Sheet
    from lycheelug.steps import Change, Step

__all__ = [
    "PlanExplanation",
    "PlannedRound",
    "PlannedWave",
    "PoolCount",
    "PoolState",
    "Progress",
    "explain_plan",
    "progress",
]

# Estimated duration of a round whose drains end at once: daemons read the
# changed rows, their acknowledgements arrive, and the driver writes.
ROUND_S: Final = 3.0
MAX_ROUNDS: Final = 10_000


class PoolCount:
    """A pool's availability budget at the end of a round."""

    __slots__ = ("available", "min_available", "pool", "slack")

    def __init__(
        self, pool: str, available: int, min_available: int, slack: int
    ) -> None:
        self.pool = pool
        self.available = available
        self.min_available = min_available
        # Available hosts above the minimum and, if the pool must survive the
        # loss of a rack, above the hosts of one more rack.
        self.slack = slack


class PlannedRound:
    """The changes of one round and the budgets of the affected pools."""

    __slots__ = ("budgets", "changes", "number")

    def __init__(
        self, number: int, changes: list[Change], budgets: list[PoolCount]
    ) -> None:
        self.number = number
        self.changes = changes
        self.budgets = budgets


class PlannedWave:
    """The maintenance of one rack: its due hosts and its earliest start."""

    __slots__ = ("hosts", "rack", "starts_at", "zone")

    def __init__(
        self, zone: str, rack: str, hosts: list[str], starts_at: float | None
    ) -> None:
        self.zone = zone
        self.rack = rack
        self.hosts = hosts
        # Unix time in seconds; None if the zone has no window.
        self.starts_at = starts_at


class PlanExplanation:
    """The moves, rounds and maintenance waves that a sheet leads to."""

    __slots__ = ("blockers", "moves", "rounds", "waves")

    def __init__(
        self,
        moves: list[Move],
        rounds: list[PlannedRound],
        waves: list[PlannedWave],
        blockers: list[Blocker],
    ) -> None:
        self.moves = moves
        self.rounds = rounds
        self.waves = waves
        # Blockers that remain after the last round, such as budgets.
        self.blockers = blockers

    @property
    def expected_s(self) -> float:
        """Expected duration of the moves if drains end at once."""
        return len(self.rounds) * ROUND_S


def explain_plan(
    sheet: Sheet, fleet: FleetSnapshot, now: float = 0.0
) -> PlanExplanation:
    """Simulate the fleet's plan as if the sheet were submitted now."""
    moves = plan_moves(sheet, fleet)
    simulated = fleet.copy()
    simulated.entries.clear()
    simulated.sheet = sheet
    simulated.sheet_revision = simulated.table_revision + 1
    simulated.table_revision = simulated.sheet_revision
    rounds: list[PlannedRound] = []
    blockers: list[Blocker] = []
    while len(rounds) < MAX_ROUNDS:
        plan = next_steps(simulated, now, None, maintenance=False)
        blockers = plan.blockers
        if not plan.steps:
            break
        for step in plan.steps:
            apply_step(simulated, step)
        rounds.append(_planned_round(len(rounds) + 1, plan.steps, simulated))
    return PlanExplanation(
        moves, rounds, _planned_waves(sheet, fleet, now), blockers
    )


def apply_step(fleet: FleetSnapshot, step: Step) -> None:
    """Apply a step's rows to a snapshot, as if it had been committed."""
    revision = fleet.table_revision + 1
    for key, row in step.rows.items():
        value = encode(row) if row is not None else None
        fleet.apply_row(Row(key, value, revision))
    fleet.table_revision = revision


def _planned_round(
    number: int, steps: list[Step], fleet: FleetSnapshot
) -> PlannedRound:
    changes = [change for step in steps for change in step.changes]
    affected: set[str] = set()
    for change in changes:
        if change.kind in (ChangeKind.ADOPT, ChangeKind.DROP):
            continue
        affected.update({change.pool, change.target} - {""})
    budgets = budgets_of(fleet)
    counts = [
        PoolCount(pool, budget.available, budget.min_available, budget.slack)
        for pool, budget in sorted(budgets.items())
        if pool in affected
    ]
    return PlannedRound(number, changes, counts)


def _planned_waves(
    sheet: Sheet, fleet: FleetSnapshot, now: float
) -> list[PlannedWave]:
    waves: list[PlannedWave] = []
    for wave in plan_waves(fleet, now):
        starts_at: float | None = now
        if open_until(sheet.windows, wave.zone, now) is None:
            starts_at = next_window_start(sheet.windows, wave.zone, now)
        names = [row.name for row in wave.hosts]
        waves.append(PlannedWave(wave.zone, wave.rack, names, starts_at))
    return waves


class PoolState:
    """Actual and wanted number of hosts of a pool in a zone."""

    __slots__ = ("has", "pool", "wanted", "zone")

    def __init__(self, pool: str, zone: str, has: int, wanted: int) -> None:
        self.pool = pool
        self.zone = zone
        self.has = has
        self.wanted = wanted


class Progress:
    """Progress of the fleet towards the sheet in force."""

    __slots__ = (
        "blockers",
        "moves_left",
        "on_the_way",
        "operator",
        "pools",
        "sheet_revision",
    )

    def __init__(self, fleet: FleetSnapshot) -> None:
        self.sheet_revision = fleet.sheet_revision
        row = fleet.sheet_row
        self.operator = row.operator if row is not None else ""
        self.moves_left = 0
        # Names of the hosts that drain or are out for maintenance.
        self.on_the_way: list[str] = []
        self.pools: list[PoolState] = []
        self.blockers: list[Blocker] = []

    @property
    def matched(self) -> bool:
        """Whether the fleet matches the sheet, apart from maintenance."""
        if not self.sheet_revision or self.moves_left:
            return False
        return all(pool.has >= pool.wanted for pool in self.pools)


def progress(fleet: FleetSnapshot, now: float) -> Progress:
    """Return the fleet's pools, remaining moves and blockers."""
    result = Progress(fleet)
    plan = next_steps(fleet, now)
    result.blockers = plan.blockers
    result.moves_left = len(plan.moves)
    host_counts: dict[tuple[str, str], int] = {}
    for name in sorted(fleet.hosts):
        row = fleet.hosts[name].row
        if row.phase is not HostPhase.SERVING:
            result.on_the_way.append(name)
            if row.target:
                result.moves_left += 1
                continue
        elif not fleet.in_service(row):
            continue
        host_counts[row.pool, row.zone] = (
            host_counts.get((row.pool, row.zone), 0) + 1
        )
    if fleet.sheet is None:
        return result
    for pool in sorted(fleet.sheet.pools):
        for zone in fleet.zones():
            count = host_counts.get((pool, zone), 0)
            wanted = fleet.sheet.wanted(pool, zone)
            result.pools.append(PoolState(pool, zone, count, wanted))
    return result
