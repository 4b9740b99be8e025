"""One request in a replay, and what became of it."""

from __future__ import annotations

from enum import StrEnum
from math import inf
from typing import TYPE_CHECKING

from lycheelug.admission_queue import Ticket

if TYPE_CHECKING:
    from lycheelug.traces import Arrival

__all__ = ["Request", "RequestEnd", "Run"]


class RequestEnd(StrEnum):
    """How a request ended; WAITING is lost work at a replay's end."""

    WAITING = "waiting"
    IN_TIME = "in-time"
    LATE = "late"
    REFUSED = "refused"
    CANCELLED = "cancelled"
    FAILED = "failed"
    SET_ASIDE = "set-aside"
    UNKNOWN = "unknown"


class Request:
    """An arrival with its ticket, attempts and end."""

    __slots__ = (
        "actual_s",
        "arrival",
        "cancelled_at",
        "end",
        "ended_at",
        "failed_on",
        "reason",
        "started_at",
        "ticket",
    )

    def __init__(self, arrival: Arrival, actual_s: float) -> None:
        deadline = inf
        if arrival.deadline_s is not None:
            deadline = arrival.at + arrival.deadline_s
        self.arrival = arrival
        self.actual_s = actual_s
        self.ticket = Ticket(
            arrival.id,
            arrival.pool,
            arrival.tenant,
            arrival.request_class,
            arrival.at,
            deadline,
        )
        self.end = RequestEnd.WAITING
        self.ended_at = inf
        # The name of the error code of a refusal.
        self.reason = ""
        # When its first attempt on a worker that is not bad started.
        self.started_at = inf
        # When its caller gives up, whether or not it waits then.
        self.cancelled_at = inf
        # Executors on which an attempt failed.
        self.failed_on: set[int] = set()

    @property
    def waited_s(self) -> float:
        """How long it waited for its first start; inf if it had none."""
        return self.started_at - self.arrival.at

    @property
    def is_failed_by_worker(self) -> bool:
        """Whether it ended by failures of bad workers."""
        if not self.arrival.runnable:
            return False
        return (
            self.end in (RequestEnd.FAILED, RequestEnd.SET_ASIDE)
            and not self.reason
        )

    @property
    def latest_start(self) -> float:
        """The latest start from which it can end in time."""
        return self.ticket.deadline - self.actual_s

    def settle(self, end: RequestEnd, now: float, reason: str = "") -> None:
        """Note the end; raise ValueError at a second one."""
        if self.end is not RequestEnd.WAITING:
            raise ValueError(f"request {self.arrival.id} ended twice")
        self.end = end
        self.ended_at = now
        self.reason = reason


class Run:
    """One attempt of a request on an executor."""

    __slots__ = ("request", "started_at")

    def __init__(self, request: Request, started_at: float) -> None:
        self.request = request
        self.started_at = started_at
