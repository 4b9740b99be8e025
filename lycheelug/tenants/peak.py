"""The largest amount of resources within the last second; no I/O."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from lycheelug.tenants.amounts import NOTHING, larger

if TYPE_CHECKING:
    from lycheelug.resources import Resources

__all__ = ["RecentPeak"]

# The peak covers between one and two of these.
WINDOW_S: Final = 0.7


class RecentPeak:
    """The largest recent amount of each resource.

    >>> from lycheelug.resources import Resources
    >>> peak = RecentPeak()
    >>> peak.record(Resources(5, 0, 0), now=0.0)
    >>> peak.record(Resources(2, 0, 0), now=1.0)
    >>> peak.value(1.0).cpu_millis, peak.value(2.0).cpu_millis
    (5, 2)
    """

    __slots__ = ("_before", "_began_at", "_current")

    def __init__(self) -> None:
        # The peaks of this window and of the one before.
        self._current = NOTHING
        self._before = NOTHING
        self._began_at = -math.inf

    def record(self, amount: Resources, now: float) -> None:
        """Record the amount at a moment."""
        self._advance(now)
        self._current = larger(self._current, amount)

    def value(self, now: float) -> Resources:
        """Return the peak; the last record may be up to a window old."""
        if now - self._began_at >= 2 * WINDOW_S:
            return NOTHING
        if now - self._began_at >= WINDOW_S:
            return self._current
        return larger(self._current, self._before)

    def _advance(self, now: float) -> None:
        """Begin a new window if this one has ended."""
        elapsed_s = now - self._began_at
        if elapsed_s < WINDOW_S:
            return
        self._before = self._current if elapsed_s < 2 * WINDOW_S else NOTHING
        self._current = NOTHING
        self._began_at = now
