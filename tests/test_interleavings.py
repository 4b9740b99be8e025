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


@pytest.mark.parametrize("seed", [*range(1, 9), *REGRESSION_SEEDS])
def test_no_interleaving_violates_an_invariant(seed: int) -> None:
    assert simulate(seed) > 0
