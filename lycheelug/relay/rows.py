"""A row store that passes calls through a peer while its own way fails.

Once a call has failed, a probe tries the own way until it works again; all
other calls go through peers meanwhile, also those that wait for an answer
without effects, as a way that was cut silently answers nothing.  A call that
may have had an effect is not repeated here: who made it knows how to ask
again.  When the ways of some peers fail as well, the store is away for all,
and no peer is bothered for a moment.
"""

from __future__ import annotations

import asyncio
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
from lycheelug.logs import log_change
from lycheelug.relay.channels import CALL_ERRORS, PeerChannels
from lycheelug.relay.messages import (
    CommitCall,
    FeedCall,
    PartsCall,
    ReadCall,
    StoreReply,
)
from lycheelug.relay.server import COMMIT, FEED, PARTS, READ
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

# Added to the time that a relayed call may take by itself; a transaction
# on a store that is sixty times as slow as usual takes as long.
CALL_MARGIN_S: Final = 0.5
# A relayed feed waits no longer for a change: the own way may be back.
RELAYED_WAIT_S: Final = 0.4
# A peer that did not answer is passed over for this long.
AVOID_S: Final = 4.0
# The pause between two probes of an own way that fails.
PROBE_S: Final = 0.2
# What a probe reads: a part that has no rows.
PROBE_TABLE: Final = "owners"
PROBE_PART: Final = "~probe"
# Peers that one call asks in turn, and for how long one is passed over
# whose own way failed.
PEERS_MAX: Final = 3
TURNED_AWAY_S: Final = 1.0
# No peer is asked for this long after so many could not help either.
PEERS_PAUSE_S: Final = 0.5


