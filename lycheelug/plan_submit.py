"""Submission of a sheet: checked, then accepted by one conditional write.

Accepting writes the sheet's one row, guarded by the revision that the
operator's sheet was made from.  Of two operators who race, one wins; the
other is told what changed.  A lost answer is resolved by the nonce, which
the row keeps for the latest submissions; until it is resolved, the write
is sent again, which takes effect at most once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from returns.result import Failure, Result, Success

from lycheelug.errors import (
    PLATFORM_UNKNOWN,
    SHEET_IMPOSSIBLE,
    SHEET_INVALID,
    SHEET_RACED,
    ErrorCode,
    Fault,
    Peer,
    Step,
)
from lycheelug.records import SHEET_KEY, SheetRow, decode, encode
from lycheelug.sheet import PoolSpec, Sheet, parse_sheet
from lycheelug.sheet_checks import check_sheet
from lycheelug.store.interface import (
    Commit,
    Conflict,
    Guard,
    Transaction,
    Write,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheelug.fleet import FleetSnapshot
    from lycheelug.sheet_faults import SheetFault
    from lycheelug.store.interface import Platform, Row

__all__ = ["SheetAccepted", "SheetRefused", "sheet_changes", "submit_sheet"]

_MAX_ATTEMPTS: Final = 4
MAX_RECENT_NONCES: Final = 64


class SheetAccepted:
    """The sheet is in force from this revision of its row."""

    __slots__ = ("is_repeat", "revision")

    def __init__(self, revision: int, is_repeat: bool = False) -> None:
        self.revision = revision
        # The same submission had been accepted before.
        self.is_repeat = is_repeat


class SheetRefused:
    """Why a sheet was not accepted, or is not known to be.

    The fault's code tells which: `sheet-invalid`, `sheet-impossible` and
    `sheet-raced` were refused; `platform-unreachable` was not sent;
    `platform-unknown` may be in force: submit it again under its nonce.
    """

    __slots__ = ("changes", "fault", "revision", "sheet_faults")

    def __init__(
        self,
        fault: Fault,
        sheet_faults: Iterable[SheetFault] = (),
        changes: Iterable[str] = (),
        revision: int = 0,
    ) -> None:
        self.fault = fault
        self.sheet_faults = tuple(sheet_faults)
        # What the sheet that came first changes against this one's base.
        self.changes = tuple(changes)
        # The revision to base the next submission on, if raced.
        self.revision = revision


async def submit_sheet(
    platform: Platform,
    text: str,
    operator: str,
    nonce: str,
    based_on_revision: int,
    fleet: FleetSnapshot,
    now: float = 0.0,
) -> Result[SheetAccepted, SheetRefused]:
    """Check a sheet and put it in force.

    `based_on_revision` is the revision of the sheet that the operator last
    saw, 0 for none.  Submitting again under the same nonce is idempotent.
    """
    match parse_sheet(text):
        case Failure(found):
            fault = _fault(SHEET_INVALID, f"{len(found)} faults")
            return Failure(SheetRefused(fault, found))
        case Success(sheet):
            pass
    submission = SheetRow(text, operator, nonce, now)
    match await _compare_with_current(
        platform, submission, based_on_revision, fleet
    ):
        case Success(None):
            pass
        case Success(accepted):
            return Success(accepted)
        case Failure(refused):
            return Failure(refused)
    faults = check_sheet(sheet, fleet)
    if faults:
        fault = _fault(SHEET_IMPOSSIBLE, f"{len(faults)} faults")
        return Failure(SheetRefused(fault, faults))
    return await _write_sheet(platform, submission, based_on_revision, fleet)


async def _compare_with_current(
    platform: Platform,
    submission: SheetRow,
    based_on: int,
    fleet: FleetSnapshot,
) -> Result[SheetAccepted | None, SheetRefused]:
    """Return whether the submission is in force already, or was raced."""
    match await platform.read(SHEET_KEY):
        case Failure(fault):
            return Failure(SheetRefused(fault))
        case Success(row):
            pass
    if row is None or row.value is None:
        if based_on:
            return Failure(_race_refusal(None, None, fleet))
        return Success(None)
    current = decode(row.value, SheetRow)
    if submission.nonce in (current.nonce, *current.recent_nonces):
        return Success(SheetAccepted(row.revision, is_repeat=True))
    if row.revision > based_on:
        return Failure(_race_refusal(row, current, fleet))
    submission.recent_nonces = [current.nonce, *current.recent_nonces]
    del submission.recent_nonces[MAX_RECENT_NONCES:]
    return Success(None)


async def _write_sheet(
    platform: Platform,
    submission: SheetRow,
    based_on: int,
    fleet: FleetSnapshot,
) -> Result[SheetAccepted, SheetRefused]:
    """Write the sheet's row; resolve lost answers by its nonce."""
    transaction = Transaction(
        [Guard(SHEET_KEY, based_on)],
        [Write(SHEET_KEY, encode(submission))],
        f"sheet-{submission.nonce}",
    )
    unknown_fault: Fault | None = None
    for _ in range(_MAX_ATTEMPTS):
        match await platform.transact(transaction):
            case Success(Commit() as commit):
                return Success(SheetAccepted(commit.revision))
            case Success(Conflict()):
                return await _resolve_conflict(
                    platform, submission, based_on, fleet, unknown_fault
                )
            case Failure(fault) if fault.code is PLATFORM_UNKNOWN:
                unknown_fault = fault
            case Failure(fault):
                # An earlier attempt may have taken effect all the same.
                return Failure(SheetRefused(unknown_fault or fault))
    fault = unknown_fault or _fault(
        PLATFORM_UNKNOWN, "no attempt came through"
    )
    return Failure(SheetRefused(fault))


