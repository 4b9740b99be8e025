"""Admits calls by their keys, and reports when keys can't be verified."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.logs import log_change
from lycheelug.tenants.keys import KeyAdmission, KeyVerdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.metrics import Metrics
    from lycheelug.tenants.keys import KeyCheck
    from lycheelug.tenants.model import TenantDirectory

__all__ = ["KeyGate"]

# Counters of the calls that are not admitted.
COUNTERS: Final = {
    KeyVerdict.UNKNOWN: "calls-unknown-key",
    KeyVerdict.UNVERIFIED: "calls-unverified",
}


class KeyGate:
    """The check of keys in one daemon."""

    __slots__ = ("_check", "_complete_as_of", "_metrics", "_now", "_verified")

    def __init__(
        self,
        check: KeyCheck,
        now: Callable[[], float],
        complete_as_of: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._check = check
        # Returns a monotonic time in seconds that includes suspension.
        self._now = now
        # Returns the time up to which all changes of keys are known.
        self._complete_as_of = complete_as_of
        self._metrics = metrics
        # Whether keys could be verified when that was last looked at.
        self._verified = False

    def can_verify(self) -> bool:
        """Return whether keys can be verified now; log a change of that."""
        return self._can_verify(self._age_s())

    def admit(
        self, key: str, directory: TenantDirectory, is_public: bool = False
    ) -> KeyAdmission:
        """Return the verdict on a call with a key.

        A public call is served in any case; a valid key names its tenant.
        """
        age_s = self._age_s()
        self._can_verify(age_s)
        admission = self._check.check(key, directory, age_s)
        if admission.verdict is KeyVerdict.ADMITTED:
            return admission
        if is_public:
            return KeyAdmission(KeyVerdict.ADMITTED)
        self._metrics.count(COUNTERS[admission.verdict])
        return admission

    def count_malformed(self) -> None:
        """Count a call that has no readable key."""
        self._metrics.count("calls-without-key")

    def _age_s(self) -> float:
        """Return the age of what is known."""
        return self._now() - self._complete_as_of()

    def _can_verify(self, age_s: float) -> bool:
        """Return whether keys can be verified at an age."""
        can_verify = self._check.can_verify(age_s)
        if can_verify is not self._verified:
            self._verified = can_verify
            log_change(
                "keys-verified" if can_verify else "keys-unverified",
                age_s=round(age_s, 3),
                limit_s=self._check.age_max_s,
            )
        return can_verify
