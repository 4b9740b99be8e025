"""A job world whose executors crash when they start certain tasks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from tests.job_world import FakeFleet, JobWorld

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from lycheelug.workloads import TaskName

# How long an executor is away after a crash.
AWAY_S = 3.0


class CrashingFleet(FakeFleet):
    """Executors that crash under deadly tasks and return as new ones."""

    def __init__(self) -> None:
        super().__init__()
        # Returns after how many seconds a task crashes its executor, or None
        # if it doesn't.
        self.crash_delay: Callable[[TaskName], float | None] = lambda _: None
        # Executors that crashed, with the tasks that ran there.
        self.crashed: dict[str, set[TaskName]] = {}
        # Called with the old and the new executor.
        self.on_return: Callable[[str, str], None] = lambda _old, _new: None
        self._tasks: set[asyncio.Task[None]] = set()

    def crash(self, executor_id: str) -> None:
        """Crash an executor; its host returns with a new one."""
        if executor_id in self.crashed:
            return
        executor = self.executors[executor_id]
        self.crashed[executor_id] = set(executor.running)
        executor.running.clear()
        executor.has_crashed = True
        self._spawn(self._return_later(executor_id, executor.work_s))

    def on_started(self, executor_id: str, task: TaskName) -> None:
        """Crash the executor later if the task is deadly."""
        delay_s = self.crash_delay(task)
        if delay_s is not None:
            self._spawn(self._crash_after(executor_id, delay_s))

    async def _crash_after(self, executor_id: str, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self.crash(executor_id)

    async def _return_later(self, executor_id: str, work_s: float) -> None:
        await asyncio.sleep(AWAY_S)
        base, _, number = executor_id.partition("+")
        successor = f"{base}+{int(number or 0) + 1}"
        self.add(successor, work_s)
        self.restarted.add(executor_id)
        self.on_return(executor_id, successor)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class CrashWorld(JobWorld):
    """Daemons over a fleet that crashes."""

    def __init__(self) -> None:
        super().__init__()
        self.crashing = CrashingFleet()
        self.fleet = self.crashing
        self.crashing.on_return = self._replace

    def crash_counts(self, name: TaskName) -> int:
        """Return how many executors crashed while a task ran there."""
        return sum(name in ran for ran in self.crashing.crashed.values())

    def starts(self, name: TaskName) -> int:
        """Return how often a task was started."""
        return sum(each.name == name for each in self.fleet.started)

    def _replace(self, executor_id: str, successor: str) -> None:
        info = self.fleet.executors[successor].info
        for service in self.daemons.values():
            service.update_executor(executor_id, None)
            service.update_executor(successor, info)
