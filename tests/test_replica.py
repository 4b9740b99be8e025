"""A table's local copy, whatever comes between its reads."""

from __future__ import annotations

import asyncio

from lycheelug.store.memory_rows import MemoryRows
from lycheelug.store.replica import TableReplica
from lycheelug.store.rows import RowName
from tests.virtual_time import run_virtual


class RacingRows(MemoryRows):
    """A store in which rows are written between a mirror's calls."""

    __slots__ = ("late",)

    def __init__(self) -> None:
        super().__init__()
        # Parts that get a row right after the parts were listed.
        self.late: list[str] = []

    async def parts(self, table: str):  # type: ignore[no-untyped-def]
        found = await super().parts(table)
        while self.late:
            part = self.late.pop()
            await self.commit(part, {}, {RowName(table, "k"): b"new"})
        return found


def follow(store: RacingRows) -> list[tuple[str, bytes | None]]:
    """Return the rows that a mirror has told after a while."""
    told: list[tuple[str, bytes | None]] = []

    async def run() -> None:
        mirror = TableReplica(
            store, "t", lambda row: told.append((row.part, row.value))
        )
        task = asyncio.create_task(mirror.run())
        await asyncio.sleep(1.0)
        task.cancel()

    run_virtual(run())
    return told


def test_part_that_is_made_after_the_list_is_not_missed() -> None:
    """A pool's first owner was never seen: its claim came in between."""
    store = RacingRows()
    store.late = ["p"]
    assert follow(store) == [("p", b"new")]


def test_rows_written_between_two_parts_are_told() -> None:
    store = RacingRows()

    async def fill() -> None:
        for part in ("p", "q"):
            await store.commit(part, {}, {RowName("t", "k"): b"old"})

    run_virtual(fill())
    store.late = ["p", "r"]
    assert sorted(set(follow(store))) == [
        ("p", b"new"),
        ("q", b"old"),
        ("r", b"new"),
    ]
