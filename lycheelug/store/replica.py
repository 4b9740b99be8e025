"""A local replica of one table, updated from the store's change feed.

The replica first loads all rows and then applies changes in order.  If the
store has dropped the changes since the replica's version, it loads all rows
again and reports missing rows as removed.  A row's version never decreases,
even if an older answer arrives late.

A feed's answer has all changes since the replica's version, so an answer
that is too large for a slow link is larger when it is asked for again.  The
rows themselves have a bounded size and arrive in pages.  They are read again
after feed calls that were not answered, and instead of a feed call that takes
longer than reading them.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Success

from lycheelug.errors import (
    PLATFORM_INVALID,
    PLATFORM_UNKNOWN,
    Fault,
    Peer,
    Step,
)
from lycheelug.logs import log_change, log_fault
from lycheelug.store.rows import HistoryGone, StoredRow
from lycheelug.supervision import describe_error

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from lycheelug.store.rows import RowStore

    Listener = Callable[[StoredRow], None]

__all__ = ["FEED_WAIT_S", "TableReplica"]

# A feed call ends after this time even if nothing changed, so that a dead
# connection delays changes by no more than this and the call's timeout.
FEED_WAIT_S: Final = 2.0
# How much longer than its wait a feed call may take.  Reading all rows may
# take longer than this; then a feed call may take as long.
FEED_EXTRA_S: Final = 2.0
# All rows are read after this many consecutive feed calls without an answer.
UNANSWERED_FEEDS_MAX: Final = 2
# A replica that is older than so many waits of a feed call is stale.
STALE_WAITS: Final = 2.0
RETRY_S: Final = 0.1
RETRY_MAX_S: Final = 0.5


class TableReplica:
    """A replica of one table, or of one part of it."""

    __slots__ = (
        "_is_lost",
        "_keeps_values",
        "_listener",
        "_load_s",
        "_now",
        "_on_answer",
        "_rows",
        "_store",
        "_unanswered_feeds",
        "_wait_s",
        "complete_as_of",
        "lag_s",
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
        now: Callable[[], float] | None = None,
        keeps_values: bool = True,
    ) -> None:
        self._store = store
        self._listener = listener
        # Whether `rows` have their values, or only the listener gets these.
        self._keeps_values = keeps_values
        # How long a feed call may wait in the store for a change.
        self._wait_s = wait_s
        # Called after the changes of each answer were applied.
        self._on_answer = on_answer
        # The clock of `complete_as_of`; that of the event loop by default.
        self._now = now
        self.table = table
        # None for all parts.
        self.part = part
        # The pause after an answer with changes, which batches later ones.
        self.pause_s = pause_s
        self._rows: dict[tuple[str, str], StoredRow] = {}
        self._is_lost = False
        # How long it took to read all rows the last time.
        self._load_s = 0.0
        self._unanswered_feeds = 0
        # The maximum age of the last answer's rows when they arrived.
        self.lag_s = 0.0
        # The store's version that the replica is complete up to.
        self.version = 0
        # Local time before the request was sent whose answer has completed
        # the replica.  It lacks only changes that were made after that.
        self.complete_as_of = -math.inf
        self.loaded = asyncio.Event()

    @property
    def rows(self) -> list[StoredRow]:
        """The current rows."""
        return list(self._rows.values())

    def has(self, part: str, key: str) -> bool:
        """Return whether a row exists."""
        return (part, key) in self._rows

    async def run(self) -> None:
        """Keep the replica up to date until cancelled."""
        retry_s = RETRY_S
        while True:
            if not self.loaded.is_set():
                result = await self._load()
            else:
                result = await self._catch_up()
            if isinstance(result, Failure):
                self._log_lost(result.failure())
                await asyncio.sleep(retry_s)
                retry_s = min(RETRY_MAX_S, retry_s * 2)
                continue
            retry_s = RETRY_S
            self._log_regained()
            if self._on_answer is not None:
                self._on_answer()
            if result.unwrap():
                await asyncio.sleep(self.pause_s)

    async def _load(self) -> Result[bool, Fault]:
        """Read all rows and report those that differ from the replica.

        The first read precedes the list of parts.  A part that is created
        after the list only has rows newer than that read, so the feed
        reports them.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        requested_at = self._local_time()
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
            detail = f"answer at version {version}, older than {self.version}"
            return Failure(
                Fault(PLATFORM_INVALID, Step.READ, Peer.PLATFORM, detail)
            )
        for key, current in list(self._rows.items()):
            if key not in rows and current.version <= version:
                self._apply(
                    StoredRow(
                        current.table, current.part, current.key, None, version
                    )
                )
        for row in rows.values():
            self._apply(row)
        self.version = max(self.version, version)
        self.complete_as_of = requested_at
        self.loaded.set()
        self._load_s = loop.time() - began
        self.lag_s = self._load_s
        return Success(True)

    async def _catch_up(self) -> Result[bool, Fault]:
        """Apply the next changes, or read all rows if they don't arrive.

        Refused calls don't count, because they say nothing of the size of
        the answer, and reads would add to the load of the store.
        """
        limit_s = self._wait_s + max(FEED_EXTRA_S, self._load_s)
        reason = f"a feed call took longer than {limit_s:.1f} s"
        try:
            async with asyncio.timeout(limit_s):
                result = await self._apply_changes()
        except TimeoutError:
            pass
        else:
            if isinstance(result, Success):
                self._unanswered_feeds = 0
                return result
            if result.failure().code is not PLATFORM_UNKNOWN:
                return result
            self._unanswered_feeds += 1
            if self._unanswered_feeds < UNANSWERED_FEEDS_MAX:
                return result
            reason = f"{self._unanswered_feeds} feed calls were not answered"
        # A feed call is next even if the read fails, since the changes may
        # be fewer than the rows.
        self._unanswered_feeds = 0
        loaded = await self._load()
        if isinstance(loaded, Success):
            log_change(
                "table-reread",
                table=self.table,
                version=self.version,
                reason=reason,
            )
        return loaded

    async def _apply_changes(self) -> Result[bool, Fault]:
        """Apply the next changes; return whether there were any."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        requested_at = self._local_time()
        # The first call after a failure, or after the host was suspended, is
        # answered at once.
        age_s = requested_at - self.complete_as_of
        is_late = self._is_lost or age_s > STALE_WAITS * self._wait_s
        wait_s = 0.0 if is_late else self._wait_s
        result = await self._store.feed(self.table, self.version, wait_s)
        match result:
            case Success(HistoryGone()):
                log_change(
                    "table-reread",
                    table=self.table,
                    version=self.version,
                    reason="the store has dropped older changes",
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
                self._apply(row)
        if changes.version >= self.version:
            self.version = changes.version
            self.complete_as_of = requested_at
        # An answer without rows is small, and was made after the wait.
        self.lag_s = loop.time() - began if changes.rows else 0.0
        return Success(bool(changes.rows))

    def _local_time(self) -> float:
        """Return the time on the clock of `complete_as_of`."""
        if self._now is not None:
            return self._now()
        return asyncio.get_running_loop().time()

    def _apply(self, row: StoredRow) -> None:
        """Apply a row if it is newer than the replica's, and report it."""
        key = (row.part, row.key)
        current = self._rows.get(key)
        if current is not None and current.version >= row.version:
            return
        if row.value is None:
            if self._rows.pop(key, None) is None:
                return
        elif self._keeps_values:
            self._rows[key] = row
        else:
            self._rows[key] = StoredRow(
                row.table, row.part, row.key, b"", row.version
            )
        try:
            self._listener(row)
        except Exception as error:
            # One row must not keep the others from being read.
            log_change(
                "row-not-applied",
                table=row.table,
                part=row.part,
                key=row.key,
                version=row.version,
                error=describe_error(error),
            )

    def _log_lost(self, fault: Fault) -> None:
        """Log the first of consecutive failures."""
        if not self._is_lost:
            self._is_lost = True
            log_fault("table-lost", fault, table=self.table)

    def _log_regained(self) -> None:
        """Log the first success after a failure."""
        if self._is_lost:
            self._is_lost = False
            log_change("table-regained", table=self.table)
