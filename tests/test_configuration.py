from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any, TypeVar

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from lycheelug.config_exchange import ConfigExchange
from lycheelug.config_outcome import Accepted, Refused
from lycheelug.config_submission import Decision, Submission
from lycheelug.configuration import (
    REFUSED,
    ConfigLogRow,
    ConfigState,
    Configuration,
    LogEntry,
    log_key,
    new_nonce,
    read_config_row,
    read_log_row,
)
from lycheelug.entries.client import EntryClients
from lycheelug.entries.messages import ConfigPhase, ConfigPush, Digest
from lycheelug.errors import PLATFORM_UNKNOWN, Fault, Peer, Step
from lycheelug.membership import Members
from lycheelug.records import CONFIG_KEY
from lycheelug.store.memory import MemoryPlatform

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from lycheelug.config_outcome import Outcome
    from lycheelug.store.interface import Row, Transaction

T = TypeVar("T")

LOST = Fault(PLATFORM_UNKNOWN, Step.WRITE, Peer.PLATFORM)
DAEMONS = 3


def validate_not_empty(body: bytes) -> str:
    return "" if body else "empty"


def change(revision: int, nonce: str = "n", body: bytes = b"{}") -> Any:
    return Configuration(revision, nonce, "e1", body)


@pytest.mark.parametrize(
    ("revisions", "in_force"),
    [
        ([1, 2, 3], [1, 2, 3]),
        ([3, 2, 1], [3, 3, 3]),
        ([2, 2], [2, 2]),
        ([5, 4, 6], [5, 5, 6]),
    ],
)
def test_only_higher_revisions_come_into_force(
    revisions: list[int], in_force: list[int]
) -> None:
    state = ConfigState(validate_not_empty)
    found = []
    for revision in revisions:
        state.accept(change(revision))
        found.append(state.accepted.revision)
    assert found == in_force


@pytest.mark.parametrize(
    ("prepared", "accepted", "expected"),
    [
        (change(2), (2, "n", b"{}"), True),
        (change(2), (2, "other", b"{}"), False),
        (change(2), (3, "n", b"{}"), False),
        (change(2), (2, "n", b"{1}"), False),
        (change(1), (1, "n", b"{}"), False),
        (change(2, body=b""), (2, "n", b""), False),
    ],
    ids=[
        "held",
        "other nonce",
        "other revision",
        "other body of the same nonce",
        "not above the one in force",
        "refused by the validator",
    ],
)
def test_accept_without_body(
    prepared: Configuration, accepted: tuple[int, str, bytes], expected: bool
) -> None:
    state = ConfigState(validate_not_empty)
    state.accept(change(1, "first"))
    state.prepare(prepared)
    revision, nonce, body = accepted
    checksum = Configuration(body=body).checksum()
    assert state.accept_prepared(revision, nonce, checksum) is expected


def test_log_bucket_drops_the_oldest_and_records_it() -> None:
    rng = random.Random(1)
    nonces = [new_nonce(second, rng) for second in range(40)]
    bucket = ConfigLogRow()
    for revision, nonce in enumerate(nonces, 1):
        bucket = bucket.with_entry(LogEntry(nonce, revision))
    assert bucket.find(nonces[-1]) == LogEntry(nonces[-1], 40)
    assert bucket.find(nonces[0]) is None
    assert nonces[0] <= bucket.dropped < bucket.entries[0].nonce


