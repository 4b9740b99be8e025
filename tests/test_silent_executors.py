"""Executors that are cut off and heard again, on virtual time.

None of them crashes, so no job may be given up, and each task runs again
soon after the last cut.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from lycheelug.jobservice.pool_owner import PoolOwner
from lycheelug.workloads import LossCause, StepSpec
from lycheelug.workloads.model import JobState
from lycheelug.workloads.progress import task_key
from tests.job_world import POOL, FakeExecutor, JobWorld, job_id, until
from tests.virtual_time import run_virtual

JOB = 1
EXECUTORS = 6
TASKS = 12
# An executor's entry is removed after three heartbeats of silence.
ENTRY_REMOVED_S = 4.5
# A task must run again within this time if there is room for it.
RESTARTED_S = 3.0


class CutOffWorld(JobWorld):
    """Daemons over executors that fall silent and are heard again."""

    def __init__(self) -> None:
        super().__init__()
        self.cuts: set[asyncio.Task[None]] = set()

    async def begin(self, step: StepSpec, daemons: int = 2) -> None:
        """Start daemons and executors, and submit a job."""
        for number in range(EXECUTORS):
            self.fleet.add(f"x{number}", 1e9 if step.lasts else 8.0)
        self.start_fleet()
        for number in range(daemons):
            self.start_daemon(f"e{number}")
        await until(lambda: len(self.holders()) == 1)
        await self.submit("e0", JOB, [step])
        await until(lambda: self.running() == step.count)

    def running(self) -> int:
        """Return how many runs the executors have."""
        executors = self.fleet.executors.values()
        return sum(len(executor.running) for executor in executors)

    def busiest(self, count: int) -> list[FakeExecutor]:
        """Return the executors in touch with the most runs."""
        usable: list[FakeExecutor] = []
        for executor in self.fleet.executors.values():
            if executor.running and not executor.is_partitioned:
                usable.append(executor)
        usable.sort(key=lambda each: -len(each.running))
        return usable[:count]

    def cut(self, executors: list[FakeExecutor], cut_s: float) -> None:
        """Cut executors off from all daemons and from the store."""
        for executor in executors:
            task = asyncio.ensure_future(self._cut(executor, cut_s))
            self.cuts.add(task)
            task.add_done_callback(self.cuts.discard)

    async def end_cuts(self) -> None:
        """Wait until all executors are in touch."""
        await asyncio.gather(*self.cuts)

    async def _cut(self, executor: FakeExecutor, cut_s: float) -> None:
        info = executor.info
        executor.is_partitioned = True
        await asyncio.sleep(min(cut_s, ENTRY_REMOVED_S))
        if cut_s > ENTRY_REMOVED_S:
            for service in self.daemons.values():
                service.update_executor(info.executor_id, None)
            await asyncio.sleep(cut_s - ENTRY_REMOVED_S)
        executor.is_partitioned = False
        for service in self.daemons.values():
            service.update_executor(info.executor_id, info)


STEPS = {
    "lasting": StepSpec(
        count=TASKS, cpu_millis=1500, lasts=True, may_miss=TASKS // 3
    ),
    "lasting-apart": StepSpec(
        count=TASKS, cpu_millis=1500, lasts=True, max_per_executor=3
    ),
    "short": StepSpec(count=TASKS, cpu_millis=1500, estimate_ms=8000),
    "duplicable": StepSpec(
        count=TASKS, cpu_millis=1500, estimate_ms=8000, may_duplicate=True
    ),
}


# Guards against a job that is given up for executors that were only silent.
@pytest.mark.parametrize("seed", [0, 1, 2])
@pytest.mark.parametrize("cut_s", [4.8, 6.4, 9.0])
@pytest.mark.parametrize("kind", STEPS)
def test_no_job_is_given_up_for_silent_executors(
    kind: str, cut_s: float, seed: int
) -> None:
    rng = random.Random(seed)
    step = STEPS[kind]

    async def run() -> None:
        world = CutOffWorld()
        await world.begin(step)
        for _ in range(9):
            world.cut(world.busiest(2), cut_s)
            await asyncio.sleep(cut_s + rng.choice([0.0, 0.1, 1.5]))
            state = await world.state("e0", JOB)
            assert state in {JobState.RUNNING, JobState.COMPLETED}
            if state == JobState.COMPLETED:
                break
        await world.end_cuts()
        if step.lasts:
            await asyncio.sleep(RESTARTED_S)
            assert world.running() == TASKS
        else:
            await asyncio.sleep(20)
            assert await world.state("e0", JOB) == JobState.COMPLETED
        if not step.may_duplicate:
            assert world.fleet.duplicated_tasks == []
        await world.stop()

    run_virtual(run())


# Guards against a new owner that takes absence from its lists for an end.
@pytest.mark.parametrize("kind", STEPS)
def test_no_job_is_given_up_for_silent_executors_by_later_owners(
    kind: str,
) -> None:
    step = STEPS[kind]

    async def run() -> None:
        world = CutOffWorld()
        await world.begin(step, daemons=4)
        for _ in range(5):
            world.cut(world.busiest(2), 9.0)
            await asyncio.sleep(5.0)
            (owner,) = world.holders()
            world.stores[owner].down = True
            await asyncio.sleep(6.0)
            world.stores[owner].down = False
            state = await world.state("e0", JOB)
            assert state in {JobState.RUNNING, JobState.COMPLETED}
            if state == JobState.COMPLETED:
                break
        await world.end_cuts()
        await asyncio.sleep(RESTARTED_S if step.lasts else 30)
        if step.lasts:
            assert world.running() == TASKS
        else:
            assert await world.state("e0", JOB) == JobState.COMPLETED
        await world.stop()

    run_virtual(run())


# Guards against an answer that was on its way when its executor's end was
# proved: it must not withdraw the proof, nor show runs that are gone.
def test_answer_from_before_a_proved_end_is_ignored() -> None:
    async def run() -> None:
        world = CutOffWorld()
        step = STEPS["lasting"]
        await world.begin(step)
        await asyncio.sleep(3.0)
        (holder,) = world.holders()
        owner = world.daemons[holder].duties.held[POOL]
        assert isinstance(owner, PoolOwner)
        (lost, *_) = world.busiest(1)
        executor_id = lost.info.executor_id
        job = owner.schedule.jobs[job_id(JOB)]
        names = {
            run.task_name
            for run in owner.schedule.executors[executor_id].runs.values()
        }
        # A poll is not answered yet; the proof comes from elsewhere.
        owner.schedule.executors[executor_id].last_report_at = None
        owner.schedule.remove_executor(
            executor_id,
            asyncio.get_running_loop().time(),
            LossCause.NOT_LISTED,
        )
        await asyncio.sleep(1.5)
        assert executor_id not in owner.schedule.executors
        for name in names:
            records = job.progress.crashes.get(task_key(*name[1:]), [])
            assert [record.is_proved for record in records] == [True]
        await world.stop()

    run_virtual(run())
