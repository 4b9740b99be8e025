"""Runs tasks in an order that a test chooses, step by step.

Each step of a task that matters awaits `pause`.  The scheduler lets one
paused task go on at a time, picked by the next number of a list, so that a
list of numbers is one reproducible interleaving.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

__all__ = ["StepScheduler"]

# Turns of the event loop after which every task has reached its next pause.
TURNS_PER_STEP: Final = 8


class StepScheduler:
    """Resumes paused tasks one at a time, or all with `release_all`."""

    __slots__ = ("_free", "_paused", "steps")

    def __init__(self) -> None:
        self.steps: list[str] = []
        self._free = False
        self._paused: list[tuple[str, asyncio.Future[None]]] = []

    async def pause(self, step: str) -> None:
        """Wait until the scheduler picks this task."""
        if self._free:
            await asyncio.sleep(0)
            return
        future: asyncio.Future[None]
        future = asyncio.get_running_loop().create_future()
        self._paused.append((step, future))
        await future

    async def sleep(self, seconds: float) -> None:
        """Stand in for asyncio.sleep: a pause without a length."""
        del seconds
        await self.pause("sleep")

    async def run(
        self, choices: Sequence[int], before: Callable[[int], object]
    ) -> None:
        """Make one step for each choice, then stop pausing anybody.

        `before` is told each choice first, for a test to act on it.
        """
        for choice in choices:
            await self.settle()
            before(choice)
            self._paused = [
                item for item in self._paused if not item[1].done()
            ]
            if not self._paused:
                continue
            step, future = self._paused.pop(choice % len(self._paused))
            self.steps.append(step)
            future.set_result(None)
        self.release_all()

    async def run_until(self, step: str) -> None:
        """Let tasks go on until one has paused at a step."""
        while True:
            await self.settle()
            names = [name for name, _ in self._paused]
            if step in names:
                return
            _, future = self._paused.pop(0)
            future.set_result(None)

    def release_all(self) -> None:
        """Let every task run on."""
        self._free = True
        for _, future in self._paused:
            if not future.done():
                future.set_result(None)
        self._paused.clear()

    async def settle(self) -> None:
        """Run the event loop until every task has paused."""
        for _ in range(TURNS_PER_STEP):
            await asyncio.sleep(0)
