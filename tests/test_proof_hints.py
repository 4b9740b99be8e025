"""A queue with placement hints in real processes, played to its end."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from standins.incarnation import HINTED
from standins.processes import wait_until
from standins.schedulers import SchedulerCluster, SchedulerProcess
from standins.task_platform import HINTED_PREFIX
from tests.test_proof_jobs import owner_of, repeated_tasks

if TYPE_CHECKING:
    from pathlib import Path

STEPS: list[dict[str, Any]] = [
    {"count": 4, "cpu": 500, "estimate_ms": 300},
    {"count": 2, "cpu": 500, "estimate_ms": 300, "depends_on": [0]},
]
JOBS = 5


async def wait_done(scheduler: SchedulerProcess) -> None:
    async def are_done() -> bool:
        for number in range(JOBS):
            state = await scheduler.state(f"{number:016x}", HINTED_PREFIX)
            if state != "completed":
                return False
        return True

    await wait_until(are_done)


# Guards against a queue with a hint whose configuration can't be read, or
# whose tasks never start: no test played one (review case 6).
@pytest.mark.parametrize("is_owner_killed", [False, True])
def test_hinted_queue_is_played_to_its_end(
    is_owner_killed: bool, tmp_path: Path
) -> None:
    async def run() -> None:
        async with SchedulerCluster(tmp_path) as cluster:
            await play(cluster, is_owner_killed)

    asyncio.run(run())


async def play(cluster: SchedulerCluster, is_owner_killed: bool) -> None:
    """Play jobs on four executors, of which two are permitted."""
    await cluster.start_platform_and_executors(4, 300)
    assert cluster.platform is not None
    hint = f'hint = "{cluster.platform.address}"'
    for name in ("e1", "e2"):
        await cluster.start_scheduler(name, first=hint)
    owner = await owner_of(cluster)
    schedulers = list(cluster.schedulers.values())
    other = next(each for each in schedulers if each != owner)
    for number in range(JOBS):
        status = await other.submit(
            f"{number:016x}", STEPS, HINTED, HINTED_PREFIX
        )
        assert status == 200
    if is_owner_killed:
        await owner.kill()
    await wait_done(other)
    runs = await cluster.runs()
    assert len({run.task for run in runs}) == JOBS * 6
    assert repeated_tasks(runs) == []
    assert {run.executor for run in runs} <= {"x0", "x2"}
    hints = await cluster.hints()
    assert hints["rejected"] == 0
    # Each owner asks once for a step, and again for expired tickets.
    assert hints["calls"] <= 10 * JOBS
