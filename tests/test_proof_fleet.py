"""The morning sheet over separate processes, with faults on the way.

Each row states its fault; the outcome is the same for all: the fleet
becomes the sheet, every look at the table holds the invariants, no host
runs work of a pool that it left, and no caller misses an answer.
"""

from __future__ import annotations

import asyncio
import signal
import time
from itertools import groupby
from typing import TYPE_CHECKING, Any

import msgspec
import pytest
from returns.result import Failure

from lycheelug.records import HostPhase, HostRow, PoolRow, decode
from lycheelug.store import HostState
from lycheelug.store.http import HttpPlatform
from standins.callers import Callers
from standins.cluster import Cluster
from standins.processes import http_call, wait_until

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from standins.processes import DaemonProcess

HEADING = "kind,pool,min_available,hosts:z1,zone,days,start,end\n"
MORNING = f"{HEADING}pool,quotes,1,4,,,,\npool,tooling,1,2,,,,\n"
MIDDAY = f"{HEADING}pool,quotes,1,2,,,,\npool,tooling,1,4,,,,\n"
# Two windows without a gap between them: one is open at any time.
WINDOWS = (
    f"{MORNING}window,,,,,daily,00:00,23:59\nwindow,,,,,daily,12:00,11:59\n"
)
MOVE_TIMEOUT_S = 75.0


