"""An executor that restarts as its pool changes its owner, on virtual time."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import pytest

from lycheelug.workloads import JobRecord, StepSpec
from lycheelug.workloads.model import Occurrences
from tests.job_world import ROUTE, job_id, until
from tests.restarting_fleet import RestartingFleet
from tests.restarting_world import RestartingWorld
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from typing import Any

    from lycheelug.workloads import ExecutorInfo, StartAnswer, TaskName

WORK_S = 30.0
# How long before the second occurrence the owner loses the store.
STORE_LOST_S = 2.0


class CuttingFleet(RestartingFleet):
    """Cuts an executor off that restarts while a start is on its way."""

    def __init__(self, world: RestartingWorld) -> None:
        super().__init__(world.rng)
        self.world = world
        self.cut_executor = ""

    async def start(
        self, info: ExecutorInfo, task: TaskName, *arguments: Any
    ) -> tuple[StartAnswer, int | None]:
        if task.occurrence == 0 or self.cut_executor:
            return await super().start(info, task, *arguments)
        self.cut_executor = info.executor_id
        executor = self.world.restart(info.executor_id, 0.05, entry_lag_s=60.0)
        answer = await super().start(info, task, *arguments)
        executor.is_partitioned = True
        return answer


# Guards against a second run after a takeover: the deposed owner's start has
# reached an incarnation that no owner and no entry has named.
@pytest.mark.parametrize("lease_max_s", [6.0, 10.0])
def test_lease_of_an_incarnation_that_no_owner_has_heard(
    lease_max_s: float,
) -> None:
    async def run() -> None:
        world = RestartingWorld(random.Random(0))
        world.lease_max_s = lease_max_s
        fleet = CuttingFleet(world)
        world.restarting = world.fleet = fleet
        await world.begin(2, 2, WORK_S)
        for executor in fleet.executors.values():
            executor.lease_max_s = lease_max_s
        await until(lambda: len(world.holders()) == 1)
        (owner,) = world.holders()
        step = StepSpec(count=1, cpu_millis=1000)
        fleet.steps[job_id(1)] = [step]
        now = asyncio.get_running_loop().time()
        due_at = now + 8.0
        schedule = Occurrences(2, int(now * 1000), 8000)
        await world.daemons[owner].submissions.submit(
            ROUTE,
            job_id(1),
            JobRecord(ROUTE.name, "payload", [step], schedule=schedule),
        )
        await asyncio.sleep(due_at - STORE_LOST_S - now)
        world.stores[owner].down = True
        await asyncio.sleep(20.0)
        assert fleet.cut_executor
        assert fleet.violations == []
        await world.stop()

    run_virtual(run())
