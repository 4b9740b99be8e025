"""A gate that delays dispatches after a pause until the view is refreshed.

A daemon that was paused (a stopped process, a suspended host) resumes with
an out-of-date view. The gate detects the gap with a clock that advances
during the pause, and lets no dispatch pass until the view was refreshed.
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
RETRY_DELAY_S: Final = 0.5


def boot_time_s() -> float:
    """Return a time that advances even while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FreshnessGate:
    """Lets dispatches pass while the view is up to date."""

    __slots__ = ("_clock", "_fresh", "_refresh", "_refresh_task", "pauses")

    def __init__(
        self,
        refresh: Callable[[], Awaitable[bool]],
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self._refresh = refresh
        self._clock = clock
        self._fresh = asyncio.Event()
        self._fresh.set()
        self._refresh_task: asyncio.Task[None] | None = None
        self.pauses = PauseDetector(clock(), PAUSE_LIMIT_S)

    def tick(self) -> None:
        """Record that the process is running; call several times a second."""
        if self.pauses.tick(self._clock()):
            self._close_and_refresh()

    async def wait_until_fresh(self, timeout_s: float) -> bool:
        """Wait until the view is up to date; return False on a timeout."""
        if self.pauses.may_act(self._clock()):
            return True
        self._close_and_refresh()
        try:
            async with asyncio.timeout(timeout_s):
                await self._fresh.wait()
        except TimeoutError:
            return False
        return True

    def _close_and_refresh(self) -> None:
        """Close the gate and start a refresh, unless one is in progress."""
        if self._refresh_task is not None and not self._refresh_task.done():
            return
        self._fresh.clear()
        log_change("paused")
        self._refresh_task = asyncio.create_task(self._refresh_until_done())

    async def _refresh_until_done(self) -> None:
        """Retry the refresh until the view is up to date."""
        while self.pauses.is_stale:
            if await self._refresh():
                break
            # A run that others have ended stays in this loop until the
            # daemon stops.
            await asyncio.sleep(RETRY_DELAY_S)
        self._fresh.set()
        log_change("resumed")
