"""The layout of the job service's rows: tables, parts and keys.

A pool's rows share a part, so that the owner's row can be a condition of
each of its writes.  Submissions and cancels are in one of a fixed number of
tables, by a hash of the pool's name, so that an owner that follows a table
reads little more than the rows of its own pool.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final
from zlib import crc32

import msgspec

from lycheelug.decoding import Integer, decode_json
from lycheelug.ownership import OWNER_KEY, OWNERS_TABLE
from lycheelug.store.rows import RowName
from lycheelug.workloads import JobRecord, ProgressRecord
from lycheelug.workloads.progress_codec import decode_progress

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheelug.store.rows import StoredRow

__all__ = [
    "ADDRESS_GATE_PREFIX",
    "CANCEL_PREFIX",
    "FLEET_PART",
    "GATE_PREFIX",
    "JOB_PREFIX",
    "OWNER_ROW",
    "PROGRESS_TABLE",
    "CancelRecord",
    "StoredProgress",
    "decode_job",
    "decode_progress",
    "jobs_table",
    "progress_names",
    "read_progress",
]

PROGRESS_TABLE: Final = "progress"
# The row of a duty's owner, in the duty's own part.
OWNER_ROW: Final = RowName(OWNERS_TABLE, OWNER_KEY)
# The name of the duty for the fleet plan, and its part.
FLEET_PART: Final = "~fleet"
# Between a job's id and the number of a further row of its progress.
PART_SEPARATOR: Final = "/"
JOB_PREFIX: Final = "job/"
CANCEL_PREFIX: Final = "cancel/"
# The gate rows of queues that have moved, by address and by name; see
# `queue_locations`.
ADDRESS_GATE_PREFIX: Final = "address/"
GATE_PREFIX: Final = "queue/"
# Digits of the number of a further row.
PART_DIGITS_MAX: Final = 3
# The store allows at most 100 tables.
JOB_TABLES: Final = 64


class CancelRecord(msgspec.Struct, omit_defaults=True):
    """An acknowledged cancel of a job."""

    # Unix time in milliseconds at the daemon that accepted it.
    at_ms: Integer = 0


def jobs_table(pool: str) -> str:
    """Return the table of a pool's submissions and cancels.

    >>> jobs_table("quotes") == jobs_table("quotes")
    True
    """
    return f"jobs-{crc32(pool.encode()) % JOB_TABLES:02d}"


def decode_job(value: bytes) -> JobRecord | None:
    """Decode a submission; return None for invalid bytes."""
    return decode_json(value, JobRecord).value_or(None)


class StoredProgress:
    """The progress of a job as it was read from the store."""

    __slots__ = ("part_count", "progress", "version")

    def __init__(
        self, progress: ProgressRecord | None, version: int, part_count: int
    ) -> None:
        # None if the first row is missing or invalid.
        self.progress = progress
        # The version of the first row.
        self.version = version
        # The further rows that exist.
        self.part_count = part_count


def progress_names(job_id: str, part_count: int) -> list[RowName]:
    """Return the names of the rows of a job's progress, the first one first.

    >>> [name.key for name in progress_names("5c0e", 2)]
    ['5c0e', '5c0e/1', '5c0e/2']
    """
    names = [RowName(PROGRESS_TABLE, job_id)]
    for number in range(1, part_count + 1):
        key = f"{job_id}{PART_SEPARATOR}{number}"
        names.append(RowName(PROGRESS_TABLE, key))
    return names


def read_progress(rows: Iterable[StoredRow]) -> dict[str, StoredProgress]:
    """Decode the progress of all jobs of a pool, by id.

    Further rows whose first row doesn't refer to them were left behind by a
    release that knows only first rows.  They are counted but not decoded.
    If a further row is missing or invalid, `parts` of the record isn't 0 and
    only the fields of the first row are set.
    """
    first: dict[str, StoredRow] = {}
    parts: dict[str, dict[int, bytes]] = {}
    for row in rows:
        job_id, separator, number = row.key.partition(PART_SEPARATOR)
        if not separator:
            first[job_id] = row
        elif number.isdecimal() and len(number) <= PART_DIGITS_MAX:
            known = parts.setdefault(job_id, {})
            known[int(number)] = row.value or b""
    found: dict[str, StoredProgress] = {}
    for job_id in first | parts:
        known = parts.get(job_id, {})
        part_count = max(known, default=0)
        values: list[bytes] = []
        for position in range(1, part_count + 1):
            if position not in known:
                break
            values.append(known[position])
        head = first.get(job_id)
        if head is None:
            found[job_id] = StoredProgress(None, 0, part_count)
            continue
        progress = decode_progress(head.value or b"", values)
        if progress is None:
            progress = decode_progress(head.value or b"")
        found[job_id] = StoredProgress(progress, head.version, part_count)
    return found
