"""One submission of a configuration: prepare, then accept, once a nonce.

A submission reads the current row and its nonce's log row, proposes the
next revision, and is prepared by all daemons that may serve.  A missing
daemon keeps it pending: a change that a daemon can't learn would not be in
force there in time.  An operator may excuse daemons by name, but where
there are others at all, one of them must hold the change.

Acceptance is one transaction, guarded on the revisions read of both rows.
Its outcome is exact: after a lost answer, the log row tells, and `Decision`
closes a nonce that is in neither state, so that a late request of the
submitter can't take effect any more.

Pure: no I/O, no time.
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
    """The two rows that a transaction is guarded on, as read."""

    __slots__ = ("current", "guards", "log")

    def __init__(
        self, current: Configuration, log: ConfigLogRow, guards: list[Guard]
    ) -> None:
        self.current = current
        self.log = log
        self.guards = guards


def _basis(
    nonce: str, current: Row | None, log: Row | None
) -> _Basis | Refused:
    configuration = read_config_row(current.value if current else None)
    bucket = read_log_row(log.value if log else None)
    if configuration is None or bucket is None:
        return Refused(PLATFORM_INVALID, "the table's row can't be read")
    guards = [
        Guard(CONFIG_KEY, current.revision if current else ABSENT),
        Guard(log_key(nonce), log.revision if log else ABSENT),
    ]
    return _Basis(configuration, bucket, guards)


def _recorded(
    nonce: str, log: ConfigLogRow, checksum: str = ""
) -> Outcome | None:
    """Return how the log decided a nonce, None where it did not."""
    entry = log.find(nonce)
    if entry is None:
        return None
    if checksum and entry.checksum not in {"", checksum}:
        return Refused(CONFIG_REFUSED, "the nonce decided another change")
    if entry.revision == REFUSED:
        return Refused(CONFIG_REFUSED, "it was closed when asked about")
    return Accepted(entry.revision)


class Submission:
    """One change on its way; each method takes one step.

    `token` is of this submission alone, so that the platform never takes
    another one's transaction for its own.

    `begin` with rows read; `require` and `on_prepared` for one round of
    prepares; then `transaction`, and `on_commit`, `on_conflict` or
    `on_fault`.  An outcome from any step ends it; after a conflict it is
    begun again.
    """

    __slots__ = (
        "_attempt",
        "_base_revision",
        "_basis",
        "_body",
        "_excused",
        "_has_round",
        "_held",
        "_is_lost",
        "_known_revision",
        "_may_be_written",
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
        self._has_round = False
        # A request whose answer was lost, and one that may take effect.
        self._is_lost = False
        self._may_be_written = False
        self._required: set[str] = set()
        self._held: set[str] = set()
        self._refusals: dict[str, str] = {}

    @property
    def nonce(self) -> str:
        """The nonce that decides the change."""
        return self._nonce

    @property
    def proposal(self) -> Configuration:
        """The configuration to prepare, with its revision."""
        return self._proposal

    @property
    def required(self) -> list[str]:
        """The daemons that this round is sent to."""
        return sorted(self._required)

    @property
    def missing(self) -> list[str]:
        """The daemons that this round still waits for."""
        waiting = self._required - self._held - self._excused
        return sorted(waiting)

    @property
    def is_prepared(self) -> bool:
        """Whether the transaction may be sent."""
        if not self._has_round or self.overtaken():
            return False
        if self.missing or self._refusals:
            return False
        return bool(self._held) or not self._required

    def begin(self, current: Row | None, log: Row | None) -> Outcome | None:
        """Start from rows read; an outcome where there is one already."""
        basis = _basis(self._nonce, current, log)
        if isinstance(basis, Refused):
            return self._undecided_or(basis)
        checksum = Configuration(body=self._body).checksum()
        recorded = _recorded(self._nonce, basis.log, checksum)
        if recorded is not None:
            return recorded
        found = basis.current.revision
        if self._base_revision is not None and found > self._base_revision:
            reason = (
                f"revision {found} by {basis.current.submitter} came after"
                f" revision {self._base_revision}"
            )
            return self._undecided_or(Refused(CONFIG_REFUSED, reason))
        self._basis = basis
        self._attempt += 1
        self._has_round = False
        # A row that lags is known by a higher revision of a daemon: the
        # transaction's guard then fails.
        revision = max(found, self._known_revision) + 1
        self._proposal = Configuration(
            revision, self._nonce, self._submitter, self._body
        )
        return None

    def require(self, names: Iterable[str]) -> None:
        """Start a round of prepares to these daemons."""
        self._has_round = True
        self._required = set(names)
        self._held = set()
        self._refusals = {}

    def on_prepared(
        self, name: str, held: bool, reason: str, in_force: int
    ) -> None:
        """Take in a daemon's answer to the prepare."""
        if name in self._excused and not held:
            return
        self._known_revision = max(self._known_revision, in_force)
        if held:
            self._held.add(name)
        elif in_force < self._proposal.revision and reason:
            self._refusals[name] = reason

    def refusal(self) -> Outcome | None:
        """Return the refusal of daemons that can't apply the body."""
        if not self._refusals:
            return None
        reason = next(iter(self._refusals.values()))
        refused = Refused(CONFIG_INVALID, reason, self._refusals)
        return self._undecided_or(refused)

    def overtaken(self) -> bool:
        """Return whether a daemon has the proposed revision in force."""
        return self._known_revision >= self._proposal.revision

    def refuse_pending(self) -> Outcome:
        """Give up waiting for daemons."""
        names = self.missing or sorted(self._required)
        return self._undecided_or(
            Refused(CONFIG_REFUSED, "daemons could not be reached", names)
        )

    def transaction(self) -> Transaction:
        """Return the transaction that accepts the proposal."""
        assert self._basis is not None
        assert self.is_prepared
        revision = self._proposal.revision
        entry = LogEntry(self._nonce, revision, self._proposal.checksum())
        log = self._basis.log.with_entry(entry)
        self._may_be_written = True
        return Transaction(
            self._basis.guards,
            [
                Write(CONFIG_KEY, config_value(self._proposal)),
                Write(log_key(self._nonce), encode(log)),
            ],
            f"{self._nonce}-{self._token}-{self._attempt}",
        )

    def on_answer(self, answer: Commit | Conflict) -> Outcome | None:
        """Take in the transaction's answer; None: begin again.

        A conflict's request can't take effect any more, but one whose
        answer was lost may have: the log row tells.
        """
        if isinstance(answer, Commit):
            return Accepted(self._proposal.revision)
        self._may_be_written = self._is_lost
        return None

    def on_fault(self, fault: Fault) -> Outcome | None:
        """Take in a fault of the transaction; None: send it again."""
        if fault.code is PLATFORM_UNKNOWN:
            self._is_lost = True
            return None
        self._may_be_written = self._is_lost
        return self._undecided_or(Refused(CONFIG_REFUSED, str(fault)))

    def give_up(self, reason: str) -> Outcome:
        """Return the outcome where no further step can be taken."""
        return self._undecided_or(Refused(CONFIG_REFUSED, reason))

    def _undecided_or(self, refused: Refused) -> Outcome:
        """Refuse only what can't have been accepted."""
        if self._may_be_written:
            return Undecided(self._nonce, refused.reason)
        return refused


