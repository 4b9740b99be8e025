"""The interface of the row store, which has tables of rows in parts.

A part is a partition that can have rows of several tables.  A transaction
writes rows of one part.

An implementation guarantees:

* `commit` is atomic and linearizable.  A fault with the code
  `platform-unreachable` means that it had no effect, `platform-unknown` that
  the rows may have been written, or may be written seconds later if the
  conditions still hold.  A writer that repeats a commit must state the
  version of each row that it replaces, so that only one of the two succeeds.
* `read` returns a consistent snapshot that is not older than any earlier
  answer.
* `feed` returns the changes after a version, in order, or `HistoryGone` if
  the store no longer has them.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from returns.result import Result

    from lycheelug.errors import Fault

__all__ = [
    "HistoryGone",
    "RowCommit",
    "RowConflict",
    "RowName",
    "RowSet",
    "RowStore",
    "StoredRow",
]


class RowName(NamedTuple):
    """The table and key of a row, without its part."""

    table: str
    key: str


class StoredRow:
    """One row; `value` is None for a row that was removed."""

    __slots__ = ("key", "part", "table", "value", "version")

    def __init__(
        self,
        table: str,
        part: str,
        key: str,
        value: bytes | None,
        version: int,
    ) -> None:
        self.table = table
        self.part = part
        self.key = key
        self.value = value
        self.version = version

    @property
    def name(self) -> RowName:
        """The table and key."""
        return RowName(self.table, self.key)


class RowCommit:
    """The result of a commit that took effect at this version."""

    __slots__ = ("version",)

    def __init__(self, version: int) -> None:
        self.version = version


class RowConflict:
    """The result of a commit that had no effect: a row had another version.

    `rows` has the current state of those expected rows that exist.
    """

    __slots__ = ("rows",)

    def __init__(self, rows: Sequence[StoredRow]) -> None:
        self.rows = {row.name: row for row in rows}

    def has_other_versions(self, expected: Mapping[RowName, int]) -> bool:
        """Return whether any of some rows has another version; 0 for none."""
        for name, version in expected.items():
            row = self.rows.get(name)
            if (row.version if row is not None else 0) != version:
                return True
        return False


class RowSet:
    """Rows that are complete up to the given version of the store."""

    __slots__ = ("rows", "version")

    def __init__(self, rows: Sequence[StoredRow], version: int) -> None:
        self.rows = list(rows)
        self.version = version


class HistoryGone:
    """The result of a feed whose changes the store no longer has."""

    __slots__ = ()


class RowStore(ABC):
    """The base class of row stores.

    Calls may take long.  They report failures as faults and don't raise.
    """

    @abstractmethod
    async def commit(
        self,
        part: str,
        expected: Mapping[RowName, int],
        writes: Mapping[RowName, bytes | None],
    ) -> Result[RowCommit | RowConflict, Fault]:
        """Write rows if the expected ones have these versions.

        An expected version of 0 means that the row must not exist.  A value
        of None removes a row.
        """

    @abstractmethod
    async def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[RowSet, Fault]:
        """Return all rows of a part from key `first` to before `end`."""

    @abstractmethod
    async def parts(self, table: str) -> Result[list[str], Fault]:
        """Return the parts of a table that have rows."""

    @abstractmethod
    async def feed(
        self, table: str, after: int, wait_s: float
    ) -> Result[RowSet | HistoryGone, Fault]:
        """Return a table's changes; wait up to `wait_s` for the first one."""
