"""MIXED: a wave is said to be completed before any upkeep has begun."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from testbed.fleet import Work
from testbed.world import POOL, ROUTE, SPARE, CaseFailedError, World, run_case

WAVE = 1
ADDED = ["m-21", "m-22"]
# How long after the machines were added the wave is written.
SOON_S = 0.3
LATER_S = 8.0
DEADLINE_S = 20.0


async def case(world: World) -> bool:
    """Add two machines, and ask for their upkeep soon after."""
    world.configure(1, [ROUTE])
    for number in range(4):
        await world.fleet.add(f"m-0{number}", POOL, rack=f"r1-{number}")
    await world.fleet.add("m-09", SPARE, standby=True)
    world.fleet.worker = lambda task, run, executor: Work(0.8)
    await world.start(3)
    await asyncio.sleep(5.0)
    for name in ADDED:
        await world.fleet.add(name, POOL, rack="r2-1")
    await asyncio.sleep(SOON_S if world.has_trouble else LATER_S)
    world.store.put(
        "op",
        f"wave/{WAVE}",
        {
            "wave": WAVE,
            "machines": ADDED,
            "deadline_s": DEADLINE_S,
            "cap": 1,
        },
    )
    world.record.add("wave", wave=WAVE, machines=ADDED, cap=1)
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + 2 * DEADLINE_S
    state = ""
    while loop.time() < ends_at and state != "completed":
        await asyncio.sleep(0.01)
        status = world.store.get("status", f"wave/{WAVE}") or {}
        if status.get("state", "") != state:
            state = status["state"]
            world.record.add("status", wave=WAVE, state=state)
    # A machine that doesn't stay is not counted; both stay.
    missing = [
        name
        for name in ADDED
        if WAVE not in world.fleet.machines[name].waves_done
    ]
    world.record.add("seen", state=state, without_upkeep=missing)
    if state != "completed":
        raise CaseFailedError(f"the wave is {state}")
    if missing:
        # For the record: whether the upkeep comes later.
        await asyncio.sleep(DEADLINE_S)
        begun = [
            name
            for name in ADDED
            if WAVE in world.fleet.machines[name].waves_done
        ]
        world.record.add("seen-later", with_upkeep=begun)
    return not missing


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
