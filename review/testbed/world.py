"""A small deployment of stand-ins and daemons, for one case."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from pathlib import Path
from typing import TYPE_CHECKING, Any

from testbed.daemons import Daemon, free_ports
from testbed.fleet import Fleet
from testbed.record import Record
from testbed.store import Store
from testbed.wire import call

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = [
    "POOL",
    "ROUTE",
    "SPARE",
    "CaseFailedError",
    "World",
    "route",
    "run_case",
]

BROKEN, HELD, NOT_RUN = 1, 0, 2
# The issue allows 120 s.
TIME_LIMIT_S = 112.0
HOST = "desk.example"
POOL = "quotes"
SPARE = "spare"


class CaseFailedError(Exception):
    """The case couldn't run, so it says nothing of the rule."""


def route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Return a queue of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": "non_idempotent",
        "timeout_ms": 3000,
        "slo_ms": 600,
        "priority": 0,
        "service": POOL,
        "max_attempts": 4,
        "stretch": 1.6,
        **fields,
    }


ROUTE = route("r-quick", "/quick/")


class World:
    """The store, the machines and the daemons."""

    def __init__(self, record: Record, directory: Path) -> None:
        self.record = record
        self.directory = directory
        self.store = Store()
        self.fleet = Fleet(self.store, record)
        self.daemons: list[Daemon] = []
        # The store's address for each daemon.
        self._stores: dict[str, str] = {}
        self._bounds: dict[str, Any] = {}
        # Whether the case's disruption is to be made.
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def start(self, daemons: int, **bounds: Any) -> None:
        """Start the machines' interface and the daemons."""
        self.fleet.require_fencing = bounds.get("require_fencing", True)
        await self.fleet.start()
        addresses = [f"127.0.1.{number + 1}" for number in range(daemons)]
        ports = free_ports(addresses, 3)
        for number in range(daemons):
            daemon = Daemon(number + 1, ports, self.directory, self.record)
            self.daemons.append(daemon)
            server = await self.store.add_port(daemon.name)
            self._stores[daemon.name] = server.address
            self._bounds = bounds
            self.restart(daemon)
        for daemon in self.daemons:
            if not await daemon.wait_ready():
                raise CaseFailedError(f"{daemon.name} is not ready")
        self.record.add("daemons-ready", count=daemons)

    def restart(self, daemon: Daemon) -> None:
        """Start a daemon that doesn't run."""
        daemon.start(
            self._stores[daemon.name], self.fleet.address, **self._bounds
        )

    def configure(
        self,
        version: int,
        routes: list[dict[str, Any]],
        services: list[str] | None = None,
    ) -> None:
        """Write a configuration; the answer of the store confirms it."""
        found: list[dict[str, Any]] = []
        for name in [*(services or [POOL]), SPARE]:
            service = {
                "name": name,
                "health_path": "/healthz",
                "max_conns": 64,
                "protocol": "h1",
                "tls": False,
                "rejects_overload": False,
                "standby": name == SPARE,
            }
            found.append(service)
        content = {
            "version": version,
            "routes": routes,
            "services": found,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        self.store.put("op", "config", content)
        self.record.add("config", version=version, routes=len(routes))

    async def ask(
        self,
        daemon: Daemon,
        method: str,
        path: str,
        content: Any = None,
        timeout_s: float = 3.0,
    ) -> tuple[int, Any] | None:
        """Make a client's call; None without an answer."""
        self.record.add("sent", to=daemon.name, method=method, path=path)
        answer = await call(
            daemon.callers,
            method,
            path,
            content,
            {"Host": HOST, "Deadline-Ms": "3000"},
            timeout_s,
        )
        status, body = answer if answer is not None else ("none", "")
        self.record.add(
            "answered",
            by=daemon.name,
            method=method,
            path=path,
            status=status,
            body=body,
        )
        return answer

    async def until(
        self, is_true: Callable[[], bool], what: str, timeout_s: float = 20.0
    ) -> None:
        """Wait for a condition; the case fails without it."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout_s
        while not is_true():
            if loop.time() > ends_at:
                raise CaseFailedError(f"waited in vain: {what}")
            await asyncio.sleep(0.01)

    def stop(self) -> None:
        """End all that was started."""
        for daemon in self.daemons:
            daemon.end()
        self.fleet.stop()
        self.store.stop()


def run_case(folder: Path, case: Callable[[World], Awaitable[bool]]) -> None:
    """Run a case, which returns whether the rule held; exit with its code."""
    record = Record(folder / "record.txt")
    code = NOT_RUN

    def end(number: int, frame: object) -> None:
        """End what was started before this process ends."""
        raise SystemExit(NOT_RUN)

    signal.signal(signal.SIGTERM, end)

    async def run(directory: Path) -> bool:
        world = World(record, directory)
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                return await case(world)
        finally:
            world.stop()

    with tempfile.TemporaryDirectory() as name:
        try:
            has_held = asyncio.run(run(Path(name)))
            code = HELD if has_held else BROKEN
        except CaseFailedError as error:
            record.add("not-run", reason=error)
        except Exception:
            record.add("not-run", reason=traceback.format_exc())
        if os.environ.get("KEEP_LOGS"):
            for log in Path(name).glob("*.log"):
                (Path(os.environ["KEEP_LOGS"]) / log.name).write_bytes(
                    log.read_bytes()
                )
    result = {BROKEN: "broken", HELD: "held", NOT_RUN: "not run"}[code]
    record.add("result", rule=result)
    sys.stdout.write(f"{folder.name}: {result}\n")
    sys.exit(code)
