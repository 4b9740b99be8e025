"""Memory, processor share and control traffic of an idle daemon.

Run with `python -m bench.idle`: three daemons over the stand-in platform,
with the pools and hosts of one user of today, no callers.  Bytes are what
the daemon's sockets carried, as its own counters and the kernel's tell.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path
from typing import Any, Final

from bench.process_usage import cpu_seconds, resident_bytes, socket_bytes
from lycheelug.platform import HostEntry, Write
from lycheelug.records import HostRow, PoolRow, encode, host_key, pool_key
from standins.world import World

__all__ = ["main"]

DAEMONS: Final = 3
POOLS: Final = 5
HOSTS_PER_POOL: Final = 8
SETTLE_S: Final = 8.0
MEASURE_S: Final = 30.0
MEBIBYTE: Final = 1 << 20
TARGET_MIB: Final = 32.0
TARGET_CPU: Final = 0.012
TARGET_BYTES: Final = 4096


async def fill_platform(world: World, pools: int, hosts: int) -> None:
    """Write pools and hosts that no process stands behind."""
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
    await world.list_hosts(entries)
    for start in range(0, len(rows), 500):
        await world.write_rows(rows[start : start + 500])


async def measure_idle(
    directory: Path, pools: int, hosts: int, **settings: Any
) -> list[float]:
    """Return MiB, processor share and bytes a second of one daemon."""
    async with World(directory) as world:
        await world.start_base({})
        world.settings["platform"]["poll_s"] = 2.0
        await fill_platform(world, pools, hosts)
        for number in range(DAEMONS):
            await world.start_entry(f"e{number}", **settings)
        first = world.daemons["e1"]
        await world.wait_members(first, alive=DAEMONS)
        await asyncio.sleep(SETTLE_S)
        pid = first.process.pid
        cpu_s = cpu_seconds(pid)
        sent = socket_bytes(pid)
        await asyncio.sleep(MEASURE_S)
        cpu_share = (cpu_seconds(pid) - cpu_s) / MEASURE_S
        rate = (socket_bytes(pid) - sent) / MEASURE_S
        return [resident_bytes(pid) / MEBIBYTE, cpu_share, rate]


def main() -> None:
    """Measure and print."""
    with tempfile.TemporaryDirectory() as directory:
        mib, cpu, rate = asyncio.run(
            measure_idle(Path(directory), POOLS, HOSTS_PER_POOL)
        )
    sys.stdout.write(
        f"idle daemon, {DAEMONS - 1} peers, {POOLS} pools, "
        f"{POOLS * HOSTS_PER_POOL} hosts\n"
        f"resident memory   {mib:8.1f} MiB   (target {TARGET_MIB:g})\n"
        f"processor share   {cpu:8.2%}       (target {TARGET_CPU:.1%})\n"
        f"control traffic   {rate:8.0f} B/s   (target {TARGET_BYTES})\n"
    )


if __name__ == "__main__":
    main()
