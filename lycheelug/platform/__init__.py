"""The peer package for the platform's services."""

from lycheelug.platform.http import HttpPlatform
from lycheelug.platform.interface import (
    ABSENT,
    BINDINGS,
    Commit,
    Conflict,
    Delta,
    Guard,
    HostDelta,
    HostEntry,
    HostRole,
    HostState,
    Platform,
    Row,
    Transaction,
    Write,
)
from lycheelug.platform.memory import MemoryPlatform

__all__ = [
    "ABSENT",
    "BINDINGS",
    "Commit",
    "Conflict",
    "Delta",
    "Guard",
    "HostDelta",
    "HostEntry",
    "HostRole",
    "HostState",
    "HttpPlatform",
    "MemoryPlatform",
    "Platform",
    "Row",
    "Transaction",
    "Write",
]
