"""The clocks of a process, passed to whoever needs the time."""

from __future__ import annotations

import time

__all__ = ["Clock"]


class Clock:
    """Reads the host's clocks."""

    __slots__ = ()

    def now(self) -> float:
        """Return a steady time in seconds that counts suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix_ms(self) -> int:
        """Return the time of day in milliseconds since 1970."""
        return int(time.time() * 1000)
