"""Leaving and failing upstreams, and retries, in separate processes."""

from __future__ import annotations

import asyncio
import math
import random
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from lycheelug.dispatch import CHOICES
from lycheelug.leaving import LeavingHosts
from lycheelug.records import HostRow
from lycheelug.slots import SHARES, ShareSettings
from lycheelug.store import HostEntry, HostState
from lycheelug.upstreams.executors import ExecutorSet
from standins.callers import Callers
from standins.cluster import Cluster
from standins.processes import DaemonProcess, wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

REPEATABLE = [(b"lycheelug-repeatable", b"yes")]
# The stated target: no new work so long after the first sign.
LEAVING_S = 3.0
WATCHED_S = 1.0
RETURN_S = 60.0
# Of the newest callers, so many must be served past a failing rack.
NEWEST = 100
SERVED_SHARE = 0.95
LISTED, REFUSING, CLOSING, DEAD = (f"z1-quotes-{n}" for n in range(4))


@asynccontextmanager
async def load_on(daemon: DaemonProcess) -> AsyncIterator[Callers]:
    """Load a daemon with requests that may be repeated."""
    callers = Callers(lambda: [daemon], deadline_s=5.0, headers=REPEATABLE)
    stop = asyncio.Event()
    task = asyncio.create_task(callers.run_load(6, stop))
    try:
        yield callers
    finally:
        stop.set()
        await task
        callers.close()


async def counts(cluster: Cluster, names: list[str]) -> list[int]:
    return [await cluster.request_count(name) for name in names]


async def list_host(cluster: Cluster, name: str, state: HostState) -> None:
    address = cluster.upstreams[name].address
    await cluster.put_hosts(
        [HostEntry(name, "z1", "z1-r0", address, state=state)]
    )


async def check_quiet(cluster: Cluster, names: list[str]) -> None:
    """Check under load that hosts get no request for a while."""
    before = await counts(cluster, names)
    await asyncio.sleep(WATCHED_S)
    assert await counts(cluster, names) == before


async def check_return(cluster: Cluster, names: list[str]) -> None:
    """Check under load that hosts get work again."""
    before = await counts(cluster, names)

    async def all_work() -> bool:
        now = await counts(cluster, names)
        grown = [new > old + 5 for new, old in zip(now, before, strict=True)]
        return all(grown)

    await wait_until(all_work, timeout_s=RETURN_S)


def test_leaving_host_gets_no_new_work_and_comes_back(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 7})
            # The period that is in force where nobody sets another.
            del cluster.settings["platform"]["poll_s"]
            first = await cluster.start_entry("e1")
            second = await cluster.start_entry("e2")
            await cluster.wait_limits(first, 4)
            signs = [REFUSING, CLOSING]
            async with load_on(first):
                await check_return(cluster, list(cluster.upstreams))
                await list_host(cluster, LISTED, HostState.LEAVING)
                await asyncio.sleep(LEAVING_S)
                await check_quiet(cluster, [LISTED])
                await cluster.set_platform_faults(down=True)
                await cluster.set_upstream_faults(
                    REFUSING, mode="refuse-closing"
                )
                await cluster.set_upstream_faults(CLOSING, mode="close")
                await cluster.upstreams[DEAD].kill()
                await asyncio.sleep(LEAVING_S)
                await check_quiet(cluster, [LISTED, *signs])
            # The second daemon has met none of the signs itself.
            async with load_on(second):
                await check_quiet(cluster, [LISTED, *signs])
            hosts = {
                each["name"]: each for each in await second.get("/v1/hosts")
            }
            assert hosts[DEAD]["use"] == "leaving"
            await cluster.set_platform_faults()
            for name in signs:
                await cluster.set_upstream_faults(name)
            await cluster.restart_upstream(DEAD)
            await list_host(cluster, LISTED, HostState.LIVE)
            async with load_on(first):
                await check_return(cluster, [LISTED, DEAD, *signs])

    asyncio.run(run())


async def ejected(daemon: DaemonProcess) -> list[str]:
    pools = await daemon.get("/v1/pools")
    return list(pools[0]["ejected"])


