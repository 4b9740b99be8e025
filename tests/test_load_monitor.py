"""Tests of the periodic report of a daemon's load."""

from __future__ import annotations

import asyncio

from loguru import logger

from lycheelug.jobservice.load_monitor import LoadMonitor
from lycheelug.metrics import Metrics
from lycheelug.store.traffic import StoreTraffic
from tests.virtual_time import run_virtual


def test_report_names_the_tables_with_the_most_bytes_first() -> None:
    """Without this line a full link can't be told from a late event loop."""
    traffic = StoreTraffic()
    metrics = Metrics()
    lines: list[dict[str, object]] = []
    sink = logger.add(
        lambda message: lines.append(message.record["extra"]["fields"]),
        filter=lambda record: record["message"] == "load",
    )

    async def run() -> None:
        monitor = LoadMonitor(traffic, metrics, lambda: ["quotes"])
        task = asyncio.get_running_loop().create_task(monitor.run())
        traffic.record("progress", sent=5_000, received=1_000)
        traffic.record("summaries", sent=0, received=90_000)
        traffic.record("summaries", sent=0, received=None)
        await asyncio.sleep(2.5)
        traffic.record("owners", sent=0, received=2_000)
        await asyncio.sleep(2.0)
        task.cancel()

    try:
        run_virtual(run())
    finally:
        logger.remove(sink)
    assert len(lines) == 2
    assert list(lines[0]["most"]) == ["summaries", "progress"]  # type: ignore[call-overload]
    assert lines[0]["duties"] == ["quotes"]
    assert lines[0]["kb_in"] == 91
    assert lines[0]["failed_calls"] == 1
    assert lines[1]["kb_in"] == 2
    assert metrics.counters["bytes-in-summaries"] == 90_000