async def _resolve_conflict(
    platform: Platform,
    submission: SheetRow,
    based_on: int,
    fleet: FleetSnapshot,
    unknown_fault: Fault | None,
) -> Result[SheetAccepted, SheetRefused]:
    """Tell one's own earlier write from another operator's.

    `unknown` is the fault of an earlier attempt that lost its answer.
    """
    match await _compare_with_current(platform, submission, based_on, fleet):
        case Success(SheetAccepted() as accepted):
            return Success(accepted)
        case Failure(refused) if refused.fault.code is SHEET_RACED:
            return Failure(refused)
    # The read failed, or lags behind the conflict.
    raced = _fault(SHEET_RACED, "another operator's sheet came first")
    return Failure(SheetRefused(unknown_fault or raced))


def _race_refusal(
    row: Row | None, current: SheetRow | None, fleet: FleetSnapshot
) -> SheetRefused:
    changes: list[str] = []
    detail = "the sheet was removed"
    if current is not None:
        detail = f"a sheet of {current.operator} came first"
        match parse_sheet(current.text):
            case Success(current_sheet):
                changes = sheet_changes(fleet.sheet, current_sheet)
    revision = row.revision if row is not None else 0
    fault = _fault(SHEET_RACED, detail)
    return SheetRefused(fault, (), changes, revision)


def sheet_changes(old: Sheet | None, new: Sheet) -> list[str]:
    """Return what a sheet changes against an earlier one, as lines."""
    before = old.pools if old is not None else {}
    lines: list[str] = []
    for name in sorted(set(before) | set(new.pools)):
        if name not in new.pools:
            lines.append(f"pool {name}: left out")
        elif name not in before:
            lines.append(f"pool {name}: new")
        else:
            lines.extend(_pool_changes(before[name], new.pools[name]))
    if old is not None and _windows(old) != _windows(new):
        lines.append("maintenance windows: changed")
    return lines


def _pool_changes(old: PoolSpec, new: PoolSpec) -> list[str]:
    lines: list[str] = []
    for zone in sorted(set(old.wanted) | set(new.wanted)):
        old_count, new_count = old.wanted.get(zone, 0), new.wanted.get(zone, 0)
        if old_count != new_count:
            lines.append(
                f"pool {new.name}: hosts in {zone} {old_count} -> {new_count}"
            )
    for field in (
        "min_available",
        "survive_rack",
        "spare",
        "weight",
        "slots",
        "connections",
    ):
        old_value, new_value = getattr(old, field), getattr(new, field)
        if old_value != new_value:
            lines.append(
                f"pool {new.name}: {field} {old_value} -> {new_value}"
            )
    if old.quotas != new.quotas:
        lines.append(f"pool {new.name}: quotas changed")
    return lines


def _windows(sheet: Sheet) -> set[tuple[str, tuple[int, ...], int, int]]:
    return {
        (window.zone, window.days, window.start_minute, window.end_minute)
        for window in sheet.windows
    }


def _fault(code: ErrorCode, detail: str) -> Fault:
    return Fault(code, Step.PLAN, Peer.OPERATOR, detail)
