"""Reads and writes of claim rows and their answers on the platform.

Writes are conditional and carry a nonce derived from the claim's nonce, so
that a repeated call has no second effect.  Reads require a minimum revision,
because a plain read may be answered by a lagging replica.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from returns.result import Failure, Result, Success

from lycheelug.claim_records import ClaimRow, StoredAnswer, object_name
from lycheelug.decoding import decode_msgpack
from lycheelug.errors import (
    CLAIM_LOST,
    PLATFORM_INVALID,
    UNKNOWN_OBJECT,
    Fault,
    Peer,
    Step,
)
from lycheelug.records import decode, encode
from lycheelug.store.interface import Guard, Row, Transaction, Write

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from lycheelug.errors import ErrorCode
    from lycheelug.store.interface import (
        Commit,
        Conflict,
        Delta,
        Platform,
    )

__all__ = ["ClaimTable", "claim_fault", "decode_claim"]

MAX_READ_ATTEMPTS: Final = 5
FIRST_BACKOFF_S: Final = 0.02


class ClaimTable:
    """Access of one daemon to the claim rows and answers."""

    __slots__ = ("_platform", "_rng", "_sleep")

    def __init__(
        self,
        platform: Platform,
        rng: random.Random,
        sleep: Callable[[float], Awaitable[None]],
    ) -> None:
        self._platform = platform
        self._rng = rng
        self._sleep = sleep

    async def write(
        self, name: str, expected: int, row: ClaimRow
    ) -> Result[Commit | Conflict, Fault]:
        """Write a row if it has the expected revision; idempotent."""
        nonce = f"{row.nonce}/{row.state.value}/{expected}"
        return await self.replace(name, expected, encode(row), nonce)

    async def replace(
        self, name: str, expected: int, value: bytes | None, nonce: str
    ) -> Result[Commit | Conflict, Fault]:
        """Write or delete a row if it has the expected revision."""
        guards = [Guard(name, expected)]
        writes = [Write(name, value)]
        return await self._platform.transact(
            Transaction(guards, writes, nonce)
        )

    async def read_at(
        self, name: str, revision: int
    ) -> Result[Row | None, Fault]:
        """Return a row as of a revision or later."""
        for attempt in range(MAX_READ_ATTEMPTS):
            if attempt > 0:
                await self.back_off(attempt)
            match await self._platform.read_since(name, 0):
                case Success(delta) if delta.revision >= revision:
                    return Success(_find_row(delta, name))
                case _:
                    continue
        return Failure(
            claim_fault(CLAIM_LOST, "no read reached the required revision")
        )

    async def fetch_answer(
        self, name: str, stored: ClaimRow
    ) -> Result[StoredAnswer | None, Fault]:
        """Return an answer from the object store; None if it was deleted."""
        read = await self._platform.get_object(object_name(name, stored.nonce))
        match read:
            case Success(data):
                pass
            case Failure(fault) if fault.code is UNKNOWN_OBJECT:
                return Success(None)
            case Failure(fault):
                return Failure(fault)
        answer = decode_msgpack(data, StoredAnswer)
        if isinstance(answer, Failure):
            return Failure(claim_fault(PLATFORM_INVALID, answer.failure()))
        return Success(answer.unwrap())

    async def store_answer(
        self, name: str, row: ClaimRow, data: bytes
    ) -> bool:
        """Write an answer to the object store; return True on success."""
        stored = await self._platform.put_object(
            object_name(name, row.nonce), data
        )
        return isinstance(stored, Success)

    async def back_off(self, attempt: int) -> None:
        """Sleep with exponential backoff before a retry, counted from 1."""
        pause_s = FIRST_BACKOFF_S * 2.0 ** (attempt - 1)
        await self._sleep(pause_s * self._rng.uniform(0.5, 1.5))


def decode_claim(row: Row) -> ClaimRow | None:
    """Decode a claim's row; return None if it is invalid."""
    if row.value is None:
        return None
    return decode(row.value, ClaimRow).value_or(None)


def claim_fault(code: ErrorCode, detail: str) -> Fault:
    """Return a fault of the claim step."""
    return Fault(code, Step.CLAIM, Peer.PLATFORM, detail)


def _find_row(delta: Delta, name: str) -> Row | None:
    for row in delta.rows:
        if row.key == name and row.value is not None:
            return row
    return None
