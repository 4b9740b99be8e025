"""Restarts a daemon's background tasks after unexpected errors.

Without it, an exception would end such a task silently, while the daemon
goes on reporting that it is ready.
"""

from __future__ import annotations

import asyncio
import traceback
from typing import TYPE_CHECKING, Final

from lycheelug.logs import log_change

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from lycheelug.metrics import Metrics

__all__ = ["describe_error", "supervise"]

# The pause before a failed task is restarted; it doubles up to the maximum,
# and starts again after the task has run for as long as the maximum.
RESTART_S: Final = 0.1
RESTART_MAX_S: Final = 2.0


async def supervise(
    name: str, work: Callable[[], Awaitable[None]], metrics: Metrics
) -> None:
    """Run `work` until it returns or is cancelled; restart it on errors."""
    loop = asyncio.get_running_loop()
    pause_s = RESTART_S
    while True:
        began = loop.time()
        try:
            await work()
        except Exception as error:
            if loop.time() - began > RESTART_MAX_S:
                pause_s = RESTART_S
            log_change(
                "defect",
                task=name,
                error=describe_error(error),
                restart_in_s=pause_s,
            )
            metrics.count("defects")
        else:
            return
        await asyncio.sleep(pause_s)
        pause_s = min(RESTART_MAX_S, pause_s * 2)


def describe_error(error: BaseException) -> str:
    """Return an unexpected error and the place where it was raised.

    >>> describe_error(ValueError("two"))
    "ValueError('two')"
    """
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return repr(error)
    last = frames[-1]
    place = last.filename.rpartition("lycheelug/")[2]
    return f"{error!r} at {place}:{last.lineno}"
