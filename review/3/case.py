"""LOST: a job fails when one executor under many of its work units crashes."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from testbed.fleet import Work
from testbed.world import POOL, ROUTE, SPARE, CaseFailedError, World, run_case

JOB = "5c0e7a21d94b36f8"
# A work unit needs 0.05 of a core, so one machine of 64 cores holds all.
COUNT = 1000
WORK_S = 6.0
DOWN_S = 5.0


async def case(world: World) -> bool:
    """Run one wide job, and crash one executor once while it runs."""
    world.configure(1, [ROUTE])
    for number in range(7):
        await world.fleet.add(f"m-0{number}", POOL, rack=f"r1-{number}")
    await world.fleet.add("m-09", SPARE, standby=True)
    world.fleet.worker = lambda task, run, executor: Work(WORK_S)
    await world.start(3)
    await asyncio.sleep(3.0)
    answer = await world.ask(
        world.daemons[0],
        "POST",
        ROUTE["path_prefix"] + JOB,
        {
            "spec": "a wide job",
            "steps": [
                {
                    "count": COUNT,
                    "cpu": 50,
                    "mem_mb": 16,
                    "estimate_ms": int(WORK_S * 1000),
                }
            ],
        },
    )
    if answer is None or answer[0] != 200:
        raise CaseFailedError(f"not accepted: {answer}")
    await world.until(
        lambda: len(world.fleet.runs) >= COUNT, "all work units run", 30.0
    )
    if world.has_trouble:
        machines = [
            machine
            for machine in world.fleet.machines.values()
            if machine.executor is not None
        ]
        busiest = max(machines, key=lambda each: each.executor.running)
        await world.fleet.crash(busiest, DOWN_S)
    state = ""
    for _ in range(60):
        await asyncio.sleep(1.0)
        answer = await world.ask(
            world.daemons[1], "GET", ROUTE["path_prefix"] + JOB
        )
        if answer is not None and answer[0] == 200:
            state = answer[1]["state"]
        if state in ("failed", "cancelled", "completed"):
            break
    failed = sum(
        each[4] == "failed"
        for runs in world.fleet.runs.values()
        for each in runs
    )
    world.record.add("seen", state=state, ends_failed=failed)
    if state not in ("failed", "completed"):
        raise CaseFailedError(f"the job is {state}")
    return not (state == "failed" and failed == 0)


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
