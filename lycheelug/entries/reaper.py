"""Removes the rows of entry daemons whose hosts are gone.

Any daemon may do so, and several at once: a removal is guarded on the
row's revision, and a run that was removed finds that out before it acts
after a pause (see `refresh`).
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
    """Removes what the membership says is removable."""

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
        """Try to remove each removable run; return the names removed.

        To be called every few seconds; a failure is tried again then.
        """
        removed: list[str] = []
        for entry in self._members.removable(self._clock()):
            answer = await remove_entry(self._platform, entry, self._rng)
            if answer == Success(True):
                removed.append(entry.name)
        return removed
