"""Detects that the holder of a duty lives but can't do its work; no I/O.

A heartbeat is small, has a part of its own and is written by itself, so it
may pass while the calls that a duty consists of fail: on a full link,
through slow peers, in an event loop that is late.  A holder therefore
observes its own work.  One that has failed for too long says so in its
heartbeat, and another daemon claims the duty.

What fails for all daemons alike is no reason for a change of holder.  While
the store is unreachable, a claim, which is a write to the duty's own part,
fails too.  After that, the work has the whole limit again to succeed.  The
limit also grows with the store's delay and with each holder in a row that was
replaced for this reason.
"""

from __future__ import annotations

from typing import Final

__all__ = ["STALL_S", "WorkProgress"]

# A duty whose work has failed for this long has a stalled holder.
STALL_S: Final = 1.2
# The limit is extended by the store's delay times this factor, for the call
# in progress and the one that failed before it.
DELAY_FACTOR: Final = 2.0
# The limit doubles with each stalled holder in a row, up to this number, until
# a holder's work has succeeded for `RECOVERED_S`.
DOUBLINGS_MAX: Final = 3
RECOVERED_S: Final = 60.0


class WorkProgress:
    """Since when the work of one duty has not succeeded.

    >>> work = WorkProgress(stalled_before=0)
    >>> work.record_attempt(now=10.0)
    >>> work.record_attempt(now=10.9)
    >>> work.is_stalled(now=11.1, delay_s=0.0)
    False
    >>> work.is_stalled(now=11.3, delay_s=0.0)
    True
    >>> work.is_stalled(now=11.3, delay_s=0.5)
    False
    >>> work.record_success()
    >>> work.is_stalled(now=99.0, delay_s=0.0)
    False
    """

    __slots__ = ("_began", "_limit_s", "has_restarted", "since")

    def __init__(self, stalled_before: int) -> None:
        # Local time of the first attempt since the last success.
        self.since: float | None = None
        # Whether the limit was restarted since the last success.
        self.has_restarted = False
        # Local time of the first attempt.
        self._began: float | None = None
        self._limit_s = STALL_S * (1 << min(stalled_before, DOUBLINGS_MAX))

    def record_attempt(self, now: float) -> None:
        """Record that work is attempted, unless an attempt is pending."""
        if self._began is None:
            self._began = now
        if self.since is None:
            self.since = now
        if self.since - self._began >= RECOVERED_S:
            self._limit_s = STALL_S

    def record_success(self) -> None:
        """Record that the work attempted last has succeeded."""
        self.since = None
        self.has_restarted = False

    def restart_limit(self, now: float) -> None:
        """Restart the limit once: until now, heartbeats didn't pass either."""
        if self.since is not None and not self.has_restarted:
            self.since = now
            self.has_restarted = True

    def is_stalled(self, now: float, delay_s: float) -> bool:
        """Whether no attempt has succeeded for too long.

        `delay_s` is how long the store takes for this daemon's heartbeat.
        """
        if self.since is None:
            return False
        return now - self.since > self._limit_s + DELAY_FACTOR * delay_s