class RelayedRows(RowStore):
    """The store by the own way, or by a peer's."""

    __slots__ = (
        "_avoided_until",
        "_channels",
        "_now",
        "_own",
        "_own_lost",
        "_peers",
        "_peers_retry_at",
        "_probe",
        "failing_since",
    )

    def __init__(
        self,
        own: RowStore,
        peers: Callable[[], list[str]],
        now: Callable[[], float],
    ) -> None:
        self._own = own
        # Addresses of other daemons, those to prefer first.
        self._peers = peers
        self._now = now
        # Peers that did not answer, and until when they are passed over.
        self._avoided_until: dict[str, float] = {}
        self._channels = PeerChannels()
        # Set while the own way fails.
        self._own_lost = asyncio.Event()
        self._probe: asyncio.Task[None] | None = None
        self._peers_retry_at = 0.0
        # Since when neither way has worked; None while one does.
        self.failing_since: float | None = None

    @property
    def is_direct_access_lost(self) -> bool:
        """Whether calls go through peers now."""
        return self._own_lost.is_set()

    async def commit(
        self,
        part: str,
        expected: Mapping[RowName, int],
        writes: Mapping[RowName, bytes | None],
    ) -> Result[RowCommit | RowConflict, Fault]:
        """Write rows if the expected ones have these versions."""
        return await self._through(
            lambda: self._own.commit(part, expected, writes),
            COMMIT,
            CommitCall.of(part, expected, writes),
            Step.WRITE,
            _unpack_commit,
        )

    async def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[RowSet, Fault]:
        """Return all rows of a part from key `first` to before `end`."""
        return await self._through(
            lambda: self._own.read(table, part, first, end),
            READ,
            ReadCall(table, part, first, end),
            Step.READ,
            StoreReply.to_set,
        )

    async def parts(self, table: str) -> Result[list[str], Fault]:
        """Return the parts of a table that have rows."""
        return await self._through(
            lambda: self._own.parts(table),
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
        return await self._through(
            lambda: self._own.feed(table, after, wait_s),
            FEED,
            FeedCall(table, after, relayed_wait_s),
            Step.READ,
            _unpack_feed,
            relayed_wait_s,
        )

    def close(self) -> None:
        """Close the connections to peers."""
        if self._probe is not None:
            self._probe.cancel()
        self._channels.close()

    # --- The choice of the way.

    async def _through(
        self,
        own: Callable[[], Coroutine[Any, Any, Result[T, Fault]]],
        path: str,
        message: Any,
        step: Step,
        unpack: Callable[[StoreReply], T],
        wait_s: float = 0.0,
    ) -> Result[T, Fault]:
        """Make a call the own way, or through a peer while that is lost."""
        result: Result[T, Fault] | None = None
        if not self._own_lost.is_set():
            if step is Step.WRITE:
                result = await own()
            else:
                result = await self._try_own(own())
            if result is not None and not self._may_relay(result, step):
                return result
        reply = await self._relay(path, message, step, wait_s)
        if isinstance(reply, Success):
            return Success(unpack(reply.unwrap()))
        fault = reply.failure()
        if step is Step.WRITE and fault.code is PLATFORM_UNKNOWN:
            # The peer may have done it, whatever the own way said.
            return Failure(fault)
        if not self._own_lost.is_set():
            # It came back while peers were asked.
            return await own()
        return Failure(fault) if result is None else result

    async def _try_own(
        self, call: Coroutine[Any, Any, Result[T, Fault]]
    ) -> Result[T, Fault] | None:
        """Make a call without effect; None once the own way is lost."""
        loop = asyncio.get_running_loop()
        calling = loop.create_task(call)
        losing = loop.create_task(self._own_lost.wait())
        try:
            await asyncio.wait(
                (calling, losing), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            losing.cancel()
            if not calling.done():
                calling.cancel()
        return calling.result() if calling.done() else None

    async def _probe_own(self) -> None:
        """Try the own way until it works again."""
        while True:
            await asyncio.sleep(PROBE_S)
            tried = await self._own.read(PROBE_TABLE, PROBE_PART)
            if isinstance(tried, Success):
                break
        log_change("own-way-regained", peer="platform")
        self._own_lost.clear()
        self.failing_since = None

    def _may_relay(self, result: Result[Any, Fault], step: Step) -> bool:
        """Take in how the own way went; True where a peer may help.

        A write that may have been done is not made again: what comes of the
        second one would not tell what became of the first.
        """
        if isinstance(result, Success):
            return False
        fault = result.failure()
        if not self._own_lost.is_set():
            log_change(
                "own-way-lost", code=fault.code.name, detail=fault.detail
            )
            self._own_lost.set()
            loop = asyncio.get_running_loop()
            self._probe = loop.create_task(self._probe_own())
        if self.failing_since is None:
            self.failing_since = self._now()
        return step is Step.READ or fault.code is not PLATFORM_UNKNOWN

    async def _relay(
        self, path: str, message: Any, step: Step, wait_s: float
    ) -> Result[StoreReply, Fault]:
        """Let a peer make a call; ask the next one if its way fails too."""
        result: Result[StoreReply, Fault] = Failure(
            Fault(PLATFORM_UNREACHABLE, step, Peer.PLATFORM, "no peer to ask")
        )
        for _ in range(PEERS_MAX):
            address = self._choose_peer()
            if not address:
                return result
            result = await self._ask(address, path, message, step, wait_s)
            if isinstance(result, Success):
                self.failing_since = None
                return result
            if result.failure().code is PLATFORM_UNKNOWN:
                self._avoided_until[address] = self._now() + AVOID_S
                if step is Step.READ:
                    continue
                return result
            self._avoided_until[address] = self._now() + TURNED_AWAY_S
            if not self._own_lost.is_set():
                return result
        self._peers_retry_at = self._now() + PEERS_PAUSE_S
        return result

    async def _ask(
        self,
        address: str,
        path: str,
        message: Any,
        step: Step,
        wait_s: float,
    ) -> Result[StoreReply, Fault]:
        """Let one peer make a call."""
        try:
            async with asyncio.timeout(wait_s + CALL_MARGIN_S):
                reply = await self._channels.call(
                    address, path, message, StoreReply
                )
        except CALL_ERRORS as error:
            self._channels.drop(address)
            detail = str(error) or type(error).__name__
            code = PLATFORM_UNKNOWN
            if isinstance(error, ConnectionRefusedError):
                # Nobody listens there: nothing was sent.
                code = PLATFORM_UNREACHABLE
            return Failure(Fault(code, step, Peer.ENTRY, detail, address))
        if not reply.fault:
            return Success(reply)
        code = CODES.get(reply.fault, PLATFORM_UNKNOWN)
        return Failure(Fault(code, step, Peer.ENTRY, reply.detail, address))

    def _choose_peer(self) -> str:
        """Return the first peer that may help now; empty for none."""
        now = self._now()
        if now < self._peers_retry_at:
            return ""
        for address in self._peers():
            if now >= self._avoided_until.get(address, 0.0):
                return address
        return ""


def _unpack_commit(reply: StoreReply) -> RowCommit | RowConflict:
    """Return what a peer's commit brought."""
    if reply.is_conflict:
        return RowConflict([row.to_row() for row in reply.rows])
    return RowCommit(reply.version)


def _unpack_feed(reply: StoreReply) -> RowSet | HistoryGone:
    """Return what a peer's feed brought."""
    return HistoryGone() if reply.is_history_gone else reply.to_set()
