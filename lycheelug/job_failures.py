"""Detection of poison jobs, which fail wherever they run.

A job is set aside (dead-lettered) once it has failed on three independent
workers: different hosts, not all in one rack, none of them ejected for
failing other jobs as well. Failures on ejected hosts are not counted as
evidence against the job. A job whose failures are never independent is set
aside once it reaches a limit on all its failures. The reasons are stored
with the job.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

__all__ = ["JobFailure", "JobFailures", "SetAside", "judge_job"]

_INDEPENDENT_HOSTS: Final = 3
_INDEPENDENT_RACKS: Final = 2
_MAX_FAILURES: Final = 12
_MAX_JOBS: Final = 4096


class JobFailure:
    """One failed run of a job."""

    __slots__ = ("at", "host", "rack", "reason")

    def __init__(self, host: str, rack: str, reason: str, at: float) -> None:
        self.host = host
        self.rack = rack
        self.reason = reason
        self.at = at


class SetAside:
    """The decision that a job is not run again, with the reasons."""

    __slots__ = ("reasons",)

    def __init__(self, reasons: Sequence[str]) -> None:
        self.reasons = tuple(reasons)


def judge_job(
    failures: Sequence[JobFailure],
    is_suspect: Callable[[str], bool],
    racks_in_pool: int = _INDEPENDENT_RACKS,
) -> SetAside | None:
    """Return the decision to set a job aside, or None if it may run again.

    `is_suspect` returns whether a host fails other jobs as well. For a pool
    with all hosts in one rack, pass `racks_in_pool=1`.

    >>> failures = [
    ...     JobFailure("w1", "r1", "exit 1", 1.0),
    ...     JobFailure("w2", "r1", "exit 1", 2.0),
    ...     JobFailure("w5", "r2", "exit 1", 3.0),
    ... ]
    >>> judge_job(failures, lambda host: host == "w1") is None
    True
    >>> judge_job(failures, lambda host: False).reasons[0]
    'w1: exit 1'
    """
    hosts: set[str] = set()
    racks: set[str] = set()
    for failure in failures:
        if is_suspect(failure.host):
            continue
        hosts.add(failure.host)
        racks.add(failure.rack)
    needed_racks = min(_INDEPENDENT_RACKS, racks_in_pool)
    independent = (
        len(hosts) >= _INDEPENDENT_HOSTS and len(racks) >= needed_racks
    )
    if not independent and len(failures) < _MAX_FAILURES:
        return None
    reasons: list[str] = []
    for failure in failures:
        reasons.append(f"{failure.host}: {failure.reason}")
    return SetAside(reasons)


class JobFailures:
    """The failures of recent jobs, for jobs whose row doesn't store them."""

    __slots__ = ("_jobs",)

    def __init__(self) -> None:
        self._jobs: OrderedDict[str, list[JobFailure]] = OrderedDict()

    def record(self, job_key: str, failure: JobFailure) -> None:
        """Record a failed run."""
        failures = self._jobs.setdefault(job_key, [])
        if len(failures) < _MAX_FAILURES:
            failures.append(failure)
        self._jobs.move_to_end(job_key)
        if len(self._jobs) > _MAX_JOBS:
            self._jobs.popitem(last=False)

    def failures(self, job_key: str) -> tuple[JobFailure, ...]:
        """Return a job's failures, oldest first."""
        return tuple(self._jobs.get(job_key, ()))

    def verdict(
        self,
        job_key: str,
        is_suspect: Callable[[str], bool],
        racks_in_pool: int = _INDEPENDENT_RACKS,
    ) -> SetAside | None:
        """Return the decision to set a job aside, or None to run it again."""
        return judge_job(self.failures(job_key), is_suspect, racks_in_pool)

    def forget(self, job_key: str) -> None:
        """Drop the failures of a job that has ended."""
        self._jobs.pop(job_key, None)
