"""Daemons cut off from the platform and their peers, and platform outages."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from standins.callers import Callers
from standins.cluster import Cluster
from standins.processes import wait_until

if TYPE_CHECKING:
    from pathlib import Path

    from standins.processes import DaemonProcess

# Longer than the shortest pause of its own process that a daemon detects.
FROZEN_S = 3.0
REPEATABLE = [(b"lycheelug-repeatable", b"yes")]


async def is_ready(daemon: DaemonProcess) -> bool:
    status = await daemon.get("/v1/status")
    return bool(status["phase"] == "ready")


async def has_joined(daemon: DaemonProcess, name: str) -> bool:
    status = await daemon.get("/v1/status")
    for member in status["members"]:
        if member["name"] == name:
            return bool(member["joined"])
    return False


def test_cut_off_daemon_serves_and_recovers(tmp_path: Path) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            cluster.settings["timing"] |= {
                "gossip_s": 0.3,
                "member_suspect_s": 1,
            }
            await cluster.start_platform_and_pools({"quotes": 2})
            first = await cluster.start_entry("e1")
            second = await cluster.start_entry("e2")
            await cluster.wait_limits(first, 4)
            callers = Callers(lambda: [first], deadline_s=6.0)
            # It loses the platform and its only peer.
            await cluster.set_platform_faults(down=True)
            second.send_signal(signal.SIGSTOP)
            # It may use the slots of a peer that no longer responds.
            await cluster.wait_limits(first, 8)
            results = await callers.send_batch(12)
            assert [each.is_served for each in results] == [True] * 12
            rejected = await callers.send("fresh", key="fresh")
            assert rejected.outcome == "not-run"
            await cluster.set_platform_faults()
            second.send_signal(signal.SIGCONT)
            await cluster.wait_limits(first, 4)
            await cluster.wait_members(second, alive=2)
            # The refused key was not claimed: any daemon accepts it, and it
            # runs once.
            both = Callers(lambda: [second, first], deadline_s=6.0)
            for _ in range(4):
                again = await both.send("fresh", key="fresh")
                assert again.is_served
            counts = await cluster.run_counts()
            assert max(counts.values()) == 1
            callers.close()
            both.close()

    asyncio.run(run())


def test_daemon_starts_from_a_peer_without_the_platform(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 2})
            first = await cluster.start_entry("e1")
            await cluster.set_platform_faults(down=True)
            second = await cluster.start_entry("e2")
            assert await is_ready(second)
            callers = Callers(lambda: [second], deadline_s=6.0)
            results = await callers.send_batch(8)
            assert [each.is_served for each in results] == [True] * 8
            # Its peer knows it; it joins once the platform is reachable.
            assert not await has_joined(first, "e2")
            await cluster.set_platform_faults()
            await wait_until(lambda: has_joined(first, "e2"))
            callers.close()

    asyncio.run(run())


def test_frozen_daemon_reports_true_outcomes_after_resuming(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 2})
            daemon = await cluster.start_entry("e1")
            await cluster.set_all_upstream_faults(delay_ms=300)
            callers = Callers(lambda: [daemon], deadline_s=1.0)
            in_flight = [asyncio.create_task(callers.send()) for _ in range(8)]

            async def all_run() -> bool:
                return len(await cluster.runs()) == 8

            await wait_until(all_run)
            daemon.send_signal(signal.SIGSTOP)
            sent_while_frozen = [
                asyncio.create_task(callers.send()) for _ in range(4)
            ]
            await asyncio.sleep(FROZEN_S)
            # Without the platform and peers it can't refresh its view.
            await cluster.set_platform_faults(down=True)
            daemon.send_signal(signal.SIGCONT)
            results = await asyncio.gather(*in_flight, *sent_while_frozen)
            counts = await cluster.run_counts()
            for each in results:
                assert each.has_no_wrong_answer
                if each.outcome == "not-run":
                    assert each.payload not in counts, each
            blocked = await callers.send()
            assert blocked.outcome == "not-run"
            assert blocked.payload not in await cluster.run_counts()
            await cluster.set_platform_faults()

            async def serves() -> bool:
                return (await callers.send()).is_served

            await wait_until(serves)
            callers.close()

    asyncio.run(run())


def test_platform_faults_do_not_affect_requests_without_a_key(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 2})
            daemons = [await cluster.start_entry(f"e{n}") for n in range(2)]
            for daemon in daemons:
                await cluster.wait_limits(daemon, 4)
            callers = Callers(lambda: daemons, deadline_s=6.0)
            for faults in (
                {"down": True},
                {"delay_ms": 2500},
                {"lose_share": 0.5, "seed": 7},
                {},
            ):
                await cluster.set_platform_faults(**faults)
                stop = asyncio.Event()
                load = asyncio.create_task(callers.run_load(4, stop))
                await asyncio.sleep(1.0)
                stop.set()
                await load
            unserved = [each for each in callers.results if not each.is_served]
            assert unserved == []
            counts = await cluster.run_counts()
            assert len(counts) == len(callers.results)
            assert max(counts.values()) == 1
            callers.close()

    asyncio.run(run())
