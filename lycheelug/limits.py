"""Limits of how many requests run at once on one executor."""

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


# Limits by the name that settings give; each makes the limit of an executor
# from its slots and connections.
LIMITS: Final[Registry[Callable[[int, int], Limit]]] = Registry("limit")


@LIMITS.register("none")
class NoLimit(Limit):
    """As many as there are connections."""

    __slots__ = ("_connections",)

    def __init__(self, slots: int, connections: int) -> None:
        self._connections = connections

    def limit(self, now: float) -> int:
        """Return how many may run at once."""
        return self._connections

    def on_start(self, now: float) -> None:
        """Note a start."""

    def on_finish(self, latency_s: float, ok: bool, now: float) -> None:
        """Note an end."""


@LIMITS.register("fixed")
class FixedLimit(NoLimit):
    """As many as the executor's configured slots."""

    __slots__ = ("_slots",)

    def __init__(self, slots: int, connections: int) -> None:
        super().__init__(slots, connections)
        self._slots = slots

    def limit(self, now: float) -> int:
        """Return how many may run at once."""
        return self._slots
