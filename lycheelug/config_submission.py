"""Submission of a configuration: two phases, one decision for each nonce.

A submission reads the current row and the log row of its nonce, proposes
the next revision, and has all daemons that may serve prepare it. An
unreachable daemon keeps the submission pending, because that daemon would
not apply the change in time. An operator may excuse daemons by name, but if
there are other daemons at all, at least one of them must hold the change.

Acceptance is one transaction, conditional on the revisions read of both
rows. Its outcome can always be determined: after a lost answer the log row
has the decision, and `Decision` closes a nonce that the log doesn't have,
so that a delayed request of the submitter can no longer take effect.

Pure: no I/O and no clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.config_outcome import Accepted, Refused, Undecided
from lycheelug.configuration import (
    REFUSED,
    Configuration,
    LogEntry,
    config_value,
    log_key,
    read_config_row,
    read_log_row,
)
from lycheelug.errors import (
    CONFIG_INVALID,
    CONFIG_REFUSED,
    PLATFORM_INVALID,
    PLATFORM_UNKNOWN,
)
from lycheelug.records import CONFIG_KEY, encode
from lycheelug.store.interface import (
    ABSENT,
    Commit,
    Conflict,
    Guard,
    Row,
    Transaction,
    Write,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheelug.config_outcome import Outcome
    from lycheelug.configuration import ConfigLogRow
    from lycheelug.errors import Fault

__all__ = ["Decision", "Submission"]


class _Basis:
    """The two rows, as read, that a transaction is conditional on."""

    __slots__ = ("current", "guards", "log")

    def __init__(
        self, current: Configuration, log: ConfigLogRow, guards: list[Guard]
    ) -> None:
        self.current = current
        self.log = log
        self.guards = guards


def _decode_basis(
    nonce: str, current: Row | None, log: Row | None
) -> _Basis | Refused:
    configuration = read_config_row(current.value if current else None)
    bucket = read_log_row(log.value if log else None)
    if configuration is None or bucket is None:
        return Refused(PLATFORM_INVALID, "the table's row can't be decoded")
    guards = [
        Guard(CONFIG_KEY, current.revision if current else ABSENT),
        Guard(log_key(nonce), log.revision if log else ABSENT),
    ]
    return _Basis(configuration, bucket, guards)


def _logged_decision(
    nonce: str, log: ConfigLogRow, checksum: str = ""
) -> Outcome | None:
    """Return the decision on a nonce in the log, or None."""
    entry = log.find(nonce)
    if entry is None:
        return None
    if checksum and entry.checksum not in {"", checksum}:
        return Refused(CONFIG_REFUSED, "the nonce was used for another change")
    if entry.revision == REFUSED:
        return Refused(
            CONFIG_REFUSED,
            "the nonce was closed by a query before the change was accepted",
        )
    return Accepted(entry.revision)


class Submission:
    """The state of one submission; each method makes one step.

    `token` is unique to this submission, so that the platform does not take
    its transaction for a repetition of another submission's.

    Call `begin` with the rows read, then `require` and `on_prepared` for
    each round of prepare messages, then `transaction`, and `on_answer` or
    `on_fault` with the result. An outcome returned by any step ends the
    submission; after a conflict call `begin` again.
    """

    __slots__ = (
        "_attempt",
        "_base_revision",
        "_basis",
        "_body",
        "_excused",
        "_has_lost_answer",
        "_has_prepare_round",
        "_held",
        "_known_revision",
        "_may_take_effect",
        "_nonce",
        "_proposal",
        "_refusals",
        "_required",
        "_submitter",
        "_token",
    )

    def __init__(
        self,
        nonce: str,
        submitter: str,
        body: bytes,
        token: str,
        base_revision: int | None = None,
        excused: Iterable[str] = (),
    ) -> None:
        self._nonce = nonce
        self._submitter = submitter
        self._body = body
        self._token = token
        self._base_revision = base_revision
        self._excused = frozenset(excused)
        self._basis: _Basis | None = None
        self._proposal = Configuration()
        self._known_revision = 0
        self._attempt = 0
        self._has_prepare_round = False
        # Whether the answer to a transaction was lost, and whether a
        # transaction may have taken effect or may still do so.
        self._has_lost_answer = False
        self._may_take_effect = False
        self._required: set[str] = set()
        self._held: set[str] = set()
        self._refusals: dict[str, str] = {}

    @property
    def nonce(self) -> str:
        """The nonce of the change."""
        return self._nonce

    @property
    def proposal(self) -> Configuration:
        """The configuration to prepare, with the proposed revision."""
        return self._proposal

    @property
    def required(self) -> list[str]:
        """The daemons that must answer this round of prepare messages."""
        return sorted(self._required)

    @property
    def missing(self) -> list[str]:
        """The required daemons that are not known to hold the change."""
        waiting = self._required - self._held - self._excused
        return sorted(waiting)

    @property
    def is_prepared(self) -> bool:
        """Whether the accepting transaction may be sent."""
        if not self._has_prepare_round or self.overtaken():
            return False
        if self.missing or self._refusals:
            return False
        return bool(self._held) or not self._required

    def begin(self, current: Row | None, log: Row | None) -> Outcome | None:
        """Start with the rows read; return an outcome if already decided."""
        basis = _decode_basis(self._nonce, current, log)
        if isinstance(basis, Refused):
            return self._refuse_or_undecided(basis)
        checksum = Configuration(body=self._body).checksum()
        decision = _logged_decision(self._nonce, basis.log, checksum)
        if decision is not None:
            return decision
        in_force = basis.current.revision
        if self._base_revision is not None and in_force > self._base_revision:
            reason = (
                f"revision {in_force} by {basis.current.submitter} came after"
                f" revision {self._base_revision}"
            )
            return self._refuse_or_undecided(Refused(CONFIG_REFUSED, reason))
        self._basis = basis
        self._attempt += 1
        self._has_prepare_round = False
        # If a daemon has reported a higher revision, the row that was read
        # is out of date, and the transaction's guard will fail.
        revision = max(in_force, self._known_revision) + 1
        self._proposal = Configuration(
            revision, self._nonce, self._submitter, self._body
        )
        return None

    def require(self, names: Iterable[str]) -> None:
        """Start a round of prepare messages to these daemons."""
        self._has_prepare_round = True
        self._required = set(names)
        self._held = set()
        self._refusals = {}

    def on_prepared(
        self, name: str, held: bool, reason: str, in_force: int
    ) -> None:
        """Record a daemon's answer to the prepare message."""
        if name in self._excused and not held:
            return
        self._known_revision = max(self._known_revision, in_force)
        if held:
            self._held.add(name)
        elif in_force < self._proposal.revision and reason:
            self._refusals[name] = reason

    def refusal(self) -> Outcome | None:
        """Return a refusal if daemons can't apply the body, else None."""
        if not self._refusals:
            return None
        reason = next(iter(self._refusals.values()))
        refused = Refused(CONFIG_INVALID, reason, self._refusals)
        return self._refuse_or_undecided(refused)

    def overtaken(self) -> bool:
        """Return whether a daemon has this or a later revision in force."""
        return self._known_revision >= self._proposal.revision

    def refuse_pending(self) -> Outcome:
        """Return the outcome after waiting too long for daemons."""
        names = self.missing or sorted(self._required)
        return self._refuse_or_undecided(
            Refused(CONFIG_REFUSED, "daemons could not be reached", names)
        )

    def transaction(self) -> Transaction:
        """Return the transaction that accepts the proposal."""
        assert self._basis is not None
        assert self.is_prepared
        revision = self._proposal.revision
        entry = LogEntry(self._nonce, revision, self._proposal.checksum())
        log = self._basis.log.with_entry(entry)
        self._may_take_effect = True
        return Transaction(
            self._basis.guards,
            [
                Write(CONFIG_KEY, config_value(self._proposal)),
                Write(log_key(self._nonce), encode(log)),
            ],
            f"{self._nonce}-{self._token}-{self._attempt}",
        )

    def on_answer(self, answer: Commit | Conflict) -> Outcome | None:
        """Record the transaction's answer; return None to begin again.

        After a conflict this request can no longer take effect. An earlier
        one whose answer was lost may have done so: the log row has the
        decision.
        """
        if isinstance(answer, Commit):
            return Accepted(self._proposal.revision)
        self._may_take_effect = self._has_lost_answer
        return None

    def on_fault(self, fault: Fault) -> Outcome | None:
        """Record a transaction's fault; return None to send it again."""
        if fault.code is PLATFORM_UNKNOWN:
            self._has_lost_answer = True
            return None
        self._may_take_effect = self._has_lost_answer
        return self._refuse_or_undecided(Refused(CONFIG_REFUSED, str(fault)))

    def give_up(self, reason: str) -> Outcome:
        """Return the outcome if no further step can be made."""
        return self._refuse_or_undecided(Refused(CONFIG_REFUSED, reason))

    def _refuse_or_undecided(self, refused: Refused) -> Outcome:
        """Return the refusal only if the change can't have been accepted."""
        if self._may_take_effect:
            return Undecided(self._nonce, refused.reason)
        return refused


