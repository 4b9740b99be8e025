"""A queue of writes to the platform that are retried until they succeed.

The end of a claim or a job must be written to the platform even if the
platform is unreachable at that moment.  The first attempt is made at once and
is not cancelled with the task that requested it.  Failed writes are queued,
and one task retries them with exponential backoff, so that during an outage
a queue makes one attempt per backoff period, however many writes it holds.

Limits: the queue is bounded and lost with the process.  A dropped write
leaves its row unchanged, which must be a safe state.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable, Coroutine

    # Makes one attempt; returns True if no further one is needed.
    Attempt = Callable[[], Coroutine[object, object, bool]]

__all__ = ["WriteRetryQueue"]

BACKOFF_FIRST_S: Final = 0.1
BACKOFF_MAX_S: Final = 5.0
PENDING_MAX: Final = 4_096


class _PendingWrite:
    """One write and the number of bytes that it keeps in memory."""

    __slots__ = ("attempt", "size_bytes")

    def __init__(self, attempt: Attempt, size_bytes: int) -> None:
        self.attempt = attempt
        self.size_bytes = size_bytes


class WriteRetryQueue:
    """Retries writes until they succeed."""

    __slots__ = (
        "_max_pending",
        "_pending",
        "_pending_bytes",
        "_retry_task",
        "_rng",
        "_sleep",
        "_tasks",
        "dropped",
    )

    def __init__(
        self,
        rng: random.Random,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        max_pending: int = PENDING_MAX,
    ) -> None:
        self.dropped = 0
        self._rng = rng
        self._sleep = sleep
        self._max_pending = max_pending
        self._pending: deque[_PendingWrite] = deque()
        self._pending_bytes = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._retry_task: asyncio.Task[None] | None = None

    @property
    def pending(self) -> int:
        """The number of queued writes and of attempts in progress."""
        retrying = self._retry_task is not None and not self._retry_task.done()
        return len(self._pending) + len(self._tasks) + int(retrying)

    @property
    def pending_bytes(self) -> int:
        """The number of bytes that pending writes keep in memory."""
        return self._pending_bytes

    async def attempt_now(self, attempt: Attempt, size_bytes: int = 0) -> None:
        """Make the first attempt now; queue the write if it fails."""
        write = _PendingWrite(attempt, size_bytes)
        self._pending_bytes += size_bytes
        task = asyncio.get_running_loop().create_task(
            self._attempt_first(write)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await asyncio.shield(task)

    def attempt_later(self, attempt: Attempt) -> None:
        """Queue a write without a first attempt."""
        self._append(_PendingWrite(attempt, 0))

    async def flush(self) -> None:
        """Wait until nothing is pending; the caller sets a timeout."""
        while self.pending:
            waiting = set(self._tasks)
            if self._retry_task is not None and not self._retry_task.done():
                waiting.add(self._retry_task)
            if not waiting:
                return
            await asyncio.wait(waiting)

    async def close(self) -> None:
        """Cancel and discard all pending writes."""
        tasks = set(self._tasks)
        if self._retry_task is not None:
            tasks.add(self._retry_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._pending.clear()
        self._pending_bytes = 0

    async def _attempt_first(self, write: _PendingWrite) -> None:
        if await write.attempt():
            self._pending_bytes -= write.size_bytes
            return
        self._append(write)

    def _append(self, write: _PendingWrite) -> None:
        """Queue a write; drop the oldest one if the queue is full."""
        if len(self._pending) >= self._max_pending:
            oldest = self._pending.popleft()
            self._pending_bytes -= oldest.size_bytes
            self.dropped += 1
        self._pending.append(write)
        if self._retry_task is None or self._retry_task.done():
            loop = asyncio.get_running_loop()
            self._retry_task = loop.create_task(self._retry())

    async def _retry(self) -> None:
        """Retry the queued writes round-robin until all have succeeded."""
        backoff_s = BACKOFF_FIRST_S
        while self._pending:
            write = self._pending.popleft()
            if await write.attempt():
                self._pending_bytes -= write.size_bytes
                backoff_s = BACKOFF_FIRST_S
                continue
            self._pending.append(write)
            await self._sleep(backoff_s * self._rng.uniform(0.5, 1.5))
            backoff_s = min(BACKOFF_MAX_S, backoff_s * 2)