class Trial:
    """A fleet of six hosts, its callers, and all checks at its table."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.avoided: set[str] = set()
        self.epochs: dict[str, int] = {}
        self.phases: set[tuple[str, HostPhase]] = set()
        self.checks = 0
        self.revision = 0
        self.budgets: dict[str, int] = {}
        self.callers = [
            Callers(self.daemons, pool, pool, 10.0)
            for pool in ("quotes", "tooling")
        ]
        self.tasks: list[asyncio.Task[None]] = []
        self.stopped = asyncio.Event()

    def daemons(self) -> list[DaemonProcess]:
        found: list[DaemonProcess] = []
        for daemon in self.cluster.daemons.values():
            if daemon.is_serving and daemon.name not in self.avoided:
                found.append(daemon)
        return found

    async def start(self, names: tuple[str, ...]) -> None:
        cluster = self.cluster
        cluster.settings["timing"] |= {"gossip_s": 0.2, "member_suspect_s": 2}
        await cluster.start_platform_and_pools({"quotes": 4, "tooling": 2})
        for name in names:
            await cluster.start_entry(name)
        for daemon in self.daemons():
            await cluster.wait_members(daemon, alive=len(names))
        self.morning = await self.apply(MORNING)
        await wait_until(self.is_matched)
        for daemon in self.daemons():
            await cluster.wait_pools(daemon, 2)
        self.tasks.append(asyncio.create_task(self.watch()))
        for callers in self.callers:
            load = callers.run_load(3, self.stopped, 0.02)
            self.tasks.append(asyncio.create_task(load))
        await wait_until(lambda: self.checks > 0 and len(self.results()) > 20)

    async def finish(self) -> None:
        """Stop callers and checks; check what both saw."""
        checks = self.checks
        await wait_until(lambda: self.checks > checks or self.tasks[0].done())
        self.stopped.set()
        await asyncio.gather(*self.tasks)
        for callers in self.callers:
            callers.close()
        missed = [each for each in self.results() if not each.is_served]
        assert missed == []
        assert set(self.budgets.values()) == {1}
        counts = await self.cluster.run_counts()
        assert max(counts.values()) == 1

    def results(self) -> list[Any]:
        return self.callers[0].results + self.callers[1].results

    async def submit(
        self, text: str, based_on: int, nonce: str, daemon: str = ""
    ) -> Any:
        if daemon:
            address = self.cluster.daemons[daemon].operators
        else:
            address = self.daemons()[0].operators
        target = f"/v1/sheet?nonce={nonce}&based_on={based_on}"
        answer = await http_call(address, "POST", target, text.encode())
        return msgspec.json.decode(answer.body)

    async def apply(self, text: str, based_on: int = 0) -> int:
        """Submit a sheet, again under its nonce while not known."""
        nonce = f"n{based_on}-{len(text)}"
        while True:
            reply = await self.submit(text, based_on, nonce)
            if reply.get("outcome") == "accepted":
                return int(reply["revision"])
            assert reply.get("outcome") in {None, "unknown"}, reply
            await asyncio.sleep(0.1)

    async def progress(self) -> dict[str, Any]:
        found: dict[str, Any] = await self.daemons()[0].get(
            "/v1/sheet/progress"
        )
        return found

    async def is_matched(self) -> bool:
        found = await self.progress()
        return bool(found.get("matched"))

    async def waits_for(self, name: str) -> bool:
        found = await self.progress()
        return any(
            f"entry {name}" in each for each in found.get("blockers", [])
        )

    async def watch(self) -> None:
        """Look at the table, and the upstreams' logs, until stopped."""
        platform = HttpPlatform(self.cluster.platform.address)
        marks: dict[str, tuple[HostRow, int]] = {}
        while not self.stopped.is_set():
            logs = await self.logs()
            rows = await self.check_table(platform)
            for name, row in rows.items():
                mark = marks.get(name)
                if mark is not None and mark[0].epoch == row.epoch:
                    later = {each["pool"] for each in logs[name][mark[1] :]}
                    assert later <= {row.pool}, name
                    continue
                marks.pop(name, None)
                if row.phase is HostPhase.SERVING:
                    marks[name] = (row, len((await self.logs())[name]))
            await asyncio.sleep(0.05)
        await platform.close()

    async def logs(self) -> dict[str, list[dict[str, str]]]:
        found: dict[str, list[dict[str, str]]] = {}
        for name, upstream in self.cluster.upstreams.items():
            log = await http_call(upstream.address, "GET", "/-/log")
            found[name] = msgspec.json.decode(log.body)
        return found

    async def check_table(self, platform: HttpPlatform) -> dict[str, HostRow]:
        """Check one state of the table; none where it can't be read."""
        listed = await platform.hosts_since(0)
        pools = await platform.read_since("pool/", 0)
        delta = await platform.read_since("host/", 0)
        for each in (listed, pools, delta):
            if isinstance(each, Failure):
                return {}
        if delta.unwrap().revision < self.revision:
            return {}
        self.revision = delta.unwrap().revision
        gone = {
            host.name
            for host in listed.unwrap().hosts
            if host.state is HostState.GONE
        }
        rows: dict[str, HostRow] = {}
        for stored in delta.unwrap().rows:
            if stored.value is None:
                continue
            row = decode(stored.value, HostRow)
            assert row.name not in rows, "a host has one row"
            rows[row.name] = row
            assert row.epoch >= self.epochs.get(row.name, 0)
            self.epochs[row.name] = row.epoch
            self.phases.add((row.name, row.phase))
        assert len(rows) == len(self.cluster.upstreams)
        for stored in pools.unwrap().rows:
            if stored.value is None:
                continue
            pool = decode(stored.value, PoolRow)
            serving = [
                row
                for row in rows.values()
                if row.phase is HostPhase.SERVING
                and row.pool == pool.name
                and row.name not in gone
            ]
            assert len(serving) >= pool.min_available, pool.name
            self.budgets[pool.name] = pool.min_available
        self.checks += 1
        return rows

    async def pool_sequences(self) -> list[list[str]]:
        """For each host, the pools of its runs in their order."""
        found: list[list[str]] = []
        for log in (await self.logs()).values():
            found.append([pool for pool, _ in groupby(log, _pool_of)])
        return found

    async def both_moved_work(self) -> bool:
        """Whether the two hosts that moved ran work of their new pool."""
        if self.tasks[0].done():
            self.tasks[0].result()
        return (await self.pool_sequences()).count(["quotes", "tooling"]) == 2


def _pool_of(run: dict[str, str]) -> str:
    return run["pool"]


async def no_fault(trial: Trial) -> None:
    await trial.apply(MIDDAY, trial.morning)


async def frozen_daemon(trial: Trial) -> None:
    await avoid(trial, "e3")
    trial.cluster.daemons["e3"].send_signal(signal.SIGSTOP)
    await trial.apply(MIDDAY, trial.morning)
    await wait_until(lambda: trial.waits_for("e3"))
    checks = trial.checks
    await wait_until(
        lambda: trial.checks > checks + 20 or trial.tasks[0].done()
    )
    assert (await trial.progress())["moves_left"] > 0
    trial.cluster.daemons["e3"].send_signal(signal.SIGCONT)
    # It gets work at once, while all that it knows is old.
    trial.avoided.discard("e3")


