"""At-most-once execution by idempotency keys, with claims in a table.

A request that may not be repeated is dispatched only under a claim: a
conditional write that succeeds only if the key has no row, or a row marked as
released.  A claim without an outcome is never taken over, regardless of
clocks and leases, so that the request of a daemon that was paused for a long
time can't run a second time.

The write carries a nonce.  If its answer is lost, the same write is repeated:
a commit, or a row with this nonce, shows that the claim succeeded.  After a
conflict the row is read at the revision of the conflict or later, because a
lagging replica may return an older row.  If the result is still uncertain
after all attempts, nothing is dispatched, the caller gets the outcome not-run
and a background task releases the claim: it writes a row marked FREE, so that
a delayed copy of the first write fails on its condition.

Cost: a new claim needs one write, its record or release another one (and an
object if the answer is larger than `INLINE_BYTES_MAX`); a repeated request
needs one failed write and one read.

Limits: rows are deleted after the retention time by the clock of the sweeping
daemon; see `Claim.is_usable` for the remaining risk.
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

# How long claims are stored.
RETENTION_S: Final = 24 * 3600.0
# The sweep reads one of 16**4 partitions of the rows at a time.
PARTITION_DIGITS: Final = 4
# How long after its claim a request may be dispatched.
USE_LIMIT_S: Final = 600.0
MAX_CLAIM_ATTEMPTS: Final = 4
# Maximum sizes of an answer that is stored in its row, and of one that is
# stored at all.
INLINE_BYTES_MAX: Final = 16 * 1024
STORED_ANSWER_BYTES_MAX: Final = 1024 * 1024
# Maximum size of all answers in memory that are not yet stored.
PENDING_BYTES_MAX: Final = 4 * 1024 * 1024


class ClaimStore:
    """Creates, records and releases the claims of one run of a daemon.

    `clock` returns Unix seconds; `run` must differ between runs of the same
    daemon.  Tests replace `sleep`.
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
        """The number of releases, records and uncertain claims in progress."""
        return self._queue.pending

    @property
    def dropped(self) -> int:
        """The number of writes that were given up; their keys stay claimed."""
        return self._queue.dropped

    async def claim(
        self, tenant: str, key: str, digest: str, now: float
    ) -> Result[Claim | Replay, Fault]:
        """Claim a key for one run of the request with this body digest.

        After a failure this call permits no dispatch, but with `key-claimed`
        and `key-reused` an earlier call with the key may have dispatched.
        If the call is cancelled, an uncertain claim is released.
        """
        self._counter += 1
        nonce = f"{self._daemon}.{self._run}.{self._counter}"
        nonce += f".{self._rng.getrandbits(64):016x}"
        row = ClaimRow(digest, self._daemon, self._run, nonce, now)
        name = claim_key(tenant, key)
        try:
            return await self._claim_row(name, row)
        except asyncio.CancelledError:
            self._queue.attempt_later(
                lambda: self._release_uncertain(name, row)
            )
            raise

    async def release(self, claimed: Claim) -> None:
        """Release a claim whose request was certainly not dispatched.

        Returns after the first attempt; retries run in the background.
        """
        if claimed.closed:
            return
        claimed.close("released")
        value = None
        if claimed.has_late_write:
            value = encode(_free_row(claimed.row))
        await self._queue.attempt_now(
            lambda: self._write_end(claimed, "release", value, None)
        )

    async def record(
        self,
        claimed: Claim,
        status: int,
        headers: AnswerHeaders,
        body: bytes,
    ) -> None:
        """Store the outcome of a claim's request, to answer repeated requests.

        Returns after the first attempt; retries run in the background.
        """
        if claimed.closed == "released":
            raise RuntimeError("can't record an outcome of a released claim")
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
        if not self._may_store_answer(size):
            row.kept = False
            size = 0
        elif size <= INLINE_BYTES_MAX:
            row.answer = pack_answer(headers, body)
        else:
            row.in_object = True
            stored = msgspec.msgpack.encode(pack_answer(headers, body))
        encoded = encode(row)
        await self._queue.attempt_now(
            lambda: self._write_end(claimed, "record", encoded, stored), size
        )

    async def sweep(self, now: float) -> int:
        """Delete old rows of one partition; return how many were deleted.

        Call this about every `SWEEP_PERIOD_S`.
        """
        return await self._sweeper.step(now)

    async def flush(self) -> None:
        """Wait until no write is pending; the caller sets a timeout."""
        await self._queue.flush()

    async def close(self) -> None:
        """Cancel pending writes, whose keys stay claimed."""
        await self._queue.close()

    # --- Claiming.

    async def _claim_row(
        self, name: str, row: ClaimRow
    ) -> Result[Claim | Replay, Fault]:
        """Write the row until the result is known or all attempts failed."""
        state = ClaimAttempt(name, row)
        for attempt in range(MAX_CLAIM_ATTEMPTS):
            if attempt > 0:
                await self._table.back_off(attempt)
            answer = await self._attempt_claim(state)
            if answer is not None:
                return answer
        if state.uncertain:
            self._queue.attempt_later(
                lambda: self._release_uncertain(name, row)
            )
        return Failure(claim_fault(CLAIM_LOST, state.detail))

    async def _attempt_claim(
        self, state: ClaimAttempt
    ) -> Result[Claim | Replay, Fault] | None:
        """Write the row once; return None if another attempt may succeed."""
        match await self._table.write(state.name, state.expected, state.row):
            case Success(Commit() as commit):
                return Success(self._make_claim(state, commit.revision))
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
                return await self._resolve_conflict(state, found)
            case Failure(fault):
                state.detail = str(fault)
        return None

    async def _resolve_conflict(
        self, state: ClaimAttempt, found: Row
    ) -> Result[Claim | Replay, Fault] | None:
        """Return the result of a claim that conflicted with a row."""
        stored = decode_claim(found)
        if stored is None:
            # An unreadable row counts as another claim of the key.
            return Failure(
                claim_fault(KEY_CLAIMED, "the claim's row is unreadable")
            )
        is_own = stored.nonce == state.row.nonce
        if is_own and stored.state is ClaimState.CLAIMED:
            return Success(self._make_claim(state, found.revision))
        if stored.state is ClaimState.FREE:
            state.expected = found.revision
            return None
        return await self._replay_or_fault(
            state.name, stored, state.row.digest
        )

    def _make_claim(self, state: ClaimAttempt, revision: int) -> Claim:
        return Claim(
            state.name,
            state.row,
            revision,
            self._use_limit_s,
            state.uncertain,
        )

    async def _replay_or_fault(
        self, name: str, stored: ClaimRow, digest: str
    ) -> Result[Claim | Replay, Fault]:
        """Return the outcome of another claim of the key, or a fault."""
        if stored.digest != digest:
            return Failure(claim_fault(KEY_REUSED, ""))
        if stored.state is ClaimState.CLAIMED:
            return Failure(
                claim_fault(KEY_CLAIMED, f"claimed by {stored.daemon}")
            )
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

    async def _release_uncertain(self, name: str, row: ClaimRow) -> bool:
        """Release an uncertain claim, including delayed copies of its write.

        Writes a FREE row unless the key has another claim.  Returns True if
        no further attempt is needed.
        """
        if self._clock() - row.claimed_at > self._retention_s:
            return True
        free = _free_row(row)
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
        is_own = stored.nonce == row.nonce
        if is_own and stored.state is ClaimState.FREE:
            return True
        if not is_own and stored.state is not ClaimState.FREE:
            return True
        match await self._table.write(name, current.revision, free):
            case Success(Commit()):
                return True
        return False

    async def _write_end(
        self,
        claimed: Claim,
        end_kind: str,
        value: bytes | None,
        stored: bytes | None,
    ) -> bool:
        """Write the end of a claim; return True if no retry is needed.

        A conflict shows that an earlier copy of this write took effect,
        because no other daemon changes the row before the retention time.
        """
        if self._clock() - claimed.claimed_at > self._retention_s:
            return True
        if stored is not None and not await self._table.store_answer(
            claimed.key, claimed.row, stored
        ):
            return False
        nonce = f"{claimed.row.nonce}/{end_kind}"
        written = await self._table.replace(
            claimed.key, claimed.revision, value, nonce
        )
        return isinstance(written, Success)

    def _old_objects(self, row: Row, now: float) -> list[str] | None:
        """Return the objects of an old row, or None if the row is kept.

        A claim without an outcome may also have an object, if only the
        write of its row failed.
        """
        stored = decode_claim(row)
        if stored is None or now - stored.claimed_at <= self._retention_s:
            return None
        has_no_outcome = stored.state is ClaimState.CLAIMED
        if has_no_outcome or stored.in_object:
            return [object_name(row.key, stored.nonce)]
        return []

    def _may_store_answer(self, size_bytes: int) -> bool:
        if size_bytes > STORED_ANSWER_BYTES_MAX:
            return False
        return self._queue.pending_bytes + size_bytes <= PENDING_BYTES_MAX


def _free_row(row: ClaimRow) -> ClaimRow:
    return msgspec.structs.replace(row, state=ClaimState.FREE)
