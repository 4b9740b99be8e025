"""The platform's messages as they travel, with the platform's names.

Each is decoded here and turned at once into a type of the product.  Fields
that are not used are left out; unknown ones are ignored.
"""

from __future__ import annotations

from typing import Any

import msgspec

__all__ = [
    "AdviceAnswer",
    "ConfigMessage",
    "EntryMessage",
    "HoldAnswer",
    "JobMessage",
    "MachineMessage",
    "MachinesAnswer",
    "OrderAnswer",
    "PartsAnswer",
    "RowMessage",
    "RowsAnswer",
    "StepMessage",
    "TransactionMessage",
    "WaveMessage",
]


class RowMessage(msgspec.Struct, omit_defaults=True):
    """One row, or the condition on one."""

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
    """Rows, or only the version at which a transaction took effect."""

    rows: list[RowMessage] = []
    row_version: int = 0
    has_more: bool = False
    now_ms: int = 0


class PartsAnswer(msgspec.Struct):
    """The parts of a table."""

    parts: list[str] = []
    has_more: bool = False


class CapacityMessage(msgspec.Struct):
    """Room on a host."""

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
    """What comes back of a start, a stop or a host's order."""

    clock_ms: int | None = None
    reason: str = ""


class HoldAnswer(msgspec.Struct):
    """An executor's lists; entries are arrays, decoded one by one."""

    clock_ms: int
    running: list[list[Any]] = []
    ended: list[list[Any]] = []
    born: int = 0


class StepMessage(msgspec.Struct):
    """A step of a submission."""

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
    """A submission; `spec` is handed to the executors as it is."""

    steps: list[StepMessage]
    spec: str = ""
    repeats: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0


class RouteMessage(msgspec.Struct):
    """A queue in the configuration; `slo_ms` is added to the objective."""

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
    """Hosts due for upkeep; `cap` bounds how many at once."""

    wave: int
    machines: list[str]
    deadline_s: float
    cap: int


class MachineMessage(msgspec.Struct):
    """One host; `id` is the executor that lives on it."""

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


class AdviceAnswer(msgspec.Struct):
    """Executors that may run a step: rows of id and ticket."""

    allowed: list[tuple[str, str]] = []
    valid_ms: int = 0
