from __future__ import annotations

import random
from collections import Counter

import pytest

from lycheelug.dispatch import CHOICES, Executor

NO_EXCLUSIONS: frozenset[str] = frozenset()


def make_executor(name: str, in_flight: int = 0, limit: int = 4) -> Executor:
    executor = Executor(name, "10.0.0.1:80", "r1", "z1", limit)
    executor.in_flight = in_flight
    return executor


@pytest.mark.parametrize("choice", list(CHOICES))
@pytest.mark.parametrize(
    ("executors", "exclude", "allowed"),
    [
        ([], NO_EXCLUSIONS, {None}),
        ([make_executor("full", 4)], NO_EXCLUSIONS, {None}),
        ([make_executor("no-share", 0, limit=0)], NO_EXCLUSIONS, {None}),
        ([make_executor("over", 5)], NO_EXCLUSIONS, {None}),
        (
            [make_executor("tried"), make_executor("other", 3)],
            {"tried"},
            {"other"},
        ),
        (
            [make_executor("full", 4), make_executor("free", 3)],
            NO_EXCLUSIONS,
            {"free"},
        ),
        ([make_executor("a"), make_executor("b")], {"a", "b"}, {None}),
    ],
    ids=[
        "empty",
        "full",
        "no-share",
        "over-limit",
        "excluded",
        "one-free",
        "all-excluded",
    ],
)
def test_choice_takes_only_executors_with_a_free_slot(
    choice: str,
    executors: list[Executor],
    exclude: frozenset[str],
    allowed: set[str | None],
) -> None:
    rng = random.Random(1)
    for _ in range(20):
        chosen = CHOICES.get(choice)(executors, rng, frozenset(exclude))
        assert (chosen.name if chosen else None) in allowed


def choose_repeatedly(
    choice: str, executors: list[Executor], count: int
) -> Counter[str]:
    """Choose many times; each chosen request ends immediately."""
    rng = random.Random(2)
    chosen: Counter[str] = Counter()
    for _ in range(count):
        executor = CHOICES.get(choice)(executors, rng, NO_EXCLUSIONS)
        assert executor is not None
        chosen[executor.name] += 1
    return chosen


@pytest.mark.parametrize(
    ("choice", "most"),
    [
        ("least-cost", 0),
        ("least-loaded", 0),
        ("two-choices", 0),
        ("two-choices-latency", 0),
        ("two-choices-plain", 60),
        ("random", 60),
        ("round-robin", 60),
    ],
)
def test_fast_failures_attract_no_load(choice: str, most: int) -> None:
    bad = make_executor("bad")
    for _ in range(5):
        bad.record(ok=False, latency_s=0.001)
    healthy = [make_executor("good1", 1), make_executor("good2", 1)]
    for executor in healthy:
        executor.record(ok=True, latency_s=0.2)
    chosen = choose_repeatedly(choice, [bad, *healthy], 60)
    assert chosen["bad"] <= most
    assert most == 0 or chosen["bad"] > 0


@pytest.mark.parametrize("choice", ["least-cost", "two-choices-latency"])
def test_slow_executor_gets_less(choice: str) -> None:
    slow = make_executor("slow")
    fast = make_executor("fast", 1)
    slow.record(ok=True, latency_s=1.0)
    fast.record(ok=True, latency_s=0.1)
    assert choose_repeatedly(choice, [slow, fast], 20)["slow"] == 0


def test_new_executor_is_not_flooded() -> None:
    new = make_executor("new", 2)
    known = make_executor("known", 1)
    known.record(ok=True, latency_s=0.2)
    assert choose_repeatedly("least-cost", [new, known], 20)["new"] == 0


def test_executor_that_recovers_gets_work_again() -> None:
    executor = make_executor("w1")
    for _ in range(5):
        executor.record(ok=False, latency_s=0.001)
    before = executor.load
    for _ in range(30):
        executor.record(ok=True, latency_s=0.2)
    assert executor.load < before / 5


def test_round_robin_does_not_favor_a_new_executor() -> None:
    executors = [make_executor("a"), make_executor("b")]
    choose_repeatedly("round-robin", executors, 10)
    chosen = choose_repeatedly(
        "round-robin", [*executors, make_executor("new")], 9
    )
    assert chosen == {"a": 3, "b": 3, "new": 3}
