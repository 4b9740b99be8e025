"""Which workers are ejected because they fail what they are given.

Each host keeps a window of its recent outcomes.  It is ejected when enough
independent jobs failed on it lately and failures prevail among its
outcomes.  A job that failed on another host as well says more about the
job than about the host, and does not count.  Speed plays no part: a fast
failure and a slow one weigh the same.

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
from collections import OrderedDict, deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["EjectionSettings", "Ejector"]

_WINDOW_S: Final = 30.0
_WINDOW_OUTCOMES: Final = 20
_MIN_JOBS: Final = 3
_MIN_RATIO: Final = 0.6
_BACKOFF_S: Final = 5.0
_BACKOFF_MAX_S: Final = 120.0
_PROBE_TIMEOUT_S: Final = 30.0
_PROBE_SUCCESSES: Final = 2
_MAX_EJECTED: Final = 0.5
# Failing jobs remembered to tell a failing job from a failing host.
_MAX_FAILED_JOBS: Final = 4096


class EjectionSettings:
    """Thresholds and times of ejection."""

    __slots__ = (
        "backoff_max_s",
        "backoff_s",
        "max_ejected",
        "min_jobs",
        "min_ratio",
        "probe_successes",
        "probe_timeout_s",
        "window_outcomes",
        "window_s",
    )

    def __init__(
        self,
        window_s: float = _WINDOW_S,
        window_outcomes: int = _WINDOW_OUTCOMES,
        min_jobs: int = _MIN_JOBS,
        min_ratio: float = _MIN_RATIO,
        backoff_s: float = _BACKOFF_S,
        backoff_max_s: float = _BACKOFF_MAX_S,
        probe_timeout_s: float = _PROBE_TIMEOUT_S,
        probe_successes: int = _PROBE_SUCCESSES,
        max_ejected: float = _MAX_EJECTED,
    ) -> None:
        # Outcomes older than this, or beyond this many, are dropped.
        self.window_s = window_s
        self.window_outcomes = window_outcomes
        # Independent jobs that must have failed.
        self.min_jobs = min_jobs
        # Part of the window's outcomes that must be failures.
        self.min_ratio = min_ratio
        # Time to the first probe, doubled by each failed one.
        self.backoff_s = backoff_s
        self.backoff_max_s = backoff_max_s
        # After this a probe without outcome no longer blocks the next.
        self.probe_timeout_s = probe_timeout_s
        # Successful probes in a row that readmit a host.
        self.probe_successes = probe_successes
        # Largest part of the pool that is ever ejected.
        self.max_ejected = max_ejected


class _Sample:
    """The end of one job on a host."""

    __slots__ = ("at", "job_key", "ok")

    def __init__(self, at: float, job_key: str, ok: bool) -> None:
        self.at = at
        self.job_key = job_key
        self.ok = ok


class _Host:
    """What is known of one host."""

    __slots__ = (
        "backoff_s",
        "ejected_at",
        "probe_at",
        "rack",
        "retry_at",
        "samples",
        "successes",
    )

    def __init__(self, rack: str, outcomes: int) -> None:
        self.rack = rack
        self.samples: deque[_Sample] = deque(maxlen=outcomes)
        self.ejected_at: float | None = None
        self.backoff_s = 0.0
        self.retry_at = 0.0
        self.probe_at = -math.inf
        self.successes = 0


class Ejector:
    """Ejects failing hosts of one pool, never below its floor.

    >>> ejector = Ejector(EjectionSettings(min_jobs=2))
    >>> ejector.update_pool(["w1", "w2", "w3"], floor=2)
    >>> ejector.record("w1", "r1", "job1", False, 0.001, now=1.0)
    >>> ejector.record("w1", "r1", "job2", False, 0.001, now=1.1)
    >>> ejector.is_ejected("w1", now=1.2)
    True
    >>> ejector.probe_allowed("w1", now=1.2)
    False
    >>> ejector.probe_allowed("w1", now=6.2)
    True
    """

    __slots__ = ("_failed_on", "_floor", "_hosts", "_pool", "_settings")

    def __init__(self, settings: EjectionSettings | None = None) -> None:
        self._settings = settings or EjectionSettings()
        self._hosts: dict[str, _Host] = {}
        self._pool: frozenset[str] = frozenset()
        self._floor = 0
        # Hosts on which each recent failing job failed, oldest job first.
        self._failed_on: OrderedDict[str, set[str]] = OrderedDict()

    @property
    def ejected(self) -> list[str]:
        """Names of the hosts that are ejected."""
        return sorted(
            name
            for name in self._pool
            if name in self._hosts and self._hosts[name].ejected_at is not None
        )

    def update_pool(self, hosts: Iterable[str], floor: int) -> None:
        """Take in the pool's hosts that take work, and its floor.

        Hosts that drain, leave or are gone must not be among them, so
        that the floor is kept by hosts that can work.
        """
        self._pool = frozenset(hosts)
        self._floor = floor
        for name in list(self._hosts):
            if name not in self._pool:
                del self._hosts[name]
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
        """Take in the end of a job on a host.

        A refusal for want of slots, and a fault of the caller's, are no
        failures of the host and are not recorded.
        """
        del latency_s
        if host not in self._pool:
            return
        state = self._hosts.get(host)
        if state is None:
            state = _Host(rack, self._settings.window_outcomes)
            self._hosts[host] = state
        self._note_job(job_key, host, ok)
        if state.ejected_at is not None:
            self._end_probe(state, ok, now)
            return
        state.samples.append(_Sample(now, job_key, ok))
        if not ok and self._fails_all(host, state, now):
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

    def _note_job(self, job_key: str, host: str, ok: bool) -> None:
        """Remember on which hosts a job failed."""
        if ok:
            # It can run, so its earlier failures were the hosts'.
            self._failed_on.pop(job_key, None)
            return
        self._failed_on.setdefault(job_key, set()).add(host)
        self._failed_on.move_to_end(job_key)
        if len(self._failed_on) > _MAX_FAILED_JOBS:
            self._failed_on.popitem(last=False)

    def _fails_all(self, host: str, state: _Host, now: float) -> bool:
        """Whether failures of independent jobs prevail on the host."""
        failed_jobs: set[str] = set()
        failures = 0
        successes = 0
        for sample in state.samples:
            if now - sample.at > self._settings.window_s:
                continue
            if sample.ok:
                successes += 1
                continue
            if self._failed_elsewhere(sample.job_key, host):
                continue
            failures += 1
            failed_jobs.add(sample.job_key)
        if len(failed_jobs) < self._settings.min_jobs:
            return False
        ratio = failures / (failures + successes)
        return ratio >= self._settings.min_ratio

    def _failed_elsewhere(self, job_key: str, host: str) -> bool:
        """Whether the job failed on a host that is not ejected, too."""
        for other in self._failed_on.get(job_key, ()):
            if other == host:
                continue
            state = self._hosts.get(other)
            if state is not None and state.ejected_at is None:
                return True
        return False

    def _eject(self, state: _Host, now: float) -> None:
        """Eject a host if the pool can spare it."""
        if self._serving() - 1 < self._least_serving():
            return
        state.ejected_at = now
        state.backoff_s = self._settings.backoff_s
        state.retry_at = now + state.backoff_s
        state.successes = 0
        state.samples.clear()

    def _end_probe(self, state: _Host, ok: bool, now: float) -> None:
        """Take in the outcome of a probe, or of a job sent before."""
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
            state.ejected_at = None

    def _serving(self) -> int:
        """Return the number of the pool's hosts that are not ejected."""
        return len(self._pool) - len(self.ejected)

    def _least_serving(self) -> int:
        """Return how many hosts must stay in service."""
        kept = len(self._pool) - math.floor(
            len(self._pool) * self._settings.max_ejected
        )
        return min(len(self._pool), max(1, self._floor, kept))

    def _keep_floor(self) -> None:
        """Readmit hosts until the floor holds, longest ejected first."""
        least = self._least_serving()
        while self._serving() < least:
            names = self.ejected
            longest = min(names, key=self._ejected_at)
            self._hosts[longest].ejected_at = None

    def _ejected_at(self, name: str) -> float:
        """Return when a host was ejected."""
        at = self._hosts[name].ejected_at
        return math.inf if at is None else at
