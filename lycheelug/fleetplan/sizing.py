"""The registry of sizing policies, which compute a pool's number of hosts.

A host in a pool costs money per second, a move costs about as much as one
second of a host, and a moved host takes a second or two to start.  A pool
therefore grows as soon as its tasks lack capacity.  It shrinks only after a
surplus has persisted, which the planner ensures, not the policies.
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

__all__ = [
    "SIZINGS",
    "hosts_for_cpu",
    "hosts_for_long_tasks",
    "size_by_demand",
    "typical_capacity",
    "urgent_cpu",
]

SIZINGS: Final[Registry[Sizing]] = Registry("sizing policy")

# The share of a host that tasks of different sizes can fill in practice.
PACKING_SHARE: Final = 0.95
# The share of the blocked tasks' demand to provide for in advance.
BLOCKED_WORK_SHARE: Final = 0.3
# The share of the demand of late jobs to provide for; it is below 1 because
# late jobs earn little.
LATE_WORK_SHARE: Final = 0.5
HOSTS_MIN: Final = 1


def typical_capacity(hosts: Iterable[HostInfo]) -> tuple[int, int]:
    """Return the CPU and memory of the first host with known capacity."""
    for host in hosts:
        if host.capacity is not None:
            return host.capacity.cpu_millis, host.capacity.memory_mb
    return 0, 0


def hosts_for_cpu(cpu: int, host_cpu: int) -> int:
    """Return the number of hosts that tasks of this CPU would fill."""
    return math.ceil(cpu / (host_cpu * PACKING_SHARE)) if host_cpu else 0


def hosts_for_long_tasks(summary: SummaryRecord, host_cpu: int) -> int:
    """Return the least number of hosts that the long-running tasks need."""
    has_any = summary.lasting_cpu > 0
    for load in summary.hosts.values():
        has_any = has_any or load.lasting_runs > 0
    by_cpu = hosts_for_cpu(summary.lasting_cpu, host_cpu)
    return max(by_cpu, summary.spread, int(has_any))


def urgent_cpu(summary: SummaryRecord, expected_cpu: int) -> int:
    """Return the demand of long-running tasks and of work not late yet.

    The running tasks that are in time use about what arrives in a second.
    `expected_cpu` is what a forecast provides for.
    """
    ready_cpu = max(0, summary.ready_cpu - summary.late_cpu)
    arriving_cpu = summary.arriving_cpu + summary.growing_cpu + ready_cpu
    return summary.lasting_cpu + max(arriving_cpu, expected_cpu)


@SIZINGS.register("demand")
def size_by_demand(
    summary: SummaryRecord, host_cpu: int, host_memory: int
) -> int:
    """Return the number of hosts that all runnable tasks would fill.

    If the arrival rate is rising, the expected increase is included.
    """
    cpu = summary.running_cpu + summary.ready_cpu + summary.growing_cpu
    cpu -= int(summary.late_cpu * (1 - LATE_WORK_SHARE))
    cpu += int(summary.blocked_cpu * BLOCKED_WORK_SHARE)
    memory = summary.running_memory + summary.ready_memory
    by_cpu = hosts_for_cpu(cpu, host_cpu)
    by_memory = (
        math.ceil(memory / (host_memory * PACKING_SHARE)) if host_memory else 0
    )
    return max(by_cpu, by_memory, summary.spread, HOSTS_MIN)


@SIZINGS.register("fixed")
def size_fixed(summary: SummaryRecord, host_cpu: int, host_memory: int) -> int:
    """Return the pool's current number of hosts, as a baseline."""
    return len(summary.hosts)
