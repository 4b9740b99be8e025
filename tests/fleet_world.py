"""A simulated fleet: two plan drivers, entry daemons and a faulty platform.

Events change the simulation one at a time.  After each event, `check`
verifies the invariants between the platform's rows, the daemons' views and
the requests in flight.  A driver's view is refreshed by separate events, so
a driver may plan from an old view, as if it had been paused in between.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from lycheelug.entries.messages import Digest
from lycheelug.fleet import FLEET_PREFIXES, FleetSnapshot
from lycheelug.plan import next_steps
from lycheelug.plan_driver import PlanDriver
from lycheelug.plan_submit import submit_sheet
from lycheelug.records import (
    ENTRY_EPOCH_KEY,
    HOST_PREFIX,
    POOL_PREFIX,
    SHEET_KEY,
    EntryRow,
    HostPhase,
    HostRow,
    PoolRow,
    decode,
    encode,
    entry_key,
)
from lycheelug.store.interface import (
    ABSENT,
    Commit,
    Conflict,
    Guard,
    HostEntry,
    HostRole,
    HostState,
    Transaction,
    Write,
)
from lycheelug.store.memory import MemoryPlatform
from tests.faulty_platform import FaultyPlatform, run

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from lycheelug.errors import (
        Fault,
    )
    from lycheelug.plan import Plan


ZONES = ("a", "b")
RACKS_PER_ZONE = 3
HOSTS_PER_RACK = 2
MAX_ENTRIES = 8
HEADER = (
    "kind,pool,min_available,survive_rack,spare,hosts:a,hosts:b,days,start,end"
)
WINDOW = "window,,,,,,,daily,00:00,24:00"
SHEETS = [
    ["pool,p,3,,,3,3", "pool,q,1,,,1,1", "pool,s,0,,yes,0,0", WINDOW],
    ["pool,p,1,,,1,1", "pool,q,2,,,3,2", "pool,s,0,,yes,0,0", WINDOW],
    ["pool,p,2,yes,,4,2", "pool,q,1,,,1,2", "pool,s,1,,yes,1,1", WINDOW],
    ["pool,p,1,,,2,2", "pool,q,2,yes,,2,3", "pool,s,0,,yes,0,0"],
    ["pool,p,3,,,2,2", "pool,q,1,,,1,1", "pool,s,0,,yes,0,0", WINDOW],
    ["pool,p,3,,,3,3", "pool,q,1,,,1,1", "pool,s,1,,yes,0,0", WINDOW],
    ["pool,p,6,,,3,3", "pool,q,1,,,4,1", "pool,s,0,,yes,0,0"],
]
# The last sheet wants more hosts than the fleet has.
FEASIBLE_SHEETS = len(SHEETS) - 1


class Entry:
    """An entry daemon: its view of the host rows and requests in flight."""

    def __init__(self, name: str, zone: str, run_name: str) -> None:
        self.name = name
        self.zone = zone
        self.run = run_name
        self.revision = 0
        self.sequence = 0
        self.view: dict[str, HostRow] = {}
        self.in_flight: dict[str, str] = {}

    def dispatches_to(self, host: str) -> str:
        row = self.view.get(host)
        if row is None or row.phase is not HostPhase.SERVING:
            return ""
        return row.pool


class World:
    """The platform, its clients and the invariants that hold for them."""

    def __init__(self, planner: Any = next_steps) -> None:
        self.now = 1_764_547_200.0
        self.platform = MemoryPlatform(lambda: self.now)
        self.late_calls: list[Callable[[], object]] = []
        self.entries: list[Entry] = []
        self._nonce = 0
        self._epochs: dict[str, int] = {}
        for zone in ZONES:
            for index in range(RACKS_PER_ZONE * HOSTS_PER_RACK):
                rack = f"r{index // HOSTS_PER_RACK}"
                entry = HostEntry(f"{zone}{index}", zone, rack, "")
                self.platform.put_host(entry)
        self.views = [FleetSnapshot(), FleetSnapshot()]
        self.sources = [FaultyPlatform(self, view) for view in self.views]
        # The second driver's clock is ahead: to it all leases have expired.
        clocks = (lambda: self.now, lambda: self.now + 100.0)
        self.drivers = [
            PlanDriver(source, clock, self.nonce, f"d{index}", planner)
            for index, (source, clock) in enumerate(
                zip(self.sources, clocks, strict=True)
            )
        ]
        self.join()
        self.join()

    def nonce(self) -> str:
        self._nonce += 1
        return f"n{self._nonce}"

    # --- Rows in the platform's table.

    def hosts(self) -> dict[str, HostRow]:
        rows = self.platform.rows(HOST_PREFIX)
        found = [
            decode(row.value, HostRow).unwrap() for row in rows if row.value
        ]
        return {row.name: row for row in found}

    def pools(self) -> dict[str, PoolRow]:
        rows = self.platform.rows(POOL_PREFIX)
        found = [
            decode(row.value, PoolRow).unwrap() for row in rows if row.value
        ]
        return {row.name: row for row in found}

    def apply(
        self, transaction: Transaction, listed: dict[str, HostEntry]
    ) -> Commit | Conflict:
        """Apply a transaction and check its effect on epochs and budgets."""
        before = self.hosts()
        answer = run(self.platform.transact(transaction)).unwrap()
        after = self.hosts()
        drained: Counter[str] = Counter()
        for name, row in after.items():
            previous = before.get(name)
            if previous is not None and previous.epoch == row.epoch:
                assert encode(previous) == encode(row), (
                    "the row changed without a new epoch"
                )
                continue
            assert row.epoch > self._epochs.get(name, 0), (
                "the epoch did not increase"
            )
            self._epochs[name] = row.epoch
            live = listed.get(name)
            if row.phase is not HostPhase.DRAINING or live is None:
                continue
            if live.state is HostState.LIVE:
                drained[row.pool] += 1
        self._check_budgets(drained, after, listed)
        return answer

    def _check_budgets(
        self,
        drained: Counter[str],
        hosts: dict[str, HostRow],
        listed: dict[str, HostEntry],
    ) -> None:
        pools = self.pools()
        out: dict[str, list[str]] = {name: [] for name in pools}
        for row in hosts.values():
            if row.phase is not HostPhase.SERVING:
                out[row.pool].append(row.name)
        for name, pool in pools.items():
            assert pool.out == sorted(out[name]), (
                "the pool row lists other hosts as out"
            )
            if not drained[name]:
                continue
            racks: Counter[str] = Counter()
            for row in hosts.values():
                if row.pool != name or row.phase is not HostPhase.SERVING:
                    continue
                if listed[row.name].state is HostState.LIVE:
                    racks[row.zone + row.rack] += 1
            reserve = (
                max(racks.values(), default=0) if pool.survive_rack else 0
            )
            left = racks.total() - reserve
            assert left >= pool.min_available, "budget overspent"

    async def reboot(self, host: str, nonce: str) -> Result[None, Fault]:
        before = self.platform.host_revision
        answer = await self.platform.reboot(host, nonce)
        if self.platform.host_revision > before:
            for entry in self.entries:
                assert host not in entry.in_flight, (
                    "a request is in flight on a rebooted host"
                )
        return answer

    # --- Events.

    def refresh(self, driver: int) -> None:
        """Update a driver's view completely."""
        view = self.views[driver]
        for prefix in FLEET_PREFIXES:
            self.refresh_rows(driver, prefix)
        view.table_revision = self.platform.revision
        hosts = self.platform.hosts_since(view.list_revision)
        view.apply_hosts(run(hosts).unwrap())

    def refresh_rows(self, driver: int, prefix: str, stride: int = 1) -> None:
        """Update every `stride`th row of a prefix in a driver's view."""
        for row in self.platform.rows(prefix)[::stride]:
            self.views[driver].apply_row(row)

    def step(self, driver: int, script: list[int]) -> None:
        self.sources[driver].script = list(script)
        report = run(self.drivers[driver].step(self.views[driver]))
        assert report.revision <= self.platform.revision

    def deliver_late(self, index: int) -> None:
        if self.late_calls:
            self.late_calls.pop(index % len(self.late_calls))()

    def join(self) -> None:
        if len(self.entries) >= MAX_ENTRIES:
            return
        name = f"e{len(self.entries)}"
        zone = ZONES[len(self.entries) % 2]
        entry = Entry(name, zone, f"run-{name}")
        host = HostEntry(name, zone, "", "1:1", HostRole.ENTRY)
        self.platform.put_host(host)
        epoch = self.platform.row(ENTRY_EPOCH_KEY)
        row = EntryRow(name, zone, "1:1", entry.run)
        transaction = Transaction(
            [Guard(ENTRY_EPOCH_KEY, epoch.revision if epoch else ABSENT)],
            [
                Write(ENTRY_EPOCH_KEY, b"x"),
                Write(entry_key(name), encode(row)),
            ],
            f"join-{name}",
        )
        run(self.platform.transact(transaction)).unwrap()
        self.entries.append(entry)
        self.sync(entry)

    def sync(self, entry: Entry) -> None:
        entry.view = {
            name: row
            for name, row in self.hosts().items()
            if row.zone == entry.zone
        }
        entry.revision = self.platform.revision

    def publish_digest(self, entry: Entry) -> None:
        entry.sequence += 1
        busy = sorted(entry.in_flight)
        digest = Digest(
            entry.name, "a", entry.run, entry.sequence, "", "ready",
            entry.revision, 0, [], busy, [],
        )  # fmt: skip
        for view in self.views:
            view.apply_digest(digest)

    def dispatch(self, entry: Entry, index: int) -> None:
        names = sorted(entry.view)
        if names:
            host = names[index % len(names)]
            pool = entry.dispatches_to(host)
            if pool:
                entry.in_flight[host] = pool

    def set_state(self, index: int, state: HostState) -> None:
        names = [f"{z}{i}" for z in ZONES for i in range(6)]
        host = names[index % len(names)]
        for entry in self.entries:
            # A request in flight ends when its host fails.
            entry.in_flight.pop(host, None)
        self.platform.set_host_state(host, state)

    def finish_reboots(self) -> None:
        for name, row in self.hosts().items():
            if row.phase is HostPhase.MAINTENANCE:
                self.platform.finish_reboot(name)

    def submit(self, driver: int, index: int) -> None:
        self.sources[driver].script = []
        row = self.platform.row(SHEET_KEY)
        rows = SHEETS[index % FEASIBLE_SHEETS]
        run(
            submit_sheet(
                self.sources[driver],
                "\n".join([HEADER, *rows]),
                f"o{driver}",
                self.nonce(),
                row.revision if row else ABSENT,
                self.views[driver],
            )
        )

    def run_event(self, kind: int, first: int, second: int) -> None:
        """Run one event; `kind` selects it, the other numbers its details."""
        driver = first % 2
        entry = self.entries[first % len(self.entries)]
        script = [second % 6, second // 6 % 6, second // 36 % 6]
        actions: list[Callable[[], object]] = [
            *[lambda: self.refresh(driver)] * 2,
            *[lambda: self.refresh_and_step(driver, [])] * 3,
            *[lambda: self.refresh_and_step(driver, script)] * 2,
            *[lambda: self.step(driver, script)] * 3,
            lambda: self.sync(entry),
            lambda: self.publish_digest(entry),
            *[lambda: self.sync_all_but(entry)] * 3,
            *[lambda: self.dispatch(entry, second)] * 2,
            entry.in_flight.clear,
            *[lambda: self.submit(driver, second)] * 2,
            lambda: self.deliver_late(second),
            lambda: self.set_state(first, HostState.GONE),
            lambda: self.set_state(first, HostState.LIVE),
            self.finish_reboots,
            lambda: self.advance_days(second % 5),
            *[lambda: self.refresh_rows(driver, HOST_PREFIX, 2)] * 2,
            lambda: self.refresh_rows(driver, POOL_PREFIX),
            self.join,
        ]
        actions[kind]()
        self.check()

    def refresh_and_step(self, driver: int, script: list[int]) -> None:
        self.refresh(driver)
        self.step(driver, script)

    def sync_all_but(self, excluded: Entry) -> None:
        for entry in self.entries:
            if entry is not excluded:
                self.sync(entry)
                self.publish_digest(entry)

    def reach_first_sheet(self) -> None:
        """Bring the fleet to the state of the first sheet."""
        self.refresh(0)
        self.submit(0, 0)
        for _ in range(3):
            self.refresh_and_step(0, [])
        self.refresh(1)

    def advance_days(self, days: int) -> None:
        self.now += 86_400.0 * days

    EVENT_COUNT = 28

    def check(self) -> None:
        """Check that no daemon uses a host that has left the daemon's pool."""
        hosts = self.hosts()
        for entry in self.entries:
            for name, row in hosts.items():
                if row.phase is HostPhase.DRAINING:
                    continue
                target_pool = entry.dispatches_to(name)
                busy_pool = entry.in_flight.get(name, "")
                if row.phase is HostPhase.MAINTENANCE:
                    assert not target_pool, "may dispatch to a rebooting host"
                    assert not busy_pool, "in flight on a rebooting host"
                assert target_pool in ("", row.pool), (
                    "may dispatch for old pool"
                )
                assert busy_pool in ("", row.pool), (
                    "in flight for the old pool"
                )

    # --- The end: without faults, the plan completes or names a blocker.

    def end_faults(self, frozen: bool) -> Plan:
        """End all faults, continue driving and return the last plan.

        If `frozen`, the first daemon neither syncs nor publishes any more.
        """
        while self.late_calls:
            self.deliver_late(0)
            self.check()
        for index in range(12):
            self.set_state(index, HostState.LIVE)
        for _ in range(60):
            self.finish_reboots()
            for entry in self.entries[1 if frozen else 0 :]:
                entry.in_flight.clear()
                self.sync(entry)
                self.publish_digest(entry)
            self.now += 31.0
            for driver in range(2):
                self.refresh(driver)
                self.step(driver, [])
                self.check()
        self.refresh(0)
        return next_steps(self.views[0], self.now)
