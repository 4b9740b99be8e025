"""The interface of admission queues, and the values that pass through it.

A daemon keeps one queue per pool.  It offers every arriving request, takes
the next one whenever a slot is free, and reports starts and finishes.  The
queue never sleeps and reads no clock: all times are monotonic seconds that
the caller passes in.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from lycheelug.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from lycheelug.errors import ErrorCode
    from lycheelug.requests import RequestClass

__all__ = [
    "QUEUES",
    "URGENT_START_S",
    "AdmissionQueue",
    "QueueSettings",
    "Refusal",
    "Ticket",
]

# Urgent work starts within this time of its arrival.
URGENT_START_S: Final = 2.9
MAX_QUEUED: Final = 4096
LONG_SHARE: Final = 0.125
LONG_CAP: Final = 0.5
LONG_PATIENCE_S: Final = 30.0
RUN_QUANTILE: Final = 0.75
OVERLOAD_QUANTILE: Final = 0.95
OVERLOAD_S: Final = 1.0
SHED_MARGIN_S: Final = 0.0
URGENT_MARGIN_S: Final = 0.5
URGENT_GUARD_S: Final = 1.5
QUOTA_WINDOW_S: Final = 10.0


class Ticket:
    """One waiting request; `deadline` is math.inf where it has none."""

    __slots__ = (
        "deadline",
        "enqueued_at",
        "pool",
        "request_class",
        "tenant",
        "ticket_id",
    )

    def __init__(
        self,
        ticket_id: int,
        pool: str,
        tenant: str,
        request_class: RequestClass,
        enqueued_at: float,
        deadline: float = math.inf,
    ) -> None:
        self.ticket_id = ticket_id
        self.pool = pool
        self.tenant = tenant
        self.request_class = request_class
        self.enqueued_at = enqueued_at
        self.deadline = deadline

    def __repr__(self) -> str:
        return f"Ticket({self.ticket_id}, {self.request_class})"


class Refusal:
    """Why a request was not queued; it was not run."""

    __slots__ = ("code", "detail")

    def __init__(self, code: ErrorCode, detail: str = "") -> None:
        self.code = code
        self.detail = detail

    def __repr__(self) -> str:
        return f"Refusal({self.code.name}: {self.detail})"


class QueueSettings:
    """What an operator may set of an admission queue."""

    __slots__ = (
        "fair",
        "long_cap",
        "long_patience_s",
        "long_share",
        "max_queued",
        "overload_quantile",
        "overload_s",
        "quota_window_s",
        "quotas",
        "run_quantile",
        "shed_margin_s",
        "urgent_guard_s",
        "urgent_margin_s",
        "urgent_start_s",
    )

    def __init__(
        self,
        max_queued: int = MAX_QUEUED,
        urgent_start_s: float = URGENT_START_S,
        long_share: float = LONG_SHARE,
        long_cap: float = LONG_CAP,
        long_patience_s: float = LONG_PATIENCE_S,
        run_quantile: float = RUN_QUANTILE,
        overload_quantile: float = OVERLOAD_QUANTILE,
        overload_s: float = OVERLOAD_S,
        shed_margin_s: float = SHED_MARGIN_S,
        urgent_margin_s: float = URGENT_MARGIN_S,
        urgent_guard_s: float = URGENT_GUARD_S,
        fair: bool = True,
        quotas: Mapping[str, float] | None = None,
        quota_window_s: float = QUOTA_WINDOW_S,
    ) -> None:
        # Most requests that wait in one pool at a time.
        self.max_queued = max_queued
        # Urgent requests that can't start within this time are refused.
        self.urgent_start_s = urgent_start_s
        # Share of the slots that long work gets while short work waits.
        self.long_share = long_share
        # Share of the slots that long work may hold at most.
        self.long_cap = long_cap
        # Where long work's share is less than one slot, it gets one after
        # it has waited this long.
        self.long_patience_s = long_patience_s
        # A request is taken to need this quantile of measured run times.
        self.run_quantile = run_quantile
        # The quantile that is taken instead while work is refused for want
        # of slots, and how long that goes on after the last refusal.
        self.overload_quantile = overload_quantile
        self.overload_s = overload_s
        # Short work is refused where the expected start of waiting work is
        # later than it may be by more than this, and urgent work likewise.
        self.shed_margin_s = shed_margin_s
        self.urgent_margin_s = urgent_margin_s
        # Short work goes before urgent work only while all urgent work
        # has this much time to spare; math.inf keeps it behind.
        self.urgent_guard_s = urgent_guard_s
        # Whether tenants over their fair share are refused first.
        self.fair = fair
        # Share of the pool's slots that each tenant may use on average
        # while others wait; tenants that are not named have no quota.
        self.quotas = dict(quotas or {})
        # The time over which a tenant's use is averaged.
        self.quota_window_s = quota_window_s


class AdmissionQueue(ABC):
    """The waiting requests of one pool in one daemon.

    Every ticket that `offer` accepted leaves exactly once: by `take`, by
    `drop_expired` or by `cancel`.
    """

    __slots__ = ()

    @property
    @abstractmethod
    def queued_by_tenant(self) -> dict[str, int]:
        """Return how many requests wait for each tenant with any."""

    @abstractmethod
    def offer(
        self, ticket: Ticket, now: float, capacity: int
    ) -> Refusal | None:
        """Queue a request, or say why not.

        `capacity` is the number of slots that this daemon may use in the
        pool now.
        """

    @abstractmethod
    def take(self, now: float) -> Ticket | None:
        """Remove and return the request to start in a free slot, if any.

        Expired requests are left for `drop_expired`.
        """

    @abstractmethod
    def drop_expired(self, now: float) -> list[Ticket]:
        """Remove and return the requests that can't finish in time."""

    @abstractmethod
    def cancel(self, ticket_id: int) -> bool:
        """Remove a waiting request; False where it does not wait."""

    @abstractmethod
    def on_started(self, ticket: Ticket, now: float) -> None:
        """Note that a taken request started."""

    @abstractmethod
    def on_finished(
        self, ticket: Ticket, service_s: float, now: float, ok: bool = True
    ) -> None:
        """Note that a started request ended after `service_s` seconds.

        A run that failed, was cut short (`ok` false) or never began
        (`service_s` 0) is not measured.
        """

    @abstractmethod
    def reconfigure(self, settings: QueueSettings) -> None:
        """Go on with other settings; what waits and was measured stays."""

    @abstractmethod
    def __len__(self) -> int:
        """Return how many requests wait."""


# Queue policies by the name that settings give; each makes a pool's queue.
QUEUES: Final[Registry[Callable[[str, QueueSettings], AdmissionQueue]]] = (
    Registry("queue policy")
)
