"""Which workers are ejected because they fail what they are given.

For each host a cumulative sum (CUSUM; Page, "Continuous Inspection
Schemes", 1954) adds up the evidence that it fails nearly everything rather
than as often as the others do: a failure adds log(bad / usual), a success
log((1 - bad) / (1 - usual)), never below zero.  `usual` is the median of
the other hosts' failure rates.  So three failures in a row eject a host of
a sound pool, more are needed where failures are common, and where most
hosts fail alike, the cause is not the host and ejection would not help.

A job that fails on a second host says more about the job than about the
hosts: its failures are taken back and count no further.  Speed plays no
part: a fast failure and a slow one weigh the same.

An ejected host is tried again half-open: after a backoff, one probe at a
time; some successes in a row readmit it, a failure doubles the backoff.

A floor holds always: a host is ejected only while the pool keeps `floor`
other hosts and at least the part that `max_ejected` leaves, whatever
fails.  When the pool shrinks, ejected hosts are readmitted, the longest
ejected first, until the floor holds again.  So a correlated wave (a rack,
half the pool, a broken dependency of all hosts) can't empty a pool.

Limits: one daemon's evidence only; each daemon ejects for itself.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from lycheelug.host_ejectors import (
    EJECTORS,
    ConsecutiveEjector,
    EjectionSettings,
    HostEjector,
    NoEjector,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "DEFAULT_EJECTOR",
    "EJECTORS",
    "ConsecutiveEjector",
    "EjectionSettings",
    "Ejector",
    "HostEjector",
    "NoEjector",
]

DEFAULT_EJECTOR: Final = "cusum"
# Failing jobs remembered to tell a failing job from a failing host.
_MAX_FAILED_JOBS: Final = 4096
# Failure rate of a host that fails nearly everything.
_BAD_RATE: Final = 0.9
# Failure rates below this are taken for this.
_LEAST_RATE: Final = 0.02
# Weight of the newest outcome in a host's failure rate.
_RATE_WEIGHT: Final = 0.1


class _Host:
    """What is known of one host."""

    __slots__ = (
        "backoff_s",
        "ejected_at",
        "evidence",
        "failed_jobs",
        "last_at",
        "probe_at",
        "rate",
        "retry_at",
        "successes",
    )

    def __init__(self) -> None:
        # The cumulative sum, and the jobs that have added to it.
        self.evidence = 0.0
        self.failed_jobs: set[str] = set()
        # Moving average of failures.
        self.rate = 0.0
        self.last_at = -math.inf
        self.ejected_at: float | None = None
        self.backoff_s = 0.0
        self.retry_at = 0.0
        self.probe_at = -math.inf
        self.successes = 0

    def clear_evidence(self) -> None:
        """Start the sum again."""
        self.evidence = 0.0
        self.failed_jobs.clear()


@EJECTORS.register(DEFAULT_EJECTOR)
class Ejector(HostEjector):
    """Ejects failing hosts of one pool, never below its floor.

    >>> ejector = Ejector()
    >>> ejector.update_pool(["w1", "w2", "w3"], floor=2)
    >>> for number in range(3):
    ...     job = f"job{number}"
    ...     ejector.record("w1", "r1", job, False, 0.001, now=1.0)
    >>> ejector.is_ejected("w1", now=1.2)
    True
    >>> ejector.probe_allowed("w1", now=1.2)
    False
    >>> ejector.probe_allowed("w1", now=6.2)
    True
    """

    __slots__ = ("_failed_on", "_floor", "_hosts", "_settings")

    def __init__(self, settings: EjectionSettings | None = None) -> None:
        self._settings = settings or EjectionSettings()
        self._hosts: dict[str, _Host] = {}
        self._floor = 0
        # What each recent failing job added to the evidence against which
        # hosts, oldest job first.
        self._failed_on: OrderedDict[str, dict[str, float]] = OrderedDict()

    @property
    def ejected(self) -> list[str]:
        """Names of the hosts that are ejected."""
        names: list[str] = []
        for name, state in self._hosts.items():
            if state.ejected_at is not None:
                names.append(name)
        return sorted(names)

    def update_pool(self, hosts: Iterable[str], floor: int) -> None:
        """Take in the pool, readmitting hosts where the floor asks it."""
        names = set(hosts)
        self._floor = floor
        for name in list(self._hosts):
            if name not in names:
                del self._hosts[name]
        for name in names:
            self._hosts.setdefault(name, _Host())
        self._keep_floor()

    def record(
        self,
        host: str,
        rack: str,
        job_key: str,
        ok: bool,
        latency_s: float,
        now: float,
    ) -> None:
        """Take in the end of a job on a host."""
        del rack, latency_s
        state = self._hosts.get(host)
        if state is None:
            return
        if state.ejected_at is not None:
            self._end_probe(state, ok, now)
            return
        if now - state.last_at > self._settings.window_s:
            state.clear_evidence()
        state.last_at = now
        if ok:
            self._add_success(host, state, job_key)
        else:
            self._add_failure(host, state, job_key)
        if self._is_bad(state) and self._can_spare():
            self._eject(state, now)

    def is_ejected(self, host: str, now: float) -> bool:
        """Whether the host gets no work but probes."""
        del now
        state = self._hosts.get(host)
        return state is not None and state.ejected_at is not None

    def probe_allowed(self, host: str, now: float) -> bool:
        """Whether an ejected host may be tried with one job now."""
        state = self._hosts.get(host)
        if state is None or state.ejected_at is None:
            return False
        if now < state.probe_at + self._settings.probe_timeout_s:
            return False
        return now >= state.retry_at

    def start_probe(self, host: str, now: float) -> None:
        """Take in that the allowed probe was sent."""
        state = self._hosts.get(host)
        if state is not None:
            state.probe_at = now

    def _add_success(self, host: str, state: _Host, job_key: str) -> None:
        """Lower the evidence against a host."""
        # The job can run, so its earlier failures were the hosts'.
        self._failed_on.pop(job_key, None)
        state.rate -= _RATE_WEIGHT * state.rate
        if state.evidence <= 0.0:
            # Nothing to lower, and no need to know what is usual.
            state.clear_evidence()
            return
        usual = self._usual_rate(host)
        state.evidence += math.log((1.0 - _BAD_RATE) / (1.0 - usual))
        if state.evidence <= 0.0:
            state.clear_evidence()

    def _add_failure(self, host: str, state: _Host, job_key: str) -> None:
        """Raise the evidence against a host, or take it back."""
        added = self._failed_on.setdefault(job_key, {})
        self._failed_on.move_to_end(job_key)
        if len(self._failed_on) > _MAX_FAILED_JOBS:
            self._failed_on.popitem(last=False)
        if self._take_back(added, host, job_key):
            added[host] = 0.0
            return
        state.rate += _RATE_WEIGHT * (1.0 - state.rate)
        if host in added:
            # One job is evidence once, however often it fails here.
            return
        step = max(0.0, math.log(_BAD_RATE / self._usual_rate(host)))
        added[host] = step
        state.evidence += step
        state.failed_jobs.add(job_key)

    def _take_back(
        self, added: dict[str, float], host: str, job_key: str
    ) -> bool:
        """Take back a job's failures if it failed on another sound host."""
        elsewhere = False
        for other, step in added.items():
            state = self._hosts.get(other)
            if other == host or state is None:
                continue
            if state.ejected_at is not None:
                continue
            elsewhere = True
            state.evidence = max(0.0, state.evidence - step)
            state.failed_jobs.discard(job_key)
            added[other] = 0.0
        return elsewhere

    def _usual_rate(self, host: str) -> float:
        """Return the median failure rate of the other hosts in service."""
        rates: list[float] = []
        for name, state in self._hosts.items():
            if name == host or state.ejected_at is not None:
                continue
            rates.append(state.rate)
        if not rates:
            return _LEAST_RATE
        rates.sort()
        median = rates[(len(rates) - 1) // 2]
        return min(_BAD_RATE, max(_LEAST_RATE, median))

    def _is_bad(self, state: _Host) -> bool:
        """Whether the evidence suffices, from several jobs."""
        if len(state.failed_jobs) < self._settings.min_jobs:
            return False
        return state.evidence >= self._settings.threshold

    def _can_spare(self) -> bool:
        """Whether the pool can do with one host less."""
        return self._serving() - 1 >= self._least_serving()

    def _eject(self, state: _Host, now: float) -> None:
        """Eject a host."""
        state.ejected_at = now
        state.backoff_s = self._settings.backoff_s
        state.retry_at = now + state.backoff_s
        state.probe_at = -math.inf
        state.successes = 0
        state.clear_evidence()

    def _readmit(self, state: _Host) -> None:
        """Let a host serve again, with a clean record."""
        state.ejected_at = None
        state.rate = 0.0
        state.clear_evidence()

    def _end_probe(self, state: _Host, ok: bool, now: float) -> None:
        """Take in the outcome of a probe; that of an older job is void."""
        if state.probe_at == -math.inf:
            return
        state.probe_at = -math.inf
        if not ok:
            state.successes = 0
            state.backoff_s = min(
                self._settings.backoff_max_s, state.backoff_s * 2
            )
            state.retry_at = now + state.backoff_s
            return
        state.successes += 1
        if state.successes >= self._settings.probe_successes:
            self._readmit(state)

    def _serving(self) -> int:
        """Return the number of the pool's hosts that are not ejected."""
        return len(self._hosts) - len(self.ejected)

    def _least_serving(self) -> int:
        """Return how many hosts must stay in service."""
        count = len(self._hosts)
        kept = count - math.floor(count * self._settings.max_ejected)
        return min(count, max(1, self._floor, kept))

    def _keep_floor(self) -> None:
        """Readmit hosts until the floor holds, longest ejected first."""
        least = self._least_serving()
        while self._serving() < least:
            longest = min(self.ejected, key=self._ejected_at)
            self._readmit(self._hosts[longest])

    def _ejected_at(self, name: str) -> float:
        """Return when a host was ejected."""
        at = self._hosts[name].ejected_at
        return math.inf if at is None else at
