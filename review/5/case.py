"""LOST: upkeep stops a work unit that lasts, and it isn't started again."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from testbed.fleet import Work
from testbed.world import ROUTE, CaseFailedError, World, route, run_case

WAVE = 1
SERVED, BUSY = "quotes", "tooling"
BUSY_ROUTE = route("r-tool", "/tool/", service=BUSY)
JOB = "aa00bb11cc22dd33"
OTHER_JOB = "ee44ff5500116622"
DEADLINE_S = 26.0
LASTS_S = 1000.0
# "from 6 s after its last run", "for 3 s", and the 4 s before are calm.
ALLOWED_S = 6.0 + 3.0
UNIT = {"cpu": 4000, "mem_mb": 8192, "may_miss": 1}


async def submit(world: World, path: str, count: int, **unit: int) -> None:
    """Hand in a job whose work units last."""
    step = {"count": count, "long_running": True, "estimate_ms": 900, **unit}
    answer = await world.ask(
        world.daemons[0], "POST", path, {"spec": "lasting", "steps": [step]}
    )
    if answer is None or answer[0] != 200:
        raise CaseFailedError(f"not accepted: {answer}")


async def case(world: World) -> bool:
    """Ask for the upkeep of a machine while no other machine is free."""
    world.configure(1, [ROUTE, BUSY_ROUTE], [SERVED, BUSY])
    served = await world.fleet.add("m-00", SERVED, rack="r1-1")
    for number in range(2):
        await world.fleet.add(f"m-1{number}", BUSY, rack="r1-2")
    world.fleet.worker = lambda task, run, executor: Work(LASTS_S, lasts=True)
    await world.start(3)
    await asyncio.sleep(2.0)
    # The other service's machines are full with work that lasts.
    await submit(world, BUSY_ROUTE["path_prefix"] + OTHER_JOB, 2, cpu=60000)
    await submit(world, ROUTE["path_prefix"] + JOB, 3, **UNIT)
    await world.until(lambda: len(world.fleet.runs) == 5, "all work units run")
    await asyncio.sleep(5.0)
    if world.has_trouble:
        world.store.put(
            "op",
            f"wave/{WAVE}",
            {
                "wave": WAVE,
                "machines": [served.name],
                "deadline_s": DEADLINE_S,
                "cap": 1,
            },
        )
        world.record.add("wave", wave=WAVE, machines=[served.name], cap=1)
    ends_at = time.monotonic() + DEADLINE_S + 20.0
    lost: dict[str, float] = {}
    while time.monotonic() < ends_at:
        await asyncio.sleep(0.1)
        for number in range(3):
            task = f"{JOB}.0.0.{number}"
            last = world.fleet.runs[task][-1]
            if last[3] is None or not has_room(world):
                continue
            away_s = time.monotonic() - last[3]
            if away_s > ALLOWED_S:
                lost[task] = max(away_s, lost.get(task, 0.0))
    world.record.add(
        "seen", lost={task: round(away_s, 1) for task, away_s in lost.items()}
    )
    return not lost


def has_room(world: World) -> bool:
    """Whether the service has capacity for a work unit twice over."""
    for machine in world.fleet.machines.values():
        executor = machine.executor
        if machine.pool != SERVED or executor is None:
            continue
        # All runs there are work units of the case's job.
        used = executor.running
        if machine.capacity["cpu"] >= (used + 2) * UNIT["cpu"]:
            return True
    return False


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
