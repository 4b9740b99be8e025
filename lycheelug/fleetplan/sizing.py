"""How many hosts a pool should have: the registry of sizing policies.

A host in a pool costs by the second, a move costs as much as a host in
about a second, and a moved host takes a second or two to come up.  So a
pool grows as soon as its tasks find no room, and shrinks only after its
surplus has lasted for a while.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from lycheelug.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lycheelug.fleetplan.hosts import HostInfo
    from lycheelug.fleetplan.records import SummaryRecord

    Sizing = Callable[[SummaryRecord, int, int], int]

__all__ = ["SIZINGS", "size_by_demand", "usual_room"]

SIZINGS: Final[Registry[Sizing]] = Registry("sizing policy")

# Tasks of uneven sizes fill a host to about this share.
PACKED_SHARE: Final = 0.95
# Share of the blocked tasks' room that is wanted before their turn.
BLOCKED_SHARE: Final = 0.3
# Share of the room of late jobs that hosts are wanted for: they pay little.
LATE_SHARE: Final = 0.5
HOSTS_MIN: Final = 1


def usual_room(hosts: Iterable[HostInfo]) -> tuple[int, int]:
    """Return a host's usual room: processor time and memory."""
    for host in hosts:
        if host.capacity is not None:
            return host.capacity.cpu_millis, host.capacity.memory_mb
    return 0, 0


@SIZINGS.register("demand")
def size_by_demand(
    summary: SummaryRecord, host_cpu: int, host_memory: int
) -> int:
    """Return the hosts that all runnable tasks would fill at once.

    Work that arrives faster and faster counts as what it will have become.
    """
    cpu = summary.running_cpu + summary.ready_cpu + summary.growing_cpu
    cpu -= int(summary.late_cpu * (1 - LATE_SHARE))
    cpu += int(summary.blocked_cpu * BLOCKED_SHARE)
    memory = summary.running_memory + summary.ready_memory
    by_cpu = math.ceil(cpu / (host_cpu * PACKED_SHARE)) if host_cpu else 0
    by_memory = (
        math.ceil(memory / (host_memory * PACKED_SHARE)) if host_memory else 0
    )
    return max(by_cpu, by_memory, summary.spread, HOSTS_MIN)


@SIZINGS.register("fixed")
def size_fixed(summary: SummaryRecord, host_cpu: int, host_memory: int) -> int:
    """Return the hosts that the pool has: the baseline."""
    return len(summary.hosts)
