"""Many work units end on two executors while the store is down for 3 s."""

from __future__ import annotations

import asyncio
import secrets
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "testbed2"))

from scene import (  # noqa: E402
    BROKEN,
    FINAL_STATES,
    HELD,
    NOT_RUN,
    TROUBLE,
    Scene,
    run_case,
)
from workers import find_second_runs  # noqa: E402

POOL = "quotes"
HOST = "quotes.example"
CAPACITY = {"cpu": 64000, "mem_mb": 131072, "gpu": 0}
JOBS = 40
# Work units of a job, and what each of them asks for and takes.
WIDTH = 32
STEP = {"count": WIDTH, "cpu": 100, "mem_mb": 150, "estimate_ms": 3000}
WORK_S = 3.0
DOWN_S = 3.0
FINISH_S = 40.0

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


async def submit(scene: Scene, number: int, job: str) -> bool:
    """Hand a job in as a client does, up to four times."""
    daemon = scene.daemons[number % len(scene.daemons)]
    content = {"spec": "quote", "steps": [STEP]}
    for _ in range(4):
        answer = await scene.request(
            daemon, "POST", f"/quick/{job}", content, HOST
        )
        if answer is not None and answer[0] == 200:
            return True
        await asyncio.sleep(0.2)
    return False


async def wait_finished(scene: Scene, jobs: list[str]) -> int:
    """Ask for the jobs until all have ended; return how many have."""
    ends_at = time.monotonic() + FINISH_S
    waiting = set(jobs)
    while waiting and time.monotonic() < ends_at:
        await asyncio.sleep(1.0)
        for number, job in enumerate(sorted(waiting)):
            daemon = scene.daemons[number % len(scene.daemons)]
            answer = await scene.request(
                daemon, "GET", f"/quick/{job}", None, HOST
            )
            if answer is None or answer[0] != 200:
                continue
            if answer[1]["state"] in FINAL_STATES:
                waiting.discard(job)
    return len(jobs) - len(waiting)


async def play(scene: Scene) -> int:
    """Play the case; return the exit code."""
    await scene.start_platform({POOL: 2})
    scene.configure(CONFIG)
    for _ in range(3):
        scene.add_daemon()
    if not await scene.wait_ready():
        return NOT_RUN
    await asyncio.sleep(4.0)
    jobs = [secrets.token_hex(8) for _ in range(JOBS)]
    accepted = await asyncio.gather(
        *(submit(scene, number, job) for number, job in enumerate(jobs))
    )
    if not all(accepted):
        return NOT_RUN
    while not any(  # noqa: ASYNC110
        run.ended for run in scene.fleet.runs
    ):
        await asyncio.sleep(0.01)
    if TROUBLE:
        scene.record("store-down")
        scene.store.set_down(True)
        await asyncio.sleep(DOWN_S)
        scene.store.set_down(False)
        scene.record("store-up")
    finished = await wait_finished(scene, jobs)
    await asyncio.sleep(2.0)
    runs = scene.fleet.runs
    scene.record("runs", began=len(runs), work_units=JOBS * WIDTH)
    scene.record("jobs", finished=finished, accepted=JOBS)
    found = find_second_runs(runs)
    for line in found:
        scene.record("broken", rule="TWICE", seen=f"'{line}'")
    sys.stdout.write(f"TWICE: {len(found)} second runs\n")
    if found:
        return BROKEN
    return HELD if finished == JOBS else NOT_RUN


if __name__ == "__main__":
    run_case(HERE, CAPACITY, lambda task: WORK_S, play)
