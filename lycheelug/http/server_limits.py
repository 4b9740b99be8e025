"""The limits that an HTTP server sets to its clients."""

from __future__ import annotations

from typing import Final

__all__ = ["LINGER_BYTES", "LINGER_S", "READ_BYTES", "ServerLimits"]

# The maximum size of one read, and so of what is read ahead of a request
# that is handled.
READ_BYTES: Final = 16 * 1024
# After a refusal, input is discarded up to this time and number of bytes.  A
# connection that is closed with unread input is reset, and a client that
# still sends its request would lose the answer.
LINGER_S: Final = 2.0
LINGER_BYTES: Final = 4 * 1024 * 1024


class ServerLimits:
    """Limits on the resources that clients may occupy."""

    __slots__ = (
        "idle_s",
        "max_body_bytes",
        "max_connections",
        "max_connections_per_address",
        "max_head_bytes",
        "max_headers",
        "max_held_bytes",
        "receive_s",
        "send_buffer_bytes",
        "send_s",
    )

    def __init__(
        self,
        max_connections: int = 1024,
        max_head_bytes: int = 16 * 1024,
        max_body_bytes: int = 1024 * 1024,
        receive_s: float = 10.0,
        send_s: float = 10.0,
        idle_s: float = 60.0,
        max_headers: int = 128,
        max_held_bytes: int = 64 * 1024 * 1024,
        max_connections_per_address: int = 0,
        send_buffer_bytes: int = 256 * 1024,
    ) -> None:
        self.max_connections = max_connections
        # Connections from one IP address; 0 for no limit.
        self.max_connections_per_address = max_connections_per_address
        self.max_head_bytes = max_head_bytes
        self.max_headers = max_headers
        self.max_body_bytes = max_body_bytes
        # Bytes of bodies and unsent answers of all connections together.
        self.max_held_bytes = max_held_bytes
        # Bytes that the system may buffer for a client that doesn't read.
        self.send_buffer_bytes = send_buffer_bytes
        self.receive_s = receive_s
        self.send_s = send_s
        self.idle_s = idle_s