async def driver_killed(trial: Trial) -> None:
    await avoid(trial, "e1")
    await trial.apply(MIDDAY, trial.morning)
    await wait_until(
        lambda: any(phase is HostPhase.DRAINING for _, phase in trial.phases)
    )
    await trial.cluster.daemons["e1"].kill()
    # Nothing but an operator's word or the host list ends a run.
    address = trial.daemons()[0].operators
    await http_call(address, "POST", "/v1/entries/dead/e1")


async def lost_answers(trial: Trial) -> None:
    await trial.cluster.set_platform_faults(lose_share=0.3, seed=5)
    await trial.apply(MIDDAY, trial.morning)


async def store_down(trial: Trial) -> None:
    await trial.apply(MIDDAY, trial.morning)
    await trial.cluster.set_platform_faults(down=True)
    told = len(trial.results())
    await wait_until(lambda: len(trial.results()) > told + 200)
    await trial.cluster.set_platform_faults()


async def stale_reads(trial: Trial) -> None:
    await trial.apply(MIDDAY, trial.morning)
    for _ in range(4):
        await trial.cluster.set_platform_faults(stale_reads=3)
        await asyncio.sleep(0.7)
        await trial.cluster.set_platform_faults()
        await asyncio.sleep(0.3)


async def racing_operators(trial: Trial) -> None:
    replies = await asyncio.gather(
        trial.submit(MIDDAY, trial.morning, "race-1", "e1"),
        trial.submit(MIDDAY + "\n", trial.morning, "race-2", "e2"),
    )
    told = sorted((each["outcome"], each["code"]) for each in replies)
    assert told == [("accepted", ""), ("refused", "sheet-raced")]


async def impossible_sheet(trial: Trial) -> None:
    text = MORNING.replace("tooling,1,2", "tooling,1,9")
    reply = await trial.submit(text, trial.morning, "impossible")
    assert reply["outcome"] == "refused"
    assert [each["line"] for each in reply["faults"]] == [3], reply
    assert reply["faults"][0]["remedy"]
    await trial.apply(MIDDAY, trial.morning)


async def avoid(trial: Trial, name: str) -> None:
    """Let the callers' balancer take a daemon out, and wait for answers."""
    trial.avoided.add(name)
    flying = len(trial.results())
    await wait_until(lambda: len(trial.results()) > flying + 60)


TWO = ("e1", "e2")
THREE = ("e1", "e2", "e3")


@pytest.mark.parametrize(
    ("names", "fault"),
    [
        pytest.param(TWO, no_fault, id="no-fault"),
        pytest.param(("e1",), no_fault, id="alone"),
        pytest.param(THREE, frozen_daemon, id="frozen"),
        pytest.param(TWO, driver_killed, id="driver-killed"),
        pytest.param(TWO, lost_answers, id="lost-answers"),
        pytest.param(TWO, store_down, id="store-down"),
        pytest.param(TWO, stale_reads, id="stale-reads"),
        pytest.param(TWO, racing_operators, id="racing"),
        pytest.param(TWO, impossible_sheet, id="impossible"),
    ],
)
def test_fleet_becomes_the_sheet_while_callers_work(
    tmp_path: Path,
    names: tuple[str, ...],
    fault: Callable[[Trial], Awaitable[None]],
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            trial = Trial(cluster)
            await trial.start(names)
            await fault(trial)
            await wait_until(trial.is_matched, MOVE_TIMEOUT_S)
            await cluster.set_platform_faults()
            await wait_until(trial.both_moved_work)
            await trial.finish()
            # No host went back to work of a pool that it had left.
            assert sorted(await trial.pool_sequences()) == [
                ["quotes"],
                ["quotes"],
                ["quotes", "tooling"],
                ["quotes", "tooling"],
                ["tooling"],
                ["tooling"],
            ]

    asyncio.run(run())


def test_maintenance_reboots_every_host_and_holds_budgets(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            cluster.platform_arguments = ("--reboot-s", "1")
            trial = Trial(cluster)
            await trial.start(TWO)
            started = time.time()
            await trial.apply(WINDOWS, trial.morning)
            platform = HttpPlatform(cluster.platform.address)

            async def all_maintained() -> bool:
                rows = (await trial.check_table(platform)).values()
                return all(
                    row.maintained_at >= started
                    and row.phase is HostPhase.SERVING
                    for row in rows
                )

            await wait_until(all_maintained, MOVE_TIMEOUT_S)
            await platform.close()
            await trial.finish()

    asyncio.run(run())
