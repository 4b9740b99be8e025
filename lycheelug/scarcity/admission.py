"""Decides whether a job is accepted, and when to retry a rejected one.

A job is rejected only if even the best case is too late for it to be of any
value: nothing else arrives, nothing fails, and the hosts that were ordered
are there already.  So no size of job is rejected as such.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import Final
from zlib import crc32

__all__ = ["FirstSends", "PoolRoom", "find_retry_after_s"]

# Limits of the time after which a rejected caller should retry.
RETRY_AFTER_MIN_S: Final = 1
RETRY_AFTER_MAX_S: Final = 30
# Retries are spread over this many seconds by the job's id.
SPREAD_S: Final = 3
# How long, and of how many jobs, the first rejected submission is remembered.
REMEMBERED_S: Final = 60.0
REMEMBERED_MAX: Final = 10_000


class PoolRoom:
    """The rate of a pool, and the work that waits there.

    Work is in thousandths of a core times milliseconds.
    """

    __slots__ = ("_in_time", "_late", "free_cpu", "rate")

    def __init__(self, rate: float, free_cpu: float) -> None:
        # CPU for short tasks, in thousandths of a core, and how much of it
        # is free.
        self.rate = rate
        self.free_cpu = free_cpu
        # Waiting work that can be in time, with the deadlines of the jobs.
        self._in_time: list[tuple[float, float]] = []
        # Waiting work of jobs that can only be late.
        self._late = 0.0

    def add_in_time(self, objective_ms: float, work: float) -> None:
        """Add the work of a job that can be in time."""
        self._in_time.append((objective_ms, work))

    def add_late(self, work: float) -> None:
        """Add the work of a job that can only be late."""
        self._late += work

    def wait_in_time_ms(self, objective_ms: float) -> float:
        """Return how long a new job with this deadline waits at least."""
        ahead = 0.0
        for earlier_ms, work in self._in_time:
            if earlier_ms <= objective_ms:
                ahead += work
        return self._wait_ms(ahead)

    def wait_late_ms(self) -> float:
        """Return how long a job waits at least that goes behind all."""
        return self._wait_ms(self._late + sum(w for _, w in self._in_time))

    def _wait_ms(self, ahead: float) -> float:
        """Return how long it takes to start some work."""
        if self.rate <= 0 or self.free_cpu > 0:
            return 0.0
        return ahead / self.rate


def find_retry_after_s(
    room: PoolRoom,
    job_id: str,
    unix_ms: float,
    objective_ms: float,
    late_limit_ms: float,
    remaining_ms: float,
) -> int | None:
    """Return after how many seconds to retry; None if a job is accepted.

    `objective_ms` and `late_limit_ms` are the Unix times until which the job
    is in time and of value; `remaining_ms` is how long it takes once it
    starts.
    """
    wait_ms = room.wait_in_time_ms(objective_ms)
    if unix_ms + wait_ms + remaining_ms <= objective_ms:
        return None
    wait_ms = room.wait_late_ms()
    if not wait_ms or unix_ms + wait_ms + remaining_ms <= late_limit_ms:
        return None
    retry_s = math.ceil(wait_ms / 1000) + crc32(job_id.encode()) % SPREAD_S
    return max(RETRY_AFTER_MIN_S, min(RETRY_AFTER_MAX_S, retry_s))


class FirstSends:
    """When rejected jobs were first submitted.

    A caller that retries has been waiting since then: its objective is
    counted from there, and it goes before jobs that came later.

    >>> sends = FirstSends()
    >>> sends.record("a", 1000, now=1.0)
    >>> sends.record("a", 3000, now=3.0)
    >>> sends.find("a", 4000, now=4.0), sends.find("b", 4000, now=4.0)
    (1000, 4000)
    """

    __slots__ = ("_sends",)

    def __init__(self) -> None:
        # Unix times in milliseconds and local times, oldest first.
        self._sends: OrderedDict[str, tuple[int, float]] = OrderedDict()

    def record(self, job_id: str, accepted_ms: int, now: float) -> None:
        """Record a rejected submission."""
        self._drop_expired(now)
        if job_id not in self._sends:
            self._sends[job_id] = (accepted_ms, now)
        if len(self._sends) > REMEMBERED_MAX:
            self._sends.popitem(last=False)

    def find(self, job_id: str, accepted_ms: int, now: float) -> int:
        """Return the time of a job's first submission."""
        self._drop_expired(now)
        first_ms, _ = self._sends.get(job_id, (accepted_ms, now))
        return min(first_ms, accepted_ms)

    def _drop_expired(self, now: float) -> None:
        """Forget the jobs whose first submission is too long ago."""
        while self._sends:
            _, at = next(iter(self._sends.values()))
            if now - at <= REMEMBERED_S:
                return
            self._sends.popitem(last=False)
