"""Submits configurations through the platform, and resolves nonces.

Drives the pure steps of `config_submission`: prepare on all daemons in
rounds, accept by a transaction, and hand the accepted change on.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Result, Success

from lycheelug.config_outcome import (
    Accepted,
    PendingChange,
    Undecided,
)
from lycheelug.config_submission import Decision, Submission
from lycheelug.configuration import log_key
from lycheelug.entries.messages import ConfigPhase
from lycheelug.records import CONFIG_KEY

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable, Iterable

    from lycheelug.config_exchange import ConfigExchange
    from lycheelug.config_outcome import Outcome
    from lycheelug.errors import Fault
    from lycheelug.store.interface import Platform, Row

__all__ = ["PENDING_LIMIT_S", "ConfigSubmitter"]

# How long a submission waits for missing daemons, unless told otherwise.
PENDING_LIMIT_S: Final = 5.0

_RETRY_S: Final = 0.2


class ConfigSubmitter:
    """Submits changes on behalf of operators who asked this daemon."""

    __slots__ = (
        "_clock",
        "_exchange",
        "_pending",
        "_platform",
        "_rng",
        "_sleep",
    )

    def __init__(
        self,
        platform: Platform,
        exchange: ConfigExchange,
        clock: Callable[[], float],
        rng: random.Random,
        sleep: Callable[[float], Awaitable[object]] = asyncio.sleep,
    ) -> None:
        self._platform = platform
        self._exchange = exchange
        self._clock = clock
        self._rng = rng
        self._sleep = sleep
        self._pending: dict[str, PendingChange] = {}

    @property
    def pending(self) -> list[PendingChange]:
        """The submissions on their way through this daemon."""
        return list(self._pending.values())

    async def submit(
        self,
        nonce: str,
        body: bytes,
        base_revision: int | None = None,
        excused: Iterable[str] = (),
        limit_s: float = PENDING_LIMIT_S,
    ) -> Outcome:
        """Submit a change; a nonce that was decided keeps its outcome.

        With a base revision, the change is refused where another one came
        after it.  `excused` names daemons that need not hold it.
        """
        if nonce in self._pending:
            return Undecided(nonce, "the change is on its way")
        own = self._exchange.members.own.name
        token = f"{self._rng.getrandbits(64):016x}"
        submission = Submission(
            nonce, own, body, token, base_revision, excused
        )
        self._pending[nonce] = PendingChange(nonce)
        try:
            outcome = await self._run(submission, self._clock() + limit_s)
        finally:
            self._pending.pop(nonce, None)
        if not isinstance(outcome, Accepted):
            return outcome
        return await self._spread(submission, outcome)

    async def resolve(
        self, nonce: str, limit_s: float = PENDING_LIMIT_S
    ) -> Outcome:
        """Tell how a nonce was decided; an undecided one is closed."""
        decision = Decision(nonce)
        deadline = self._clock() + limit_s
        while self._clock() < deadline:
            match await self._read(nonce):
                case Success((current, log)):
                    outcome = decision.begin(current, log)
                case Failure(fault):
                    return Undecided(nonce, str(fault))
            if outcome is not None:
                return outcome
            match await self._platform.transact(decision.transaction()):
                case Success(answer):
                    outcome = decision.on_answer(answer)
            if outcome is not None:
                return outcome
            await self._sleep(_RETRY_S)
        return Undecided(nonce, "no answer in time")

    async def _run(self, submission: Submission, deadline: float) -> Outcome:
        while True:
            match await self._read(submission.nonce):
                case Success((current, log)):
                    outcome = submission.begin(current, log)
                case Failure(fault):
                    return submission.give_up(str(fault))
            if outcome is None:
                outcome = await self._prepare(submission, deadline)
            if outcome is None and submission.is_prepared:
                outcome = await self._accept(submission, deadline)
            if outcome is not None:
                return outcome
            if self._clock() >= deadline:
                return submission.give_up("raced by other changes")
            await self._sleep(_RETRY_S)

    async def _prepare(
        self, submission: Submission, deadline: float
    ) -> Outcome | None:
        """Prepare on all daemons; None where prepared or overtaken.

        All must hold the change within one round, so that none of them was
        cut off a while before the acceptance.
        """
        pending = self._pending[submission.nonce]
        pending.revision = submission.proposal.revision
        state = self._exchange.state
        reason = state.prepare(submission.proposal)
        if reason:
            own = self._exchange.members.own.name
            in_force = state.accepted.revision
            submission.on_prepared(own, False, reason, in_force)
            return submission.refusal()
        holders: set[str] = set()
        while True:
            submission.require(self._holders())
            await self._prepare_round(submission, holders)
            if submission.overtaken() or submission.is_prepared:
                return None
            refusal = submission.refusal()
            if refusal is not None:
                return refusal
            pending.missing = submission.missing
            if self._clock() >= deadline:
                return submission.refuse_pending()
            await self._sleep(_RETRY_S)

    def _holders(self) -> list[str]:
        """Return the daemons that must hold a change.

        Those whose host the platform's list says is gone, and that are
        silent, need not, also before their rows are removed.
        """
        members = self._exchange.members
        removable = members.removable(self._clock())
        gone = {entry.name for entry in removable}
        return [name for name in members.not_gone() if name not in gone]

    async def _prepare_round(
        self, submission: Submission, holders: set[str]
    ) -> None:
        async def prepare(name: str) -> None:
            answer = await self._exchange.push(
                name, ConfigPhase.PREPARE, submission.proposal, holders
            )
            if answer is None:
                return
            in_force = answer.accepted.revision if answer.accepted else 0
            submission.on_prepared(name, answer.held, answer.reason, in_force)

        await asyncio.gather(*map(prepare, submission.required))

    async def _accept(
        self, submission: Submission, deadline: float
    ) -> Outcome | None:
        """Send the transaction until it is answered."""
        transaction = submission.transaction()
        while True:
            match await self._platform.transact(transaction):
                case Success(answer):
                    return submission.on_answer(answer)
                case Failure(fault):
                    outcome = submission.on_fault(fault)
            if outcome is not None:
                return outcome
            if self._clock() >= deadline:
                return submission.give_up("the platform gave no answer")
            await self._sleep(_RETRY_S)

    async def _spread(
        self, submission: Submission, accepted: Accepted
    ) -> Accepted:
        """Bring an accepted change into force here and on the others."""
        revision = accepted.revision
        proposal = submission.proposal
        if proposal.revision != revision:
            # Accepted by an earlier submission of the nonce.
            return accepted
        return Accepted(revision, await self._exchange.propagate(proposal))

    async def _read(
        self, nonce: str
    ) -> Result[tuple[Row | None, Row | None], Fault]:
        match await self._platform.read(CONFIG_KEY):
            case Success(current):
                pass
            case Failure(fault):
                return Failure(fault)
        log = await self._platform.read(log_key(nonce))
        return log.map(lambda row: (current, row))
