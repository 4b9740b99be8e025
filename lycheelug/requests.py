"""The vocabulary of a caller's request, shared by all decision modules."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["Outcome", "RequestClass"]


class RequestClass(StrEnum):
    """How a request is scheduled."""

    URGENT = "urgent"
    SHORT = "short"
    LONG = "long"


class Outcome(StrEnum):
    """What a caller is told became of its request.

    ACCEPTED means that long work is durable and will be run later.
    NOT_RUN is only ever said where no byte of the request left for an
    upstream, or an upstream refused it before it ran.
    """

    ANSWERED = "answered"
    ACCEPTED = "accepted"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
