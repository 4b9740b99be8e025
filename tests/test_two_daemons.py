"""Two daemons that share a platform, in separate processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from standins.cluster import Cluster
from standins.processes import wait_until

if TYPE_CHECKING:
    from pathlib import Path


def test_daemons_discover_each_other_and_detect_a_loss(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 2})
            first = await cluster.start_entry("e1")
            second = await cluster.start_entry("e2")
            await cluster.wait_members(first, alive=2)
            await cluster.wait_members(second, alive=2)
            for daemon in (first, second):
                reply = await cluster.send_request(daemon, "bowl")
                assert reply.echo == "bowl"
            await second.kill()
            await cluster.wait_members(first, alive=1)
            code, text = await cluster.run_tool(
                "status", "--address", first.operators
            )
            assert code == 0
            assert "e2" in text
            assert await first.stop() == 0

    asyncio.run(run())


def test_slots_are_shared_between_the_live_daemons(tmp_path: Path) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 2})
            first = await cluster.start_entry("e1")

            async def limits() -> set[int]:
                hosts = await first.get("/v1/hosts")
                return {each["limit"] for each in hosts}

            async def has_all_slots() -> bool:
                return await limits() == {8}

            async def has_half_of_slots() -> bool:
                return await limits() == {4}

            await wait_until(has_all_slots)
            second = await cluster.start_entry("e2")
            await wait_until(has_half_of_slots)
            assert await second.stop() == 0
            await wait_until(has_all_slots)

    asyncio.run(run())


def test_daemon_stops_when_its_entry_row_is_removed(tmp_path: Path) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 1})
            first = await cluster.start_entry("e1")
            await cluster.remove_entry("e1")
            assert await first.wait() == 1
            assert any("superseded" in line for line in first.lines)

    asyncio.run(run())
