"""Owners, executors and the store in random interleavings.

Seeds that ever broke a promise stay here, with their cause.
"""

from __future__ import annotations

import pytest

from tests.interleavings import play

FOUND = [
    # A listed run of a job that was over took no room.
    13,
    25,
    67,
    76,
    85,
]


@pytest.mark.parametrize("seed", [*range(1, 9), *FOUND])
def test_no_interleaving_breaks_a_promise(seed: int) -> None:
    assert play(seed) > 0
