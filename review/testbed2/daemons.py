"""Starts the project's daemon with the command of the deploy file."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from httpd import call

ROOT = Path(__file__).resolve().parents[2]
VARIABLE = "LYCHEELUG_NODE_FILE"
KEPT = ("PATH", "HOME", "JAVA_HOME", "LANG")

SETTINGS = """\
node_name = "{name}"
role = "scheduler"
machine_class = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = "z1"
region = "r1"
internal_ports = [{first},{last}]
seeds = [{seeds}]
bootstrap = {bootstrap}
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform",\
"advice","upkeep","sharing"]
orders = "invoke"
[zones]
z1 = "r1"
[listen_addrs]
frontend_addr = "127.0.0.1:{callers}"
readiness_addr = "127.0.0.1:{probes}"
control = "127.0.0.1:{control}"
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
contact_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
recovery_s = 12
hold_max_ms = 6000
stop_grace_ms = 400
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
checkpoint_interval_s = 1
restore_ms = 100
notice_ms = 4500
migrate_s = 1.5
maintenance_s = 2
require_fencing = true
lease_ms = 3000
thaw_ms = 300
pace_ms = 100
harm_ms = 4000
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
[cloud_api]
address = "{cloud}"
rate_per_s = 64.0
duty_per_s = 64.0
"""


def free_ports(count: int) -> list[int]:
    """Return ports of the loopback address that are free now."""
    sockets = []
    for _ in range(count):
        each = socket.socket()
        each.bind(("127.0.0.1", 0))
        sockets.append(each)
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def deploy_command() -> list[str]:
    """Return the command of the role that serves clients."""
    text = (ROOT / "deploy" / "system.toml").read_text()
    for role in tomllib.loads(text)["roles"].values():
        if "frontend" in role.get("serves", []):
            return str(role["run"]).split(" ")
    raise RuntimeError("no role serves clients")


class Daemon:
    """One daemon; it keeps its addresses when it is started again."""

    def __init__(
        self, name: str, folder: Path, store: str, cloud: str, seeds: list[str]
    ) -> None:
        self.name = name
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._values: dict[str, str | int] = {
            "name": name,
            "store": store,
            "cloud": cloud,
            "seeds": ", ".join(f'"{seed}"' for seed in seeds),
        }
        self.process: subprocess.Popen[bytes] | None = None
        self._choose_ports()

    def _choose_ports(self) -> None:
        """Choose free ports for all addresses."""
        names = ("callers", "probes", "control", "first", "last")
        ports = free_ports(len(names))
        self._values.update(zip(names, ports, strict=True))
        self.callers = f"127.0.0.1:{ports[0]}"
        self.probes = f"127.0.0.1:{ports[1]}"
        self.control = f"127.0.0.1:{ports[2]}"

    def start(self, is_first: bool = True) -> None:
        """Start the process."""
        self._settings.write_text(
            SETTINGS.format(
                bootstrap="true" if is_first else "false", **self._values
            )
        )
        environment = {
            name: os.environ[name] for name in KEPT if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment[VARIABLE] = str(self._settings)
        with self._log.open("ab") as output:
            self.process = subprocess.Popen(
                deploy_command(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    async def wait_ready(self, limit_s: float = 20.0) -> bool:
        """Wait until it says that it is ready."""
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            if self.process is not None and self.process.poll() == 1:
                # Another program has taken one of its ports meanwhile.
                self._choose_ports()
                self.start()
            answer = await call(self.probes, "GET", "/v1/readyz")
            if answer is not None and answer[0] == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def log_lines(self) -> list[str]:
        """Return what the process has written."""
        return self._log.read_text(errors="replace").splitlines()


def make_folder() -> tempfile.TemporaryDirectory[str]:
    """Return a temporary folder for settings and logs."""
    return tempfile.TemporaryDirectory(prefix="lycheelug-review-")
