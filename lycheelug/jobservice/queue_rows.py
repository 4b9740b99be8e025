"""The rows that tell in which pools a queue's jobs are stored.

See `queue_locations` for what they mean.
"""

from __future__ import annotations

from hashlib import sha256
from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.decoding import Integer, decode_json
from lycheelug.jobservice.tables import GATE_PREFIX, jobs_table
from lycheelug.logs import log_change
from lycheelug.store.rows import RowName

if TYPE_CHECKING:
    from lycheelug.store.rows import StoredRow

__all__ = [
    "QUEUES_PART",
    "QUEUES_TABLE",
    "GateRecord",
    "QueueRecord",
    "decode_gate",
    "decode_queue",
    "encode_row",
    "gate_name",
    "queue_name",
]

QUEUES_TABLE: Final = "queues"
# All rows of queues share a part, so that one call reads them.
QUEUES_PART: Final = "~queues"
# Longer names are replaced by a hash in keys, which have at most 200 bytes.
KEY_BYTES_MAX: Final = 150


class QueueRecord(msgspec.Struct):
    """All pools that a queue has had, the current one first."""

    queue: str
    # The version of the configuration that has made it the current one.
    version: Integer
    pools: list[str]


class GateRecord(msgspec.Struct):
    """Whether a pool takes submissions of a queue."""

    queue: str
    # The version of the queue's row by which the gate was set.
    version: Integer
    is_open: bool


def queue_name(queue: str) -> RowName:
    """Return the name of a queue's row."""
    return RowName(QUEUES_TABLE, _key(queue))


def gate_name(pool: str, queue: str) -> RowName:
    """Return the name of a queue's gate row, in the pool's own part.

    >>> gate_name("quotes", "r-1").key
    'queue/r-1'
    >>> len(gate_name("quotes", "r" * 500).key)
    70
    """
    return RowName(jobs_table(pool), GATE_PREFIX + _key(queue))


def encode_row(record: QueueRecord | GateRecord) -> bytes:
    """Return the value of a row."""
    return msgspec.json.encode(record)


def decode_queue(row: StoredRow) -> QueueRecord | None:
    """Return a queue's record, or None if it can't be read."""
    record = decode_json(row.value or b"", QueueRecord).value_or(None)
    if record is None:
        log_change("row-unreadable", table=row.table, key=row.key)
    return record


def decode_gate(row: StoredRow) -> GateRecord | None:
    """Return a gate's record, or None if it can't be read."""
    record = decode_json(row.value or b"", GateRecord).value_or(None)
    if record is None:
        log_change("row-unreadable", table=row.table, key=row.key)
    return record


def _key(queue: str) -> str:
    """Return a queue's name, or its hash if it is long."""
    data = queue.encode()
    return queue if len(data) <= KEY_BYTES_MAX else sha256(data).hexdigest()
