"""Submission of configurations through the platform, and nonce queries.

Performs the I/O for the pure steps of `config_submission`: prepare on all
daemons in rounds, accept by a transaction, and propagate the accepted
change.
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

# The default time that a submission waits for missing daemons.
PENDING_LIMIT_S: Final = 5.0

_RETRY_DELAY_S: Final = 0.2


class ConfigSubmitter:
    """Submits the changes that operators send to this daemon."""

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
        """The submissions in progress on this daemon."""
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

        If `base_revision` is given, the change is refused if a later
        revision is in force. `excused` names daemons that need not hold the
        change.
        """
        if nonce in self._pending:
            return Undecided(nonce, "the change is being submitted")
        own_name = self._exchange.members.own.name
        token = f"{self._rng.getrandbits(64):016x}"
        submission = Submission(
            nonce, own_name, body, token, base_revision, excused
        )
        self._pending[nonce] = PendingChange(nonce)
        try:
            outcome = await self._run(submission, self._clock() + limit_s)
        finally:
            self._pending.pop(nonce, None)
        if not isinstance(outcome, Accepted):
            return outcome
        return await self._propagate(submission, outcome)

    async def resolve(
        self, nonce: str, limit_s: float = PENDING_LIMIT_S
    ) -> Outcome:
        """Return the decision on a nonce; close it if there is none."""
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
            await self._sleep(_RETRY_DELAY_S)
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
                return submission.give_up("other changes were accepted first")
            await self._sleep(_RETRY_DELAY_S)

    async def _prepare(
        self, submission: Submission, deadline: float
    ) -> Outcome | None:
        """Prepare on all daemons; return None if prepared or overtaken.

        All daemons must hold the change within one round, so that each of
        them was reachable shortly before the acceptance.
        """
        pending = self._pending[submission.nonce]
        pending.revision = submission.proposal.revision
        state = self._exchange.state
        reason = state.prepare(submission.proposal)
        if reason:
            own_name = self._exchange.members.own.name
            in_force = state.accepted.revision
            submission.on_prepared(own_name, False, reason, in_force)
            return submission.refusal()
        holders: set[str] = set()
        while True:
            submission.require(self._required_names())
            await self._prepare_round(submission, holders)
            if submission.overtaken() or submission.is_prepared:
                return None
            refusal = submission.refusal()
            if refusal is not None:
                return refusal
            pending.missing = submission.missing
            if self._clock() >= deadline:
                return submission.refuse_pending()
            await self._sleep(_RETRY_DELAY_S)

    def _required_names(self) -> list[str]:
        """Return the daemons that must hold a change.

        Unresponsive daemons whose hosts the platform's list reports as
        removed are left out, even before their rows are deleted.
        """
        members = self._exchange.members
        removable_rows = members.removable(self._clock())
        removed = {row.name for row in removable_rows}
        return [name for name in members.not_gone() if name not in removed]

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
            submission.on_prepared(
                name, answer.is_held, answer.reason, in_force
            )

        await asyncio.gather(*map(prepare, submission.required))

    async def _accept(
        self, submission: Submission, deadline: float
    ) -> Outcome | None:
        """Send the transaction until it is answered or time is up."""
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
            await self._sleep(_RETRY_DELAY_S)

    async def _propagate(
        self, submission: Submission, accepted: Accepted
    ) -> Accepted:
        """Apply an accepted change here and on the other daemons."""
        revision = accepted.revision
        proposal = submission.proposal
        if proposal.revision != revision:
            # An earlier submission of the same nonce was accepted.
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
