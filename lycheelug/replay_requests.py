"""Requests of a replay and how they end."""

from __future__ import annotations

from enum import StrEnum
from math import inf
from typing import TYPE_CHECKING

from lycheelug.admission_queue import Ticket

if TYPE_CHECKING:
    from lycheelug.traces import Arrival

__all__ = ["Request", "RequestEnd", "Run"]


class RequestEnd(StrEnum):
    """How a request ended; WAITING at the end of a replay means lost."""

    WAITING = "waiting"
    IN_TIME = "in-time"
    LATE = "late"
    REFUSED = "refused"
    CANCELLED = "cancelled"
    FAILED = "failed"
    SET_ASIDE = "set-aside"
    UNKNOWN = "unknown"


class Request:
    """An arrival with its queue ticket, failed attempts and end."""

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
        # Name of the error code with which the request was refused.
        self.reason = ""
        # Start of the first attempt on a worker that is not bad.
        self.started_at = inf
        # When the caller cancels, even if the request has ended by then.
        self.cancelled_at = inf
        # Indices of the executors on which an attempt failed.
        self.failed_on: set[int] = set()

    @property
    def waited_s(self) -> float:
        """The wait until the first start; infinite if it never started."""
        return self.started_at - self.arrival.at

    @property
    def is_failed_by_worker(self) -> bool:
        """Whether failures of bad workers ended the request."""
        if not self.arrival.runnable:
            return False
        return (
            self.end in (RequestEnd.FAILED, RequestEnd.SET_ASIDE)
            and not self.reason
        )

    @property
    def latest_start(self) -> float:
        """The latest start with which the request ends in time."""
        return self.ticket.deadline - self.actual_s

    def finish(self, end: RequestEnd, now: float, reason: str = "") -> None:
        """Record the end; raise ValueError if it is already recorded."""
        if self.end is not RequestEnd.WAITING:
            raise ValueError(f"request {self.arrival.id} ended twice")
        self.end = end
        self.ended_at = now
        self.reason = reason


class Run:
    """One run of a request on an executor."""

    __slots__ = ("request", "started_at")

    def __init__(self, request: Request, started_at: float) -> None:
        self.request = request
        self.started_at = started_at
