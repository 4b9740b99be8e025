"""Daemons over executors that restart, with the executors' entries."""

from __future__ import annotations

import asyncio
from copy import copy
from typing import TYPE_CHECKING, Final

from lycheelug.jobservice.interfaces import Configuration, PoolPolicy, Route
from lycheelug.jobservice.pool_owner import PoolOwner
from lycheelug.workloads import HintTiming, JobRecord, Resources
from lycheelug.workloads.order_tokens import term_of
from tests.job_world import (
    CAPACITY,
    POOL,
    ROUTE,
    FakeExecutor,
    JobWorld,
    PendingCalls,
    job_id,
)
from tests.restarting_fleet import (
    LEASE_MAX_S,
    LEASE_S,
    TICKET_VALID_S,
    RestartingFleet,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Coroutine

    from lycheelug.workloads import StepSpec

__all__ = ["HINTED", "KINDS", "RestartingWorld"]

HEARTBEAT_S: Final = 0.5
# The largest error of a clock's value in whole milliseconds, as a time.
CLOCK_ERROR_S: Final = 0.003
# The kinds of executors: labels and capacity.
KINDS: Final = {
    "wide": (("a", "r1"), CAPACITY),
    "narrow": (("b", "r1"), Resources(4000, 4096, 0)),
}
HINTED: Final = Route(
    "hinted",
    "",
    "/h/",
    POOL,
    0,
    2,
    1.6,
    0.6,
    True,
    hint_timing=HintTiming(0.02, 0.001, TICKET_VALID_S),
)


class RestartingWorld(JobWorld):
    """Daemons over executors that restart, with the executors' entries."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.lease_s = LEASE_S
        self.lease_max_s = LEASE_MAX_S
        self.rng = rng
        self.restarting = RestartingFleet(rng)
        self.fleet = self.restarting
        # Executors whose entries are not rewritten.
        self.unlisted: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._version = 0

    async def begin(self, daemons: int, executors: int, work_s: float) -> None:
        for number in range(executors):
            self.fleet.add(f"x{number}", work_s)
        self.start_fleet()
        for number in range(daemons):
            service = self.start_daemon(f"e{number}")
            service.apply_configuration(
                Configuration(2, [ROUTE, HINTED], [PoolPolicy(POOL)])
            )
        self.spawn(self._write_entries())
        self.spawn(self._check_leases())

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)

    async def hand_in(
        self, number: int, steps: list[StepSpec], route: Route = ROUTE
    ) -> bool:
        """Submit a job at any daemon that accepts it."""
        self.restarting.steps[job_id(number)] = steps
        record = JobRecord(route.name, "payload", steps)
        for _ in range(100):
            for service in self.daemons.values():
                reply = await service.submissions.submit(
                    route, job_id(number), record
                )
                if reply.kind.name == "OK":
                    return True
            await asyncio.sleep(0.2)
        return False

    def restart(
        self,
        executor_id: str,
        dark_s: float = 0.0,
        pending_calls: PendingCalls = PendingCalls.FAIL,
        entry_lag_s: float = 0.0,
        kind: str = "",
    ) -> FakeExecutor:
        """Restart an executor, whose entry names that later."""
        executor = self.fleet.restart(executor_id, dark_s, pending_calls)
        if kind:
            executor.info.labels, executor.info.capacity = KINDS[kind]
        self.unlisted.add(executor_id)
        self.spawn(self._list_later(executor_id, dark_s + entry_lag_s))
        return executor

    async def _list_later(self, executor_id: str, wait_s: float) -> None:
        await asyncio.sleep(wait_s)
        self.unlisted.discard(executor_id)
        self.publish(executor_id)

    def publish(self, executor_id: str) -> None:
        """Rewrite an executor's entry."""
        self._version += 1
        info = copy(self.fleet.executors[executor_id].info)
        info.version = self._version
        for service in self.daemons.values():
            service.update_executor(executor_id, info)

    async def _write_entries(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for executor_id, executor in self.fleet.executors.items():
                if executor.is_partitioned or executor_id in self.unlisted:
                    continue
                self.publish(executor_id)

    async def _check_leases(self) -> None:
        """Check that no lease of a located run outlives the owner's bound."""
        while True:
            await asyncio.sleep(0.02)
            for service in self.daemons.values():
                owner = service.duties.held.get(POOL)
                if not isinstance(owner, PoolOwner):
                    continue
                for view in owner.schedule.executors.values():
                    executor = self.fleet.executors[view.executor_id]
                    if not view.has_accepted_term:
                        continue
                    if view.born_ms != executor.born_ms:
                        continue
                    if term_of(executor.token) != owner.term:
                        continue
                    located = {
                        run.task_name
                        for run in view.runs.values()
                        if run.is_located
                    }
                    if not located & set(executor.running):
                        continue
                    ends_at = (
                        executor.clock_began_at
                        + executor.deadline_ms / 1000 / executor.clock_rate
                    )
                    if ends_at > view.leases_end_at + CLOCK_ERROR_S:
                        self.restarting.violate(
                            f"lease on {view.executor_id} ends "
                            f"{ends_at - view.leases_end_at:.2f} s late"
                        )

    def unacknowledged_ends(self) -> int:
        """Count the ends that the executors still list."""
        executors = self.fleet.executors.values()
        return sum(len(executor.ended) for executor in executors)

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await super().stop()
