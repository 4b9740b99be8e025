"""The interface of admission queues, and the types that it uses.

A daemon has one queue per pool.  It offers every arriving request to the
queue, takes the next request whenever a slot is free, and reports when
requests start and finish.  Queues never block and read no clock: all times
are monotonic seconds that the caller passes in.
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

# Urgent requests must start within this time after their arrival.
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
    """One queued request; `deadline` is math.inf if it has none."""

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
    """The reason why a request was not queued (and so was not run)."""

    __slots__ = ("code", "detail")

    def __init__(self, code: ErrorCode, detail: str = "") -> None:
        self.code = code
        self.detail = detail

    def __repr__(self) -> str:
        return f"Refusal({self.code.name}: {self.detail})"


class QueueSettings:
    """The tunable parameters of an admission queue."""

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
        # Maximum number of queued requests in one pool.
        self.max_queued = max_queued
        # Urgent requests that can't start within this time are rejected.
        self.urgent_start_s = urgent_start_s
        # Fraction of the slots reserved for long requests while short or
        # urgent requests are queued.
        self.long_share = long_share
        # Maximum fraction of the slots that long requests may occupy.
        self.long_cap = long_cap
        # If the reserved fraction is less than one slot, a long request
        # gets a slot after long ones have waited this long with none
        # running.
        self.long_patience_s = long_patience_s
        # Quantile of the measured run times that is used as the expected
        # run time of a request.
        self.run_quantile = run_quantile
        # The quantile that is used instead while requests are rejected for
        # lack of slots, and for how long after the last such rejection.
        self.overload_quantile = overload_quantile
        self.overload_s = overload_s
        # A new request is rejected if queued requests would be expected to
        # start more than this after their latest start.  The first margin is
        # for short, the second for urgent requests.
        self.shed_margin_s = shed_margin_s
        self.urgent_margin_s = urgent_margin_s
        # Short requests may start before urgent ones only while every urgent
        # request has this much slack; with math.inf they never do.
        self.urgent_guard_s = urgent_guard_s
        # Whether tenants above their fair share are rejected first.
        self.fair = fair
        # Fraction of the pool's slots that each tenant may use on average
        # while other tenants wait.  Unlisted tenants have no quota.
        self.quotas = dict(quotas or {})
        # The time over which a tenant's usage is averaged.
        self.quota_window_s = quota_window_s


class AdmissionQueue(ABC):
    """The queued requests of one pool in one daemon.

    Every ticket that `offer` accepts is removed exactly once: by `take`,
    `drop_expired` or `cancel`.
    """

    __slots__ = ()

    @property
    @abstractmethod
    def queued_by_tenant(self) -> dict[str, int]:
        """Return the number of queued requests by tenant, without zeros."""

    @abstractmethod
    def offer(
        self, ticket: Ticket, now: float, capacity: int
    ) -> Refusal | None:
        """Queue a request, or return why it is rejected.

        `capacity` is the number of slots that this daemon may currently use
        in the pool.
        """

    @abstractmethod
    def take(self, now: float) -> Ticket | None:
        """Remove and return the request to start in a free slot, if any.

        Expired requests are not returned here; `drop_expired` returns them.
        """

    @abstractmethod
    def drop_expired(self, now: float) -> list[Ticket]:
        """Remove and return the requests that can't meet their deadline."""

    @abstractmethod
    def cancel(self, ticket_id: int) -> bool:
        """Remove a queued request; return False if it is not queued."""

    @abstractmethod
    def on_started(self, ticket: Ticket, now: float) -> None:
        """Record the start of a request that was taken."""

    @abstractmethod
    def on_finished(
        self, ticket: Ticket, service_s: float, now: float, ok: bool = True
    ) -> None:
        """Record the end of a started request after `service_s` seconds.

        The run time is not recorded if the run failed or was interrupted
        (`ok` false) or never began (`service_s` 0).
        """

    @abstractmethod
    def reconfigure(self, settings: QueueSettings) -> None:
        """Replace the settings; keep queued requests and measurements."""

    @abstractmethod
    def __len__(self) -> int:
        """Return the number of queued requests."""


# Queue policies by their name in the settings.  Each is a factory that takes
# the name of the pool.
QUEUES: Final[Registry[Callable[[str, QueueSettings], AdmissionQueue]]] = (
    Registry("queue policy")
)
