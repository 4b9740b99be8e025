"""A row store that relays calls through peers if direct access fails.

After a failed direct call, a probe retries direct access until it works
again.  In the meantime all calls go through peers, including pending reads:
on a connection that was cut without a reset they would never be answered.  A
call that may have taken effect is not repeated here, because only its caller
can do so safely.  If the direct access of several peers fails as well, the
store counts as unreachable for all daemons, and no peer is called for
`PEERS_PAUSE_S`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final, TypeVar

from returns.result import Failure, Success

from lycheelug.errors import (
    CODES,
    PLATFORM_UNKNOWN,
    PLATFORM_UNREACHABLE,
    Fault,
    Peer,
    Step,
)
from lycheelug.logs import log_fault
from lycheelug.relay.channels import CALL_ERRORS, NotSentError, PeerChannels
from lycheelug.relay.direct_access import DirectAccess, RowsForPeers
from lycheelug.relay.messages import (
    CommitCall,
    FeedCall,
    PartsCall,
    ReadCall,
    StoreReply,
)
from lycheelug.relay.peer_choice import PeerChoice
from lycheelug.relay.server import BULK_READ, COMMIT, FEED, PARTS, READ
from lycheelug.store.rows import (
    HistoryGone,
    RowCommit,
    RowConflict,
    RowName,
    RowSet,
    RowStore,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Mapping

    from returns.result import Result

__all__ = ["RelayedRows"]

T = TypeVar("T")

# Timeout of a relayed call, in addition to its wait for changes.  Covers a
# read on a store that is sixty times slower than usual.
CALL_MARGIN_S: Final = 0.5
# Timeout of a relayed transaction with conditions.  It may queue behind
# others of its part, for up to the peer's own timeout of 1 s.
TRANSACTION_TIMEOUT_S: Final = 1.25
# Maximum wait of a relayed feed for a change.  It is short because direct
# access may work again.
RELAYED_WAIT_S: Final = 0.4
# Calls with replies of any size.
BULK_PATHS: Final = frozenset({BULK_READ, FEED, PARTS})
# Maximum number of peers that one call tries.  Most of those without direct
# access say so at once.
PEERS_MAX: Final = 5
# Maximum number of them that do not answer.
NO_ANSWERS_MAX: Final = 3
# No peer is called for this long after one call has tried as many, unless
# some of them were only slow.
PEERS_PAUSE_S: Final = 0.5


class RelayedRows(RowStore):
    """The row store, accessed directly or through a peer."""

    __slots__ = (
        "_access",
        "_bulk_channels",
        "_channels",
        "_choice",
        "_direct_store",
        "_now",
        "_peers_retry_at",
        "failing_since",
        "rows_for_peers",
    )

    def __init__(
        self,
        direct_store: RowStore,
        peers: Callable[[], list[str]],
        now: Callable[[], float],
    ) -> None:
        self._direct_store = direct_store
        self._now = now
        self._choice = PeerChoice(peers, now)
        self._channels = PeerChannels()
        # Feeds and reads of whole parts have connections of their own: a
        # transaction must not wait until a large answer has arrived.
        self._bulk_channels = PeerChannels()
        self._access = DirectAccess(direct_store, self._on_access_regained)
        # What this daemon relays for others.
        self.rows_for_peers = RowsForPeers(direct_store, self._access)
        self._peers_retry_at = 0.0
        # Since when neither direct nor relayed calls have worked; None while
        # either works.
        self.failing_since: float | None = None

    @property
    def is_direct_access_lost(self) -> bool:
        """Whether calls currently go through peers."""
        return self._access.is_lost

    async def commit(
        self,
        part: str,
        expected: Mapping[RowName, int],
        writes: Mapping[RowName, bytes | None],
    ) -> Result[RowCommit | RowConflict, Fault]:
        """Write rows if the expected rows have the given versions."""
        # A write without conditions doesn't queue and is soon replaced by the
        # next one: a heartbeat.
        timeout_s = TRANSACTION_TIMEOUT_S if expected else CALL_MARGIN_S
        return await self._call_store(
            lambda: self._direct_store.commit(part, expected, writes),
            COMMIT,
            CommitCall.of(part, expected, writes),
            Step.WRITE,
            _unpack_commit,
            timeout_s,
        )

    async def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[RowSet, Fault]:
        """Return all rows of a part from key `first` to before `end`."""
        return await self._call_store(
            lambda: self._direct_store.read(table, part, first, end),
            READ if end else BULK_READ,
            ReadCall(table, part, first, end),
            Step.READ,
            StoreReply.to_set,
        )

    async def parts(self, table: str) -> Result[list[str], Fault]:
        """Return the parts of a table that have rows."""
        return await self._call_store(
            lambda: self._direct_store.parts(table),
            PARTS,
            PartsCall(table),
            Step.READ,
            lambda reply: reply.parts,
        )

    async def feed(
        self, table: str, after: int, wait_s: float
    ) -> Result[RowSet | HistoryGone, Fault]:
        """Return a table's changes; wait for the first one."""
        relayed_wait_s = min(wait_s, RELAYED_WAIT_S)
        return await self._call_store(
            lambda: self._direct_store.feed(table, after, wait_s),
            FEED,
            FeedCall(table, after, relayed_wait_s),
            Step.READ,
            _unpack_feed,
            relayed_wait_s + CALL_MARGIN_S,
        )

    def close(self) -> None:
        """Close the connections to peers."""
        self._access.close()
        self._channels.close()
        self._bulk_channels.close()

    # --- Direct and relayed calls.

    async def _call_store(
        self,
        direct_call: Callable[[], Coroutine[Any, Any, Result[T, Fault]]],
        path: str,
        message: Any,
        step: Step,
        unpack: Callable[[StoreReply], T],
        timeout_s: float = CALL_MARGIN_S,
    ) -> Result[T, Fault]:
        """Make a call directly, or through a peer if direct access fails."""
        result: Result[T, Fault] | None = None
        if not self._access.is_lost:
            if step is Step.WRITE:
                result = await direct_call()
            else:
                result = await self._access.read(direct_call())
            if result is not None and not self._should_relay(result, step):
                return result
        reply = await self._relay(path, message, step, timeout_s)
        if isinstance(reply, Success):
            return Success(unpack(reply.unwrap()))
        fault = reply.failure()
        if step is Step.WRITE and fault.code is PLATFORM_UNKNOWN:
            # The peer may have made the write, even if the direct call failed.
            return Failure(fault)
        if not self._access.is_lost:
            # Direct access was restored while peers were called.
            return await direct_call()
        return Failure(fault) if result is None else result

    def _on_access_regained(self) -> None:
        """Record that direct calls work again."""
        self.failing_since = None

    def _should_relay(self, result: Result[Any, Fault], step: Step) -> bool:
        """Process the result of a direct call; return True to relay the call.

        A write that may have taken effect is not repeated: the result of the
        second write would not show the result of the first.
        """
        if isinstance(result, Success):
            return False
        fault = result.failure()
        self._access.record_failure(fault)
        if self.failing_since is None:
            self.failing_since = self._now()
        return step is Step.READ or fault.code is not PLATFORM_UNKNOWN

    async def _relay(
        self, path: str, message: Any, step: Step, timeout_s: float
    ) -> Result[StoreReply, Fault]:
        """Relay a call through a peer; try the next one if it fails too."""
        result: Result[StoreReply, Fault] = Failure(
            Fault(
                PLATFORM_UNREACHABLE,
                step,
                Peer.PLATFORM,
                "no peer is available",
            )
        )
        is_bulk = path in BULK_PATHS
        channels = self._bulk_channels if is_bulk else self._channels
        tried: list[str] = []
        no_answers = 0
        is_any_slow = False
        while len(tried) < PEERS_MAX and no_answers < NO_ANSWERS_MAX:
            if self._now() < self._peers_retry_at:
                return result
            address = self._choice.choose(tried)
            if not address:
                return result
            tried.append(address)
            called = await _call_peer(
                channels, address, path, message, step, timeout_s
            )
            if isinstance(called, Failure):
                no_answers += 1
                result = Failure(called.failure())
                if channels.is_connected(address):
                    is_any_slow = True
                    self._choice.record_slow(address)
                else:
                    self._choice.record_silent(address)
            else:
                reply = called.unwrap()
                if not reply.fault:
                    self._choice.record_success(address)
                    self.failing_since = None
                    return Success(reply)
                self._choice.record_no_access(address)
                code = CODES.get(reply.fault, PLATFORM_UNKNOWN)
                result = Failure(
                    Fault(code, step, Peer.ENTRY, reply.detail, address)
                )
            is_unknown = result.failure().code is PLATFORM_UNKNOWN
            if is_unknown and step is Step.WRITE:
                return result
            if not is_unknown and not self._access.is_lost:
                return result
        if not is_any_slow:
            self._peers_retry_at = self._now() + PEERS_PAUSE_S
        return result


async def _call_peer(
    channels: PeerChannels,
    address: str,
    path: str,
    message: Any,
    step: Step,
    timeout_s: float,
) -> Result[StoreReply, Fault]:
    """Call one peer; return its reply, which may have a fault."""
    call = channels.call_bulk if path in BULK_PATHS else channels.call
    try:
        reply = await call(address, path, message, StoreReply, timeout_s)
    except CALL_ERRORS as error:
        detail = str(error) or type(error).__name__
        code = PLATFORM_UNKNOWN
        if isinstance(error, NotSentError):
            code = PLATFORM_UNREACHABLE
        fault = Fault(code, step, Peer.ENTRY, detail, address)
        log_fault("relayed-call-failed", fault, path=path)
        return Failure(fault)
    return Success(reply)


def _unpack_commit(reply: StoreReply) -> RowCommit | RowConflict:
    """Convert a reply to the result of a commit."""
    if reply.is_conflict:
        return RowConflict([row.to_row() for row in reply.rows])
    return RowCommit(reply.version)


def _unpack_feed(reply: StoreReply) -> RowSet | HistoryGone:
    """Convert a reply to the result of a feed."""
    return HistoryGone() if reply.is_history_gone else reply.to_set()
