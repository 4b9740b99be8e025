"""Detection of pauses of the process, from gaps of its own clock.

A daemon that was suspended resumes with an out-of-date view, and must not
act on that view until it has been refreshed. The detector only improves
service to callers. Safety depends on conditional transactions and on the
acknowledgement of drains, because a process can also be paused between the
check and the action.

Pure: the time is an argument.
"""

from __future__ import annotations

__all__ = ["PauseDetector"]


class PauseDetector:
    """Detects that the process was paused.

    The clock must advance while the process is stopped and while the host
    is suspended (on Linux, CLOCK_BOOTTIME). Call `tick` frequently, and
    `may_act` immediately before each action that depends on the view. After
    a gap, no action may depend on the view until a refresh that began after
    the gap has completed.

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
        """Whether a pause was detected and no refresh has followed it."""
        return self._is_stale

    def tick(self, now: float) -> bool:
        """Record that the process is running; return whether it paused."""
        paused = now - self._last_tick > self._limit_s
        self._last_tick = now
        if paused:
            self.generation += 1
            self._is_stale = True
        return paused

    def may_act(self, now: float) -> bool:
        """Return whether an action may depend on the view at this time."""
        self.tick(now)
        return not self._is_stale

    def refreshed(self, generation: int) -> None:
        """Record a completed refresh that began at this generation."""
        if generation == self.generation:
            self._is_stale = False
