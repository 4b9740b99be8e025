"""Rolls out a new sheet over separate processes, with faults meanwhile.

Each parameter set has its own fault; what is checked is the same for all:
the fleet reaches the state of the sheet, the table satisfies the invariants
each time it is read, no host runs work of a pool that it left, and every
caller gets an answer.
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
# Two windows without a gap between them, so that one is always open.
WINDOWS = (
    f"{MORNING}window,,,,,daily,00:00,23:59\nwindow,,,,,daily,12:00,11:59\n"
)
MOVE_TIMEOUT_S = 75.0


class Rollout:
    """A fleet of six hosts, its callers, and the checks of its table."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.excluded: set[str] = set()
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
            if daemon.is_serving and daemon.name not in self.excluded:
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
        await wait_until(self.is_rolled_out)
        for daemon in self.daemons():
            await cluster.wait_pools(daemon, 2)
        self.tasks.append(asyncio.create_task(self.check_until_stopped()))
        for callers in self.callers:
            load = callers.run_load(3, self.stopped, 0.02)
            self.tasks.append(asyncio.create_task(load))
        await wait_until(lambda: self.checks > 0 and len(self.results()) > 20)

    async def stop_and_check(self) -> None:
        """Stop callers and table checks, and check the results of both."""
        checks = self.checks
        await wait_until(lambda: self.checks > checks or self.tasks[0].done())
        self.stopped.set()
        await asyncio.gather(*self.tasks)
        for callers in self.callers:
            callers.close()
        unserved = [each for each in self.results() if not each.is_served]
        assert unserved == []
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
        """Submit a sheet; repeat it with its nonce while it is undecided."""
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

    async def is_rolled_out(self) -> bool:
        found = await self.progress()
        return bool(found.get("matched"))

    async def is_waiting_for(self, name: str) -> bool:
        found = await self.progress()
        return any(
            f"entry {name}" in each for each in found.get("blockers", [])
        )

    async def check_until_stopped(self) -> None:
        """Check the table and the logs of the upstreams until stopped."""
        platform = HttpPlatform(self.cluster.platform.address)
        baselines: dict[str, tuple[HostRow, int]] = {}
        while not self.stopped.is_set():
            logs = await self.logs()
            rows = await self.check_table(platform)
            for name, row in rows.items():
                baseline = baselines.get(name)
                if baseline is not None and baseline[0].epoch == row.epoch:
                    later = {
                        each["pool"] for each in logs[name][baseline[1] :]
                    }
                    assert later <= {row.pool}, name
                    continue
                baselines.pop(name, None)
                if row.phase is HostPhase.SERVING:
                    baselines[name] = (row, len((await self.logs())[name]))
            await asyncio.sleep(0.05)
        await platform.close()

    async def logs(self) -> dict[str, list[dict[str, str]]]:
        found: dict[str, list[dict[str, str]]] = {}
        for name, upstream in self.cluster.upstreams.items():
            log = await http_call(upstream.address, "GET", "/-/log")
            found[name] = msgspec.json.decode(log.body)
        return found

    async def check_table(self, platform: HttpPlatform) -> dict[str, HostRow]:
        """Check the table once; return its rows, or none without an answer."""
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
            row = decode(stored.value, HostRow).unwrap()
            assert row.name not in rows, "a host has one row"
            rows[row.name] = row
            assert row.epoch >= self.epochs.get(row.name, 0)
            self.epochs[row.name] = row.epoch
            self.phases.add((row.name, row.phase))
        assert len(rows) == len(self.cluster.upstreams)
        for stored in pools.unwrap().rows:
            if stored.value is None:
                continue
            pool = decode(stored.value, PoolRow).unwrap()
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
        """Return for each host the pools of its runs, in their order."""
        found: list[list[str]] = []
        for log in (await self.logs()).values():
            found.append([pool for pool, _ in groupby(log, _pool_of)])
        return found

    async def have_moved_hosts_worked(self) -> bool:
        """Return whether the two moved hosts ran work of their new pool."""
        if self.tasks[0].done():
            self.tasks[0].result()
        return (await self.pool_sequences()).count(["quotes", "tooling"]) == 2


def _pool_of(run: dict[str, str]) -> str:
    return run["pool"]


async def no_fault(rollout: Rollout) -> None:
    await rollout.apply(MIDDAY, rollout.morning)


async def frozen_daemon(rollout: Rollout) -> None:
    await remove_from_balancer(rollout, "e3")
    rollout.cluster.daemons["e3"].send_signal(signal.SIGSTOP)
    await rollout.apply(MIDDAY, rollout.morning)
    await wait_until(lambda: rollout.is_waiting_for("e3"))
    checks = rollout.checks
    await wait_until(
        lambda: rollout.checks > checks + 20 or rollout.tasks[0].done()
    )
    assert (await rollout.progress())["moves_left"] > 0
    rollout.cluster.daemons["e3"].send_signal(signal.SIGCONT)
    # It gets requests at once, while its view is still outdated.
    rollout.excluded.discard("e3")


