"""Messages between entry daemons, as MessagePack over gRPC.

All are arrays on the wire.  A field is only ever added at the end, with a
default, so that daemons of two versions can talk while they are replaced.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

__all__ = [
    "ConfigAnswer",
    "ConfigPhase",
    "ConfigPush",
    "Digest",
    "DigestList",
    "Empty",
    "PoolLoad",
    "ViewReply",
    "ViewRequest",
    "ViewRow",
]


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
    `sponsored` names daemons that took their view from this one and have
    not joined through the platform yet.  `is_summary` marks a copy without
    `loads`, as sent to other zones.
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
    sponsored: list[str] = []
    is_summary: bool = False


class DigestList(msgspec.Struct, array_like=True):
    """One side of an anti-entropy exchange."""

    digests: list[Digest]


class Empty(msgspec.Struct, array_like=True):
    """An answer that says no more than that the message was taken in."""


class ViewRequest(msgspec.Struct, array_like=True):
    """Asks a peer for the rows of a zone's view after a revision.

    `newcomer` names a daemon that has not joined through the platform, and
    which the peer is to list as sponsored; "" where there is none.
    """

    zone: str
    revision: int
    newcomer: str = ""


class ViewRow(msgspec.Struct, array_like=True):
    """A row of the platform's table as a peer knows it."""

    key: str
    value: bytes | None
    revision: int


class ViewReply(msgspec.Struct, array_like=True):
    """Rows of a peer's view, complete up to `revision`.

    `zone` is the peer's own; only a peer of the zone that was asked for
    has its host rows.  With `has_more`, ask again from `revision`.
    """

    zone: str
    rows: list[ViewRow]
    revision: int
    has_more: bool = False


class ConfigPhase(StrEnum):
    """What a message about a configuration asks of its receiver."""

    PREPARE = "prepare"
    ACCEPT = "accept"
    QUERY = "query"


class ConfigPush(msgspec.Struct, array_like=True):
    """Prepares or accepts one configuration, or asks for the highest one.

    The body is left out where the receiver holds it already; the checksum
    then tells which body is meant.  QUERY carries nothing else.
    """

    phase: ConfigPhase
    revision: int = 0
    nonce: str = ""
    submitter: str = ""
    body: bytes = b""
    checksum: str = ""


class ConfigAnswer(msgspec.Struct, array_like=True):
    """What the receiver holds after a ConfigPush.

    `is_held` tells that the pushed configuration is prepared or accepted
    here.  `accepted` is the configuration in force here, sent where it was
    asked for or came before the pushed one.
    """

    name: str
    is_held: bool
    reason: str = ""
    accepted: ConfigPush | None = None
