"""What no schedule could do: a lower bound on missed starts.

Take any window of time.  A request that arrived in it, and that would have
to start in it, needs at least some slot time in it: its run, or what of the
run lies between its latest start and the window's end.  The slots of the
window hold only so much, so even the choice of those that need least
leaves some out.  No schedule does better, whether or not it knows the run
times beforehand, stops and moves runs, or leaves other work aside.  Requests
of windows that do not overlap are different ones, so the windows are chosen
to make the sum largest.

The bound can be lower than what is possible, never higher.
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

__all__ = ["BoundedRequest", "CapacityCurve", "missed_at_least"]

GRID_S: Final = 0.5
LONGEST_WINDOW_S: Final = 16.0


class BoundedRequest:
    """A request as the bound sees it."""

    __slots__ = ("arrived_at", "latest_start", "run_s")

    def __init__(
        self, arrived_at: float, latest_start: float, run_s: float
    ) -> None:
        self.arrived_at = arrived_at
        self.latest_start = latest_start
        self.run_s = run_s


class CapacityCurve:
    """The slots of a pool's working hosts over a trace.

    For starts alone, a span in which a host fails has no limit: a run that
    breaks off has started, and needs no more slot time.  A worker that fails
    all that it starts has no slots, as starts on it do not count.
    """

    __slots__ = ("_areas", "_broken", "_slots", "_times")

    def __init__(
        self, trace: Trace, pool_name: str, starts_only: bool = False
    ) -> None:
        hosts: dict[str, int] = {}
        for pool in trace.header.pools:
            if pool.name == pool_name:
                hosts = {e.host: pool.slots for e in pool.executors}
        up = set(hosts)
        self._times = [0.0]
        self._slots = [sum(hosts.values())]
        self._areas = [0.0]
        # Times at which runs broke off.
        self._broken: list[float] = []
        for event in trace.events:
            if isinstance(event, Arrival | Cancel):
                continue
            if event.host not in hosts:
                continue
            if isinstance(event, WorkerSlowed):
                hosts[event.host] = event.slots
            elif isinstance(event, HostBack):
                up.add(event.host)
            else:
                up.discard(event.host)
            if starts_only and isinstance(event, HostFailed):
                self._broken.append(event.at)
            self._step(event.at, sum(hosts[host] for host in up))

    def between(self, start: float, end: float) -> float:
        """Return the slot-seconds between two times."""
        for at in self._broken:
            if start <= at <= end:
                return inf
        return self._area(end) - self._area(start)

    def _step(self, at: float, slots: int) -> None:
        """Add a change of the number of slots."""
        area = self._area(at)
        self._times.append(at)
        self._slots.append(slots)
        self._areas.append(area)

    def _area(self, at: float) -> float:
        """Return the slot-seconds from the start to a time."""
        index = max(0, bisect_left(self._times, at) - 1)
        since_s = at - self._times[index]
        return self._areas[index] + since_s * self._slots[index]


def missed_at_least(
    requests: Sequence[BoundedRequest], capacity: CapacityCurve
) -> int:
    """Return how many requests every schedule starts too late."""
    possible = [r for r in requests if r.latest_start >= r.arrived_at]
    hopeless = len(requests) - len(possible)
    if not possible:
        return hopeless
    possible.sort(key=lambda r: r.arrived_at)
    arrivals = [r.arrived_at for r in possible]
    # Run seconds of all requests up to each, to pass over quiet windows.
    totals = [0.0, *accumulate(r.run_s for r in possible)]
    last = max(r.latest_start for r in possible)
    steps = int(last / GRID_S) + 2
    reach = int(LONGEST_WINDOW_S / GRID_S)
    # best[i] is the most that windows up to grid point i add up to.
    best = [0] * (steps + 1)
    for end in range(1, steps + 1):
        best[end] = best[end - 1]
        for start in range(max(0, end - reach), end):
            low = bisect_left(arrivals, start * GRID_S)
            high = bisect_left(arrivals, end * GRID_S)
            room_s = capacity.between(start * GRID_S, end * GRID_S)
            if totals[high] - totals[low] <= room_s:
                continue
            missed = _missed_in(possible[low:high], end * GRID_S, room_s)
            best[end] = max(best[end], best[start] + missed)
    return hopeless + best[steps]


def _missed_in(
    requests: Sequence[BoundedRequest], end: float, room_s: float
) -> int:
    """Return how many of a window's requests its slots can't hold."""
    needs: list[float] = []
    for request in requests:
        if request.latest_start > end:
            continue
        needs.append(min(request.run_s, end - request.latest_start))
    if sum(needs) <= room_s:
        return 0
    needs.sort()
    held = 0
    for need in needs:
        room_s -= need
        if room_s < 0:
            break
        held += 1
    return len(needs) - held
