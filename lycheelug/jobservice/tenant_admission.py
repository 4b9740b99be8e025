"""Limits the waiting jobs of a tenant that is over its share, in one pool.

Without a limit, a flood by one tenant would fill the pool's part of the store
and the memory of its owner.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING, Final

from lycheelug.logs import log_frequent

if TYPE_CHECKING:
    from lycheelug.jobservice.context import OwnerContext
    from lycheelug.workloads import JobRecord, PoolSchedule

__all__ = ["TenantAdmission"]

# How long a count of the waiting jobs is used.
COUNT_AGE_MAX_S: Final = 0.2


class TenantAdmission:
    """Decides which submissions of tenants a pool's owner refuses."""

    __slots__ = ("_context", "_counted_at", "_schedule", "_waiting")

    def __init__(self, context: OwnerContext, schedule: PoolSchedule) -> None:
        self._context = context
        self._schedule = schedule
        # Jobs over the share that haven't started, by tenant.
        self._waiting: Counter[str] = Counter()
        self._counted_at = -math.inf

    def refuses(self, job_id: str, record: JobRecord) -> bool:
        """Return whether a submission has to be refused.

        The caller knows that it isn't stored, nor about to be.
        """
        tenant = record.tenant
        if not tenant:
            return False
        now = self._context.clock.now()
        if now - self._counted_at >= COUNT_AGE_MAX_S:
            self._count(now)
        shares = self._schedule.tenant_shares
        if shares.may_wait(tenant, self._waiting[tenant], now):
            return False
        log_frequent(
            "tenant-over-share",
            pool=self._schedule.pool,
            term=self._schedule.term,
            tenant=tenant,
            subject=job_id,
            weight=shares.weight_of(tenant),
            waiting=self._waiting[tenant],
            outcome="refused",
        )
        self._context.metrics.count("jobs-refused-over-share")
        self._context.metrics.count_tenant("jobs-refused-over-share", tenant)
        return True

    def _count(self, now: float) -> None:
        """Count the waiting jobs."""
        self._counted_at = now
        self._waiting.clear()
        for job in self._schedule.job_index.unfinished.values():
            if job.is_over_share and not job.has_started:
                self._waiting[job.record.tenant] += 1
