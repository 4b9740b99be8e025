"""Serves calls of other daemons: relayed store calls, and submissions.

Relayed calls use only this daemon's direct access to the store, and are never
relayed again.  Submissions are accepted, and waiting jobs are counted, for
pools that this daemon owns.  While a submission waits whose sender has given
up, later ones of its pool are rejected at once: their senders would only wait
before they store them themselves.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any, Final, TypeVar

import msgspec
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError
from returns.result import Failure, Success

from lycheelug.entries.codec import MessagePackCodec
from lycheelug.jobservice.interfaces import Rejection, SubmissionAnswer
from lycheelug.jobservice.placement_queries import (
    PlacementAnswer,
    PlacementQuery,
)
from lycheelug.jobservice.queue_rows import GateVersions
from lycheelug.jobservice.submission_queue import SUBMIT_TIMEOUT_S
from lycheelug.jobservice.tables import decode_job
from lycheelug.logs import log_change
from lycheelug.peer_server import PeerLimits, PeerServer, holding
from lycheelug.relay.channels import RELAY_MESSAGE_BYTES_MAX
from lycheelug.relay.counts import COUNT
from lycheelug.relay.messages import (
    CommitCall,
    CountCall,
    CountReply,
    FeedCall,
    PartsCall,
    ReadCall,
    ReplyChunk,
    StoreReply,
    SubmitCall,
    SubmitReply,
    pack_rows,
)
from lycheelug.relay.placement_queries import LOCATE
from lycheelug.relay.submissions import SUBMIT
from lycheelug.store.rows import HistoryGone, RowConflict, RowName

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from grpclib.server import Stream
    from returns.result import Result

    from lycheelug.errors import Fault
    from lycheelug.jobservice.interfaces import (
        SubmissionOutcome,
        WaitingCount,
    )
    from lycheelug.store.rows import RowSet, RowStore
    from lycheelug.workloads import JobRecord

    AcceptSubmission = Callable[
        [str, str, JobRecord, GateVersions], Awaitable[SubmissionOutcome]
    ]
    CountWaiting = Callable[[str, str, str], WaitingCount]
    LocateJob = Callable[[PlacementQuery], PlacementAnswer]

__all__ = ["BULK_READ", "COMMIT", "FEED", "PARTS", "READ", "RelayServer"]

_SERVICE: Final = "/lycheelug.Relay/"
COMMIT: Final = _SERVICE + "Commit"
READ: Final = _SERVICE + "Read"
# Calls whose replies may be large, and are sent in chunks.
BULK_READ: Final = _SERVICE + "BulkRead"
PARTS: Final = _SERVICE + "BulkParts"
FEED: Final = _SERVICE + "BulkFeed"
CHUNK_BYTES: Final = 32 * 1024
# Calls to the store that are made for other daemons at the same time; further
# ones wait.
CALLS_MAX: Final = 32
# Reads among them: each may have a reply of many megabytes.
READS_MAX: Final = 4
# Feeds that wait for changes at the same time; further ones are refused.
FEEDS_MAX: Final = 128

Q = TypeVar("Q")
R = TypeVar("R")


class RelayServer:
    """Serves the calls of other daemons."""

    __slots__ = (
        "_calls",
        "_feeds",
        "_late_pools",
        "_limits",
        "_on_refused",
        "_reads",
        "_server",
        "_store",
        "_waiting",
        "accept_submission",
        "count_waiting",
        "locate_job",
        "port",
    )

    def __init__(
        self,
        store: RowStore,
        limits: PeerLimits | None = None,
        on_refused: Callable[[str], None] | None = None,
    ) -> None:
        self._store = store
        self._limits = limits
        self._on_refused = on_refused
        self._calls = asyncio.Semaphore(CALLS_MAX)
        self._reads = asyncio.Semaphore(READS_MAX)
        self._feeds = asyncio.Semaphore(FEEDS_MAX)
        # Stores a submission if this daemon owns its pool.
        self.accept_submission: AcceptSubmission | None = None
        # Counts a queue's waiting jobs if this daemon owns its pool.
        self.count_waiting: CountWaiting | None = None
        # Reports where a job would go if this daemon owns its pool.
        self.locate_job: LocateJob | None = None
        self._server: PeerServer | None = None
        # By pool: the submissions that wait for its owner in this daemon,
        # oldest first, and since when they do.
        self._waiting: dict[
            str, dict[asyncio.Task[SubmissionOutcome], float]
        ] = {}
        # Pools whose submissions are rejected at once.
        self._late_pools: set[str] = set()
        # The bound port, after `start`.
        self.port = 0

    async def start(self, host: str, port: int) -> None:
        """Start listening; raise OSError if the address is in use."""
        listener = socket.create_server((host, port))
        listener.setblocking(False)
        self.port = listener.getsockname()[1]
        codec = MessagePackCodec(RELAY_MESSAGE_BYTES_MAX)
        self._server = PeerServer(
            [self], codec, limits=self._limits, on_refused=self._on_refused
        )
        self._server.listen(listener)

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        for waiting in self._waiting.values():
            for task in list(waiting):
                task.cancel()

    def __mapping__(self) -> Mapping[str, Handler]:
        return {
            COMMIT: _unary(self._commit, CommitCall),
            READ: _unary(self._read, ReadCall),
            BULK_READ: _chunked(self._read, ReadCall),
            PARTS: _chunked(self._parts, PartsCall),
            FEED: _chunked(self._feed, FeedCall),
            SUBMIT: _unary(self._submit, SubmitCall, SubmitReply),
            COUNT: _unary(self._count, CountCall, CountReply),
            LOCATE: _unary(self._locate, PlacementQuery, PlacementAnswer),
        }

    async def _submit(self, call: SubmitCall) -> SubmitReply:
        """Pass a submission to the owner of its pool in this daemon.

        The owner may still store it after the sender has given up.
        """
        record = decode_job(call.record)
        if record is None or self.accept_submission is None:
            return SubmitReply(SubmissionAnswer.NOT_TAKEN.name)
        if self._is_late(call.pool):
            return SubmitReply(SubmissionAnswer.NOT_TAKEN.name)
        loop = asyncio.get_running_loop()
        task = loop.create_task(
            self._accept(self.accept_submission, call, record)
        )
        waiting = self._waiting.setdefault(call.pool, {})
        waiting[task] = loop.time()
        task.add_done_callback(waiting.pop)
        outcome = await asyncio.shield(task)
        if isinstance(outcome, Rejection):
            return SubmitReply(
                SubmissionAnswer.NOT_TAKEN.name,
                outcome.retry_after_s,
                outcome.is_over_limit,
            )
        return SubmitReply(outcome.name)

    async def _count(self, call: CountCall) -> CountReply:
        """Return the count of a pool's owner in this daemon."""
        if self.count_waiting is None:
            return CountReply()
        return CountReply(
            self.count_waiting(call.pool, call.queue, call.address)
        )

    async def _locate(self, query: PlacementQuery) -> PlacementAnswer:
        """Return the report of a pool's owner in this daemon."""
        if self.locate_job is None:
            return PlacementAnswer(error="this daemon owns no pools")
        return self.locate_job(query)

    async def _accept(
        self, accept: AcceptSubmission, call: SubmitCall, record: JobRecord
    ) -> SubmissionOutcome:
        """Let the owner store a submission."""
        gates = GateVersions(call.gate_version, call.address_gate_version)
        return await accept(call.pool, call.job_id, record, gates)

    def _is_late(self, pool: str) -> bool:
        """Return whether a pool's oldest submission has waited too long."""
        waiting = self._waiting.get(pool, {})
        now = asyncio.get_running_loop().time()
        since = next(iter(waiting.values()), now)
        is_late = now - since > SUBMIT_TIMEOUT_S
        if is_late and pool not in self._late_pools:
            self._late_pools.add(pool)
            log_change("owner-late", pool=pool, waiting=len(waiting))
        if not is_late and pool in self._late_pools:
            self._late_pools.remove(pool)
            log_change("owner-in-time", pool=pool, waiting=len(waiting))
        return is_late

    async def _commit(self, call: CommitCall) -> StoreReply:
        """Make a commit for another daemon."""
        expected: dict[RowName, int] = {}
        writes: dict[RowName, bytes | None] = {}
        for row in call.expected:
            expected[RowName(row.table, row.key)] = row.version
        for row in call.writes:
            writes[RowName(row.table, row.key)] = row.value
        async with self._calls:
            result = await self._store.commit(call.part, expected, writes)
        if isinstance(result, Failure):
            return _fault_reply(result.failure())
        outcome = result.unwrap()
        if isinstance(outcome, RowConflict):
            rows = pack_rows(list(outcome.rows.values()))
            return StoreReply(rows=rows, is_conflict=True)
        return StoreReply(version=outcome.version)

    async def _read(self, call: ReadCall) -> StoreReply:
        """Read rows for another daemon."""
        async with self._reads:
            result = await self._store.read(
                call.table, call.part, call.first, call.end
            )
        return _rows_reply(result)

    async def _parts(self, call: PartsCall) -> StoreReply:
        """List the parts of a table for another daemon."""
        async with self._calls:
            result = await self._store.parts(call.table)
        if isinstance(result, Failure):
            return _fault_reply(result.failure())
        return StoreReply(parts=result.unwrap())

    async def _feed(self, call: FeedCall) -> StoreReply:
        """Wait for changes of a table for another daemon."""
        if self._feeds.locked():
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many feeds")
        async with self._feeds:
            result = await self._store.feed(
                call.table, call.after, call.wait_s
            )
        if isinstance(result, Success):
            changes = result.unwrap()
            if isinstance(changes, HistoryGone):
                return StoreReply(is_history_gone=True)
            return _rows_reply(Success(changes))
        return _fault_reply(result.failure())


