"""Messages between entry daemons, as MessagePack over gRPC."""

from __future__ import annotations

import msgspec

__all__ = ["Digest", "PoolLoad"]


class PoolLoad(msgspec.Struct, array_like=True):
    """One daemon's load of one pool: counts of requests and idle slots."""

    pool: str
    queued: int
    in_flight: int
    idle: int


class Digest(msgspec.Struct, array_like=True):
    """What a daemon says of itself; `sequence` orders one run's digests.

    `table_revision` is the revision of the platform's table that the
    daemon's view has reached: it dispatches by no older row.
    `busy_draining` names the draining hosts on which it still has requests
    in flight.  `leaving` names hosts that it saw refuse or close.
    """

    name: str
    zone: str
    run: str
    sequence: int
    address: str
    state: str
    table_revision: int
    config_revision: int
    loads: list[PoolLoad]
    busy_draining: list[str]
    leaving: list[str]
