"""Runs random interleavings of owners, executors and the store.

Seeds that once violated an invariant stay in the list, with their cause.
"""

from __future__ import annotations

import pytest

from tests.interleavings import simulate

REGRESSION_SEEDS = [
    # A reported run of a finished job did not count against the capacity.
    13,
    25,
    67,
    76,
    85,
]

# Calls for a former incarnation were carried out by the next one: the lease
# was longer than the owner had worked out, unlisted ends were forgotten, and
# starts that had been given up began.
RESTART_SEEDS = [
    *(75, 80, 88, 109, 124, 136, 137, 138, 141, 148, 173, 180, 266, 315),
]


@pytest.mark.parametrize("seed", [*range(1, 9), *REGRESSION_SEEDS])
def test_no_interleaving_violates_an_invariant(seed: int) -> None:
    assert simulate(seed) > 0


# Guards against second runs of tasks after executors restart under their ids.
@pytest.mark.parametrize("seed", RESTART_SEEDS)
def test_calls_for_a_former_incarnation_do_no_harm(seed: int) -> None:
    assert simulate(seed) > 0


# Guards against second runs by starts that reach an incarnation before the
# first barrier does.
@pytest.mark.parametrize("seed", [272, 442, 671])
def test_late_start_on_an_incarnation_that_no_owner_has_reached(
    seed: int,
) -> None:
    assert simulate(seed) > 0
