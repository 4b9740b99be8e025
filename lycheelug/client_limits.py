"""Limits on the clients of the listeners of a scheduler.

The limits of one listener don't depend on the clients of another, so that a
crowd at one address leaves the others reachable.
"""

from __future__ import annotations

from typing import Annotated, Final

import msgspec
from msgspec import Meta

from lycheelug.http import ServerLimits
from lycheelug.peer_server import PeerLimits

__all__ = ["ClientLimits"]

MIB: Final = 1024 * 1024
# The shares of a host's memory that the connections of callers, and those of
# each other listener, may hold, and their maximum if the memory is not known.
CALLERS_MEMORY_SHARE: Final = 1 / 8
OTHERS_MEMORY_SHARE: Final = 1 / 16
CALLERS_HELD_BYTES: Final = 32 * MIB
OTHERS_HELD_BYTES: Final = 16 * MIB
# Holds the largest reply to another daemon.
PEERS_HELD_BYTES_MIN: Final = 40 * MIB
# What the system may buffer for a client that doesn't read its answers.
SEND_BUFFER_BYTES: Final = 64 * 1024
# The share of a process's descriptors that one listener may use.
DESCRIPTORS_SHARE: Final = 3 / 8


class ClientLimits(msgspec.Struct, forbid_unknown_fields=True):
    """What clients may occupy; the page of settings shows it."""

    max_connections: Annotated[
        int,
        Meta(
            ge=1,
            description="Open connections of callers.",
        ),
    ] = 1024
    max_probe_connections: Annotated[
        int,
        Meta(
            ge=1,
            description="Open connections of probes and for metrics.",
        ),
    ] = 256
    max_peer_connections: Annotated[
        int,
        Meta(
            ge=1,
            description="Open connections of other daemons.",
        ),
    ] = 1536
    max_connections_per_address: Annotated[
        int,
        Meta(
            ge=0,
            description=(
                "Open connections of callers from one address; 0 for no limit."
            ),
        ),
    ] = 0
    max_head_bytes: Annotated[
        int,
        Meta(
            ge=1,
            description="Bytes of a request's target and headers.",
        ),
    ] = 16 * 1024
    max_headers: Annotated[
        int,
        Meta(
            ge=1,
            description="Headers of a request.",
        ),
    ] = 128
    max_body_bytes: Annotated[
        int,
        Meta(
            ge=1,
            description="Bytes of a request's body.",
        ),
    ] = MIB
    max_peer_message_bytes: Annotated[
        int,
        Meta(
            ge=1,
            description="Bytes of a call of another daemon.",
        ),
    ] = 4 * MIB
    max_held_bytes: Annotated[
        int,
        Meta(
            ge=0,
            description=(
                "Bytes of bodies and unsent answers that one listener "
                "holds; 0 for a share of the host's memory."
            ),
        ),
    ] = 0
    receive_s: Annotated[
        float,
        Meta(
            ge=0.01,
            description="Seconds to receive a request.",
        ),
    ] = 10.0
    send_s: Annotated[
        float,
        Meta(
            ge=0.01,
            description="Seconds to send an answer.",
        ),
    ] = 10.0
    idle_s: Annotated[
        float,
        Meta(
            ge=0.01,
            description="Seconds after which an idle connection is closed.",
        ),
    ] = 60.0

    def for_callers(
        self, memory_bytes: int = 0, descriptors: int = 0
    ) -> ServerLimits:
        """Return the limits of the callers' listener."""
        held_bytes = int(memory_bytes * CALLERS_MEMORY_SHARE)
        limits = self._http(held_bytes or CALLERS_HELD_BYTES)
        limits.max_connections = _fit(self.max_connections, descriptors)
        limits.max_connections_per_address = self.max_connections_per_address
        return limits

    def for_probes(
        self, memory_bytes: int = 0, descriptors: int = 0
    ) -> ServerLimits:
        """Return the limits of the listener for probes and metrics."""
        held_bytes = int(memory_bytes * OTHERS_MEMORY_SHARE)
        limits = self._http(held_bytes or OTHERS_HELD_BYTES)
        limits.max_connections = _fit(self.max_probe_connections, descriptors)
        return limits

    def for_peers(
        self, memory_bytes: int = 0, descriptors: int = 0
    ) -> PeerLimits:
        """Return the limits of the listener for other daemons."""
        held_bytes = max(
            int(memory_bytes * OTHERS_MEMORY_SHARE), PEERS_HELD_BYTES_MIN
        )
        return PeerLimits(
            max_connections=_fit(self.max_peer_connections, descriptors),
            max_message_bytes=self.max_peer_message_bytes,
            max_held_bytes=self.max_held_bytes or held_bytes,
            receive_s=self.receive_s,
            send_s=self.send_s,
        )

    def _http(self, held_bytes: int) -> ServerLimits:
        """Return the limits that listeners for HTTP have in common."""
        return ServerLimits(
            max_head_bytes=self.max_head_bytes,
            max_headers=self.max_headers,
            max_body_bytes=self.max_body_bytes,
            max_held_bytes=self.max_held_bytes or held_bytes,
            send_buffer_bytes=SEND_BUFFER_BYTES,
            receive_s=self.receive_s,
            send_s=self.send_s,
            idle_s=self.idle_s,
        )


def _fit(connections: int, descriptors: int) -> int:
    """Return how many connections a process with few descriptors allows."""
    if not descriptors:
        return connections
    return max(1, min(connections, int(descriptors * DESCRIPTORS_SHARE)))
