"""The job service's interfaces to its environment, except the row store.

A binding (to the users' platform, or to the project's stand-ins)
implements them.  No call raises an exception for an expected failure.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum, auto
from typing import TYPE_CHECKING, TypeAlias

from lycheelug.jobservice.queue_rows import NO_GATES, GateVersions
from lycheelug.jobservice.routes import Configuration, PoolPolicy, Route

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

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
        gates: GateVersions = NO_GATES,
    ) -> SubmissionOutcome:
        """Let a pool's owner store a submission.

        Its queue's gates must have these versions; see `queue_locations`.
        """

    @abstractmethod
    async def count_waiting(
        self, pool: str, queue: str, address: str
    ) -> WaitingCount:
        """Let a pool's owner count a queue's jobs that have not started."""
