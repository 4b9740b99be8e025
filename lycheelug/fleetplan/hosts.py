"""Hosts and maintenance waves as the platform reports them."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheelug.workloads import Resources

__all__ = ["HostInfo", "HostState", "MaintenanceWave"]


class HostState(Enum):
    """The state of a host in the platform's host list."""

    UP = auto()
    MOVING = auto()
    IN_UPKEEP = auto()
    DOWN = auto()
    # The list names no known state, or can't be read.
    UNKNOWN = auto()


class HostInfo:
    """One host in the platform's host list."""

    __slots__ = (
        "capacity",
        "executor_id",
        "labels",
        "name",
        "pool",
        "state",
        "zone",
    )

    def __init__(
        self,
        name: str,
        pool: str,
        state: HostState,
        zone: str = "",
        labels: tuple[str, ...] = (),
        capacity: Resources | None = None,
        executor_id: str = "",
    ) -> None:
        self.name = name
        self.pool = pool
        self.state = state
        self.zone = zone
        self.labels = labels
        self.capacity = capacity
        # The current executor incarnation; empty if the host has none.
        self.executor_id = executor_id

    @property
    def is_under_order(self) -> bool:
        """Whether it is being moved or maintained."""
        return self.state in (HostState.MOVING, HostState.IN_UPKEEP)

    def has_incarnation_ended(self, executor_id: str) -> bool:
        """Return whether an executor incarnation certainly no longer runs."""
        if self.is_under_order:
            return True
        return bool(self.executor_id) and self.executor_id != executor_id


class MaintenanceWave:
    """A set of hosts that are due for maintenance by one deadline."""

    __slots__ = ("deadline_s", "hosts", "max_concurrent", "number", "version")

    def __init__(
        self,
        number: int,
        hosts: Sequence[str],
        deadline_s: float,
        max_concurrent: int,
        version: int,
    ) -> None:
        self.number = number
        self.hosts = tuple(hosts)
        # In seconds after the wave was announced.
        self.deadline_s = deadline_s
        # The maximum number of hosts in maintenance at the same time.
        self.max_concurrent = max_concurrent
        self.version = version
