"""Runs non-repeatable requests with an idempotency key at most once.

The key is claimed before the request is dispatched, and the outcome is
recorded afterwards.  A duplicate with the same key, at any daemon, is never
dispatched: it gets the recorded outcome, or an error if the outcome of the
first request is unknown.  The request continues when its caller
disconnects, so that its outcome can be recorded.
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

    # Runs the request; calls the guard, if any, before the first byte is sent.
    Work = Callable[[StartGuard | None], Awaitable[Answer]]

__all__ = ["KeyedRequests"]

REPLAYED: Final = (b"lycheelug-replayed", b"yes")
OUTCOME_HEADER: Final = b"lycheelug-outcome"
NOT_RUN: Final = (OUTCOME_HEADER, Outcome.NOT_RUN.value.encode())
ANSWERED: Final = (OUTCOME_HEADER, Outcome.ANSWERED.value.encode())
ACCEPTED: Final = (OUTCOME_HEADER, Outcome.ACCEPTED.value.encode())
# The maximum time that an answer is delayed until its outcome is stored.
RECORD_WAIT_S: Final = 0.5
# With these codes an earlier request with the same key may have run.
UNKNOWN_OUTCOME_CODES: Final = frozenset(
    {KEY_CLAIMED.name, KEY_RUN_ENDED.name, KEY_FORGOTTEN.name}
)


class KeyedRequests:
    """Runs the request of each idempotency key at most once."""

    __slots__ = ("_claims", "_clock", "_issued", "_metrics", "_tasks")

    def __init__(
        self,
        claims: ClaimStore,
        issued: IssuedKeys,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._claims = claims
        self._issued = issued
        self._metrics = metrics
        # Returns Unix time in seconds, the unit of the claims' times.
        self._clock = clock
        self._tasks: set[asyncio.Task[Answer]] = set()

    @property
    def running(self) -> int:
        """The number of running requests, also of disconnected callers."""
        return len(self._tasks)

    def issue_key(self) -> str:
        """Return a new key that is only valid in this run of this daemon."""
        self._metrics.count("keys-issued")
        return self._issued.issue(self._clock())

    async def handle(
        self, caller_request: CallerRequest, work: Work
    ) -> Answer:
        """Return the answer to a keyed request."""
        task = asyncio.create_task(self._handle(caller_request, work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def _handle(
        self, caller_request: CallerRequest, work: Work
    ) -> Answer:
        """Claim the key, run the request and record its outcome."""
        claimed = await self._claim(caller_request)
        if isinstance(claimed, Failure):
            return self._refuse(claimed.failure())
        claim = claimed.unwrap()
        if isinstance(claim, Replay):
            return self._replay_answer(claim)
        if isinstance(claim, IssuedClaim):
            return await self._run_issued(claim, work)
        return await self._run_claimed(claim, work)

    async def _claim(
        self, caller_request: CallerRequest
    ) -> Result[Claim | IssuedClaim | Replay, Fault]:
        """Claim the key: in memory if this daemon issued it, else stored."""
        digest = request_digest(caller_request)
        now = self._clock()
        if IssuedKeys.is_issued(caller_request.key):
            return self._issued.claim(caller_request.key, digest, now)
        return await self._claims.claim(
            caller_request.tenant, caller_request.key, digest, now
        )

    async def _run_claimed(self, claim: Claim, work: Work) -> Answer:
        """Run a request whose key is claimed in the platform's table."""

        async def may_start() -> bool:
            return claim.is_usable(self._clock())

        answer = await work(may_start)
        if NOT_RUN in answer.headers:
            await self._claims.release(claim)
            return answer
        if ANSWERED in answer.headers or ACCEPTED in answer.headers:
            recording = asyncio.create_task(
                self._claims.record(
                    claim, answer.status, answer.headers, answer.body
                )
            )
            await asyncio.wait({recording}, timeout=RECORD_WAIT_S)
        return answer

    async def _run_issued(self, claim: IssuedClaim, work: Work) -> Answer:
        """Run a request whose key this daemon issued."""
        answer = await work(None)
        if NOT_RUN in answer.headers:
            self._issued.release(claim, self._clock())
        elif ANSWERED in answer.headers:
            self._issued.record(
                claim, answer.status, answer.headers, answer.body
            )
        return answer

    def _replay_answer(self, replay: Replay) -> Answer:
        """Return the recorded outcome of the earlier request."""
        self._metrics.count("replayed")
        if replay.body_kept:
            headers = [*replay.headers, REPLAYED]
            return Answer(replay.status, headers, replay.body)
        detail = f"the request was answered with status {replay.status}"
        fault = Fault(ANSWER_NOT_KEPT, Step.CLAIM, Peer.PLATFORM, detail)
        return problem_answer(fault, Outcome.ANSWERED)

    def _refuse(self, fault: Fault) -> Answer:
        """Return the error answer after a failed claim."""
        is_unknown = fault.code.name in UNKNOWN_OUTCOME_CODES
        outcome = Outcome.UNKNOWN if is_unknown else Outcome.NOT_RUN
        self._metrics.count(f"{outcome}.{fault.code.name}")
        return problem_answer(fault, outcome)


def request_digest(caller_request: CallerRequest) -> str:
    """Return a digest that identifies the content of a request.

    It detects a key that is reused for a different request.
    """
    request = caller_request.request
    digest = hashlib.sha256()
    for part in (
        caller_request.pool.encode(),
        request.method,
        request.target,
        request.body,
    ):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