class Decision:
    """Asks how a nonce was decided, and closes it where it was not."""

    __slots__ = ("_basis", "_nonce")

    def __init__(self, nonce: str) -> None:
        self._nonce = nonce
        self._basis: _Basis | None = None

    def begin(self, current: Row | None, log: Row | None) -> Outcome | None:
        """Start from rows read; an outcome where it is decided."""
        basis = _basis(self._nonce, current, log)
        if isinstance(basis, Refused):
            return Undecided(self._nonce, basis.reason)
        recorded = _recorded(self._nonce, basis.log)
        if recorded is not None:
            return recorded
        if self._nonce <= basis.log.dropped:
            return Undecided(self._nonce, "older than what the log keeps")
        self._basis = basis
        return None

    def transaction(self) -> Transaction:
        """Return the transaction that closes the nonce as refused.

        It is guarded on the log row alone, which acceptance writes too.
        """
        assert self._basis is not None
        log = self._basis.log.with_entry(LogEntry(self._nonce, REFUSED))
        return Transaction(
            self._basis.guards[1:],
            [Write(log_key(self._nonce), encode(log))],
            f"{self._nonce}-close-{self._basis.guards[1].revision}",
        )

    def on_answer(self, answer: Commit | Conflict) -> Outcome | None:
        """Take in the transaction's answer; None: begin again."""
        if isinstance(answer, Commit):
            return Refused(CONFIG_REFUSED, "it was not accepted")
        return None
