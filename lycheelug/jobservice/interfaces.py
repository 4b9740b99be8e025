"""What the job service needs of its outside world, beside the row store.

A binding (the users' platform, or the project's stand-ins) implements
these.  No call raises for an expected failure.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from returns.result import Result

    from lycheelug.errors import Fault
    from lycheelug.fleetplan import HostInfo
    from lycheelug.workloads import (
        ExecutorInfo,
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
    "IntakeAnswer",
    "PlacementHint",
    "PollFailure",
    "PoolIntake",
    "PoolPolicy",
    "Route",
    "StopAnswer",
]


class StopAnswer(Enum):
    """What came back of a stop."""

    ANSWERED = auto()
    # The executor has seen a higher fencing token.
    FENCED = auto()
    # Another life answered: this one is over, and all that it ran.
    GONE = auto()
    NO_ANSWER = auto()


class PollFailure(Enum):
    """Why a look at an executor brought no list."""

    FENCED = auto()
    GONE = auto()
    # Nothing listens at its address; it may be cut off all the same.
    REFUSED = auto()
    NO_ANSWER = auto()


class PlacementHint:
    """Tickets for a step by executor, and how long they hold."""

    __slots__ = ("tickets", "valid_s")

    def __init__(self, tickets: dict[str, str], valid_s: float) -> None:
        self.tickets = tickets
        self.valid_s = valid_s


class ExecutorGateway(ABC):
    """Orders to executors."""

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
        """Start a run; also return the executor's clock if it told it."""

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
        """Return the executor's lists; wait for an end up to `wait_s`.

        Ends up to `acknowledged` are forgotten there.  With a deadline
        (on its clock), all that runs there may go on until then.
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
        """Let a run work at a share of its speed; False without effect."""

    @abstractmethod
    async def request_placement_hint(
        self, step: StepName, executors: Sequence[str]
    ) -> Result[PlacementHint, Fault]:
        """Ask which of some executors may run a step."""

    @abstractmethod
    def forget(self, info: ExecutorInfo) -> None:
        """Close the connections to an executor that is gone."""


class HostAnswer(Enum):
    """What came back of an order to a host."""

    DONE = auto()
    FENCED = auto()
    # It is not up, or it is leaving.
    BUSY = auto()
    # The order can't be given: no such host, pool or wave.
    REFUSED = auto()
    # Too many calls.
    THROTTLED = auto()
    NO_ANSWER = auto()


class HostControl(ABC):
    """Moves of hosts between pools, and their upkeep."""

    @abstractmethod
    async def hosts(self) -> Result[list[HostInfo], Fault]:
        """Return all hosts."""

    @abstractmethod
    async def move(
        self, host: str, pool: str, holder: str, token: int
    ) -> HostAnswer:
        """End all that runs on a host and put it into another pool."""

    @abstractmethod
    async def maintain(
        self, host: str, wave: int, holder: str, token: int
    ) -> HostAnswer:
        """End all that runs on a host and begin its upkeep."""

    @abstractmethod
    async def publish_wave(self, wave: int, is_completed: bool) -> bool:
        """Tell the operator how far a wave is; False where that failed."""


class IntakeAnswer(Enum):
    """What a pool's owner says of a submission."""

    # It is stored, and was not before.
    STORED = auto()
    # It was stored before.
    KNOWN = auto()
    # Nothing was done: no owner is known, or it can't take it.
    NOT_TAKEN = auto()
    # It may have been stored, or may be later.
    UNDECIDED = auto()


class PoolIntake(ABC):
    """The way for submissions to the owners of pools."""

    @abstractmethod
    async def submit(
        self, pool: str, job_id: str, record: JobRecord
    ) -> IntakeAnswer:
        """Let a pool's owner store a submission."""


class Route:
    """A queue as callers address it."""

    __slots__ = (
        "host",
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
    ) -> None:
        self.name = name
        # The name that callers send with a request; empty for any.
        self.host = host
        self.path_prefix = path_prefix
        self.pool = pool
        self.priority = priority
        self.max_attempts = max_attempts
        self.stretch = stretch
        self.objective_s = objective_s
        # Whether only the advice service knows the executors to use.
        self.needs_placement_hint = needs_placement_hint


class PoolPolicy:
    """What the configuration says of a pool."""

    __slots__ = ("is_standby", "name", "rejects_overload")

    def __init__(
        self,
        name: str,
        is_standby: bool = False,
        rejects_overload: bool = False,
    ) -> None:
        self.name = name
        # Its hosts are off and cost nothing.
        self.is_standby = is_standby
        # Its executors refuse what does not fit.
        self.rejects_overload = rejects_overload


class Configuration:
    """One configuration; a higher version replaces it."""

    __slots__ = ("pools", "routes", "version")

    def __init__(
        self,
        version: int,
        routes: Sequence[Route],
        pools: Sequence[PoolPolicy],
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.pools = {pool.name: pool for pool in pools}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
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
        """Return the route of a name."""
        for route in self.routes:
            if route.name == name:
                return route
        return None
