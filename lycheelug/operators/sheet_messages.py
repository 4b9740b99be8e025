"""The JSON messages of the operators' interface about sheets and plans."""

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
    """The outcome of a check or a submission of a sheet.

    `outcome` is clean, faults, accepted, refused or unknown.
    """

    outcome: str
    revision: int = 0
    code: str = ""
    detail: str = ""
    faults: list[SheetFaultView] = []
    changes: list[str] = []


class MoveView(msgspec.Struct):
    """The move of one host from a pool to another."""

    host: str
    zone: str
    rack: str
    source: str
    target: str


class ChangeView(msgspec.Struct):
    """One change in a round of a plan."""

    kind: str
    pool: str
    host: str
    target: str


class BudgetView(msgspec.Struct):
    """The disruption budget of a pool after a round."""

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
    """The maintenance of one rack; `starts_at` is in Unix seconds."""

    zone: str
    rack: str
    hosts: list[str]
    starts_at: float | None


class PlanView(msgspec.Struct):
    """The plan that a sheet would cause, as a preview."""

    moves: list[MoveView]
    rounds: list[RoundView]
    waves: list[WaveView]
    blockers: list[str]
    expected_s: float


class PoolStateView(msgspec.Struct):
    """The present and the required number of a pool's hosts in a zone."""

    pool: str
    zone: str
    has: int
    wanted: int


class ProgressView(msgspec.Struct):
    """The progress of the fleet towards the sheet in force."""

    sheet_revision: int
    operator: str
    matched: bool
    moves_left: int
    on_the_way: list[str]
    pools: list[PoolStateView]
    blockers: list[str]


def fault_views(faults: Iterable[SheetFault]) -> list[SheetFaultView]:
    """Return the messages for the faults of a sheet."""
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
    """Return the message for a plan."""
    rounds: list[RoundView] = []
    for planned_round in plan.rounds:
        changes = [
            ChangeView(item.kind.value, item.pool, item.host, item.target)
            for item in planned_round.changes
        ]
        budgets = [
            BudgetView(
                item.pool, item.available, item.min_available, item.slack
            )
            for item in planned_round.budgets
        ]
        rounds.append(RoundView(planned_round.number, changes, budgets))
    moves = [
        MoveView(move.host, move.zone, move.rack, move.source, move.target)
        for move in plan.moves
    ]
    waves = [
        WaveView(wave.zone, wave.rack, wave.hosts, wave.starts_at)
        for wave in plan.waves
    ]
    blockers = [str(blocker) for blocker in plan.blockers]
    return PlanView(moves, rounds, waves, blockers, plan.expected_s)


def progress_view(progress: Progress) -> ProgressView:
    """Return the message for the progress of the fleet."""
    pools = [
        PoolStateView(pool.pool, pool.zone, pool.has, pool.wanted)
        for pool in progress.pools
    ]
    return ProgressView(
        progress.sheet_revision,
        progress.operator,
        progress.matched,
        progress.moves_left,
        progress.on_the_way,
        pools,
        [str(blocker) for blocker in progress.blockers],
    )
