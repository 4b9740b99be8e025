"""Graceful shutdown under load, in separate processes."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from returns.primitives.exceptions import UnwrapFailedError

from standins.callers import Callers
from standins.cluster import Cluster
from standins.processes import http_call, wait_until

if TYPE_CHECKING:
    from pathlib import Path

    from standins.processes import DaemonProcess

DELAY_MS = 150
WORKERS = 12


def serving_daemons(cluster: Cluster) -> list[DaemonProcess]:
    return [each for each in cluster.daemons.values() if each.is_serving]


async def member_state(daemon: DaemonProcess, name: str) -> str:
    status = await daemon.get("/v1/status")
    for member in status["members"]:
        if member["name"] == name:
            return str(member["state"])
    return ""


def test_rolling_replacement_loses_no_answer(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 3})
            for name in ("e1", "e2", "e3"):
                await cluster.start_entry(name)
            for daemon in serving_daemons(cluster):
                await cluster.wait_members(daemon, alive=3)
            await cluster.set_all_upstream_faults(delay_ms=DELAY_MS)
            callers = Callers(
                lambda: serving_daemons(cluster), deadline_s=20.0
            )
            stop = asyncio.Event()
            load = asyncio.create_task(callers.run_load(WORKERS, stop))
            for name in ("e1", "e2", "e3"):
                await wait_until(lambda: len(callers.results) % 50 > 25)
                await cluster.start_entry(f"{name}b")
                assert await cluster.daemons[name].stop() == 0
            stop.set()
            await load
            callers.close()
            unserved = [each for each in callers.results if not each.is_served]
            assert unserved == []
            counts = await cluster.run_counts()
            assert max(counts.values()) == 1
            assert len(counts) == len(callers.results)

    asyncio.run(run())


def test_stop_finishes_requests_rejects_new_ones_and_informs_peers(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            cluster.settings["timing"]["gossip_s"] = 30
            await cluster.start_platform_and_pools({"quotes": 2})
            first = await cluster.start_entry("e1")
            second = await cluster.start_entry("e2")
            await cluster.wait_limits(second, 4)
            await cluster.set_all_upstream_faults(delay_ms=1500)
            callers = Callers(lambda: [first], deadline_s=20.0)
            in_flight = [asyncio.create_task(callers.send()) for _ in range(8)]

            async def all_run() -> bool:
                return len(await cluster.runs()) == 8

            await wait_until(all_run)
            await cluster.set_platform_faults(down=True)
            first.send_signal(signal.SIGTERM)
            # The message of the stopping daemon itself informs the peers at
            # once (gossip is too slow here, the platform is down), and they
            # keep it as alive while it has requests in flight.
            await cluster.wait_limits(second, 8)
            assert await member_state(second, "e1") == "alive"
            status = await send_request_or_none(first)
            assert status in {None, 503}
            results = await asyncio.gather(*in_flight)
            assert [each.is_served for each in results] == [True] * 8
            assert await first.wait() == 0
            await wait_until(lambda: is_gone(second, "e1"))
            assert len(await cluster.runs()) == 8
            callers.close()

    asyncio.run(run())


async def is_gone(daemon: DaemonProcess, name: str) -> bool:
    return await member_state(daemon, name) in {"", "gone"}


async def send_request_or_none(daemon: DaemonProcess) -> int | None:
    """Return the status of a new request, or None if it can't connect."""
    headers = [(b"lycheelug-pool", b"quotes")]
    try:
        answer = await http_call(
            daemon.callers, "POST", "/work", b"late", headers
        )
    except UnwrapFailedError:
        return None
    assert (b"lycheelug-outcome", b"not-run") in answer.headers
    return answer.status


def test_open_connection_gets_not_run_after_sigterm(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 1})
            daemon = await cluster.start_entry("e1")
            host, _, port = daemon.callers.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            daemon.send_signal(signal.SIGTERM)
            await daemon.wait_line('"draining"')
            writer.write(
                b"POST /work HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n"
                b"lycheelug-pool: quotes\r\n\r\nx"
            )
            answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 503 ")
            assert b"lycheelug-outcome: not-run" in answer
            writer.close()
            assert await daemon.wait() == 0
            assert await cluster.runs() == []

    asyncio.run(run())


def test_second_signal_aborts_requests_and_logs_their_number(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 1})
            daemon = await cluster.start_entry("e1")
            await cluster.set_all_upstream_faults(mode="hang")
            callers = Callers(lambda: [daemon], deadline_s=60.0)
            in_flight = [asyncio.create_task(callers.send()) for _ in range(3)]

            async def all_run() -> bool:
                return len(await cluster.runs()) == 3

            await wait_until(all_run)
            daemon.send_signal(signal.SIGTERM)
            await daemon.wait_line('"draining"')
            daemon.send_signal(signal.SIGTERM)
            assert await daemon.wait() == 1
            assert '"requests_cut":3' in await daemon.wait_line("ended")
            results = await asyncio.gather(*in_flight)
            # No caller may get an answer or "not-run" for them.
            assert {each.outcome for each in results} <= {
                "unknown",
                "no-answer",
            }
            callers.close()

    asyncio.run(run())
