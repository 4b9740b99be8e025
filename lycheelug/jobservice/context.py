"""What the owners of duties need of their daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

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

# Leases outlast a takeover (1.2 s of silence, 0.3 s until it is seen, the
# recovery) from the last look 0.8 s before it, and are short enough that
# tasks of a lost executor soon start elsewhere.
LEASE_S: Final = 3.5


class OwnerContext:
    """What an owner needs of its daemon."""

    __slots__ = (
        "clock",
        "configuration",
        "executors",
        "gateway",
        "hosts",
        "is_store_unreachable",
        "lease_s",
        "metrics",
        "store",
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
    ) -> None:
        self.store = store
        self.gateway = gateway
        self.hosts = hosts
        self.clock = clock
        self.metrics = metrics
        self.configuration = configuration
        # The executors of a pool that the store lists now.
        self.executors = executors
        # How long a run may go on without word of its owner.
        self.lease_s = lease_s
        # Whether no way to the store has worked for a moment.
        self.is_store_unreachable = is_store_unreachable
