"""Availability budgets: how many hosts of a pool may be stopped now.

A host is available if it serves, the platform lists it as live, and no
planned stop includes it.  Failed hosts therefore use up the budget before
planned stops do.  A pool may also require that the budget still holds after
the failure of one more rack: the largest number of available hosts in any
rack is then kept in reserve.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheelug.fleet import FleetSnapshot
    from lycheelug.records import HostRow, PoolRow

__all__ = ["PoolBudget", "budget_of", "budgets_of", "rack_of"]


class PoolBudget:
    """The number of available hosts of one pool, in total and by rack."""

    __slots__ = (
        "_by_rack",
        "_largest",
        "_racks_by_size",
        "available",
        "min_available",
        "survive_rack",
    )

    def __init__(self, min_available: int, survive_rack: bool) -> None:
        self.min_available = min_available
        self.survive_rack = survive_rack
        self.available = 0
        self._by_rack: Counter[str] = Counter()
        self._racks_by_size: Counter[int] = Counter()
        self._largest = 0

    @property
    def slack(self) -> int:
        """Available hosts beyond the minimum and the rack reserve."""
        reserve = self._largest if self.survive_rack else 0
        return self.available - reserve - self.min_available

    def add(self, rack: str) -> None:
        """Count an available host."""
        self.available += 1
        count = self._by_rack[rack]
        self._by_rack[rack] = count + 1
        self._racks_by_size[count] -= 1
        self._racks_by_size[count + 1] += 1
        self._largest = max(self._largest, count + 1)

    def can_stop_host(self, rack: str) -> bool:
        """Return whether a host of a rack may be stopped now.

        >>> budget = PoolBudget(1, survive_rack=True)
        >>> for rack in ("r1", "r1", "r2"):
        ...     budget.add(rack)
        >>> budget.can_stop_host("r1"), budget.can_stop_host("r2")
        (True, False)
        """
        reserve = 0
        if self.survive_rack:
            reserve = self._largest
            if self._is_only_largest(rack):
                reserve -= 1
        return self.available - 1 - reserve >= self.min_available

    def count_stopped(self, rack: str) -> None:
        """Record that a host of a rack is stopped."""
        is_only_largest = self._is_only_largest(rack)
        count = self._by_rack[rack]
        self.available -= 1
        self._by_rack[rack] = count - 1
        self._racks_by_size[count] -= 1
        self._racks_by_size[count - 1] += 1
        if is_only_largest:
            self._largest -= 1

    def _is_only_largest(self, rack: str) -> bool:
        if self._by_rack[rack] != self._largest:
            return False
        return self._racks_by_size[self._largest] == 1


def budgets_of(fleet: FleetSnapshot) -> dict[str, PoolBudget]:
    """Return the budget of each pool in a fleet snapshot."""
    budgets: dict[str, PoolBudget] = {}
    stopping: set[str] = set()
    for name, pool in fleet.pools.items():
        budgets[name] = budget_of(pool.row)
        stopping.update(pool.row.out)
    for host in fleet.hosts.values():
        row = host.row
        budget = budgets.get(row.pool)
        if budget is None or row.name in stopping:
            continue
        if fleet.in_service(row):
            budget.add(rack_of(row))
    return budgets


def budget_of(pool: PoolRow) -> PoolBudget:
    """Return a pool's budget before any host is counted."""
    return PoolBudget(pool.min_available, pool.survive_rack)


def rack_of(row: HostRow) -> str:
    """Return a name of a host's rack that is unique in the fleet."""
    return f"{row.zone}/{row.rack}"
