"""Jobs with steps in real processes over the platform's protocol."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from standins.incarnation import LONG_RUNNING
from standins.processes import wait_until
from standins.schedulers import SchedulerCluster, SchedulerProcess
from standins.task_platform import POOL

if TYPE_CHECKING:
    from pathlib import Path

    from standins.run_records import RunRecord

STEPS: list[dict[str, Any]] = [
    {"count": 3, "cpu": 500, "estimate_ms": 300},
    {"count": 2, "cpu": 500, "estimate_ms": 300, "depends_on": [0]},
]


async def wait_done(scheduler: SchedulerProcess, job_id: str) -> None:
    """Wait until a job is completed."""

    async def is_done() -> bool:
        return await scheduler.state(job_id) == "completed"

    await wait_until(is_done)


async def owner_of(cluster: SchedulerCluster) -> SchedulerProcess:
    """Return the scheduler that owns the pool."""
    schedulers = list(cluster.schedulers.values())
    await wait_until(lambda: any(each.owns(POOL) for each in schedulers))
    return next(each for each in schedulers if each.owns(POOL))


def repeated_tasks(runs: list[RunRecord]) -> list[str]:
    """Return the tasks with several good runs or with concurrent runs."""
    found: list[str] = []
    completed = Counter(run.task for run in runs if run.how == "done")
    for task, count in completed.items():
        if count > 1:
            found.append(task)
    for first in runs:
        for second in runs:
            if first.task != second.task or first.run >= second.run:
                continue
            if not first.ended or second.began < first.ended:
                found.append(first.task)
    return found


async def runs_each_task_once(cluster: SchedulerCluster) -> None:
    first, second = cluster.schedulers.values()
    for number in range(6):
        job_id = f"{number:016x}"
        receiver = (first, second)[number % 2]
        assert await receiver.submit(job_id, STEPS) == 200
        # A repeated submission to the other scheduler is the same job.
        other = (second, first)[number % 2]
        assert await other.submit(job_id, STEPS) == 200
    for number in range(6):
        await wait_done(second, f"{number:016x}")
    runs = await cluster.runs()
    assert len(runs) == 6 * 5
    assert repeated_tasks(runs) == []
    first_step = [run.ended for run in runs if ".0.0." in run.task]
    assert len(first_step) == 6 * 3


async def continues_after_its_owner_is_killed(
    cluster: SchedulerCluster,
) -> None:
    owner = await owner_of(cluster)
    other = next(each for each in cluster.schedulers.values() if each != owner)
    job_id = "00000000000000aa"
    assert await other.submit(job_id, STEPS) == 200

    async def has_begun() -> bool:
        return len(await cluster.runs()) >= 3

    await wait_until(has_begun)
    await owner.kill()
    await wait_done(other, job_id)
    runs = await cluster.runs()
    assert repeated_tasks(runs) == []
    assert len({run.task for run in runs}) == 5


async def continues_after_its_owner_stops(cluster: SchedulerCluster) -> None:
    owner = await owner_of(cluster)
    other = next(each for each in cluster.schedulers.values() if each != owner)
    job_id = "00000000000000bb"
    assert await owner.submit(job_id, STEPS) == 200
    stopping = asyncio.create_task(owner.stop())
    await wait_done(other, job_id)
    assert await stopping == 0
    runs = await cluster.runs()
    assert len(runs) == 5
    assert repeated_tasks(runs) == []


async def cancels_a_running_job(cluster: SchedulerCluster) -> None:
    first, second = cluster.schedulers.values()
    job_id = "00000000000000cc"
    steps = [{"count": 1, "cpu": 500, "long_running": True}]
    assert await first.submit(job_id, steps, LONG_RUNNING) == 200
    assert await second.cancel(job_id) == 200

    async def is_cancelled() -> bool:
        return await first.state(job_id) == "cancelled"

    await wait_until(is_cancelled)
    assert await first.cancel("00000000000000dd") == 410


async def accepts_jobs_without_store_access(cluster: SchedulerCluster) -> None:
    """A scheduler without store access from its start uses its peers."""
    without_store = await cluster.start_scheduler("e3", platform="127.0.0.1:1")
    job_id = "00000000000000ee"
    assert await without_store.submit(job_id, STEPS) == 200
    await wait_done(without_store, job_id)
    assert repeated_tasks(await cluster.runs()) == []


async def is_listed_by_the_command_line_tool(
    cluster: SchedulerCluster,
) -> None:
    first, second = cluster.schedulers.values()
    assert cluster.platform is not None
    store = ("--store", cluster.platform.address)
    job_id = "00000000000000ff"
    steps = [{"count": 2, "cpu": 500, "long_running": True}]
    assert await first.submit(job_id, steps, LONG_RUNNING) == 200

    async def tool(*words: str, code: int = 0) -> Any:
        found, text = await cluster.run_tool("scheduler", *words)
        assert found == code, text
        return msgspec.json.decode(text) if code == 0 else text

    as_json = ("--output", "json")

    async def is_running() -> bool:
        return len(await cluster.runs()) == 2

    await wait_until(is_running)
    (job,) = await tool("job", job_id, *store, *as_json)
    assert (job["state"], job["pool"]) == ("running", POOL)
    assert job in await tool("jobs", POOL, *store, *as_json)
    duties = await tool("owners", *store, *as_json)
    assert {each["holder"] for each in duties} <= {"e1", "e2"}
    names = [each["name"] for each in await tool("daemons", *store, *as_json)]
    assert names == ["e1", "e2"]
    (pool,) = await tool("pools", *store, *as_json)
    assert pool["hosts"] == 3
    rows = await tool("executors", POOL, *store, *as_json)
    assert [each["executor"] for each in rows] == ["x0", "x1", "x2"]
    assert await tool("waves", *store, *as_json) == []
    checked = await tool("check", *store, *as_json)
    assert checked["unowned_pools"] == []
    assert (await tool("cancel", job_id, *store))["new"]
    assert not (await tool("cancel", job_id, *store))["new"]

    async def is_cancelled() -> bool:
        return await second.state(job_id) == "cancelled"

    await wait_until(is_cancelled)
    log = cluster.directory / "log.jsonl"
    log.write_text("\n".join([*first.lines, *second.lines]))
    lines = await tool("explain", job_id, str(log), *as_json)
    events = [each["event"] for each in lines]
    assert events[0] == "job-accepted"
    assert "task-start" in events
    assert "no pool has" in await tool("job", "0" * 16, *store, code=1)
    assert "give IP:PORT" in await tool("pools", "--store", "x", code=2)
    unreachable = ("--store", "127.0.0.1:1")
    assert "platform" in await tool("pools", *unreachable, code=3)


@pytest.mark.parametrize(
    "scenario",
    [
        runs_each_task_once,
        continues_after_its_owner_is_killed,
        continues_after_its_owner_stops,
        cancels_a_running_job,
        accepts_jobs_without_store_access,
        is_listed_by_the_command_line_tool,
    ],
    ids=lambda scenario: scenario.__name__,
)
def test_jobs_with_steps_in_processes(scenario: Any, tmp_path: Path) -> None:
    async def run() -> None:
        async with SchedulerCluster(tmp_path) as cluster:
            await cluster.start_platform_and_executors(
                executors=3, work_ms=300
            )
            await cluster.start_scheduler("e1")
            await cluster.start_scheduler("e2")
            await scenario(cluster)

    asyncio.run(run())
