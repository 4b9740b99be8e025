"""Remembers which incarnations of executors have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from lycheelug.workloads.executor_info import ExecutorInfo
    from lycheelug.workloads.executors import ExecutorView

__all__ = ["EXECUTORS_MAX", "LIVES_MAX", "EndedIncarnations"]

# The executors whose ended incarnations are remembered.  The entry of one that
# has ended expires after three heartbeats, and hosts are moved or maintained
# at some a second, so those that ended before these have no entries any more.
EXECUTORS_MAX: Final = 1_000
# The same for the incarnations of one executor.  Each has up to two start
# times, as its entry may name a wrong one.
LIVES_MAX: Final = 16


class EndedIncarnations:
    """The incarnations that have ended while their entries may still exist.

    They are compared for equality and not by age: a start time in an entry
    may be wrong, and the clock of a host may have been set back.
    """

    __slots__ = ("_ended",)

    def __init__(self) -> None:
        # By executor, the one that ended last at the end: start times with
        # the address, which is empty if the incarnation has ended wherever
        # its entry says that it is.
        self._ended: dict[str, dict[tuple[int, str], None]] = {}

    def __len__(self) -> int:
        """Return how many start times are remembered."""
        return sum(map(len, self._ended.values()))

    def add(self, view: ExecutorView) -> None:
        """Record that an executor's incarnation has ended.

        If it never answered, its entry only named a wrong address.
        """
        address = "" if view.is_located else view.info.address
        lives = self._ended.pop(view.executor_id, {})
        self._ended[view.executor_id] = lives
        for born_ms in (view.born_ms, view.info.born_ms):
            lives.pop((born_ms, address), None)
            lives[born_ms, address] = None
        while len(lives) > LIVES_MAX:
            del lives[next(iter(lives))]
        while len(self._ended) > EXECUTORS_MAX:
            del self._ended[next(iter(self._ended))]

    def names(self, info: ExecutorInfo) -> bool:
        """Return whether an entry belongs to an ended incarnation."""
        ended = self._ended.get(info.executor_id, {})
        born_ms = info.born_ms
        return (born_ms, "") in ended or (born_ms, info.address) in ended
