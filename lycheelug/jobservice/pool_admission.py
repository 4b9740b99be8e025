"""Rejects submissions that a pool can't or shouldn't take.

They are those that the pool can't complete in time to be of use, those of
tenants with too many jobs over their share, and those for which its owner has
no memory.  Nothing is stored of a rejected submission.  Its owner remembers
when it was first submitted, so that a retry keeps its place; the next owner
doesn't.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.jobservice.interfaces import Rejection
from lycheelug.jobservice.tenant_admission import TenantAdmission
from lycheelug.logs import log_change, log_frequent
from lycheelug.scarcity import FirstSends, PoolRoom, find_retry_after_s
from lycheelug.workloads import QueuePolicy
from lycheelug.workloads.forecast import DeadlineForecast
from lycheelug.workloads.held_memory import HeldMemory, pool_bytes
from lycheelug.workloads.model import is_long_running
from lycheelug.workloads.room import measure_room

if TYPE_CHECKING:
    from lycheelug.jobservice.context import OwnerContext
    from lycheelug.jobservice.pool_feeds import PoolFeeds
    from lycheelug.workloads import JobRecord, PoolSchedule

__all__ = ["PoolAdmission"]

# How often the room is measured; submissions in between are added to it.
MEASURE_INTERVAL_S: Final = 0.1
# When a tenant over its share may send a refused submission again.
OVER_SHARE_RETRY_S: Final = 1
# When a submission may be sent again for which there was no memory.
NO_MEMORY_RETRY_S: Final = 5
# The number of submissions that are remembered as not rejected.
PASSED_MAX: Final = 10_000


class PoolAdmission:
    """Decides which submissions one pool accepts."""

    __slots__ = (
        "_context",
        "_feeds",
        "_first_sends",
        "_held",
        "_measured_at",
        "_passed",
        "_room",
        "_schedule",
        "_tenants",
    )

    def __init__(
        self, context: OwnerContext, schedule: PoolSchedule, feeds: PoolFeeds
    ) -> None:
        self._context = context
        self._schedule = schedule
        self._feeds = feeds
        self._tenants = TenantAdmission(context, schedule)
        self._first_sends = FirstSends()
        self._held = HeldMemory()
        # Submissions that weren't rejected, oldest first.  They may have been
        # stored, or may yet be, by this owner or by their sender.
        self._passed: dict[str, None] = {}
        self._measured_at = -math.inf
        self._room = PoolRoom(0.0, 0.0)

    def record_passed(self, job_id: str, record: JobRecord) -> None:
        """Record that a submission may get stored."""
        if job_id in self._passed:
            return
        self._held.add(record)
        self._passed[job_id] = None
        if len(self._passed) > PASSED_MAX:
            del self._passed[next(iter(self._passed))]

    def review(
        self, job_id: str, record: JobRecord, is_current: bool
    ) -> JobRecord | Rejection:
        """Return the record to store, or a rejection.

        A job of which an earlier submission wasn't rejected is never
        rejected.  For want of room, neither are long-running jobs, those with
        a schedule, those whose policy is unknown, nor any job while the
        schedule isn't current.
        """
        if job_id in self._passed:
            return record
        if not self._has_memory(job_id, record):
            return Rejection(NO_MEMORY_RETRY_S, is_over_limit=True)
        if self._tenants.refuses(job_id, record):
            return Rejection(OVER_SHARE_RETRY_S)
        policy = record.policy
        if not is_current or not self._context.overload.rejects:
            return record
        if policy is None:
            return record
        if record.schedule is not None or is_long_running(record.steps):
            return record
        now = self._context.clock.now()
        unix_ms = self._context.clock.unix_ms()
        first_ms = self._first_sends.find(job_id, record.accepted_ms, now)
        schedule = self._schedule
        forecast = DeadlineForecast(
            record,
            QueuePolicy.of(record.queue, schedule.pool, policy),
            schedule.run_times,
            first_ms,
        )
        room = self._measure(now, unix_ms)
        remaining_ms = max(forecast.remaining_s, default=0.0) * 1000
        retry_after_s = find_retry_after_s(
            room,
            job_id,
            unix_ms,
            forecast.objective_ms,
            forecast.late_limit_ms,
            remaining_ms,
        )
        if retry_after_s is None:
            room.add_in_time(forecast.objective_ms, forecast.work)
            return msgspec.structs.replace(record, accepted_ms=first_ms)
        # The planner orders hosts for rejected work too.
        schedule.arrivals.record(forecast.work / 1000, now)
        self._first_sends.record(job_id, first_ms, now)
        log_change(
            "submission-rejected",
            pool=schedule.pool,
            job=job_id,
            queue=record.queue,
            age_ms=unix_ms - first_ms,
            wait_ms=round(room.wait_late_ms()),
            remaining_ms=round(remaining_ms),
            limit_ms=round(forecast.late_limit_ms - first_ms),
            retry_after_s=retry_after_s,
        )
        self._context.metrics.count("submissions-rejected")
        return Rejection(retry_after_s)

    def _has_memory(self, job_id: str, record: JobRecord) -> bool:
        """Return whether the owner has memory for a job; log if it hasn't."""
        daemon_bytes = self._context.job_memory_bytes
        if not daemon_bytes:
            return True
        held = self._held
        held.refresh(self._schedule, self._context.clock.now())
        configuration = self._context.configuration()
        pools = len(configuration.served_pools) if configuration else 1
        limit = pool_bytes(daemon_bytes, pools)
        if held.has_room(record, limit):
            return True
        log_frequent(
            "submission-rejected",
            pool=self._schedule.pool,
            job=job_id,
            queue=record.queue,
            reason="the jobs of this pool take up its memory",
            held_bytes=held.total,
            queue_bytes=held.of_queue(record.queue),
            limit_bytes=limit,
            jobs=len(self._schedule.jobs),
            retry_after_s=NO_MEMORY_RETRY_S,
        )
        self._context.metrics.count("submissions-rejected-memory")
        return False

    def _measure(self, now: float, unix_ms: int) -> PoolRoom:
        """Return the pool's room, which is measured now and then."""
        if now - self._measured_at >= MEASURE_INTERVAL_S:
            self._measured_at = now
            arriving = self._feeds.count_arriving_hosts()
            self._room = measure_room(self._schedule, arriving, unix_ms)
        return self._room
