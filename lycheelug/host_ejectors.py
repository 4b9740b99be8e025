"""The interface of host ejectors, their settings, and baseline ejectors."""

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
    """The tunable parameters of ejection."""

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
        # Evidence is discarded if a host has no outcome for this long.
        self.window_s = window_s
        # Minimum number of different jobs that must have failed.
        self.min_jobs = min_jobs
        # Log-likelihood ratio from which a host counts as failing.
        self.threshold = threshold
        # Time to the first probe; doubled by each failed probe.
        self.backoff_s = backoff_s
        self.backoff_max_s = backoff_max_s
        # A probe without an outcome blocks the next one only this long.
        self.probe_timeout_s = probe_timeout_s
        # Number of consecutive successful probes that readmit a host.
        self.probe_successes = probe_successes
        # Maximum fraction of the pool that may be ejected.
        self.max_ejected = max_ejected


class HostEjector(ABC):
    """Decides which hosts of one pool are ejected."""

    __slots__ = ()

    @property
    @abstractmethod
    def ejected(self) -> list[str]:
        """The names of the ejected hosts."""

    @abstractmethod
    def update_pool(self, hosts: Iterable[str], floor: int) -> None:
        """Replace the pool's serving hosts and its floor.

        Leave out hosts that are draining, leaving or removed, so that only
        hosts that can run jobs count towards the floor.
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
        """Record the end of a job on a host.

        Don't record rejections for lack of slots or errors of the caller:
        they are not failures of the host.
        """

    @abstractmethod
    def is_ejected(self, host: str, now: float) -> bool:
        """Whether the host gets no jobs except probes."""

    @abstractmethod
    def probe_allowed(self, host: str, now: float) -> bool:
        """Whether an ejected host may be probed with one job now."""

    @abstractmethod
    def start_probe(self, host: str, now: float) -> None:
        """Record that a probe was sent."""


EJECTORS: Final[Registry[type[HostEjector]]] = Registry("ejector")


@EJECTORS.register("none")
class NoEjector(HostEjector):
    """Baseline: ejects no host."""

    __slots__ = ()

    @property
    def ejected(self) -> list[str]:
        """An empty list: no host is ejected."""
        return []

    def update_pool(self, hosts: Iterable[str], floor: int) -> None:
        """Do nothing."""

    def record(
        self,
        host: str,
        rack: str,
        job_key: str,
        ok: bool,
        latency_s: float,
        now: float,
    ) -> None:
        """Do nothing."""

    def is_ejected(self, host: str, now: float) -> bool:
        """Return False: no host is ejected."""
        del host, now
        return False

    def probe_allowed(self, host: str, now: float) -> bool:
        """Return False: no host is probed."""
        del host, now
        return False

    def start_probe(self, host: str, now: float) -> None:
        """Do nothing."""


@EJECTORS.register("consecutive")
class ConsecutiveEjector(HostEjector):
    """Baseline: ejects for a fixed time after consecutive failures."""

    __slots__ = ("_ejected_until", "_failures", "_settings")

    def __init__(self, settings: EjectionSettings | None = None) -> None:
        self._settings = settings or EjectionSettings()
        self._failures: dict[str, int] = {}
        self._ejected_until: dict[str, float] = {}

    @property
    def ejected(self) -> list[str]:
        """The names of the ejected hosts."""
        return sorted(self._ejected_until)

    def update_pool(self, hosts: Iterable[str], floor: int) -> None:
        """Do nothing: this ejector has no floor."""

    def record(
        self,
        host: str,
        rack: str,
        job_key: str,
        ok: bool,
        latency_s: float,
        now: float,
    ) -> None:
        """Count consecutive failures; eject the host at the threshold."""
        del rack, job_key, latency_s
        if ok:
            self._failures.pop(host, None)
            return
        failures = self._failures.get(host, 0) + 1
        self._failures[host] = failures
        if failures >= self._settings.min_jobs:
            self._ejected_until[host] = now + self._settings.backoff_s

    def is_ejected(self, host: str, now: float) -> bool:
        """Whether the ejection of the host has not ended."""
        until = self._ejected_until.get(host)
        if until is None:
            return False
        if now < until:
            return True
        del self._ejected_until[host]
        self._failures.pop(host, None)
        return False

    def probe_allowed(self, host: str, now: float) -> bool:
        """Return False: no host is probed."""
        del host, now
        return False

    def start_probe(self, host: str, now: float) -> None:
        """Do nothing."""
