"""The job service's interfaces to its environment, except the row store.

A binding (to the users' platform, or to the project's stand-ins)
implements them.  No call raises an exception for an expected failure.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from copy import copy
from enum import Enum, auto
from typing import TYPE_CHECKING, TypeAlias

from lycheelug.tenants import TenantDirectory

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from returns.result import Result

    from lycheelug.errors import Fault
    from lycheelug.fleetplan import HostInfo
    from lycheelug.workloads import (
        ExecutorInfo,
        HintTiming,
        JobRecord,
        StartAnswer,
        StepName,
        TaskName,
        TaskReport,
    )

__all__ = [
    "Configuration",
    "ExecutorGateway",
    "HostAnswer",
    "HostControl",
    "PlacementHint",
    "PollFailure",
    "PoolPolicy",
    "Rejection",
    "Route",
    "StopAnswer",
    "SubmissionAnswer",
    "SubmissionOutcome",
    "SubmissionRouter",
    "WaitingCount",
]

# The number of a queue's accepted jobs that have not started; None if it is
# not known.
WaitingCount: TypeAlias = int | None


class StopAnswer(Enum):
    """The result of an order to stop a run."""

    ANSWERED = auto()
    # The executor has seen a higher fencing token.
    FENCED = auto()
    # An executor with another id answered: the one that was addressed has
    # ended, and all of its runs with it.
    GONE = auto()
    NO_ANSWER = auto()


class PollFailure(Enum):
    """Why a poll of an executor returned no task report."""

    FENCED = auto()
    GONE = auto()
    # The connection was refused.  The executor may still be running behind
    # a network partition.
    REFUSED = auto()
    NO_ANSWER = auto()


class PlacementHint:
    """Start tickets for a step by executor."""

    __slots__ = ("tickets", "valid_s")

    def __init__(
        self, tickets: dict[str, str], valid_s: float | None = None
    ) -> None:
        self.tickets = tickets
        # How long they are valid, if the answer says so.
        self.valid_s = valid_s


class ExecutorGateway(ABC):
    """Sends orders to executors."""

    @abstractmethod
    async def start(
        self,
        info: ExecutorInfo,
        task: TaskName,
        run: int,
        payload: str,
        checkpoint: str,
        deadline_ms: int,
        token: int,
        ticket: str = "",
    ) -> tuple[StartAnswer, int | None]:
        """Start a run; also return the executor's clock, if reported."""

    @abstractmethod
    async def stop(
        self, info: ExecutorInfo, task: TaskName, run: int, token: int
    ) -> StopAnswer:
        """Stop a run."""

    @abstractmethod
    async def poll(
        self,
        info: ExecutorInfo,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_s: float,
    ) -> Result[TaskReport, PollFailure]:
        """Return the task report; wait up to `wait_s` for a new end.

        The executor discards the ends up to number `acknowledged`.  A
        deadline (on its clock) extends the lease of all of its runs.
        """

    @abstractmethod
    async def pace(
        self,
        info: ExecutorInfo,
        task: TaskName,
        run: int,
        percent: int,
        token: int,
    ) -> bool:
        """Limit a run's speed to a share; return False without effect."""

    @abstractmethod
    async def request_placement_hint(
        self, step: StepName, executors: Sequence[str], call_s: float = 0.0
    ) -> Result[PlacementHint, Fault]:
        """Ask which of some executors may run a step.

        The service is expected to take `call_s` seconds for the call.
        """

    @abstractmethod
    def forget(self, info: ExecutorInfo) -> None:
        """Close the connections to a removed executor."""


class HostAnswer(Enum):
    """The result of an order to a host."""

    DONE = auto()
    FENCED = auto()
    # The host is not up, or it is leaving the fleet.
    BUSY = auto()
    # The order is invalid: no such host, pool or wave.
    REFUSED = auto()
    # The platform's rate limit was exceeded.
    THROTTLED = auto()
    # No connection could be made, or the sender may not send any more.
    NOT_SENT = auto()
    NO_ANSWER = auto()


class HostControl(ABC):
    """Moves hosts between pools and starts their maintenance.

    An order asks `may_send` immediately before it is written, after all
    waits, and is not sent if the result is false.
    """

    # Whether the platform refuses an order with an outdated fencing token.
    checks_fencing: bool = False

    @abstractmethod
    async def hosts(self) -> Result[list[HostInfo], Fault]:
        """Return all hosts."""

    @abstractmethod
    async def move(
        self,
        host: str,
        pool: str,
        holder: str,
        token: int,
        may_send: Callable[[], bool],
    ) -> HostAnswer:
        """End all runs on a host and move it to another pool."""

    @abstractmethod
    async def maintain(
        self,
        host: str,
        wave: int,
        holder: str,
        token: int,
        may_send: Callable[[], bool],
    ) -> HostAnswer:
        """End all runs on a host and begin its maintenance."""

    @abstractmethod
    async def publish_wave(self, wave: int, is_completed: bool) -> bool:
        """Publish a wave's progress; return False if that failed."""


