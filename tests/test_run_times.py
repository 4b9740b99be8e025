"""Learned run times against estimates that are good, noise or scaled."""

from __future__ import annotations

import math
import random

import pytest

from lycheelug.workloads.runtimes import RunTimes


def error(
    noise: float, scale: float, learned: bool, seed: int = 7
) -> tuple[float, float]:
    """Return the mean error of estimates and of expectations, as logs."""
    source = random.Random(seed)
    times = RunTimes()
    raw = expected = 0.0
    for number in range(400):
        run_s = math.exp(source.gauss(0.0, 0.45))
        estimate_s = scale * run_s * math.exp(source.gauss(0.0, noise))
        if number >= 200:
            raw += abs(math.log(estimate_s / run_s))
            expected += abs(math.log(times.expect_s("q", estimate_s) / run_s))
        if learned:
            times.record("q", estimate_s, run_s)
    return raw / 200, expected / 200


@pytest.mark.parametrize(
    ("noise", "scale", "share"),
    [
        # Estimates say next to nothing.
        (0.9, 1.0, 0.65),
        # They are off by a factor of their own.
        (0.2, 3.0, 0.3),
        # They are good: what is learned must not spoil them.
        (0.05, 1.0, 1.5),
    ],
)
def test_expected_times_beat_estimates(
    noise: float, scale: float, share: float
) -> None:
    raw, expected = error(noise, scale, learned=True)
    assert expected < share * raw


def test_without_runs_the_estimate_stands() -> None:
    raw, expected = error(0.5, 1.0, learned=False)
    assert raw == expected


def test_next_owner_goes_on_with_what_was_learned() -> None:
    times = RunTimes()
    for _ in range(50):
        times.record("q", 4.0, 1.0)
    successor = RunTimes()
    successor.restore(times.export())
    assert successor.expect_s("q", 4.0) == pytest.approx(
        times.expect_s("q", 4.0), rel=0.05
    )


@pytest.mark.parametrize("values", [[], [1.0, 2.0], [1.0] * 9])
def test_unreadable_lesson_is_ignored(values: list[float]) -> None:
    times = RunTimes()
    times.restore({"q": values})
    assert times.expect_s("q", 2.0) == 2.0
