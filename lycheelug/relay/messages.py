"""The messages of calls between daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from lycheelug.store.rows import RowName, RowSet, StoredRow

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

__all__ = [
    "CommitCall",
    "CountCall",
    "CountReply",
    "FeedCall",
    "PartsCall",
    "ReadCall",
    "ReplyChunk",
    "RowMessage",
    "StoreReply",
    "SubmitCall",
    "SubmitReply",
    "pack_rows",
]


class RowMessage(msgspec.Struct, array_like=True):
    """A row, a condition (without a value) or a write (without a version)."""

    table: str
    part: str
    key: str
    value: bytes | None
    version: int

    def to_row(self) -> StoredRow:
        """Convert the message to a row."""
        return StoredRow(
            self.table, self.part, self.key, self.value, self.version
        )


class CommitCall(msgspec.Struct):
    """A conditional write of rows in one part."""

    part: str
    expected: list[RowMessage]
    writes: list[RowMessage]

    @classmethod
    def of(
        cls,
        part: str,
        expected: Mapping[RowName, int],
        writes: Mapping[RowName, bytes | None],
    ) -> CommitCall:
        """Create the call from the arguments of a commit."""
        call = cls(part, [], [])
        for name, version in expected.items():
            call.expected.append(
                RowMessage(name.table, part, name.key, None, version)
            )
        for name, value in writes.items():
            call.writes.append(
                RowMessage(name.table, part, name.key, value, 0)
            )
        return call


class ReadCall(msgspec.Struct):
    """A read of the rows of a part, from key `first` to before `end`."""

    table: str
    part: str
    first: str = ""
    end: str = ""


class PartsCall(msgspec.Struct):
    """A request for the parts of a table that have rows."""

    table: str


class FeedCall(msgspec.Struct):
    """A request for the changes of a table after a version."""

    table: str
    after: int
    wait_s: float


class SubmitCall(msgspec.Struct):
    """A submission to the daemon that owns its pool."""

    pool: str
    job_id: str
    # The encoded job record to store.
    record: bytes
    # The versions of the gates of its queue's name and address; 0 also from an
    # earlier release.
    gate_version: int = 0
    address_gate_version: int = 0


class SubmitReply(msgspec.Struct, omit_defaults=True):
    """The owner's answer: the name of a `SubmissionAnswer` member."""

    answer: str
    # Above 0 if the owner rejects the submission.  A sender that doesn't know
    # this field stores the submission itself, as after any `NOT_TAKEN`.
    retry_after_s: int = 0
    # See `Rejection`.
    is_over_limit: bool = False


class CountCall(msgspec.Struct):
    """Asks a pool's owner how many jobs of a queue have not started."""

    pool: str
    queue: str
    # The queue's address; empty from an earlier release.
    address: str = ""


class CountReply(msgspec.Struct):
    """The owner's count; None if it does not know the current one."""

    waiting: int | None = None


class ReplyChunk(msgspec.Struct):
    """A part of an encoded reply that is sent in several messages."""

    data: bytes


class StoreReply(msgspec.Struct, omit_defaults=True):
    """The result of a relayed store call."""

    rows: list[RowMessage] = []
    parts: list[str] = []
    version: int = 0
    # True if a condition of the commit was not met.
    is_conflict: bool = False
    # True if the store no longer has the changes after the version.
    is_history_gone: bool = False
    # The name of the error code if the call failed.
    fault: str = ""
    detail: str = ""

    def to_set(self) -> RowSet:
        """Convert the reply to a set of rows."""
        return RowSet([row.to_row() for row in self.rows], self.version)


def pack_rows(rows: Sequence[StoredRow]) -> list[RowMessage]:
    """Convert rows to messages."""
    return [
        RowMessage(row.table, row.part, row.key, row.value, row.version)
        for row in rows
    ]
