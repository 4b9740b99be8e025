"""Deletion of claim rows that are past the retention time.

Any daemon may sweep.  A step reads one of 65,536 partitions of the rows,
by the first digits of their hash, and deletes what is too old there in one
bounded transaction.  Daemons start at random partitions, so several of
them share the work without agreeing on anything.

Limits: the age of a row is told by the sweeping daemon's clock, which
must not run ahead of the others by more than the retention time less the
claims' use limit.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from returns.result import Success

from lycheelug.claim_records import CLAIM_PREFIX, ClaimState, object_name
from lycheelug.claim_table import decode_claim
from lycheelug.platform.interface import Commit, Guard, Transaction, Write

if TYPE_CHECKING:
    import random

    from lycheelug.platform.interface import Platform, Row

__all__ = ["RETENTION_S", "SWEEP_PERIOD_S", "ClaimSweeper"]

RETENTION_S: Final = 24 * 3600.0
SWEEP_PERIOD_S: Final = 3.0
PARTITION_DIGITS: Final = 4
PARTITIONS: Final = 16**PARTITION_DIGITS
SWEEP_BATCH: Final = 64


class ClaimSweeper:
    """Walks the partitions of the claim rows; `owner` names this run."""

    __slots__ = (
        "_counter",
        "_owner",
        "_partition",
        "_platform",
        "_retention_s",
    )

    def __init__(
        self,
        platform: Platform,
        owner: str,
        rng: random.Random,
        retention_s: float,
    ) -> None:
        self._platform = platform
        self._owner = owner
        self._retention_s = retention_s
        self._partition = rng.randrange(PARTITIONS)
        self._counter = 0

    async def step(self, now: float) -> int:
        """Sweep the next partition; return how many rows went."""
        self._partition = (self._partition + 1) % PARTITIONS
        prefix = f"{CLAIM_PREFIX}{self._partition:0{PARTITION_DIGITS}x}"
        match await self._platform.read_since(prefix, 0):
            case Success(delta):
                pass
            case _:
                return 0
        expired: list[Row] = []
        for row in delta.rows:
            if len(expired) < SWEEP_BATCH and self._is_expired(row, now):
                expired.append(row)
        for row in expired:
            if not await self._delete_answer(row):
                return 0
        return await self._delete(expired)

    def _is_expired(self, row: Row, now: float) -> bool:
        stored = decode_claim(row)
        if stored is None:
            return False
        return now - stored.claimed_at > self._retention_s

    async def _delete_answer(self, row: Row) -> bool:
        """Delete a row's answer, if it may lie in the object store.

        A claim without an outcome may have left one there, too.
        """
        stored = decode_claim(row)
        if stored is None or stored.state is ClaimState.FREE:
            return True
        if stored.state is ClaimState.ANSWERED and not stored.in_object:
            return True
        name = object_name(row.key, stored.nonce)
        deleted = await self._platform.delete_object(name)
        return isinstance(deleted, Success)

    async def _delete(self, rows: list[Row]) -> int:
        """Delete rows unless one of them changed; return how many went."""
        if not rows:
            return 0
        guards = [Guard(row.key, row.revision) for row in rows]
        writes = [Write(row.key, None) for row in rows]
        self._counter += 1
        nonce = f"{self._owner}/sweep/{self._counter}"
        answer = await self._platform.transact(
            Transaction(guards, writes, nonce)
        )
        match answer:
            case Success(Commit()):
                return len(rows)
        return 0
