"""Scheduled jobs whose times lie in the past fill the memory."""

from __future__ import annotations

import asyncio
import json

from runner import run
from world import Executor, configuration

SCHEDULED = 44
HOUR_MS = 3_600_000


async def play(world, trouble):
    """Hand the jobs in; return what breaks the rule `Fault`."""
    for number in range(6):
        name = f"x{number}"
        world.executors[name] = Executor(
            world,
            name,
            "alpha",
            ["a", "r1"],
            {"cpu": 16000, "mem_mb": 64000, "gpu": 0},
        )
    routes = [("/reports/", "alpha", {}), ("/quick/", "alpha", {})]
    services = [("alpha", False), ("spare", True)]
    world.store.put("op", "config", configuration(routes, services))
    await world.start(3)
    daemons = list(world.daemons.values())
    world.spawn(world.limit_memory())
    world.spawn(_send_quick(world, daemons))
    await asyncio.sleep(3)
    for number in range(SCHEDULED):
        job = {
            "spec": json.dumps({"ms": 300}),
            "steps": [
                {"count": 1, "cpu": 500, "mem_mb": 50, "estimate_ms": 300}
            ],
            "repeats": 10_000,
            "interval_ms": HOUR_MS,
        }
        if not trouble:
            # The first time is now, and the next one in an hour.
            job["start_at_ms"] = world.unix_ms()
        daemon = daemons[number % len(daemons)]
        job_id = f"{number:016x}"
        world.spawn(world.submit(daemon, "/reports/", job_id, job))
        await asyncio.sleep(0.5)
    for _ in range(40):
        if _broken(world):
            break
        await asyncio.sleep(1)
    return _broken(world)


async def _send_quick(world, daemons):
    """Send an ordinary job each second."""
    number = 0
    while True:
        number += 1
        job = {
            "spec": json.dumps({"ms": 200}),
            "steps": [
                {"count": 1, "cpu": 500, "mem_mb": 10, "estimate_ms": 200}
            ],
        }
        daemon = daemons[number % len(daemons)]
        job_id = f"ff{number:014x}"
        world.spawn(world.submit(daemon, "/quick/", job_id, job))
        await asyncio.sleep(1)


def _broken(world):
    """Return the machines whose processes ended three times or more.

    The rule asks for a tenth of the machines in use, two at least.
    """
    ends = {}
    for _, daemon, _ in world.memory_kills:
        ends[daemon] = ends.get(daemon, 0) + 1
    often = {name: count for name, count in ends.items() if count >= 3}
    if len(often) < 2:
        return []
    return [
        f"Fault: {name}: {count} ends for its memory"
        for name, count in sorted(often.items())
    ]


if __name__ == "__main__":
    run(play)
