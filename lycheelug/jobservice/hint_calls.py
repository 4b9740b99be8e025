"""Limits a daemon's calls to the placement hint service.

The service handles one call at a time for each daemon and rejects calls while
too many wait, so all owners of the daemon share one turn.  After a failed
call, the next one waits, longer with each failure in a row: a service that is
away or overloaded gets few calls, however many steps wait for tickets.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from returns.result import Failure

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from returns.result import Result

    from lycheelug.errors import Fault
    from lycheelug.jobservice.clock import Clock
    from lycheelug.jobservice.interfaces import PlacementHint

__all__ = ["HintCalls"]

# The pause after a failed call; it doubles up to the maximum.
PAUSE_S: Final = 0.2
PAUSE_MAX_S: Final = 2.0


class HintCalls:
    """The calls of one daemon, one after another."""

    __slots__ = ("_clock", "_failures", "_paused_until", "_turn")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._turn = asyncio.Lock()
        # Failed calls in a row.
        self._failures = 0
        self._paused_until = 0.0

    async def send(
        self,
        call: Callable[[], Awaitable[Result[PlacementHint, Fault]]],
        is_wanted: Callable[[], bool],
    ) -> Result[PlacementHint, Fault] | None:
        """Send a call in its turn; None if it isn't wanted any more by then.

        The result is the call's, also if it failed.
        """
        async with self._turn:
            pause_s = self._paused_until - self._clock.now()
            if pause_s > 0:
                await asyncio.sleep(pause_s)
            if not is_wanted():
                return None
            result = await call()
            if not isinstance(result, Failure):
                self._failures = 0
                return result
            pause_s = min(PAUSE_MAX_S, PAUSE_S * 2**self._failures)
            # The exponent stays small however long the service is away.
            if pause_s < PAUSE_MAX_S:
                self._failures += 1
            self._paused_until = self._clock.now() + pause_s
            return result
