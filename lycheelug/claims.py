"""At-most-once work by idempotency keys, on the platform's table.

A request that may not be repeated is dispatched only on a claim: a row
that did not exist, or was marked as given back, and that one conditional
write made this daemon's own.  A claim without an outcome is taken over by
nobody, whatever a clock or a lease says, so a daemon that is paused for
long can't be overtaken by a second run of its work.

The write carries a nonce.  Where its answer is lost, the same write is
sent again: a commit, or a row with this nonce, means that the claim is
one's own.  Rows are read back at the revision of the conflict or later, so
a lagging replica can't mislead.  Where even this gives no certainty in
time, the caller is told that its work was not run, nothing is dispatched,
and a background task gives the claim back: it leaves a row marked FREE, on
which a copy of the first write that arrives later still fails.

Platform calls: a fresh claim is one write, its record or release one more
(and an object where the answer is over `INLINE_BYTES_MAX`); a repeated
arrival is one failed write and one read.

Limits: rows are deleted after the retention time by the sweeping daemon's
clock, see `Claim.is_usable` for the bound this leaves.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec
from returns.result import Failure, Result, Success

from lycheelug.claim_records import (
    CLAIM_PREFIX,
    AnswerHeaders,
    Claim,
    ClaimAttempt,
    ClaimRow,
    ClaimState,
    Replay,
    claim_key,
    object_name,
    pack_answer,
    unpack_headers,
)
from lycheelug.claim_table import ClaimTable, claim_fault, decode_claim
from lycheelug.errors import (
    CLAIM_LOST,
    KEY_CLAIMED,
    KEY_REUSED,
    PLATFORM_UNREACHABLE,
    Fault,
)
from lycheelug.issued_keys import IssuedClaim, IssuedKeys
from lycheelug.records import encode
from lycheelug.store.interface import ABSENT, Commit, Row
from lycheelug.sweeping import SWEEP_PERIOD_S, RowSweeper
from lycheelug.write_retries import WriteRetryQueue

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from lycheelug.store.interface import Platform

__all__ = [
    "SWEEP_PERIOD_S",
    "Claim",
    "ClaimStore",
    "IssuedClaim",
    "IssuedKeys",
    "Replay",
]

RETENTION_S: Final = 24 * 3600.0
# Sweeping reads one of 16**4 partitions of the rows at a time.
PARTITION_DIGITS: Final = 4
USE_LIMIT_S: Final = 600.0
CLAIM_TRIES: Final = 4
INLINE_BYTES_MAX: Final = 16 * 1024
KEPT_BYTES_MAX: Final = 1024 * 1024
# Answers that wait for the platform hold no more than this in memory.
PENDING_BYTES_MAX: Final = 4 * 1024 * 1024


class ClaimStore:
    """The claims of one run of a daemon.

    `clock` gives Unix seconds; `run` must differ between runs of the same
    daemon.  `sleep` is replaced in tests.
    """

    __slots__ = (
        "_clock",
        "_counter",
        "_daemon",
        "_queue",
        "_retention_s",
        "_rng",
        "_run",
        "_sweeper",
        "_table",
        "_use_limit_s",
    )

    def __init__(
        self,
        platform: Platform,
        daemon: str,
        run: str,
        clock: Callable[[], float],
        rng: random.Random,
        retention_s: float = RETENTION_S,
        use_limit_s: float = USE_LIMIT_S,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._daemon = daemon
        self._run = run
        self._clock = clock
        self._rng = rng
        self._retention_s = retention_s
        self._use_limit_s = use_limit_s
        self._queue = WriteRetryQueue(rng, sleep)
        self._table = ClaimTable(platform, rng, sleep)
        owner = f"{daemon}.{run}"
        self._sweeper = RowSweeper(
            platform,
            owner,
            rng,
            CLAIM_PREFIX,
            PARTITION_DIGITS,
            self._old_objects,
        )
        self._counter = 0

    @property
    def pending(self) -> int:
        """How many releases, records and uncertain claims are unsettled."""
        return self._queue.pending

    @property
    def dropped(self) -> int:
        """How many of them were given up: their keys stay claimed."""
        return self._queue.dropped

    async def claim(
        self, tenant: str, key: str, digest: str, now: float
    ) -> Result[Claim | Replay, Fault]:
        """Claim a key for one run of the request with this body digest.

        Every failure means that nothing was dispatched for this call; but
        `key-claimed` and `key-reused` mean that an earlier one may have.
        Cancelling the call gives an uncertain claim back.
        """
        self._counter += 1
        nonce = f"{self._daemon}.{self._run}.{self._counter}"
        nonce += f".{self._rng.getrandbits(64):016x}"
        row = ClaimRow(digest, self._daemon, self._run, nonce, now)
        name = claim_key(tenant, key)
        try:
            return await self._claim(name, row)
        except asyncio.CancelledError:
            self._queue.attempt_later(lambda: self._give_back(name, row))
            raise

    async def release(self, claimed: Claim) -> None:
        """Give a claim back whose work was certainly not dispatched.

        Returns after the first attempt; the rest goes on by itself.
        """
        if claimed.closed:
            return
        claimed.close("released")
        value = None
        if claimed.has_late_write:
            value = encode(_free(claimed.row))
        await self._queue.attempt_now(
            lambda: self._end(claimed, "release", value, None)
        )

    async def record(
        self,
        claimed: Claim,
        status: int,
        headers: AnswerHeaders,
        body: bytes,
    ) -> None:
        """Store the outcome of a claim's work for repeated arrivals.

        Returns after the first attempt; the rest goes on by itself.
        """
        if claimed.closed == "released":
            raise RuntimeError("a released claim has no outcome")
        if claimed.closed:
            return
        claimed.close("recorded")
        row = msgspec.structs.replace(
            claimed.row, state=ClaimState.ANSWERED, status=status
        )
        size = len(body)
        for name, value in headers:
            size += len(name) + len(value)
        stored: bytes | None = None
        if not self._may_keep(size):
            row.kept = False
            size = 0
        elif size <= INLINE_BYTES_MAX:
            row.answer = pack_answer(headers, body)
        else:
            row.in_object = True
            stored = msgspec.msgpack.encode(pack_answer(headers, body))
        encoded = encode(row)
        await self._queue.attempt_now(
            lambda: self._end(claimed, "record", encoded, stored), size
        )

    async def sweep(self, now: float) -> int:
        """Delete old rows of one partition; return how many went.

        Call it about every `SWEEP_PERIOD_S`.
        """
        return await self._sweeper.step(now)

    async def flush(self) -> None:
        """Return when nothing is unsettled; the caller sets a timeout."""
        await self._queue.flush()

    async def close(self) -> None:
        """Stop background work; unsettled keys stay claimed."""
        await self._queue.close()

    # --- Claiming.

    async def _claim(
        self, name: str, row: ClaimRow
    ) -> Result[Claim | Replay, Fault]:
        """Write the row until its fate is known, or the tries are spent."""
        state = ClaimAttempt(name, row)
        for attempt in range(CLAIM_TRIES):
            if attempt > 0:
                await self._table.back_off(attempt)
            answer = await self._attempt(state)
            if answer is not None:
                return answer
        if state.uncertain:
            self._queue.attempt_later(lambda: self._give_back(name, row))
        return Failure(claim_fault(CLAIM_LOST, state.detail))

    async def _attempt(
        self, state: ClaimAttempt
    ) -> Result[Claim | Replay, Fault] | None:
        """Write the row once; None where another attempt is worth it."""
        match await self._table.write(state.name, state.expected, state.row):
            case Success(Commit() as commit):
                return Success(self._claimed(state, commit.revision))
            case Success(conflict):
                revision = conflict.revision
            case Failure(fault):
                state.detail = str(fault)
                if fault.code is not PLATFORM_UNREACHABLE:
                    state.uncertain = True
                if state.uncertain:
                    return None
                return Failure(claim_fault(fault.code, fault.detail))
        match await self._table.read_at(state.name, revision):
            case Success(None):
                state.expected = ABSENT
                return None
            case Success(found):
                return await self._judge(state, found)
            case Failure(fault):
                state.detail = str(fault)
        return None

    async def _judge(
        self, state: ClaimAttempt, found: Row
    ) -> Result[Claim | Replay, Fault] | None:
        """Tell by the row that stood in the way how the claim went."""
        stored = decode_claim(found)
        if stored is None:
            # A row that can't be understood is somebody's claim.
            return Failure(claim_fault(KEY_CLAIMED, "row not understood"))
        own = stored.nonce == state.row.nonce
        if own and stored.state is ClaimState.CLAIMED:
            return Success(self._claimed(state, found.revision))
        if stored.state is ClaimState.FREE:
            state.expected = found.revision
            return None
        return await self._replay(state.name, stored, state.row.digest)

    def _claimed(self, state: ClaimAttempt, revision: int) -> Claim:
        return Claim(
            state.name,
            state.row,
            revision,
            self._use_limit_s,
            state.uncertain,
        )

    async def _replay(
        self, name: str, stored: ClaimRow, digest: str
    ) -> Result[Claim | Replay, Fault]:
        """Return what another claim of the key came to."""
        if stored.digest != digest:
            return Failure(claim_fault(KEY_REUSED, ""))
        if stored.state is ClaimState.CLAIMED:
            return Failure(claim_fault(KEY_CLAIMED, f"by {stored.daemon}"))
        answer = stored.answer
        if stored.in_object:
            match await self._table.fetch_answer(name, stored):
                case Success(fetched):
                    answer = fetched
                case Failure(fault):
                    return Failure(fault)
        if answer is None:
            return Success(Replay(stored.status, [], b"", body_kept=False))
        headers = unpack_headers(answer)
        return Success(Replay(stored.status, headers, answer.body))

    # --- Ending claims.

    async def _give_back(self, name: str, row: ClaimRow) -> bool:
        """Make sure that an uncertain claim neither holds nor will.

        Leaves a FREE row unless another claim stands.  True when done.
        """
        if self._clock() - row.claimed_at > self._retention_s:
            return True
        free = _free(row)
        expected = ABSENT
        match await self._table.write(name, expected, free):
            case Success(Commit()):
                return True
            case Success(conflict):
                found = await self._table.read_at(name, conflict.revision)
            case _:
                return False
        match found:
            case Success(Row() as current):
                stored = decode_claim(current)
            case _:
                return False
        if stored is None:
            return True
        own = stored.nonce == row.nonce
        if own and stored.state is ClaimState.FREE:
            return True
        if not own and stored.state is not ClaimState.FREE:
            return True
        match await self._table.write(name, current.revision, free):
            case Success(Commit()):
                return True
        return False

    async def _end(
        self,
        claimed: Claim,
        how: str,
        value: bytes | None,
        stored: bytes | None,
    ) -> bool:
        """Write how a claim ended; True when nothing is left to do.

        A conflict means that an earlier copy of this write took effect:
        nobody else changes the row before the retention time.
        """
        if self._clock() - claimed.claimed_at > self._retention_s:
            return True
        if stored is not None and not await self._table.store_answer(
            claimed.key, claimed.row, stored
        ):
            return False
        nonce = f"{claimed.row.nonce}/{how}"
        written = await self._table.replace(
            claimed.key, claimed.revision, value, nonce
        )
        return isinstance(written, Success)

    def _old_objects(self, row: Row, now: float) -> list[str] | None:
        """Return an old row's objects, or None for a row to keep.

        A claim without an outcome may have left its answer there, too.
        """
        stored = decode_claim(row)
        if stored is None or now - stored.claimed_at <= self._retention_s:
            return None
        unrecorded = stored.state is ClaimState.CLAIMED
        if unrecorded or stored.in_object:
            return [object_name(row.key, stored.nonce)]
        return []

    def _may_keep(self, size_bytes: int) -> bool:
        if size_bytes > KEPT_BYTES_MAX:
            return False
        return self._queue.pending_bytes + size_bytes <= PENDING_BYTES_MAX


def _free(row: ClaimRow) -> ClaimRow:
    return msgspec.structs.replace(row, state=ClaimState.FREE)
