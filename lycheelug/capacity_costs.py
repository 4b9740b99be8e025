"""Expected cost of idle hosts and late work, by the users' weights.

If no work can wait, the number of hosts with the least expected cost is
the quantile late_cost / (late_cost + idle_cost) of demand (the newsvendor
rule).  Callers accept a short wait, so a cost curve replays demand
through a queue for each number of hosts.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = [
    "CALO_WEIGHTS",
    "GUILD_WEIGHTS",
    "CapacityWeights",
    "CostCurve",
    "late_work",
]

# How long short work may wait for a slot.
_PATIENCE_S: Final = 2.9
_EPISODE_S: Final = 60.0


class CapacityWeights:
    """What a user weighs, in units of one host idle for one second."""

    __slots__ = ("idle_cost", "late_cost", "move_cost", "rollout_cost")

    def __init__(
        self,
        idle_cost: float = 1.0,
        late_cost: float = 300.0,
        move_cost: float = 60.0,
        rollout_cost: float = 1.0,
    ) -> None:
        # A host held idle for a second.
        self.idle_cost = idle_cost
        # A second's work of one host done late.
        self.late_cost = late_cost
        # One host shifted between pools.
        self.move_cost = move_cost
        # A second that one move is under way.
        self.rollout_cost = rollout_cost

    @property
    def critical_fractile(self) -> float:
        """The quantile of demand with the least expected cost.

        >>> CapacityWeights(idle_cost=1.0, late_cost=9.0).critical_fractile
        0.9
        """
        return self.late_cost / (self.late_cost + self.idle_cost)


GUILD_WEIGHTS: Final = CapacityWeights(idle_cost=3.0, rollout_cost=1.0)
CALO_WEIGHTS: Final = CapacityWeights(idle_cost=1.0, rollout_cost=3.0)


def late_work(
    samples: Sequence[float], hosts: float, step_s: float, patience_s: float
) -> float:
    """Return the work, in host-seconds, that `hosts` can't start in time.

    Demand is a fluid that queues first come first served; what would wait
    longer than the patience is late and leaves the queue.

    >>> late_work([4.0, 0.0, 0.0], hosts=2, step_s=1.0, patience_s=1.0)
    0.0
    >>> late_work([6.0, 0.0, 0.0], hosts=2, step_s=1.0, patience_s=1.0)
    2.0
    """
    late, _ = _late_work(samples, hosts, step_s, patience_s)
    return late


def _late_work(
    samples: Sequence[float], hosts: float, step_s: float, patience_s: float
) -> tuple[float, float]:
    """Return all late work, and that of the worst episode.

    An episode is what is late within a minute from the first late work.
    """
    served = hosts * step_s
    # What is left after a step waits for the hosts' work of the patience.
    room = hosts * patience_s
    steps = round(_EPISODE_S / step_s)
    backlog = 0.0
    late = 0.0
    worst = 0.0
    episode = 0.0
    episode_ends = 0
    for index, demand in enumerate(samples):
        backlog += demand * step_s - served
        if backlog < 0.0:
            backlog = 0.0
        elif backlog > room:
            if index >= episode_ends:
                episode = 0.0
                episode_ends = index + steps
            late += backlog - room
            episode += backlog - room
            worst = max(worst, episode)
            backlog = room
    return late, worst


class CostCurve:
    """The cost of each number of hosts over some demand.

    >>> surge = [0.0, 8.0] + [0.0] * 98
    >>> curve = CostCurve(surge * 3, step_s=1.0)
    >>> round(curve.late_s(2), 3), curve.late_s(3)
    (0.6, 0.0)
    >>> round(curve.recurring_late_s(2), 3)
    0.4
    >>> curve.cheapest(CapacityWeights(idle_cost=1.0, late_cost=1000.0))
    3
    """

    __slots__ = ("_late_s", "_samples", "_step_s", "_work_s")

    def __init__(self, samples: Sequence[float], step_s: float) -> None:
        self._samples = samples
        self._step_s = step_s
        self._work_s = sum(samples) * step_s
        self._late_s: dict[int, tuple[float, float]] = {}

    @property
    def span_s(self) -> float:
        """Time that the demand covers."""
        return len(self._samples) * self._step_s

    def late_s(self, hosts: int) -> float:
        """Return the late work of a number of hosts."""
        late, _ = self._late(hosts)
        return late

    def recurring_late_s(self, hosts: int) -> float:
        """Return the late work less that of the worst minute.

        What a single surge would need does not count as needed again.
        """
        late, worst = self._late(hosts)
        return late - worst

    def idle_s(self, hosts: int) -> float:
        """Return the idle time of a number of hosts."""
        served_s = self._work_s - self.late_s(hosts)
        return max(0.0, hosts * self.span_s - served_s)

    def cost(self, hosts: int, weights: CapacityWeights) -> float:
        """Return the cost of a number of hosts."""
        late_cost = weights.late_cost * self.late_s(hosts)
        return late_cost + weights.idle_cost * self.idle_s(hosts)

    def _late(self, hosts: int) -> tuple[float, float]:
        """Return all late work, and that of the worst episode."""
        late = self._late_s.get(hosts)
        if late is None:
            late = _late_work(self._samples, hosts, self._step_s, _PATIENCE_S)
            self._late_s[hosts] = late
        return late

    def cheapest(self, weights: CapacityWeights) -> int:
        """Return the number of hosts with the least cost.

        Late work falls with more hosts, each host saving less than the one
        before, and idle time rises: the cost has one valley.
        """
        if not self._samples:
            return 0
        best = 0
        best_cost = math.inf
        # Fewer hosts than the mean demand are late with most of it.
        least = math.floor(self._work_s / self.span_s)
        for hosts in range(least, math.ceil(max(self._samples)) + 1):
            cost = self.cost(hosts, weights)
            if cost > best_cost:
                break
            if cost < best_cost:
                best = hosts
                best_cost = cost
        return best
