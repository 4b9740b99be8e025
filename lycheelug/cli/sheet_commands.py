"""The commands `sheet check`, `plan`, `apply` and `progress`."""

from __future__ import annotations

import secrets
import sys
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, Final
from urllib.parse import quote

import msgspec
from cyclopts import App

from lycheelug.cli.client import ExitCode, OperatorClient, fail, read_file
from lycheelug.cli.options import Common, CommonOptions
from lycheelug.cli.output import print_json, print_rows
from lycheelug.operators.sheet_messages import (
    PlanView,
    ProgressView,
    SheetReply,
)

__all__ = ["register"]

FOLLOW_PERIOD_S: Final = 0.5
MOVE_COLUMNS: Final = ("host", "zone", "rack", "source", "target")
CHANGE_COLUMNS: Final = ("kind", "host", "pool", "target")
BUDGET_COLUMNS: Final = ("pool", "available", "min_available", "slack")
STATE_COLUMNS: Final = ("pool", "zone", "has", "wanted")


def register(app: App) -> None:
    """Add the commands to the application."""
    group = App(name="sheet", help="Check, plan and apply a sheet.")
    group.command(cmd_sheet_check, name="check")
    group.command(cmd_sheet_plan, name="plan")
    group.command(cmd_sheet_apply, name="apply")
    group.command(cmd_sheet_progress, name="progress")
    app.command(group)


def cmd_sheet_check(file: Path, common: CommonOptions = None) -> None:
    """Show all faults of a sheet, each with line, column and remedy.

    Parameters
    ----------
    file
        The sheet as a CSV file, as a spreadsheet exports it.

    """
    common = common or Common()
    reply = common.client.post("/v1/sheet/check", read_file(file), SheetReply)
    if common.as_json:
        print_json(reply)
    _exit_on_faults(file, reply)
    if not common.as_json:
        sys.stdout.write(f"{file}: no faults\n")


def cmd_sheet_plan(file: Path, common: CommonOptions = None) -> None:
    """Show the plan of a sheet: moves, rounds, budgets and waves.

    Parameters
    ----------
    file
        The sheet as a CSV file, as a spreadsheet exports it.

    """
    common = common or Common()
    answer = common.client.call("POST", "/v1/sheet/plan", read_file(file))
    content = common.client.decode(answer, dict[str, Any])
    if "outcome" in content:
        _exit_on_faults(file, msgspec.convert(content, SheetReply))
    plan = msgspec.convert(content, PlanView)
    if common.as_json:
        print_json(plan)
        return
    _print_plan(plan, common)


def cmd_sheet_apply(
    file: Path,
    *,
    operator: str = "operator",
    based_on: int | None = None,
    timeout_s: float = 300.0,
    follow: bool = True,
    common: CommonOptions = None,
) -> None:
    """Submit a sheet and show progress until the fleet matches it.

    Parameters
    ----------
    file
        The sheet as a CSV file, as a spreadsheet exports it.
    operator
        Your name, which is stored with the sheet.
    based_on
        Revision of the sheet on which yours is based; by default, the
        sheet in force.
    timeout_s
        How long to follow, in seconds; after that the blockers are shown.
    follow
        Wait until the fleet matches the sheet.

    """
    common = common or Common()
    client = common.client
    body = read_file(file)
    if based_on is None:
        progress = client.get("/v1/sheet/progress", ProgressView)
        based_on = progress.sheet_revision
    nonce = secrets.token_hex(8)
    target = (
        f"/v1/sheet?nonce={nonce}&operator={quote(operator)}"
        f"&based_on={based_on}"
    )
    reply = client.post(target, body, SheetReply)
    _exit_unless_accepted(file, reply, nonce)
    sys.stderr.write(f"accepted as revision {reply.revision}\n")
    if follow:
        _follow(client, common, reply.revision, timeout_s)
    elif common.as_json:
        print_json(reply)


def cmd_sheet_progress(common: CommonOptions = None) -> None:
    """Show the progress of the fleet, and what blocks it."""
    common = common or Common()
    progress = common.client.get("/v1/sheet/progress", ProgressView)
    _print_progress(progress, common)


