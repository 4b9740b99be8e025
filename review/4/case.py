"""LOST: a job fails at its first failed run, of four that it may have."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from testbed.fleet import Work
from testbed.world import (
    POOL,
    ROUTE,
    SPARE,
    CaseFailedError,
    World,
    route,
    run_case,
)

if TYPE_CHECKING:
    from testbed.wire import Call

JOB = "7d1e9b3300c4aa15"
OTHER = route("r-other", "/other/")
FAILING = f"{JOB}.0.0.0"
COUNT = 3
WORK_S = 20.0


class Writers:
    """Sees which daemon writes for the pool under a condition."""

    def __init__(self) -> None:
        self.last = ""

    def on_call(self, call: Call) -> bool:
        """Note the daemon; all calls are answered."""
        if call.path == "/v1/rows-tx":
            entries = call.message["expected_rev"]
            if entries and entries[0]["part"] == POOL:
                self.last = call.server.name
        return False


async def case(world: World) -> bool:
    """Take a queue away and bring it back, with a restart in between."""
    writers = Writers()
    world.store.on_call = writers.on_call
    world.configure(1, [ROUTE, OTHER])
    for number in range(4):
        await world.fleet.add(f"m-0{number}", POOL, rack=f"r1-{number}")
    await world.fleet.add("m-09", SPARE, standby=True)

    def work(task: str, run: int, executor: str) -> Work:
        is_first = len(world.fleet.runs.get(task, [])) == 0
        if task == FAILING and is_first:
            return Work(WORK_S, "failed")
        return Work(WORK_S if is_first else 1.0)

    world.fleet.worker = work
    await world.start(3)
    await asyncio.sleep(3.0)
    path = ROUTE["path_prefix"] + JOB
    step = {
        "count": COUNT,
        "cpu": 500,
        "mem_mb": 256,
        "estimate_ms": int(WORK_S * 1000),
    }
    answer = await world.ask(
        world.daemons[0], "POST", path, {"spec": "a job", "steps": [step]}
    )
    if answer is None or answer[0] != 200:
        raise CaseFailedError(f"not accepted: {answer}")
    await world.until(
        lambda: len(world.fleet.runs) == COUNT, "all work units run"
    )
    if world.has_trouble:
        world.configure(2, [OTHER])
        await asyncio.sleep(2.5)
    owner = next(each for each in world.daemons if each.name == writers.last)
    owner.send(signal.SIGTERM)
    await world.until(lambda: not owner.is_running, "the owner has stopped")
    world.restart(owner)
    if not await owner.wait_ready():
        raise CaseFailedError("the owner is not ready again")
    if world.has_trouble:
        world.configure(3, [ROUTE, OTHER])
    asker = next(each for each in world.daemons if each is not owner)
    state = ""
    for _ in range(60):
        await asyncio.sleep(0.5)
        answer = await world.ask(asker, "GET", path)
        if answer is not None and answer[0] == 200:
            state = answer[1]["state"]
        if state in ("failed", "cancelled", "completed"):
            break
    failed = sum(
        each[4] == "failed" for each in world.fleet.runs.get(FAILING, [])
    )
    world.record.add(
        "seen",
        state=state,
        ends_failed=failed,
        max_attempts=ROUTE["max_attempts"],
    )
    if state == "completed":
        return True
    if state != "failed":
        raise CaseFailedError(f"the job is {state}")
    return failed >= ROUTE["max_attempts"]


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
