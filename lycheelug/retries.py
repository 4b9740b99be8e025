"""Whether a failed request is tried again.

A retry is made only where it is safe (no byte left, or the request is
idempotent), where the deadline leaves time for one more run, and where the
retry budget has a token.  The budget is a token bucket filled by first
tries: each adds `ratio` tokens and each retry takes one, so a daemon's
retries never exceed that share of its first tries, whatever fails.  Tokens
decay with time: calm hours save up no burst for the next outage.

Limits: the budget is per daemon; nothing is counted across daemons, which
the share does not need.  A daemon with next to no traffic has no tokens,
and its first failures are not retried.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from enum import StrEnum
from typing import Final

from lycheelug.registry import Registry

__all__ = [
    "BUDGETS",
    "Budget",
    "FreeRetries",
    "Retry",
    "RetryBudget",
    "Stop",
    "StopReason",
    "SuccessBudget",
    "should_retry",
]

_DEFAULT_RATIO: Final = 0.1
_DEFAULT_CAP_TOKENS: Final = 20.0
_DEFAULT_DECAY_S: Final = 10.0
_MAX_ATTEMPTS: Final = 4
# Expected run times are multiplied by this before comparing with the time
# left, so that a retry which can only just fit is not started.
_SLACK_FACTOR: Final = 1.2


class Budget(ABC):
    """Grants or refuses retries."""

    __slots__ = ()

    @abstractmethod
    def on_first_try(self, now: float) -> None:
        """Count a request's first try."""

    @abstractmethod
    def on_success(self, now: float) -> None:
        """Count a request that was answered."""

    @abstractmethod
    def try_spend(self, now: float) -> bool:
        """Take the token of one retry; False where there is none."""


BUDGETS: Final[Registry[type[Budget]]] = Registry("retry budget")


@BUDGETS.register("share")
class RetryBudget(Budget):
    """Retries as a share of first tries.

    >>> budget = RetryBudget(ratio=0.5)
    >>> budget.try_spend(now=0.0)
    False
    >>> budget.on_first_try(now=0.0)
    >>> budget.on_first_try(now=0.0)
    >>> budget.try_spend(now=0.0), budget.try_spend(now=0.0)
    (True, False)
    """

    __slots__ = ("_at", "_cap", "_decay_s", "_ratio", "_tokens")

    def __init__(
        self,
        ratio: float = _DEFAULT_RATIO,
        cap_tokens: float = _DEFAULT_CAP_TOKENS,
        decay_s: float = _DEFAULT_DECAY_S,
    ) -> None:
        self._ratio = ratio
        self._cap = cap_tokens
        self._decay_s = decay_s
        self._tokens = 0.0
        self._at = -math.inf

    @property
    def tokens(self) -> float:
        """Tokens at the last event."""
        return self._tokens

    def on_first_try(self, now: float) -> None:
        """Add the ratio's part of a token."""
        self._decay(now)
        self._tokens = min(self._cap, self._tokens + self._ratio)

    def on_success(self, now: float) -> None:
        """Successes earn nothing here."""

    def try_spend(self, now: float) -> bool:
        """Take one token."""
        self._decay(now)
        # Ten additions of 0.1 make 0.9999999999999999.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True

    def _decay(self, now: float) -> None:
        """Let tokens decay; a clock that stands or steps back is ignored."""
        elapsed = now - self._at
        if elapsed <= 0.0:
            return
        self._at = now
        if self._tokens > 0.0:
            self._tokens *= math.exp(-elapsed / self._decay_s)


@BUDGETS.register("success-share")
class SuccessBudget(RetryBudget):
    """Retries as a share of answered requests.

    Earns by successes instead of first tries, so it stops retrying
    altogether in a full outage, and is slower to resume after one.
    """

    __slots__ = ()

    def on_first_try(self, now: float) -> None:
        """First tries earn nothing here."""

    def on_success(self, now: float) -> None:
        """Add the ratio's part of a token."""
        super().on_first_try(now)


@BUDGETS.register("free")
class FreeRetries(Budget):
    """Baseline: every retry is granted."""

    __slots__ = ()

    def on_first_try(self, now: float) -> None:
        """Count nothing."""

    def on_success(self, now: float) -> None:
        """Count nothing."""

    def try_spend(self, now: float) -> bool:
        """Grant the retry."""
        return True


class StopReason(StrEnum):
    """Why a request is not tried again."""

    UNSAFE = "unsafe"
    ATTEMPTS = "attempts"
    DEADLINE = "deadline"
    BUDGET = "budget"


class Retry:
    """The request may be sent again now."""

    __slots__ = ()

    def __repr__(self) -> str:
        return "Retry()"


class Stop:
    """The request is not sent again."""

    __slots__ = ("reason",)

    def __init__(self, reason: StopReason) -> None:
        self.reason = reason

    def __repr__(self) -> str:
        return f"Stop({self.reason.value})"


def should_retry(
    budget: Budget,
    safe: bool,
    now: float,
    deadline: float,
    expected_s: float,
    attempts: int,
) -> Retry | Stop:
    """Decide on a request that failed `attempts` times.

    A token is spent only where everything else allows the retry.

    >>> should_retry(FreeRetries(), True, 0.0, 2.9, 0.1, attempts=1)
    Retry()
    >>> should_retry(FreeRetries(), False, 0.0, 2.9, 0.1, attempts=1)
    Stop(unsafe)
    >>> should_retry(FreeRetries(), True, 2.8, 2.9, 0.1, attempts=1)
    Stop(deadline)
    """
    if not safe:
        return Stop(StopReason.UNSAFE)
    if attempts >= _MAX_ATTEMPTS:
        return Stop(StopReason.ATTEMPTS)
    if now + expected_s * _SLACK_FACTOR >= deadline:
        return Stop(StopReason.DEADLINE)
    if not budget.try_spend(now):
        return Stop(StopReason.BUDGET)
    return Retry()
