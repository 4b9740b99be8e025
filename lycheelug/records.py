"""Rows of the platform's table: keys, fields and encoding.

Rows are encoded as JSON, so that operators can read them with any tool.
Unknown fields are ignored, so daemons of two versions can share the table
during a rolling upgrade.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Final, TypeVar

import msgspec

from lycheelug.decoding import decode_json

if TYPE_CHECKING:
    from returns.result import Result

__all__ = [
    "CONFIG_KEY",
    "ENTRY_EPOCH_KEY",
    "ENTRY_PREFIX",
    "HOST_PREFIX",
    "PLAN_LEASE_PREFIX",
    "POOL_PREFIX",
    "SHEET_KEY",
    "EntryRow",
    "HostPhase",
    "HostRow",
    "PlanLeaseRow",
    "PoolRow",
    "SheetRow",
    "decode",
    "encode",
    "entry_key",
    "host_key",
    "plan_lease_key",
    "pool_key",
]

HOST_PREFIX: Final = "host/"
POOL_PREFIX: Final = "pool/"
ENTRY_PREFIX: Final = "entry/"
# Written by every join of an entry daemon.  A transaction guarded by this
# row's revision fails if another daemon has joined since it was read.
ENTRY_EPOCH_KEY: Final = "entry-epoch"
CONFIG_KEY: Final = "config/current"
SHEET_KEY: Final = "sheet/current"
PLAN_LEASE_PREFIX: Final = "plan-lease/"

R = TypeVar("R", bound=msgspec.Struct)


class HostPhase(StrEnum):
    """The phase of a worker host with respect to its pool."""

    SERVING = "serving"
    DRAINING = "draining"
    MAINTENANCE = "maintenance"


class HostRow(msgspec.Struct):
    """The authoritative record of the pool that a worker host belongs to.

    `epoch` grows by one with each phase change.  While DRAINING, the host
    still belongs to `pool`; `target` is the pool that it moves to next, or
    "" if it drains for maintenance and will return to `pool`.
    `maintained_at` is the Unix time in seconds of the last maintenance.
    """

    name: str
    zone: str
    rack: str
    pool: str
    phase: HostPhase = HostPhase.SERVING
    epoch: int = 1
    target: str = ""
    maintained_at: float = 0.0
    address: str = ""
    # Unix time in seconds at which the phase was entered, by the clock of
    # the daemon that wrote it.
    since: float = 0.0
    # The revision of the platform's host list that the row was written
    # from.  A host in MAINTENANCE was no longer live at this revision; it
    # has returned once a later list shows it as live.  `address` is as new
    # as this revision.
    list_revision: int = 0
    # Unix time at which the host last returned from draining for
    # maintenance.
    drained_at: float = 0.0


class PoolRow(msgspec.Struct):
    """A pool: size of its executors, availability budget and wanted hosts.

    At least `min_available` hosts must stay in service during planned
    stops; `out` names the hosts that are out of service for planned work.
    """

    name: str
    min_available: int = 0
    spare: bool = False
    slots: int = 8
    connections: int = 64
    weight: float = 1.0
    wanted: dict[str, int] = {}
    quotas: dict[str, float] = {}
    out: list[str] = []
    # Whether the budget must hold even if one more rack fails during a
    # planned stop.
    survive_rack: bool = False
    # The revision of the sheet row whose values this row has adopted.
    sheet_revision: int = 0


class SheetRow(msgspec.Struct):
    """The accepted sheet, and the nonces of the latest submissions.

    If the answer to a submission was lost, its nonce shows that it was
    accepted, even after another sheet has replaced it.
    """

    text: str
    operator: str
    nonce: str
    submitted_at: float = 0.0
    recent_nonces: list[str] = []


class PlanLeaseRow(msgspec.Struct):
    """The driver of a zone's plan.

    The lease only keeps two drivers from doing the same work; safety does
    not depend on it.
    """

    zone: str
    driver: str
    until: float


class EntryRow(msgspec.Struct):
    """A run (process incarnation) of an entry daemon that has joined."""

    name: str
    zone: str
    address: str
    run: str
    # A revision of the platform's host list at which this run's own host was
    # listed as live.  Only a later list can show that the run is gone.
    list_revision: int = 0


def host_key(zone: str, name: str) -> str:
    """Return the key of a worker host's row.

    >>> host_key("arima", "w7")
    'host/arima/w7'
    """
    return f"{HOST_PREFIX}{zone}/{name}"


def pool_key(name: str) -> str:
    """Return the key of a pool's row."""
    return f"{POOL_PREFIX}{name}"


def entry_key(name: str) -> str:
    """Return the key of an entry daemon's row."""
    return f"{ENTRY_PREFIX}{name}"


def plan_lease_key(zone: str) -> str:
    """Return the key of the lease row of a zone's plan."""
    return f"{PLAN_LEASE_PREFIX}{zone}"


def encode(row: msgspec.Struct) -> bytes:
    """Encode a row for storage."""
    return msgspec.json.encode(row)


def decode(data: bytes, kind: type[R]) -> Result[R, str]:
    """Return the decoded row, or the reason why it is invalid."""
    return decode_json(data, kind)
