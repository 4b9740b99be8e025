"""The interface to the platform's services and its implementations."""

from lycheelug.store.http import HttpPlatform
from lycheelug.store.interface import (
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
from lycheelug.store.memory import MemoryPlatform

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
