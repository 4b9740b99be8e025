"""Starts daemons with the deploy file's command, and ends them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import subprocess
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any

from testbed.wire import call

if TYPE_CHECKING:
    import signal

    from testbed.record import Record

__all__ = ["ROOT", "Daemon", "free_ports"]

ROOT = Path(__file__).resolve().parents[2]

SETTINGS = """\
node_name = "{name}"
role = "scheduler"
machine_class = "frontend"
serves = ["frontend"]
ip = "{ip}"
zone = "z1"
region = "r1"
internal_ports = [{internal},{internal_last}]
seeds = []
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform",\
"advice","upkeep","sharing"]
orders = "invoke"
hint = ""
[zones]
z1 = "r1"
[listen_addrs]
frontend_addr = "{ip}:{frontend}"
readiness_addr = "{ip}:{readiness}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
{bounds}
[platform]
address = "{store}"
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 8.0
part_writes_s = 150
row_bytes = 65536
cross_shard = false
retention_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
[cloud_api]
address = "{cloud}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
"""

BOUNDS: dict[str, Any] = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_timeout_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "recovery_s": 12,
    "hold_max_ms": 6000,
    "stop_grace_ms": 400,
    "gang_wait_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remote_factor": 1.5,
    "checkpoint_interval_s": 1,
    "restore_ms": 100,
    "notice_ms": 4500,
    "migrate_s": 1.5,
    "maintenance_s": 2,
    "require_fencing": True,
    "lease_ms": 3000,
    "thaw_ms": 300,
    "pace_ms": 100,
    "harm_ms": 4000,
}


def free_ports(addresses: list[str], count: int) -> list[int]:
    """Return ports that are free on all of some loopback addresses."""
    found: list[int] = []
    while len(found) < count:
        with socket.socket() as probe:
            probe.bind((addresses[0], 0))
            port = probe.getsockname()[1]
        if port in found or not _is_free(addresses, port):
            continue
        found.append(port)
    return found


def _is_free(addresses: list[str], port: int) -> bool:
    """Return whether a port is free on some addresses."""
    for address in addresses:
        with socket.socket() as probe:
            try:
                probe.bind((address, port))
            except OSError:
                return False
    return True


class Daemon:
    """One process of the deploy file's role."""

    def __init__(
        self,
        number: int,
        ports: list[int],
        directory: Path,
        record: Record,
    ) -> None:
        self.name = f"frontend-z1-{number}"
        self.ip = f"127.0.1.{number}"
        self._ports = ports
        self._directory = directory
        self._record = record
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def callers(self) -> str:
        """The address for clients."""
        return f"{self.ip}:{self._ports[0]}"

    @property
    def log(self) -> Path:
        """What the process has written."""
        return self._directory / f"{self.name}.log"

    def start(self, store: str, cloud: str, **bounds: Any) -> None:
        """Start the process with its settings."""
        known = {**BOUNDS, **bounds}
        lines: list[str] = []
        for name, value in known.items():
            text = str(value).lower() if isinstance(value, bool) else value
            lines.append(f"{name} = {text}")
        path = self._directory / f"{self.name}.toml"
        path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                frontend=self._ports[0],
                readiness=self._ports[1],
                internal=self._ports[2],
                internal_last=self._ports[2] + 1,
                bounds="\n".join(lines),
                store=store,
                cloud=cloud,
            ),
            encoding="utf-8",
        )
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["scheduler"]["run"].split()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": "target/deps",
            "PYTHONDONTWRITEBYTECODE": "1",
            "LYCHEELUG_NODE_FILE": str(path),
        }
        with self.log.open("wb") as output:
            self._process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self._record.add("daemon-started", name=self.name)

    def send(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        assert self._process is not None
        os.kill(self._process.pid, number)
        self._record.add("signal", name=self.name, signal=number.name)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def end(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        if self._process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()
        self._process.wait()

    async def wait_ready(self, timeout_s: float = 15.0) -> bool:
        """Wait until the daemon reports itself ready."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout_s
        address = f"{self.ip}:{self._ports[1]}"
        while loop.time() < ends_at and self.is_running:
            answer = await call(address, "GET", "/v1/readyz", timeout_s=1.0)
            if answer is not None and answer[0] == 200:
                return True
            await asyncio.sleep(0.1)
        return False
