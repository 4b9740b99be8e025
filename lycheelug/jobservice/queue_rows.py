"""The rows that tell in which pools a queue's jobs are stored.

See `queue_locations` for what they mean.
"""

from __future__ import annotations

from hashlib import sha256
from typing import TYPE_CHECKING, Final, NamedTuple

import msgspec

from lycheelug.decoding import Integer, decode_json
from lycheelug.jobservice.tables import (
    ADDRESS_GATE_PREFIX,
    GATE_PREFIX,
    jobs_table,
)
from lycheelug.logs import log_change
from lycheelug.store.rows import RowName

if TYPE_CHECKING:
    from lycheelug.store.rows import StoredRow
    from lycheelug.workloads import JobRecord

__all__ = [
    "ADDRESSES_TABLE",
    "NO_GATES",
    "QUEUES_PART",
    "QUEUES_TABLE",
    "GateRecord",
    "GateVersions",
    "QueueRecord",
    "address_gate_name",
    "address_name",
    "decode_gate",
    "decode_queue",
    "encode_row",
    "gate_name",
    "gate_versions",
    "queue_name",
]

QUEUES_TABLE: Final = "queues"
ADDRESSES_TABLE: Final = "addresses"
# All rows of queues share a part, so that one transaction writes those of an
# address and of a name.
QUEUES_PART: Final = "~queues"
# Longer names are replaced by a hash in keys, which have at most 200 bytes.
KEY_BYTES_MAX: Final = 150


class QueueRecord(msgspec.Struct, omit_defaults=True):
    """All pools of an address, or of a name, the current one first."""

    # The name of the route.
    queue: str
    # The version of the configuration that has made it the current one.
    version: Integer
    pools: list[str]
    # The address of the route; empty if an earlier release, which knows only
    # names, has stored the record.
    address: str = ""


class GateRecord(msgspec.Struct):
    """Whether a pool takes submissions of a queue."""

    queue: str
    # The version of the queue's row by which the gate was set.
    version: Integer
    is_open: bool


class GateVersions(NamedTuple):
    """The versions of a queue's gate rows in a pool; 0 without a row."""

    queue: int = 0
    address: int = 0


NO_GATES: Final = GateVersions()


def address_name(address: str) -> RowName:
    """Return the name of an address's row."""
    return RowName(ADDRESSES_TABLE, _key(address))


def address_gate_name(pool: str, address: str) -> RowName:
    """Return the name of an address's gate row, in the pool's own part.

    >>> address_gate_name("quotes", "a.example/q/").key
    'address/a.example/q/'
    """
    return RowName(jobs_table(pool), ADDRESS_GATE_PREFIX + _key(address))


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


def gate_versions(
    pool: str, record: JobRecord, gates: GateVersions
) -> dict[RowName, int]:
    """Return the gates that must have some versions to store a job.

    A daemon of an earlier release knows only that of the queue's name.
    """
    expected = {gate_name(pool, record.queue): gates.queue}
    if record.address:
        expected[address_gate_name(pool, record.address)] = gates.address
    return expected


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
