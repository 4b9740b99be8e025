"""The interface of concurrency limits, and the limits that do not adapt."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from lycheelug.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["LIMITS", "FixedLimit", "Limit", "NoLimit"]


class Limit(ABC):
    """How many requests may run at once on an executor.

    A daemon asks before each start, and reports each start and end.
    """

    __slots__ = ()

    @abstractmethod
    def limit(self, now: float) -> int:
        """Return how many may run at once; at least one."""

    @abstractmethod
    def on_start(self, now: float) -> None:
        """Note a start."""

    @abstractmethod
    def on_finish(self, latency_s: float, ok: bool, now: float) -> None:
        """Note an end, with the time since its start."""

    def on_other_daemons(self, in_flight: float) -> None:
        """Note how many requests other daemons have on the executor."""
        return


# Limits by the name that settings give.  Each makes a daemon's limit of an
# executor from the slots that the daemon starts from, and the most that it
# may ever run there at once.
LIMITS: Final[Registry[Callable[[int, int], Limit]]] = Registry("limit")


@LIMITS.register("none")
class NoLimit(Limit):
    """As many as may ever run."""

    __slots__ = ("_most",)

    def __init__(self, slots: int, most: int) -> None:
        self._most = most

    def limit(self, now: float) -> int:
        """Return how many may run at once."""
        return self._most

    def on_start(self, now: float) -> None:
        """Note a start."""

    def on_finish(self, latency_s: float, ok: bool, now: float) -> None:
        """Note an end."""


@LIMITS.register("fixed")
class FixedLimit(NoLimit):
    """As many as the daemon's configured slots."""

    __slots__ = ("_slots",)

    def __init__(self, slots: int, most: int) -> None:
        super().__init__(slots, most)
        self._slots = slots

    def limit(self, now: float) -> int:
        """Return how many may run at once."""
        return self._slots
