"""The job service's rows: which table, part and key holds what.

A pool's rows lie in a part of their own, so that the owner's row can be a
condition of each of its writes.  Submissions and cancels lie in one of a
fixed number of tables, chosen by the pool, so that an owner follows little
more than its own pool's.
"""

from __future__ import annotations

from typing import Final
from zlib import crc32

import msgspec

from lycheelug.ownership import OWNER_KEY, OWNERS_TABLE
from lycheelug.store.rows import RowName
from lycheelug.workloads import JobRecord, ProgressRecord

__all__ = [
    "CANCEL_PREFIX",
    "FLEET_PART",
    "JOB_PREFIX",
    "OWNER_ROW",
    "PROGRESS_TABLE",
    "CancelRecord",
    "decode_job",
    "decode_progress",
    "jobs_table",
]

PROGRESS_TABLE: Final = "progress"
# The row that says who holds a duty, in the duty's own part.
OWNER_ROW: Final = RowName(OWNERS_TABLE, OWNER_KEY)
# The part, and the name, of the fleet planner's duty.
FLEET_PART: Final = "~fleet"
JOB_PREFIX: Final = "job/"
CANCEL_PREFIX: Final = "cancel/"
# The store allows 100 tables in all.
JOB_TABLES: Final = 64


class CancelRecord(msgspec.Struct, omit_defaults=True):
    """A cancel as it was acknowledged."""

    # Unix time in milliseconds at the daemon that took it.
    at_ms: int = 0


def jobs_table(pool: str) -> str:
    """Return the table of a pool's submissions and cancels.

    >>> jobs_table("quotes") == jobs_table("quotes")
    True
    """
    return f"jobs-{crc32(pool.encode()) % JOB_TABLES:02d}"


def decode_job(value: bytes) -> JobRecord | None:
    """Return a submission; None for bytes that are none."""
    try:
        return msgspec.json.decode(value, type=JobRecord)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def decode_progress(value: bytes) -> ProgressRecord | None:
    """Return a progress record; None for bytes that are none."""
    try:
        return msgspec.json.decode(value, type=ProgressRecord)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
