"""Writes that must reach the platform sooner or later, retried in order.

A daemon that has finished with a claim or a job has to tell the platform,
also where the platform is away at that moment.  The first attempt is made
at once and survives the cancellation of the task that asked for it.  What
fails is queued, and one task retries the queue with exponential backoff,
so an outage costs the platform one attempt per daemon and backoff period,
however much is queued.

Limits: the queue is bounded and lost with the process.  An attempt that is
dropped leaves its row as it was, which must be the safe state.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable, Coroutine

    # Makes one attempt; True where nothing is left to do.
    Attempt = Callable[[], Coroutine[object, object, bool]]

__all__ = ["WriteRetryQueue"]

BACKOFF_FIRST_S: Final = 0.1
BACKOFF_MAX_S: Final = 5.0
PENDING_MAX: Final = 4_096


class _RetriedWrite:
    """One thing to settle, and the bytes that it holds meanwhile."""

    __slots__ = ("attempt", "size_bytes")

    def __init__(self, attempt: Attempt, size_bytes: int) -> None:
        self.attempt = attempt
        self.size_bytes = size_bytes


class WriteRetryQueue:
    """Attempts that are repeated until they succeed."""

    __slots__ = (
        "_limit",
        "_pending",
        "_pending_bytes",
        "_rng",
        "_sleep",
        "_tasks",
        "_worker",
        "dropped",
    )

    def __init__(
        self,
        rng: random.Random,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        limit: int = PENDING_MAX,
    ) -> None:
        self.dropped = 0
        self._rng = rng
        self._sleep = sleep
        self._limit = limit
        self._pending: deque[_RetriedWrite] = deque()
        self._pending_bytes = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._worker: asyncio.Task[None] | None = None

    @property
    def pending(self) -> int:
        """How many attempts are still to be made or under way."""
        retrying = self._worker is not None and not self._worker.done()
        return len(self._pending) + len(self._tasks) + int(retrying)

    @property
    def pending_bytes(self) -> int:
        """The bytes held by what is pending."""
        return self._pending_bytes

    async def attempt_now(self, attempt: Attempt, size_bytes: int = 0) -> None:
        """Make the first attempt; queue it where that fails."""
        settlement = _RetriedWrite(attempt, size_bytes)
        self._pending_bytes += size_bytes
        task = asyncio.get_running_loop().create_task(self._first(settlement))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await asyncio.shield(task)

    def attempt_later(self, attempt: Attempt) -> None:
        """Queue an attempt without making it first."""
        self._append(_RetriedWrite(attempt, 0))

    async def flush(self) -> None:
        """Return when nothing is pending; the caller sets a timeout."""
        while self.pending:
            waiting = set(self._tasks)
            if self._worker is not None and not self._worker.done():
                waiting.add(self._worker)
            if not waiting:
                return
            await asyncio.wait(waiting)

    async def close(self) -> None:
        """Give up what is pending."""
        tasks = set(self._tasks)
        if self._worker is not None:
            tasks.add(self._worker)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._pending.clear()
        self._pending_bytes = 0

    async def _first(self, settlement: _RetriedWrite) -> None:
        if await settlement.attempt():
            self._pending_bytes -= settlement.size_bytes
            return
        self._append(settlement)

    def _append(self, settlement: _RetriedWrite) -> None:
        """Queue a settlement; drop the oldest where the queue is full."""
        if len(self._pending) >= self._limit:
            oldest = self._pending.popleft()
            self._pending_bytes -= oldest.size_bytes
            self.dropped += 1
        self._pending.append(settlement)
        if self._worker is None or self._worker.done():
            loop = asyncio.get_running_loop()
            self._worker = loop.create_task(self._retry())

    async def _retry(self) -> None:
        """Attempt the queue in turn until it is empty."""
        backoff_s = BACKOFF_FIRST_S
        while self._pending:
            settlement = self._pending.popleft()
            if await settlement.attempt():
                self._pending_bytes -= settlement.size_bytes
                backoff_s = BACKOFF_FIRST_S
                continue
            self._pending.append(settlement)
            await self._sleep(backoff_s * self._rng.uniform(0.5, 1.5))
            backoff_s = min(BACKOFF_MAX_S, backoff_s * 2)