def _unary(
    function: Callable[[Q], Awaitable[R]],
    request: type[Q],
    reply: type[Any] = StoreReply,
) -> Handler:
    """Return the grpclib handler of a unary method."""

    async def run(stream: Stream[Any, Any]) -> None:
        message = await stream.recv_message()
        if message is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "the call has no message")
        await stream.send_message(await function(message))

    return Handler(run, Cardinality.UNARY_UNARY, request, reply)


def _chunked(
    function: Callable[[Q], Awaitable[StoreReply]], request: type[Q]
) -> Handler:
    """Return the grpclib handler of a method with a reply of any size.

    The reply is sent in chunks, so that its receiver can tell a slow link
    from a silent peer.
    """

    async def run(stream: Stream[Any, Any]) -> None:
        message = await stream.recv_message()
        if message is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "the call has no message")
        reply = msgspec.msgpack.encode(await function(message))
        with holding(stream, len(reply)):
            for start in range(0, len(reply), CHUNK_BYTES):
                chunk = ReplyChunk(reply[start : start + CHUNK_BYTES])
                await stream.send_message(chunk)

    return Handler(run, Cardinality.UNARY_STREAM, request, ReplyChunk)


def _rows_reply(result: Result[RowSet, Fault]) -> StoreReply:
    """Convert the result of a read to a reply."""
    if isinstance(result, Failure):
        return _fault_reply(result.failure())
    found = result.unwrap()
    return StoreReply(rows=pack_rows(found.rows), version=found.version)


def _fault_reply(fault: Fault) -> StoreReply:
    """Convert a fault to a reply."""
    return StoreReply(fault=fault.code.name, detail=fault.detail)
