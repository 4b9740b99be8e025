"""A crowd of clients that send requests and mostly take no answers.

Each client sends a fixed number of bytes on its own connection, as fast as
the server reads them.  A client stops early when the server closes its
connection, or when it could not send anything for a while.  The connections
stay open until `Crowd.close`.
"""

from __future__ import annotations

import asyncio
import selectors
import socket
import time
from typing import TYPE_CHECKING, Final

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.exceptions import ProtocolError

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "Crowd",
    "MessageScript",
    "RepeatScript",
    "Script",
    "grpc_headers",
    "read_calls",
]

# A client that could not send anything for this long stops.
STALL_S: Final = 1.0
SEND_BYTES: Final = 64 * 1024
# Answers that nobody reads fill a small buffer soon.
RECEIVE_BUFFER_BYTES: Final = 4096


class Script:
    """What one client sends; with `reads` it takes the answers."""

    reads = False

    def next_bytes(self) -> bytes:
        """Return the next bytes to send; nothing if it has to wait."""
        raise NotImplementedError

    def receive(self, data: bytes) -> None:
        """Process bytes of the server."""


class RepeatScript(Script):
    """Sends an opening and repeats a unit up to a number of bytes."""

    def __init__(
        self, opening: bytes, unit: bytes = b"", total_bytes: int = 0
    ) -> None:
        self._opening = opening
        self._block = unit * max(1, SEND_BYTES // len(unit)) if unit else b""
        self._left = total_bytes if unit else 0

    def next_bytes(self) -> bytes:
        """Return the opening first, then blocks of the unit."""
        if self._opening:
            data, self._opening = self._opening, b""
            return data
        if self._left <= 0:
            return b""
        self._left -= len(self._block)
        return self._block


class MessageScript(Script):
    """Announces a large gRPC message and sends a part of it."""

    reads = True

    def __init__(self, path: str, announced: int, total_bytes: int) -> None:
        self._h2 = H2Connection(H2Configuration(client_side=True))
        self._h2.initiate_connection()
        self._h2.send_headers(1, grpc_headers(path))
        self._h2.send_data(1, b"\0" + announced.to_bytes(4, "big"))
        self._left = total_bytes
        self._is_failed = False

    def next_bytes(self) -> bytes:
        """Return frames of data, as far as the windows allow."""
        try:
            self._send_data()
        except ProtocolError:
            # The server has ended the call.
            self._is_failed = True
        return self._h2.data_to_send()

    def _send_data(self) -> None:
        """Send one frame of data, if the windows allow it."""
        if not self._is_failed and self._left > 0:
            size = min(
                self._h2.local_flow_control_window(1),
                self._h2.max_outbound_frame_size,
                self._left,
            )
            if size > 0:
                self._h2.send_data(1, bytes(size))
                self._left -= size

    def receive(self, data: bytes) -> None:
        """Apply the server's updates of the windows."""
        try:
            self._h2.receive_data(data)
            self._h2.local_flow_control_window(1)
        except ProtocolError:
            self._is_failed = True


def grpc_headers(path: str) -> list[tuple[str, str]]:
    """Return the headers of a gRPC call with MessagePack messages."""
    return [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", path),
        (":authority", "peer"),
        ("te", "trailers"),
        ("content-type", "application/grpc+msgpack"),
    ]


def read_calls(path: str, message: bytes, calls: int) -> bytes:
    """Return an HTTP/2 connection's calls whose replies are not allowed.

    The initial window is 0, so the server may send no byte of a reply.
    """
    h2 = H2Connection(H2Configuration(client_side=True))
    h2.local_settings.initial_window_size = 0
    h2.local_settings.acknowledge()
    h2.initiate_connection()
    prefix = b"\0" + len(message).to_bytes(4, "big")
    for _ in range(calls):
        stream = h2.get_next_available_stream_id()
        h2.send_headers(stream, grpc_headers(path))
        h2.send_data(stream, prefix + message, end_stream=True)
    return h2.data_to_send()


class _Client:
    """One connection and its script."""

    def __init__(self, sock: socket.socket, script: Script) -> None:
        self.socket = sock
        self.script = script
        self.pending = b""
        self.progressed_at = time.monotonic()

    def turn(self) -> bool:
        """Send and receive what is possible; return False at the end."""
        try:
            if self.script.reads:
                self._receive()
            return self._send()
        except OSError:
            return False

    def _receive(self) -> None:
        try:
            data = self.socket.recv(SEND_BYTES)
        except BlockingIOError:
            return
        if not data:
            raise ConnectionResetError
        self.script.receive(data)

    def _send(self) -> bool:
        if not self.pending:
            self.pending = self.script.next_bytes()
        if self.pending:
            try:
                sent = self.socket.send(self.pending)
            except BlockingIOError:
                sent = 0
            self.pending = self.pending[sent:]
            if sent:
                self.progressed_at = time.monotonic()
        return time.monotonic() - self.progressed_at < STALL_S


class Crowd:
    """The clients of one test."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._sockets: list[socket.socket] = []

    async def run(
        self, clients: int, make_script: Callable[[], Script]
    ) -> None:
        """Connect all clients and send until each has ended or stalled."""
        await asyncio.to_thread(self._run, clients, make_script)

    def half_close(self) -> None:
        """End the sending direction of all connections."""
        for sock in self._sockets:
            try:
                sock.shutdown(socket.SHUT_WR)
            except OSError:
                continue

    def close(self) -> None:
        """Close all connections."""
        for sock in self._sockets:
            sock.close()
        self._sockets.clear()

    def _run(self, clients: int, make_script: Callable[[], Script]) -> None:
        selector = selectors.DefaultSelector()
        active: list[_Client] = []
        for _ in range(clients):
            sock = socket.socket()
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            sock.connect(self._address)
            sock.setblocking(False)
            self._sockets.append(sock)
            active.append(_Client(sock, make_script()))
        while active:
            still_active: list[_Client] = []
            for client in active:
                if client.turn():
                    still_active.append(client)
            active = still_active
            if not active:
                return
            for client in active:
                events = selectors.EVENT_READ if client.script.reads else 0
                if client.pending:
                    events |= selectors.EVENT_WRITE
                if events:
                    selector.register(client.socket, events)
            if selector.get_map():
                selector.select(STALL_S / 10)
            else:
                time.sleep(STALL_S / 10)
            for client in active:
                if client.socket in selector.get_map():
                    selector.unregister(client.socket)
