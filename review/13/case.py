"""A route gives way to another one at the same address."""

from __future__ import annotations

import asyncio
import json

from checks import check_twice
from runner import CannotRunError, run
from world import Executor, configuration

JOBS = 12


async def play(world, trouble):
    """Replace the route while jobs run; return what breaks TWICE, LOST."""
    for service in ("alpha", "beta"):
        for number in range(4):
            name = f"{service}{number}"
            world.executors[name] = Executor(
                world,
                name,
                service,
                ["a", "r1"],
                {"cpu": 8000, "mem_mb": 16000, "gpu": 0},
            )
    services = [("alpha", False), ("beta", False), ("spare", True)]
    other = ("/other/", "beta", {})
    routes = [("/orders/", "alpha", {"name": "r-1f"}), other]
    world.store.put("op", "config", configuration(routes, services, 3))
    await world.start(3)
    daemons = list(world.daemons.values())
    await asyncio.sleep(2)
    job = {
        "spec": json.dumps({"ms": 5000}),
        "steps": [{"count": 3, "cpu": 700, "mem_mb": 50, "estimate_ms": 5000}],
    }
    ids = [f"{number:016x}" for number in range(JOBS)]
    for number, job_id in enumerate(ids):
        status = await world.submit(
            daemons[number % 3], "/orders/", job_id, job
        )
        if status != 200:
            raise CannotRunError(f"{job_id} was answered {status}")
    if trouble:
        # The operator drops the route and adds one for the same address,
        # which sends it to another service.
        routes = [("/orders/", "beta", {"name": "r-2c"}), other]
        world.store.put("op", "config", configuration(routes, services, 8))
        world.note("configuration", version=8)
    await asyncio.sleep(3.2)
    broken = []
    for number, job_id in enumerate(ids):
        status, _ = await world.state(daemons[number % 3], "/orders/", job_id)
        if status == 410:
            broken.append(f"LOST {job_id}: a GET is answered 410")
    # One of the requests arrives once more, seconds after its 2xx.
    await world.submit(daemons[1], "/orders/", ids[0], job)
    await asyncio.sleep(9)
    return check_twice(world) + broken


if __name__ == "__main__":
    run(play)
