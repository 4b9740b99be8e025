"""The list of executors, which only the owners of pools follow."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lycheelug.jobservice.executor_list import ExecutorList
from lycheelug.store.memory_rows import MemoryRows
from lycheelug.store.rows import RowName
from lycheelug.workloads import JobState
from standins.processes import http_call, wait_until
from standins.schedulers import SchedulerCluster
from standins.task_platform import POOL as STANDIN_POOL
from tests.job_world import FaultyRows, JobWorld, until
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from pathlib import Path

    from returns.result import Result

    from lycheelug.errors import Fault
    from lycheelug.jobservice.service import JobService
    from lycheelug.store.rows import HistoryGone, RowSet, StoredRow
    from standins.schedulers import SchedulerProcess

TABLE = "servers"
# A claim, and one read of the list beside those of the pool's state.
RECOVER_S = 0.3


class ListedRows(FaultyRows):
    """A daemon's access to the list of executors, with counted calls."""

    __slots__ = ("feeds", "reads")

    def __init__(self, shared: MemoryRows) -> None:
        super().__init__(shared)
        self.feeds = 0
        self.reads = 0

    async def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[RowSet, Fault]:
        self.reads += 1
        return await super().read(table, part, first, end)

    async def feed(
        self, table: str, after: int, wait_s: float
    ) -> Result[RowSet | HistoryGone, Fault]:
        self.feeds += 1
        return await super().feed(table, after, wait_s)


class ListedWorld(JobWorld):
    """Daemons that learn of executors from a table of the store."""

    def __init__(self) -> None:
        super().__init__()
        self.lists: dict[str, ListedRows] = {}
        self.tasks: list[asyncio.Task[None]] = []

    def start_listed(self, name: str) -> JobService:
        fleet = self.fleet.executors
        self.fleet.executors = {}
        service = self.start_daemon(name)
        self.fleet.executors = fleet
        rows = ListedRows(self.rows)

        def apply(row: StoredRow) -> None:
            info = None
            if row.value is not None:
                info = fleet[row.key].info
            service.update_executor(row.key, info)

        executors = ExecutorList(
            rows, TABLE, apply, lambda: service.owns_pools
        )
        service.follow_executors(executors)
        self.lists[name] = rows
        self.tasks.append(asyncio.ensure_future(executors.run()))
        return service

    async def write_entries(self) -> None:
        """Rewrite all entries until cancelled, as executors do."""
        while True:
            for executor_id in self.fleet.executors:
                name = RowName(TABLE, executor_id)
                await self.rows.commit("", {}, {name: b"{}"})
            await asyncio.sleep(0.5)

    async def begin(self, executors: int, daemons: int) -> str:
        for number in range(executors):
            self.fleet.add(f"x{number}")
        self.start_fleet()
        self.tasks.append(asyncio.ensure_future(self.write_entries()))
        await asyncio.sleep(0.1)
        for number in range(daemons):
            self.start_listed(f"e{number}")
        await until(lambda: len(self.holders()) == 1)
        (owner,) = self.holders()
        return owner

    async def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        await self.stop()


# Guards against links filled with entries that a daemon has no use for.
def test_only_owners_of_pools_follow_the_executors() -> None:
    async def run() -> None:
        world = ListedWorld()
        owner = await world.begin(executors=3, daemons=3)
        await asyncio.sleep(5.0)
        for name, rows in world.lists.items():
            is_owner = name == owner
            assert (rows.feeds > 0) is is_owner
            assert (rows.reads > 0) is is_owner
        await world.submit(owner, 1)
        await until(lambda: len(world.fleet.started) == 2)
        await world.end()

    run_virtual(run())


