"""The decision whether to retry a failed request, and retry budgets.

A request is retried only if that is safe (no byte was sent, or the request is
idempotent), if the deadline leaves time for one more run, and if the retry
budget has a token.  The budget is a token bucket filled by first attempts:
each adds `ratio` tokens and each retry takes one, so that a daemon's retries
never exceed that fraction of its first attempts.  A failed first attempt
removes the tokens that it added, so that in a full outage only earlier tokens
are spent.  Tokens are capped and decay with time, so that hours without
failures don't accumulate a burst of retries for the next outage.

Limits: each daemon has its own budget; the fraction holds for all daemons
together without coordination.  A daemon with hardly any traffic has no
tokens, and does not retry its first failures.
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
# Executors that may lose their connection while they run one request, before
# it counts as the cause.
_MAX_BROKEN: Final = 2
_ROUNDING_ERROR: Final = 1e-9
# Expected run times are multiplied by this before they are compared with the
# remaining time, so that a retry that barely fits is not started.
_SLACK_FACTOR: Final = 1.2


class Budget(ABC):
    """Grants or refuses retries."""

    __slots__ = ()

    @abstractmethod
    def on_first_try(self, now: float) -> None:
        """Record the first attempt of a request."""

    @abstractmethod
    def on_first_failure(self, now: float) -> None:
        """Record a failed first attempt; called by `should_retry`."""

    @abstractmethod
    def try_spend(self, now: float) -> bool:
        """Take the token for one retry; return False if there is none."""


# Retry budgets by their name in the settings.  Each is a factory that takes
# the maximum ratio of retries to first attempts.
BUDGETS: Final[Registry[Callable[..., Budget]]] = Registry("retry budget")


@BUDGETS.register("first-tries")
class FirstTriesBudget(Budget):
    """Limits retries to a fraction of first attempts, failed ones included.

    >>> budget = FirstTriesBudget(ratio=0.5)
    >>> budget.try_spend(now=0.0)
    False
    >>> budget.on_first_try(now=0.0)
    >>> budget.on_first_try(now=0.0)
    >>> budget.try_spend(now=0.0), budget.try_spend(now=0.0)
    (True, False)
    """

    __slots__ = ("_cap", "_decay_s", "_decayed_at", "_ratio", "_tokens")

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
        self._decayed_at = -math.inf

    @property
    def tokens(self) -> float:
        """The number of tokens at the last event."""
        return self._tokens

    def on_first_try(self, now: float) -> None:
        """Add `ratio` tokens."""
        self._decay(now)
        self._tokens = min(self._cap, self._tokens + self._ratio)

    def on_first_failure(self, now: float) -> None:
        """Do nothing: failed first attempts keep their tokens."""

    def try_spend(self, now: float) -> bool:
        """Take one token."""
        self._decay(now)
        # Ten additions of 0.1 make 0.9999999999999999.
        if self._tokens < 1.0 - _ROUNDING_ERROR:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True

    def _decay(self, now: float) -> None:
        """Decay the tokens; ignore a clock that did not advance."""
        elapsed = now - self._decayed_at
        if elapsed <= 0.0:
            return
        self._decayed_at = now
        if self._tokens > 0.0:
            self._tokens *= math.exp(-elapsed / self._decay_s)


@BUDGETS.register(DEFAULT_BUDGET)
class RetryBudget(FirstTriesBudget):
    """Limits retries to a fraction of the first attempts that did not fail.

    >>> budget = RetryBudget(ratio=0.5)
    >>> for _ in range(2):
    ...     budget.on_first_try(now=0.0)
    >>> budget.on_first_failure(now=0.0)
    >>> budget.try_spend(now=0.0)
    False
    """

    __slots__ = ()

    def on_first_failure(self, now: float) -> None:
        """Remove the tokens that the failed first attempt added."""
        self._decay(now)
        self._tokens = max(0.0, self._tokens - self._ratio)


@BUDGETS.register("free")
class UnlimitedRetries(Budget):
    """Baseline: grants every retry."""

    __slots__ = ()

    def __init__(self, ratio: float = 0.0) -> None:
        del ratio

    def on_first_try(self, now: float) -> None:
        """Do nothing: retries are unlimited."""

    def on_first_failure(self, now: float) -> None:
        """Do nothing: retries are unlimited."""

    def try_spend(self, now: float) -> bool:
        """Grant the retry."""
        return True


class StopReason(StrEnum):
    """Why a request is not retried."""

    UNSAFE = "unsafe"
    ATTEMPTS = "attempts"
    # It may crash the executors that run it.
    BROKEN = "broken"
    DEADLINE = "deadline"
    BUDGET = "budget"


class Retry:
    """The decision to retry the request now."""

    __slots__ = ()

    def __repr__(self) -> str:
        return "Retry()"


class Stop:
    """The decision not to retry the request."""

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
    broken: int = 0,
) -> Retry | Stop:
    """Decide whether to retry a request that failed `attempts` times.

    Call this after every failure, even if `safe` is false, because the budget
    counts failed first attempts.  A token is spent only if all other
    conditions allow the retry.  `broken` is the number of attempts after
    which the executor closed the connection without a complete answer.

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
    if broken >= _MAX_BROKEN:
        return Stop(StopReason.BROKEN)
    if now + expected_s * _SLACK_FACTOR >= deadline:
        return Stop(StopReason.DEADLINE)
    if not budget.try_spend(now):
        return Stop(StopReason.BUDGET)
    return Retry()
