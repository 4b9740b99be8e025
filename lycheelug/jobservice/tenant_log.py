"""Logs and counts what the caps of tenants do in one pool.

The lines are bounded: each second, one about changed reservations and some
about tenants whose tasks wait for their caps.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, Final

from lycheelug.logs import log_change, log_frequent

if TYPE_CHECKING:
    from lycheelug.jobservice.context import OwnerContext
    from lycheelug.metrics import Metrics
    from lycheelug.tenants.share import TenantShare
    from lycheelug.tenants.shares import ShareChange
    from lycheelug.workloads import Job, PoolSchedule

__all__ = ["TenantLog", "log_over_share"]

# The minimum time between two lines, or groups of lines, of a kind.
INTERVAL_S: Final = 1.0
# The tenants in one group, those with the most held tasks first.
TENANTS_MAX: Final = 3


class TenantLog:
    """The log lines and counters of one pool."""

    __slots__ = (
        "_changed",
        "_changes_at",
        "_held_at",
        "_last_logged",
        "_metrics",
        "_schedule",
    )

    def __init__(self, schedule: PoolSchedule, metrics: Metrics) -> None:
        self._schedule = schedule
        self._metrics = metrics
        self._changes_at = -math.inf
        self._held_at = -math.inf
        # Changes of reservations since the last line.
        self._changed = 0
        # The tenants of the last group, which give way to others.
        self._last_logged: set[str] = set()

    def record_changes(self, changes: list[ShareChange], now: float) -> None:
        """Record that some reservations were stored."""
        self._changed += len(changes)
        if now - self._changes_at < INTERVAL_S:
            return
        self._changes_at = now
        share = changes[0].share
        log_change(
            "tenant-share-changed",
            **self._describe(share),
            changes=self._changed,
        )
        self._changed = 0

    def record_held(self, now: float) -> None:
        """Record that the last plan has held tasks for their tenants' caps."""
        if now - self._held_at < INTERVAL_S:
            return
        self._held_at = now
        shares = self._schedule.tenant_shares
        held = shares.held
        self._metrics.count("starts-held-by-cap", sum(held.values()))
        order = sorted(
            held, key=lambda name: (name in self._last_logged, -held[name])
        )
        self._last_logged = set(order[:TENANTS_MAX])
        for tenant in order[:TENANTS_MAX]:
            self._metrics.count_tenant(
                "starts-held-by-cap", tenant, held[tenant]
            )
            share = shares.share_of(tenant)
            if share is None:
                log_change(
                    "tenant-waits-for-configuration",
                    pool=self._schedule.pool,
                    tenant=tenant,
                    held=held[tenant],
                    reason="the tenant's cap isn't known yet",
                )
                continue
            log_change(
                "tenant-waits-for-cap",
                **self._describe(share),
                held=held[tenant],
                reason="jobs wait for their tenant's cap",
            )

    def _describe(self, share: TenantShare) -> dict[str, Any]:
        """Return the figures of a share: CPU, memory and GPUs of each."""
        record = share.record
        pool = self._schedule.pool
        entry = record.pools.get(pool)
        return {
            "pool": pool,
            "term": self._schedule.term,
            "tenant": share.tenant,
            "cap": list(share.cap),
            "reserved": list(share.reserved),
            "elsewhere": list(record.reserved_elsewhere(pool)),
            "used": list(share.used),
            "wanted": list(entry.wanted) if entry is not None else [],
            "is_settled": share.is_settled,
        }


def log_over_share(
    context: OwnerContext, schedule: PoolSchedule, job: Job
) -> None:
    """Log and count an accepted job that is over its tenant's share."""
    tenant = job.record.tenant
    log_frequent(
        "tenant-over-share",
        pool=schedule.pool,
        term=schedule.term,
        tenant=tenant,
        job=job.job_id,
        weight=schedule.tenant_shares.weight_of(tenant),
        outcome="accepted",
        reason="its tenant is over its share, so other tenants' jobs go first",
    )
    context.metrics.count("jobs-over-share")
    context.metrics.count_tenant("jobs-over-share", tenant)
