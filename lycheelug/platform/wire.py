"""The messages of the platform's protocol, with the platform's names.

The adapter converts them to and from the project's own types.  Fields that
are not used here are omitted, and unknown fields are ignored.  Row values
are encoded in base64.
"""

from __future__ import annotations

from typing import Any

import msgspec

__all__ = [
    "ConfigMessage",
    "EntryMessage",
    "HoldAnswer",
    "JobMessage",
    "MachineMessage",
    "MachinesAnswer",
    "OrderAnswer",
    "PartsAnswer",
    "PlacementHintAnswer",
    "RowMessage",
    "RowsAnswer",
    "StepMessage",
    "TransactionMessage",
    "WaveMessage",
]


class RowMessage(msgspec.Struct, omit_defaults=True):
    """One row, or the condition that a row has a given version."""

    table: str
    part: str
    key: str
    value: bytes | None = None
    row_version: int | None = None
    # The row was removed.
    tombstone: bool = False


class TransactionMessage(msgspec.Struct):
    """A transaction; `expected_rev` holds its conditions."""

    expected_rev: list[RowMessage]
    set_keys: list[RowMessage]
    remove: list[RowMessage]


class RowsAnswer(msgspec.Struct):
    """Rows and the store's version.

    For a successful transaction it has only the version of the commit.
    """

    rows: list[RowMessage] = []
    row_version: int = 0
    has_more: bool = False
    now_ms: int = 0


class PartsAnswer(msgspec.Struct):
    """One page of the parts of a table."""

    parts: list[str] = []
    has_more: bool = False


class CapacityMessage(msgspec.Struct):
    """The capacity of a host or executor."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class EntryMessage(msgspec.Struct):
    """An executor's entry in the store."""

    service: str
    address: str
    state: str
    capacity: CapacityMessage
    zone: str = ""
    labels: list[str] = []
    machine: str = ""
    born: int = 0
    remaining_ms: int | None = None
    cold_left_ms: int = 0
    clock_ms: int | None = None


class OrderAnswer(msgspec.Struct):
    """The answer to an order: a start, a stop, a move or maintenance."""

    clock_ms: int | None = None
    reason: str = ""


class HoldAnswer(msgspec.Struct):
    """An executor's task report; its entries are arrays."""

    clock_ms: int
    running: list[list[Any]] = []
    ended: list[list[Any]] = []
    born: int = 0


class StepMessage(msgspec.Struct):
    """One step of a submitted job."""

    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    depends_on: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0


class JobMessage(msgspec.Struct):
    """A submitted job; `spec` is passed to the executors unchanged."""

    steps: list[StepMessage]
    spec: str = ""
    repeats: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0


class RouteMessage(msgspec.Struct):
    """A queue in the configuration.

    The time objective of its jobs is `stretch` times their longest chain of
    steps, plus `slo_ms`.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: int = 0
    slo_ms: int = 0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    hint: msgspec.Raw | None = None


class ServiceMessage(msgspec.Struct):
    """A pool in the configuration."""

    name: str
    rejects_overload: bool = False
    standby: bool = False


class ConfigMessage(msgspec.Struct):
    """The whole configuration."""

    version: int
    routes: list[RouteMessage] = []
    services: list[ServiceMessage] = []


class WaveMessage(msgspec.Struct):
    """A maintenance wave; `cap` limits the hosts maintained concurrently."""

    wave: int
    machines: list[str]
    deadline_s: float
    cap: int


class MachineMessage(msgspec.Struct):
    """One host; `id` is the executor that currently runs on it."""

    machine: str
    pool: str
    state: str
    zone: str = ""
    labels: list[str] = []
    capacity: CapacityMessage | None = None
    id: str | None = None


class MachinesAnswer(msgspec.Struct):
    """One page of hosts."""

    machines: list[MachineMessage]
    next_token: str | None = None


class PlacementHintAnswer(msgspec.Struct):
    """The executors that may run a step, as pairs of id and ticket."""

    allowed: list[tuple[str, str]] = []
    valid_ms: int = 0
