"""The job service's replies to callers."""

from __future__ import annotations

from enum import Enum, auto
from typing import Final

__all__ = ["Reply", "ReplyKind", "RequestEffects"]

# How long a caller should wait before it retries a refused request.
RETRY_AFTER_S: Final = 1


class ReplyKind(Enum):
    """The kinds of replies to a caller."""

    OK = auto()
    # The job does not exist.
    UNKNOWN_JOB = auto()
    # Another tenant's job has the id of a submission.
    FOREIGN = auto()
    # The request had no effect and will have none.
    REFUSED = auto()
    # The request may have taken effect.
    UNDECIDED = auto()


class Reply:
    """A reply to a caller."""

    __slots__ = (
        "is_over_limit",
        "kind",
        "pending",
        "reason",
        "retry_after_s",
        "state",
    )

    def __init__(
        self,
        kind: ReplyKind,
        state: str = "",
        pending: int = 0,
        retry_after_s: int = RETRY_AFTER_S,
        reason: str = "",
        is_over_limit: bool = False,
    ) -> None:
        self.kind = kind
        # Whether a request is refused as its queue has too many jobs.
        self.is_over_limit = is_over_limit
        # Why a job is in its state, if it was not run as submitted.
        self.reason = reason
        self.state = state
        self.pending = pending
        self.retry_after_s = retry_after_s


class RequestEffects:
    """Whether a request that ends without a reply may have taken effect."""

    __slots__ = ("may_exist",)

    def __init__(self) -> None:
        # Set before the first write is sent, and never cleared.
        self.may_exist = False
