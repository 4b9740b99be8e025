"""The caps of all tenants as seen by the owner of one pool; no I/O.

The owner's ledger passes in the configuration and the rows, and stores the
changes that `review` returns.  The pool's plan asks `has_room` before it
starts a task.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.tenants.model import NO_CAP, TenantDirectory
from lycheelug.tenants.reservation import NO_NEED, Need
from lycheelug.tenants.share import TenantShare
from lycheelug.tenants.usage import TenantUsage
from lycheelug.tenants.weights import TenantWeights

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lycheelug.resources import Resources
    from lycheelug.tenants.records import ShareRecord

__all__ = ["PoolShares", "ShareChange"]

# The tenants of one transaction, each with one condition and one write.
CHANGES_MAX: Final = 45


class ShareChange:
    """A record to write for one tenant; no pools stand for a removal."""

    __slots__ = ("record", "share")

    def __init__(self, share: TenantShare, record: ShareRecord) -> None:
        self.share = share
        self.record = record


class PoolShares:
    """What one pool may start of each tenant, during one term.

    >>> shares = PoolShares("quotes", term=1)
    >>> shares.has_room("", NO_NEED.unit, NO_NEED.task)
    True
    >>> shares.has_room("parish", NO_NEED.unit, NO_NEED.task)
    False
    >>> shares.configure(1, TenantDirectory())
    >>> shares.has_room("parish", NO_NEED.unit, NO_NEED.task)
    True
    """

    __slots__ = (
        "_is_settled",
        "_pool",
        "_shares",
        "_term",
        "directory",
        "held",
        "usage",
        "version",
        "weights",
    )

    def __init__(self, pool: str, term: int) -> None:
        self._pool = pool
        self._term = term
        self._is_settled = False
        # Shares of the tenants that have rows, runs or jobs here.
        self._shares: dict[str, TenantShare] = {}
        self.usage = TenantUsage()
        self.weights = TenantWeights()
        # The tenants in the newest configuration; None before the first.
        self.directory: TenantDirectory | None = None
        self.version = 0
        # How many tasks of each tenant the last plan has held.
        self.held: dict[str, int] = {}

    @property
    def is_needed(self) -> bool:
        """Whether the rows have to be followed: a tenant has a cap."""
        if self._shares:
            return True
        return self.directory is not None and self.directory.has_caps

    @property
    def is_superseded(self) -> bool:
        """Whether a row shows that the pool has a later owner."""
        return any(share.is_superseded for share in self._shares.values())

    def share_of(self, tenant: str) -> TenantShare | None:
        """Return a tenant's share, or None if it isn't known."""
        return self._shares.get(tenant)

    def configure(self, version: int, directory: TenantDirectory) -> None:
        """Apply a configuration.

        A tenant that it lacks keeps its last cap for the jobs that it still
        has.
        """
        self.version = version
        self.directory = directory
        for name, share in self._shares.items():
            tenant = directory.find(name)
            if tenant is not None:
                share.configure(version, tenant.cap)

    def apply_row(
        self, tenant: str, record: ShareRecord | None, version: int
    ) -> None:
        """Apply a version of a tenant's row; `None` if it was removed."""
        self._find(tenant).apply_row(record, version)

    def begin_plan(self, is_settled: bool) -> None:
        """Begin a plan; all runs of earlier owners may be known by now."""
        self.held = {}
        if is_settled is self._is_settled:
            return
        self._is_settled = is_settled
        for share in self._shares.values():
            share.is_settled = is_settled

    def has_room(
        self, tenant: str, amount: Resources, task: Resources
    ) -> bool:
        """Return whether a task or gang of a tenant may start now.

        `task` is the amount of one task.  If it may not, it counts as held.
        """
        if not tenant:
            return True
        if self.directory is None:
            # The cap isn't known.
            self.held[tenant] = self.held.get(tenant, 0) + 1
            return False
        share = self._shares.get(tenant)
        if share is None:
            configured = self.directory.find(tenant)
            if configured is None or not configured.is_capped:
                return True
            share = self._find(tenant)
        if share.has_room(amount, task):
            return True
        self.held[tenant] = self.held.get(tenant, 0) + 1
        return False

    def takes_share(self, tenant: str, now: float) -> bool:
        """Count an accepted job; return whether it is within the share."""
        weight = self.weight_of(tenant)
        return weight is None or self.weights.take(tenant, weight, now)

    def may_wait(self, tenant: str, waiting: int, now: float) -> bool:
        """Return whether one more job of a tenant may wait for its start.

        `waiting` of the tenant's jobs over its share haven't started.
        """
        weight = self.weight_of(tenant)
        if weight is None or not self.weights.is_spent(tenant, weight, now):
            return True
        return self.weights.may_wait(weight, waiting)

    def weight_of(self, tenant: str) -> float | None:
        """Return a tenant's weight; None if it isn't configured."""
        if not tenant or self.directory is None:
            return None
        configured = self.directory.find(tenant)
        return configured.weight if configured is not None else None

    def review(
        self, needs: Mapping[str, Need], free: Resources, now: float
    ) -> list[ShareChange]:
        """Return the changes to write, those of lacking pools first.

        `needs` are the waiting tasks by tenant, `free` is the free capacity
        of the pool.
        """
        for tenant in needs.keys() | self.usage.tenants:
            if tenant not in self._shares and self._is_capped(tenant):
                self._find(tenant)
        changes: list[ShareChange] = []
        for tenant, share in self._shares.items():
            need = needs.get(tenant, NO_NEED)
            record = share.review(need, free, now, tenant in self.held)
            if record is not None:
                changes.append(ShareChange(share, record))
        changes.sort(key=lambda change: change.share.tenant not in self.held)
        return changes[:CHANGES_MAX]

    def forget_unused(self, needs: Mapping[str, Need], version: int) -> None:
        """Forget the tenants without rows, runs and waiting tasks.

        All versions of the rows up to `version` were applied.
        """
        used = needs.keys() | self.usage.tenants
        for tenant, share in list(self._shares.items()):
            if tenant not in used and share.is_forgettable(version):
                del self._shares[tenant]

    def _is_capped(self, tenant: str) -> bool:
        """Return whether the configuration limits a tenant."""
        if self.directory is None:
            return False
        configured = self.directory.find(tenant)
        return configured is not None and configured.is_capped

    def _find(self, tenant: str) -> TenantShare:
        """Return a tenant's share; create it if it is missing."""
        share = self._shares.get(tenant)
        if share is not None:
            return share
        share = TenantShare(tenant, self._pool, self._term, self.usage)
        share.is_settled = self._is_settled
        self._shares[tenant] = share
        configured = self.directory.find(tenant) if self.directory else None
        if configured is not None:
            share.configure(self.version, configured.cap)
        else:
            share.configure(0, NO_CAP)
        return share
