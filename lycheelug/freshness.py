"""Holds back dispatches after a pause of the process, until a refresh.

A daemon that stood still (a stopped process, a suspended host) wakes with
a view of the past.  The gate notices the gap on the clock that goes on
meanwhile, and lets nothing pass before the view is fresh again.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

from lycheelug.logs import log_change
from lycheelug.pause import PauseDetector

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["FreshnessGate"]

PAUSE_LIMIT_S: Final = 2.0
RETRY_S: Final = 0.5


def boot_time_s() -> float:
    """Return a clock that goes on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FreshnessGate:
    """Passes dispatches while the view may be relied on."""

    __slots__ = ("_clock", "_fresh", "_refresh", "_task", "pauses")

    def __init__(
        self,
        refresh: Callable[[], Awaitable[bool]],
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self._refresh = refresh
        self._clock = clock
        self._fresh = asyncio.Event()
        self._fresh.set()
        self._task: asyncio.Task[None] | None = None
        self.pauses = PauseDetector(clock(), PAUSE_LIMIT_S)

    def tick(self) -> None:
        """Note that the process runs; called several times a second."""
        if self.pauses.tick(self._clock()):
            self._close()

    async def wait_until_fresh(self, timeout_s: float) -> bool:
        """Wait until the view may be relied on; False where it may not."""
        if self.pauses.may_act(self._clock()):
            return True
        self._close()
        try:
            async with asyncio.timeout(timeout_s):
                await self._fresh.wait()
        except TimeoutError:
            return False
        return True

    def _close(self) -> None:
        """Refresh the view, unless a refresh is running."""
        if self._task is not None and not self._task.done():
            return
        self._fresh.clear()
        log_change("paused")
        self._task = asyncio.create_task(self._refresh_until_done())

    async def _refresh_until_done(self) -> None:
        """Try until the view is fresh."""
        while self.pauses.is_stale:
            if await self._refresh():
                break
            # A run that others have ended never gets fresh: it stops.
            await asyncio.sleep(RETRY_S)
        self._fresh.set()
        log_change("resumed")
