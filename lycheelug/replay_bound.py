"""Computes a lower bound on the starts that any schedule misses.

Consider a window of time.  A request that arrives in the window and whose
latest start lies in it needs at least some slot time in it: its run time,
or the part of it between its latest start and the end of the window.  The
slots provide a limited amount of time in the window, so even if the
requests with the smallest needs are chosen, the rest is missed.  No
schedule can do better, even if it knows the run times in advance, preempts
and migrates runs, or omits other work.  Windows that do not overlap contain
different requests, so the bound is the largest sum over disjoint windows.

The bound can be lower than the best possible result, but never higher.
"""

from __future__ import annotations

from bisect import bisect_left
from itertools import accumulate
from math import inf
from typing import TYPE_CHECKING, Final

from lycheelug.traces import (
    Arrival,
    Cancel,
    HostBack,
    HostFailed,
    WorkerSlowed,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheelug.traces import Trace

__all__ = ["BoundedRequest", "CapacityCurve", "min_missed_starts"]

# Windows start and end at multiples of this time.
GRID_S: Final = 0.5
LONGEST_WINDOW_S: Final = 16.0


class BoundedRequest:
    """The properties of a request that determine the bound."""

    __slots__ = ("arrived_at", "latest_start", "run_s")

    def __init__(
        self, arrived_at: float, latest_start: float, run_s: float
    ) -> None:
        self.arrived_at = arrived_at
        self.latest_start = latest_start
        self.run_s = run_s


class CapacityCurve:
    """The slots of a pool's working hosts over the time of a trace.

    If only starts count, the capacity of a period in which a host fails is
    unlimited: an aborted run has started and needs no further slot time.
    A worker that fails every run has no slots, because starts on it do not
    count.
    """

    __slots__ = ("_aborted_at", "_cumulative_s", "_slots", "_times")

    def __init__(
        self, trace: Trace, pool_name: str, starts_only: bool = False
    ) -> None:
        hosts: dict[str, int] = {}
        for pool in trace.header.pools:
            if pool.name == pool_name:
                hosts = {e.host: pool.slots for e in pool.executors}
        up_hosts = set(hosts)
        self._times = [0.0]
        self._slots = [sum(hosts.values())]
        self._cumulative_s = [0.0]
        # Times at which host failures aborted runs.
        self._aborted_at: list[float] = []
        for event in trace.events:
            if isinstance(event, Arrival | Cancel):
                continue
            if event.host not in hosts:
                continue
            if isinstance(event, WorkerSlowed):
                hosts[event.host] = event.slots
            elif isinstance(event, HostBack):
                up_hosts.add(event.host)
            else:
                up_hosts.discard(event.host)
            if starts_only and isinstance(event, HostFailed):
                self._aborted_at.append(event.at)
            self._add_change(event.at, sum(hosts[host] for host in up_hosts))

    def slot_seconds(self, start: float, end: float) -> float:
        """Return the slot-seconds available between two times."""
        for at in self._aborted_at:
            if start <= at <= end:
                return inf
        return self._slot_seconds_until(end) - self._slot_seconds_until(start)

    def _add_change(self, at: float, slots: int) -> None:
        """Record a change of the number of slots."""
        area = self._slot_seconds_until(at)
        self._times.append(at)
        self._slots.append(slots)
        self._cumulative_s.append(area)

    def _slot_seconds_until(self, at: float) -> float:
        """Return the slot-seconds from the start to a time."""
        index = max(0, bisect_left(self._times, at) - 1)
        elapsed_s = at - self._times[index]
        return self._cumulative_s[index] + elapsed_s * self._slots[index]


def min_missed_starts(
    requests: Sequence[BoundedRequest], capacity: CapacityCurve
) -> int:
    """Return how many requests every schedule must start too late."""
    feasible = [r for r in requests if r.latest_start >= r.arrived_at]
    infeasible = len(requests) - len(feasible)
    if not feasible:
        return infeasible
    feasible.sort(key=lambda r: r.arrived_at)
    arrivals = [r.arrived_at for r in feasible]
    # Cumulative run time, to skip windows whose requests all fit.
    totals = [0.0, *accumulate(r.run_s for r in feasible)]
    last = max(r.latest_start for r in feasible)
    steps = int(last / GRID_S) + 2
    max_window_steps = int(LONGEST_WINDOW_S / GRID_S)
    # best[i] is the largest sum over disjoint windows up to grid point i.
    best = [0] * (steps + 1)
    for end in range(1, steps + 1):
        best[end] = best[end - 1]
        for start in range(max(0, end - max_window_steps), end):
            low = bisect_left(arrivals, start * GRID_S)
            high = bisect_left(arrivals, end * GRID_S)
            available_s = capacity.slot_seconds(start * GRID_S, end * GRID_S)
            if totals[high] - totals[low] <= available_s:
                continue
            missed = _min_missed_in_window(
                feasible[low:high], end * GRID_S, available_s
            )
            best[end] = max(best[end], best[start] + missed)
    return infeasible + best[steps]


def _min_missed_in_window(
    requests: Sequence[BoundedRequest], end: float, available_s: float
) -> int:
    """Return how many requests of a window do not fit into its slots."""
    needs: list[float] = []
    for request in requests:
        if request.latest_start > end:
            continue
        needs.append(min(request.run_s, end - request.latest_start))
    if sum(needs) <= available_s:
        return 0
    needs.sort()
    fitting = 0
    for need in needs:
        available_s -= need
        if available_s < 0:
            break
        fitting += 1
    return len(needs) - fitting
