"""Runs one case and turns what it has found into an exit code.

0: the rule held; 1: it was broken; 2: the case could not run.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from typing import TYPE_CHECKING

from world import ROOT, World

if TYPE_CHECKING:
    from pathlib import Path

LIMIT_S = 108.0


class CannotRunError(Exception):
    """The case could not be played."""


def run(case) -> None:
    """Play `case(world, trouble)`, which returns what is broken."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not (ROOT / "target/deps").is_dir():
        sys.stderr.write("target/deps is missing: run the build first\n")
        raise SystemExit(2)
    record = ROOT / os.environ["RECORD"]
    try:
        code = asyncio.run(_play(case, record, trouble))
    except Exception:
        traceback.print_exc()
        code = 2
    raise SystemExit(code)


async def _play(case, record: Path, trouble: bool) -> int:
    world = World(record)
    world.note("case", trouble=trouble)
    # Everything is ended too if the script is told to stop.
    loop = asyncio.get_running_loop()
    this = asyncio.current_task()
    loop.add_signal_handler(signal.SIGTERM, this.cancel)
    try:
        async with asyncio.timeout(LIMIT_S):
            broken = await case(world, trouble)
    except (Exception, asyncio.CancelledError) as error:
        traceback.print_exc()
        world.note("cannot-run", error=repr(error))
        return 2
    finally:
        world.note("end")
        await world.stop()
    for line in broken[:30]:
        sys.stdout.write(line + "\n")
    sys.stdout.write(f"broken: {len(broken)}\n")
    with record.open("a") as file:
        for line in broken:
            file.write(line + "\n")
    return 1 if broken else 0
