"""Forecasts the demand of pools that get it by turns; no I/O.

Pools often have their demand one after the other, each for some seconds many
times its usual work, and in the same order again.  A host needs about two
seconds to arrive, so growth by the waiting work alone is late for the whole
rise of a turn.  This forecast learns from the turns it sees:

* how much work a turn brings: a pool whose turn begins gets hosts for a part
  of that at once, and a pool without a turn of its own so far, for a part of
  the least that others had;
* how far apart turns begin, and in which order: the next pool gets hosts
  shortly before its turn.

A forecast that isn't borne out by work is dropped within a second, and the
pool grows by its waiting work, as without a forecast.
"""

from __future__ import annotations

import itertools
import math
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from lycheelug.fleetplan.records import Turn
from lycheelug.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["FORECASTS", "Forecast", "NoForecast", "TurnForecast"]

FORECASTS: Final[Registry[Callable[[list[Turn]], Forecast]]] = Registry(
    "demand forecast"
)

# A turn begins when at least as many jobs have arrived in a second, and their
# work is at least this share of a usual turn's.
START_JOBS: Final = 3
START_SHARE: Final = 0.12
# The last jobs of a turn begin no other: none begins for this long after it.
REST_S: Final = 3.0
# While no turn is known, one begins when the work of a second is as many
# times the average of the time before.
START_RISE: Final = 4.0
# It ends when the work of a second falls below this share of its peak.
END_SHARE: Final = 0.2
# The part of the expected work that is provided for when a turn begins or is
# about to begin, and for how long.
PROVIDED_SHARE: Final = 0.6
RISE_S: Final = 3.0
# After this time the work must have reached a part of what is provided for.
PROOF_S: Final = 1.2
PROOF_SHARE: Final = 0.4
# How long before and after its expected beginning a turn is provided for.
AHEAD_S: Final = 2.0
OVERDUE_S: Final = 1.0
# The largest difference between the distances of turns that are regular, as
# a share of their mean, and the number of turns that are remembered.
IRREGULARITY_MAX: Final = 0.25
TURNS_MAX: Final = 12
# A turn whose peak is below this share of the largest one is taken for chance
# once it has ended.
MINOR_SHARE: Final = 0.2
# A turn that was in progress under another planner is continued if it began
# no longer ago.
RESUMED_MAX_S: Final = 10.0
# The time constants of the average work before a turn, and of its peak.
AVERAGE_S: Final = 10.0
PEAK_S: Final = 1.0


class _PoolState:
    """What a pool's arrivals have been like."""

    __slots__ = (
        "average",
        "blocked_until",
        "ended_at",
        "is_confirmed",
        "jobs",
        "peak",
        "since",
        "turn",
        "updated",
    )

    def __init__(self, now: float) -> None:
        self.average = 0.0
        self.peak = 0.0
        self.updated = now
        # The turn in progress, and the local time at which it began.
        self.turn: Turn | None = None
        self.since = 0.0
        # Local time at which the last turn has ended.
        self.ended_at = -math.inf
        # Whether it has lasted for its rise, and the average jobs a second.
        self.is_confirmed = False
        self.jobs = 0.0
        # Local time until which nothing is provided ahead: a forecast was
        # wrong.
        self.blocked_until = 0.0

    def begin(self, turn: Turn, now: float) -> None:
        """Begin a turn."""
        self.turn = turn
        self.since = now
        self.peak = 0.0
        self.jobs = 0.0
        self.is_confirmed = False


class Forecast(ABC):
    """Expects work that has not arrived yet."""

    @abstractmethod
    def observe(
        self, pool: str, cpu: int, jobs: int, now: float, unix_ms: int
    ) -> None:
        """Record the work and the jobs that arrived in the last second."""

    @abstractmethod
    def expected_cpu(
        self, pool: str, cpu: int, now: float, unix_ms: int
    ) -> int:
        """Return the work to provide for, in thousandths of a core.

        `cpu` is the work that arrived in the last second.  The result is 0
        if there is nothing to provide for but what waits.
        """

    @abstractmethod
    def next_cpu(self) -> int:
        """Return the work for which hosts should be at hand."""

    @abstractmethod
    def export(self) -> list[Turn]:
        """Return what the next planner needs to know."""