# Guards against the same in the assembled daemon.
def test_daemon_without_pool_receives_no_entries(tmp_path: Path) -> None:
    async def received(daemon: SchedulerProcess) -> int:
        answer = await http_call(daemon.probes, "GET", "/metrics")
        for line in answer.body.decode().splitlines():
            if line.startswith(f"lycheelug_bytes_in_{TABLE}_total "):
                return int(line.rsplit(" ", 1)[1])
        return 0

    async def run() -> None:
        async with SchedulerCluster(tmp_path) as cluster:
            await cluster.start_platform_and_executors(4, 200)
            first = await cluster.start_scheduler("e1")

            async def owns_and_follows() -> bool:
                return first.owns(STANDIN_POOL) and await received(first) > 0

            await wait_until(owns_and_follows)
            second = await cluster.start_scheduler("e2")

            async def has_reported() -> bool:
                return any('"event":"load"' in line for line in second.lines)

            await wait_until(has_reported)
            assert not second.owns(STANDIN_POOL)
            assert await received(second) == 0

    asyncio.run(run())


# Guards against a takeover that is late because of the list.
def test_new_owner_has_the_executors_within_one_read() -> None:
    async def run() -> None:
        world = ListedWorld()
        owner = await world.begin(executors=2, daemons=2)
        await asyncio.sleep(2.0)
        await world.daemons[owner].drain()
        await world.daemons.pop(owner).stop()
        await until(lambda: len(world.holders()) == 1)
        (successor,) = world.holders()
        assert world.lists[successor].reads <= 1
        service = world.daemons[successor]
        async with asyncio.timeout(RECOVER_S):
            while len(service.executors_of("quotes")) < 2:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        await world.end()

    run_virtual(run())


# Guards against tasks that are given up or started twice because a list that
# is not loaded shows no executors.
def test_owner_waits_for_the_list_and_adopts_running_tasks() -> None:
    async def run() -> None:
        world = ListedWorld()
        owner = await world.begin(executors=2, daemons=2)
        for executor in world.fleet.executors.values():
            executor.work_s = 4.0
        await asyncio.sleep(1.0)
        await world.submit(owner, 1)
        await until(lambda: len(world.fleet.started) == 2)
        (successor,) = set(world.daemons) - {owner}
        world.lists[successor].down = True
        await world.daemons[owner].drain()
        await world.daemons.pop(owner).stop()
        await until(lambda: len(world.holders()) == 1)
        await asyncio.sleep(1.5)
        assert len(world.fleet.started) == 2
        world.lists[successor].down = False

        async def is_done() -> bool:
            return await world.state(successor, 1) == JobState.COMPLETED

        async with asyncio.timeout(10.0):
            while not await is_done():  # noqa: ASYNC110
                await asyncio.sleep(0.1)
        assert len(world.fleet.started) == 2
        assert world.fleet.duplicated_tasks == []
        await world.end()

    run_virtual(run())


# Guards against a daemon that follows the list for good after it lost its
# pool, and against one that keeps entries which were removed meanwhile.
def test_list_is_read_again_when_a_pool_is_won_again() -> None:
    async def run() -> None:
        rows = ListedRows(MemoryRows())
        known: set[str] = set()
        owns = [True]

        def apply(row: StoredRow) -> None:
            if row.value is None:
                known.discard(row.key)
            else:
                known.add(row.key)

        executors = ExecutorList(rows, TABLE, apply, lambda: owns[0])
        task = asyncio.ensure_future(executors.run())
        for key in ("x0", "x1"):
            await rows.shared.commit("", {}, {RowName(TABLE, key): b"{}"})
        executors.request()
        await executors.wait_loaded()
        assert known == {"x0", "x1"}
        owns[0] = False
        await asyncio.sleep(2.0)
        calls = rows.feeds
        await rows.shared.commit("", {}, {RowName(TABLE, "x0"): None})
        await asyncio.sleep(5.0)
        assert rows.feeds == calls
        owns[0] = True
        executors.request()
        await executors.wait_loaded()
        assert known == {"x1"}
        assert rows.reads == 2
        task.cancel()

    run_virtual(run())
