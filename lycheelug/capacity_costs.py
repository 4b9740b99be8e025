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

# Longest time, in seconds, that short work may wait for a slot.
_PATIENCE_S: Final = 2.9
# Length of the period over which late work is attributed to one surge.
_EPISODE_S: Final = 60.0


class CapacityWeights:
    """The costs by which a user rates plans.

    The default unit is the cost of one host that is idle for one second.
    """

    __slots__ = ("idle_cost", "late_cost", "move_cost", "rollout_cost")

    def __init__(
        self,
        idle_cost: float = 1.0,
        late_cost: float = 300.0,
        move_cost: float = 60.0,
        rollout_cost: float = 1.0,
    ) -> None:
        # One idle host, per second.
        self.idle_cost = idle_cost
        # One host-second of work that is done late.
        self.late_cost = late_cost
        # One move of a host between pools.
        self.move_cost = move_cost
        # One move in progress, per second.
        self.rollout_cost = rollout_cost

    @property
    def critical_fractile(self) -> float:
        """The quantile of demand that minimizes the expected cost.

        >>> CapacityWeights(idle_cost=1.0, late_cost=9.0).critical_fractile
        0.9
        """
        return self.late_cost / (self.late_cost + self.idle_cost)


GUILD_WEIGHTS: Final = CapacityWeights(idle_cost=3.0, rollout_cost=1.0)
CALO_WEIGHTS: Final = CapacityWeights(idle_cost=1.0, rollout_cost=3.0)


def late_work(
    samples: Sequence[float], hosts: float, step_s: float, patience_s: float
) -> float:
    """Return the work, in host-seconds, that `hosts` cannot start in time.

    Demand is modelled as a fluid in a FIFO queue.  Work that would wait
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
    """Return all late work and the late work of the worst episode.

    An episode is the minute that starts with the first late work after
    the previous episode.
    """
    served = hosts * step_s
    # The backlog that the hosts can serve within the patience.
    max_backlog = hosts * patience_s
    steps = round(_EPISODE_S / step_s)
    backlog = 0.0
    late = 0.0
    worst_episode = 0.0
    episode = 0.0
    episode_end = 0
    for index, demand in enumerate(samples):
        backlog += demand * step_s - served
        if backlog < 0.0:
            backlog = 0.0
        elif backlog > max_backlog:
            if index >= episode_end:
                episode = 0.0
                episode_end = index + steps
            late += backlog - max_backlog
            episode += backlog - max_backlog
            worst_episode = max(worst_episode, episode)
            backlog = max_backlog
    return late, worst_episode


class CostCurve:
    """The cost of each number of hosts for a series of demand samples.

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
        """The duration that the samples cover."""
        return len(self._samples) * self._step_s

    def late_s(self, hosts: int) -> float:
        """Return the late work, in host-seconds, with a number of hosts."""
        late, _ = self._late(hosts)
        return late

    def recurring_late_s(self, hosts: int) -> float:
        """Return the late work without that of the worst minute.

        A single surge is not expected to recur, so it does not justify
        additional hosts.
        """
        late, worst_episode = self._late(hosts)
        return late - worst_episode

    def idle_s(self, hosts: int) -> float:
        """Return the idle time, in host-seconds, with a number of hosts."""
        served_s = self._work_s - self.late_s(hosts)
        return max(0.0, hosts * self.span_s - served_s)

    def cost(self, hosts: int, weights: CapacityWeights) -> float:
        """Return the cost of idle time and late work for a number of hosts."""
        late_cost = weights.late_cost * self.late_s(hosts)
        return late_cost + weights.idle_cost * self.idle_s(hosts)

    def _late(self, hosts: int) -> tuple[float, float]:
        """Return all late work and the late work of the worst episode."""
        late = self._late_s.get(hosts)
        if late is None:
            late = _late_work(self._samples, hosts, self._step_s, _PATIENCE_S)
            self._late_s[hosts] = late
        return late

    def cheapest(self, weights: CapacityWeights) -> int:
        """Return the number of hosts with the least cost.

        Each additional host saves less late work than the one before, and
        idle time increases, so the cost has a single minimum.
        """
        if not self._samples:
            return 0
        best = 0
        best_cost = math.inf
        # Fewer hosts than the mean demand fall behind for most of the time.
        fewest = math.floor(self._work_s / self.span_s)
        for hosts in range(fewest, math.ceil(max(self._samples)) + 1):
            cost = self.cost(hosts, weights)
            if cost > best_cost:
                break
            if cost < best_cost:
                best = hosts
                best_cost = cost
        return best
