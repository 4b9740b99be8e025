"""The store entry of an executor, as its pool's owner uses it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheelug.workloads.model import Resources

__all__ = ["ExecutorInfo"]


class ExecutorInfo:
    """An executor's store entry: address, capacity, labels, state."""

    __slots__ = (
        "address",
        "born_ms",
        "capacity",
        "cold_s",
        "draining",
        "executor_id",
        "host",
        "labels",
        "leaves_in_s",
        "pool",
        "version",
        "zone",
    )

    def __init__(
        self,
        executor_id: str,
        pool: str,
        address: str,
        capacity: Resources,
        zone: str = "",
        labels: tuple[str, ...] = (),
        host: str = "",
        draining: bool = False,
        born_ms: int = 0,
        leaves_in_s: float | None = None,
        cold_s: float = 0.0,
        version: int = 0,
    ) -> None:
        self.executor_id = executor_id
        self.pool = pool
        self.address = address
        self.capacity = capacity
        self.zone = zone
        # Include the kind of host and, as the last one, its rack.
        self.labels = labels
        # Host of which this is an incarnation; empty if unknown.
        self.host = host
        self.draining = draining
        # Unix time in milliseconds of its start; identifies the incarnation.
        self.born_ms = born_ms
        # Minimum time until it shuts down; set only while it is draining.
        self.leaves_in_s = leaves_in_s
        # Remaining warm-up time after its start, in which it runs slower.
        self.cold_s = cold_s
        # Version of the stored entry.
        self.version = version

    def has_place_of(self, other: ExecutorInfo) -> bool:
        """Return whether the address and the host are those of another.

        Neither changes while an incarnation lives.  The host may be unknown.
        """
        if self.address != other.address:
            return False
        unknown = ("", self.executor_id)
        return (
            self.host == other.host
            or self.host in unknown
            or other.host in unknown
        )
