from __future__ import annotations

import random

import pytest

from lycheelug.retries import (
    BUDGETS,
    FirstTriesBudget,
    Retry,
    RetryBudget,
    Stop,
    StopReason,
    UnlimitedRetries,
    should_retry,
)


@pytest.mark.parametrize(
    ("safe", "now", "expected_s", "attempts", "reason"),
    [
        (True, 0.0, 0.1, 1, None),
        (True, 0.0, 0.1, 3, None),
        (False, 0.0, 0.1, 1, StopReason.UNSAFE),
        (True, 0.0, 0.1, 4, StopReason.ATTEMPTS),
        (True, 2.9, 0.0, 1, StopReason.DEADLINE),
        (True, 2.8, 0.1, 1, StopReason.DEADLINE),
        (True, 2.7, 0.1, 1, None),
        (True, 9.0, 0.1, 1, StopReason.DEADLINE),
    ],
    ids=[
        "first",
        "third",
        "unsafe",
        "attempts",
        "at-deadline",
        "no-slack",
        "slack",
        "past-deadline",
    ],
)
def test_should_retry(
    safe: bool,
    now: float,
    expected_s: float,
    attempts: int,
    reason: StopReason | None,
) -> None:
    decision = should_retry(
        UnlimitedRetries(), safe, now, 2.9, expected_s, attempts
    )
    if reason is None:
        assert isinstance(decision, Retry)
    else:
        assert isinstance(decision, Stop)
        assert decision.reason is reason


# Guards against a request that crashes each executor on which it is retried.
@pytest.mark.parametrize(
    ("broken", "reason"), [(0, None), (1, None), (2, StopReason.BROKEN)]
)
def test_request_is_not_retried_after_two_broken_connections(
    broken: int, reason: StopReason | None
) -> None:
    decision = should_retry(UnlimitedRetries(), True, 0.0, 2.9, 0.1, 2, broken)
    assert getattr(decision, "reason", None) is reason


def test_token_is_spent_only_on_a_retry_that_is_made() -> None:
    # Much less than one of the two tokens decays in 2.9 s.
    budget = FirstTriesBudget(ratio=1.0)
    budget.on_first_try(0.0)
    budget.on_first_try(0.0)
    for safe, now in ((False, 0.0), (True, 2.89)):
        should_retry(budget, safe, now, 2.9, 0.1, 1)
    first = should_retry(budget, True, 2.0, 2.9, 0.1, 1)
    assert isinstance(first, Retry)
    decision = should_retry(budget, True, 2.0, 2.9, 0.1, 1)
    assert isinstance(decision, Stop)
    assert decision.reason is StopReason.BUDGET


@pytest.mark.parametrize("name", ["answered", "first-tries"])
@pytest.mark.parametrize("failing", [0.0, 0.05, 0.5, 1.0])
@pytest.mark.parametrize("per_s", [1, 100])
def test_retries_never_exceed_a_tenth_of_first_tries(
    name: str, failing: float, per_s: int
) -> None:
    rng = random.Random(4)
    budget = BUDGETS.get(name)()
    retries = 0
    for first in range(1, 5001):
        now = first / per_s
        budget.on_first_try(now)
        attempts = 1
        while rng.random() < failing:
            decision = should_retry(
                budget, True, now, now + 2.9, 0.1, attempts
            )
            if not isinstance(decision, Retry):
                break
            attempts += 1
            retries += 1
        assert retries <= first / 10


@pytest.mark.parametrize(
    ("name", "least", "most"),
    [("answered", 10, 20), ("first-tries", 90, 120), ("free", 3000, 3000)],
)
def test_number_of_retries_in_a_full_outage(
    name: str, least: int, most: int
) -> None:
    budget = BUDGETS.get(name)()
    retries = 0
    for first in range(2000):
        now = first / 100
        budget.on_first_try(now)
        for attempts in range(1, 4) if first >= 1000 else ():
            decision = should_retry(
                budget, True, now, now + 2.9, 0.1, attempts
            )
            if not isinstance(decision, Retry):
                break
            retries += 1
    assert least <= retries <= most


@pytest.mark.parametrize("now", [1000.0, -1000.0])
def test_tokens_decay_and_clock_steps_are_ignored(
    now: float,
) -> None:
    budget = RetryBudget(cap_tokens=20.0, decay_s=30.0)
    for _ in range(10_000):
        budget.on_first_try(0.0)
    assert budget.tokens <= 20.0
    granted = 0
    while budget.try_spend(now):
        granted += 1
    assert granted == (0 if now > 0 else 20)
