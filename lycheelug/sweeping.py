"""Deletion of old rows whose keys end in a hash.

Any daemon may sweep.  A step reads one partition of the rows, by the first
hexadecimal digits of their hash, and deletes what is too old there in one
bounded transaction.  Daemons start at random partitions, so several of
them share the work without agreeing on anything.

Limits: the age of a row is told by the sweeping daemon's clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from returns.result import Success

from lycheelug.store.interface import Commit, Guard, Transaction, Write

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lycheelug.store.interface import Platform, Row

    # Returns the names of an old row's objects; None for a row to keep.
    Judge = Callable[[Row, float], list[str] | None]

__all__ = ["SWEEP_PERIOD_S", "RowSweeper"]

SWEEP_PERIOD_S: Final = 3.0
SWEEP_BATCH: Final = 64


class RowSweeper:
    """Walks the partitions of the rows under one prefix.

    `owner` names this run of a daemon; `digits` of the hash make 16 to
    their power partitions.
    """

    __slots__ = (
        "_counter",
        "_digits",
        "_judge",
        "_owner",
        "_partition",
        "_platform",
        "_prefix",
    )

    def __init__(
        self,
        platform: Platform,
        owner: str,
        rng: random.Random,
        prefix: str,
        digits: int,
        judge: Judge,
    ) -> None:
        self._platform = platform
        self._owner = owner
        self._prefix = prefix
        self._digits = digits
        self._judge = judge
        self._partition = rng.randrange(16**digits)
        self._counter = 0

    @property
    def partitions(self) -> int:
        """How many steps make one round."""
        return int(16**self._digits)

    async def step(self, now: float) -> int:
        """Sweep the next partition; return how many rows went."""
        self._partition = (self._partition + 1) % self.partitions
        prefix = f"{self._prefix}{self._partition:0{self._digits}x}"
        match await self._platform.read_since(prefix, 0):
            case Success(delta):
                pass
            case _:
                return 0
        old: list[Row] = []
        objects: list[str] = []
        for row in delta.rows:
            names = self._judge(row, now)
            if names is None:
                continue
            old.append(row)
            objects += names
            if len(old) == SWEEP_BATCH:
                break
        for name in objects:
            deleted = await self._platform.delete_object(name)
            if not isinstance(deleted, Success):
                return 0
        return await self._delete(old)

    async def _delete(self, rows: list[Row]) -> int:
        """Delete rows unless one of them changed; return how many went."""
        if not rows:
            return 0
        guards = [Guard(row.key, row.revision) for row in rows]
        writes = [Write(row.key, None) for row in rows]
        self._counter += 1
        nonce = f"{self._owner}/sweep/{self._prefix}{self._counter}"
        answer = await self._platform.transact(
            Transaction(guards, writes, nonce)
        )
        match answer:
            case Success(Commit()):
                return len(rows)
        return 0
