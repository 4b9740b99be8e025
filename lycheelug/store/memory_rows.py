"""An in-memory row store, for the stand-in platform and for tests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from returns.result import Success

from lycheelug.store.rows import (
    HistoryGone,
    RowCommit,
    RowConflict,
    RowName,
    RowSet,
    RowStore,
    StoredRow,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from returns.result import Result

    from lycheelug.errors import Fault

__all__ = ["MemoryRows"]

HISTORY_MAX: Final = 10_000


class MemoryRows(RowStore):
    """A row store in dictionaries with a bounded history of changes."""

    __slots__ = ("_changed", "_dropped_up_to", "_history", "_rows", "_version")

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str, str], StoredRow] = {}
        self._history: list[StoredRow] = []
        # Changes up to this version were dropped from the history.
        self._dropped_up_to = 0
        self._version = 0
        self._changed = asyncio.Event()

    async def commit(
        self,
        part: str,
        expected: Mapping[RowName, int],
        writes: Mapping[RowName, bytes | None],
    ) -> Result[RowCommit | RowConflict, Fault]:
        """Write rows if the expected ones have these versions."""
        current: list[StoredRow] = []
        is_matching = True
        for name, version in expected.items():
            row = self._rows.get((name.table, part, name.key))
            if row is not None:
                current.append(row)
            if (row.version if row is not None else 0) != version:
                is_matching = False
        if not is_matching:
            return Success(RowConflict(current))
        self._version += 1
        for name, value in writes.items():
            row = StoredRow(name.table, part, name.key, value, self._version)
            self._history.append(row)
            if value is None:
                self._rows.pop((name.table, part, name.key), None)
                continue
            self._rows[name.table, part, name.key] = row
        if len(self._history) > HISTORY_MAX:
            self.forget_history(HISTORY_MAX // 2)
        self._changed.set()
        self._changed = asyncio.Event()
        return Success(RowCommit(self._version))

    async def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[RowSet, Fault]:
        """Return all rows of a part from key `first` to before `end`."""
        found: list[StoredRow] = []
        for (row_table, row_part, key), row in sorted(self._rows.items()):
            if row_table != table or row_part != part or key < first:
                continue
            if end and key >= end:
                continue
            found.append(row)
        return Success(RowSet(found, self._version))

    async def parts(self, table: str) -> Result[list[str], Fault]:
        """Return the parts of a table that have rows."""
        found = {
            part for row_table, part, _ in self._rows if row_table == table
        }
        return Success(sorted(found))

    async def feed(
        self, table: str, after: int, wait_s: float
    ) -> Result[RowSet | HistoryGone, Fault]:
        """Return a table's changes; wait up to `wait_s` for the first one."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        is_over = False
        while True:
            if after < self._dropped_up_to:
                return Success(HistoryGone())
            changes = [
                row
                for row in self._history
                if row.version > after and row.table == table
            ]
            now = loop.time()
            left_s = deadline - now
            if changes or left_s <= 0 or is_over:
                return Success(RowSet(changes, self._version))
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                # A rest below the clock's resolution may not advance it.
                is_over = loop.time() == now

    def forget_history(self, keep: int) -> None:
        """Drop all changes but the newest `keep`."""
        dropped = self._history[: len(self._history) - keep]
        if dropped:
            self._dropped_up_to = dropped[-1].version
            self._history = self._history[len(dropped) :]
