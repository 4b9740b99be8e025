"""Detects availability zones that the pools' owners can't reach."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from lycheelug.fleetplan.hosts import HostState

if TYPE_CHECKING:
    from collections.abc import Container, Mapping

    from lycheelug.fleetplan.hosts import HostInfo
    from lycheelug.fleetplan.records import SummaryRecord

__all__ = ["isolated_zones"]

# A smaller number of unusable hosts is attributed to the hosts themselves.
UNUSABLE_MIN: Final = 2


def isolated_zones(
    hosts: Mapping[str, HostInfo],
    summaries: Mapping[str, SummaryRecord],
    leaving: Container[str],
) -> set[str]:
    """Return the zones in which most hosts in use are unusable.

    Hosts in `leaving` are not counted: they are unusable because they are
    being drained.
    """
    usable: Counter[str] = Counter()
    unusable: Counter[str] = Counter()
    for name, host in hosts.items():
        if host.state is not HostState.UP or name in leaving:
            continue
        summary = summaries.get(host.pool)
        load = summary.hosts.get(name) if summary is not None else None
        if load is None or load.executor != host.executor_id:
            continue
        if load.is_usable:
            usable[host.zone] += 1
        else:
            unusable[host.zone] += 1
    found: set[str] = set()
    for zone, count in unusable.items():
        if count >= UNUSABLE_MIN and count > usable[zone]:
            found.add(zone)
    return found
