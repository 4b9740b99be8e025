"""The interface of host ejectors, their settings, and the baselines."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from lycheelug.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "EJECTORS",
    "ConsecutiveEjector",
    "EjectionSettings",
    "HostEjector",
    "NoEjector",
]

_WINDOW_S: Final = 30.0
_MIN_JOBS: Final = 3
_THRESHOLD: Final = 9.0
_BACKOFF_S: Final = 5.0
_BACKOFF_MAX_S: Final = 120.0
_PROBE_TIMEOUT_S: Final = 30.0
_PROBE_SUCCESSES: Final = 2
_MAX_EJECTED: Final = 0.5


class EjectionSettings:
    """Thresholds and times of ejection."""

    __slots__ = (
        "backoff_max_s",
        "backoff_s",
        "max_ejected",
        "min_jobs",
        "probe_successes",
        "probe_timeout_s",
        "threshold",
        "window_s",
    )

    def __init__(
        self,
        window_s: float = _WINDOW_S,
        min_jobs: int = _MIN_JOBS,
        threshold: float = _THRESHOLD,
        backoff_s: float = _BACKOFF_S,
        backoff_max_s: float = _BACKOFF_MAX_S,
        probe_timeout_s: float = _PROBE_TIMEOUT_S,
        probe_successes: int = _PROBE_SUCCESSES,
        max_ejected: float = _MAX_EJECTED,
    ) -> None:
        # Evidence is dropped where no outcome came for this long.
        self.window_s = window_s
        # Independent jobs that must have failed.
        self.min_jobs = min_jobs
        # Log-likelihood ratio at which a host counts as failing.
        self.threshold = threshold
        # Time to the first probe, doubled by each failed one.
        self.backoff_s = backoff_s
        self.backoff_max_s = backoff_max_s
        # After this a probe without outcome no longer blocks the next.
        self.probe_timeout_s = probe_timeout_s
        # Successful probes in a row that readmit a host.
        self.probe_successes = probe_successes
        # Largest part of the pool that is ever ejected.
        self.max_ejected = max_ejected


class HostEjector(ABC):
    """Says which hosts of one pool are ejected."""

    __slots__ = ()

    @property
    @abstractmethod
    def ejected(self) -> list[str]:
        """Names of the hosts that are ejected."""

    @abstractmethod
    def update_pool(self, hosts: Iterable[str], floor: int) -> None:
        """Take in the pool's hosts that take work, and its floor.

        Hosts that drain, leave or are gone must not be among them, so
        that the floor is kept by hosts that can work.
        """

    @abstractmethod
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

    @abstractmethod
    def is_ejected(self, host: str, now: float) -> bool:
        """Whether the host gets no work but probes."""

    @abstractmethod
    def probe_allowed(self, host: str, now: float) -> bool:
        """Whether an ejected host may be tried with one job now."""

    @abstractmethod
    def start_probe(self, host: str, now: float) -> None:
        """Take in that the allowed probe was sent."""


EJECTORS: Final[Registry[type[HostEjector]]] = Registry("ejector")


@EJECTORS.register("none")
class NoEjector(HostEjector):
    """Baseline: ejects no host."""

    __slots__ = ()

    @property
    def ejected(self) -> list[str]:
        """No hosts."""
        return []

    def update_pool(self, hosts: Iterable[str], floor: int) -> None:
        """Take in nothing."""

    def record(
        self,
        host: str,
        rack: str,
        job_key: str,
        ok: bool,
        latency_s: float,
        now: float,
    ) -> None:
        """Take in nothing."""

    def is_ejected(self, host: str, now: float) -> bool:
        """Eject no host."""
        del host, now
        return False

    def probe_allowed(self, host: str, now: float) -> bool:
        """Probe no host."""
        del host, now
        return False

    def start_probe(self, host: str, now: float) -> None:
        """Take in nothing."""


@EJECTORS.register("consecutive")
class ConsecutiveEjector(HostEjector):
    """Baseline: a number of failures in a row ejects for a fixed time."""

    __slots__ = ("_failures", "_settings", "_until")

    def __init__(self, settings: EjectionSettings | None = None) -> None:
        self._settings = settings or EjectionSettings()
        self._failures: dict[str, int] = {}
        self._until: dict[str, float] = {}

    @property
    def ejected(self) -> list[str]:
        """Names of the hosts that are ejected."""
        return sorted(self._until)

    def update_pool(self, hosts: Iterable[str], floor: int) -> None:
        """Keep no floor."""

    def record(
        self,
        host: str,
        rack: str,
        job_key: str,
        ok: bool,
        latency_s: float,
        now: float,
    ) -> None:
        """Count failures in a row."""
        del rack, job_key, latency_s
        if ok:
            self._failures.pop(host, None)
            return
        failures = self._failures.get(host, 0) + 1
        self._failures[host] = failures
        if failures >= self._settings.min_jobs:
            self._until[host] = now + self._settings.backoff_s

    def is_ejected(self, host: str, now: float) -> bool:
        """Whether the host's time has not passed."""
        until = self._until.get(host)
        if until is None:
            return False
        if now < until:
            return True
        del self._until[host]
        self._failures.pop(host, None)
        return False

    def probe_allowed(self, host: str, now: float) -> bool:
        """Probe no host."""
        del host, now
        return False

    def start_probe(self, host: str, now: float) -> None:
        """Take in nothing."""
