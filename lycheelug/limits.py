"""Limits of how many requests run at once on one executor.

An executor whose requests slow one another down does most useful work at
some number of requests at once, which its configured slots tell only while
nothing else uses the worker.  An adaptive limit finds that number from the
latencies that the daemon measures itself:

* `aimd` adds one a round, and backs off by a factor when a round's mean
  latency is far above the least one seen;
* `vegas` keeps the number of requests that wait inside the executor, by
  the ratio of the least and the present latency, between two bounds;
* `gradient` multiplies by that same ratio and allows for a short queue;
* `probe` tries a limit a quarter lower or higher for a while and stays where
  more good answers come a second, which needs no least latency.

`none` and `fixed` are the baselines.  A limit knows only its own daemon's
requests; it takes those of others as a change of the executor's speed.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from math import inf, sqrt
from typing import TYPE_CHECKING, Final

from lycheelug.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "LIMITS",
    "AimdLimit",
    "FixedLimit",
    "GradientLimit",
    "Limit",
    "NoLimit",
    "ProbeLimit",
    "VegasLimit",
]

# Ends of requests in a round: at least so many, and so many for each
# request that may run at once.
ROUND_ENDS: Final = 32
ROUND_ENDS_PER_LIMIT: Final = 4
# The least latency rises by this factor a round, so that it is forgotten.
BASE_DRIFT: Final = 1.01
AIMD_TOLERANCE: Final = 1.5
AIMD_BACKOFF: Final = 0.85
VEGAS_LEAST_QUEUED: Final = 1.0
VEGAS_MOST_QUEUED: Final = 2.5
GRADIENT_TOLERANCE: Final = 1.2
GRADIENT_SMOOTHING: Final = 0.5
LEAST_GRADIENT: Final = 0.5
RATE_MEMORY: Final = 200
PROBE_ENDS: Final = 64
MIN_ENDS: Final = 16
# A trial goes up or down by the limit divided by this.
STEPS_OF_LIMIT: Final = 4
MAX_INTERVAL: Final = 16
# A round's mean latency that changed by this factor calls for a trial.
MAX_CHANGE: Final = 1.4
GAIN: Final = 1.05
LEAST_S: Final = 1e-6
MAX_FAILED_SHARE: Final = 0.5


class Limit(ABC):
    """How many requests may run at once on an executor.

    A daemon asks before each start, and reports each start and end.
    """

    __slots__ = ()

    @abstractmethod
    def limit(self, now: float) -> int:
        """Return how many may run at once; at least one."""

    @abstractmethod
    def on_start(self, now: float) -> None:
        """Note a start."""

    @abstractmethod
    def on_finish(self, latency_s: float, ok: bool, now: float) -> None:
        """Note an end, with the time since its start."""


# Limits by the name that settings give; each makes the limit of an executor
# from its slots and connections.
LIMITS: Final[Registry[Callable[[int, int], Limit]]] = Registry("limit")


@LIMITS.register("none")
class NoLimit(Limit):
    """As many as there are connections."""

    __slots__ = ("_connections",)

    def __init__(self, slots: int, connections: int) -> None:
        self._connections = connections

    def limit(self, now: float) -> int:
        """Return how many may run at once."""
        return self._connections

    def on_start(self, now: float) -> None:
        """Note a start."""

    def on_finish(self, latency_s: float, ok: bool, now: float) -> None:
        """Note an end."""


@LIMITS.register("fixed")
class FixedLimit(NoLimit):
    """As many as the executor's configured slots."""

    __slots__ = ("_slots",)

    def __init__(self, slots: int, connections: int) -> None:
        super().__init__(slots, connections)
        self._slots = slots

    def limit(self, now: float) -> int:
        """Return how many may run at once."""
        return self._slots


