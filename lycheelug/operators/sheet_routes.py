"""The operators' routes for sheets, plans and removed entry daemons.

A sheet is a CSV file in which an operator states the number of hosts, the
quotas and the maintenance windows of the pools.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from returns.result import Failure

from lycheelug.decoding import parse_number
from lycheelug.entries.join import remove_entry
from lycheelug.errors import (
    BAD_REQUEST,
    ENTRY_UNREACHABLE,
    PLATFORM_UNKNOWN,
    Fault,
    Peer,
    Step,
)
from lycheelug.http import Answer, json_answer
from lycheelug.logs import log_change
from lycheelug.operators.faults import fault_answer
from lycheelug.operators.routes import OperatorRequest, route
from lycheelug.operators.sheet_messages import (
    SheetReply,
    fault_views,
    plan_view,
    progress_view,
)
from lycheelug.plan_report import explain_plan, progress
from lycheelug.plan_submit import submit_sheet
from lycheelug.records import EntryRow
from lycheelug.sheet import parse_sheet
from lycheelug.sheet_checks import check_sheet

if TYPE_CHECKING:
    from lycheelug.daemon import Daemon
    from lycheelug.fleet import FleetSnapshot
    from lycheelug.plan_submit import SheetRefused
    from lycheelug.sheet import Sheet


@route("POST", "/v1/sheet/check")
async def post_check(daemon: Daemon, request: OperatorRequest) -> Answer:
    """Check a sheet in itself and against the fleet; return all faults."""
    checked = await _check_request(daemon, request)
    if isinstance(checked, Answer):
        return checked
    fleet, _ = checked
    return json_answer(200, SheetReply("clean", revision=fleet.sheet_revision))


@route("POST", "/v1/sheet/plan")
async def post_plan(daemon: Daemon, request: OperatorRequest) -> Answer:
    """Return the plan that a sheet would cause."""
    checked = await _check_request(daemon, request)
    if isinstance(checked, Answer):
        return checked
    fleet, sheet = checked
    return json_answer(200, plan_view(explain_plan(sheet, fleet, time.time())))


@route("POST", "/v1/sheet")
async def post_sheet(daemon: Daemon, request: OperatorRequest) -> Answer:
    """Submit a sheet; the query has `nonce`, `operator` and `based_on`."""
    fleet = await daemon.plan.snapshot()
    if isinstance(fleet, Fault):
        return fault_answer(fleet)
    based_on = parse_number(request.query_parameter("based_on", "0"))
    nonce = request.query_parameter("nonce")
    if based_on is None or not nonce:
        detail = "based_on must be a revision, and nonce must be given"
        return fault_answer(
            Fault(BAD_REQUEST, Step.PARSE, Peer.OPERATOR, detail)
        )
    operator = request.query_parameter("operator", "operator")
    submitted = await submit_sheet(
        daemon.core.platform,
        request.text,
        operator,
        nonce,
        based_on,
        fleet,
        time.time(),
    )
    if isinstance(submitted, Failure):
        return _refusal_answer(submitted.failure())
    accepted = submitted.unwrap()
    log_change("sheet accepted", revision=accepted.revision, by=operator)
    return json_answer(200, SheetReply("accepted", accepted.revision))


@route("GET", "/v1/sheet/progress")
async def get_progress(daemon: Daemon, request: OperatorRequest) -> Answer:
    """Return the progress of the fleet towards the sheet in force."""
    del request
    fleet = await daemon.plan.snapshot()
    if isinstance(fleet, Fault):
        return fault_answer(fleet)
    return json_answer(200, progress_view(progress(fleet, time.time())))


@route("POST", "/v1/entries/dead/*")
async def post_entry_dead(daemon: Daemon, request: OperatorRequest) -> Answer:
    """Declare the current run of an entry daemon dead, by its name."""
    entry = _find_entry(daemon, request.wildcard_segment)
    if entry is None:
        detail = f"no entry daemon named {request.wildcard_segment!r} is known"
        fault = Fault(ENTRY_UNREACHABLE, Step.READ, Peer.ENTRY, detail)
        fault.peer_name = request.wildcard_segment
        return fault_answer(fault)
    core = daemon.core
    removed = await remove_entry(core.platform, entry, core.rng)
    if isinstance(removed, Failure):
        return fault_answer(removed.failure())
    operator = request.query_parameter("operator", "operator")
    log_change("declared dead", entry=entry.name, by=operator)
    return json_answer(200, {"entry": entry.name, "run": entry.run})


def _find_entry(daemon: Daemon, name: str) -> EntryRow | None:
    """Return a daemon's run, joined or known only by its digest; or None."""
    for entry in daemon.core.view.entries():
        if entry.name == name:
            return entry
    for member in daemon.core.members.status(time.monotonic()):
        if member.name == name:
            return EntryRow(name, member.zone, member.address, member.run)
    return None


async def _check_request(
    daemon: Daemon, request: OperatorRequest
) -> Answer | tuple[FleetSnapshot, Sheet]:
    """Return the fleet and the valid sheet, or an answer with the faults."""
    parsed = parse_sheet(request.text)
    if isinstance(parsed, Failure):
        views = fault_views(parsed.failure())
        return json_answer(200, SheetReply("faults", faults=views))
    fleet = await daemon.plan.snapshot()
    if isinstance(fleet, Fault):
        return fault_answer(fleet)
    sheet = parsed.unwrap()
    faults = check_sheet(sheet, fleet)
    if faults:
        reply = SheetReply("faults", faults=fault_views(faults))
        return json_answer(200, reply)
    return fleet, sheet


def _refusal_answer(refused: SheetRefused) -> Answer:
    """Return the answer to a sheet that was refused or is undecided."""
    fault = refused.fault
    is_unknown = fault.code is PLATFORM_UNKNOWN
    return json_answer(
        200,
        SheetReply(
            "unknown" if is_unknown else "refused",
            refused.revision,
            fault.code.name,
            f"{fault.code.text} {fault.detail}".strip(),
            fault_views(refused.sheet_faults),
            list(refused.changes),
        ),
    )
