"""A queue moves to another service while jobs wait for room in the old one."""

from __future__ import annotations

import asyncio
import copy
import secrets
import sys
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "testbed2"))

from scene import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    Scene,
    run_case,
)

HOST = "quotes.example"
OLD_POOL, NEW_POOL = "quotes", "tooling"
CAPACITY = {"cpu": 32000, "mem_mb": 131072, "gpu": 0}
# Fills all machines of the old service until the end of the case.
WIDE = {"count": 48, "cpu": 2000, "mem_mb": 1024, "estimate_ms": 60000}
NARROW = {"count": 4, "cpu": 2000, "mem_mb": 1024, "estimate_ms": 60000}
WORK_S = 60.0
WAITING = 20
# `visible_ms` and 2 s, by the rule.
VISIBLE_S = 3.0 + 2.0
ASKED_S = 12.0


def make_config(version: int, service: str) -> dict[str, Any]:
    """Return a configuration that sends the queue to a service."""
    route = {
        "name": "quick-quote",
        "host": HOST,
        "path_prefix": "/quick/",
        "service": service,
        "timeout_ms": 3000,
        "priority": 0,
        "max_attempts": 4,
        "stretch": 1.6,
        "slo_ms": 600,
    }
    other = copy.copy(route)
    other.update(
        name="mandrel-plan", path_prefix="/mandrel/", service=NEW_POOL
    )
    return {
        "version": version,
        "routes": [route, other],
        "services": [
            {"name": OLD_POOL, "rejects_overload": False},
            {"name": NEW_POOL, "rejects_overload": False},
        ],
        "limits": {},
    }


async def submit(scene: Scene, step: dict[str, int]) -> str:
    """Hand a job in; return its id, empty if it wasn't accepted."""
    job = secrets.token_hex(8)
    answer = await scene.request(
        scene.daemons[0],
        "POST",
        f"/quick/{job}",
        {"spec": "quote", "steps": [step]},
        HOST,
    )
    return job if answer is not None and answer[0] == 200 else ""


async def play(scene: Scene) -> int:
    """Play the case; return the exit code."""
    await scene.start_platform({OLD_POOL: 3, NEW_POOL: 3})
    scene.configure(make_config(1, OLD_POOL))
    for _ in range(3):
        scene.add_daemon()
    if not await scene.wait_ready():
        return NOT_RUN
    await asyncio.sleep(4.0)
    if not await submit(scene, WIDE):
        return NOT_RUN
    await asyncio.sleep(3.0)
    jobs = [await submit(scene, NARROW) for _ in range(WAITING)]
    if not all(jobs):
        return NOT_RUN
    accepted_at = time.monotonic()
    await asyncio.sleep(VISIBLE_S + 1.0)
    if TROUBLE:
        scene.configure(make_config(2, NEW_POOL))
        await asyncio.sleep(2.5)
    broken = 0
    asked = 0
    ends_at = time.monotonic() + ASKED_S
    while time.monotonic() < ends_at:
        for daemon in scene.daemons:
            began = {run.task.split(".")[0] for run in scene.fleet.runs}
            waiting = len(set(jobs) - began)
            answer = await scene.request(daemon, "GET", "/quick/", None, HOST)
            if answer is None or answer[0] != 200:
                continue
            asked += 1
            pending = answer[1]["pending"]
            if pending < waiting / 2:
                broken += 1
                scene.record(
                    "broken",
                    rule="MIXED",
                    pending=pending,
                    haven_not_begun=waiting,
                    accepted_s_ago=round(time.monotonic() - accepted_at, 1),
                )
        await asyncio.sleep(1.0)
    sys.stdout.write(f"MIXED: {broken} of {asked} counts are too low\n")
    if broken:
        return BROKEN
    return HELD if asked else NOT_RUN


if __name__ == "__main__":
    run_case(HERE, CAPACITY, lambda task: WORK_S, play)
