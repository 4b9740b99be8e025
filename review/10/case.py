"""An executor crashes and starts again under its id, of another kind."""

from __future__ import annotations

import asyncio
import secrets
import sys
from pathlib import Path

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
POOL = "quotes"
EXECUTORS = 8
CAPACITY = {"cpu": 32000, "mem_mb": 131072, "gpu": 0}
# Work units that need the kind "a"; more of them than there is room for.
STEP = {
    "count": 400,
    "cpu": 8000,
    "mem_mb": 1024,
    "estimate_ms": 2000,
    "requirements": "a",
}
WORK_S = 2.0
DOWN_S = 2.0
# The executor's status reports are 1.5 s apart; the first one of its new
# life comes so long after its start.
FIRST_REPORT_S = 0.5
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "quick-quote",
            "host": HOST,
            "path_prefix": "/quick/",
            "service": POOL,
            "timeout_ms": 3000,
            "priority": 0,
            "max_attempts": 4,
            "stretch": 1.6,
            "slo_ms": 600,
        }
    ],
    "services": [{"name": POOL, "rejects_overload": False}],
    "limits": {},
}


async def play(scene: Scene) -> int:
    """Play the case; return the exit code."""
    fleet = scene.fleet
    await scene.start_platform({POOL: EXECUTORS})
    scene.configure(CONFIG)
    for _ in range(3):
        scene.add_daemon()
    if not await scene.wait_ready():
        return NOT_RUN
    await asyncio.sleep(4.0)
    accepted = await scene.request(
        scene.daemons[0],
        "POST",
        "/quick/" + secrets.token_hex(8),
        {"spec": "quote", "steps": [STEP]},
        HOST,
    )
    if accepted is None or accepted[0] != 200:
        return NOT_RUN
    await asyncio.sleep(5.0)
    if TROUBLE:
        former = fleet.crash(f"m-{POOL}-0")
        await asyncio.sleep(DOWN_S)
        await fleet.restart(former, "b", FIRST_REPORT_S)
    await asyncio.sleep(8.0)
    wrong = 0
    for run in fleet.runs:
        if run.executor.labels[0] == STEP["requirements"]:
            continue
        wrong += 1
        scene.record(
            "broken",
            rule="ROUTE",
            task=run.task,
            run=run.run,
            executor=run.executor.id,
            labels=run.executor.labels,
        )
    scene.record("runs", began=len(fleet.runs), without_the_label=wrong)
    sys.stdout.write(f"ROUTE: {wrong} starts without the label\n")
    if wrong:
        return BROKEN
    return HELD if fleet.runs else NOT_RUN


if __name__ == "__main__":
    run_case(HERE, CAPACITY, lambda task: WORK_S, play)
