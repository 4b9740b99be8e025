"""End-to-end requests in separate processes: caller, daemon and upstream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from standins.processes import DaemonProcess, ProcessGroup, http_call

if TYPE_CHECKING:
    from pathlib import Path


def embedded_settings(addresses: list[str]) -> dict[str, Any]:
    hosts = []
    for index, address in enumerate(addresses):
        hosts.append(
            {"name": f"w{index}", "pool": "quotes", "address": address}
        )
    return {
        "platform": {
            "binding": "memory",
            "pools": [{"name": "quotes"}],
            "hosts": hosts,
        },
        "limits": {"max_body_bytes": 1000},
    }


async def start(processes: ProcessGroup) -> DaemonProcess:
    upstreams = [await processes.start_upstream(f"w{n}") for n in range(2)]
    addresses = [each.address for each in upstreams]
    return await processes.start_daemon("e1", embedded_settings(addresses))


def test_request_is_served_end_to_end(tmp_path: Path) -> None:
    async def run() -> None:
        async with ProcessGroup(tmp_path) as processes:
            daemon = await start(processes)
            answer = await http_call(
                daemon.callers,
                "POST",
                "/quote?size=3",
                b"brass bowl",
                [(b"lycheelug-pool", b"quotes")],
            )
            assert answer.status == 200
            content = msgspec.json.decode(answer.body)
            assert content["echo"] == "brass bowl"
            assert (b"lycheelug-outcome", b"answered") in answer.headers
            code, text = await processes.run_tool(
                "histograms", "--address", daemon.operators
            )
            assert code == 0
            assert "total" in text
            assert await daemon.stop() == 0

    asyncio.run(run())


POOL_HEADER = (b"lycheelug-pool", b"quotes")


@pytest.mark.parametrize(
    ("headers", "body", "status", "reason"),
    [
        pytest.param([], b"", 400, b"bad-header", id="no-pool"),
        pytest.param(
            [(b"lycheelug-pool", b"x")], b"", 404, b"unknown-pool", id="pool"
        ),
        pytest.param(
            [POOL_HEADER, (b"lycheelug-deadline", b"soon")],
            b"",
            400,
            b"bad-header",
            id="deadline",
        ),
        pytest.param(
            [POOL_HEADER, (b"lycheelug-class", b"slow")],
            b"",
            400,
            b"bad-header",
            id="class",
        ),
        pytest.param(
            [POOL_HEADER, POOL_HEADER],
            b"",
            400,
            b"bad-header",
            id="header-twice",
        ),
        pytest.param(
            [POOL_HEADER], b"x" * 1001, 413, b"body-too-large", id="body"
        ),
    ],
)
def test_bad_input_is_rejected_and_not_dispatched(
    tmp_path: Path,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
    status: int,
    reason: bytes,
) -> None:
    async def run() -> None:
        async with ProcessGroup(tmp_path) as processes:
            upstream = await processes.start_upstream("w0")
            daemon = await processes.start_daemon(
                "e1", embedded_settings([upstream.address])
            )
            answer = await http_call(
                daemon.callers, "POST", "/", body, headers
            )
            assert answer.status == status
            assert (b"lycheelug-outcome", b"not-run") in answer.headers
            assert (b"lycheelug-reason", reason) in answer.headers
            log = await http_call(upstream.address, "GET", "/-/log")
            assert msgspec.json.decode(log.body) == []
            counters = await daemon.get("/v1/counters")
            assert any(reason.decode() in name for name in counters)

    asyncio.run(run())
