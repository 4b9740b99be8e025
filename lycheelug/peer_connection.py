"""One connection of another daemon, and what its calls hold in memory.

grpclib answers control frames while earlier answers are unread, and buffers
messages and frames of any length.  Here, nothing is read from a connection
while its output is blocked, a message over the limit is rejected when its
length is known, and all that a connection holds is counted.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any, Final, cast

from grpclib import protocol
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from h2.connection import H2Connection
from h2.events import DataReceived, RequestReceived
from h2.exceptions import ProtocolError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from grpclib.server import Handler
    from h2.events import Event

    from lycheelug.peer_server import PeerServer

__all__ = [
    "BoundedStream",
    "GrpcState",
    "H2State",
    "PeerConnection",
    "PeerLimits",
]

# The memory of an open stream and of a received frame, besides their data.
STREAM_BYTES: Final = 8 * 1024
FRAME_BYTES: Final = 256
# The length of a frame's header.
FRAME_HEAD: Final = 9
SMALL_READ_BYTES: Final = 4 * 1024
# Streams whose end is remembered, to tolerate late frames.
CLOSED_STREAMS_MAX: Final = 1024
# Frames without data, such as pings, between the beginnings of two calls.
CONTROL_FRAMES_MAX: Final = 1_000


class PeerLimits:
    """Limits on the resources that other daemons may occupy."""

    __slots__ = (
        "max_connections",
        "max_held_bytes",
        "max_message_bytes",
        "receive_s",
        "send_s",
    )

    def __init__(
        self,
        max_connections: int = 1536,
        max_message_bytes: int = 4 * 1024 * 1024,
        max_held_bytes: int = 32 * 1024 * 1024,
        receive_s: float = 10.0,
        send_s: float = 10.0,
    ) -> None:
        self.max_connections = max_connections
        self.max_message_bytes = max_message_bytes
        # Streams, messages and unsent replies of all connections together.
        self.max_held_bytes = max_held_bytes
        # Time until the first bytes of a connection.
        self.receive_s = receive_s
        # Time for which a connection's output may be blocked.
        self.send_s = send_s


class H2State(H2Connection):
    """An HTTP/2 connection that remembers few closed streams."""

    MAX_CLOSED_STREAMS = CLOSED_STREAMS_MAX

    @property
    def partial_frame_bytes(self) -> int:
        """The number of bytes received of an incomplete frame.

        The length of a frame is only checked when the frame is complete.
        """
        return len(self.incoming_buffer._data)

    @property
    def partial_header_bytes(self) -> int:
        """The number of bytes received of an incomplete header section."""
        frames = self.incoming_buffer._headers_buffer
        return sum(len(frame.data) for frame in frames)


class BoundedStream(protocol.Stream):
    """A stream whose messages are limited and counted."""

    connection: GrpcState
    # Bytes received that the stream's handler may still keep.
    held = 0

    async def recv_data(self, size: int) -> bytes:
        """Return the next bytes of the call; reject a message over a limit."""
        limit = self.connection.peer.limits.max_message_bytes
        if size > limit:
            raise GRPCError(
                Status.RESOURCE_EXHAUSTED,
                f"message of {size} bytes is over the limit",
            )
        return await super().recv_data(size)

    async def send_data(self, data: bytes, end_stream: bool = False) -> None:
        """Send bytes of the reply; count them until they are sent."""
        # The caller has another copy of the message.
        with self.connection.peer.holding(2 * len(data)):
            await super().send_data(data, end_stream)


class GrpcState(protocol.Connection):
    """The state of a connection in grpclib."""

    peer: PeerConnection

    @property
    def h2(self) -> H2State:
        """The state of HTTP/2."""
        return cast("H2State", self._connection)

    def create_stream(
        self, *, stream_id: int | None = None, wrapper: Any = None
    ) -> BoundedStream:
        """Return a stream that is limited."""
        return BoundedStream(
            self,
            self._connection,
            self._transport,
            stream_id=stream_id,
            wrapper=wrapper,
        )


class _Events(protocol.EventsProcessor):
    """Processes the events of a connection and counts what it holds."""

    connection: GrpcState

    def register(self, stream: protocol.Stream) -> Callable[[], None]:
        """Add a stream; return the function that releases it."""
        release = super().register(stream)
        peer = self.connection.peer

        def release_counted() -> None:
            release()
            peer.add_held(-cast("BoundedStream", stream).held)

        return release_counted

    def process(self, event: Event) -> None:
        """Process an event; ignore kinds that grpclib does not know."""
        if type(event) in getattr(self, "processors", {}):
            super().process(event)

    def process_data_received(self, event: DataReceived) -> None:
        """Pass data to its stream."""
        super().process_data_received(event)
        stream = self.streams.get(event.stream_id)
        if stream is not None:
            size = len(event.data or b"") + FRAME_BYTES
            cast("BoundedStream", stream).held += size
            self.connection.peer.add_held(size)


class PeerConnection(asyncio.BufferedProtocol):
    """The connection of another daemon."""

    __slots__ = (
        "_connection",
        "_control_frames",
        "_events",
        "_handler",
        "_has_received",
        "_held_by_streams",
        "_server",
        "_transport",
        "expires_at",
        "held",
        "idle_since",
    )

    def __init__(self, server: PeerServer, handler: Handler) -> None:
        self._server = server
        self._handler = handler
        self._transport: asyncio.Transport | None = None
        self._connection: GrpcState | None = None
        self._events: _Events | None = None
        self._held_by_streams = 0
        self._has_received = False
        # Frames without data since the last call began.
        self._control_frames = 0
        # All bytes that the server counts for this connection.
        self.held = 0
        self.expires_at = float("inf")
        # The time of the last input.
        self.idle_since = 0.0

    @property
    def limits(self) -> PeerLimits:
        """The limits of the server."""
        return self._server.limits

    @property
    def has_streams(self) -> bool:
        """Whether a call is in progress."""
        return self._events is not None and bool(self._events.streams)

    @contextlib.contextmanager
    def holding(self, size: int) -> Iterator[None]:
        """Count bytes of a reply within a context."""
        self.add_held(size)
        try:
            yield
        finally:
            self.add_held(-size)

    def add_held(self, change: int) -> None:
        """Count bytes that the streams of this connection hold."""
        self._held_by_streams += change
        self._count()

    def abort(self) -> None:
        """Close the connection now."""
        self._server.remove(self)
        if self._transport is not None:
            self._transport.abort()

    # --- Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start HTTP/2, or close if there are too many connections."""
        self._transport = cast("asyncio.Transport", transport)
        self.idle_since = self._server.now()
        if not self._server.add(self):
            self._handler.close()
            self._transport.abort()
            return
        self.expires_at = self.idle_since + self.limits.receive_s
        self._connection = self._server.open_connection(self._transport)
        self._connection.peer = self
        self._connection.flush()
        self._connection.initialize()
        self._events = _Events(self._handler, self._connection)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the calls of the connection."""
        self._server.remove(self)
        if self._events is not None:
            self._events.close(reason="Connection lost")

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read.

        It is small unless a large frame is being received, because many
        small frames must not hold up the other connections.
        """
        connection = self._connection
        if connection is not None and connection.h2.partial_frame_bytes:
            return self._server.read_buffer
        return self._server.read_buffer[:SMALL_READ_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Process received frames."""
        connection, events = self._connection, self._events
        if connection is None or events is None or connection.is_closing():
            return
        if not self._has_received:
            self._has_received = True
            self.expires_at = float("inf")
        self._server.touch(self)
        try:
            received = connection.feed(
                bytes(self._server.read_buffer[:nbytes])
            )
        except ProtocolError:
            self._server.count("protocol-error")
            self._close(events, "Protocol error")
            return
        h2 = connection.h2
        if h2.partial_frame_bytes > h2.max_inbound_frame_size + FRAME_HEAD:
            self._server.count("frame-too-large")
            self.abort()
            return
        connection.flush()
        for event in received:
            self._count_control(event)
            events.process(event)
            if connection.is_closing():
                self._close(events, "Connection closed")
                return
        connection.flush()
        if self._control_frames > CONTROL_FRAMES_MAX:
            self._server.count("too-many-control-frames")
            self.abort()
            return
        self._count()

    def pause_writing(self) -> None:
        """Read nothing until the client has received its answers."""
        self.expires_at = self._server.now() + self.limits.send_s
        if self._transport is not None:
            self._transport.pause_reading()
        if self._connection is not None:
            self._connection.pause_writing()

    def resume_writing(self) -> None:
        """Continue after the client has received its answers."""
        self.expires_at = float("inf")
        if self._transport is not None:
            self._transport.resume_reading()
        if self._connection is not None:
            self._connection.resume_writing()
        self._count()

    def _close(self, events: _Events, reason: str) -> None:
        """Close after the output was sent, or after a time limit."""
        self.expires_at = self._server.now() + self.limits.send_s
        events.close(reason)

    def _count_control(self, event: Event) -> None:
        """Count frames that neither begin a call nor carry its data."""
        if isinstance(event, RequestReceived):
            self._control_frames = 0
        elif not isinstance(event, DataReceived):
            self._control_frames += 1

    def _count(self) -> None:
        """Update the number of bytes that this connection holds."""
        if self._events is None or self._transport is None:
            return
        assert self._connection is not None
        self._server.hold(
            self,
            self._connection.h2.partial_frame_bytes
            + self._connection.h2.partial_header_bytes
            + self._held_by_streams
            + len(self._events.streams) * STREAM_BYTES
            + self._transport.get_write_buffer_size(),
        )
