"""Runs tasks in an order that a test chooses, step by step.

The tasks await `pause` before each step whose order matters.  The scheduler
resumes one paused task at a time, selected by the next number of a list, so
that a list of numbers defines one reproducible interleaving.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

__all__ = ["StepScheduler"]

# After so many iterations of the event loop, every task has paused.
LOOP_TURNS_PER_STEP: Final = 8


class StepScheduler:
    """Resumes paused tasks one at a time, or all with `release_all`."""

    __slots__ = ("_is_released", "_paused", "steps")

    def __init__(self) -> None:
        self.steps: list[str] = []
        self._is_released = False
        self._paused: list[tuple[str, asyncio.Future[None]]] = []

    async def pause(self, step: str) -> None:
        """Wait until the scheduler resumes this task."""
        if self._is_released:
            await asyncio.sleep(0)
            return
        future: asyncio.Future[None]
        future = asyncio.get_running_loop().create_future()
        self._paused.append((step, future))
        await future

    async def sleep(self, seconds: float) -> None:
        """Replace asyncio.sleep: pause regardless of the time given."""
        del seconds
        await self.pause("sleep")

    async def run(
        self, choices: Sequence[int], on_choice: Callable[[int], object]
    ) -> None:
        """Resume one task for each choice, then release all tasks.

        `on_choice` is called with each choice before its step.
        """
        for choice in choices:
            await self.run_until_paused()
            on_choice(choice)
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
        """Resume tasks in order until one has paused at a step."""
        while True:
            await self.run_until_paused()
            names = [name for name, _ in self._paused]
            if step in names:
                return
            _, future = self._paused.pop(0)
            future.set_result(None)

    def release_all(self) -> None:
        """Resume all paused tasks and stop pausing."""
        self._is_released = True
        for _, future in self._paused:
            if not future.done():
                future.set_result(None)
        self._paused.clear()

    async def run_until_paused(self) -> None:
        """Run the event loop until every task has paused."""
        for _ in range(LOOP_TURNS_PER_STEP):
            await asyncio.sleep(0)