@FORECASTS.register("none")
class NoForecast(Forecast):
    """Expects nothing; serves as a baseline."""

    __slots__ = ()

    def __init__(self, turns: list[Turn]) -> None:
        return

    def observe(
        self, pool: str, cpu: int, jobs: int, now: float, unix_ms: int
    ) -> None:
        """Ignore what has arrived."""

    def expected_cpu(
        self, pool: str, cpu: int, now: float, unix_ms: int
    ) -> int:
        """Return that nothing is expected."""
        return 0

    def next_cpu(self) -> int:
        """Return that nothing is expected."""
        return 0

    def export(self) -> list[Turn]:
        """Return that nothing is known."""
        return []


@FORECASTS.register("turns")
class TurnForecast(Forecast):
    """Learns the turns of pools and expects the next ones."""

    __slots__ = ("_pools", "turns")

    def __init__(self, turns: list[Turn]) -> None:
        # The last turns, oldest first, including those in progress.
        self.turns: list[Turn] = list(turns)
        self._pools: dict[str, _PoolState] = {}

    def observe(
        self, pool: str, cpu: int, jobs: int, now: float, unix_ms: int
    ) -> None:
        """Record the work and the jobs that arrived in the last second."""
        state = self._pools.setdefault(pool, _PoolState(now))
        elapsed_s = max(0.0, now - state.updated)
        state.updated = now
        turn = state.turn
        if turn is None:
            is_rested = now - state.ended_at >= REST_S
            if is_rested and self._has_begun(state, pool, cpu, jobs):
                turn = self._begin(state, pool, now, unix_ms)
            else:
                weight = min(1.0, elapsed_s / AVERAGE_S)
                state.average += (cpu - state.average) * weight
                return
        weight = min(1.0, elapsed_s / PEAK_S)
        state.peak += (cpu - state.peak) * weight
        state.jobs += (jobs - state.jobs) * weight
        turn.peak_cpu = max(turn.peak_cpu, int(state.peak))
        if now - state.since <= RISE_S:
            return
        if not state.is_confirmed and not self._is_significant(state, turn):
            # A few jobs came together by chance.
            self.turns = [each for each in self.turns if each is not turn]
            state.turn = None
            return
        state.is_confirmed = True
        if cpu < END_SHARE * turn.peak_cpu:
            state.turn = None
            state.ended_at = now

    def expected_cpu(
        self, pool: str, cpu: int, now: float, unix_ms: int
    ) -> int:
        """Return the work to provide for while a turn begins."""
        usual = self._usual_peak(pool)
        state = self._pools.get(pool)
        if not usual or state is None or now < state.blocked_until:
            return 0
        provided = usual * PROVIDED_SHARE
        if state.turn is None:
            return int(provided) if self._is_due(pool, unix_ms) else 0
        age_s = now - state.since
        if age_s > RISE_S:
            return 0
        if age_s > PROOF_S and cpu < PROOF_SHARE * provided:
            state.blocked_until = now + RISE_S
            return 0
        return int(provided)

    def next_turn(self) -> tuple[str, int] | None:
        """Return the pool whose turn is expected next, and when (Unix ms).

        None if the turns so far were not regular, or don't tell which pool
        is next.
        """
        turns = self._major_turns()
        gaps = [
            later.began_ms - earlier.began_ms
            for earlier, later in itertools.pairwise(turns[-4:])
        ]
        if len(gaps) < 2:
            return None
        mean = sum(gaps) / len(gaps)
        if max(gaps) - min(gaps) > IRREGULARITY_MAX * mean:
            return None
        newest = {turn.pool: turn.began_ms for turn in turns}
        unseen = [pool for pool in self._pools if pool not in newest]
        if len(unseen) > 1:
            return None
        following = (
            unseen[0] if unseen else min(newest, key=newest.__getitem__)
        )
        if following == turns[-1].pool:
            return None
        return following, int(turns[-1].began_ms + mean)

    def next_cpu(self) -> int:
        """Return what is provided for the least of the known turns."""
        peaks = [
            turn.peak_cpu for pool in self._pools for turn in self._past(pool)
        ]
        return int(min(peaks, default=0) * PROVIDED_SHARE)

    def export(self) -> list[Turn]:
        """Return the turns, those in progress without a peak.

        The next planner continues these, with another peak.
        """
        found: list[Turn] = []
        for turn in self.turns:
            state = self._pools.get(turn.pool)
            if state is not None and state.turn is turn:
                found.append(Turn(turn.pool, turn.began_ms))
                continue
            found.append(turn)
        return found

    def _begin(
        self, state: _PoolState, pool: str, now: float, unix_ms: int
    ) -> Turn:
        """Begin a turn."""
        turn = Turn(pool, unix_ms)
        state.begin(turn, now)
        self.turns = [*self.turns[1 - TURNS_MAX :], turn]
        return turn

    def _has_begun(
        self, state: _PoolState, pool: str, cpu: int, jobs: int
    ) -> bool:
        """Return whether a pool's arrivals show that its turn has begun."""
        if jobs < START_JOBS:
            return False
        usual = self._usual_peak(pool)
        if usual:
            return cpu >= START_SHARE * usual
        return cpu >= START_RISE * state.average

    def _is_significant(self, state: _PoolState, turn: Turn) -> bool:
        """Return whether a turn that has risen is no chance."""
        usual = self._usual_peak(turn.pool)
        least = max(START_SHARE * usual, START_RISE * state.average)
        return state.jobs >= START_JOBS and state.peak >= least

    def _is_due(self, pool: str, unix_ms: int) -> bool:
        """Return whether a pool's turn is about to begin."""
        following = self.next_turn()
        if following is None or following[0] != pool:
            return False
        until_ms = following[1] - unix_ms
        return -OVERDUE_S * 1000 <= until_ms <= AHEAD_S * 1000

    def _usual_peak(self, pool: str) -> float:
        """Return the work of a pool's last turn, or the least of others."""
        own = [turn.peak_cpu for turn in self._past(pool)]
        if own:
            return float(own[-1])
        others = [
            turn.peak_cpu
            for other in self._pools
            if other != pool
            for turn in self._past(other)
        ]
        return float(min(others, default=0))

    def _past(self, pool: str) -> list[Turn]:
        """Return a pool's turns without the one in progress."""
        state = self._pools.get(pool)
        current = state.turn if state is not None else None
        return [
            turn
            for turn in self._major_turns()
            if turn.pool == pool and turn is not current and turn.peak_cpu
        ]

    def _major_turns(self) -> list[Turn]:
        """Return the turns from which sizes and distances are learned."""
        return self.turns


@FORECASTS.register("major-turns")
class MajorTurnForecast(TurnForecast):
    """Continues turns after a takeover, and ignores minor ones."""

    __slots__ = ()

    def _begin(
        self, state: _PoolState, pool: str, now: float, unix_ms: int
    ) -> Turn:
        """Begin a turn, or continue the one that another planner has seen."""
        last = self.turns[-1] if self.turns else None
        if last is not None and last.pool == pool and not last.peak_cpu:
            age_s = (unix_ms - last.began_ms) / 1000
            if 0 <= age_s <= RESUMED_MAX_S:
                state.begin(last, now - age_s)
                state.is_confirmed = age_s > RISE_S
                return last
        return super()._begin(state, pool, now, unix_ms)

    def _major_turns(self) -> list[Turn]:
        """Return the turns but those that were only a few large jobs."""
        largest = max((turn.peak_cpu for turn in self.turns), default=0)
        found: list[Turn] = []
        for turn in self.turns:
            state = self._pools.get(turn.pool)
            is_current = state is not None and state.turn is turn
            is_minor = 0 < turn.peak_cpu < MINOR_SHARE * largest
            if is_current or not is_minor:
                found.append(turn)
        return found
