"""The row store: tables of rows in parts, and what a binding promises.

* `commit` is atomic and linearizable.  A fault with the code
  `platform-unreachable` means that nothing was done, `platform-unknown`
  that the rows may have been written, or may be written seconds later if
  the conditions still hold.  A writer that repeats a commit names the
  version of each row that it replaces, so only one of the two succeeds.
* `read` answers as of one moment, no older than any answer before it.
* `feed` returns the changes after a version, in order; `HistoryGone` where
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
    """A row of one part: its table and key."""

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
    """A commit took effect at this version."""

    __slots__ = ("version",)

    def __init__(self, version: int) -> None:
        self.version = version


class RowConflict:
    """A commit did nothing: a row had another version.

    `rows` has those conditional rows that exist, as they are now.
    """

    __slots__ = ("rows",)

    def __init__(self, rows: Sequence[StoredRow]) -> None:
        self.rows = {row.name: row for row in rows}


class RowSet:
    """Rows, and the store's version that the answer is complete up to."""

    __slots__ = ("rows", "version")

    def __init__(self, rows: Sequence[StoredRow], version: int) -> None:
        self.rows = list(rows)
        self.version = version


class HistoryGone:
    """The store no longer has the changes that were asked for."""

    __slots__ = ()


class RowStore(ABC):
    """What a binding provides.  Every call may take long; none raises."""

    @abstractmethod
    async def commit(
        self,
        part: str,
        expected: Mapping[RowName, int],
        writes: Mapping[RowName, bytes | None],
    ) -> Result[RowCommit | RowConflict, Fault]:
        """Write rows if the expected ones have these versions.

        A version of 0 expects that the row does not exist; a value of
        None removes a row.
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
        """Return a table's changes; wait for the first one."""
