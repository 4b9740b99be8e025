"""What the tasks of each tenant use on the executors of a pool; no I/O.

Each run counts from the moment that its start is sent until it is known that
it isn't running, whether or not its task still needs it.
"""

from __future__ import annotations

from lycheelug.resources import Resources, add_resources
from lycheelug.tenants.amounts import NOTHING, subtract

__all__ = ["TenantUsage"]


class TenantUsage:
    """The resources of the runs in one pool, by tenant.

    >>> usage = TenantUsage()
    >>> usage.add("parish", Resources(500, 64, 0), is_adopted=False)
    >>> usage.started("parish"), usage.adopted("parish").cpu_millis
    (Resources(cpu_millis=500, memory_mb=64, gpus=0), 0)
    """

    __slots__ = ("_adopted", "_started")

    def __init__(self) -> None:
        # Runs that this owner has started, and those of earlier owners.
        self._started: dict[str, Resources] = {}
        self._adopted: dict[str, Resources] = {}

    @property
    def tenants(self) -> set[str]:
        """The tenants with runs."""
        return self._started.keys() | self._adopted.keys()

    def started(self, tenant: str) -> Resources:
        """Return what the runs use that this owner has started."""
        return self._started.get(tenant, NOTHING)

    def adopted(self, tenant: str) -> Resources:
        """Return what the reported runs of earlier owners use."""
        return self._adopted.get(tenant, NOTHING)

    def add(self, tenant: str, amount: Resources, is_adopted: bool) -> None:
        """Add a run."""
        amounts = self._adopted if is_adopted else self._started
        amounts[tenant] = add_resources(amounts.get(tenant, NOTHING), amount)

    def remove(self, tenant: str, amount: Resources, is_adopted: bool) -> None:
        """Remove a run."""
        amounts = self._adopted if is_adopted else self._started
        left = subtract(amounts.get(tenant, NOTHING), amount)
        if any(left):
            amounts[tenant] = left
        else:
            amounts.pop(tenant, None)
