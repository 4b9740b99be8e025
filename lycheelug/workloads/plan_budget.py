"""Limits the work of one plan of a pool; no I/O.

While a plan is made, the daemon does nothing else: it renews no leases,
writes no heartbeats and proves no ownership.  What a plan has no budget for
is left to the next one, which comes soon.
"""

from __future__ import annotations

from typing import Final

__all__ = ["PlanBudget"]

# Executors that are considered for tasks in one plan.  The last task may
# exceed it, so that each plan makes progress, whatever the pool's size.
CHECKS_MAX: Final = 50_000
# Tasks that are started by one plan.  A gang is started as a whole.
STARTS_MAX: Final = 200
# The target duration of a plan.  On a host that needs longer for the whole
# budget, plans have a share of it.
TARGET_S: Final = 0.05
SHARE_MIN: Final = 0.25


class PlanBudget:
    """What the plans of one pool may do.

    >>> budget = PlanBudget()
    >>> budget.charge(CHECKS_MAX)
    >>> budget.is_spent, budget.are_checks_spent
    (True, True)
    >>> budget.record_duration(2 * TARGET_S)
    >>> budget.begin()
    >>> budget.charge(CHECKS_MAX // 2)
    >>> budget.is_spent
    True
    """

    __slots__ = ("_checks", "_share", "_starts")

    def __init__(self) -> None:
        self._share = 1.0
        self._checks = 0
        self._starts = 0

    @property
    def checks(self) -> int:
        """The number of executors that this plan has considered."""
        return self._checks

    @property
    def are_checks_spent(self) -> bool:
        """Whether this plan may consider no more executors."""
        return self._checks >= CHECKS_MAX * self._share

    @property
    def is_spent(self) -> bool:
        """Whether the rest is left to the next plan."""
        if self._starts >= STARTS_MAX * self._share:
            return True
        return self.are_checks_spent

    def begin(self) -> None:
        """Begin a new plan."""
        self._checks = 0
        self._starts = 0

    def charge(self, checks: int) -> None:
        """Record that some executors are considered."""
        self._checks += checks

    def charge_start(self) -> None:
        """Record that a task is started."""
        self._starts += 1

    def record_duration(self, took_s: float) -> None:
        """Adapt the share to how long a plan took that spent its budget."""
        if not self.is_spent:
            return
        if took_s > TARGET_S:
            self._share = max(SHARE_MIN, self._share / 2)
        elif took_s < TARGET_S / 2:
            self._share = min(1.0, self._share * 2)
