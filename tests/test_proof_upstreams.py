"""Leaving and failing upstreams and retry budgets, in separate processes."""

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
# The stated target: a leaving host gets no new work later than this after
# the first sign.
LEAVING_S = 3.0
WATCHED_S = 1.0
RETURN_TIMEOUT_S = 60.0
# While a rack fails, SERVED_SHARE of the newest NEWEST_COUNT requests must
# be served.
NEWEST_COUNT = 100
SERVED_SHARE = 0.95
LISTED, REFUSING, CLOSING, DEAD = (f"z1-quotes-{n}" for n in range(4))


@asynccontextmanager
async def loaded(daemon: DaemonProcess) -> AsyncIterator[Callers]:
    """Load a daemon with requests that are safe to repeat."""
    callers = Callers(lambda: [daemon], deadline_s=5.0, headers=REPEATABLE)
    stop = asyncio.Event()
    task = asyncio.create_task(callers.run_load(6, stop))
    try:
        yield callers
    finally:
        stop.set()
        await task
        callers.close()


async def request_counts(cluster: Cluster, names: list[str]) -> list[int]:
    return [await cluster.request_count(name) for name in names]


async def put_host(cluster: Cluster, name: str, state: HostState) -> None:
    address = cluster.upstreams[name].address
    await cluster.put_hosts(
        [HostEntry(name, "z1", "z1-r0", address, state=state)]
    )


async def check_no_requests(cluster: Cluster, names: list[str]) -> None:
    """Check under load that hosts get no request for WATCHED_S."""
    before = await request_counts(cluster, names)
    await asyncio.sleep(WATCHED_S)
    assert await request_counts(cluster, names) == before


async def check_requests_resume(cluster: Cluster, names: list[str]) -> None:
    """Check under load that hosts get work again."""
    before = await request_counts(cluster, names)

    async def all_work() -> bool:
        now = await request_counts(cluster, names)
        grown = [new > old + 5 for new, old in zip(now, before, strict=True)]
        return all(grown)

    await wait_until(all_work, timeout_s=RETURN_TIMEOUT_S)


def test_leaving_host_gets_no_new_work_until_it_returns(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 7})
            # Use the default poll period.
            del cluster.settings["platform"]["poll_s"]
            first = await cluster.start_entry("e1")
            second = await cluster.start_entry("e2")
            await cluster.wait_limits(first, 4)
            signs = [REFUSING, CLOSING]
            async with loaded(first):
                await check_requests_resume(cluster, list(cluster.upstreams))
                await put_host(cluster, LISTED, HostState.LEAVING)
                await asyncio.sleep(LEAVING_S)
                await check_no_requests(cluster, [LISTED])
                await cluster.set_platform_faults(down=True)
                await cluster.set_upstream_faults(
                    REFUSING, mode="refuse-closing"
                )
                await cluster.set_upstream_faults(CLOSING, mode="close")
                await cluster.upstreams[DEAD].kill()
                await asyncio.sleep(LEAVING_S)
                await check_no_requests(cluster, [LISTED, *signs])
            # The second daemon has seen none of the signs itself.
            async with loaded(second):
                await check_no_requests(cluster, [LISTED, *signs])
            hosts = {
                each["name"]: each for each in await second.get("/v1/hosts")
            }
            assert hosts[DEAD]["use"] == "leaving"
            await cluster.set_platform_faults()
            for name in signs:
                await cluster.set_upstream_faults(name)
            await cluster.restart_upstream(DEAD)
            await put_host(cluster, LISTED, HostState.LIVE)
            async with loaded(first):
                await check_requests_resume(cluster, [LISTED, DEAD, *signs])

    asyncio.run(run())


async def ejected(daemon: DaemonProcess) -> list[str]:
    pools = await daemon.get("/v1/pools")
    return list(pools[0]["ejected"])


def served_share(callers: Callers) -> float:
    """Return the share of the newest requests with an answer below 500."""
    newest = callers.results[-NEWEST_COUNT:]
    good = 0
    for each in newest:
        if each.reply is not None and each.reply.status < 500:
            good += 1
    return good / NEWEST_COUNT


def test_failing_hosts_are_ejected_never_below_the_floor(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 6})
            daemon = await cluster.start_entry("e1")
            await cluster.set_all_upstream_faults(delay_ms=20)
            failing_rack = [f"z1-quotes-{n}" for n in (0, 2, 4)]
            floor = math.ceil(len(cluster.upstreams) / 2)
            max_ejected = 0

            async def is_ejected_within(names: list[str]) -> bool:
                nonlocal max_ejected
                found = await ejected(daemon)
                max_ejected = max(max_ejected, len(found))
                return set(found) <= set(names)

            async with loaded(daemon) as callers:
                await check_requests_resume(cluster, list(cluster.upstreams))
                # They fail at once, much faster than the others answer.
                for name in failing_rack:
                    await cluster.set_upstream_faults(name, mode="fail")
                callers.results.clear()
                await wait_until(lambda: served_share(callers) >= SERVED_SHARE)
                assert await is_ejected_within(failing_rack)
                assert max_ejected >= 1
                # Then all fail: no further host may be ejected.
                await cluster.set_all_upstream_faults(mode="fail")
                callers.results.clear()
                await wait_until(lambda: len(callers.results) > 200)
                await is_ejected_within([])
                assert max_ejected <= len(cluster.upstreams) - floor
                await cluster.set_all_upstream_faults()
                await wait_until(
                    lambda: is_ejected_within([]), timeout_s=RETURN_TIMEOUT_S
                )
                await check_requests_resume(cluster, failing_rack)

    asyncio.run(run())


FIRST_TRIES = 200


async def count_extra_requests(cluster: Cluster, daemon: DaemonProcess) -> int:
    """Return the requests beyond FIRST_TRIES that a full outage causes."""
    callers = Callers(lambda: [daemon], headers=REPEATABLE)
    await cluster.set_all_upstream_faults()
    for _ in range(10):
        await callers.send_batch(10)
    await cluster.set_all_upstream_faults(mode="drop")
    before = sum(await request_counts(cluster, list(cluster.upstreams)))
    for _ in range(FIRST_TRIES // 10):
        results = await callers.send_batch(10)
        assert {each.outcome for each in results} == {"unknown"}
    callers.close()
    return sum(await request_counts(cluster, list(cluster.upstreams))) - (
        before + FIRST_TRIES
    )


def test_retries_in_a_full_outage_stay_within_a_tenth(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 4})
            budgeted = await cluster.start_entry("e1")
            extra = await count_extra_requests(cluster, budgeted)
            await budgeted.kill()
            free = await cluster.start_entry(
                "e2", policies={"retries": "free"}
            )
            baseline = await count_extra_requests(cluster, free)
            print(f"extra requests: budget {extra}, free {baseline}")
            assert extra <= FIRST_TRIES // 10
            assert baseline >= FIRST_TRIES

    asyncio.run(run())


def test_failed_executor_is_chosen_again_later() -> None:
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
