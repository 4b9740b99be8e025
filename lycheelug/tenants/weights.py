"""Which jobs of a tenant are within its share, its weight; no I/O.

A weight is a number of jobs a second.  Each pool's owner has a token bucket
for each tenant.  A job that arrives when the bucket is empty is over the
share: jobs of other tenants that can be in time go first.  Nothing is stored;
a new owner begins with full buckets.
"""

from __future__ import annotations

from typing import Final

__all__ = ["TenantWeights"]

# A bucket holds what arrives in this time at the tenant's weight, and at
# least the minimum of jobs.
BURST_S: Final = 0.5
BURST_JOBS_MIN: Final = 3.0
# A bucket is surely full again after this time, and may be forgotten.
IDLE_S: Final = 60.0
# The jobs over the share that may wait for their first start, in seconds at
# the tenant's weight, and the minimum.
WAITING_S: Final = 10.0
WAITING_MIN: Final = 20
# Beyond this number of tenants, idle ones are forgotten.
TENANTS_MAX: Final = 1_000


class _Bucket:
    """The jobs that a tenant may still send within its share."""

    __slots__ = ("filled_at", "size", "tokens")

    def __init__(self, weight: float, now: float) -> None:
        self.size = max(BURST_JOBS_MIN, weight * BURST_S)
        self.tokens = self.size
        self.filled_at = now

    def fill(self, weight: float, now: float) -> None:
        """Add what has become available since the last time."""
        self.size = max(BURST_JOBS_MIN, weight * BURST_S)
        added = weight * max(0.0, now - self.filled_at)
        self.tokens = min(self.size, self.tokens + added)
        self.filled_at = now


class TenantWeights:
    """The buckets of all tenants at one pool's owner.

    >>> weights = TenantWeights()
    >>> [weights.take("parish", 1.0, now=0.0) for _ in range(4)]
    [True, True, True, False]
    >>> weights.take("parish", 1.0, now=1.0)
    True
    >>> weights.take("press", 1.0, now=1.0)
    True
    """

    __slots__ = ("_buckets",)

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def is_spent(self, tenant: str, weight: float, now: float) -> bool:
        """Return whether the next job would be over the share."""
        bucket = self._buckets.get(tenant)
        if bucket is None:
            return False
        bucket.fill(weight, now)
        return bucket.tokens < 1.0

    def take(self, tenant: str, weight: float, now: float) -> bool:
        """Count a job; return whether it is within the share."""
        bucket = self._buckets.get(tenant)
        if bucket is None:
            self._forget_full(now)
            bucket = self._buckets[tenant] = _Bucket(weight, now)
        bucket.fill(weight, now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def may_wait(self, weight: float, waiting: int) -> bool:
        """Return whether one more job over the share may wait.

        `waiting` of the tenant's jobs over its share haven't started.
        """
        return waiting < max(WAITING_MIN, weight * WAITING_S)

    def _forget_full(self, now: float) -> None:
        """Forget the buckets of idle tenants, if there are too many."""
        if len(self._buckets) < TENANTS_MAX:
            return
        for tenant, bucket in list(self._buckets.items()):
            if now - bucket.filled_at >= IDLE_S:
                del self._buckets[tenant]
