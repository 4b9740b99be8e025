"""Executors that crash, return and are cut off, and a faulty host list."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from lycheelug.errors import PLATFORM_UNREACHABLE, Fault, Peer, Step
from lycheelug.fleetplan import HostInfo, HostState
from tests.job_world import CAPACITY, POOL, FakeExecutor, FakeFleet

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine
    from typing import Any

    from lycheelug.jobservice.interfaces import PollFailure
    from lycheelug.workloads import ExecutorInfo, TaskName, TaskReport

ENTRY_REMOVED_S = 4.5


class LastingExecutor(FakeExecutor):
    """An executor on which the tasks of some jobs don't end."""

    def __init__(
        self, executor_id: str, work_s: float, lasting: set[str]
    ) -> None:
        super().__init__(executor_id, work_s)
        self.lasting = lasting

    def tick(self) -> None:
        now = asyncio.get_running_loop().time()
        for name, run in self.running.items():
            if name.job in self.lasting:
                run.started_at = now
        super().tick()


class DisturbedFleet(FakeFleet):
    """Executors that crash, return and are cut off; a faulty host list."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.rng = rng
        # Returns after how many seconds a task crashes its executor, or None
        # if it doesn't.
        self.crash_delay: Callable[[TaskName], float | None] = lambda _: None
        # The tasks that ran on each executor incarnation that crashed.
        self.crashes: list[tuple[FakeExecutor, set[TaskName]]] = []
        # The incarnation of each start.
        self.starts: list[tuple[TaskName, FakeExecutor]] = []
        # Called with an executor's id and its entry, if it has one.
        self.on_entry: Callable[[str, ExecutorInfo | None], None] = (
            lambda _id, _info: None
        )
        # The current executor of each host, None while it is down.
        self.present: dict[str, FakeExecutor | None] = {}
        self.hosts_fault = ""
        self.lasting: set[str] = set()
        self.pending: set[asyncio.Task[None]] = set()

    def add(self, executor_id: str, work_s: float = 1.0) -> FakeExecutor:
        executor = LastingExecutor(executor_id, work_s, self.lasting)
        self.executors[executor_id] = executor
        return executor

    def add_host(self, name: str) -> None:
        executor = self.add(name, self.rng.choice([0.4, 0.8, 1.5]))
        executor.info.host = f"h-{name}"
        self.present[executor.info.host] = executor

    def usable(self) -> list[FakeExecutor]:
        found: list[FakeExecutor] = []
        for executor in self.present.values():
            if executor is not None and not executor.is_partitioned:
                found.append(executor)
        return found

    def crash(self, executor: FakeExecutor) -> None:
        """Crash an executor; its host returns after a while."""
        if executor.has_crashed:
            return
        self.crashes.append((executor, set(executor.running)))
        executor.running.clear()
        executor.has_crashed = True
        self.present[executor.info.host] = None
        away_s = self.rng.choice([0.8, 2.0, 3.0, 6.0])
        same_id = self.rng.random() < 0.4
        self.spawn(self._return_later(executor, away_s, same_id))

    async def _return_later(
        self, executor: FakeExecutor, away_s: float, same_id: bool
    ) -> None:
        info = executor.info
        await asyncio.sleep(min(away_s, ENTRY_REMOVED_S))
        if away_s > ENTRY_REMOVED_S:
            self.on_entry(info.executor_id, None)
            await asyncio.sleep(away_s - ENTRY_REMOVED_S)
        base, _, number = info.executor_id.partition("+")
        successor_id = info.executor_id
        if not same_id:
            successor_id = f"{base}+{int(number or 0) + 1}"
            self.restarted.add(info.executor_id)
        work_s = executor.work_s
        successor = self.add(successor_id, work_s)
        successor.info.host = info.host
        successor.info.born_ms = executor.clock_ms()
        self.present[info.host] = successor
        if not same_id:
            self.on_entry(info.executor_id, None)
        self.on_entry(successor_id, successor.info)

    async def cut(self, executor: FakeExecutor, cut_s: float) -> None:
        """Cut an executor off from all daemons and from the store."""
        executor.is_partitioned = True
        info = executor.info
        await asyncio.sleep(min(cut_s, ENTRY_REMOVED_S))
        if cut_s > ENTRY_REMOVED_S:
            if not executor.has_crashed:
                self.on_entry(info.executor_id, None)
            await asyncio.sleep(cut_s - ENTRY_REMOVED_S)
        executor.is_partitioned = False
        if not executor.has_crashed:
            self.on_entry(info.executor_id, info)

    def on_started(self, executor_id: str, task: TaskName) -> None:
        executor = self.executors[executor_id]
        self.starts.append((task, executor))
        delay_s = self.crash_delay(task)
        if delay_s is not None:
            self.spawn(self._crash_after(executor, task, delay_s))

    async def _crash_after(
        self, executor: FakeExecutor, task: TaskName, delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        if task in executor.running:
            self.crash(executor)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.pending.add(task)
        task.add_done_callback(self.pending.discard)

    async def poll(
        self,
        info: ExecutorInfo,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_s: float,
    ) -> Result[TaskReport, PollFailure]:
        executor = self.executors[info.executor_id]
        result = await super().poll(
            info, token, acknowledged, deadline_ms, wait_s
        )
        if isinstance(result, Success):
            result.unwrap().born_ms = executor.info.born_ms
        return result

    async def hosts(self) -> Result[list[HostInfo], Fault]:
        found: list[HostInfo] = []
        for host, executor in self.present.items():
            if self.hosts_fault == "shortened" and self.rng.random() < 0.2:
                continue
            is_up = executor is not None
            found.append(
                HostInfo(
                    host,
                    POOL,
                    HostState.UP if is_up else HostState.DOWN,
                    capacity=CAPACITY,
                    executor_id=executor.info.executor_id if executor else "",
                )
            )
        if self.hosts_fault == "late":
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        if self.hosts_fault == "down":
            await asyncio.sleep(0.5)
            return Failure(
                Fault(
                    PLATFORM_UNREACHABLE, Step.READ, Peer.PLATFORM, "by test"
                )
            )
        return Success(found)
