"""Bytes that a pool's owner writes to the store besides jobs and progress.

Links of daemons may have as little as 2 Mbit/s.  A pool's published state
must not grow with the rate at which its runs change.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import pytest

from lycheelug.fleetplan import SUMMARIES_TABLE, SUMMARY_KEY
from lycheelug.jobservice.pool_owner import PoolOwner
from lycheelug.jobservice.summary import join_summaries
from lycheelug.jobservice.tables import PROGRESS_TABLE
from lycheelug.store.memory_rows import MemoryRows
from lycheelug.workloads import StepSpec
from tests.job_world import POOL, ROUTE, JobWorld, until
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from collections.abc import Mapping

    from returns.result import Result

    from lycheelug.errors import Fault
    from lycheelug.store.rows import RowCommit, RowConflict, RowName

LINK_BYTES_PER_S = 10_000_000 / 8
# The share of a link that one pool's published state may take.
SURGE_SHARE = 0.1
# docs/CAPACITY.md: control traffic of a daemon without changes of load.
REST_BYTES_PER_S = 4_000
# A host has some 60 bytes in the stored list of loads.
LOADED_BYTES_PER_S = 8_000


class CountedRows(MemoryRows):
    """A store that counts the bytes of a pool's published state."""

    __slots__ = ("bytes_by_table",)

    def __init__(self) -> None:
        super().__init__()
        self.bytes_by_table: dict[str, int] = {}

    async def commit(
        self,
        part: str,
        expected: Mapping[RowName, int],
        writes: Mapping[RowName, bytes | None],
    ) -> Result[RowCommit | RowConflict, Fault]:
        for name, value in writes.items():
            is_job = name.table.startswith("jobs-")
            if part != POOL or is_job or name.table == PROGRESS_TABLE:
                continue
            # Values are base64 on the wire.
            size = len(value or b"") * 4 // 3
            total = self.bytes_by_table.get(name.table, 0)
            self.bytes_by_table[name.table] = total + size
        return await super().commit(part, expected, writes)

    def take_total(self) -> int:
        total = sum(self.bytes_by_table.values())
        self.bytes_by_table.clear()
        return total


class LoadedWorld(JobWorld):
    """A pool with many hosts and a counted store."""

    def __init__(self, hosts: int) -> None:
        super().__init__()
        self.counted = CountedRows()
        self.rows = self.counted
        self.jobs = 0
        for number in range(hosts):
            executor = self.fleet.add(f"machine-{number:03d}.incarnation-01")
            executor.work_s = 0.5

    async def settle(self) -> str:
        """Start a daemon and wait until all executors are recorded."""
        self.start_fleet()
        self.start_daemon("e0")
        await until(lambda: self.holders() == ["e0"])
        await asyncio.sleep(4.0)
        self.counted.take_total()
        return "e0"

    async def load(self, daemon: str, jobs_per_s: int, seconds: float) -> None:
        """Submit jobs of one task each at a constant rate."""
        submissions: list[asyncio.Task[object]] = []
        for _ in range(int(jobs_per_s * seconds)):
            self.jobs += 1
            submitted = self.submit(
                daemon, self.jobs, [StepSpec(count=1, cpu_millis=2000)]
            )
            submissions.append(asyncio.ensure_future(submitted))
            await asyncio.sleep(1 / jobs_per_s)
        await asyncio.gather(*submissions)


# Guards against links filled with the summary of a pool, which was written
# whole with each change of a run.
@pytest.mark.parametrize("hosts", [60, 130])
def test_published_state_is_bounded_while_runs_change(hosts: int) -> None:
    async def run() -> None:
        world = LoadedWorld(hosts)
        daemon = await world.settle()
        # 75 starts and 75 ends a second.
        await world.load(daemon, jobs_per_s=75, seconds=1.0)
        world.counted.take_total()
        await world.load(daemon, jobs_per_s=75, seconds=4.0)
        rate = world.counted.take_total() / 4.0
        print(f"{hosts} hosts: {rate:.0f} B/s")
        assert len(world.fleet.started) > 300
        assert rate < LOADED_BYTES_PER_S
        await world.stop()

    run_virtual(run())


