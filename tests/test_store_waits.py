"""Tests of waits for changes of the store that is kept in memory."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lycheelug.store.memory_rows import MemoryRows
from tests.virtual_time import VirtualLoop, VirtualTimeSelector

if TYPE_CHECKING:
    import selectors

# Timers may fire early by the clock's resolution, which is larger.
EARLY_S = 1e-12
# A wait reads the clock only a few times.
CLOCK_READS_MAX = 100


class EarlySelector(VirtualTimeSelector):
    """Ends each wait a little early."""

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is not None:
            timeout = max(0.0, timeout - EARLY_S)
        return super().select(timeout)


class EarlyLoop(VirtualLoop):
    """A loop that fails if its clock is read again and again."""

    def __init__(self) -> None:
        self._reads = 0
        self._read_at = 0.0
        self.virtual_selector = EarlySelector()
        asyncio.SelectorEventLoop.__init__(self, self.virtual_selector)

    def time(self) -> float:
        now = super().time()
        self._reads = self._reads + 1 if now == self._read_at else 0
        self._read_at = now
        assert self._reads < CLOCK_READS_MAX, f"spins at {now!r}"
        return now


# Guards against a wait that never ends: its timer fires early, and the rest
# of the time is too short for another timer.
def test_wait_ends_though_its_timer_fires_early() -> None:
    with asyncio.Runner(loop_factory=EarlyLoop) as runner:
        runner.run(MemoryRows().feed("table", 0, 0.25))
