"""Replays seeded demand of a fleet's pools against the capacity plan.

Demand is modelled as a fluid of host-seconds in a FIFO queue per pool.  Work
that would wait more than 2.9 s counts as late and leaves the queue.  A
moving host serves neither pool.  Network and processes are left out: only
the plan's decisions and their costs are simulated.
"""

from __future__ import annotations

import math
import random
from collections import deque
from enum import StrEnum
from typing import TYPE_CHECKING, Final

from lycheelug.capacity import (
    CapacitySettings,
    DemandHistory,
    PoolState,
    plan_capacity,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from lycheelug.capacity import CapacityWeights

__all__ = ["CapacityReplay", "Costs", "DayShape", "Demand", "make_demand"]

MAX_WAIT_S: Final = 2.9
PLAN_EVERY_S: Final = 120
# Shorter than a real day, so that one replay has several for the forecast.
DAY_S: Final = 7200.0
DAYS: Final = 2
MOVE_IDLE_S: Final = 10
MOVE_BUSY_S: Final = 40
MOVES_AT_ONCE: Final = 4
SPARE: Final = "spare"


class Demand:
    """Host-seconds that arrive in each second, by pool."""

    __slots__ = ("pools", "seconds")

    def __init__(self, pools: Mapping[str, Sequence[float]]) -> None:
        self.pools = pools
        self.seconds = min(len(series) for series in pools.values())


class Costs:
    """The costs measured in one replay."""

    __slots__ = ("idle_s", "late_s", "moves", "rollout_s", "work_s")

    def __init__(self) -> None:
        self.idle_s = 0.0
        self.late_s = 0.0
        self.work_s = 0.0
        self.moves = 0
        # Total time from the plan of each move to its end.
        self.rollout_s = 0.0

    @property
    def late_fraction(self) -> float:
        """The fraction of all work that was late."""
        return self.late_s / self.work_s if self.work_s else 0.0

    @property
    def mean_rollout_s(self) -> float:
        """Mean time from the plan of a move to its end."""
        return self.rollout_s / self.moves if self.moves else 0.0

    def weighted(self, weights: CapacityWeights) -> float:
        """Return the weighted cost.

        With a weight of 1 for idle time, its unit is idle host-seconds.
        """
        return (
            weights.idle_cost * self.idle_s
            + weights.late_cost * self.late_s
            + weights.move_cost * self.moves
            + weights.rollout_cost * self.rollout_s
        )


class _PlannedMove:
    """A planned move; `ends_at` is None until it starts."""

    __slots__ = ("ends_at", "planned_at", "source", "target")

    def __init__(self, source: str, target: str, planned_at: int) -> None:
        self.source = source
        self.target = target
        self.planned_at = planned_at
        self.ends_at: int | None = None


class CapacityReplay:
    """Replays one demand under one capacity policy."""

    __slots__ = (
        "_backlog",
        "_costs",
        "_history",
        "_hosts",
        "_planned_moves",
        "_reserve",
        "_settings",
        "_weights",
    )

    def __init__(
        self,
        settings: CapacitySettings,
        weights: CapacityWeights,
        hosts: Mapping[str, int],
    ) -> None:
        self._settings = settings
        self._weights = weights
        self._hosts = dict(hosts)
        self._history = DemandHistory(step_s=1.0, day_s=DAY_S)
        self._costs = Costs()
        self._backlog = dict.fromkeys(hosts, 0.0)
        self._planned_moves: deque[_PlannedMove] = deque()
        self._reserve = 0

    def run(self, demand: Demand) -> Costs:
        """Replay the demand; return the costs after the first day."""
        measured_from = demand.seconds // DAYS
        for second in range(demand.seconds):
            if second == measured_from:
                self._costs = Costs()
            for name, series in demand.pools.items():
                self._serve(name, series[second])
                self._history.record(name, float(second), series[second])
            self._update_moves(second)
            if second % PLAN_EVERY_S == 0 and second > 0:
                self._plan(second)
        return self._costs

    def _serve(self, name: str, arrived: float) -> None:
        """Serve one second of a pool's work."""
        hosts = self._hosts[name]
        backlog = self._backlog[name] + arrived
        late = max(0.0, backlog - hosts * (1.0 + MAX_WAIT_S))
        backlog -= late
        served = min(backlog, float(hosts))
        self._backlog[name] = backlog - served
        self._costs.work_s += arrived
        self._costs.late_s += late
        idle = hosts - served
        if name == SPARE:
            idle = min(idle, float(self._reserve))
        self._costs.idle_s += idle

    def _plan(self, second: int) -> None:
        """Plan the hosts of all pools as they are after all planned moves."""
        planned = dict(self._hosts)
        for planned_move in self._planned_moves:
            if planned_move.ends_at is None:
                planned[planned_move.source] -= 1
            planned[planned_move.target] += 1
        pools: list[PoolState] = []
        for name, count in planned.items():
            pools.append(PoolState(name, count, 1, spare=name == SPARE))
        plan = plan_capacity(
            self._history, pools, self._weights, float(second), self._settings
        )
        self._reserve = plan.reserve
        for move in plan.moves:
            self._planned_moves.append(
                _PlannedMove(move.source, move.target, second)
            )
            self._costs.moves += 1

    def _update_moves(self, second: int) -> None:
        """End moves that are due, and start moves up to MOVES_AT_ONCE."""
        for planned_move in list(self._planned_moves):
            if planned_move.ends_at is None or planned_move.ends_at > second:
                continue
            self._planned_moves.remove(planned_move)
            self._hosts[planned_move.target] += 1
            self._costs.rollout_s += second - planned_move.planned_at
        running = sum(1 for each in self._planned_moves if each.ends_at)
        for planned_move in self._planned_moves:
            if running >= MOVES_AT_ONCE:
                return
            if planned_move.ends_at is not None:
                continue
            source = planned_move.source
            if self._hosts[source] <= 1:
                continue
            idle = self._backlog[source] < self._hosts[source] - 1
            move_s = MOVE_IDLE_S if idle else MOVE_BUSY_S
            planned_move.ends_at = second + move_s
            self._hosts[source] -= 1
            running += 1


class DayShape(StrEnum):
    """How the mean demand depends on the time of day."""

    LEVEL = "level day"
    PEAK = "day with a peak"
    MOVED = "day whose peak moved"


def make_demand(seed: int, shape: DayShape, surge_s: int = 4) -> Demand:
    """Return seeded demand of four pools and the spare pool.

    The demand of each pool repeatedly surges to five times its mean of two
    hosts for about `surge_s`, then drops to a twentieth of the mean for four
    times as long.  With a peak, the mean at a pool's busiest time of day is
    three times that at its quietest, and these times differ between pools.
    A moved peak is half a day later on the second day than on the first.
    """
    rng = random.Random(seed)
    seconds = int(DAY_S) * DAYS
    pools: dict[str, list[float]] = {}
    for index, name in enumerate(("a", "b", "c", "d", SPARE)):
        mean = 1.0 if name == SPARE else 2.0
        pools[name] = _series(rng, seconds, mean, index / 5.0, shape, surge_s)
    return Demand(pools)


def _series(
    rng: random.Random,
    seconds: int,
    mean: float,
    phase: float,
    shape: DayShape,
    surge_s: int,
) -> list[float]:
    """Return the demand of one pool in each second."""
    series: list[float] = []
    surge_factor = 1.0
    phase_ends = 0
    phase_index = 0
    for second in range(seconds):
        if second >= phase_ends:
            phase_index = (phase_index + 1) % 3
            if phase_index == 1:
                surge_factor = 1.0
                phase_ends = second + round(rng.expovariate(1 / 30.0)) + 10
            elif phase_index == 2:
                surge_factor = 5.0
                phase_ends = second + max(
                    1, round(surge_s * rng.uniform(0.5, 1.5))
                )
            else:
                surge_factor = 0.05
                phase_ends = second + 4 * surge_s
        day_factor = 1.0
        if shape is not DayShape.LEVEL:
            days = second / DAY_S
            if shape is DayShape.MOVED and days >= 1.0:
                days += 0.5
            angle = 2.0 * math.pi * (days + phase)
            day_factor = 1.0 + 0.5 * math.sin(angle)
        series.append(mean * surge_factor * day_factor * rng.uniform(0.8, 1.2))
    return series
