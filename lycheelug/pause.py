"""Detection of a process that stood still, from its own clock.

A daemon that was frozen wakes with a view of the past.  Its next actions
must not rest on that view until it has been refreshed.  The detector is a
courtesy to callers: safety rests on conditional transactions and on the
acknowledgement of drains, since a process can also stand still between
the check and the action.

Pure: the time is an argument.
"""

from __future__ import annotations

__all__ = ["PauseDetector"]


class PauseDetector:
    """Notices that the process stood still, from its own clock.

    The clock must go on while the process is stopped and while the host
    is suspended (on Linux, CLOCK_BOOTTIME).  `tick` runs often; `may_act`
    runs just before each action that rests on the view.  After a gap,
    nothing may rest on the view until a refresh that began after the gap
    has ended.

    >>> pauses = PauseDetector(now=0.0, limit_s=2.0)
    >>> pauses.tick(1.0), pauses.may_act(2.5)
    (False, True)
    >>> pauses.may_act(60.0)
    False
    >>> generation = pauses.generation
    >>> pauses.refreshed(generation)
    >>> pauses.may_act(60.5)
    True
    """

    __slots__ = ("_is_stale", "_last_tick", "_limit_s", "generation")

    def __init__(self, now: float, limit_s: float) -> None:
        self._last_tick = now
        self._limit_s = limit_s
        self._is_stale = False
        self.generation = 0

    @property
    def is_stale(self) -> bool:
        """True from a noticed pause until the refresh after it."""
        return self._is_stale

    def tick(self, now: float) -> bool:
        """Note that the process runs; return True where it had paused."""
        paused = now - self._last_tick > self._limit_s
        self._last_tick = now
        if paused:
            self.generation += 1
            self._is_stale = True
        return paused

    def may_act(self, now: float) -> bool:
        """Return whether the view may be relied on at this moment."""
        self.tick(now)
        return not self._is_stale

    def refreshed(self, generation: int) -> None:
        """Take in a refresh that began at this generation."""
        if generation == self.generation:
            self._is_stale = False
