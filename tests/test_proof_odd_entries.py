"""Daemons in processes, beside a writer of odd entries of executors."""

from __future__ import annotations

import asyncio
import itertools
import json
from typing import TYPE_CHECKING, Any

import msgspec
import pytest
from returns.result import Success

from lycheelug.platform.store import PlatformRows
from lycheelug.store.rows import RowName
from standins.processes import wait_until
from standins.schedulers import SchedulerCluster

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

EXECUTORS = 4
# Half of what fits, so that lost tasks could start elsewhere at once.
TASKS = 4
# Longer than a lease.
WORK_MS = 5000
# Several versions between two heartbeats of an executor.
WRITE_INTERVAL_S = 0.06
JOB = "5c0e7a21d94b36f8"
NESTED = b'{"x":%s}' % (b"[" * 60_000 + b"]" * 60_000)


def entry(**changes: Any) -> bytes:
    """Return an entry with some fields changed."""
    fields = {
        "service": "quotes",
        "address": "127.0.0.1:1",
        "zone": "z1",
        "state": "ready",
        "born": 1,
        "machine": "h-odd",
        "labels": ["a", "r1"],
        "capacity": {"cpu": 4000, "mem_mb": 8192},
    }
    return json.dumps(fields | changes).encode()


def wide(value: bytes) -> bytes:
    return entry(remaining_ms="~").replace(b'"~"', value)


KINDS: dict[str, list[bytes]] = {
    "unreadable": [
        NESTED,
        wide(b"1" + b"0" * 400),
        wide(b"1" * 4400),
        entry(address="127.0.0.1:70000"),
        entry(address="127.0.0.1:" + "1" * 4400),
        entry(capacity={"cpu": 10**30, "mem_mb": -1}),
        b"\xff\xfe",
    ],
    # Nobody listens there.
    "refused": [entry(), entry(born=2**52), entry(born=0)],
    # Another executor answers there.
    "elsewhere": [
        entry(address="OTHER"),
        entry(address="OTHER", born=2**52),
        entry(address="OTHER", machine="h-x3"),
    ],
    "other-fields": [
        entry(service="unknown"),
        entry(labels=["b", "r2"]),
        entry(capacity={"cpu": 2**31, "mem_mb": 2**31, "gpu": 9}),
        entry(state="draining"),
    ],
}


class OddWriter:
    """Writes odd entries, some of them over those of executors."""

    def __init__(self, address: str, values: list[bytes]) -> None:
        self._store = PlatformRows(address)
        self._values: Iterator[bytes] = itertools.cycle(values)
        self._task: asyncio.Task[None] | None = None
        self.written = 0

    async def start(self) -> None:
        """Start writing; another executor's address is that of the last."""
        rows = (await self._store.read("servers", "")).unwrap().rows
        entries = [msgspec.json.decode(row.value or b"") for row in rows]
        self._other = str(entries[-1]["address"]).encode()
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop writing."""
        assert self._task is not None
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._store.close()

    async def _run(self) -> None:
        while True:
            value = next(self._values).replace(b"OTHER", self._other)
            for key in ("odd", "x0", "x1"):
                name = RowName("servers", key)
                result = await self._store.commit("", {}, {name: value})
                self.written += isinstance(result, Success)
            await asyncio.sleep(WRITE_INTERVAL_S)


# Guards against odd entries that end a daemon, keep it from following the
# list, or make tasks of a living executor start a second time.
@pytest.mark.parametrize("kind", KINDS)
def test_jobs_run_once_beside_a_writer_of_odd_entries(
    tmp_path: Path, kind: str
) -> None:
    async def run() -> None:
        async with SchedulerCluster(tmp_path) as cluster:
            await cluster.start_platform_and_executors(EXECUTORS, WORK_MS)
            assert cluster.platform is not None
            for name in ("e1", "e2", "e3"):
                await cluster.start_scheduler(name)
            schedulers = cluster.schedulers

            async def has_owner() -> bool:
                return any(each.owns("quotes") for each in schedulers.values())

            await wait_until(has_owner)
            status = await schedulers["e1"].submit(
                JOB, [{"count": TASKS, "cpu": 2000, "estimate_ms": WORK_MS}]
            )
            assert status == 200

            async def are_started() -> bool:
                return len(await cluster.runs()) >= TASKS

            await wait_until(are_started)
            writer = OddWriter(cluster.platform.address, KINDS[kind])
            await writer.start()
            await asyncio.sleep(1.5)
            owner = next(
                name
                for name, each in schedulers.items()
                if each.owns("quotes")
            )
            await schedulers.pop(owner).kill()
            left = next(iter(schedulers.values()))

            async def is_completed() -> bool:
                return await left.state(JOB) == "completed"

            await wait_until(is_completed, timeout_s=40)
            await writer.stop()
            assert writer.written > 100
            runs = await cluster.runs()
            for first, second in itertools.combinations(runs, 2):
                if first.task == second.task:
                    assert 0 < first.ended <= second.began
            for each in schedulers.values():
                assert await each.is_ready()
                for line in each.lines:
                    assert '"event":"defect"' not in line
                    assert '"event":"row-not-applied"' not in line
                assert await each.stop() == 0

    asyncio.run(run())
