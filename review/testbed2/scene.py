"""Plays a case: the record, the processes, and the exit code."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

from daemons import Daemon, make_folder
from httpd import call
from store import Store
from workers import Fleet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The whole case ends after this time.
LIMIT_S = 110.0
FINAL_STATES = ("completed", "failed", "cancelled")


class Scene:
    """The platform, its store and machines, the daemons and the record."""

    def __init__(
        self,
        folder: Path,
        capacity: dict[str, int],
        work_s: Callable[[str], float],
    ) -> None:
        self.lines: list[str] = []
        self._began = time.monotonic()
        self._folder = folder
        self.store = Store()
        self.fleet = Fleet(self.store, capacity, work_s, self.record)
        self.daemons: list[Daemon] = []

    def record(self, event: str, **fields: Any) -> None:
        """Add a line to the record."""
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        at = time.monotonic() - self._began
        self.lines.append(f"{at:8.3f} {event} {values}")

    async def start_platform(self, pools: dict[str, int]) -> None:
        """Start the store and so many machines of each pool."""
        await self.store.server.start()
        await self.fleet.server.start()
        for pool, count in pools.items():
            for number in range(count):
                await self.fleet.add(f"m-{pool}-{number}", pool)

    def configure(self, config: dict[str, Any]) -> None:
        """Write a configuration as the operator does."""
        self.record(
            "operator-writes",
            version=config["version"],
            routes=[
                (each["path_prefix"], each["service"])
                for each in config["routes"]
            ],
        )
        self.store.put("op", "config", config)

    def add_daemon(self, store: str = "", cloud: str = "") -> Daemon:
        """Start a daemon; addresses of the platform may be replaced."""
        daemon = Daemon(
            f"frontend-{len(self.daemons)}",
            self._folder,
            store or self.store.server.address,
            cloud or self.fleet.server.address,
            [each.control for each in self.daemons][:3],
        )
        daemon.start()
        self.daemons.append(daemon)
        return daemon

    async def wait_ready(self) -> bool:
        """Wait until all daemons are ready."""
        for daemon in self.daemons:
            if not await daemon.wait_ready():
                self.record("not-ready", daemon=daemon.name)
                return False
        self.record("all-ready", daemons=len(self.daemons))
        return True

    async def request(
        self,
        daemon: Daemon,
        method: str,
        path: str,
        content: Any = None,
        host: str = "",
    ) -> tuple[int, Any] | None:
        """Make a client's request; None if it got no answer."""
        answer = await call(
            daemon.callers,
            method,
            path,
            content,
            {"host": host, "deadline-ms": "3000"},
        )
        self.record(
            "client",
            method=method,
            path=path,
            daemon=daemon.name,
            answer=answer,
        )
        return answer

    def write(self, path: Path) -> None:
        """Write the record."""
        path.write_text("\n".join([*self.lines, ""]))


def run_case(
    here: Path,
    capacity: dict[str, int],
    work_s: Callable[[str], float],
    play: Callable[[Scene], Awaitable[int]],
) -> None:
    """Play a case, end all of its processes, and exit."""

    async def run() -> int:
        with make_folder() as folder:
            scene = Scene(Path(folder), capacity, work_s)
            code = NOT_RUN
            try:
                async with asyncio.timeout(LIMIT_S):
                    code = await play(scene)
            except TimeoutError:
                scene.record("too-long", limit_s=LIMIT_S)
            finally:
                for daemon in scene.daemons:
                    daemon.kill()
                scene.record("result", trouble=TROUBLE, code=code)
                if os.environ.get("KEEP_LOGS"):
                    for daemon in scene.daemons:
                        scene.lines += [
                            f"{daemon.name} {line}"
                            for line in daemon.log_lines()
                        ]
                scene.write(here / "record.txt")
            return code

    loop = asyncio.new_event_loop()
    code = NOT_RUN
    try:
        code = loop.run_until_complete(run())
    finally:
        sys.stdout.flush()
        # The stand-ins end with this process.
        os._exit(code)