class _RoundLimit(Limit):
    """A limit that is changed after each round of ended requests."""

    __slots__ = (
        "_base_s",
        "_ends",
        "_failures",
        "_in_flight",
        "_limit",
        "_most",
        "_peak",
        "_sum_s",
    )

    def __init__(self, slots: int, connections: int) -> None:
        self._peak = 0
        self._limit = float(slots)
        self._most = connections
        self._in_flight = 0
        # The least mean latency of a round so far.
        self._base_s = inf
        self._start_round()

    def limit(self, now: float) -> int:
        """Return how many may run at once."""
        return int(self._limit)

    def on_start(self, now: float) -> None:
        """Note a start."""
        self._in_flight += 1
        self._peak = max(self._peak, self._in_flight)

    def on_finish(self, latency_s: float, ok: bool, now: float) -> None:
        """Note an end; at the end of a round, change the limit."""
        self._in_flight = max(0, self._in_flight - 1)
        if ok:
            self._ends += 1
            self._sum_s += latency_s
        else:
            self._failures += 1
        wanted = max(ROUND_ENDS, ROUND_ENDS_PER_LIMIT * int(self._limit))
        if self._ends + self._failures < wanted:
            return
        self._end_round()
        self._start_round()

    def _start_round(self) -> None:
        """Forget the last round."""
        self._ends = 0
        self._failures = 0
        self._sum_s = 0.0
        self._peak = self._in_flight

    def _end_round(self) -> None:
        """Work out the next limit."""
        total = self._ends + self._failures
        if self._failures > MAX_FAILED_SHARE * total:
            self._set(self._limit * AIMD_BACKOFF)
            return
        mean_s = self._sum_s / max(1, self._ends)
        self._base_s = min(self._base_s * BASE_DRIFT, mean_s)
        wanted = self._next_limit(mean_s / self._base_s)
        # A limit that was not reached says nothing about a higher one.
        if wanted > self._limit and self._peak < int(self._limit):
            return
        self._set(wanted)

    def _set(self, wanted: float) -> None:
        """Change the limit within its bounds."""
        self._limit = min(max(1.0, wanted), float(self._most))

    @abstractmethod
    def _next_limit(self, slowdown: float) -> float:
        """Return the wanted limit; `slowdown` is latency by the least."""


@LIMITS.register("aimd")
class AimdLimit(_RoundLimit):
    """Additive increase, multiplicative decrease."""

    __slots__ = ()

    def _next_limit(self, slowdown: float) -> float:
        if slowdown > AIMD_TOLERANCE:
            return self._limit * AIMD_BACKOFF
        return self._limit + 1.0


@LIMITS.register("vegas")
class VegasLimit(_RoundLimit):
    """Keeps the requests that wait inside the executor few."""

    __slots__ = ()

    def _next_limit(self, slowdown: float) -> float:
        queued = self._limit * (1.0 - 1.0 / slowdown)
        if queued > VEGAS_MOST_QUEUED:
            return self._limit - 1.0
        if queued < VEGAS_LEAST_QUEUED:
            return self._limit + 1.0
        return self._limit


@LIMITS.register("gradient")
class GradientLimit(_RoundLimit):
    """Follows the ratio of the least and the present latency."""

    __slots__ = ()

    def _next_limit(self, slowdown: float) -> float:
        gradient = min(1.0, GRADIENT_TOLERANCE / slowdown)
        gradient = max(LEAST_GRADIENT, gradient)
        wanted = self._limit * gradient + sqrt(self._limit) / 2
        change = wanted - self._limit
        return self._limit + GRADIENT_SMOOTHING * change


class _Rate:
    """Good answers a second at one number of requests at once."""

    __slots__ = ("_count", "_latency_s", "_ok_share")

    def __init__(self) -> None:
        self._count = 0
        self._latency_s = 0.0
        self._ok_share = 1.0

    @property
    def count(self) -> int:
        """How many ends the rate stands on."""
        return self._count

    @property
    def latency_s(self) -> float:
        """The mean latency."""
        return self._latency_s

    def record(self, latency_s: float, ok: bool) -> None:
        """Count one end; old ones fade."""
        self._count = min(self._count + 1, RATE_MEMORY)
        weight = 1.0 / self._count
        self._latency_s += (latency_s - self._latency_s) * weight
        self._ok_share += ((1.0 if ok else 0.0) - self._ok_share) * weight

    def per_second(self, at_once: int) -> float:
        """Return the rate with so many requests at once."""
        return at_once * self._ok_share / max(self._latency_s, LEAST_S)


