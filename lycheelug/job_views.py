"""One daemon's views of waiting and held jobs, built from index rows.

The views are updated by deltas and may lag behind the table. Correctness
does not depend on them: they only determine the order in which the daemon
tries to claim jobs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from lycheelug.errors import REVISION_FORGOTTEN
from lycheelug.job_queue import JobQueue
from lycheelug.job_records import (
    JOB_PREFIX,
    RunningRow,
    WaitingRow,
    running_prefix,
    waiting_prefix,
)
from lycheelug.records import decode

if TYPE_CHECKING:
    from lycheelug.errors import Fault
    from lycheelug.store.interface import Delta, Platform, Row

__all__ = ["HeldJobsView", "WaitingJobsViews"]


class WaitingJobsViews:
    """The waiting jobs of the pools that a daemon serves."""

    __slots__ = ("_platform", "_queues", "_revisions")

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._queues: dict[str, JobQueue] = {}
        self._revisions: dict[str, int] = {}

    def queue(self, pool: str) -> JobQueue:
        """Return the queue of a pool's waiting jobs."""
        if pool not in self._queues:
            self._queues[pool] = JobQueue()
        return self._queues[pool]

    def revision(self, pool: str) -> int:
        """Return the table revision that a pool's view has reached."""
        return self._revisions.get(pool, 0)

    def reset(self, pool: str) -> None:
        """Discard a pool's view, so the next refresh reads all of it."""
        self._revisions[pool] = 0
        self.queue(pool).clear()

    async def refresh(self, pool: str) -> Result[None, Fault]:
        """Update a pool's view from the platform."""
        prefix = waiting_prefix(pool)
        read = await self._platform.read_since(prefix, self.revision(pool))
        match read:
            case Success(delta):
                self._apply(pool, delta)
                return Success(None)
            case Failure(fault) if fault.code is not REVISION_FORGOTTEN:
                return Failure(fault)
        self.reset(pool)
        match await self._platform.read_since(prefix, 0):
            case Success(delta):
                self._apply(pool, delta)
                return Success(None)
            case Failure(fault):
                return Failure(fault)
        raise AssertionError

    def _apply(self, pool: str, delta: Delta) -> None:
        """Apply a delta, unless a newer one was applied already."""
        if delta.revision < self.revision(pool):
            return
        self._revisions[pool] = delta.revision
        queue = self.queue(pool)
        for row in delta.rows:
            name = _job_name(row, waiting_prefix(pool))
            waiting = _decode_waiting(row)
            if waiting is None:
                queue.remove(name)
                continue
            queue.add(name, waiting.tenant, waiting.submitted_at)


class HeldJobsView:
    """The jobs that one daemon run holds."""

    __slots__ = ("_platform", "_prefix", "revision")

    def __init__(self, platform: Platform, owner: str) -> None:
        self._platform = platform
        self._prefix = running_prefix(owner)
        self.revision = 0

    async def names(self) -> Result[list[str], Fault]:
        """Return the names of all jobs that the run holds."""
        names: list[str] = []
        match await self._platform.read_since(self._prefix, 0):
            case Success(delta):
                self.revision = delta.revision
            case Failure(fault):
                return Failure(fault)
        for row in delta.rows:
            if row.value is not None:
                names.append(_job_name(row, self._prefix))
        return Success(names)

    async def newly_cancelled(self) -> Result[list[str], Fault]:
        """Return the held jobs that were cancelled since the last call."""
        read = await self._platform.read_since(self._prefix, self.revision)
        match read:
            case Success(delta):
                pass
            case Failure(fault) if fault.code is REVISION_FORGOTTEN:
                self.revision = 0
                return await self.newly_cancelled()
            case Failure(fault):
                return Failure(fault)
        names: list[str] = []
        if delta.revision < self.revision:
            return Success(names)
        self.revision = delta.revision
        for row in delta.rows:
            if _is_cancelled(row):
                names.append(_job_name(row, self._prefix))
        return Success(names)


def _job_name(row: Row, prefix: str) -> str:
    return JOB_PREFIX + row.key.removeprefix(prefix)


def _decode_waiting(row: Row) -> WaitingRow | None:
    if row.value is None:
        return None
    return decode(row.value, WaitingRow).value_or(None)


def _is_cancelled(row: Row) -> bool:
    if row.value is None:
        return False
    running = decode(row.value, RunningRow).value_or(None)
    return running is not None and running.cancel_wanted