class SubmissionAnswer(Enum):
    """The answer of a pool's owner to a submission."""

    # It was stored now.
    STORED = auto()
    # It had been stored before.
    KNOWN = auto()
    # Another tenant's job has the id.
    FOREIGN = auto()
    # It was not stored: no owner is known, or the owner can't store it.
    NOT_TAKEN = auto()
    # It was not stored, and must not be in this pool: its queue's gate isn't
    # as the sender has seen it.
    MOVED = auto()
    # It may have been stored, or a delayed write may still store it.
    UNDECIDED = auto()


class Rejection:
    """The answer of a pool's owner that has no room for a submission.

    It isn't stored, and must not be by its sender.
    """

    __slots__ = ("is_over_limit", "retry_after_s")

    def __init__(
        self, retry_after_s: int, is_over_limit: bool = False
    ) -> None:
        self.retry_after_s = retry_after_s
        # Whether the owner can't hold more jobs of its queue.
        self.is_over_limit = is_over_limit


# What became of a submission at its pool's owner.
SubmissionOutcome: TypeAlias = SubmissionAnswer | Rejection


class SubmissionRouter(ABC):
    """Passes submissions and questions to the owners of pools."""

    @abstractmethod
    async def submit(
        self,
        pool: str,
        job_id: str,
        record: JobRecord,
        gate_version: int = 0,
    ) -> SubmissionOutcome:
        """Let a pool's owner store a submission.

        Its queue's gate must have this version; see `queue_locations`.
        """

    @abstractmethod
    async def count_waiting(self, pool: str, queue: str) -> WaitingCount:
        """Let a pool's owner count a queue's jobs that have not started."""


class Route:
    """The address and the scheduling policy of a queue."""

    __slots__ = (
        "has_policy",
        "hint_timing",
        "host",
        "is_public",
        "max_attempts",
        "name",
        "needs_placement_hint",
        "objective_s",
        "path_prefix",
        "pool",
        "priority",
        "stretch",
    )

    def __init__(
        self,
        name: str,
        host: str,
        path_prefix: str,
        pool: str,
        priority: int,
        max_attempts: int,
        stretch: float,
        objective_s: float,
        needs_placement_hint: bool,
        is_public: bool = False,
        hint_timing: HintTiming | None = None,
    ) -> None:
        self.name = name
        # The host name in the request; empty for any.
        self.host = host
        self.path_prefix = path_prefix
        self.pool = pool
        self.priority = priority
        self.max_attempts = max_attempts
        self.stretch = stretch
        self.objective_s = objective_s
        # Whether tasks start only on executors that the placement hint
        # service permits.
        self.needs_placement_hint = needs_placement_hint
        self.hint_timing = hint_timing
        # Whether its calls need no key of a tenant.
        self.is_public = is_public
        # Otherwise its policy can't be read, and its values are defaults.
        self.has_policy = True

    @classmethod
    def without_policy(
        cls, name: str, host: str, path_prefix: str, pool: str
    ) -> Route:
        """Return the route of a queue whose policy can't be read.

        Its jobs can be asked for and cancelled, but none is accepted.
        """
        route = cls(name, host, path_prefix, pool, 0, 1, 1.0, 1.0, False)
        route.has_policy = False
        return route

    def at(self, host: str, path_prefix: str, pool: str) -> Route:
        """Return a route to the same queue from elsewhere."""
        route = copy(self)
        route.host = host
        route.path_prefix = path_prefix
        route.pool = pool
        return route


class PoolPolicy:
    """The configuration of a pool."""

    __slots__ = ("is_standby", "name", "rejects_overload")

    def __init__(
        self,
        name: str,
        is_standby: bool = False,
        rejects_overload: bool = False,
    ) -> None:
        self.name = name
        # Its hosts are powered off and cost nothing.
        self.is_standby = is_standby
        # Its executors reject runs that exceed their capacity.
        self.rejects_overload = rejects_overload


class Configuration:
    """One version of the configuration; a higher one replaces it."""

    __slots__ = ("pools", "routes", "tenants", "version")

    def __init__(
        self,
        version: int,
        routes: Sequence[Route],
        pools: Sequence[PoolPolicy],
        tenants: TenantDirectory | None = None,
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.pools = {pool.name: pool for pool in pools}
        self.tenants = tenants or TenantDirectory()

    @property
    def served_pools(self) -> list[str]:
        """The pools that have an owner."""
        pools = self.pools.values()
        return [pool.name for pool in pools if not pool.is_standby]

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        best: Route | None = None
        for route in self.routes:
            if route.host and route.host != host:
                continue
            if not path.startswith(route.path_prefix):
                continue
            if best is None or len(route.path_prefix) > len(best.path_prefix):
                best = route
        return best

    def find_queue(self, name: str) -> Route | None:
        """Return the route of the queue with a name."""
        for route in self.routes:
            if route.name == name:
                return route
        return None
