"""Outlier ejection: removes failing hosts of a pool from load balancing.

For each host a cumulative sum (CUSUM; Page, "Continuous Inspection
Schemes", 1954) accumulates the evidence that the host fails nearly every job
rather than as many as the other hosts do: a failure adds log(bad / usual), a
success adds log((1 - bad) / (1 - usual)), and the sum is never below zero.
`usual` is the median failure rate of the other hosts.  Three failures in a
row eject a host of a healthy pool; if failures are common, more are needed;
if most hosts fail equally, the hosts are not the cause and none is ejected.

If a job fails on a second host, the job is the more likely cause: its earlier
failures are subtracted from the evidence and later ones are not added.  The
latency of failures has no influence.

Ejected hosts are probed half-open: after a backoff, one probe at a time.
Several successes in a row readmit the host; a failure doubles the backoff.

A floor always holds: a host is ejected only if at least `floor` hosts, and at
least the fraction that `max_ejected` leaves, stay in service.  When the pool
shrinks, ejected hosts are readmitted, the longest ejected first, until the
floor holds again.  Correlated failures (a rack, half the pool, a dependency
of all hosts) therefore can't empty a pool.

Limits: each daemon ejects hosts by its own evidence only.
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
# Maximum number of failing jobs that are tracked to distinguish a failing job
# from a failing host.
_MAX_FAILED_JOBS: Final = 4096
# Failure rate of a host that fails nearly every job.
_BAD_RATE: Final = 0.9
# Lower bound of the usual failure rate.
_MIN_RATE: Final = 0.02
# Weight of the newest outcome in the moving average of a host's failure rate.
_RATE_WEIGHT: Final = 0.1


class _Host:
    """The evidence, the ejection and the probes of one host."""

    __slots__ = (
        "backoff_s",
        "ejected_at",
        "evidence",
        "failed_jobs",
        "last_outcome_at",
        "next_probe_at",
        "probe_sent_at",
        "rate",
        "successes",
    )

    def __init__(self) -> None:
        # The cumulative sum, and the jobs whose failures it contains.
        self.evidence = 0.0
        self.failed_jobs: set[str] = set()
        # Moving average of the failure rate.
        self.rate = 0.0
        self.last_outcome_at = -math.inf
        self.ejected_at: float | None = None
        self.backoff_s = 0.0
        self.next_probe_at = 0.0
        self.probe_sent_at = -math.inf
        self.successes = 0

    def clear_evidence(self) -> None:
        """Reset the cumulative sum to zero."""
        self.evidence = 0.0
        self.failed_jobs.clear()


@EJECTORS.register(DEFAULT_EJECTOR)
class Ejector(HostEjector):
    """Ejects the failing hosts of one pool, as far as its floor allows.

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

    __slots__ = ("_evidence_by_job", "_floor", "_hosts", "_settings")

    def __init__(self, settings: EjectionSettings | None = None) -> None:
        self._settings = settings or EjectionSettings()
        self._hosts: dict[str, _Host] = {}
        self._floor = 0
        # For each recent failing job, oldest first: what it added to the
        # evidence against each host.
        self._evidence_by_job: OrderedDict[str, dict[str, float]] = (
            OrderedDict()
        )

    @property
    def ejected(self) -> list[str]:
        """The names of the ejected hosts."""
        names: list[str] = []
        for name, state in self._hosts.items():
            if state.ejected_at is not None:
                names.append(name)
        return sorted(names)

    def update_pool(self, hosts: Iterable[str], floor: int) -> None:
        """Replace the pool's hosts; readmit hosts as the floor requires."""
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
        """Record the end of a job on a host."""
        del rack, latency_s
        state = self._hosts.get(host)
        if state is None:
            return
        if state.ejected_at is not None:
            self._record_probe(state, ok, now)
            return
        if now - state.last_outcome_at > self._settings.window_s:
            state.clear_evidence()
        state.last_outcome_at = now
        if ok:
            self._add_success(host, state, job_key)
        else:
            self._add_failure(host, state, job_key)
        if self._has_enough_evidence(state) and self._can_eject():
            self._eject(state, now)

    def is_ejected(self, host: str, now: float) -> bool:
        """Whether the host gets no jobs except probes."""
        del now
        state = self._hosts.get(host)
        return state is not None and state.ejected_at is not None

    def probe_allowed(self, host: str, now: float) -> bool:
        """Whether an ejected host may be probed with one job now."""
        state = self._hosts.get(host)
        if state is None or state.ejected_at is None:
            return False
        if now < state.probe_sent_at + self._settings.probe_timeout_s:
            return False
        return now >= state.next_probe_at

    def start_probe(self, host: str, now: float) -> None:
        """Record that a probe was sent."""
        state = self._hosts.get(host)
        if state is not None:
            state.probe_sent_at = now

    def _add_success(self, host: str, state: _Host, job_key: str) -> None:
        """Lower the evidence against a host."""
        # The job can succeed, so its earlier failures count as the hosts'.
        self._evidence_by_job.pop(job_key, None)
        state.rate -= _RATE_WEIGHT * state.rate
        if state.evidence <= 0.0:
            # Skips the computation of the usual rate.
            state.clear_evidence()
            return
        usual = self._usual_rate(host)
        state.evidence += math.log((1.0 - _BAD_RATE) / (1.0 - usual))
        if state.evidence <= 0.0:
            state.clear_evidence()

    def _add_failure(self, host: str, state: _Host, job_key: str) -> None:
        """Raise the evidence against a host, or retract the job's failures."""
        added = self._evidence_by_job.setdefault(job_key, {})
        self._evidence_by_job.move_to_end(job_key)
        if len(self._evidence_by_job) > _MAX_FAILED_JOBS:
            self._evidence_by_job.popitem(last=False)
        if self._retract_failures(added, host, job_key):
            added[host] = 0.0
            return
        state.rate += _RATE_WEIGHT * (1.0 - state.rate)
        if host in added:
            # Repeated failures of one job on a host count once.
            return
        step = max(0.0, math.log(_BAD_RATE / self._usual_rate(host)))
        added[host] = step
        state.evidence += step
        state.failed_jobs.add(job_key)

    def _retract_failures(
        self, added: dict[str, float], host: str, job_key: str
    ) -> bool:
        """Retract a job's failures if it failed on another host in service."""
        has_failed_elsewhere = False
        for other, step in added.items():
            state = self._hosts.get(other)
            if other == host or state is None:
                continue
            if state.ejected_at is not None:
                continue
            has_failed_elsewhere = True
            state.evidence = max(0.0, state.evidence - step)
            state.failed_jobs.discard(job_key)
            added[other] = 0.0
        return has_failed_elsewhere

    def _usual_rate(self, host: str) -> float:
        """Return the median failure rate of the other hosts in service."""
        rates: list[float] = []
        for name, state in self._hosts.items():
            if name == host or state.ejected_at is not None:
                continue
            rates.append(state.rate)
        if not rates:
            return _MIN_RATE
        rates.sort()
        median = rates[(len(rates) - 1) // 2]
        return min(_BAD_RATE, max(_MIN_RATE, median))

    def _has_enough_evidence(self, state: _Host) -> bool:
        """Whether the evidence reaches the threshold, from several jobs."""
        if len(state.failed_jobs) < self._settings.min_jobs:
            return False
        return state.evidence >= self._settings.threshold

    def _can_eject(self) -> bool:
        """Whether the floor still holds with one host less."""
        return self._count_in_service() - 1 >= self._min_in_service()

    def _eject(self, state: _Host, now: float) -> None:
        """Eject a host."""
        state.ejected_at = now
        state.backoff_s = self._settings.backoff_s
        state.next_probe_at = now + state.backoff_s
        state.probe_sent_at = -math.inf
        state.successes = 0
        state.clear_evidence()

    def _readmit(self, state: _Host) -> None:
        """Return a host to service and reset its evidence."""
        state.ejected_at = None
        state.rate = 0.0
        state.clear_evidence()

    def _record_probe(self, state: _Host, ok: bool, now: float) -> None:
        """Record a probe's outcome; ignore jobs sent before the ejection."""
        if state.probe_sent_at == -math.inf:
            return
        state.probe_sent_at = -math.inf
        if not ok:
            state.successes = 0
            state.backoff_s = min(
                self._settings.backoff_max_s, state.backoff_s * 2
            )
            state.next_probe_at = now + state.backoff_s
            return
        state.successes += 1
        if state.successes >= self._settings.probe_successes:
            self._readmit(state)

    def _count_in_service(self) -> int:
        """Return the number of hosts that are not ejected."""
        return len(self._hosts) - len(self.ejected)

    def _min_in_service(self) -> int:
        """Return the minimum number of hosts in service."""
        count = len(self._hosts)
        kept = count - math.floor(count * self._settings.max_ejected)
        return min(count, max(1, self._floor, kept))

    def _keep_floor(self) -> None:
        """Readmit hosts, longest ejected first, until the floor holds."""
        minimum = self._min_in_service()
        while self._count_in_service() < minimum:
            longest = min(self.ejected, key=self._ejected_at)
            self._readmit(self._hosts[longest])

    def _ejected_at(self, name: str) -> float:
        """Return when a host was ejected."""
        at = self._hosts[name].ejected_at
        return math.inf if at is None else at
