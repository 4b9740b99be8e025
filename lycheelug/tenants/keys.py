"""Decides whether a call's key is valid, on knowledge of a known age; no I/O.

The knowledge is a copy of the configuration.  Its age is the time since
before the request was sent whose answer has completed it, so it lacks only
changes that were confirmed after that.  A call that is admitted at an age
below a bound was sent before that bound had passed since the confirmation of
any change that the copy lacks.
"""

from __future__ import annotations

import math
from enum import Enum, auto
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from lycheelug.tenants.model import TenantDirectory

__all__ = ["KeyAdmission", "KeyCheck", "KeyVerdict"]

# The share of a bound for which knowledge is used.  The rest is for clocks
# that run at different rates.
KNOWLEDGE_SHARE: Final = 0.9


class KeyVerdict(Enum):
    """Whether a call may be served."""

    ADMITTED = auto()
    # No tenant has the key.
    UNKNOWN = auto()
    # The knowledge is too old to tell.
    UNVERIFIED = auto()


class KeyAdmission:
    """The verdict on a call, and the tenant it is for."""

    __slots__ = ("tenant", "verdict")

    def __init__(self, verdict: KeyVerdict, tenant: str = "") -> None:
        self.verdict = verdict
        # Empty for none.
        self.tenant = tenant


class KeyCheck:
    """Checks keys against a directory of tenants.

    >>> from lycheelug.tenants import Tenant, TenantDirectory
    >>> directory = TenantDirectory([Tenant("parish", ["k1"])])
    >>> check = KeyCheck(is_strict=True, revoke_s=5.0, apply_s=3.0)
    >>> check.check("k1", directory, age_s=1.0).tenant
    'parish'
    >>> check.check("k1", directory, age_s=2.8).verdict.name
    'UNVERIFIED'
    >>> check.check("k2", directory, age_s=1.0).verdict.name
    'UNKNOWN'
    """

    __slots__ = ("_unknown_age_max_s", "age_max_s")

    def __init__(
        self, is_strict: bool, revoke_s: float, apply_s: float
    ) -> None:
        # The age below which known keys are admitted.
        self.age_max_s = math.inf
        if is_strict:
            self.age_max_s = KNOWLEDGE_SHARE * min(revoke_s, apply_s)
        # The age below which unknown keys are refused for good.
        self._unknown_age_max_s = KNOWLEDGE_SHARE * apply_s

    @property
    def is_strict(self) -> bool:
        """Whether keys are admitted on recent knowledge only."""
        return math.isfinite(self.age_max_s)

    def can_verify(self, age_s: float) -> bool:
        """Return whether known keys are admitted at this age."""
        return age_s < self.age_max_s

    def check(
        self, key: str, directory: TenantDirectory, age_s: float
    ) -> KeyAdmission:
        """Return the verdict on a key."""
        tenant = directory.tenant_of(key)
        if tenant is None:
            if age_s < self._unknown_age_max_s:
                return KeyAdmission(KeyVerdict.UNKNOWN)
            return KeyAdmission(KeyVerdict.UNVERIFIED)
        if not self.can_verify(age_s):
            return KeyAdmission(KeyVerdict.UNVERIFIED)
        return KeyAdmission(KeyVerdict.ADMITTED, tenant)
