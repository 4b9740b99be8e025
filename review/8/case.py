"""A queue moves to another service; a repeated POST meets a new process."""

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
from workers import find_second_runs  # noqa: E402

HOST = "quotes.example"
OLD_POOL, NEW_POOL = "quotes", "tooling"
CAPACITY = {"cpu": 32000, "mem_mb": 131072, "gpu": 0}
STEP = {"count": 6, "cpu": 1800, "mem_mb": 1024, "estimate_ms": 9000}
WORK_S = 9.0


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


async def play(scene: Scene) -> int:
    """Play the case; return the exit code."""
    await scene.start_platform({OLD_POOL: 3, NEW_POOL: 3})
    scene.configure(make_config(1, OLD_POOL))
    for _ in range(3):
        scene.add_daemon()
    if not await scene.wait_ready():
        return NOT_RUN
    await asyncio.sleep(4.0)
    job = secrets.token_hex(8)
    path = f"/quick/{job}"
    content = {"spec": "quote", "steps": [STEP]}
    first = await scene.request(scene.daemons[0], "POST", path, content, HOST)
    if first is None or first[0] != 200:
        return NOT_RUN
    await asyncio.sleep(1.0)
    scene.configure(make_config(2, NEW_POOL))
    # The bound `config_apply_ms`, and some time more.
    await asyncio.sleep(2.5)
    target = scene.daemons[2]
    if TROUBLE:
        scene.record("kill", daemon=target.name)
        target.kill()
        target.start(is_first=False)
        if not await target.wait_ready():
            return NOT_RUN
        scene.record("ready-again", daemon=target.name)
    # The same request arrives again, some seconds after its 2xx.
    await scene.request(target, "POST", path, content, HOST)
    ends_at = time.monotonic() + 40.0
    state = ""
    while state != "completed" and time.monotonic() < ends_at:
        await asyncio.sleep(1.0)
        answer = await scene.request(scene.daemons[0], "GET", path, None, HOST)
        if answer is not None and answer[0] == 200:
            state = answer[1]["state"]
    await asyncio.sleep(WORK_S + 2.0)
    found = find_second_runs(scene.fleet.runs)
    scene.record("runs", began=len(scene.fleet.runs), work_units=6)
    for line in found:
        scene.record("broken", rule="TWICE", seen=f"'{line}'")
    sys.stdout.write(f"TWICE: {len(found)} second runs; state {state}\n")
    if found:
        return BROKEN
    return HELD if state == "completed" else NOT_RUN


if __name__ == "__main__":
    run_case(HERE, CAPACITY, lambda task: WORK_S, play)
