"""The owners of all duties, as the store's table of owners has them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec
from returns.result import Success

from lycheelug.decoding import decode_json
from lycheelug.jobservice.tables import OWNER_ROW
from lycheelug.logs import log_change
from lycheelug.ownership import (
    CENSUS_KEY,
    CENSUS_PART,
    OWNER_KEY,
    OWNERS_TABLE,
    OwnerRecord,
)
from lycheelug.store.replica import TableReplica

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.store.rows import RowStore, StoredRow

__all__ = ["OwnerTable"]

# Releasing a duty is retried while the store does not answer.  If all
# attempts fail, the duty stays unowned until the daemon's heartbeat times
# out.
RELEASE_ATTEMPTS: Final = 6
RELEASE_RETRY_S: Final = 0.2


class OwnerTable:
    """A replica of the table of owners."""

    __slots__ = ("_known", "_on_census", "_on_owner", "_store", "replica")

    def __init__(
        self,
        store: RowStore,
        on_owner: Callable[[str, OwnerRecord, int], None],
        on_census: Callable[[StoredRow], None],
        on_answer: Callable[[], None],
    ) -> None:
        self._store = store
        # Called with the duty, its owner and the row's version.
        self._on_owner = on_owner
        # Called with the row of the census.
        self._on_census = on_census
        self._known: dict[str, tuple[OwnerRecord, int]] = {}
        self.replica = TableReplica(
            store, OWNERS_TABLE, self._on_row, on_answer=on_answer
        )

    @property
    def is_loaded(self) -> bool:
        """Whether all owners were read."""
        return self.replica.loaded.is_set()

    @property
    def records(self) -> dict[str, OwnerRecord]:
        """The last known owner record of each duty."""
        return {duty: record for duty, (record, _) in self._known.items()}

    def get(self, duty: str) -> tuple[OwnerRecord, int] | None:
        """Return a duty's owner record and its version, if it has one."""
        return self._known.get(duty)

    def put(self, duty: str, record: OwnerRecord, version: int) -> None:
        """Replace a duty's owner record by one that was written here."""
        self._known[duty] = (record, version)

    def address(self, duty: str, own_name: str) -> str:
        """Return the address of the other daemon that holds a duty.

        Empty if `own_name` holds the duty, or the address is unknown.
        """
        owner = self._known.get(duty)
        if owner is None or owner[0].holder == own_name:
            return ""
        return owner[0].address

    async def store_release(
        self, duty: str, record: OwnerRecord, version: int
    ) -> bool:
        """Store that a duty was released; return False if that failed."""
        for _ in range(RELEASE_ATTEMPTS):
            result = await self._store.commit(
                duty,
                {OWNER_ROW: version},
                {OWNER_ROW: msgspec.json.encode(record)},
            )
            # A conflict also ends the retries: an earlier attempt took
            # effect, or the duty already has another holder.
            if isinstance(result, Success):
                return True
            await asyncio.sleep(RELEASE_RETRY_S)
        return False

    def apply(self, row: StoredRow) -> None:
        """Apply a row that another call has returned."""
        self._on_row(row)

    def _on_row(self, row: StoredRow) -> None:
        """Apply a changed owner row or census."""
        if row.key == CENSUS_KEY and row.part == CENSUS_PART:
            self._on_census(row)
            return
        if row.key != OWNER_KEY or row.value is None:
            return
        record = decode_json(row.value, OwnerRecord).value_or(None)
        if record is None:
            log_change("row-unreadable", table=row.table, part=row.part)
            return
        self._known[row.part] = (record, row.version)
        log_change(
            "duty-seen",
            duty=row.part,
            holder=record.holder,
            term=record.term,
            version=row.version,
        )
        self._on_owner(row.part, record, row.version)