def _exit_on_faults(file: Path, reply: SheetReply) -> None:
    """End the tool if a sheet has faults."""
    if not reply.faults:
        return
    for fault in reply.faults:
        position = f"{file}:{fault.line}:{fault.column}"
        heading = f" {fault.heading}:" if fault.heading else ""
        sys.stderr.write(
            f"{position}:{heading} found {fault.found!r}; "
            f"allowed: {fault.allowed}; {fault.remedy}\n"
        )
    count = len(reply.faults)
    noun = "fault" if count == 1 else "faults"
    fail(f"{file}: {count} {noun}; nothing was changed", ExitCode.REFUSED)


def _exit_unless_accepted(file: Path, reply: SheetReply, nonce: str) -> None:
    """End the tool with the outcome of a sheet that was not accepted."""
    if reply.outcome == "accepted":
        return
    _exit_on_faults(file, reply)
    for line in reply.changes:
        sys.stderr.write(f"changed meanwhile: {line}\n")
    if reply.outcome == "unknown":
        fail(
            f"unknown ({nonce}): {reply.detail}; "
            "see 'lycheelug sheet progress' for the sheet in force",
            ExitCode.UNKNOWN,
        )
    remedy = ""
    if reply.revision:
        remedy = f"; check revision {reply.revision} and apply again"
    fail(f"refused: {reply.detail}{remedy}", ExitCode.REFUSED)


def _follow(
    client: OperatorClient, common: Common, revision: int, timeout_s: float
) -> None:
    """Show progress until the fleet matches or the timeout has passed."""
    ends_at = time.monotonic() + timeout_s
    shown = ""
    while True:
        progress = client.get("/v1/sheet/progress", ProgressView)
        if progress.sheet_revision > revision:
            fail(
                f"replaced by {progress.operator}'s sheet, "
                f"revision {progress.sheet_revision}",
                ExitCode.REFUSED,
            )
        line = f"{progress.moves_left} moves left"
        if progress.blockers:
            line += f"; {progress.blockers[0]}"
        if line != shown:
            sys.stderr.write(line + "\n")
            shown = line
        if progress.matched:
            _print_progress(progress, common)
            return
        if time.monotonic() >= ends_at:
            _print_progress(progress, common)
            fail("not complete yet; the plan continues", ExitCode.UNKNOWN)
        time.sleep(FOLLOW_PERIOD_S)


def _print_progress(progress: ProgressView, common: Common) -> None:
    """Print the progress of the fleet."""
    if common.as_json:
        print_json(progress)
        return
    state = "the fleet matches" if progress.matched else "under way"
    sys.stdout.write(
        f"sheet revision {progress.sheet_revision} "
        f"by {progress.operator or '-'}: {state}\n"
    )
    if progress.pools:
        print_rows(progress.pools, STATE_COLUMNS, common.output)
    for blocker in progress.blockers:
        sys.stdout.write(f"waits: {blocker}\n")


def _print_plan(plan: PlanView, common: Common) -> None:
    """Print a plan."""
    sys.stdout.write(
        f"{len(plan.moves)} moves in {len(plan.rounds)} rounds, "
        f"about {plan.expected_s:.0f} s if drains end at once\n"
    )
    if plan.moves:
        print_rows(plan.moves, MOVE_COLUMNS, common.output)
    for planned_round in plan.rounds:
        sys.stdout.write(f"\nround {planned_round.number}\n")
        print_rows(planned_round.changes, CHANGE_COLUMNS, common.output)
        if planned_round.budgets:
            print_rows(planned_round.budgets, BUDGET_COLUMNS, common.output)
    for wave in plan.waves:
        starts = "no window"
        if wave.starts_at is not None:
            when = datetime.fromtimestamp(wave.starts_at, UTC)
            starts = f"from {when:%Y-%m-%d %H:%M} UTC"
        names = ", ".join(wave.hosts)
        sys.stdout.write(f"wave {wave.zone}/{wave.rack}, {starts}: {names}\n")
    for blocker in plan.blockers:
        sys.stdout.write(f"would wait: {blocker}\n")
