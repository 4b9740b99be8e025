"""The clock of a process, injected so that tests can use virtual time."""

from __future__ import annotations

import time

__all__ = ["Clock"]


class Clock:
    """Monotonic and wall-clock time of the host."""

    __slots__ = ()

    def now(self) -> float:
        """Return a monotonic time in seconds that includes suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix_ms(self) -> int:
        """Return the Unix time in milliseconds since 1970."""
        return int(time.time() * 1000)
