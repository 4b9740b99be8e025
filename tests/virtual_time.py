"""An event loop with virtual time that advances to the next timer.

Tests on this loop never wait in real time.
"""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any, TypeVar

from lycheelug.jobservice.clock import Clock

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")


class VirtualTimeSelector(selectors.DefaultSelector):
    """Advances the virtual time by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("the loop has no timer and would block forever")
        self.now += max(0.0, timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that runs on virtual time."""

    def __init__(self) -> None:
        self.virtual_selector = VirtualTimeSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        return self.virtual_selector.now


class VirtualClock(Clock):
    """A clock that returns the loop's time, also as time since 1970."""

    __slots__ = ()

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def unix_ms(self) -> int:
        return int(self.now() * 1000)


def run_virtual(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to completion on virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
