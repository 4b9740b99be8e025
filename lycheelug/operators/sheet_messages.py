"""What the operators' interface says of sheets and plans, as JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheelug.plan_report import PlanExplanation, Progress
    from lycheelug.sheet_faults import SheetFault

__all__ = [
    "ChangeView",
    "MoveView",
    "PlanView",
    "PoolStateView",
    "ProgressView",
    "RoundView",
    "SheetFaultView",
    "SheetReply",
    "WaveView",
    "fault_views",
    "plan_view",
    "progress_view",
]


class SheetFaultView(msgspec.Struct):
    """One fault of a sheet."""

    line: int
    column: int
    heading: str
    found: str
    allowed: str
    remedy: str


class SheetReply(msgspec.Struct):
    """What became of a checked or submitted sheet.

    `outcome` is clean, faults, accepted, refused or unknown.
    """

    outcome: str
    revision: int = 0
    code: str = ""
    detail: str = ""
    faults: list[SheetFaultView] = []
    changes: list[str] = []


class MoveView(msgspec.Struct):
    """One host that changes pool."""

    host: str
    zone: str
    rack: str
    source: str
    target: str


class ChangeView(msgspec.Struct):
    """One change of a round."""

    kind: str
    pool: str
    host: str
    target: str


class BudgetView(msgspec.Struct):
    """A pool's budget after a round."""

    pool: str
    available: int
    min_available: int
    slack: int


class RoundView(msgspec.Struct):
    """One round of a plan."""

    number: int
    changes: list[ChangeView]
    budgets: list[BudgetView]


class WaveView(msgspec.Struct):
    """One rack's maintenance."""

    zone: str
    rack: str
    hosts: list[str]
    starts_at: float | None


class PlanView(msgspec.Struct):
    """What a sheet would do."""

    moves: list[MoveView]
    rounds: list[RoundView]
    waves: list[WaveView]
    blockers: list[str]
    expected_s: float


class PoolStateView(msgspec.Struct):
    """How many hosts a pool has and wants in a zone."""

    pool: str
    zone: str
    has: int
    wanted: int


class ProgressView(msgspec.Struct):
    """How far the fleet has come towards the sheet in force."""

    sheet_revision: int
    operator: str
    matched: bool
    moves_left: int
    on_the_way: list[str]
    pools: list[PoolStateView]
    blockers: list[str]


def fault_views(faults: Iterable[SheetFault]) -> list[SheetFaultView]:
    """Return a sheet's faults for operators."""
    views: list[SheetFaultView] = []
    for fault in faults:
        views.append(
            SheetFaultView(
                fault.line,
                fault.column,
                fault.heading,
                fault.found,
                fault.allowed,
                fault.remedy,
            )
        )
    return views


def plan_view(plan: PlanExplanation) -> PlanView:
    """Return a plan for operators."""
    rounds: list[RoundView] = []
    for each in plan.rounds:
        changes = [
            ChangeView(item.kind.value, item.pool, item.host, item.target)
            for item in each.changes
        ]
        budgets = [
            BudgetView(
                item.pool, item.available, item.min_available, item.slack
            )
            for item in each.budgets
        ]
        rounds.append(RoundView(each.number, changes, budgets))
    moves = [
        MoveView(move.host, move.zone, move.rack, move.source, move.target)
        for move in plan.moves
    ]
    waves = [
        WaveView(wave.zone, wave.rack, wave.hosts, wave.starts_at)
        for wave in plan.waves
    ]
    blockers = [str(each) for each in plan.blockers]
    return PlanView(moves, rounds, waves, blockers, plan.expected_s)


def progress_view(found: Progress) -> ProgressView:
    """Return the progress for operators."""
    pools = [
        PoolStateView(each.pool, each.zone, each.has, each.wanted)
        for each in found.pools
    ]
    return ProgressView(
        found.sheet_revision,
        found.operator,
        found.matched,
        found.moves_left,
        found.on_the_way,
        pools,
        [str(each) for each in found.blockers],
    )
