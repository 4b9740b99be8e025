"""The messages of the platform's protocol, with the platform's names.

The adapter converts them to and from the project's own types.  Fields that
are not used here are omitted, and unknown fields are ignored.  Row values
are encoded in base64.
"""

from __future__ import annotations

from typing import Annotated, Final

import msgspec
from msgspec import Meta

from lycheelug.decoding import (
    Amount,  # noqa: TC001
    DurationFigure,  # noqa: TC001
    DurationMs,  # noqa: TC001
    Figure,  # noqa: TC001
    Integer,  # noqa: TC001
    UnixMs,  # noqa: TC001
)
from lycheelug.workloads import EndKind  # noqa: TC001

__all__ = [
    "ConfigMessage",
    "EntryMessage",
    "EntryName",
    "HintMessage",
    "HoldAnswer",
    "JobMessage",
    "MachineMessage",
    "MachineName",
    "MachinesAnswer",
    "OrderAnswer",
    "PartsAnswer",
    "PlacementHintAnswer",
    "RouteAddress",
    "RouteMessage",
    "RowMessage",
    "RowsAnswer",
    "ServiceMessage",
    "StepMessage",
    "TenantMessage",
    "TenantName",
    "TransactionMessage",
    "WaveMessage",
]

# The longest name of a zone, pool, host or label.  Names are parts of rows
# and of log lines.
NAME_LENGTH_MAX: Final = 200
LABELS_MAX: Final = 100
# The longest address: a host name, a colon and a port.
ADDRESS_LENGTH_MAX: Final = 260

Name = Annotated[str, Meta(max_length=NAME_LENGTH_MAX)]
# An empty name stands for no tenant.
TenantId = Annotated[str, Meta(min_length=1, max_length=NAME_LENGTH_MAX)]


class RowMessage(msgspec.Struct, omit_defaults=True):
    """One row, or the condition that a row has a given version."""

    table: str
    part: str
    key: str
    value: bytes | None = None
    row_version: Integer | None = None
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
    row_version: Integer = 0
    has_more: bool = False
    now_ms: Integer = 0


class PartsAnswer(msgspec.Struct):
    """One page of the parts of a table."""

    parts: list[str] = []
    has_more: bool = False


class CapacityMessage(msgspec.Struct):
    """The capacity of a host or executor."""

    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0


class EntryMessage(msgspec.Struct):
    """An executor's entry in the store."""

    service: Name
    address: Annotated[str, Meta(max_length=ADDRESS_LENGTH_MAX)]
    state: str
    capacity: CapacityMessage
    zone: Name = ""
    labels: Annotated[list[Name], Meta(max_length=LABELS_MAX)] = []
    machine: Name = ""
    born: UnixMs = 0
    remaining_ms: DurationMs | None = None
    cold_left_ms: DurationMs = 0
    clock_ms: Integer | None = None


class OrderAnswer(msgspec.Struct):
    """The answer to an order: a start, a stop, a move or maintenance."""

    clock_ms: UnixMs | None = None
    reason: str = ""


class RunMessage(msgspec.Struct, array_like=True):
    """An active run in a task report; the load may be missing."""

    task: Name
    run: Integer
    checkpoint: str
    percent: Figure
    load: Figure = 0.0


class EndMessage(msgspec.Struct, array_like=True):
    """An ended run in a task report."""

    number: UnixMs
    task: Name
    run: Integer
    kind: EndKind
    checkpoint: str


class HoldAnswer(msgspec.Struct):
    """An executor's task report."""

    clock_ms: UnixMs
    running: list[RunMessage] = []
    ended: list[EndMessage] = []
    born: UnixMs = 0


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


class HintMessage(msgspec.Struct):
    """The placement hints of a queue: what a call costs, and gives."""

    decide_ms: DurationFigure = 0.0
    # For each executor that the call names.
    period_ms: DurationFigure = 0.0
    # How long the tickets are valid.
    valid_ms: DurationFigure = 0.0


class RouteMessage(msgspec.Struct):
    """A queue in the configuration.

    The time objective of its jobs is `stretch` times their longest chain of
    steps, plus `slo_ms`.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: Figure = 0
    slo_ms: Figure = 0
    priority: Integer = 0
    max_attempts: Integer = 1
    stretch: Figure = 1.0
    hint: HintMessage | None = None
    # Its calls need no key.
    public: bool = False


class RouteAddress(msgspec.Struct):
    """What is used of a queue whose other fields are invalid."""

    name: str
    host: str
    path_prefix: str
    service: str


class TenantMessage(msgspec.Struct):
    """A tenant in the configuration; `cap` 0 stands for no limit."""

    name: TenantId
    api_keys: list[str] = []
    # Jobs a second, its share when all is full.
    weight: Figure = 1.0
    cap: CapacityMessage | None = None


class TenantName(msgspec.Struct):
    """What is used of a tenant whose other fields are invalid."""

    name: TenantId


class ServiceMessage(msgspec.Struct):
    """A pool in the configuration."""

    name: str
    rejects_overload: bool = False
    standby: bool = False


class EntryName(msgspec.Struct):
    """What is used of a queue or pool that can't be read otherwise."""

    name: str


class ConfigMessage(msgspec.Struct):
    """The whole configuration; each entry is decoded separately."""

    version: Integer
    routes: list[msgspec.Raw] = []
    services: list[msgspec.Raw] = []
    tenants: list[msgspec.Raw] = []


class WaveMessage(msgspec.Struct):
    """A maintenance wave; `cap` limits the hosts maintained concurrently."""

    wave: Integer
    machines: list[str]
    deadline_s: float
    cap: Integer


class MachineMessage(msgspec.Struct):
    """One host; `id` is the executor that currently runs on it."""

    machine: Name
    pool: Name
    state: str
    zone: Name = ""
    labels: Annotated[list[Name], Meta(max_length=LABELS_MAX)] = []
    capacity: CapacityMessage | None = None
    id: Name | None = None


class MachineName(msgspec.Struct):
    """What is used of a host whose other fields are invalid."""

    machine: Name


class MachinesAnswer(msgspec.Struct):
    """One page of hosts, each decoded separately."""

    machines: list[msgspec.Raw]
    next_token: str | None = None


class PlacementHintAnswer(msgspec.Struct):
    """The executors that may run a step, as pairs of id and ticket."""

    allowed: list[tuple[str, str]] = []
    # Missing if the queue's configuration alone has it.
    valid_ms: DurationFigure | None = None
