"""A local copy of one table that follows the store's feed.

Starts with all rows, then takes changes in order.  Where the store has
dropped its history, or a feed was silent for too long, everything is read
again and what is gone is told as removed.  A row's version only rises
here, whatever an older answer says.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Success

from lycheelug.errors import PLATFORM_INVALID, Fault, Peer, Step
from lycheelug.logs import log_change, log_fault
from lycheelug.store.rows import HistoryGone, StoredRow

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from lycheelug.store.rows import RowStore

    Listener = Callable[[StoredRow], None]

__all__ = ["TableReplica"]

# A feed is asked again after this long even if nothing changed, so that a
# connection that went silent costs no more than this and its timeout.
FEED_WAIT_S: Final = 2.0
RETRY_S: Final = 0.1
RETRY_MAX_S: Final = 0.5


class TableReplica:
    """One table, or one part of it, as the store last told it."""

    __slots__ = (
        "_is_lost",
        "_listener",
        "_on_answer",
        "_rows",
        "_store",
        "_wait_s",
        "loaded",
        "part",
        "pause_s",
        "table",
        "version",
    )

    def __init__(
        self,
        store: RowStore,
        table: str,
        listener: Listener,
        part: str | None = None,
        pause_s: float = 0.0,
        wait_s: float = FEED_WAIT_S,
        on_answer: Callable[[], None] | None = None,
    ) -> None:
        self._store = store
        self._listener = listener
        # How long the store may hold a call back until something changes.
        self._wait_s = wait_s
        # Called after each answer of the store, with its changes taken in.
        self._on_answer = on_answer
        self.table = table
        # None for all parts.
        self.part = part
        # Changes are gathered for this long between two calls.
        self.pause_s = pause_s
        self._rows: dict[tuple[str, str], StoredRow] = {}
        self._is_lost = False
        # The store's version that this copy is complete up to.
        self.version = 0
        self.loaded = asyncio.Event()

    @property
    def rows(self) -> list[StoredRow]:
        """All rows."""
        return list(self._rows.values())

    def has(self, part: str, key: str) -> bool:
        """Whether a row exists."""
        return (part, key) in self._rows

    async def run(self) -> None:
        """Follow the table until cancelled."""
        retry_s = RETRY_S
        while True:
            if not self.loaded.is_set():
                result = await self._load()
            else:
                result = await self._follow()
            if isinstance(result, Failure):
                self._note_lost(result.failure())
                await asyncio.sleep(retry_s)
                retry_s = min(RETRY_MAX_S, retry_s * 2)
                continue
            retry_s = RETRY_S
            self._note_regained()
            if self._on_answer is not None:
                self._on_answer()
            if result.unwrap():
                await asyncio.sleep(self.pause_s)

    async def _load(self) -> Result[bool, Fault]:
        """Read everything; tell what differs from the copy.

        The first read comes before the parts are listed: a part that is
        made after the list has only rows that are newer than that read,
        and the feed tells them.
        """
        first = await self._store.read(self.table, self.part or "")
        if isinstance(first, Failure):
            return Failure(first.failure())
        version = first.unwrap().version
        rows: dict[tuple[str, str], StoredRow] = {}
        for row in first.unwrap().rows:
            rows[row.part, row.key] = row
        parts: list[str] = []
        if self.part is None:
            listed = await self._store.parts(self.table)
            if isinstance(listed, Failure):
                return Failure(listed.failure())
            parts = [part for part in listed.unwrap() if part]
        for part in parts:
            read = await self._store.read(self.table, part)
            if isinstance(read, Failure):
                return Failure(read.failure())
            for row in read.unwrap().rows:
                rows[row.part, row.key] = row
        if version < self.version:
            detail = f"answer as of {version}, before {self.version}"
            return Failure(
                Fault(PLATFORM_INVALID, Step.READ, Peer.PLATFORM, detail)
            )
        for key, known in list(self._rows.items()):
            if key not in rows and known.version <= version:
                self._take(
                    StoredRow(
                        known.table, known.part, known.key, None, version
                    )
                )
        for row in rows.values():
            self._take(row)
        self.version = max(self.version, version)
        self.loaded.set()
        return Success(True)

    async def _follow(self) -> Result[bool, Fault]:
        """Take the next changes; True where there were some."""
        result = await self._store.feed(self.table, self.version, self._wait_s)
        match result:
            case Success(HistoryGone()):
                log_change(
                    "table-reread",
                    table=self.table,
                    version=self.version,
                    reason="the store has dropped its history",
                )
                self.loaded.clear()
                return Success(False)
            case Success(changes):
                pass
            case Failure(fault):
                return Failure(fault)
        assert not isinstance(changes, HistoryGone)
        for row in changes.rows:
            if self.part is None or row.part == self.part:
                self._take(row)
        self.version = max(self.version, changes.version)
        return Success(bool(changes.rows))

    def _take(self, row: StoredRow) -> None:
        """Keep a row that is newer than the copy's, and tell it."""
        key = (row.part, row.key)
        known = self._rows.get(key)
        if known is not None and known.version >= row.version:
            return
        if row.value is None:
            if self._rows.pop(key, None) is None:
                return
        else:
            self._rows[key] = row
        self._listener(row)

    def _note_lost(self, fault: Fault) -> None:
        """Log the first failure in a row."""
        if not self._is_lost:
            self._is_lost = True
            log_fault("table-lost", fault, table=self.table)

    def _note_regained(self) -> None:
        """Log the first success after a failure."""
        if self._is_lost:
            self._is_lost = False
            log_change("table-regained", table=self.table)
