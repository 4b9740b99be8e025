"""Measures the cost of fleet planning, and its plans against baselines.

Run as `python -m bench.fleet`.  For several fleet sizes, the first table
plans a whole fleet for a new sheet and reports processor time, memory, and
the bytes read, the transactions and the bytes written in one round.  The
second table compares the moves and rounds with their lower bounds and with
the naive planner.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from collections import Counter
from typing import Final

from lycheelug.budgets import budgets_of
from lycheelug.fleet import FleetSnapshot
from lycheelug.moves import MOVE_PLANNERS, Move, final_layout
from lycheelug.plan import next_steps
from lycheelug.plan_report import apply_step, explain_plan
from lycheelug.records import (
    SHEET_KEY,
    SheetRow,
    encode,
)
from lycheelug.sheet import Sheet, parse_sheet
from lycheelug.sheet_checks import check_sheet
from lycheelug.steps import ChangeKind, Step
from lycheelug.store.interface import HostDelta, HostEntry, Row

__all__ = ["main"]

SIZES: Final = (325, 650, 1_300, 2_600, 13_000)
POOLS: Final = 57
ZONES: Final = 5
TENANTS: Final = 42
HOSTS_PER_RACK: Final = 4
REPEATS: Final = 5
# Shares of a pool's hosts that its budget keeps available.
BUDGETS: Final = (0.8, 0.95)
NOW_S: Final = 1_764_547_200.0


def make_sheet(hosts: int, seed: int, keep: float = 0.8) -> str:
    """Return a sheet that distributes most hosts over all pools.

    `keep` is the share of its hosts that a pool's budget keeps available.
    """
    rng = random.Random(seed)
    zones = [f"z{index}" for index in range(ZONES)]
    zone_columns = ",".join(f"hosts:{zone}" for zone in zones)
    lines = [
        f"kind,pool,min_available,survive_rack,spare,{zone_columns},tenant,share"
    ]
    share = hosts / ZONES / POOLS
    for index in range(POOLS - 1):
        wanted = [
            int(share * rng.uniform(0.4, 1.2) + rng.random()) for _ in zones
        ]
        minimum = max(0, min(int(sum(wanted) * keep), sum(wanted) - 1))
        cells = ",".join(str(count) for count in wanted)
        lines.append(f"pool,p{index:02},{minimum},,,{cells},,")
    lines.append(f"pool,spare,0,,yes,{',' * (ZONES - 1)},,")
    for tenant in range(TENANTS):
        lines.append(f"quota,,,,,{',' * (ZONES - 1)},t{tenant},2%")
    return "\n".join(lines)


def make_fleet(hosts: int) -> FleetSnapshot:
    """Return a fleet in the state of the first sheet, with its rows."""
    fleet = FleetSnapshot()
    entries: list[HostEntry] = []
    for index in range(hosts):
        zone = f"z{index % ZONES}"
        rack = f"r{index // ZONES // HOSTS_PER_RACK}"
        address = f"10.0.{index // 250}.{index % 250}:80"
        entries.append(HostEntry(f"w{index:05}", zone, rack, address))
    fleet.apply_hosts(HostDelta(entries, 1))
    adopt_sheet(fleet, make_sheet(hosts, 1))
    while True:
        plan = next_steps(fleet, NOW_S, None, maintenance=False)
        if not plan.steps:
            return fleet
        for step in plan.steps:
            apply_step(fleet, step)


def adopt_sheet(fleet: FleetSnapshot, text: str) -> None:
    """Make a sheet the current one of the fleet."""
    revision = fleet.table_revision + 1
    value = encode(SheetRow(text, "bench", str(revision)))
    fleet.apply_rows([Row(SHEET_KEY, value, revision)], revision)


def count_writes(steps: list[Step]) -> tuple[int, int, int]:
    """Return the numbers of transactions, written rows and bytes."""
    rows = 0
    size = 0
    for step in steps:
        transaction = step.transaction("n" * 16)
        rows += len(transaction.writes)
        for write in transaction.writes:
            size += len(write.key) + len(write.value or b"")
    return len(steps), rows, size


def cpu_ms(fleet: FleetSnapshot) -> float:
    """Return the lowest processor time of REPEATS full plannings."""
    lowest_s = float("inf")
    for _ in range(REPEATS):
        started = time.process_time()
        next_steps(fleet, NOW_S)
        lowest_s = min(lowest_s, time.process_time() - started)
    return lowest_s * 1_000.0


def peak_kb(fleet: FleetSnapshot) -> float:
    """Return the peak memory that one planning allocates."""
    tracemalloc.start()
    next_steps(fleet, NOW_S)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak / 1_024.0


def measure_size(hosts: int) -> None:
    """Print one line of the first table."""
    tracemalloc.start()
    fleet = make_fleet(hosts)
    view_kb = tracemalloc.get_traced_memory()[0] / 1_024.0
    tracemalloc.stop()
    read_bytes = sum(len(encode(host.row)) for host in fleet.hosts.values())
    text = make_sheet(hosts, 2)
    started = time.process_time()
    sheet = parse_sheet(text).unwrap()
    faults = check_sheet(sheet, fleet)
    check_ms = (time.process_time() - started) * 1_000.0
    adopt_sheet(fleet, text)
    plan = next_steps(fleet, NOW_S)
    for step in plan.steps:
        apply_step(fleet, step)
    plan_ms = cpu_ms(fleet)
    memory = peak_kb(fleet)
    steps = next_steps(fleet, NOW_S).steps
    txs, rows, size = count_writes(steps)
    print(
        f"{hosts:>6} {check_ms:>9.1f} {plan_ms:>9.1f} "
        f"{plan_ms / hosts * 1_000:>9.1f} {memory:>8.0f} {view_kb:>8.0f} "
        f"{read_bytes / 1_024:>8.0f} {txs:>5} {rows:>6} {size / 1_024:>8.1f} "
        f"{len(faults):>6}"
    )


def drain_rounds(
    fleet: FleetSnapshot, sheet: Sheet
) -> tuple[int, Counter[str]]:
    """Return the number of rounds of a roll-out and its changes by kind."""
    report = explain_plan(sheet, fleet, NOW_S)
    changes: Counter[str] = Counter()
    for planned in report.rounds:
        changes.update(str(change.kind) for change in planned.changes)
    if report.blockers:
        changes["blocked"] = len(report.blockers)
    return len(report.rounds), changes


def fewest_rounds(
    fleet: FleetSnapshot, sheet: Sheet, moves: list[Move]
) -> int:
    """Return a lower bound on the rounds of a roll-out of some moves.

    The first round adopts the sheet.  In the second, a pool drains at most
    its slack.  The hosts drained then serve their new pool after the third
    round, so a pool can drain no further host before the fourth.  From the
    fourth round on, a pool drains in each round at most its slack and all
    hosts that it ever receives.  The last drains finish one round later.
    """
    budgets = budgets_of(fleet)
    leaving: Counter[str] = Counter()
    coming: Counter[str] = Counter()
    for move in moves:
        leaving[move.source] += 1
        coming[move.target] += 1
    rounds = 3 if moves else 1
    for pool, count in leaving.items():
        minimum = 0
        if pool in sheet.pools:
            minimum = sheet.pools[pool].min_available
        slack = max(0, budgets[pool].available - minimum)
        remaining = count - slack
        if remaining > 0:
            further_rounds = -(-remaining // max(1, slack + coming[pool]))
            rounds = max(rounds, 4 + further_rounds)
    return rounds


def lower_bound(fleet: FleetSnapshot, sheet: Sheet) -> int:
    """Return a lower bound on moves: the surplus of each pool by zone."""
    current = Counter(
        (host.row.pool, host.row.zone) for host in fleet.hosts.values()
    )
    target = Counter(
        (pool, fleet.listed[host].zone)
        for host, pool in final_layout(sheet, fleet).items()
    )
    return sum(max(0, count - target[key]) for key, count in current.items())


def rack_pairs(fleet: FleetSnapshot, moves: list[Move]) -> int:
    """Count the pairs of hosts of one pool in one rack after some moves."""
    pools = {name: host.row.pool for name, host in fleet.hosts.items()}
    for move in moves:
        pools[move.host] = move.target
    counts = Counter(
        (pool, fleet.listed[host].zone, fleet.listed[host].rack)
        for host, pool in pools.items()
        if pool != "spare"
    )
    return sum(count * (count - 1) // 2 for count in counts.values())


def measure_moves(hosts: int, keep: float) -> None:
    """Print one line of the second table."""
    fleet = make_fleet(hosts)
    sheet = parse_sheet(make_sheet(hosts, 2, keep)).unwrap()
    minimal = MOVE_PLANNERS.get("minimal")(sheet, fleet)
    naive = MOVE_PLANNERS.get("naive")(sheet, fleet)
    rounds, changes = drain_rounds(fleet, sheet)
    print(
        f"{hosts:>6} {keep:>5.0%} {len(minimal):>6} "
        f"{lower_bound(fleet, sheet):>7} {len(naive):>6} "
        f"{rack_pairs(fleet, minimal):>6} "
        f"{rack_pairs(fleet, naive):>6} {rounds:>7} "
        f"{fewest_rounds(fleet, sheet, minimal):>7} "
        f"{fewest_rounds(fleet, sheet, naive):>6} "
        f"{changes[ChangeKind.DRAIN]:>7} {changes['blocked']:>7}"
    )


def main() -> None:
    """Print both tables."""
    print(f"{POOLS} pools, {ZONES} zones, {TENANTS} tenants' quotas")
    print(
        "one re-plan after a new sheet: check and plan in ms of processor "
        "time,\nmemory in KB, store operations of one round"
    )
    print(
        f"{'hosts':>6} {'check ms':>9} {'plan ms':>9} {'us/host':>9} "
        f"{'plan KB':>8} {'view KB':>8} {'read KB':>8} {'txs':>5} "
        f"{'rows':>6} {'write KB':>8} {'faults':>6}"
    )
    for hosts in SIZES:
        measure_size(hosts)
    print("\nmoves, pairs of a pool in one rack, and rounds of a roll-out")
    print(
        f"{'hosts':>6} {'keep':>5} {'moves':>6} {'fewest':>7} {'naive':>6} "
        f"{'pairs':>6} {'naive':>6} {'rounds':>7} {'fewest':>7} "
        f"{'naive':>6} {'drains':>7} {'blocked':>7}"
    )
    for hosts in SIZES:
        for keep in BUDGETS:
            measure_moves(hosts, keep)


if __name__ == "__main__":
    main()
