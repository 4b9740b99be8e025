"""The commands `sheet check`, `plan`, `apply` and `progress`."""

from __future__ import annotations

import secrets
import sys
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Final
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
    group = App(name="sheet", help="Check, plan and apply a morning sheet.")
    group.command(cmd_sheet_check, name="check")
    group.command(cmd_sheet_plan, name="plan")
    group.command(cmd_sheet_apply, name="apply")
    group.command(cmd_sheet_progress, name="progress")
    app.command(group)


def cmd_sheet_check(file: Path, common: CommonOptions = None) -> None:
    """Report every fault of a sheet, with line, column and remedy.

    Parameters
    ----------
    file
        The sheet, CSV as a spreadsheet exports it.

    """
    common = common or Common()
    reply = common.client.post("/v1/sheet/check", read_file(file), SheetReply)
    if common.as_json:
        print_json(reply)
    _end_on_faults(file, reply)
    if not common.as_json:
        sys.stdout.write(f"{file}: no faults\n")


def cmd_sheet_plan(file: Path, common: CommonOptions = None) -> None:
    """Show what a sheet would do: moves, rounds, budgets and waves.

    Parameters
    ----------
    file
        The sheet, CSV as a spreadsheet exports it.

    """
    common = common or Common()
    answer = common.client.call("POST", "/v1/sheet/plan", read_file(file))
    content = msgspec.json.decode(answer.body)
    if "outcome" in content:
        _end_on_faults(file, msgspec.convert(content, SheetReply))
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
    """Submit a sheet and follow it until the fleet matches.

    Parameters
    ----------
    file
        The sheet, CSV as a spreadsheet exports it.
    operator
        Your name, kept with the change.
    based_on
        Revision of the sheet that yours was made from; by default the one
        in force now.
    timeout_s
        How long to follow, in seconds; then the blockers are named.
    follow
        Wait until the fleet matches the sheet.

    """
    common = common or Common()
    client = common.client
    body = read_file(file)
    if based_on is None:
        found = client.get("/v1/sheet/progress", ProgressView)
        based_on = found.sheet_revision
    nonce = secrets.token_hex(8)
    target = (
        f"/v1/sheet?nonce={nonce}&operator={quote(operator)}"
        f"&based_on={based_on}"
    )
    reply = client.post(target, body, SheetReply)
    _end_unless_accepted(file, reply, nonce)
    sys.stderr.write(f"accepted as revision {reply.revision}\n")
    if follow:
        _follow(client, common, reply.revision, timeout_s)
    elif common.as_json:
        print_json(reply)


def cmd_sheet_progress(common: CommonOptions = None) -> None:
    """Show how far the fleet has come, and what it waits for."""
    common = common or Common()
    found = common.client.get("/v1/sheet/progress", ProgressView)
    _print_progress(found, common)


def _end_on_faults(file: Path, reply: SheetReply) -> None:
    """End the tool if a sheet has faults."""
    if not reply.faults:
        return
    for fault in reply.faults:
        where = f"{file}:{fault.line}:{fault.column}"
        heading = f" {fault.heading}:" if fault.heading else ""
        sys.stderr.write(
            f"{where}:{heading} found {fault.found!r}; "
            f"allowed: {fault.allowed}; {fault.remedy}\n"
        )
    count = len(reply.faults)
    noun = "fault" if count == 1 else "faults"
    fail(f"{file}: {count} {noun}; nothing was changed", ExitCode.REFUSED)


def _end_unless_accepted(file: Path, reply: SheetReply, nonce: str) -> None:
    """End the tool with what became of a submission that did not pass."""
    if reply.outcome == "accepted":
        return
    _end_on_faults(file, reply)
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
        remedy = f"; look at revision {reply.revision} and apply again"
    fail(f"refused: {reply.detail}{remedy}", ExitCode.REFUSED)


def _follow(
    client: OperatorClient, common: Common, revision: int, timeout_s: float
) -> None:
    """Show progress until the fleet matches or the time is over."""
    ends = time.monotonic() + timeout_s
    shown = ""
    while True:
        found = client.get("/v1/sheet/progress", ProgressView)
        if found.sheet_revision > revision:
            fail(
                f"replaced by {found.operator}'s sheet, "
                f"revision {found.sheet_revision}",
                ExitCode.REFUSED,
            )
        line = f"{found.moves_left} moves left"
        if found.blockers:
            line += f"; {found.blockers[0]}"
        if line != shown:
            sys.stderr.write(line + "\n")
            shown = line
        if found.matched:
            _print_progress(found, common)
            return
        if time.monotonic() >= ends:
            _print_progress(found, common)
            fail("not done yet; it goes on", ExitCode.UNKNOWN)
        time.sleep(FOLLOW_PERIOD_S)


def _print_progress(found: ProgressView, common: Common) -> None:
    """Print the progress."""
    if common.as_json:
        print_json(found)
        return
    state = "the fleet matches" if found.matched else "under way"
    sys.stdout.write(
        f"sheet revision {found.sheet_revision} "
        f"by {found.operator or '-'}: {state}\n"
    )
    if found.pools:
        print_rows(found.pools, STATE_COLUMNS, common.output)
    for blocker in found.blockers:
        sys.stdout.write(f"waits: {blocker}\n")


def _print_plan(plan: PlanView, common: Common) -> None:
    """Print a plan."""
    sys.stdout.write(
        f"{len(plan.moves)} moves in {len(plan.rounds)} rounds, "
        f"about {plan.expected_s:.0f} s if drains end at once\n"
    )
    if plan.moves:
        print_rows(plan.moves, MOVE_COLUMNS, common.output)
    for each in plan.rounds:
        sys.stdout.write(f"\nround {each.number}\n")
        print_rows(each.changes, CHANGE_COLUMNS, common.output)
        if each.budgets:
            print_rows(each.budgets, BUDGET_COLUMNS, common.output)
    for wave in plan.waves:
        starts = "no window"
        if wave.starts_at is not None:
            when = datetime.fromtimestamp(wave.starts_at, UTC)
            starts = f"from {when:%Y-%m-%d %H:%M} UTC"
        names = ", ".join(wave.hosts)
        sys.stdout.write(f"wave {wave.zone}/{wave.rack}, {starts}: {names}\n")
    for blocker in plan.blockers:
        sys.stdout.write(f"would wait: {blocker}\n")
