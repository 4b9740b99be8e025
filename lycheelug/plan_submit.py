"""Submission of a sheet: checks, then acceptance by a conditional write.

A sheet is accepted by writing its single row, guarded by the revision on
which the operator based it.  If two operators submit at the same time, one
write succeeds, and the other operator gets a list of what changed.

The row keeps the nonces of the latest submissions.  If the answer to a
write is lost, the write is repeated, which takes effect at most once, and
the nonce in the row shows whether the submission was accepted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from returns.result import Failure, Result, Success

from lycheelug.errors import (
    PLATFORM_INVALID,
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
    """The result of a submission that is in force."""

    __slots__ = ("is_repeat", "revision")

    def __init__(self, revision: int, is_repeat: bool = False) -> None:
        # The revision of the sheet's row with which it came into force.
        self.revision = revision
        # Whether a submission with this nonce had been accepted before.
        self.is_repeat = is_repeat


class SheetRefused:
    """The result of a submission that was refused or has an unknown outcome.

    The fault's code distinguishes the cases.  With `sheet-invalid`,
    `sheet-impossible` or `sheet-raced` the sheet was refused.  With
    `platform-unreachable` it was not sent.  With `platform-unknown` it may
    be in force: submit it again with the same nonce.
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
        # After a race: how the sheet in force differs from the earlier one.
        self.changes = tuple(changes)
        # After a race: the revision to base the next submission on.
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
    saw; 0 if there was none.  A repetition with the same nonce is
    idempotent.
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
    """Compare a submission with the sheet that is in force now.

    Return the acceptance if the submission is in force already, None if it
    may be written, or a refusal if it isn't based on the current sheet or
    the current sheet can't be read.
    """
    match await platform.read(SHEET_KEY):
        case Failure(fault):
            return Failure(SheetRefused(fault))
        case Success(row):
            pass
    if row is None or row.value is None:
        if based_on:
            return Failure(_race_refusal(None, None, fleet))
        return Success(None)
    decoded = decode(row.value, SheetRow)
    if isinstance(decoded, Failure):
        fault = Fault(
            PLATFORM_INVALID, Step.READ, Peer.PLATFORM, decoded.failure()
        )
        return Failure(SheetRefused(fault))
    current = decoded.unwrap()
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
    """Write the sheet's row; repeat the write if its answer is lost."""
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
                # An earlier attempt without an answer may have taken effect.
                return Failure(SheetRefused(unknown_fault or fault))
    fault = unknown_fault or _fault(
        PLATFORM_UNKNOWN, "no attempt was answered"
    )
    return Failure(SheetRefused(fault))


async def _resolve_conflict(
    platform: Platform,
    submission: SheetRow,
    based_on: int,
    fleet: FleetSnapshot,
    unknown_fault: Fault | None,
) -> Result[SheetAccepted, SheetRefused]:
    """Find out whether this submission or another one caused a conflict.

    `unknown_fault` is the fault of an earlier attempt whose answer was lost.
    """
    match await _compare_with_current(platform, submission, based_on, fleet):
        case Success(SheetAccepted() as accepted):
            return Success(accepted)
        case Failure(refused) if refused.fault.code is SHEET_RACED:
            return Failure(refused)
    # The read failed, or returned a row older than the conflicting one.
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
    """Return a line for each difference between two sheets."""
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
