"""Request classes and outcomes, shared by all decision modules."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["Outcome", "RequestClass"]


class RequestClass(StrEnum):
    """The scheduling class of a request."""

    URGENT = "urgent"
    SHORT = "short"
    LONG = "long"


class Outcome(StrEnum):
    """The outcome of a request, as reported to its caller.

    ACCEPTED means that a long request is stored durably and will run later.
    NOT_RUN is reported only if no byte of the request was sent to an
    upstream, or the upstream rejected the request before it ran.
    """

    ANSWERED = "answered"
    ACCEPTED = "accepted"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
