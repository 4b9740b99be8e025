"""A client for the other entry daemons, with timeouts and typed faults.

A channel connects at its first call and is closed after a call without
an answer.  So at most one call per channel waits for its timeout on a
connection that a network partition has cut.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final, TypeVar

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from returns.result import Failure, Result, Success

from lycheelug.entries.codec import MessagePackCodec
from lycheelug.entries.messages import (
    ConfigAnswer,
    ConfigPush,
    Digest,
    DigestList,
    Empty,
    ViewReply,
    ViewRequest,
)
from lycheelug.entries.service import (
    EXCHANGE,
    FETCH_VIEW,
    LEAVE,
    PUSH_CONFIG,
)
from lycheelug.errors import (
    ENTRY_INVALID,
    ENTRY_UNREACHABLE,
    Fault,
    Peer,
    Step,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["CALL_TIMEOUT_S", "EntryClient", "EntryClients"]

CALL_TIMEOUT_S: Final = 1.0
_MAX_CLIENTS: Final = 64
_INVALID_STATUSES: Final = frozenset(
    {
        Status.INVALID_ARGUMENT,
        Status.RESOURCE_EXHAUSTED,
        Status.UNIMPLEMENTED,
    }
)

A = TypeVar("A")


class EntryClient:
    """A client of one other entry daemon, given by its `ip:port`."""

    __slots__ = ("_address", "_channel", "_codec", "_timeout_s")

    def __init__(
        self, address: str, timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._codec = MessagePackCodec()
        self._channel: Channel | None = None

    @property
    def address(self) -> str:
        """The address of the daemon."""
        return self._address

    async def exchange(
        self, digests: Sequence[Digest]
    ) -> Result[list[Digest], Fault]:
        """Send digests; return the newer digests that the daemon has."""
        message = DigestList(list(digests))
        answer = await self._call(EXCHANGE, message, DigestList, Step.GOSSIP)
        match answer:
            case Success(DigestList(digests=received)):
                return Success(received)
            case Failure(fault):
                return Failure(fault)
        raise AssertionError(answer)

    async def fetch_view(
        self, request: ViewRequest
    ) -> Result[ViewReply, Fault]:
        """Return one page of the rows in the daemon's view."""
        return await self._call(FETCH_VIEW, request, ViewReply, Step.READ)

    async def push_config(
        self, push: ConfigPush
    ) -> Result[ConfigAnswer, Fault]:
        """Send a message about a configuration and return the answer."""
        return await self._call(
            PUSH_CONFIG, push, ConfigAnswer, Step.CONFIGURE
        )

    async def leave(self, digest: Digest) -> Result[Empty, Fault]:
        """Notify the daemon that the sender's run ends."""
        return await self._call(LEAVE, digest, Empty, Step.GOSSIP)

    def close(self) -> None:
        """Close the connection; a later call opens a new one."""
        if self._channel is None:
            return
        self._channel.close()
        self._channel = None

    async def _call(
        self, path: str, message: Any, answer: type[A], step: Step
    ) -> Result[A, Fault]:
        try:
            async with asyncio.timeout(self._timeout_s):
                channel = self._connected_channel()
                method: UnaryUnaryMethod[Any, A] = UnaryUnaryMethod(
                    channel, path, type(message), answer
                )
                return Success(await method(message, timeout=self._timeout_s))
        except GRPCError as error:
            return Failure(self._status_fault(error, step))
        except (
            OSError,
            TimeoutError,
            ValueError,
            StreamTerminatedError,
            ProtocolError,
        ) as error:
            self.close()
            detail = str(error) or type(error).__name__
            return Failure(self._fault(ENTRY_UNREACHABLE, step, detail))

    def _connected_channel(self) -> Channel:
        if self._channel is None:
            host, _, port = self._address.rpartition(":")
            self._channel = Channel(host, int(port), codec=self._codec)
        return self._channel

    def _status_fault(self, error: GRPCError, step: Step) -> Fault:
        detail = f"{error.status.name}: {error.message}"
        if error.status in _INVALID_STATUSES:
            return self._fault(ENTRY_INVALID, step, detail)
        self.close()
        return self._fault(ENTRY_UNREACHABLE, step, detail)

    def _fault(self, code: Any, step: Step, detail: str) -> Fault:
        return Fault(code, step, Peer.ENTRY, detail, self._address)


class EntryClients:
    """A pool of clients by address.

    Above the maximum, the least recently used client is closed.
    """

    __slots__ = ("_clients", "_timeout_s")

    def __init__(self, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self._timeout_s = timeout_s
        self._clients: dict[str, EntryClient] = {}

    def get(self, address: str) -> EntryClient:
        """Return the client of an address."""
        client = self._clients.pop(address, None)
        if client is None:
            client = EntryClient(address, self._timeout_s)
        self._clients[address] = client
        if len(self._clients) > _MAX_CLIENTS:
            oldest = next(iter(self._clients))
            self._clients.pop(oldest).close()
        return client

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()
