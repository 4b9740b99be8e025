"""Deletes expired rows whose keys end in a hash.

Any daemon may sweep.  A step reads one partition of the rows, selected by
the first hexadecimal digits of the hash, and deletes its expired rows in
one bounded transaction.  Daemons start at random partitions, so several
daemons share the work without coordination.

Limits: the age of a row is determined by the sweeping daemon's clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from returns.result import Success

from lycheelug.store.interface import Commit, Guard, Transaction, Write

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lycheelug.store.interface import Platform, Row

    # Returns the names of the objects of an expired row, or None if the row
    # has not expired.
    ExpiryCheck = Callable[[Row, float], list[str] | None]

__all__ = ["SWEEP_PERIOD_S", "RowSweeper"]

SWEEP_PERIOD_S: Final = 3.0
SWEEP_BATCH: Final = 64


class RowSweeper:
    """Sweeps the rows under one key prefix, partition by partition.

    `owner` identifies this run of a daemon.  The rows are divided into
    16 ** `digits` partitions.
    """

    __slots__ = (
        "_check_expiry",
        "_counter",
        "_digits",
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
        check_expiry: ExpiryCheck,
    ) -> None:
        self._platform = platform
        self._owner = owner
        self._prefix = prefix
        self._digits = digits
        self._check_expiry = check_expiry
        self._partition = rng.randrange(16**digits)
        self._counter = 0

    @property
    def partitions(self) -> int:
        """The number of partitions, and so of steps per round."""
        return int(16**self._digits)

    async def step(self, now: float) -> int:
        """Sweep the next partition; return the number of deleted rows."""
        self._partition = (self._partition + 1) % self.partitions
        prefix = f"{self._prefix}{self._partition:0{self._digits}x}"
        match await self._platform.read_since(prefix, 0):
            case Success(delta):
                pass
            case _:
                return 0
        expired: list[Row] = []
        objects: list[str] = []
        for row in delta.rows:
            names = self._check_expiry(row, now)
            if names is None:
                continue
            expired.append(row)
            objects += names
            if len(expired) == SWEEP_BATCH:
                break
        for name in objects:
            deleted = await self._platform.delete_object(name)
            if not isinstance(deleted, Success):
                return 0
        return await self._delete(expired)

    async def _delete(self, rows: list[Row]) -> int:
        """Delete the rows unless one has changed; return their number."""
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
