"""LOST: a job of a new queue fails at the first failed run."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from typing import TYPE_CHECKING

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
NEW = route("r-new", "/new/")
FAILING = f"{JOB}.0.0.0"
COUNT = 3


class Channels:
    """Sees which daemon writes for the pool, and silences one channel."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.writer = ""
        # The daemon whose next channel that waits for the operator's changes
        # goes silent.
        self.silenced = ""
        self.is_silent = False

    def on_call(self, call: Call) -> bool:
        """Return whether a call stays unanswered."""
        if call.path == "/v1/rows-tx":
            entries = call.message["expected_rev"]
            if entries and entries[0]["part"] == POOL:
                self.writer = call.server.name
            return False
        if (
            self.silenced == call.server.name
            and not self.is_silent
            and call.path == "/v1/rows-feed"
            and "table=op&" in call.query
        ):
            self.is_silent = True
            self._world.record.add("channel-silent", of=call.server.name)
            return True
        return False


async def case(world: World) -> bool:
    """Add a queue while one open channel to the store is silent."""
    channels = Channels(world)
    world.store.on_call = channels.on_call
    world.configure(1, [ROUTE])
    for number in range(4):
        await world.fleet.add(f"m-0{number}", POOL, rack=f"r1-{number}")
    await world.fleet.add("m-09", SPARE, standby=True)

    def work(task: str, run: int, executor: str) -> Work:
        is_first = len(world.fleet.runs.get(task, [])) == 0
        how = "failed" if task == FAILING and is_first else "done"
        return Work(0.8, how)

    world.fleet.worker = work
    await world.start(2)
    await asyncio.sleep(4.0)
    if not channels.writer:
        raise CaseFailedError("nobody writes for the pool")
    other = next(
        daemon for daemon in world.daemons if daemon.name != channels.writer
    )
    if world.has_trouble:
        channels.silenced = channels.writer
        await world.until(lambda: channels.is_silent, "a silent channel")
    world.configure(2, [ROUTE, NEW])
    await asyncio.sleep(0.3)
    answer = await world.ask(
        other,
        "POST",
        NEW["path_prefix"] + JOB,
        {
            "spec": "a job of the new queue",
            "steps": [
                {
                    "count": COUNT,
                    "cpu": 500,
                    "mem_mb": 256,
                    "estimate_ms": 800,
                }
            ],
        },
    )
    if answer is None or answer[0] != 200:
        raise CaseFailedError(f"not accepted: {answer}")
    state = ""
    for _ in range(40):
        await asyncio.sleep(0.5)
        answer = await world.ask(other, "GET", NEW["path_prefix"] + JOB)
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
        max_attempts=NEW["max_attempts"],
    )
    if state == "completed":
        return True
    if state != "failed":
        raise CaseFailedError(f"the job is {state}")
    return failed >= NEW["max_attempts"]


if __name__ == "__main__":
    run_case(Path(__file__).parent, case)
