"""A job with a step that lasts has another step that always fails."""

from __future__ import annotations

import asyncio
import secrets
import sys
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
from workers import find_starts_over_budget  # noqa: E402

HOST = "quotes.example"
POOL = "quotes"
CAPACITY = {"cpu": 32000, "mem_mb": 131072, "gpu": 0}
MAX_ATTEMPTS = 4
WORK_S = 0.4
WATCHED_S = 15.0
PREPARE = {"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 400}
SERVE = {
    "count": 2,
    "cpu": 500,
    "mem_mb": 256,
    "estimate_ms": 900,
    "depends_on": [0],
    "long_running": True,
}
# One in twenty can never be done.
SOUND = 38
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "nest-batch",
            "host": HOST,
            "path_prefix": "/nest/",
            "service": POOL,
            "timeout_ms": 3000,
            "priority": 0,
            "max_attempts": MAX_ATTEMPTS,
            "stretch": 2.2,
            "slo_ms": 2500,
        }
    ],
    "services": [{"name": POOL, "rejects_overload": False}],
    "limits": {},
}


async def submit(scene: Scene, job: str, steps: list[dict[str, Any]]) -> bool:
    """Hand a job in as a client does, up to four times."""
    for number in range(4):
        answer = await scene.request(
            scene.daemons[number % len(scene.daemons)],
            "POST",
            f"/nest/{job}",
            {"spec": "nest", "steps": steps},
            HOST,
        )
        if answer is not None and answer[0] == 200:
            return True
        await asyncio.sleep(0.3)
    return False


async def play(scene: Scene) -> int:
    """Play the case; return the exit code."""
    fleet = scene.fleet
    mixed, plain = secrets.token_hex(8), secrets.token_hex(8)
    sound = [secrets.token_hex(8) for _ in range(SOUND)]
    if TROUBLE:
        hopeless = (f"{mixed}.0.0.", f"{plain}.0.0.")
        fleet.fails = lambda task: task.startswith(hopeless)
    fleet.lasts = lambda task: task.startswith(f"{mixed}.0.1.")
    await scene.start_platform({POOL: 3})
    scene.configure(CONFIG)
    for _ in range(3):
        scene.add_daemon()
    if not await scene.wait_ready():
        return NOT_RUN
    await asyncio.sleep(4.0)
    accepted = [await submit(scene, job, [PREPARE]) for job in sound]
    accepted.append(await submit(scene, plain, [PREPARE]))
    accepted.append(await submit(scene, mixed, [PREPARE, SERVE]))
    if not all(accepted):
        return NOT_RUN
    await asyncio.sleep(WATCHED_S)
    for job in (plain, mixed):
        await scene.request(
            scene.daemons[0], "GET", f"/nest/{job}", None, HOST
        )
        runs = [run for run in fleet.runs if run.task.startswith(job)]
        scene.record("runs", job=job, began=len(runs))
    found = find_starts_over_budget(fleet.runs, MAX_ATTEMPTS)
    for line in found:
        scene.record("broken", rule="BUDGET", seen=f"'{line}'")
    sys.stdout.write(f"BUDGET: {len(found)} starts over the limit\n")
    return BROKEN if found else HELD


if __name__ == "__main__":
    run_case(HERE, CAPACITY, lambda task: WORK_S, play)
