"""Tests of learned run times for good, noisy and biased estimates."""

from __future__ import annotations

import math
import random

import pytest

from lycheelug.workloads.runtimes import RunTimes


def mean_log_errors(
    noise: float, scale: float, learns: bool, seed: int = 7
) -> tuple[float, float]:
    """Return the mean log errors of the estimates and of the predictions."""
    source = random.Random(seed)
    times = RunTimes()
    estimate_error = prediction_error = 0.0
    for number in range(400):
        run_s = math.exp(source.gauss(0.0, 0.45))
        estimate_s = scale * run_s * math.exp(source.gauss(0.0, noise))
        if number >= 200:
            estimate_error += abs(math.log(estimate_s / run_s))
            prediction_error += abs(
                math.log(times.expect_s("q", estimate_s) / run_s)
            )
        if learns:
            times.record("q", estimate_s, run_s)
    return estimate_error / 200, prediction_error / 200


@pytest.mark.parametrize(
    ("noise", "scale", "max_ratio"),
    [
        # Estimates carry almost no information.
        (0.9, 1.0, 0.65),
        # Estimates are biased by a constant factor.
        (0.2, 3.0, 0.3),
        # Estimates are accurate: learning must not degrade them.
        (0.05, 1.0, 1.5),
    ],
)
def test_predictions_are_closer_than_estimates(
    noise: float, scale: float, max_ratio: float
) -> None:
    estimate_error, prediction_error = mean_log_errors(
        noise, scale, learns=True
    )
    assert prediction_error < max_ratio * estimate_error


def test_prediction_without_runs_is_the_estimate() -> None:
    estimate_error, prediction_error = mean_log_errors(0.5, 1.0, learns=False)
    assert estimate_error == prediction_error


def test_learned_run_times_survive_export_and_restore() -> None:
    times = RunTimes()
    for _ in range(50):
        times.record("q", 4.0, 1.0)
    successor = RunTimes()
    successor.restore(times.export())
    assert successor.expect_s("q", 4.0) == pytest.approx(
        times.expect_s("q", 4.0), rel=0.05
    )


@pytest.mark.parametrize("values", [[], [1.0, 2.0], [1.0] * 9])
def test_restored_line_of_wrong_length_is_ignored(values: list[float]) -> None:
    times = RunTimes()
    times.restore({"q": values})
    assert times.expect_s("q", 2.0) == 2.0
