"""Whether a failed request is tried again.

A retry is made only where it is safe (no byte left, or the request is
idempotent), where the deadline leaves time for one more run, and where the
retry budget has a token.  The budget is a token bucket filled by first
tries: each adds `ratio` tokens and each retry takes one, so a daemon's
retries never exceed that share of its first tries, whatever fails.  A
first try that fails takes back what it added, so in a full outage only
what was saved before is spent.  Tokens are capped and decay with time:
calm hours save up no burst for the next outage.

Limits: the budget is per daemon; nothing is counted across daemons, which
the share does not need.  A daemon with next to no traffic has no tokens,
and its first failures are not retried.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from enum import StrEnum
from typing import TYPE_CHECKING, Final

from lycheelug.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "BUDGETS",
    "DEFAULT_BUDGET",
    "Budget",
    "FirstTriesBudget",
    "Retry",
    "RetryBudget",
    "Stop",
    "StopReason",
    "UnlimitedRetries",
    "should_retry",
]

DEFAULT_BUDGET: Final = "answered"
_DEFAULT_RATIO: Final = 0.1
_DEFAULT_CAP_TOKENS: Final = 20.0
_DEFAULT_DECAY_S: Final = 30.0
_MAX_ATTEMPTS: Final = 4
_ROUNDING_TOKENS: Final = 1e-9
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
    def on_first_failure(self, now: float) -> None:
        """Count a first try that failed; called by `should_retry`."""

    @abstractmethod
    def try_spend(self, now: float) -> bool:
        """Take the token of one retry; False where there is none."""


# Each is made from the share of first tries that it may grant.
BUDGETS: Final[Registry[Callable[..., Budget]]] = Registry("retry budget")


@BUDGETS.register("first-tries")
class FirstTriesBudget(Budget):
    """Retries as a share of first tries, failed ones included.

    >>> budget = FirstTriesBudget(ratio=0.5)
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

    def on_first_failure(self, now: float) -> None:
        """Leave the tokens as they are."""

    def try_spend(self, now: float) -> bool:
        """Take one token."""
        self._decay(now)
        # Ten additions of 0.1 make 0.9999999999999999.
        if self._tokens < 1.0 - _ROUNDING_TOKENS:
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


@BUDGETS.register(DEFAULT_BUDGET)
class RetryBudget(FirstTriesBudget):
    """Retries as a share of the first tries that have not failed.

    >>> budget = RetryBudget(ratio=0.5)
    >>> for _ in range(2):
    ...     budget.on_first_try(now=0.0)
    >>> budget.on_first_failure(now=0.0)
    >>> budget.try_spend(now=0.0)
    False
    """

    __slots__ = ()

    def on_first_failure(self, now: float) -> None:
        """Take back what the failed first try added."""
        self._decay(now)
        self._tokens = max(0.0, self._tokens - self._ratio)


@BUDGETS.register("free")
class UnlimitedRetries(Budget):
    """Baseline: every retry is granted."""

    __slots__ = ()

    def __init__(self, ratio: float = 0.0) -> None:
        del ratio

    def on_first_try(self, now: float) -> None:
        """Count nothing."""

    def on_first_failure(self, now: float) -> None:
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

    To be called for every failure, also where `safe` is false, since the
    budget counts failed first tries.  A token is spent only where
    everything else allows the retry.

    >>> should_retry(UnlimitedRetries(), True, 0.0, 2.9, 0.1, attempts=1)
    Retry()
    >>> should_retry(UnlimitedRetries(), False, 0.0, 2.9, 0.1, attempts=1)
    Stop(unsafe)
    >>> should_retry(UnlimitedRetries(), True, 2.8, 2.9, 0.1, attempts=1)
    Stop(deadline)
    """
    if attempts == 1:
        budget.on_first_failure(now)
    if not safe:
        return Stop(StopReason.UNSAFE)
    if attempts >= _MAX_ATTEMPTS:
        return Stop(StopReason.ATTEMPTS)
    if now + expected_s * _SLACK_FACTOR >= deadline:
        return Stop(StopReason.DEADLINE)
    if not budget.try_spend(now):
        return Stop(StopReason.BUDGET)
    return Retry()
