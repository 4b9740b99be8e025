"""Remembers which incarnations of executors have ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheelug.workloads.executor_info import ExecutorInfo
    from lycheelug.workloads.executors import ExecutorView

__all__ = ["EndedIncarnations"]


class EndedIncarnations:
    """The incarnations that have ended while their entries may still exist.

    They are compared for equality and not by age: a start time in an entry
    may be wrong, and the clock of a host may have been set back.
    """

    __slots__ = ("_ended",)

    def __init__(self) -> None:
        # By executor: start times with the address, which is empty if the
        # incarnation has ended wherever its entry says that it is.
        self._ended: dict[str, set[tuple[int, str]]] = {}

    def add(self, view: ExecutorView) -> None:
        """Record that an executor's incarnation has ended.

        If it never answered, its entry only named a wrong address.
        """
        address = "" if view.is_located else view.info.address
        ended = self._ended.setdefault(view.executor_id, set())
        ended.add((view.born_ms, address))
        ended.add((view.info.born_ms, address))

    def names(self, info: ExecutorInfo) -> bool:
        """Return whether an entry belongs to an ended incarnation."""
        ended = self._ended.get(info.executor_id, ())
        born_ms = info.born_ms
        return (born_ms, "") in ended or (born_ms, info.address) in ended
