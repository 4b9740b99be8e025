"""Tests of the table replica with writes between its reads."""

from __future__ import annotations

import asyncio

from lycheelug.store.memory_rows import MemoryRows
from lycheelug.store.replica import TableReplica
from lycheelug.store.rows import RowName
from tests.virtual_time import run_virtual


class RacingRows(MemoryRows):
    """A store in which rows are written between a replica's calls."""

    __slots__ = ("late_parts",)

    def __init__(self) -> None:
        super().__init__()
        # Parts that get a row immediately after the parts were listed.
        self.late_parts: list[str] = []

    async def parts(self, table: str):  # type: ignore[no-untyped-def]
        found = await super().parts(table)
        while self.late_parts:
            part = self.late_parts.pop()
            await self.commit(part, {}, {RowName(table, "k"): b"new"})
        return found


def follow(store: RacingRows) -> list[tuple[str, bytes | None]]:
    """Return the rows that a replica reports within a second."""
    reported: list[tuple[str, bytes | None]] = []

    async def run() -> None:
        replica = TableReplica(
            store, "t", lambda row: reported.append((row.part, row.value))
        )
        task = asyncio.create_task(replica.run())
        await asyncio.sleep(1.0)
        task.cancel()

    run_virtual(run())
    return reported


def test_part_that_is_created_after_the_list_is_not_missed() -> None:
    """The claim of a pool's first owner may be written in between."""
    store = RacingRows()
    store.late_parts = ["p"]
    assert follow(store) == [("p", b"new")]


def test_rows_written_between_two_reads_are_reported() -> None:
    store = RacingRows()

    async def fill() -> None:
        for part in ("p", "q"):
            await store.commit(part, {}, {RowName("t", "k"): b"old"})

    run_virtual(fill())
    store.late_parts = ["p", "r"]
    assert sorted(set(follow(store))) == [
        ("p", b"new"),
        ("q", b"old"),
        ("r", b"new"),
    ]
