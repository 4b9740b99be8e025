"""A concurrency limit that stays where most good answers come a second.

In turn with staying, it tries a limit a quarter lower or higher for a while,
and moves there if more gets done.  It needs no least latency to compare
with.  Trials become rare while nothing changes, and come at once when the
latency at the present limit changes.

Latencies of a few dozen requests are noisy, so it needs some seconds of
saturated work to move.  Several daemons on one executor see one another's
trials as noise: with few slots for each, `most` is better set to the
daemon's share of the slots.
"""

from __future__ import annotations

from typing import Final

from lycheelug.limit_interface import LIMITS, Limit

__all__ = ["ProbeLimit"]

RATE_MEMORY: Final = 200
STAY_ENDS: Final = 32
PROBE_ENDS: Final = 64
MIN_ENDS: Final = 16
# A trial goes up or down by the limit divided by this.
STEPS_OF_LIMIT: Final = 4
MAX_INTERVAL: Final = 32
# A round's mean latency that changed by this factor calls for a trial.
MAX_CHANGE: Final = 1.8
GAIN: Final = 1.1
# A trial with so many ends is over early where the change is this large.
CLEAR_ENDS: Final = 24
CLEAR_GAIN: Final = 1.25
LEAST_S: Final = 1e-6


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

    def per_second(self, at_once: float) -> float:
        """Return the rate with so many requests at once."""
        return at_once * self._ok_share / max(self._latency_s, LEAST_S)


@LIMITS.register("probe")
class ProbeLimit(Limit):
    """Tries other limits for a while, and stays where most gets done.

    >>> limit = ProbeLimit(slots=8, most=64)
    >>> limit.limit(now=0.0)
    8
    """

    __slots__ = (
        "_direction",
        "_ends",
        "_in_flight",
        "_interval",
        "_most",
        "_others",
        "_probe",
        "_probe_rate",
        "_round_rate",
        "_rounds_left",
        "_stay",
        "_stay_rate",
    )

    def __init__(self, slots: int, most: int) -> None:
        self._most = most
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
        self._others = 0.0

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
        if self._probe:
            if self._ends < PROBE_ENDS and not self._is_clear():
                return
        elif self._ends < STAY_ENDS:
            return
        self._ends = 0
        if self._probe:
            self._judge_probe()
        else:
            self._end_round()
        self._round_rate = _Rate()

    def on_other_daemons(self, in_flight: float) -> None:
        """Note how many requests other daemons have on the executor.

        A limit is judged by what the executor does for all daemons: each
        one's own rate grows with its limit at the cost of the others.
        """
        self._others = in_flight

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

    def _is_clear(self) -> bool:
        """Whether a trial can be judged before its time."""
        if self._probe_rate.count < CLEAR_ENDS:
            return False
        change = self._gain()
        return not 1.0 / CLEAR_GAIN < change < CLEAR_GAIN

    def _gain(self) -> float:
        """Return what gets done at the tried limit by what did before."""
        others = self._others
        tried = self._probe_rate.per_second(self._probe + others)
        stayed = self._stay_rate.per_second(self._stay + others)
        return tried / max(stayed, LEAST_S)

    def _judge_probe(self) -> None:
        """Stay at the tried limit if more gets done there."""
        if self._probe_rate.count < MIN_ENDS:
            self._end_probe()
            return
        # Where as much gets done with fewer at once, fewer are better.
        wanted = GAIN if self._direction > 0 else 1.0 / GAIN
        if self._gain() <= wanted:
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
