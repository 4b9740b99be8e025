"""gRPC connections to other daemons, one per address."""

from __future__ import annotations

from typing import Any, Final, TypeVar

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from lycheelug.entries.codec import MessagePackCodec

__all__ = ["CALL_ERRORS", "PeerChannels"]

R = TypeVar("R")

# The exceptions that a failed call to a peer raises.
CALL_ERRORS: Final = (
    OSError,
    TimeoutError,
    ValueError,
    GRPCError,
    StreamTerminatedError,
    ProtocolError,
)


class PeerChannels:
    """Makes calls to other daemons over cached connections."""

    __slots__ = ("_channels", "_codec")

    def __init__(self) -> None:
        self._codec = MessagePackCodec()
        self._channels: dict[str, Channel] = {}

    async def call(
        self, address: str, path: str, message: Any, reply: type[R]
    ) -> R:
        """Make a call; raise one of `CALL_ERRORS` if it fails."""
        method: UnaryUnaryMethod[Any, R] = UnaryUnaryMethod(
            self._channel(address), path, type(message), reply
        )
        return await method(message)

    def drop(self, address: str) -> None:
        """Close the connection to a peer that did not answer."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all connections."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def _channel(self, address: str) -> Channel:
        """Return the connection to a peer; create it if needed."""
        channel = self._channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host, int(port), codec=self._codec)
            self._channels[address] = channel
        return channel
