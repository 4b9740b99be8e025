"""Tests the configuration commands with daemons in processes."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

import pytest

from standins.cluster import Cluster
from standins.processes import wait_until

if TYPE_CHECKING:
    from pathlib import Path


def test_change_is_in_force_on_all_daemons_and_survives_a_restart(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 1})
            first = await cluster.start_entry("e1")
            second = await cluster.start_entry("e2")
            await cluster.wait_members(first, alive=2)
            file = tmp_path / "config.json"
            file.write_text('{"tenants": {"arima": 0.5}}')
            code, text = await cluster.run_tool(
                "config", "submit", str(file), "--address", first.operators
            )
            assert (code, "accepted" in text) == (0, True), text

            async def is_in_force() -> bool:
                found = await second.get("/v1/config")
                return bool(found["body"] == {"tenants": {"arima": 0.5}})

            await wait_until(is_in_force)
            for daemon in (first, second):
                reply = await cluster.send_request(daemon, "x")
                assert (reply.status, reply.reason) == (403, "unknown-tenant")
            await first.kill()
            await second.stop()
            third = await cluster.start_entry("e3")
            found = await third.get("/v1/config")
            assert found["body"] == {"tenants": {"arima": 0.5}}

    asyncio.run(run())


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        ("{", "truncated"),
        ('{"max_tries": 0}', "max_tries"),
        ('{"typo": 1}', "typo"),
    ],
)
def test_bad_configuration_is_refused_with_its_reason(
    tmp_path: Path, body: str, reason: str
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 1})
            daemon = await cluster.start_entry("e1")
            file = tmp_path / "config.json"
            file.write_text(body)
            code, text = await cluster.run_tool(
                "config", "submit", str(file), "--address", daemon.operators
            )
            assert code == 1
            assert reason in text
            code, text = await cluster.run_tool(
                "config",
                "show",
                "--output",
                "json",
                "--address",
                daemon.operators,
            )
            assert json.loads(text)["revision"] == 0

    asyncio.run(run())
