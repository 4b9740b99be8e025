"""Options of the sockets of HTTP connections."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

from lycheelug.logs import log_change

if TYPE_CHECKING:
    from asyncio.trsock import TransportSocket

__all__ = ["discard_unsent", "limit_buffers"]


def discard_unsent(sock: TransportSocket, after_s: float) -> None:
    """Let the system give up bytes that the peer does not acknowledge.

    They are discarded after `after_s` seconds, or when the socket is closed,
    also by the end of the process.  Otherwise the system would go on sending
    them for minutes.
    """
    no_linger = struct.pack("ii", 1, 0)
    timeout_ms = int(after_s * 1000)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
        )
    except OSError as error:
        log_change("socket-option-refused", error=str(error))


def limit_buffers(
    listener: socket.socket, receive_bytes: int, send_bytes: int
) -> None:
    """Limit what the system buffers for each accepted connection."""
    try:
        for option, size in (
            (socket.SO_RCVBUF, receive_bytes),
            (socket.SO_SNDBUF, send_bytes),
        ):
            listener.setsockopt(socket.SOL_SOCKET, option, size)
    except OSError as error:
        log_change("socket-option-refused", error=str(error))
