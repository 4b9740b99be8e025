"""A version of the configuration adds a queue that has a `hint`."""

from __future__ import annotations

import asyncio
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
POOL = "quotes"
CAPACITY = {"cpu": 32000, "mem_mb": 131072, "gpu": 0}
STEP = {"count": 2, "cpu": 1000, "mem_mb": 512, "estimate_ms": 800}
WORK_S = 0.8
# `config_apply_ms`.
APPLY_S = 2.0
ASKED_S = 10.0
# `finish_s`.
FINISH_S = 14.0
HINT = {"decide_ms": 20, "period_ms": 1, "valid_ms": 4000}


def make_route(name: str, prefix: str) -> dict[str, Any]:
    """Return a queue of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "service": POOL,
        "timeout_ms": 3000,
        "priority": 0,
        "max_attempts": 4,
        "stretch": 1.6,
        "slo_ms": 600,
    }


def make_config(version: int, queues: int) -> dict[str, Any]:
    """Return a configuration with the first few of three queues.

    The second one has a hint, unless the trouble is left out.
    """
    routes = [
        make_route("quick-quote", "/quick/"),
        make_route("mandrel-plan", "/mandrel/"),
        make_route("stock-check", "/stock/"),
    ]
    if TROUBLE:
        routes[1]["hint"] = HINT
    return {
        "version": version,
        "routes": routes[:queues],
        "services": [{"name": POOL, "rejects_overload": False}],
        "limits": {},
    }


async def ask(scene: Scene, prefix: str, confirmed_at: float) -> int:
    """Hand jobs of a new queue in at all daemons; count those with 404."""
    refused = 0
    ends_at = time.monotonic() + ASKED_S
    while time.monotonic() < ends_at:
        for daemon in scene.daemons:
            sent_at = time.monotonic()
            answer = await scene.request(
                daemon,
                "POST",
                prefix + secrets.token_hex(8),
                {"spec": "plan", "steps": [STEP]},
                HOST,
            )
            if answer is None or answer[0] != 404:
                continue
            refused += 1
            scene.record(
                "broken",
                rule="CONFIG",
                daemon=daemon.name,
                seen="404 though the route is there",
                confirmed_s_before=round(sent_at - confirmed_at, 1),
            )
        await asyncio.sleep(1.0)
    return refused


async def restart_all(scene: Scene, path: str) -> None:
    """Restart all daemons and ask for an accepted job; this isn't judged."""
    for daemon in scene.daemons:
        daemon.kill()
    for daemon in scene.daemons:
        daemon.start(is_first=False)
    ends_at = time.monotonic() + FINISH_S
    known = 0
    asked = 0
    while time.monotonic() < ends_at:
        await asyncio.sleep(1.0)
        for daemon in scene.daemons:
            answer = await scene.request(daemon, "GET", path, None, HOST)
            asked += 1
            known += answer is not None and answer[0] == 200
    scene.record("after-restart-of-all", asked=asked, known=known)


async def play(scene: Scene) -> int:
    """Play the case; return the exit code."""
    await scene.start_platform({POOL: 3})
    scene.configure(make_config(1, 1))
    for _ in range(3):
        scene.add_daemon()
    if not await scene.wait_ready():
        return NOT_RUN
    await asyncio.sleep(4.0)
    path = "/quick/" + secrets.token_hex(8)
    first = await scene.request(
        scene.daemons[0],
        "POST",
        path,
        {"spec": "quote", "steps": [STEP]},
        HOST,
    )
    if first is None or first[0] != 200:
        return NOT_RUN
    # A queue with a hint is added.
    scene.configure(make_config(2, 2))
    confirmed_at = time.monotonic()
    await asyncio.sleep(APPLY_S + 1.0)
    refused = await ask(scene, "/mandrel/", confirmed_at)
    # A queue without one is added.
    scene.configure(make_config(3, 3))
    confirmed_at = time.monotonic()
    await asyncio.sleep(APPLY_S + 1.0)
    refused += await ask(scene, "/stock/", confirmed_at)
    await restart_all(scene, path)
    for daemon in scene.daemons:
        unreadable = sum(
            '"row-unreadable"' in line for line in daemon.log_lines()
        )
        scene.record("log", daemon=daemon.name, rows_unreadable=unreadable)
    sys.stdout.write(f"CONFIG: {refused} answers with 404\n")
    return BROKEN if refused else HELD


if __name__ == "__main__":
    run_case(HERE, CAPACITY, lambda task: WORK_S, play)
