from __future__ import annotations

import pytest

from lycheelug.fleet import FleetSnapshot
from lycheelug.records import HostRow, encode, host_key
from lycheelug.sheet import WindowSpec
from lycheelug.store.interface import HostDelta, HostEntry, HostState, Row
from lycheelug.waves import (
    MAINTENANCE_AHEAD_S,
    MAINTENANCE_INTERVAL_S,
    next_window_start,
    open_until,
    plan_waves,
)

DAY = 86_400.0
HOUR = 3_600.0
# A Monday at midnight UTC.
MONDAY = 1_764_547_200.0
NIGHT = WindowSpec("", (0,), 22 * 60, 2 * 60)
NOON = WindowSpec("a", tuple(range(7)), 12 * 60, 13 * 60)
ALL_DAY = WindowSpec("b", (1, 2), 0, 24 * 60)

# name, windows, zone, current time, end of the open window (None: closed) and
# next start (None: no window); times are hours after the start of Monday
WINDOWS = [
    ("before", [NIGHT], "a", 21.0, None, 22.0),
    ("first second", [NIGHT], "a", 22.0, 26.0, 22.0),
    ("past midnight", [NIGHT], "a", 25.5, 26.0, 22.0 + 7 * 24),
    ("just after", [NIGHT], "a", 26.0, None, 22.0 + 7 * 24),
    ("another zone's", [NOON], "b", 12.5, None, None),
    ("the longer of two", [NOON, WindowSpec("", (0,), 0, 900)], "a", 12.5,
     15.0, 36.0),
    ("all day", [ALL_DAY], "b", 24.0, 48.0, 24.0),
    ("none", [], "a", 0.0, None, None),
]  # fmt: skip


@pytest.mark.parametrize(
    ("windows", "zone", "hour", "end", "start"),
    [row[1:] for row in WINDOWS],
    ids=[row[0] for row in WINDOWS],
)
def test_windows(
    windows: list[WindowSpec],
    zone: str,
    hour: float,
    end: float | None,
    start: float | None,
) -> None:
    now = MONDAY + hour * HOUR
    until = open_until(windows, zone, now)
    assert until == (None if end is None else MONDAY + end * HOUR)
    opens = next_window_start(windows, zone, now)
    assert opens == (None if start is None else MONDAY + start * HOUR)


def test_waves_are_due_racks_the_most_overdue_first() -> None:
    now = 100 * DAY
    due = now - MAINTENANCE_INTERVAL_S + MAINTENANCE_AHEAD_S
    ages = {
        "w1": ("r1", due),
        "w2": ("r1", due + 1),
        "w3": ("r2", due - DAY),
        "w4": ("r2", due - 2 * DAY),
        "w5": ("r3", due - 9 * DAY),
    }
    fleet = FleetSnapshot()
    entries = []
    for index, (name, (rack, at)) in enumerate(ages.items()):
        row = HostRow(name, "a", rack, "p", maintained_at=at)
        fleet.apply_row(Row(host_key("a", name), encode(row), index + 1))
        state = HostState.GONE if name == "w5" else HostState.LIVE
        entries.append(HostEntry(name, "a", rack, "", state=state))
    fleet.apply_hosts(HostDelta(entries, 1))
    waves = [
        (wave.rack, [row.name for row in wave.hosts])
        for wave in plan_waves(fleet, now)
    ]
    assert waves == [("r2", ["w4", "w3"]), ("r1", ["w1"])]
