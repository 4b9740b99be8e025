"""Dependencies that a daemon passes to the holders of its duties."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.jobservice.hint_calls import HintCalls
from lycheelug.scarcity import OverloadPolicy
from lycheelug.workloads import JobLimits

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from lycheelug.jobservice.clock import Clock
    from lycheelug.jobservice.interfaces import (
        Configuration,
        ExecutorGateway,
        HostControl,
    )
    from lycheelug.metrics import Metrics
    from lycheelug.store.rows import RowStore
    from lycheelug.workloads import ExecutorInfo

__all__ = ["LEASE_S", "OwnerContext"]

# Task leases survive the takeover of a pool: the last poll is up to 0.8 s
# old when the owner fails, its heartbeat times out after 1.2 s, 0.3 s pass
# until another daemon sees that, and recovery takes some time.  A longer
# lease would delay the restart of tasks of a lost executor.
LEASE_S: Final = 3.5


class OwnerContext:
    """The dependencies of a pool owner or the fleet owner."""

    __slots__ = (
        "clock",
        "configuration",
        "executor_list_age_s",
        "executors",
        "gateway",
        "hint_calls",
        "hosts",
        "is_store_unreachable",
        "job_limits",
        "job_memory_bytes",
        "keeps_apart",
        "lease_max_s",
        "lease_s",
        "metrics",
        "overload",
        "store",
        "wait_for_executors",
        "weight",
    )

    def __init__(
        self,
        store: RowStore,
        gateway: ExecutorGateway,
        hosts: HostControl,
        clock: Clock,
        metrics: Metrics,
        configuration: Callable[[], Configuration | None],
        executors: Callable[[str], list[ExecutorInfo]],
        lease_s: float = LEASE_S,
        is_store_unreachable: Callable[[], bool] = lambda: False,
        wait_for_executors: Callable[[], Awaitable[None]] | None = None,
        executor_list_age_s: Callable[[], float] = lambda: 0.0,
        weight: float = 1.0,
        job_limits: JobLimits | None = None,
        keeps_apart: bool = False,
        overload: OverloadPolicy | None = None,
        lease_max_s: float = 0.0,
        job_memory_bytes: int = 0,
    ) -> None:
        self.store = store
        self.gateway = gateway
        self.hint_calls = HintCalls(clock)
        self.hosts = hosts
        self.clock = clock
        self.metrics = metrics
        self.configuration = configuration
        # Returns the executors of a pool that have an entry in the store.
        self.executors = executors
        # How long a run may continue without contact from its owner.
        self.lease_s = lease_s
        # The longest lease that executors grant; at least `lease_s`.
        self.lease_max_s = max(lease_s, lease_max_s)
        # Whether calls to the store have failed on all paths for a while.
        self.is_store_unreachable = is_store_unreachable
        # Waits until `executors` returns all executors; None if it always
        # does.
        self.wait_for_executors = wait_for_executors
        # Returns how long ago was read what `executors` returns.
        self.executor_list_age_s = executor_list_age_s
        # The capacity of this host, relative to a small one.
        self.weight = weight
        # What one job may ask for.
        self.job_limits = job_limits or JobLimits()
        # What the owners of this daemon may hold of jobs; 0 for no limit.
        self.job_memory_bytes = job_memory_bytes
        # Whether tasks that slow each other down are kept apart.
        self.keeps_apart = keeps_apart
        # What owners do while a pool can't serve all jobs in time.
        self.overload = overload or OverloadPolicy()
