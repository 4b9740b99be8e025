"""Maintenance waves: due hosts by rack, their order and the windows.

Every host must be maintained once in two weeks.  It becomes due some days
earlier, so that several maintenance windows remain in which to maintain it.
A wave is the set of due hosts of one rack.  Racks are ordered by the oldest
last maintenance of their hosts, and only one rack of a zone is out at a
time.  Budgets and the start of waves are left to `plan`.
"""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING, Final

from lycheelug.records import HostPhase
from lycheelug.store.interface import HostState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheelug.fleet import FleetSnapshot
    from lycheelug.records import HostRow
    from lycheelug.sheet import WindowSpec

__all__ = [
    "MAINTENANCE_AHEAD_S",
    "MAINTENANCE_INTERVAL_S",
    "REBOOT_TIMEOUT_S",
    "Wave",
    "is_due",
    "is_late",
    "next_window_start",
    "open_until",
    "plan_waves",
]

_DAY_S: Final = 86_400.0
_MINUTE_S: Final = 60.0
_DAYS_PER_WEEK: Final = 7
MAINTENANCE_INTERVAL_S: Final = 14 * _DAY_S
MAINTENANCE_AHEAD_S: Final = 3 * _DAY_S
# A host whose maintenance takes longer than this is reported as late.
REBOOT_TIMEOUT_S: Final = 15 * _MINUTE_S


class Wave:
    """The due hosts of one rack, the one maintained longest ago first."""

    __slots__ = ("hosts", "oldest_maintained_at", "rack", "zone")

    def __init__(self, zone: str, rack: str, hosts: list[HostRow]) -> None:
        self.zone = zone
        self.rack = rack
        self.hosts = sorted(
            hosts, key=lambda row: (row.maintained_at, row.name)
        )
        self.oldest_maintained_at = self.hosts[0].maintained_at


def is_due(row: HostRow, now: float) -> bool:
    """Return whether a host's next maintenance may start."""
    age = now - row.maintained_at
    return age >= MAINTENANCE_INTERVAL_S - MAINTENANCE_AHEAD_S


def is_late(row: HostRow, now: float) -> bool:
    """Return whether a host has been in maintenance for too long."""
    in_maintenance = row.phase is HostPhase.MAINTENANCE
    return in_maintenance and now - row.since > REBOOT_TIMEOUT_S


def plan_waves(fleet: FleetSnapshot, now: float) -> list[Wave]:
    """Return the due waves, the most overdue first."""
    racks: dict[tuple[str, str], list[HostRow]] = {}
    for versioned in fleet.hosts.values():
        row = versioned.row
        if row.phase is not HostPhase.SERVING or not is_due(row, now):
            continue
        if fleet.listed_state(row.name) is not HostState.LIVE:
            continue
        racks.setdefault((row.zone, row.rack), []).append(row)
    waves = [Wave(zone, rack, hosts) for (zone, rack), hosts in racks.items()]
    waves.sort(
        key=lambda wave: (wave.oldest_maintained_at, wave.zone, wave.rack)
    )
    return waves


def open_until(
    windows: Iterable[WindowSpec], zone: str, now: float
) -> float | None:
    """Return when the zone's open window ends, or None if none is open."""
    end: float | None = None
    for window in windows:
        if window.zone not in ("", zone):
            continue
        for start, stop in _spans(window, now):
            if start <= now < stop:
                end = stop if end is None else max(end, stop)
    return end


def next_window_start(
    windows: Iterable[WindowSpec], zone: str, now: float
) -> float | None:
    """Return when the zone's next window opens, or None if it has none."""
    earliest: float | None = None
    for window in windows:
        if window.zone not in ("", zone):
            continue
        for start, _ in _spans(window, now):
            if start >= now:
                earliest = start if earliest is None else min(earliest, start)
    return earliest


def _spans(window: WindowSpec, now: float) -> list[tuple[float, float]]:
    """Return a window's time spans from yesterday to a week from now.

    Yesterday is included because its window may last past midnight.
    """
    midnight = now - now % _DAY_S
    weekday = datetime.fromtimestamp(midnight, tz=UTC).weekday()
    length = window.end_minute - window.start_minute
    if length <= 0:
        length += 24 * 60
    spans: list[tuple[float, float]] = []
    for offset in range(-1, _DAYS_PER_WEEK + 1):
        if (weekday + offset) % _DAYS_PER_WEEK not in window.days:
            continue
        start = midnight + offset * _DAY_S + window.start_minute * _MINUTE_S
        spans.append((start, start + length * _MINUTE_S))
    return spans