@LIMITS.register("probe")
class ProbeLimit(Limit):
    """Tries other limits for a while, and stays where most gets done.

    >>> limit = ProbeLimit(slots=8, connections=64)
    >>> limit.limit(now=0.0)
    8
    """

    __slots__ = (
        "_direction",
        "_ends",
        "_in_flight",
        "_interval",
        "_most",
        "_probe",
        "_probe_rate",
        "_round_rate",
        "_rounds_left",
        "_stay",
        "_stay_rate",
    )

    def __init__(self, slots: int, connections: int) -> None:
        self._most = connections
        self._stay = slots
        self._stay_rate = _Rate()
        # The limit that is being tried, or 0.
        self._probe = 0
        self._probe_rate = _Rate()
        # The present round's ends at the limit.
        self._round_rate = _Rate()
        self._direction = -1
        # Rounds between trials: few at first, more while nothing changes.
        self._interval = 1
        self._rounds_left = 1
        self._in_flight = 0
        self._ends = 0

    def limit(self, now: float) -> int:
        """Return how many may run at once."""
        return self._probe or self._stay

    def on_start(self, now: float) -> None:
        """Note a start."""
        self._in_flight += 1

    def on_finish(self, latency_s: float, ok: bool, now: float) -> None:
        """Note an end; at the end of a round, judge and go on."""
        # Ends below the limit say nothing about it.
        if self._in_flight >= self.limit(now):
            rate = self._probe_rate if self._probe else self._stay_rate
            rate.record(latency_s, ok)
            self._round_rate.record(latency_s, ok)
        self._in_flight = max(0, self._in_flight - 1)
        self._ends += 1
        if self._ends < (PROBE_ENDS if self._probe else ROUND_ENDS):
            return
        self._ends = 0
        if self._probe:
            self._judge_probe()
        else:
            self._end_round()
        self._round_rate = _Rate()

    def _end_round(self) -> None:
        """Start a trial when it is time, or when the latency has changed."""
        if self._round_rate.count < MIN_ENDS:
            return
        change = self._round_rate.latency_s / max(
            self._stay_rate.latency_s, LEAST_S
        )
        if not 1.0 / MAX_CHANGE < change < MAX_CHANGE:
            self._stay_rate = self._round_rate
            self._interval = 1
            self._rounds_left = 1
        self._rounds_left -= 1
        if self._rounds_left <= 0:
            self._start_probe()

    def _start_probe(self) -> None:
        """Try the next limit up or down."""
        step = max(1, self._stay // STEPS_OF_LIMIT)
        probe = self._stay + self._direction * step
        self._probe = min(max(1, probe), self._most)
        self._probe_rate = _Rate()
        if self._probe == self._stay:
            self._end_probe()

    def _judge_probe(self) -> None:
        """Stay at the tried limit if more gets done there."""
        if self._probe_rate.count < MIN_ENDS:
            self._end_probe()
            return
        tried = self._probe_rate.per_second(self._probe)
        stayed = self._stay_rate.per_second(self._stay)
        # Where as much gets done with fewer at once, fewer are better.
        wanted = stayed * GAIN if self._direction > 0 else stayed / GAIN
        if tried <= wanted:
            self._interval = min(2 * self._interval, MAX_INTERVAL)
            self._end_probe()
            return
        self._stay = self._probe
        self._stay_rate = self._probe_rate
        self._interval = 1
        self._start_probe()

    def _end_probe(self) -> None:
        """Go back, and look the other way next time."""
        self._probe = 0
        self._direction = -self._direction
        self._rounds_left = self._interval
