"""Adds and removes entry daemons in the platform's table.

A join is one transaction.  It writes the daemon's row and the join epoch,
and is guarded on the revisions of both.  Each step of the plan is guarded on
the join epoch, so it either takes the new daemon into account or commits
before the join.  The revision R of the join is therefore a barrier: once the
daemon's view has reached R, it contains every step that did not wait for
the daemon's acknowledgement, and the daemon may dispatch.

If the answer to a transaction is lost, the run named in the row shows
whether the transaction was applied.  Any daemon can repeat any of the
operations.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from returns.result import Failure, Result, Success

from lycheelug.errors import (
    ENTRY_NAME_TAKEN,
    PLATFORM_INVALID,
    PLATFORM_UNKNOWN,
    ErrorCode,
    Fault,
    Peer,
    Step,
)
from lycheelug.records import (
    ENTRY_EPOCH_KEY,
    EntryRow,
    decode,
    encode,
    entry_key,
)
from lycheelug.store.interface import (
    ABSENT,
    Commit,
    Guard,
    Row,
    Transaction,
    Write,
)

if TYPE_CHECKING:
    import random

    from lycheelug.store.interface import Platform

__all__ = ["confirm_entry", "join", "remove_entry"]

_MAX_ATTEMPTS: Final = 8


async def join(
    platform: Platform, entry: EntryRow, rng: random.Random
) -> Result[int, Fault]:
    """Join; return the revision that the view must reach before serving.

    The daemon must already listen on `entry.address`.  The row of an earlier
    run with the same address is then replaced, because that run can no
    longer be listening.  So is the row of an earlier run that was ended
    before it joined, which has no address.  A row with another address, or of
    a later run, is a fault: an operator must remove the row or give the
    daemon another name.
    """
    fault = _fault(PLATFORM_UNKNOWN, "no attempt to join succeeded")
    for _ in range(_MAX_ATTEMPTS):
        match await _join_once(platform, entry, rng):
            case Success(int(revision)):
                return Success(revision)
            case Success(_):
                continue
            case Failure(failed):
                fault = failed
                if fault.code is PLATFORM_UNKNOWN:
                    continue
                break
    return Failure(fault)


async def _join_once(
    platform: Platform, entry: EntryRow, rng: random.Random
) -> Result[int | None, Fault]:
    """Try to join once; return None if another write came first."""
    key = entry_key(entry.name)
    epoch = await platform.read(ENTRY_EPOCH_KEY)
    stored = await platform.read(key)
    match epoch, stored:
        case Success(epoch_row), Success(entry_row):
            pass
        case (Failure(fault), _) | (_, Failure(fault)):
            return Failure(fault)
    match _decode_entry(entry_row):
        case Success(EntryRow() as found) if found.run == entry.run:
            return Success(entry_row.revision)
        case Success(EntryRow() as found) if not _may_replace(found, entry):
            detail = (
                f"the name is in use by run {found.run} at {found.address}"
            )
            return Failure(_fault(ENTRY_NAME_TAKEN, detail))
        case Failure(fault):
            return Failure(fault)
    transaction = Transaction(
        [
            Guard(ENTRY_EPOCH_KEY, _row_revision(epoch_row)),
            Guard(key, _row_revision(entry_row)),
        ],
        [
            Write(ENTRY_EPOCH_KEY, entry.run.encode()),
            Write(key, encode(entry)),
        ],
        f"{entry.run}-{rng.getrandbits(64):016x}",
    )
    return (await platform.transact(transaction)).map(_commit_revision)


async def remove_entry(
    platform: Platform, entry: EntryRow, rng: random.Random
) -> Result[bool, Fault]:
    """End a run in the table; return False if another run uses the name.

    Called for a daemon that leaves, for a run whose host was removed, and
    for a run that an operator declares dead.  A run that never joined is
    ended with a row that has no address.  Call this again after an unknown
    outcome.
    """
    key = entry_key(entry.name)
    value: bytes | None = None
    match await platform.read(key):
        case Success(None):
            ended = EntryRow(entry.name, entry.zone, "", entry.run)
            guard = Guard(key, ABSENT)
            value = encode(ended)
        case Success(Row() as row):
            match _decode_entry(row):
                case Success(EntryRow() as found) if found.run != entry.run:
                    return Success(False)
                case Failure(fault):
                    return Failure(fault)
            guard = Guard(key, row.revision)
        case Failure(fault):
            return Failure(fault)
    nonce = f"{entry.run}-{rng.getrandbits(64):016x}"
    transaction = Transaction([guard], [Write(key, value)], nonce)
    committed = (await platform.transact(transaction)).map(_commit_revision)
    return committed.map(lambda revision: revision is not None)


async def confirm_entry(
    platform: Platform, name: str, join_revision: int, rng: random.Random
) -> Result[int | None, Fault]:
    """Return a revision at which the joined row existed; None if removed.

    Reads may return old data, but transactions never do, so this commits a
    transaction that only has a guard.  A daemon that was suspended may
    act again once its view has reached the returned revision.
    """
    nonce = f"{name}-{rng.getrandbits(64):016x}"
    guard = Guard(entry_key(name), join_revision)
    answer = await platform.transact(Transaction([guard], [], nonce))
    return answer.map(_commit_revision)


def _may_replace(found: EntryRow, entry: EntryRow) -> bool:
    if found.run > entry.run:
        return False
    return found.address in {"", entry.address}


def _commit_revision(answer: object) -> int | None:
    return answer.revision if isinstance(answer, Commit) else None


def _row_revision(row: Row | None) -> int:
    return ABSENT if row is None else row.revision


def _decode_entry(row: Row | None) -> Result[EntryRow | None, Fault]:
    if row is None or row.value is None:
        return Success(None)
    decoded = decode(row.value, EntryRow)
    if isinstance(decoded, Failure):
        return Failure(_fault(PLATFORM_INVALID, decoded.failure()))
    return Success(decoded.unwrap())


def _fault(code: ErrorCode, detail: str) -> Fault:
    return Fault(code, Step.JOIN, Peer.PLATFORM, detail)