class Decision:
    """Queries the decision on a nonce, and closes an undecided nonce."""

    __slots__ = ("_basis", "_nonce")

    def __init__(self, nonce: str) -> None:
        self._nonce = nonce
        self._basis: _Basis | None = None

    def begin(self, current: Row | None, log: Row | None) -> Outcome | None:
        """Start with the rows read; return an outcome if already decided."""
        basis = _decode_basis(self._nonce, current, log)
        if isinstance(basis, Refused):
            return Undecided(self._nonce, basis.reason)
        decision = _logged_decision(self._nonce, basis.log)
        if decision is not None:
            return decision
        if self._nonce <= basis.log.dropped:
            return Undecided(
                self._nonce,
                "the nonce is older than the entries that the log keeps",
            )
        self._basis = basis
        return None

    def transaction(self) -> Transaction:
        """Return the transaction that closes the nonce as refused.

        It is conditional on the log row alone, because acceptance writes
        that row as well.
        """
        assert self._basis is not None
        log = self._basis.log.with_entry(LogEntry(self._nonce, REFUSED))
        return Transaction(
            self._basis.guards[1:],
            [Write(log_key(self._nonce), encode(log))],
            f"{self._nonce}-close-{self._basis.guards[1].revision}",
        )

    def on_answer(self, answer: Commit | Conflict) -> Outcome | None:
        """Record the transaction's answer; return None to begin again."""
        if isinstance(answer, Commit):
            return Refused(CONFIG_REFUSED, "the change was not accepted")
        return None
