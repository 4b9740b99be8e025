"""A call to the store that one daemon makes for another."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from lycheelug.store.rows import RowName, RowSet, StoredRow

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

__all__ = [
    "CommitCall",
    "FeedCall",
    "PartsCall",
    "ReadCall",
    "RowMessage",
    "StoreReply",
    "SubmitCall",
    "SubmitReply",
    "pack_rows",
]


class RowMessage(msgspec.Struct, array_like=True):
    """One row, a condition (without a value) or a write."""

    table: str
    part: str
    key: str
    value: bytes | None
    version: int

    def to_row(self) -> StoredRow:
        """Return the row."""
        return StoredRow(
            self.table, self.part, self.key, self.value, self.version
        )


class CommitCall(msgspec.Struct):
    """Rows to write under conditions."""

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
        """Return the call of a commit."""
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
    """Rows of a part from key `first` to before `end`."""

    table: str
    part: str
    first: str = ""
    end: str = ""


class PartsCall(msgspec.Struct):
    """The parts of a table."""

    table: str


class FeedCall(msgspec.Struct):
    """The changes of a table after a version."""

    table: str
    after: int
    wait_s: float


class SubmitCall(msgspec.Struct):
    """A submission for the daemon that owns its pool."""

    pool: str
    job_id: str
    # The job's row as it is to be stored.
    record: bytes


class SubmitReply(msgspec.Struct):
    """What the owner says: the name of an `SubmissionAnswer`."""

    answer: str


class StoreReply(msgspec.Struct, omit_defaults=True):
    """What the store answered to the daemon that made the call."""

    rows: list[RowMessage] = []
    parts: list[str] = []
    version: int = 0
    # A condition of the commit did not hold.
    is_conflict: bool = False
    # The changes are no longer available.
    is_history_gone: bool = False
    # The name of the error code where the call failed.
    fault: str = ""
    detail: str = ""

    def to_set(self) -> RowSet:
        """Return the rows and the version."""
        return RowSet([row.to_row() for row in self.rows], self.version)


def pack_rows(rows: Sequence[StoredRow]) -> list[RowMessage]:
    """Return rows as they travel."""
    return [
        RowMessage(row.table, row.part, row.key, row.value, row.version)
        for row in rows
    ]
