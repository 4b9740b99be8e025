"""Hosts and waves of upkeep, as the platform lists them."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheelug.workloads import Resources

__all__ = ["HostInfo", "HostState", "MaintenanceWave"]


class HostState(Enum):
    """What a host does."""

    UP = auto()
    MOVING = auto()
    IN_UPKEEP = auto()
    DOWN = auto()


class HostInfo:
    """One host in the platform's list of hosts."""

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
        # The present life; empty where the host runs none.
        self.executor_id = executor_id

    def has_incarnation_ended(self, executor_id: str) -> bool:
        """Whether a former life of this host is over for sure."""
        if self.state in (HostState.MOVING, HostState.IN_UPKEEP):
            return True
        return bool(self.executor_id) and self.executor_id != executor_id


class MaintenanceWave:
    """Hosts that are due for upkeep together."""

    __slots__ = ("at_once", "deadline_s", "hosts", "number", "version")

    def __init__(
        self,
        number: int,
        hosts: Sequence[str],
        deadline_s: float,
        at_once: int,
        version: int,
    ) -> None:
        self.number = number
        self.hosts = tuple(hosts)
        # Seconds from its announcement.
        self.deadline_s = deadline_s
        # Most hosts in upkeep at the same time.
        self.at_once = at_once
        self.version = version
