"""Simulated executors of a replay, whose runs share slots.

Up to its number of slots, an executor runs every request at full speed.
With more runs, all of them slow down equally: with `sink` 1 the executor's
throughput stays constant; with a higher value it falls as the number of
runs increases.

Limits: connections, transfer times and lost messages are not simulated.
"""

from __future__ import annotations

from heapq import heappop, heappush
from math import inf
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from lycheelug.limits import Limit
    from lycheelug.replay_requests import Run

__all__ = ["ReplayExecutor"]

# An executor is ejected after this many consecutive failures, and gets no
# work for the ejection period.
EJECT_FAILURES: Final = 3
EJECT_S: Final = 5.0


class ReplayExecutor:
    """An executor with its runs, and the daemon's limit and ejection state."""

    __slots__ = (
        "_ejected_until",
        "_failures",
        "_limit",
        "_runs",
        "_sequence",
        "_sink",
        "_slots",
        "_updated_at",
        "_work_per_run_s",
        "index",
        "is_bad",
        "is_up",
        "next_at",
        "pool",
    )

    def __init__(
        self, index: int, pool: str, slots: int, limit: Limit, sink: float
    ) -> None:
        self.index = index
        self.pool = pool
        self.is_up = True
        self.is_bad = False
        # When the next run ends if no other run starts before that.
        self.next_at = inf
        self._slots = slots
        self._limit = limit
        self._sink = sink
        # Seconds of full-speed work that a run present since the start
        # would have received.
        self._work_per_run_s = 0.0
        self._updated_at = 0.0
        self._runs: list[tuple[float, int, Run]] = []
        self._sequence = 0
        self._failures = 0
        self._ejected_until = 0.0

    @property
    def in_flight(self) -> int:
        """The number of runs on the executor."""
        return len(self._runs)

    @property
    def slots(self) -> int:
        """The number of requests that run at full speed."""
        return self._slots

    def free_slots(self, now: float) -> int:
        """Return how many more requests the daemon may start now."""
        if not self.accepts_work(now):
            return 0
        return max(0, self._limit.limit(now) - len(self._runs))

    def capacity_at(self, now: float) -> int:
        """Return how many requests the daemon may run at the same time."""
        return self._limit.limit(now) if self.accepts_work(now) else 0

    def accepts_work(self, now: float) -> bool:
        """Return whether the executor is up and not ejected."""
        return self.is_up and now >= self._ejected_until

    def set_slots(self, slots: int, now: float) -> None:
        """Change the number of requests that run at full speed."""
        self._advance(now)
        self._slots = slots
        self._update_next_end(now)

    def start(self, run: Run, seconds: float, now: float) -> None:
        """Start a run that takes `seconds` at full speed."""
        self._advance(now)
        self._limit.on_start(now)
        self._sequence += 1
        heappush(
            self._runs, (self._work_per_run_s + seconds, self._sequence, run)
        )
        self._update_next_end(now)

    def finish(self, now: float) -> Run:
        """Remove and return the run that ends now."""
        self._advance(now)
        run = heappop(self._runs)[2]
        self._update_next_end(now)
        return run

    def on_result(self, run: Run, ok: bool, now: float) -> None:
        """Record the result of a run; eject after consecutive failures.

        A repeated failure of the same request is not counted, because the
        request may fail on every executor.
        """
        self._limit.on_finish(now - run.started_at, ok, now)
        if ok:
            self._failures = 0
            return
        if self.index in run.request.failed_on:
            return
        self._failures += 1
        if self._failures >= EJECT_FAILURES:
            self._ejected_until = now + EJECT_S

    def fail(self, now: float) -> list[Run]:
        """Mark the executor as down; return the aborted runs."""
        self._advance(now)
        aborted = [entry[2] for entry in sorted(self._runs)]
        self._runs.clear()
        self.is_up = False
        self._update_next_end(now)
        return aborted

    def recover(self) -> None:
        """Mark the executor as up and healthy."""
        self.is_up = True
        self.is_bad = False
        self._failures = 0
        self._ejected_until = 0.0

    def _speed(self) -> float:
        """Return the speed of each run, where 1 is full speed."""
        count = len(self._runs)
        if count <= self._slots:
            return 1.0
        return float((self._slots / count) ** self._sink)

    def _advance(self, now: float) -> None:
        """Update the work done to the current time."""
        if self._runs:
            self._work_per_run_s += (now - self._updated_at) * self._speed()
        self._updated_at = now

    def _update_next_end(self, now: float) -> None:
        """Compute when the next run ends."""
        if not self._runs:
            self.next_at = inf
            return
        remaining_s = max(0.0, self._runs[0][0] - self._work_per_run_s)
        self.next_at = now + remaining_s / self._speed()
