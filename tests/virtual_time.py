"""An event loop whose time jumps to the next timer: no test waits."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any, TypeVar

from lycheelug.jobservice.clock import Clock

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")


class JumpingSelector(selectors.DefaultSelector):
    """Advances the loop's time instead of waiting."""

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
            raise RuntimeError("the loop would wait for ever")
        self.now += max(0.0, timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop on virtual time."""

    def __init__(self) -> None:
        self.jumping = JumpingSelector()
        super().__init__(self.jumping)

    def time(self) -> float:
        return self.jumping.now


class VirtualClock(Clock):
    """Clocks that follow the loop; the time of day starts at 1970."""

    __slots__ = ()

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def unix_ms(self) -> int:
        return int(self.now() * 1000)


def run_virtual(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
