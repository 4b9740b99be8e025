"""The rows kept in the platform's table: keys, fields and encoding.

Rows are JSON, so that an operator can read them with any tool.  A field
that a reader does not know is ignored, so daemons of two versions can
share a table while they are being replaced.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final, TypeVar

import msgspec

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
# Written by every join, so that a transaction can be guarded by "no daemon
# joined since I looked".
ENTRY_EPOCH_KEY: Final = "entry-epoch"
CONFIG_KEY: Final = "config/current"
SHEET_KEY: Final = "sheet/current"
PLAN_LEASE_PREFIX: Final = "plan-lease/"

R = TypeVar("R", bound=msgspec.Struct)


class HostPhase(StrEnum):
    """Where a worker host stands between pools and maintenance."""

    SERVING = "serving"
    DRAINING = "draining"
    MAINTENANCE = "maintenance"


class HostRow(msgspec.Struct):
    """The one truth about which pool a worker host belongs to.

    `epoch` grows by one with each phase change.  While DRAINING, the host
    still belongs to `pool`; `target` is the pool that it goes to next, or
    "" where it drains for maintenance and returns to `pool`.
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
    # When the phase was entered, in Unix seconds by its writer's clock.
    since: float = 0.0
    # The revision of the platform's host list that the row was written
    # from.  In MAINTENANCE the host had left by then, and is back once a
    # later list says live; the address is that of a list as new as this.
    list_revision: int = 0
    # When the host last came back from being drained for maintenance.
    drained_at: float = 0.0


class PoolRow(msgspec.Struct):
    """One pool: its executors' size and its availability budget.

    `min_available` hosts must stay in service through every planned stop;
    `out` names the hosts that planned work holds out of service.
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
    # Keep the budget also if one more rack fails during a planned stop.
    survive_rack: bool = False
    # The revision of the sheet row whose wishes this row holds.
    sheet_revision: int = 0


class SheetRow(msgspec.Struct):
    """The accepted sheet, and the nonces of the latest submissions.

    A submission whose answer was lost is found by its nonce, also after
    another sheet has replaced it.
    """

    text: str
    operator: str
    nonce: str
    submitted_at: float = 0.0
    recent_nonces: list[str] = []


class PlanLeaseRow(msgspec.Struct):
    """Who drives a zone's plan; it only avoids that two do the same work."""

    zone: str
    driver: str
    until: float


class EntryRow(msgspec.Struct):
    """One run of an entry daemon that has joined."""

    name: str
    zone: str
    address: str
    run: str
    # The revision of the platform's host list at which this run saw its own
    # host listed as live: only a later list can call this run gone.
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
    """Return the key of the row that names a zone's driver."""
    return f"{PLAN_LEASE_PREFIX}{zone}"


def encode(row: msgspec.Struct) -> bytes:
    """Return the stored form of a row."""
    return msgspec.json.encode(row)


def decode(data: bytes, kind: type[R]) -> R:
    """Return the row of a stored form; raise msgspec.DecodeError."""
    return msgspec.json.decode(data, type=kind)
