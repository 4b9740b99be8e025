"""Tells beside which kinds of tasks a run has been on its executor.

A kind counts as present if it was there for most of the run, and as absent
if it was hardly there.  Between the two the run says nothing about it.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["ABSENT_SHARE", "PRESENT_SHARE", "RunHistory"]

# The share of a run's time from which a kind beside it is present, and up to
# which it is absent.
PRESENT_SHARE: Final = 0.5
ABSENT_SHARE: Final = 0.1
# The number of ended runs that are remembered for one executor.
ENDED_MAX: Final = 32


class RunHistory:
    """The last runs that have ended on one executor.

    >>> history = RunHistory()
    >>> history.record_end("encode", began_at=0.0, ended_at=6.0)
    >>> history.shares([("audit", 9.0)], began_at=0.0, ended_at=10.0)
    {'audit': 0.1, 'encode': 0.6}
    """

    __slots__ = ("_ended",)

    def __init__(self) -> None:
        # Kind, beginning and end in local time.
        self._ended: deque[tuple[str, float, float]] = deque(maxlen=ENDED_MAX)

    def record_end(self, kind: str, began_at: float, ended_at: float) -> None:
        """Record that a run has ended."""
        self._ended.append((kind, began_at, ended_at))

    def shares(
        self,
        active: Iterable[tuple[str, float]],
        began_at: float,
        ended_at: float,
    ) -> dict[str, float]:
        """Return for which share of a time each kind was there.

        `active` has the kinds that are there now, and since when.  Runs of
        one kind count together, at most as the whole time.
        """
        duration_s = ended_at - began_at
        if duration_s <= 0:
            return {}
        times: dict[str, float] = {}
        for kind, since in active:
            overlap_s = ended_at - max(since, began_at)
            if overlap_s > 0:
                times[kind] = times.get(kind, 0.0) + overlap_s
        for kind, since, until in self._ended:
            overlap_s = min(until, ended_at) - max(since, began_at)
            if overlap_s > 0:
                times[kind] = times.get(kind, 0.0) + overlap_s
        return {
            kind: min(1.0, overlap_s / duration_s)
            for kind, overlap_s in times.items()
        }
