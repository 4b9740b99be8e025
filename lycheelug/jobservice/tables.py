"""The layout of the job service's rows: tables, parts and keys.

A pool's rows share a part, so that the owner's row can be a condition of
each of its writes.  Submissions and cancels are in one of a fixed number of
tables, by a hash of the pool's name, so that an owner that follows a table
reads little more than the rows of its own pool.
"""

from __future__ import annotations

from typing import Final
from zlib import crc32

import msgspec

from lycheelug.decoding import Integer, decode_json
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
# The row of a duty's owner, in the duty's own part.
OWNER_ROW: Final = RowName(OWNERS_TABLE, OWNER_KEY)
# The name of the duty for the fleet plan, and its part.
FLEET_PART: Final = "~fleet"
JOB_PREFIX: Final = "job/"
CANCEL_PREFIX: Final = "cancel/"
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


def decode_progress(value: bytes) -> ProgressRecord | None:
    """Decode a progress record; return None for invalid bytes."""
    return decode_json(value, ProgressRecord).value_or(None)