# Guards against a surge in which the owner's own writes take its link.
def test_published_state_is_bounded_while_hosts_arrive() -> None:
    async def run() -> None:
        world = LoadedWorld(60)
        daemon = await world.settle()
        loading = asyncio.ensure_future(world.load(daemon, 75, 3.0))
        for number in range(60, 130):
            executor = world.fleet.add(f"machine-{number:03d}.incarnation-01")
            executor.work_s = 0.5
            world.daemons[daemon].update_executor(
                executor.info.executor_id, executor.info
            )
            await asyncio.sleep(0.04)
        await loading
        rate = world.counted.take_total() / 3.0
        print(f"arriving hosts: {rate:.0f} B/s")
        assert rate < LINK_BYTES_PER_S * SURGE_SHARE
        await world.stop()

    run_virtual(run())


# Guards against rewrites of a summary in which nothing has changed.
def test_nothing_is_published_while_nothing_changes() -> None:
    async def run() -> None:
        world = LoadedWorld(130)
        await world.settle()
        await asyncio.sleep(5.0)
        assert world.counted.take_total() / 5.0 < REST_BYTES_PER_S
        await world.stop()

    run_virtual(run())


# Guards against late moves of hosts: a limit on writes must not delay the
# first sight of a surge.
def test_jump_of_demand_is_published_at_once() -> None:
    async def run() -> None:
        world = LoadedWorld(4)
        daemon = await world.settle()
        loading = asyncio.ensure_future(world.load(daemon, 20, 3.0))
        await asyncio.sleep(1.5)
        # A summary is written now, so that the next one is not due.
        world.counted.take_total()
        await until(lambda: world.counted.take_total() > 0)
        await world.submit(daemon, 1000, [StepSpec(count=60, cpu_millis=2000)])
        await asyncio.sleep(0.25)
        assert await stored_demand(world) > 100_000
        await loading
        await world.stop()

    run_virtual(run())


# Guards against hosts that stay where no work is: while a pool always had
# progress to store, its demand and its confirmations were not stored at all.
def test_demand_is_published_while_progress_is_always_unstored() -> None:
    async def run() -> None:
        world = LoadedWorld(60)
        daemon = await world.settle()
        # A transaction takes long enough for the next changes to wait.
        world.stores[daemon].write_s = 0.1
        loading = asyncio.ensure_future(world.load(daemon, 75, 6.0))
        await asyncio.sleep(1.0)
        versions: list[int] = []
        for _ in range(16):
            versions.append(await summary_version(world))
            await asyncio.sleep(0.25)
        await loading
        assert len(set(versions)) >= 4
        await world.stop()

    run_virtual(run())


# Guards against counts of waiting jobs that lag behind by more than a second.
def test_count_of_waiting_jobs_is_less_than_a_second_old() -> None:
    async def run() -> None:
        world = LoadedWorld(1)
        daemon = await world.settle()
        for executor in world.fleet.executors.values():
            executor.work_s = 60.0
        for number in range(1, 13):
            await world.submit(daemon, number)
            await asyncio.sleep(1.0)
            reply = await world.daemons[daemon].submissions.pending(ROUTE)
            assert reply.pending == max(0, number - 4)
        await world.stop()

    run_virtual(run())


# Guards against a summary that is written with each change of a run because
# a drained executor, whose entry was removed, seems to be unconfirmed.
def test_drained_executor_without_entry_causes_no_writes() -> None:
    async def run() -> None:
        world = LoadedWorld(60)
        daemon = await world.settle()
        service = world.daemons[daemon]
        owner = service.duties.held[POOL]
        assert isinstance(owner, PoolOwner)
        view = owner.schedule.executors["machine-000.incarnation-01"]
        # Keeps the view after its entry was removed.
        view.leases_end_at = math.inf
        view.drain_order = "1.1"
        service.update_executor(view.executor_id, None)
        await world.load(daemon, jobs_per_s=75, seconds=1.0)
        world.counted.take_total()
        await world.load(daemon, jobs_per_s=75, seconds=2.0)
        assert view.is_drained
        rate = world.counted.take_total() / 2.0
        print(f"drained: {rate:.0f} B/s")
        # The share of 60 hosts in the bound for 130.
        assert rate < LOADED_BYTES_PER_S * 60 / 130
        await world.stop()

    run_virtual(run())


async def summary_version(world: JobWorld) -> int:
    """Return the version of the stored summary."""
    rows = (await world.rows.read(SUMMARIES_TABLE, POOL)).unwrap().rows
    return next(row.version for row in rows if row.key == SUMMARY_KEY)


async def stored_demand(world: JobWorld) -> int:
    """Return the CPU of running and waiting tasks as stored."""
    rows = (await world.rows.read(SUMMARIES_TABLE, POOL)).unwrap().rows
    summary = join_summaries(rows)[POOL]
    return summary.running_cpu + summary.ready_cpu
