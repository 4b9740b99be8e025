"""The usage of a pool's slots by each tenant, for quotas and fair shares.

A tenant's usage is its recent mean number of slots, averaged with
exponentially decaying weights.  Instead of decaying the sum of every tenant
as time passes, later usage gets a larger weight: sums stay comparable with
one another, and one factor per query converts them into slots.  All sums are
scaled down together before the weight can overflow.

Usage is charged when a run starts, by its expected run time, and corrected
when the run ends, so that a tenant can't start many runs before the first
one is counted.
"""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["TenantUsage"]

# The weight grows to exp(40) before all sums are scaled down.
MAX_EXPONENT: Final = 40.0
# Tenants that use less than this many slots are removed.
NEGLIGIBLE_SLOTS: Final = 0.001


class TenantUsage:
    """The recent usage of one pool's slots by each tenant.

    >>> usage = TenantUsage({"hog": 0.25}, window_s=10.0)
    >>> usage.charge("hog", 30.0, now=0.0)
    >>> usage.charge("shop", 1.0, now=0.0)
    >>> usage.slots("hog", now=0.0)
    3.0
    >>> usage.is_quota_spent("hog", now=0.0, capacity=8)
    True
    >>> usage.is_over_share("shop", usage.fair_share_sum(0.0, 8))
    False
    """

    __slots__ = ("_origin", "_quotas", "_sums", "_window_s")

    def __init__(self, quotas: Mapping[str, float], window_s: float) -> None:
        self._quotas = dict(quotas)
        self._window_s = window_s
        self._origin = 0.0
        self._sums: dict[str, float] = {}

    @property
    def tenants(self) -> int:
        """The number of tenants that have used the pool recently."""
        return len(self._sums)

    def reconfigure(self, quotas: Mapping[str, float]) -> None:
        """Replace the quotas; keep the usage so far."""
        self._quotas = dict(quotas)

    def charge(self, tenant: str, slot_s: float, now: float) -> None:
        """Add slot-seconds to a tenant's usage; negative ones correct it."""
        weight = self._weight(now)
        total = self._sums.get(tenant, 0.0) + slot_s * weight
        self._sums[tenant] = max(total, 0.0)

    def slots(self, tenant: str, now: float) -> float:
        """Return a tenant's mean usage in slots."""
        total = self._sums.get(tenant, 0.0)
        return total / (self._weight(now) * self._window_s)

    def is_quota_spent(self, tenant: str, now: float, capacity: int) -> bool:
        """Whether a tenant uses more slots than its quota allows."""
        share = self._quotas.get(tenant)
        if share is None:
            return False
        return self.slots(tenant, now) > share * capacity

    def fair_share_sum(self, now: float, capacity: int) -> float:
        """Return the sum above which a tenant is above its fair share.

        All tenants that used the pool recently have equal shares.
        """
        share = capacity / max(1, len(self._sums))
        return share * self._weight(now) * self._window_s

    def is_over_share(self, tenant: str, fair_share_sum: float) -> bool:
        """Whether a tenant's sum exceeds the result of `fair_share_sum`."""
        return self._sums.get(tenant, 0.0) > fair_share_sum

    def _weight(self, now: float) -> float:
        """Return the weight of usage at this time."""
        exponent = (now - self._origin) / self._window_s
        if exponent > MAX_EXPONENT:
            self._rescale(now, exp(-exponent))
            return 1.0
        return exp(exponent)

    def _rescale(self, now: float, factor: float) -> None:
        """Make `now` the origin and remove tenants with negligible usage."""
        least = NEGLIGIBLE_SLOTS * self._window_s
        kept: dict[str, float] = {}
        for tenant, total in self._sums.items():
            scaled = total * factor
            if scaled < least:
                continue
            kept[tenant] = scaled
        self._sums = kept
        self._origin = now
