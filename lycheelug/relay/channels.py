"""gRPC connections to other daemons, one per address.

A call that exceeds its time limit ends alone: its stream is reset, and the
other calls on the connection continue.  If nothing was answered on the
connection since that call began, the connection is retired: later calls open
a new one.  Calls in flight on a retired connection may still be answered; it
is closed after the last of them.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final, TypeVar

from grpclib.client import Channel, UnaryStreamMethod, UnaryUnaryMethod
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from returns.result import Failure

from lycheelug.decoding import decode_msgpack
from lycheelug.entries.codec import MessagePackCodec
from lycheelug.relay.messages import ReplyChunk

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = [
    "CALL_ERRORS",
    "RELAY_MESSAGE_BYTES_MAX",
    "NotSentError",
    "PeerChannels",
]

R = TypeVar("R")

# The size limit of a message between daemons.  A read of a whole part has all
# of the store's pages in one answer, each of up to a megabyte.
RELAY_MESSAGE_BYTES_MAX: Final = 32 << 20

# Time limit of the set-up of a connection, within that of the call.
CONNECT_TIMEOUT_S: Final = 0.5

# The time limits of a reply in chunks: until the next chunk, and in all.
CHUNK_TIMEOUT_S: Final = 1.0
BULK_TIMEOUT_S: Final = 10.0

# The exceptions that a failed call to a peer raises.
CALL_ERRORS: Final = (
    OSError,
    TimeoutError,
    ValueError,
    OverflowError,
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
)


class NotSentError(ConnectionError):
    """No connection was established, so the call had no effect."""


class _Connection:
    """One connection and the state of its calls."""

    __slots__ = ("answered_at", "calls", "channel", "is_retired")

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        # The number of calls in flight.
        self.calls = 0
        # The time of the last answer; None for none so far.
        self.answered_at: float | None = None
        # Whether later calls use another connection.
        self.is_retired = False

    def has_answered_since(self, time_s: float) -> bool:
        """Return whether any call was answered since a time."""
        return self.answered_at is not None and self.answered_at >= time_s

    def close_if_unused(self) -> None:
        """Close a retired connection after its last call."""
        if self.is_retired and not self.calls:
            self.channel.close()


class PeerChannels:
    """Makes calls to other daemons over cached connections."""

    __slots__ = ("_codec", "_connections")

    def __init__(self) -> None:
        self._codec = MessagePackCodec(RELAY_MESSAGE_BYTES_MAX)
        self._connections: dict[str, _Connection] = {}

    async def call(
        self,
        address: str,
        path: str,
        message: Any,
        reply: type[R],
        timeout_s: float,
    ) -> R:
        """Make a call; raise one of `CALL_ERRORS` if it fails.

        Only after a `NotSentError` the call certainly had no effect.
        """

        async def make(channel: Channel) -> R:
            method: UnaryUnaryMethod[Any, R] = UnaryUnaryMethod(
                channel, path, type(message), reply
            )
            return await method(message)

        return await self._call(address, make, timeout_s, timeout_s)

    async def call_bulk(
        self,
        address: str,
        path: str,
        message: Any,
        reply: type[R],
        timeout_s: float,
    ) -> R:
        """Make a call whose reply arrives in chunks; fail like `call`.

        Only the first chunk must arrive within the time limit of the call.
        """
        loop = asyncio.get_running_loop()

        async def make(channel: Channel) -> R:
            method: UnaryStreamMethod[Any, ReplyChunk] = UnaryStreamMethod(
                channel, path, type(message), ReplyChunk
            )
            data = bytearray()
            async with asyncio.timeout(timeout_s) as limit:
                async with method.open() as stream:
                    await stream.send_message(message, end=True)
                    async for chunk in stream:
                        data += chunk.data
                        limit.reschedule(loop.time() + CHUNK_TIMEOUT_S)
            decoded = decode_msgpack(bytes(data), reply)
            if isinstance(decoded, Failure):
                raise GRPCError(Status.DATA_LOSS, decoded.failure())
            return decoded.unwrap()

        return await self._call(address, make, timeout_s, BULK_TIMEOUT_S)

    async def _call(
        self,
        address: str,
        make: Callable[[Channel], Awaitable[R]],
        connect_timeout_s: float,
        timeout_s: float,
    ) -> R:
        """Make a call on the connection to a peer, within a time limit."""
        connection = self._connection(address)
        loop = asyncio.get_running_loop()
        began = loop.time()
        is_connected = False
        connection.calls += 1
        try:
            async with asyncio.timeout(timeout_s):
                async with asyncio.timeout(
                    min(CONNECT_TIMEOUT_S, connect_timeout_s)
                ):
                    await connection.channel.__connect__()
                is_connected = True
                result = await make(connection.channel)
            connection.answered_at = loop.time()
            return result
        except GRPCError:
            # The peer has answered, with an error.
            connection.answered_at = loop.time()
            raise
        except CALL_ERRORS as error:
            is_timeout = isinstance(error, TimeoutError)
            if not is_timeout or not connection.has_answered_since(began):
                self._retire(address, connection)
            # A connection that was lost while idle is opened again within
            # the call.
            if is_connected and not isinstance(error, ConnectionRefusedError):
                raise
            detail = str(error) or type(error).__name__
            raise NotSentError(detail) from error
        finally:
            connection.calls -= 1
            connection.close_if_unused()

    def is_connected(self, address: str) -> bool:
        """Return whether the last connection to a peer was not retired."""
        return address in self._connections

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.channel.close()
        self._connections.clear()

    def _connection(self, address: str) -> _Connection:
        """Return the connection to a peer; create it if needed."""
        connection = self._connections.get(address)
        if connection is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host, int(port), codec=self._codec)
            connection = _Connection(channel)
            self._connections[address] = connection
        return connection

    def _retire(self, address: str, connection: _Connection) -> None:
        """Let later calls to a peer use a new connection."""
        connection.is_retired = True
        if self._connections.get(address) is connection:
            del self._connections[address]
