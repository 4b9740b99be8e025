"""The tenants of one version of the configuration; no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.resources import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

__all__ = ["NO_CAP", "Tenant", "TenantDirectory", "is_foreign"]

# In a cap, 0 stands for no limit.
NO_CAP: Final = Resources(0, 0, 0)


class Tenant:
    """One tenant, as configured."""

    __slots__ = ("cap", "keys", "name", "weight")

    def __init__(
        self,
        name: str,
        keys: Sequence[str] = (),
        weight: float = 1.0,
        cap: Resources = NO_CAP,
    ) -> None:
        self.name = name
        # The keys that its calls may carry.
        self.keys = tuple(keys)
        # Its share of a full fleet, in jobs a second.
        self.weight = weight
        # What its tasks may use on all executors; 0 for no limit.
        self.cap = cap

    @property
    def is_capped(self) -> bool:
        """Whether any resource is limited."""
        return any(self.cap)


class TenantDirectory:
    """All tenants of a configuration, by name and by key.

    >>> directory = TenantDirectory([Tenant("parish", ["k1", "k2"])])
    >>> directory.tenant_of("k2")
    'parish'
    >>> directory.tenant_of("k3") is None
    True
    """

    __slots__ = ("_by_key", "by_name", "has_caps")

    def __init__(self, tenants: Iterable[Tenant] = ()) -> None:
        self.by_name: dict[str, Tenant] = {}
        self._by_key: dict[str, str] = {}
        # Whether any tenant has a cap.
        self.has_caps = False
        for tenant in tenants:
            self.by_name[tenant.name] = tenant
            self.has_caps = self.has_caps or tenant.is_capped
            for key in tenant.keys:
                self._by_key[key] = tenant.name

    def tenant_of(self, key: str) -> str | None:
        """Return the name of the tenant that a key belongs to."""
        return self._by_key.get(key)

    def find(self, name: str) -> Tenant | None:
        """Return the tenant with a name."""
        return self.by_name.get(name)


def is_foreign(owner: str, tenant: str) -> bool:
    """Return whether an owner's job is hidden from a tenant.

    Jobs and calls without a tenant are open to all.

    >>> is_foreign("parish", "council"), is_foreign("", "council")
    (True, False)
    """
    return bool(owner and tenant) and owner != tenant
