"""Requests that may not be repeated and carry an idempotency key.

The key is claimed before anything is dispatched, and the outcome recorded
after it.  A repeated arrival, at any daemon, gets the recorded outcome or
is told that the first one's end is unknown; it is never dispatched.  The
work goes on when its caller leaves, so that its outcome can be recorded.
"""

from __future__ import annotations

import asyncio
import hashlib
from typing import TYPE_CHECKING, Final

from returns.result import Failure

from lycheelug.callers.answers import problem_answer
from lycheelug.claims import Claim, IssuedClaim, IssuedKeys, Replay
from lycheelug.errors import (
    ANSWER_NOT_KEPT,
    KEY_CLAIMED,
    KEY_FORGOTTEN,
    KEY_RUN_ENDED,
    Fault,
    Peer,
    Step,
)
from lycheelug.http import Answer
from lycheelug.requests import Outcome

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from returns.result import Result

    from lycheelug.callers.request_headers import CallerRequest
    from lycheelug.claims import ClaimStore
    from lycheelug.metrics import Metrics
    from lycheelug.runner import StartGuard

    # Runs the request; asks the guard before the first byte leaves.
    Work = Callable[[StartGuard | None], Awaitable[Answer]]

__all__ = ["KeyedRequests"]

REPLAYED: Final = (b"lycheelug-replayed", b"yes")
OUTCOME: Final = b"lycheelug-outcome"
NOT_RUN: Final = (OUTCOME, Outcome.NOT_RUN.value.encode())
ANSWERED: Final = (OUTCOME, Outcome.ANSWERED.value.encode())
ACCEPTED: Final = (OUTCOME, Outcome.ACCEPTED.value.encode())
# A caller waits this long for its outcome to be stored before it is told.
RECORD_WAIT_S: Final = 0.5
# An earlier arrival of the same key may have run.
UNKNOWN_CODES: Final = frozenset(
    {KEY_CLAIMED.name, KEY_RUN_ENDED.name, KEY_FORGOTTEN.name}
)


class KeyedRequests:
    """Runs each key's request at most once."""

    __slots__ = ("_book", "_clock", "_issued", "_metrics", "_tasks")

    def __init__(
        self,
        book: ClaimStore,
        issued: IssuedKeys,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._book = book
        self._issued = issued
        self._metrics = metrics
        # Unix time in seconds, as claims carry it.
        self._clock = clock
        self._tasks: set[asyncio.Task[Answer]] = set()

    @property
    def running(self) -> int:
        """Requests that run, with or without their caller."""
        return len(self._tasks)

    def issue_key(self) -> str:
        """Return a key that only this run of this daemon takes."""
        self._metrics.count("keys-issued")
        return self._issued.issue(self._clock())

    async def handle(self, wanted: CallerRequest, work: Work) -> Answer:
        """Return the answer to a keyed request."""
        task = asyncio.create_task(self._handle(wanted, work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def _handle(self, wanted: CallerRequest, work: Work) -> Answer:
        """Claim, run and record."""
        claimed = await self._claim(wanted)
        if isinstance(claimed, Failure):
            return self._refuse(claimed.failure())
        held = claimed.unwrap()
        if isinstance(held, Replay):
            return self._replay(held)
        if isinstance(held, IssuedClaim):
            return await self._run_issued(held, work)
        return await self._run_claimed(held, work)

    async def _claim(
        self, wanted: CallerRequest
    ) -> Result[Claim | IssuedClaim | Replay, Fault]:
        """Claim the request's key where it belongs."""
        digest = request_digest(wanted)
        now = self._clock()
        if IssuedKeys.is_issued(wanted.key):
            return self._issued.claim(wanted.key, digest, now)
        return await self._book.claim(wanted.tenant, wanted.key, digest, now)

    async def _run_claimed(self, claimed: Claim, work: Work) -> Answer:
        """Run on a claim of the platform's table."""

        async def may_start() -> bool:
            return claimed.is_usable(self._clock())

        answer = await work(may_start)
        if NOT_RUN in answer.headers:
            await self._book.release(claimed)
            return answer
        if ANSWERED in answer.headers or ACCEPTED in answer.headers:
            recording = asyncio.create_task(
                self._book.record(
                    claimed, answer.status, answer.headers, answer.body
                )
            )
            await asyncio.wait({recording}, timeout=RECORD_WAIT_S)
        return answer

    async def _run_issued(self, held: IssuedClaim, work: Work) -> Answer:
        """Run on a key that this daemon issued."""
        answer = await work(None)
        if NOT_RUN in answer.headers:
            self._issued.release(held, self._clock())
        elif ANSWERED in answer.headers:
            self._issued.record(
                held, answer.status, answer.headers, answer.body
            )
        return answer

    def _replay(self, replay: Replay) -> Answer:
        """Return the recorded outcome of the key's one run."""
        self._metrics.count("replayed")
        if replay.body_kept:
            headers = [*replay.headers, REPLAYED]
            return Answer(replay.status, headers, replay.body)
        detail = f"it was answered with status {replay.status}"
        fault = Fault(ANSWER_NOT_KEPT, Step.CLAIM, Peer.PLATFORM, detail)
        return problem_answer(fault, Outcome.ANSWERED)

    def _refuse(self, fault: Fault) -> Answer:
        """Return what a failed claim lets the caller be told."""
        unknown = fault.code.name in UNKNOWN_CODES
        outcome = Outcome.UNKNOWN if unknown else Outcome.NOT_RUN
        self._metrics.count(f"{outcome}.{fault.code.name}")
        return problem_answer(fault, outcome)


def request_digest(wanted: CallerRequest) -> str:
    """Return a digest of what a request asks for."""
    request = wanted.request
    digest = hashlib.sha256()
    for part in (
        wanted.pool.encode(),
        request.method,
        request.target,
        request.body,
    ):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
