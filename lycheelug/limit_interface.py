"""The interface of concurrency limits, and the static limits."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from lycheelug.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["LIMITS", "FixedLimit", "Limit", "NoLimit"]


class Limit(ABC):
    """The number of requests that may run concurrently on an executor.

    A daemon calls `limit` before each start, and reports each start and end.
    """

    __slots__ = ()

    @abstractmethod
    def limit(self, now: float) -> int:
        """Return the maximum number of concurrent requests, at least 1."""

    @abstractmethod
    def on_start(self, now: float) -> None:
        """Record the start of a request."""

    @abstractmethod
    def on_finish(self, latency_s: float, ok: bool, now: float) -> None:
        """Record the end of a request and the time since its start."""

    def on_other_daemons(self, in_flight: float) -> None:
        """Record how many requests of other daemons run on the executor."""
        return


# Limits by their name in the settings.  Each is a factory that takes the
# initial limit of a daemon on an executor (its slots) and the maximum limit.
LIMITS: Final[Registry[Callable[[int, int], Limit]]] = Registry("limit")


@LIMITS.register("none")
class NoLimit(Limit):
    """Always allows the maximum number of concurrent requests."""

    __slots__ = ("_max_limit",)

    def __init__(self, slots: int, max_limit: int) -> None:
        self._max_limit = max_limit

    def limit(self, now: float) -> int:
        """Return the maximum number of concurrent requests."""
        return self._max_limit

    def on_start(self, now: float) -> None:
        """Do nothing: the limit is static."""

    def on_finish(self, latency_s: float, ok: bool, now: float) -> None:
        """Do nothing: the limit is static."""


@LIMITS.register("fixed")
class FixedLimit(NoLimit):
    """Allows as many concurrent requests as the configured slots."""

    __slots__ = ("_slots",)

    def __init__(self, slots: int, max_limit: int) -> None:
        super().__init__(slots, max_limit)
        self._slots = slots

    def limit(self, now: float) -> int:
        """Return the maximum number of concurrent requests."""
        return self._slots
