"""The peer package for the platform's services."""

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
    "Platform",
    "Row",
    "Transaction",
    "Write",
]
