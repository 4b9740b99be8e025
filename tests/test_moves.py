from __future__ import annotations

from collections import Counter
from itertools import product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheelug.fleet import FleetSnapshot
from lycheelug.moves import MOVE_PLANNERS, final_layout, plan_moves
from lycheelug.records import HostPhase, HostRow, encode, host_key
from lycheelug.sheet import PoolSpec, Sheet
from lycheelug.store.interface import HostDelta, HostEntry, HostState, Row

POOLS = ("p", "q", "s")
ZONE = "z"


def make_fleet(pools: list[str], gone: frozenset[int]) -> FleetSnapshot:
    fleet = FleetSnapshot()
    entries = []
    for index, pool in enumerate(pools):
        name, rack = f"w{index}", f"r{index % 3}"
        state = HostState.GONE if index in gone else HostState.LIVE
        entries.append(HostEntry(name, ZONE, rack, "", state=state))
        if pool:
            row = HostRow(name, ZONE, rack, pool)
            key = host_key(ZONE, name)
            fleet.apply_row(Row(key, encode(row), index + 1))
    fleet.apply_hosts(HostDelta(entries, 1))
    return fleet


def make_sheet(wanted: list[int], spare: bool) -> Sheet:
    pools = {}
    for name, count in zip(POOLS, wanted, strict=True):
        pools[name] = PoolSpec(name)
        pools[name].wanted = {ZONE: count}
    pools["s"].spare = spare
    return Sheet(pools, [])


def fewest_moves(current: list[str], wanted: list[int], spare: bool) -> int:
    """Return the fewest moves, found by trying every assignment."""
    best = len(current)
    for layout in product(POOLS, repeat=len(current)):
        counts = Counter(layout)
        wanted_counts = dict(zip(POOLS, wanted, strict=True))
        if any(counts[pool] < wanted_counts[pool] for pool in POOLS):
            continue
        if spare and any(counts[pool] != wanted_counts[pool] for pool in "pq"):
            continue
        moves = 0
        for previous, pool in zip(current, layout, strict=True):
            if previous and previous != pool:
                moves += 1
        best = min(best, moves)
    return best


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    pools=st.lists(st.sampled_from(["", *POOLS]), max_size=6),
    wanted=st.lists(st.integers(0, 4), min_size=3, max_size=3),
    spare=st.booleans(),
    gone=st.frozensets(st.integers(0, 5), max_size=2),
)
def test_no_plan_has_fewer_moves(
    pools: list[str], wanted: list[int], spare: bool, gone: frozenset[int]
) -> None:
    fleet = make_fleet(pools, gone)
    sheet = make_sheet(wanted, spare)
    usable = [p for i, p in enumerate(pools) if i not in gone]
    counts = Counter(final_layout(sheet, fleet).values())
    if sum(wanted) <= len(usable):
        assert len(plan_moves(sheet, fleet)) == fewest_moves(
            usable, wanted, spare
        )
        short = [
            p for p, n in zip(POOLS, wanted, strict=True) if counts[p] < n
        ]
        assert not short
    else:
        # If the zone has too few hosts, every host is in a pool that wants it.
        assert all(counts[p] <= n for p, n in zip(POOLS, wanted, strict=True))
        assert counts.total() == len(usable)


SPREAD = [
    # name, pools of 12 hosts in 3 racks (host i in rack i % 3), wanted hosts,
    # number of hosts of pool p in its fullest rack afterwards
    ("releases from its fullest racks", ["s"] * 12, [3, 3, 0], 1),
    ("receives where it has fewest", ["p", "s", "s"] * 4, [6, 0, 0], 4),
    ("new hosts", [""] * 12, [6, 6, 0], 2),
]


@pytest.mark.parametrize(
    ("pools", "wanted", "top"),
    [row[1:] for row in SPREAD],
    ids=[row[0] for row in SPREAD],
)
def test_pools_spread_over_racks(
    pools: list[str], wanted: list[int], top: int
) -> None:
    layout = final_layout(
        make_sheet(wanted, True), make_fleet(pools, frozenset())
    )
    racks = Counter(
        int(host[1:]) % 3 for host, pool in layout.items() if pool == "p"
    )
    assert max(racks.values()) == top


def test_a_moving_host_is_returned_before_another_is_moved() -> None:
    fleet = make_fleet(["p", "q", "q"], frozenset())
    row = HostRow("w0", ZONE, "r0", "p", HostPhase.DRAINING, 2, "q")
    fleet.apply_row(Row(host_key(ZONE, "w0"), encode(row), 9))
    moves = plan_moves(make_sheet([1, 2, 0], False), fleet)
    assert [(move.host, move.target) for move in moves] == [("w0", "p")]


def test_the_naive_planner_moves_more() -> None:
    fleet = make_fleet(["q", "q", "p", "p"], frozenset())
    sheet = make_sheet([2, 1, 0], True)
    naive = MOVE_PLANNERS.get("naive")(sheet, fleet)
    assert len(plan_moves(sheet, fleet)) == 1 < len(naive)
