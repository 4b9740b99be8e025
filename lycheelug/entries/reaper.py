"""Removes the rows of entry daemons whose hosts were removed.

Any number of daemons may do this at the same time, because each removal is
guarded on the row's revision.  A removed run that resumes after a pause
detects its removal before it acts again (see `refresh`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from lycheelug.entries.join import remove_entry

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lycheelug.membership import Members
    from lycheelug.store.interface import Platform

__all__ = ["Reaper"]


class Reaper:
    """Removes the rows of the runs that the membership lists as removable."""

    __slots__ = ("_clock", "_members", "_platform", "_rng")

    def __init__(
        self,
        platform: Platform,
        members: Members,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._platform = platform
        self._members = members
        self._clock = clock
        self._rng = rng

    async def run_once(self) -> list[str]:
        """Try to remove each removable run; return the removed names.

        Call this every few seconds; each call retries earlier failures.
        """
        removed: list[str] = []
        for entry in self._members.removable(self._clock()):
            answer = await remove_entry(self._platform, entry, self._rng)
            if answer == Success(True):
                removed.append(entry.name)
        return removed