def run_sync(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine of the in-memory platform, which never suspends."""
    try:
        work.send(None)
    except StopIteration as stop:
        value: T = stop.value
        return value
    raise AssertionError("the in-memory platform suspended")


class Store:
    """The table and its earlier row versions, for stale reads."""

    def __init__(self) -> None:
        self._platform = MemoryPlatform()
        self._answers: dict[str, list[Row | None]] = {}
        self.bodies: dict[int, bytes] = {}
        # The transaction that wrote each revision.
        self.writers: dict[int, Transaction] = {}

    def read(self, key: str, lag: int) -> Row | None:
        answers = self._answers.get(key, [None])
        return answers[max(0, len(answers) - 1 - lag)]

    def transact(self, transaction: Transaction) -> Any:
        answer = run_sync(self._platform.transact(transaction)).unwrap()
        for write in transaction.writes:
            row = self._platform.row(write.key)
            self._answers.setdefault(write.key, [None]).append(row)
        self._check(transaction)
        return answer

    def decided(self, nonce: str) -> LogEntry | None:
        row = self.read(log_key(nonce), 0)
        bucket = read_log_row(row.value if row else None)
        assert bucket is not None
        return bucket.find(nonce)

    def _check(self, transaction: Transaction) -> None:
        row = self.read(CONFIG_KEY, 0)
        found = read_config_row(row.value if row else None)
        assert found is not None
        assert found.revision >= max(self.bodies, default=0)
        body = self.bodies.setdefault(found.revision, found.body)
        assert body == found.body
        self.writers.setdefault(found.revision, transaction)


class Daemon:
    """One daemon's configuration across its restarts."""

    def __init__(self, name: str, state: type[ConfigState]) -> None:
        self.name = name
        self.state_class = state
        # The highest revision that was in force on this daemon, and the
        # highest one that it had propagated to another daemon.
        self.highest = 0
        self.propagated = 0
        self.restart()

    @property
    def revision(self) -> int:
        return self.exchange.accepted.revision

    def restart(self) -> None:
        own = Digest(self.name, "z", "r", 0, "", "", 0, 0, [], [], [])
        self.exchange = ConfigExchange(
            Members(own),
            EntryClients(),
            self.state_class(validate_not_empty),
            lambda _: None,
        )


class Change:
    """One submission in progress."""

    def __init__(self, submission: Submission, daemon: Daemon) -> None:
        self.submission = submission
        self.daemon = daemon
        self.transaction: Transaction | None = None
        self.sent: list[Transaction] = []
        self.outcome: Outcome | None = None


def push_of(
    phase: ConfigPhase, configuration: Configuration, with_body: bool = True
) -> ConfigPush:
    return ConfigPush(
        phase,
        configuration.revision,
        configuration.nonce,
        configuration.submitter,
        configuration.body if with_body else b"",
        configuration.checksum(),
    )


ALL = [True] * DAEMONS
FATES = ["answered", "answered", "lost", "late"]
daemon_index = st.integers(0, DAEMONS - 1)
change_index = st.integers(0, 5)
nonces = st.integers(0, 3)
lags = st.sampled_from([0, 0, 0, 1, 2])
# Which daemons receive a message, or whose answer arrives: mostly all.
delivered = st.one_of(
    st.just(ALL),
    st.just(ALL),
    st.lists(st.booleans(), min_size=DAEMONS, max_size=DAEMONS),
)


class World(RuleBasedStateMachine):
    """Submitters, daemons and the store, in any order, with any fault.

    Invariants after each step: a revision has only one body, revisions only
    increase in the store and on each daemon, and a reported decision on a
    nonce never changes.
    """

    state_class = ConfigState
    submission_class = Submission
    decision_class = Decision
    propagates_first = True

    def __init__(self) -> None:
        super().__init__()
        self.store = Store()
        self.daemons = [
            Daemon(f"e{i}", self.state_class) for i in range(DAEMONS)
        ]
        self.changes: list[Change] = []
        self.late: list[Transaction] = []
        self.decisions: dict[str, bool] = {}
        self.bodies: dict[int, bytes] = self.store.bodies

    # --- Steps of a submission.

    @rule(
        index=daemon_index,
        nonce=nonces,
        body=st.integers(0, 2),
        lag=lags,
        received=delivered,
        answered=delivered,
        fate=st.sampled_from([*FATES, "held back"]),
    )
    def submit(
        self,
        index: int,
        nonce: int,
        body: int,
        lag: int,
        received: list[bool],
        answered: list[bool],
        fate: str,
    ) -> None:
        daemon = self.daemons[index]
        submission = self.submission_class(
            f"n{nonce}",
            daemon.name,
            b"body%d" % body,
            f"t{len(self.changes)}",
        )
        submitted = Change(submission, daemon)
        self.changes.append(submitted)
        self._begin(submitted, lag, received, answered)
        if submitted.transaction is not None and fate != "held back":
            self._send(submitted, fate, received)

    @precondition(lambda self: self._undecided(sent=False))
    @rule(index=change_index, lag=lags, received=delivered, answered=delivered)
    def submit_again(
        self, index: int, lag: int, received: list[bool], answered: list[bool]
    ) -> None:
        undecided = self._undecided(sent=False)
        self._begin(undecided[index % len(undecided)], lag, received, answered)

    @precondition(lambda self: self._undecided(sent=True))
    @rule(index=change_index, fate=st.sampled_from(FATES), received=delivered)
    def send(self, index: int, fate: str, received: list[bool]) -> None:
        undecided = self._undecided(sent=True)
        self._send(undecided[index % len(undecided)], fate, received)

    def _send(
        self, submitted: Change, fate: str, received: list[bool]
    ) -> None:
        transaction = submitted.transaction
        assert transaction is not None
        submitted.sent.append(transaction)
        if fate == "late":
            self.late.append(transaction)
            self._end(submitted, submitted.submission.on_fault(LOST))
            return
        answer = self.store.transact(transaction)
        if fate == "lost":
            self._end(submitted, submitted.submission.on_fault(LOST))
            return
        submitted.transaction = None
        outcome = submitted.submission.on_answer(answer)
        self._end(submitted, outcome)
        if isinstance(outcome, Accepted):
            self._propagate(
                submitted.daemon, submitted.submission.proposal, received
            )

    @precondition(lambda self: self.late)
    @rule()
    def late_request_arrives(self) -> None:
        self.store.transact(self.late.pop(0))

    @precondition(lambda self: self._undecided(sent=True))
    @rule(index=change_index)
    def give_up(self, index: int) -> None:
        undecided = self._undecided(sent=True)
        submitted = undecided[index % len(undecided)]
        self._end(submitted, submitted.submission.give_up("deadline"))

    @rule(nonce=nonces, lag=lags, lost=st.booleans())
    def resolve(self, nonce: int, lag: int, lost: bool) -> None:
        decision = self.decision_class(f"n{nonce}")
        rows = (
            self.store.read(CONFIG_KEY, lag),
            self.store.read(log_key(f"n{nonce}"), lag),
        )
        outcome = decision.begin(*rows)
        if outcome is None:
            answer = self.store.transact(decision.transaction())
            outcome = None if lost else decision.on_answer(answer)
        if outcome is not None:
            self._record_decision(f"n{nonce}", outcome)

    # --- Propagation.

    @rule(index=daemon_index, lag=lags, received=delivered)
    def poll(self, index: int, lag: int, received: list[bool]) -> None:
        row = self.store.read(CONFIG_KEY, lag)
        found = read_config_row(row.value if row else None)
        assert found is not None
        if found.revision:
            self._propagate(self.daemons[index], found, received)

    @rule(index=daemon_index, other=daemon_index)
    def ask(self, index: int, other: int) -> None:
        self._query(self.daemons[index], self.daemons[other])
        self._check_daemons()

    @rule(index=daemon_index, platform_unreachable=st.booleans())
    def restart(self, index: int, platform_unreachable: bool) -> None:
        daemon = self.daemons[index]
        daemon.restart()
        if not platform_unreachable:
            row = self.store.read(CONFIG_KEY, 0)
            found = read_config_row(row.value if row else None)
            assert found is not None
            daemon.exchange.state.accept(found)
        for other in self.daemons:
            if other is not daemon:
                self._query(daemon, other)
        expected = (
            daemon.propagated if platform_unreachable else daemon.highest
        )
        assert daemon.revision >= expected
        daemon.highest = daemon.revision
        self._check_daemons()

    def _query(self, daemon: Daemon, other: Daemon) -> None:
        answer = other.exchange.answer(ConfigPush(ConfigPhase.QUERY))
        assert answer.accepted is not None
        daemon.exchange.answer(answer.accepted)

    def _propagate(
        self, daemon: Daemon, found: Configuration, received: list[bool]
    ) -> None:
        """Push a configuration to the reachable daemons, then apply it."""
        has_holder = False
        for number, other in enumerate(self.daemons):
            if other is daemon or not received[number]:
                continue
            has_holder = True
            if not self.propagates_first:
                continue
            push = push_of(ConfigPhase.ACCEPT, found, with_body=False)
            if not other.exchange.answer(push).is_held:
                other.exchange.answer(push_of(ConfigPhase.ACCEPT, found))
        daemon.exchange.state.accept(found)
        self._check_daemons()
        if has_holder:
            daemon.propagated = max(daemon.propagated, found.revision)

    # --- Checks.

    def _undecided(self, sent: bool) -> list[Change]:
        """Return the undecided changes with or without a transaction."""
        found = []
        for pending in self.changes:
            has_transaction = pending.transaction is not None
            if pending.outcome is None and has_transaction is sent:
                found.append(pending)
        return found

    def _begin(
        self,
        submitted: Change,
        lag: int,
        received: list[bool],
        answered: list[bool],
    ) -> None:
        key = log_key(submitted.submission.nonce)
        rows = self.store.read(CONFIG_KEY, lag), self.store.read(key, lag)
        self._end(submitted, submitted.submission.begin(*rows))
        proposal = submitted.submission.proposal
        if submitted.outcome is not None:
            return
        if submitted.daemon.exchange.state.prepare(proposal):
            return
        others = [d for d in self.daemons if d is not submitted.daemon]
        submitted.submission.require(daemon.name for daemon in others)
        for daemon in others:
            number = self.daemons.index(daemon)
            if not received[number]:
                continue
            push = push_of(ConfigPhase.PREPARE, proposal)
            answer = daemon.exchange.answer(push)
            if not answered[number]:
                continue
            in_force = answer.accepted.revision if answer.accepted else 0
            submitted.submission.on_prepared(
                daemon.name, answer.is_held, answer.reason, in_force
            )
        if submitted.submission.is_prepared:
            submitted.transaction = submitted.submission.transaction()

    def _end(self, submitted: Change, outcome: Outcome | None) -> None:
        submitted.outcome = outcome
        if outcome is not None:
            self._record_decision(
                submitted.submission.nonce, outcome, submitted
            )

    def _record_decision(
        self, nonce: str, outcome: Outcome, submitted: Change | None = None
    ) -> None:
        entry = self.store.decided(nonce)
        if isinstance(outcome, Accepted):
            assert entry is not None
            assert entry.revision == outcome.revision != REFUSED
            self.decisions[nonce] = True
        if isinstance(outcome, Refused) and submitted is None:
            assert entry is not None
            assert entry.revision == REFUSED
            self.decisions[nonce] = False
        if isinstance(outcome, Refused) and submitted is not None:
            self._check_not_accepted(submitted)

    def _check_not_accepted(self, submitted: Change) -> None:
        entry = self.store.decided(submitted.submission.nonce)
        if entry is None or entry.revision == REFUSED:
            return
        assert self.store.writers[entry.revision] not in submitted.sent

    def _check_daemons(self) -> None:
        for daemon in self.daemons:
            accepted = daemon.exchange.accepted
            assert daemon.revision >= daemon.highest
            daemon.highest = daemon.revision
            body = self.bodies.get(accepted.revision, b"")
            assert body == accepted.body

    def teardown(self) -> None:
        """Deliver all late requests; reported decisions must still hold."""
        for transaction in self.late:
            self.store.transact(transaction)
        for nonce, accepted in self.decisions.items():
            entry = self.store.decided(nonce)
            assert entry is not None
            assert (entry.revision != REFUSED) is accepted
        for pending in self.changes:
            if isinstance(pending.outcome, Refused):
                self._check_not_accepted(pending)


def test_two_submissions_of_a_nonce_never_share_a_transaction() -> None:
    found = []
    for token, body in (("t1", b"one"), ("t2", b"two")):
        submission = Submission("n", "e1", body, token)
        assert submission.begin(None, None) is None
        submission.require([])
        found.append(submission.transaction().nonce)
    assert found[0] != found[1]


def run_world(
    world: type[World], examples: int, phases: tuple[Phase, ...]
) -> None:
    run_state_machine_as_test(
        world,
        settings=settings(
            derandomize=True,
            max_examples=examples,
            stateful_step_count=30,
            deadline=None,
            database=None,
            phases=phases,
        ),
    )


def test_interleavings_of_submitters_daemons_and_store() -> None:
    run_world(World, 150, (Phase.generate, Phase.shrink))


class LowerRevisionApplies(ConfigState):
    def accept(self, configuration: Configuration) -> bool:
        self._accepted = configuration
        return True


class NoGuards(Submission):
    def transaction(self) -> Transaction:
        found = super().transaction()
        found.guards = ()
        return found


class LostIsRefused(Submission):
    def _refuse_or_undecided(self, refused: Refused) -> Outcome:
        return refused


class NotClosed(Decision):
    def on_answer(self, answer: Any) -> Outcome | None:
        return Refused(PLATFORM_UNKNOWN, "not in the log")

    def transaction(self) -> Transaction:
        found = super().transaction()
        found.writes = ()
        return found


def mutant(**parts: Any) -> type[World]:
    return type("Mutant", (World,), parts)


@pytest.mark.parametrize(
    "world",
    [
        mutant(state_class=LowerRevisionApplies),
        mutant(submission_class=NoGuards),
        mutant(submission_class=LostIsRefused),
        mutant(decision_class=NotClosed),
        mutant(propagates_first=False),
    ],
    ids=[
        "lower revision applies",
        "transaction without guards",
        "lost answer treated as a refusal",
        "queried nonce not closed",
        "applied before it is propagated",
    ],
)
def test_model_detects_an_injected_fault(world: type[World]) -> None:
    with pytest.raises((AssertionError, ExceptionGroup)):
        run_world(world, 300, (Phase.generate,))
