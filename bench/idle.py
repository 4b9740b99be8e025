"""Measures memory, processor share and network traffic of idle daemons.

Run with `python -m bench.idle`.  It starts fleets of daemons on the stand-in
platform, with the pools and hosts of a typical current user and without
callers.  Memory and processor time are measured at the first daemon; all
others count the bytes of their sockets (see `counted_daemon`), which would
distort its figures.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path
from statistics import fmean
from typing import Any, Final

from bench.counted_daemon import transferred_bytes
from bench.process_usage import Memory, cpu_seconds, memory_bytes
from lycheelug.records import HostRow, PoolRow, encode, host_key, pool_key
from lycheelug.store import HostEntry, Write
from standins.cluster import Cluster

__all__ = ["IdleFigures", "fill_platform", "main", "measure_idle"]

DAEMONS: Final = (3, 9)
# The daemon that runs without counting bytes.
PLAIN: Final = "e0"
POOLS: Final = 5
HOSTS_PER_POOL: Final = 8
SETTLE_S: Final = 8.0
MEASURE_S: Final = 30.0
POLL_S: Final = 2.0
MEBIBYTE: Final = 1 << 20
TARGET_MIB: Final = 32.0
TARGET_CPU: Final = 0.012
TARGET_BYTES: Final = 4096


async def fill_platform(cluster: Cluster, pools: int, hosts: int) -> None:
    """Write rows of pools and hosts that have no processes."""
    entries: list[HostEntry] = []
    rows: list[Write] = []
    for pool_number in range(pools):
        pool = f"pool-{pool_number}"
        rows.append(Write(pool_key(pool), encode(PoolRow(pool))))
        for number in range(hosts):
            name = f"w{pool_number}-{number}"
            rack = f"r{number // 4}"
            address = f"127.0.0.1:{20_000 + len(entries)}"
            entries.append(HostEntry(name, "z1", rack, address))
            row = HostRow(name, "z1", rack, pool)
            rows.append(Write(host_key("z1", name), encode(row)))
    await cluster.put_hosts(entries)
    for start in range(0, len(rows), 500):
        await cluster.write_rows(rows[start : start + 500])


class _CountingCluster(Cluster):
    """A cluster in which all daemons but the first count their bytes."""

    __slots__ = ()

    async def spawn(
        self, arguments: tuple[str, ...], **variables: str
    ) -> asyncio.subprocess.Process:
        if (
            arguments[0] == "lycheelug.main"
            and Path(arguments[1]).stem != PLAIN
        ):
            arguments = ("bench.counted_daemon", *arguments[1:])
        return await super().spawn(arguments, **variables)


class IdleFigures:
    """The measurements of idle daemons."""

    __slots__ = ("cpu_share", "memory", "received", "sent")

    def __init__(
        self,
        memory: Memory,
        cpu_share: float,
        sent: list[float],
        received: list[float],
    ) -> None:
        self.memory = memory
        self.cpu_share = cpu_share
        # Bytes per second of each counting daemon.
        self.sent = sent
        self.received = received


async def measure_idle(
    directory: Path, daemons: int, pools: int, hosts: int, **settings: Any
) -> IdleFigures:
    """Start idle daemons and return their measurements."""
    async with _CountingCluster(directory) as cluster:
        await cluster.start_platform_and_pools({})
        cluster.settings["platform"]["poll_s"] = POLL_S
        await fill_platform(cluster, pools, hosts)
        for number in range(daemons):
            await cluster.start_entry(f"e{number}", **settings)
        plain = cluster.daemons[PLAIN]
        await cluster.wait_members(plain, alive=daemons)
        await asyncio.sleep(SETTLE_S)
        counted: list[Path] = []
        for name in cluster.daemons:
            if name != PLAIN:
                counted.append(directory / f"{name}.yaml")
        pid = plain.process.pid
        cpu_s = cpu_seconds(pid)
        before = [transferred_bytes(path) for path in counted]
        await asyncio.sleep(MEASURE_S)
        cpu_share = (cpu_seconds(pid) - cpu_s) / MEASURE_S
        sent: list[float] = []
        received: list[float] = []
        for path, old in zip(counted, before, strict=True):
            new = transferred_bytes(path)
            sent.append((new[0] - old[0]) / MEASURE_S)
            received.append((new[1] - old[1]) / MEASURE_S)
        return IdleFigures(memory_bytes(pid), cpu_share, sent, received)


def _print(daemons: int, figures: IdleFigures) -> None:
    """Print the measurements of one fleet."""
    sums = [
        sum(pair) for pair in zip(figures.sent, figures.received, strict=True)
    ]
    resident = figures.memory.resident / MEBIBYTE
    private = figures.memory.private / MEBIBYTE
    sys.stdout.write(
        f"{daemons} idle daemons, {POOLS} pools, "
        f"{POOLS * HOSTS_PER_POOL} hosts\n"
        f"resident memory   {resident:8.1f} MiB  (target {TARGET_MIB:g})\n"
        f"private of it     {private:8.1f} MiB\n"
        f"processor share   {figures.cpu_share:8.2%}      "
        f"(target {TARGET_CPU:.1%})\n"
        f"bytes sent        {fmean(figures.sent):8.0f} B/s\n"
        f"bytes received    {fmean(figures.received):8.0f} B/s\n"
        f"both, mean        {fmean(sums):8.0f} B/s  "
        f"(target under {TARGET_BYTES})\n"
        f"both, most        {max(sums):8.0f} B/s\n"
    )
    sys.stdout.flush()


def main() -> None:
    """Measure idle fleets of several sizes and print the results."""
    for daemons in DAEMONS:
        with tempfile.TemporaryDirectory() as directory:
            figures = asyncio.run(
                measure_idle(Path(directory), daemons, POOLS, HOSTS_PER_POOL)
            )
        _print(daemons, figures)


if __name__ == "__main__":
    main()
