"""Executors as a replay sees them: runs that share slots.

Up to its slots, an executor runs each request at full speed.  Beyond them,
all runs slow down together: with `sink` 1 the executor's work per second
stays the same, with a higher one it falls as more run at once.  Connections,
transfer times and lost messages are left out.
"""

from __future__ import annotations

from heapq import heappop, heappush
from math import inf
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from lycheelug.limits import Limit
    from lycheelug.replay_requests import Run

__all__ = ["ReplayExecutor"]

# An executor that failed this often in a row gets no work for a time.
EJECT_FAILURES: Final = 3
EJECT_S: Final = 5.0


class ReplayExecutor:
    """One executor: its runs, and what the daemon knows of it."""

    __slots__ = (
        "_done",
        "_failures",
        "_limit",
        "_queue",
        "_retry_at",
        "_sequence",
        "_sink",
        "_slots",
        "_updated_at",
        "alive",
        "bad",
        "index",
        "next_at",
        "pool",
    )

    def __init__(
        self, index: int, pool: str, slots: int, limit: Limit, sink: float
    ) -> None:
        self.index = index
        self.pool = pool
        self.alive = True
        self.bad = False
        # When the next run ends, if none starts before.
        self.next_at = inf
        self._slots = slots
        self._limit = limit
        self._sink = sink
        # Seconds of full-speed work that each run would have got so far.
        self._done = 0.0
        self._updated_at = 0.0
        self._queue: list[tuple[float, int, Run]] = []
        self._sequence = 0
        self._failures = 0
        self._retry_at = 0.0

    @property
    def in_flight(self) -> int:
        """How many runs are on the executor."""
        return len(self._queue)

    @property
    def slots(self) -> int:
        """How many requests it runs at full speed."""
        return self._slots

    def room(self, now: float) -> int:
        """Return how many more requests the daemon would start now."""
        if not self.takes_work(now):
            return 0
        return max(0, self._limit.limit(now) - len(self._queue))

    def usable(self, now: float) -> int:
        """Return how many requests the daemon would run at a time."""
        return self._limit.limit(now) if self.takes_work(now) else 0

    def takes_work(self, now: float) -> bool:
        """Whether the executor is up and not ejected."""
        return self.alive and now >= self._retry_at

    def set_slots(self, slots: int, now: float) -> None:
        """Change how many requests run at full speed."""
        self._advance(now)
        self._slots = slots
        self._plan(now)

    def start(self, run: Run, seconds: float, now: float) -> None:
        """Start a run that takes this long at full speed."""
        self._advance(now)
        self._limit.on_start(now)
        self._sequence += 1
        heappush(self._queue, (self._done + seconds, self._sequence, run))
        self._plan(now)

    def finish(self, now: float) -> Run:
        """Remove and return the run that ends now."""
        self._advance(now)
        run = heappop(self._queue)[2]
        self._plan(now)
        return run

    def on_result(self, run: Run, ok: bool, now: float) -> None:
        """Note how a run ended; eject after failures in a row.

        A request that fails here again tells nothing more of the executor:
        it may be one that fails everywhere.
        """
        self._limit.on_finish(now - run.started_at, ok, now)
        if ok:
            self._failures = 0
            return
        if self.index in run.request.failed_on:
            return
        self._failures += 1
        if self._failures >= EJECT_FAILURES:
            self._retry_at = now + EJECT_S

    def fail(self, now: float) -> list[Run]:
        """Go down; return the runs that broke off."""
        self._advance(now)
        broken = [entry[2] for entry in sorted(self._queue)]
        self._queue.clear()
        self.alive = False
        self._plan(now)
        return broken

    def recover(self) -> None:
        """Come back, and work."""
        self.alive = True
        self.bad = False
        self._failures = 0
        self._retry_at = 0.0

    def _speed(self) -> float:
        """Return the speed of each run; 1 is full."""
        count = len(self._queue)
        if count <= self._slots:
            return 1.0
        return float((self._slots / count) ** self._sink)

    def _advance(self, now: float) -> None:
        """Bring the work done up to now."""
        if self._queue:
            self._done += (now - self._updated_at) * self._speed()
        self._updated_at = now

    def _plan(self, now: float) -> None:
        """Work out when the next run ends."""
        if not self._queue:
            self.next_at = inf
            return
        left_s = max(0.0, self._queue[0][0] - self._done)
        self.next_at = now + left_s / self._speed()
