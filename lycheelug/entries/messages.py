"""The messages between entry daemons, as MessagePack over gRPC.

Each message is an array on the wire.  A new field must be added at the end
and have a default, so that daemons of two versions can communicate during
an upgrade.
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
    """The load of one pool at one daemon: requests and idle slots."""

    pool: str
    queued: int
    in_flight: int
    idle: int


class Digest(msgspec.Struct, array_like=True):
    """The state that a daemon publishes; `sequence` orders a run's digests.

    `table_revision` is the revision of the platform's table that the
    daemon's view has reached: the daemon does not dispatch by older rows.
    `busy_draining` names the draining hosts on which the daemon still has
    requests in flight.  `leaving` names hosts that rejected a request of the
    daemon or closed a connection because they shut down.  `sponsored` names
    daemons that copied their view from this one and have not joined through
    the platform yet.  `is_summary` marks a copy without `loads`, as it is
    sent to other zones.
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
    """The digests that one side sends in an anti-entropy exchange."""

    digests: list[Digest]


class Empty(msgspec.Struct, array_like=True):
    """An answer that only confirms that the message was processed."""


class ViewRequest(msgspec.Struct, array_like=True):
    """Requests the rows of a zone's view that are newer than a revision.

    `newcomer` names a daemon that has not joined through the platform; the
    peer must list it as sponsored.  It is "" if there is none.
    """

    zone: str
    revision: int
    newcomer: str = ""


class ViewRow(msgspec.Struct, array_like=True):
    """A row of the platform's table in a peer's view."""

    key: str
    value: bytes | None
    revision: int


class ViewReply(msgspec.Struct, array_like=True):
    """Rows of a peer's view, complete up to `revision`.

    `zone` is the peer's zone: only a peer in the requested zone has the host
    rows of this zone.  With `has_more`, the next request must start at
    `revision`.
    """

    zone: str
    rows: list[ViewRow]
    revision: int
    has_more: bool = False


class ConfigPhase(StrEnum):
    """The operation that a ConfigPush requests from its receiver."""

    PREPARE = "prepare"
    ACCEPT = "accept"
    QUERY = "query"


class ConfigPush(msgspec.Struct, array_like=True):
    """Prepares or accepts a configuration, or queries the highest one.

    The body is omitted if the receiver already has it; the checksum then
    identifies the body.  QUERY has no other fields.
    """

    phase: ConfigPhase
    revision: int = 0
    nonce: str = ""
    submitter: str = ""
    body: bytes = b""
    checksum: str = ""


class ConfigAnswer(msgspec.Struct, array_like=True):
    """The receiver's state after a ConfigPush.

    `is_held` states whether the receiver has prepared or accepted the pushed
    configuration.  `accepted` is the configuration in force at the receiver;
    it is sent in reply to a QUERY, or if it preceded the pushed one.
    """

    name: str
    is_held: bool
    reason: str = ""
    accepted: ConfigPush | None = None
