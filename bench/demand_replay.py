"""Replays seeded demand of a fleet's pools against the capacity plan.

Demand is a fluid of host-seconds that queues first come first served at
its pool; work that would wait more than 2.9 s is late and leaves.  A host
that moves serves neither pool meanwhile.  There is no network and there
are no processes: only the plan's decisions and their cost.
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

PATIENCE_S: Final = 2.9
PLAN_EVERY_S: Final = 120
# A day is shortened, so that a forecast sees several in one replay.
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
    """What one replay measured."""

    __slots__ = ("idle_s", "late_s", "moves", "roll_out_s", "work_s")

    def __init__(self) -> None:
        self.idle_s = 0.0
        self.late_s = 0.0
        self.work_s = 0.0
        self.moves = 0
        # From the plan of each move to its end, added up.
        self.roll_out_s = 0.0

    @property
    def late_part(self) -> float:
        """Late work as a part of all work."""
        return self.late_s / self.work_s if self.work_s else 0.0

    @property
    def mean_roll_out_s(self) -> float:
        """Mean time from the plan of a move to its end."""
        return self.roll_out_s / self.moves if self.moves else 0.0

    def weighed(self, weights: CapacityWeights) -> float:
        """Return the cost in idle host-seconds at a buffer weight of 1."""
        return (
            weights.idle_cost * self.idle_s
            + weights.late_cost * self.late_s
            + weights.move_cost * self.moves
            + weights.rollout_cost * self.roll_out_s
        )


class _Transfer:
    """A move that was planned."""

    __slots__ = ("ends_at", "planned_at", "source", "target")

    def __init__(self, source: str, target: str, planned_at: int) -> None:
        self.source = source
        self.target = target
        self.planned_at = planned_at
        self.ends_at: int | None = None


class CapacityReplay:
    """Runs one policy over one demand."""

    __slots__ = (
        "_backlog",
        "_costs",
        "_history",
        "_hosts",
        "_reserve",
        "_settings",
        "_transfers",
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
        self._transfers: deque[_Transfer] = deque()
        self._reserve = 0

    def run(self, demand: Demand) -> Costs:
        """Return what was measured after the first day."""
        measured_from = demand.seconds // DAYS
        for second in range(demand.seconds):
            if second == measured_from:
                self._costs = Costs()
            for name, series in demand.pools.items():
                self._serve(name, series[second])
                self._history.record(name, float(second), series[second])
            self._move(second)
            if second % PLAN_EVERY_S == 0 and second > 0:
                self._plan(second)
        return self._costs

    def _serve(self, name: str, arrived: float) -> None:
        """Serve one second of a pool's work."""
        hosts = self._hosts[name]
        backlog = self._backlog[name] + arrived
        late = max(0.0, backlog - hosts * (1.0 + PATIENCE_S))
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
        """Plan the hosts of all pools, as if all moves had ended."""
        planned = dict(self._hosts)
        for transfer in self._transfers:
            if transfer.ends_at is None:
                planned[transfer.source] -= 1
            planned[transfer.target] += 1
        pools: list[PoolState] = []
        for name, count in planned.items():
            pools.append(PoolState(name, count, 1, spare=name == SPARE))
        plan = plan_capacity(
            self._history, pools, self._weights, float(second), self._settings
        )
        self._reserve = plan.reserve
        for move in plan.moves:
            self._transfers.append(_Transfer(move.source, move.target, second))
            self._costs.moves += 1

    def _move(self, second: int) -> None:
        """End moves that are due, and start those that may."""
        for transfer in list(self._transfers):
            if transfer.ends_at is None or transfer.ends_at > second:
                continue
            self._transfers.remove(transfer)
            self._hosts[transfer.target] += 1
            self._costs.roll_out_s += second - transfer.planned_at
        running = sum(1 for each in self._transfers if each.ends_at)
        for transfer in self._transfers:
            if running >= MOVES_AT_ONCE:
                return
            if transfer.ends_at is not None:
                continue
            source = transfer.source
            if self._hosts[source] <= 1:
                continue
            idle = self._backlog[source] < self._hosts[source] - 1
            took_s = MOVE_IDLE_S if idle else MOVE_BUSY_S
            transfer.ends_at = second + took_s
            self._hosts[source] -= 1
            running += 1


class DayShape(StrEnum):
    """How mean demand follows the hour."""

    LEVEL = "level day"
    PEAK = "day with a peak"
    MOVED = "day whose peak moved"


def make_demand(seed: int, shape: DayShape, surge_s: int = 4) -> Demand:
    """Return seeded demand of four pools and the spare pool.

    Each pool in turn surges to five times its mean of two hosts for about
    `surge_s`, then falls to a twentieth of it for four times as long.
    With a peak, each pool's mean is three times as high at one hour as at
    another, different for each pool.  A moved peak comes half a day later
    on the second day than on the first.
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
    """Return the demand of one pool."""
    series: list[float] = []
    state = 1.0
    state_ends = 0
    cycle = 0
    for second in range(seconds):
        if second >= state_ends:
            cycle = (cycle + 1) % 3
            if cycle == 1:
                state = 1.0
                state_ends = second + round(rng.expovariate(1 / 30.0)) + 10
            elif cycle == 2:
                state = 5.0
                state_ends = second + max(
                    1, round(surge_s * rng.uniform(0.5, 1.5))
                )
            else:
                state = 0.05
                state_ends = second + 4 * surge_s
        hour = 1.0
        if shape is not DayShape.LEVEL:
            days = second / DAY_S
            if shape is DayShape.MOVED and days >= 1.0:
                days += 0.5
            angle = 2.0 * math.pi * (days + phase)
            hour = 1.0 + 0.5 * math.sin(angle)
        series.append(mean * state * hour * rng.uniform(0.8, 1.2))
    return series
