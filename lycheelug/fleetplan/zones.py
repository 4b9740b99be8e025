"""Tells which availability zones are cut off from the pools' owners."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from lycheelug.fleetplan.hosts import HostState

if TYPE_CHECKING:
    from collections.abc import Container, Mapping

    from lycheelug.fleetplan.hosts import HostInfo
    from lycheelug.fleetplan.records import SummaryRecord

__all__ = ["troubled_zones"]

# Fewer unusable hosts than this are the hosts' own trouble.
UNUSABLE_MIN: Final = 2


def troubled_zones(
    hosts: Mapping[str, HostInfo],
    summaries: Mapping[str, SummaryRecord],
    leaving: Container[str],
) -> set[str]:
    """Return the zones most of whose hosts in use take no tasks.

    Hosts that are to be emptied take none either and are not counted.
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