def served_share(callers: Callers) -> float:
    """Return how many of the newest callers got a good answer."""
    newest = callers.results[-NEWEST:]
    good = 0
    for each in newest:
        if each.reply is not None and each.reply.status < 500:
            good += 1
    return good / NEWEST


def test_failing_hosts_are_ejected_never_below_the_floor(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 6})
            daemon = await cluster.start_entry("e1")
            await cluster.set_all_upstream_faults(delay_ms=20)
            rack = [f"z1-quotes-{n}" for n in (0, 2, 4)]
            floor = math.ceil(len(cluster.upstreams) / 2)
            most = 0

            async def is_ejected_within(names: list[str]) -> bool:
                nonlocal most
                found = await ejected(daemon)
                most = max(most, len(found))
                return set(found) <= set(names)

            async with load_on(daemon) as callers:
                await check_return(cluster, list(cluster.upstreams))
                # They fail at once, much faster than the others answer.
                for name in rack:
                    await cluster.set_upstream_faults(name, mode="fail")
                callers.results.clear()
                await wait_until(lambda: served_share(callers) >= SERVED_SHARE)
                assert await is_ejected_within(rack)
                assert most >= 1
                # Then all fail: nobody more may go.
                await cluster.set_all_upstream_faults(mode="fail")
                callers.results.clear()
                await wait_until(lambda: len(callers.results) > 200)
                await is_ejected_within([])
                assert most <= len(cluster.upstreams) - floor
                await cluster.set_all_upstream_faults()
                await wait_until(
                    lambda: is_ejected_within([]), timeout_s=RETURN_S
                )
                await check_return(cluster, rack)

    asyncio.run(run())


FIRST_TRIES = 200


async def outage(cluster: Cluster, daemon: DaemonProcess) -> int:
    """Return the extra requests of a full outage for FIRST_TRIES."""
    callers = Callers(lambda: [daemon], headers=REPEATABLE)
    await cluster.set_all_upstream_faults()
    for _ in range(10):
        await callers.send_batch(10)
    await cluster.set_all_upstream_faults(mode="drop")
    before = sum(await counts(cluster, list(cluster.upstreams)))
    for _ in range(FIRST_TRIES // 10):
        told = await callers.send_batch(10)
        assert {each.outcome for each in told} == {"unknown"}
    callers.close()
    return sum(await counts(cluster, list(cluster.upstreams))) - (
        before + FIRST_TRIES
    )


def test_retries_in_a_full_outage_stay_within_a_tenth(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 4})
            budgeted = await cluster.start_entry("e1")
            extra = await outage(cluster, budgeted)
            await budgeted.kill()
            free = await cluster.start_entry(
                "e2", policies={"retries": "free"}
            )
            baseline = await outage(cluster, free)
            print(f"extra requests: budget {extra}, free {baseline}")
            assert extra <= FIRST_TRIES // 10
            assert baseline >= FIRST_TRIES

    asyncio.run(run())


def test_failed_executor_is_chosen_again_after_a_while() -> None:
    share = SHARES.get("live")(ShareSettings(slots=8))
    hosts = LeavingHosts()
    rng = random.Random(1)
    executors = ExecutorSet(
        "quotes", 8, 0, share, CHOICES.get("two-choices"), hosts, rng
    )
    rows = [HostRow(f"w{n}", "z1", "r1", "quotes") for n in range(2)]
    executors.update_hosts(rows, 0.0)
    executors.update_shares("e1", ["e1"], [], 0.0)
    failed = executors.executors[0]
    for _ in range(2):
        failed.in_flight += 1
        executors.record_end(failed, "job", False, False, 0.01, 0.0)
        executors.release(failed)

    def chosen(now: float) -> set[str]:
        executors.refresh(now)
        found = set()
        for _ in range(20):
            executor = executors.choose(frozenset(), True, now)
            assert executor is not None
            found.add(executor.name)
            executors.release(executor)
        return found

    assert chosen(0.1) == {"w1"}
    assert chosen(30.0) == {"w0", "w1"}
