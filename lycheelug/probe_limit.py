"""A concurrency limit that climbs towards the highest throughput.

The limit alternates between the current value and trials of a value a quarter
lower or higher.  It moves to a higher value if the throughput (successful
answers per second) grows enough, and to a lower one if the throughput hardly
falls.  Unlike the limits that compare latencies it needs no minimum latency as
a baseline.  The interval between trials grows while nothing
changes, and is reset when the latency at the current limit changes.

Latencies of a few dozen requests are noisy, so a change takes some seconds of
saturated load.  Several daemons on one executor see one another's trials as
noise: if each has few slots, set `max_limit` to the daemon's share of the
slots.
"""

from __future__ import annotations

from typing import Final

from lycheelug.limit_interface import LIMITS, Limit

__all__ = ["ProbeLimit"]

# Number of requests over which the averages are taken.
RATE_MEMORY: Final = 200
# Ended requests per round: at the current limit, and in a trial.
ROUND_ENDS: Final = 32
PROBE_ENDS: Final = 64
# Minimum number of latencies for a decision.
MIN_ENDS: Final = 16
# A trial changes the limit by the current limit divided by this.
STEP_DIVISOR: Final = 4
# Maximum number of rounds between trials.
MAX_INTERVAL: Final = 32
# If the mean latency of a round changes by this factor, a trial starts.
MAX_CHANGE: Final = 1.8
# A higher limit is kept if the throughput grows by more than this factor, a
# lower one if it shrinks by less than this factor.
GAIN: Final = 1.1
# A trial with this many latencies ends early if the throughput ratio is this
# large.
DECISIVE_ENDS: Final = 24
DECISIVE_GAIN: Final = 1.25
# Lower bound of divisors.
MIN_DIVISOR: Final = 1e-6


class _Rate:
    """The mean latency and success rate at one limit, for its throughput."""

    __slots__ = ("_count", "_latency_s", "_ok_share")

    def __init__(self) -> None:
        self._count = 0
        self._latency_s = 0.0
        self._ok_share = 1.0

    @property
    def count(self) -> int:
        """The number of latencies in the averages."""
        return self._count

    @property
    def latency_s(self) -> float:
        """The mean latency."""
        return self._latency_s

    def record(self, latency_s: float, ok: bool) -> None:
        """Add the end of one request; old ones lose weight."""
        self._count = min(self._count + 1, RATE_MEMORY)
        weight = 1.0 / self._count
        self._latency_s += (latency_s - self._latency_s) * weight
        self._ok_share += ((1.0 if ok else 0.0) - self._ok_share) * weight

    def per_second(self, concurrency: float) -> float:
        """Return the successful answers per second at a concurrency."""
        return concurrency * self._ok_share / max(self._latency_s, MIN_DIVISOR)


@LIMITS.register("probe")
class ProbeLimit(Limit):
    """Tries other limits for a while and keeps the one with most throughput.

    >>> limit = ProbeLimit(slots=8, max_limit=64)
    >>> limit.limit(now=0.0)
    8
    """

    __slots__ = (
        "_current",
        "_current_rate",
        "_direction",
        "_ended",
        "_in_flight",
        "_interval",
        "_max_limit",
        "_other_requests",
        "_probe",
        "_probe_rate",
        "_round_rate",
        "_rounds_left",
    )

    def __init__(self, slots: int, max_limit: int) -> None:
        self._max_limit = max_limit
        self._current = slots
        self._current_rate = _Rate()
        # The limit that is being tried, or 0 if there is no trial.
        self._probe = 0
        self._probe_rate = _Rate()
        # Latencies of the current round.
        self._round_rate = _Rate()
        self._direction = -1
        # Rounds between trials: starts at 1 and doubles after each trial
        # without improvement.
        self._interval = 1
        self._rounds_left = 1
        self._in_flight = 0
        self._ended = 0
        self._other_requests = 0.0

    def limit(self, now: float) -> int:
        """Return the maximum number of concurrent requests."""
        return self._probe or self._current

    def on_start(self, now: float) -> None:
        """Record the start of a request."""
        self._in_flight += 1

    def on_finish(self, latency_s: float, ok: bool, now: float) -> None:
        """Record the end of a request, and evaluate the round at its end."""
        # Latencies below the limit say nothing about the limit.
        if self._in_flight >= self.limit(now):
            rate = self._probe_rate if self._probe else self._current_rate
            rate.record(latency_s, ok)
            self._round_rate.record(latency_s, ok)
        self._in_flight = max(0, self._in_flight - 1)
        self._ended += 1
        if self._probe:
            if self._ended < PROBE_ENDS and not self._is_probe_decisive():
                return
        elif self._ended < ROUND_ENDS:
            return
        self._ended = 0
        if self._probe:
            self._evaluate_probe()
        else:
            self._end_round()
        self._round_rate = _Rate()

    def on_other_daemons(self, in_flight: float) -> None:
        """Record how many requests of other daemons run on the executor.

        A limit is evaluated by the executor's throughput for all daemons:
        the throughput of one daemon always grows with its limit, at the
        cost of the others.
        """
        self._other_requests = in_flight

    def _end_round(self) -> None:
        """Start a trial if one is due or the latency has changed."""
        if self._round_rate.count < MIN_ENDS:
            return
        ratio = self._round_rate.latency_s / max(
            self._current_rate.latency_s, MIN_DIVISOR
        )
        if not 1.0 / MAX_CHANGE < ratio < MAX_CHANGE:
            self._current_rate = self._round_rate
            self._interval = 1
            self._rounds_left = 1
        self._rounds_left -= 1
        if self._rounds_left <= 0:
            self._start_probe()

    def _start_probe(self) -> None:
        """Start a trial of the next higher or lower limit."""
        step = max(1, self._current // STEP_DIVISOR)
        probe = self._current + self._direction * step
        self._probe = min(max(1, probe), self._max_limit)
        self._probe_rate = _Rate()
        if self._probe == self._current:
            self._end_probe()

    def _is_probe_decisive(self) -> bool:
        """Whether the result of a trial is clear before its end."""
        if self._probe_rate.count < DECISIVE_ENDS:
            return False
        ratio = self._gain()
        return not 1.0 / DECISIVE_GAIN < ratio < DECISIVE_GAIN

    def _gain(self) -> float:
        """Return the ratio of the throughput in the trial to that before."""
        other_requests = self._other_requests
        probe_throughput = self._probe_rate.per_second(
            self._probe + other_requests
        )
        current_throughput = self._current_rate.per_second(
            self._current + other_requests
        )
        return probe_throughput / max(current_throughput, MIN_DIVISOR)

    def _evaluate_probe(self) -> None:
        """Keep the tried limit if its throughput is sufficient."""
        if self._probe_rate.count < MIN_ENDS:
            self._end_probe()
            return
        # At equal throughput, the lower concurrency is better.
        min_gain = GAIN if self._direction > 0 else 1.0 / GAIN
        if self._gain() <= min_gain:
            self._interval = min(2 * self._interval, MAX_INTERVAL)
            self._end_probe()
            return
        self._current = self._probe
        self._current_rate = self._probe_rate
        self._interval = 1
        self._start_probe()

    def _end_probe(self) -> None:
        """Return to the previous limit; the next trial goes the other way."""
        self._probe = 0
        self._direction = -self._direction
        self._rounds_left = self._interval
