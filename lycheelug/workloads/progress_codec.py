"""The stored form of a job's progress record; no I/O.

A record that fits into a row is stored as plain JSON.  Of a larger one, the
first row has as many of the fields as fit, and the further rows have the
others as compressed JSON.  All rows of a record are written in the same
transaction.

The first row can be read alone: its fields are valid, and those that are
missing have their defaults.  So the fields that must not be missing come
first, and a release that knows only the first row starts no task again that
is done.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, Any, Final

import msgspec

from lycheelug.decoding import decode_json
from lycheelug.workloads.model import JobState
from lycheelug.workloads.progress import ProgressRecord

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from lycheelug.workloads.crash_records import CrashRecord

__all__ = [
    "PARTS_MAX",
    "ROW_BYTES_MAX",
    "EncodedProgress",
    "decode_progress",
    "encode_progress",
]

# The size limit of one row's value, as the store accepts 65,536 bytes in
# base64.
ROW_BYTES_MAX: Final = 48_000
# Further rows of one record.  All of them must fit into a transaction, whose
# values may have one megabyte in base64.
PARTS_MAX: Final = 12
# The size limit of the decompressed rows, so that damaged or foreign rows
# can't take up all memory.
DECODED_BYTES_MAX: Final = 64_000_000
COMPRESSION_LEVEL: Final = 1
# The fields that may be moved to further rows, the last ones first.
MOVABLE: Final = (
    "finished",
    "done",
    "failures",
    "counted_runs",
    "crashes",
    "reserved",
    "checkpoints",
)
# Limits of the crash records of one task in a record that is too large for
# all rows.
CRASHES_PER_TASK: Final = (5, 3)
# The tasks whose crash records are kept if they still don't fit.
CRASHED_TASKS_MAX: Final = 200


class EncodedProgress:
    """The rows of one record, the first row first."""

    __slots__ = ("omitted", "rows")

    def __init__(self, rows: list[bytes], omitted: str = "") -> None:
        self.rows = rows
        # What was left out because it doesn't fit; empty for nothing.
        self.omitted = omitted

    @property
    def size(self) -> int:
        """The size of all rows in bytes."""
        return sum(map(len, self.rows))


def encode_progress(progress: ProgressRecord) -> EncodedProgress:
    """Return the rows of a progress record.

    The record of a job that has ended has one row.  Otherwise `finished`,
    `done` and `failures` are always complete.  If the record is too large
    for all rows, the checkpoints are left out first, so that tasks start
    from their beginning, and then the least conclusive crash records.
    """
    value = msgspec.json.encode(progress)
    if len(value) <= ROW_BYTES_MAX:
        return EncodedProgress([value])
    if progress.state in JobState.FINAL:
        return _encode_final(progress)
    encoded = _split(progress)
    reductions = _reductions(progress)
    while len(encoded.rows) > PARTS_MAX + 1:
        reduced, omitted = next(reductions, (None, ""))
        if reduced is None:
            break
        encoded = _split(reduced)
        encoded.omitted = omitted
    return encoded


def decode_progress(
    value: bytes, parts: Sequence[bytes] | None = None
) -> ProgressRecord | None:
    """Decode a progress record; return None for invalid bytes.

    `parts` are the values of the further rows, in their order; rows beyond
    those that belong to the record are ignored.  Without `parts`, only the
    fields of the first row are set.
    """
    progress = decode_json(value, ProgressRecord).value_or(None)
    if progress is None or parts is None or not progress.parts:
        return progress
    if not 0 < progress.parts <= len(parts):
        return None
    moved_json = _decompress(b"".join(parts[: progress.parts]))
    if moved_json is None:
        return None
    rest = decode_json(moved_json, ProgressRecord).value_or(None)
    if rest is None:
        return None
    for name in MOVABLE:
        moved = getattr(rest, name)
        if moved:
            setattr(progress, name, moved)
    progress.parts = 0
    return progress


def _split(progress: ProgressRecord) -> EncodedProgress:
    """Distribute a record over as many rows as it needs."""
    empty = ProgressRecord()
    first: dict[str, Any] = {name: getattr(empty, name) for name in MOVABLE}
    head = msgspec.structs.replace(progress, parts=PARTS_MAX, **first)
    size = len(msgspec.json.encode(head))
    moved: dict[str, msgspec.Raw] = {}
    for name in MOVABLE:
        content = getattr(progress, name)
        encoded = msgspec.json.encode(content)
        size += len(encoded) + len(name) + len(',"":')
        if size <= ROW_BYTES_MAX and not moved:
            setattr(head, name, content)
        elif content:
            moved[name] = msgspec.Raw(encoded)
    if not moved:
        head.parts = 0
        return EncodedProgress([msgspec.json.encode(head)])
    rest = zlib.compress(msgspec.json.encode(moved), COMPRESSION_LEVEL)
    rows: list[bytes] = []
    for start in range(0, len(rest), ROW_BYTES_MAX):
        rows.append(rest[start : start + ROW_BYTES_MAX])
    head.parts = len(rows)
    return EncodedProgress([msgspec.json.encode(head), *rows])


def _encode_final(progress: ProgressRecord) -> EncodedProgress:
    """Return the record of an ended job, of which no task starts again."""
    reduced = msgspec.structs.replace(progress)
    omitted: list[str] = []
    for name in reversed(MOVABLE):
        setattr(reduced, name, getattr(ProgressRecord(), name))
        omitted.append(name)
        value = msgspec.json.encode(reduced)
        if len(value) <= ROW_BYTES_MAX:
            break
    return EncodedProgress([value], ", ".join(omitted))


def _reductions(
    progress: ProgressRecord,
) -> Iterator[tuple[ProgressRecord, str]]:
    """Yield smaller and smaller records, and what they leave out."""
    reduced = msgspec.structs.replace(progress, checkpoints={})
    yield reduced, "checkpoints"
    for limit in CRASHES_PER_TASK:
        reduced.crashes = {}
        for key, records in progress.crashes.items():
            reduced.crashes[key] = _most_conclusive(records, limit)
        yield reduced, f"checkpoints, crashes beyond {limit} of a task"
    most_lost = sorted(
        reduced.crashes.items(), key=lambda item: len(item[1]), reverse=True
    )
    reduced.crashes = dict(most_lost[:CRASHED_TASKS_MAX])
    yield reduced, f"checkpoints, crashes beyond {CRASHED_TASKS_MAX} tasks"
    reduced.reserved = {}
    yield reduced, "checkpoints, reserved, most crashes"


def _most_conclusive(
    records: list[CrashRecord], limit: int
) -> list[CrashRecord]:
    """Return the records that prove most about a task, in their order."""
    if len(records) <= limit:
        return records

    def weight(number: int) -> tuple[bool, bool, bool, bool]:
        record = records[number]
        return (
            record.is_proved,
            record.is_isolated,
            record.is_certain,
            not record.is_discounted,
        )

    ranked = sorted(range(len(records)), key=weight, reverse=True)
    return [records[number] for number in sorted(ranked[:limit])]


def _decompress(data: bytes) -> bytes | None:
    """Return decompressed data, or None if it is invalid or too large."""
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(data, DECODED_BYTES_MAX)
    except zlib.error:
        return None
    return value if decompressor.eof else None
