"""A gRPC server for other daemons that bounds what its clients occupy.

If all connections together hold too much, the one that holds the most is
closed.  Above the maximum number of connections, the one that has been idle
for the longest time is closed.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, Final, cast

from grpclib.server import Handler, Server
from h2.settings import SettingCodes

from lycheelug.http.acceptor import Acceptor
from lycheelug.http.sockets import limit_buffers
from lycheelug.logs import log_change
from lycheelug.peer_connection import (
    BoundedStream,
    GrpcState,
    H2State,
    PeerConnection,
    PeerLimits,
)

if TYPE_CHECKING:
    import asyncio
    import contextlib
    import socket
    from collections.abc import Callable, Collection

    from grpclib import protocol
    from grpclib._typing import IServable
    from grpclib.config import Configuration
    from grpclib.encoding.base import CodecBase
    from grpclib.server import Stream

__all__ = ["PeerLimits", "PeerServer", "holding"]

READ_BYTES: Final = 16 * 1024
RECEIVE_BUFFER_BYTES: Final = 128 * 1024
SEND_BUFFER_BYTES: Final = 256 * 1024
SWEEP_PERIOD_S: Final = 1.0
# A call may be in transit on a connection that was idle for less.
EVICTION_IDLE_S: Final = 0.5


class _Handler(Handler):
    """Runs the calls of a connection; keeps none that has ended.

    The frames of an ended call may refer to a large reply.
    """

    def accept(
        self,
        stream: protocol.Stream,
        headers: Any,
        release_stream: Callable[[], Any],
    ) -> None:
        """Start a call."""
        super().accept(stream, headers, release_stream)
        task = self._tasks[stream]

        def forget(_: asyncio.Task[None]) -> None:
            self._tasks.pop(stream, None)
            self._cancelled.discard(task)
            wrapper = stream.wrapper
            if wrapper is not None and wrapper._error is not None:
                # The frames of its traceback refer to the error again.
                wrapper._error.__traceback__ = None
                wrapper._error.__context__ = None

        task.add_done_callback(forget)


class PeerServer(Server):
    """A server of grpclib whose connections are bounded."""

    def __init__(
        self,
        handlers: Collection[IServable],
        codec: CodecBase,
        config: Configuration | None = None,
        limits: PeerLimits | None = None,
        on_refused: Callable[[str], None] | None = None,
    ) -> None:
        super().__init__(handlers, codec=codec, config=config)
        self.limits = limits or PeerLimits()
        self.now: Callable[[], float] = self._loop.time
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self._on_refused = on_refused
        # The connections, longest idle first.
        self._peers: dict[PeerConnection, None] = {}
        self._held_bytes = 0
        # What was refused or closed since the last sweep, by reason.
        self._refusals: Counter[str] = Counter()
        self._acceptor: Acceptor | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    def listen(self, listener: socket.socket) -> None:
        """Accept the connections of a listening socket."""
        limit_buffers(listener, RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES)
        self._acceptor = Acceptor(listener, self._make_connection)
        self._acceptor.start()
        self._sweep()

    def close(self) -> None:
        """Stop listening and cancel the calls in progress."""
        if self._acceptor is not None:
            self._acceptor.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for handler in self._handlers:
            handler.close()

    async def wait_closed(self) -> None:
        """Wait until the calls in progress have ended."""
        for handler in tuple(self._handlers):
            await handler.wait_closed()

    # --- Called by the connections.

    def open_connection(self, transport: asyncio.Transport) -> GrpcState:
        """Return a new HTTP/2 connection on a transport."""
        h2 = H2State(config=self._h2_config)
        h2.initiate_connection()
        initial = h2.local_settings.initial_window_size
        window = self._config.http2_connection_window_size
        if window > initial:
            h2.increment_flow_control_window(window - initial)
        window = self._config.http2_stream_window_size
        if window != initial:
            h2.update_settings({SettingCodes.INITIAL_WINDOW_SIZE: window})
        return GrpcState(h2, transport, config=self._config)

    def add(self, connection: PeerConnection) -> bool:
        """Add a connection; return False if there are too many."""
        if len(self._peers) >= self.limits.max_connections:
            self._evict()
        if len(self._peers) >= self.limits.max_connections:
            self.count("too-many-connections")
            return False
        self._peers[connection] = None
        return True

    def remove(self, connection: PeerConnection) -> None:
        """Remove a connection, if it is present."""
        if connection in self._peers:
            del self._peers[connection]
            self._held_bytes -= connection.held
            connection.held = 0

    def touch(self, connection: PeerConnection) -> None:
        """Record that a connection has received something."""
        connection.idle_since = self.now()
        if connection in self._peers:
            del self._peers[connection]
            self._peers[connection] = None

    def hold(self, connection: PeerConnection, held: int) -> None:
        """Set the bytes of a connection; close others if needed."""
        if connection not in self._peers:
            return
        self._held_bytes += held - connection.held
        connection.held = held
        while self._held_bytes > self.limits.max_held_bytes:
            self.count("released")
            max(self._peers, key=_held).abort()

    def count(self, reason: str) -> None:
        """Count a connection that was refused or closed."""
        self._refusals[reason] += 1
        if self._on_refused is not None:
            self._on_refused(reason)

    def _make_connection(self) -> PeerConnection:
        """Return the protocol of an accepted connection."""
        self.__gc_step__()
        handler = _Handler(
            self._mapping,
            self._codec,
            self._status_details_codec,
            self.__dispatch__,
        )
        self._handlers.add(handler)
        return PeerConnection(self, handler)

    def _evict(self) -> None:
        """Close the connection that has been idle for the longest time."""
        now = self.now()
        for connection in self._peers:
            if now - connection.idle_since < EVICTION_IDLE_S:
                return
            if not connection.has_streams:
                self.count("evicted")
                connection.abort()
                return

    def _sweep(self) -> None:
        """Close connections that have timed out; log what was refused."""
        now = self.now()
        for connection in tuple(self._peers):
            if connection.expires_at <= now:
                self.count("timed-out")
                connection.abort()
        if self._refusals:
            log_change(
                "clients-refused",
                listener="peers",
                connections=len(self._peers),
                held_bytes=self._held_bytes,
                **self._refusals,
            )
            self._refusals.clear()
        self._sweep_timer = self._loop.call_later(SWEEP_PERIOD_S, self._sweep)


def holding(
    stream: Stream[Any, Any], size: int
) -> contextlib.AbstractContextManager[None]:
    """Count bytes that a call's handler keeps for its reply."""
    return cast("BoundedStream", stream._stream).connection.peer.holding(size)


def _held(connection: PeerConnection) -> int:
    """Return the number of bytes that a connection holds."""
    return connection.held