async def driver_killed(rollout: Rollout) -> None:
    await remove_from_balancer(rollout, "e1")
    await rollout.apply(MIDDAY, rollout.morning)
    await wait_until(
        lambda: any(phase is HostPhase.DRAINING for _, phase in rollout.phases)
    )
    await rollout.cluster.daemons["e1"].kill()
    # Only an operator or the host list can declare a daemon dead.
    address = rollout.daemons()[0].operators
    await http_call(address, "POST", "/v1/entries/dead/e1")


async def lost_answers(rollout: Rollout) -> None:
    await rollout.cluster.set_platform_faults(lose_share=0.3, seed=5)
    await rollout.apply(MIDDAY, rollout.morning)


async def store_down(rollout: Rollout) -> None:
    await rollout.apply(MIDDAY, rollout.morning)
    await rollout.cluster.set_platform_faults(down=True)
    finished = len(rollout.results())
    await wait_until(lambda: len(rollout.results()) > finished + 200)
    await rollout.cluster.set_platform_faults()


async def stale_reads(rollout: Rollout) -> None:
    await rollout.apply(MIDDAY, rollout.morning)
    for _ in range(4):
        await rollout.cluster.set_platform_faults(stale_reads=3)
        await asyncio.sleep(0.7)
        await rollout.cluster.set_platform_faults()
        await asyncio.sleep(0.3)


async def racing_operators(rollout: Rollout) -> None:
    replies = await asyncio.gather(
        rollout.submit(MIDDAY, rollout.morning, "race-1", "e1"),
        rollout.submit(MIDDAY + "\n", rollout.morning, "race-2", "e2"),
    )
    outcomes = sorted((each["outcome"], each["code"]) for each in replies)
    assert outcomes == [("accepted", ""), ("refused", "sheet-raced")]


async def impossible_sheet(rollout: Rollout) -> None:
    text = MORNING.replace("tooling,1,2", "tooling,1,9")
    reply = await rollout.submit(text, rollout.morning, "impossible")
    assert reply["outcome"] == "refused"
    assert [each["line"] for each in reply["faults"]] == [3], reply
    assert reply["faults"][0]["remedy"]
    await rollout.apply(MIDDAY, rollout.morning)


async def remove_from_balancer(rollout: Rollout, name: str) -> None:
    """Remove a daemon from the callers' balancer; wait for other answers."""
    rollout.excluded.add(name)
    finished = len(rollout.results())
    await wait_until(lambda: len(rollout.results()) > finished + 60)


TWO_DAEMONS = ("e1", "e2")
THREE_DAEMONS = ("e1", "e2", "e3")


@pytest.mark.parametrize(
    ("names", "fault"),
    [
        pytest.param(TWO_DAEMONS, no_fault, id="no-fault"),
        pytest.param(("e1",), no_fault, id="alone"),
        pytest.param(THREE_DAEMONS, frozen_daemon, id="frozen"),
        pytest.param(TWO_DAEMONS, driver_killed, id="driver-killed"),
        pytest.param(TWO_DAEMONS, lost_answers, id="lost-answers"),
        pytest.param(TWO_DAEMONS, store_down, id="store-down"),
        pytest.param(TWO_DAEMONS, stale_reads, id="stale-reads"),
        pytest.param(TWO_DAEMONS, racing_operators, id="racing"),
        pytest.param(TWO_DAEMONS, impossible_sheet, id="impossible"),
    ],
)
def test_fleet_reaches_the_sheet_under_load(
    tmp_path: Path,
    names: tuple[str, ...],
    fault: Callable[[Rollout], Awaitable[None]],
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            rollout = Rollout(cluster)
            await rollout.start(names)
            await fault(rollout)
            await wait_until(rollout.is_rolled_out, MOVE_TIMEOUT_S)
            await cluster.set_platform_faults()
            await wait_until(rollout.have_moved_hosts_worked)
            await rollout.stop_and_check()
            # No host ran work of a pool that it had left.
            assert sorted(await rollout.pool_sequences()) == [
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
            rollout = Rollout(cluster)
            await rollout.start(TWO_DAEMONS)
            started = time.time()
            await rollout.apply(WINDOWS, rollout.morning)
            platform = HttpPlatform(cluster.platform.address)

            async def all_maintained() -> bool:
                rows = (await rollout.check_table(platform)).values()
                return all(
                    row.maintained_at >= started
                    and row.phase is HostPhase.SERVING
                    for row in rows
                )

            await wait_until(all_maintained, MOVE_TIMEOUT_S)
            await platform.close()
            await rollout.stop_and_check()

    asyncio.run(run())
