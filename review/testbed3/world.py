"""Stand-ins for the users' platform, written for this review.

One process has the store, the host list, the placement hint service and the
executors, each on its own loopback port, and starts the project's daemons as
separate processes with the command of the deploy file.  Everything follows
the users' pages (PROTOCOL.md); where a page is silent, a stand-in does the
plain thing.  Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HEARTBEAT_S = 1.5
ENDS_PER_ANSWER = 500
# The memory of a machine, as in the settings.
MEMORY_MB = 300
BOUNDS = {
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
    "hold_max_ms": 10000,
    "stop_grace_ms": 200,
    "gang_wait_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remote_factor": 3,
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
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "recover",
    "sched",
    "platform",
    "advice",
    "upkeep",
    "sharing",
]


_ports: set[int] = set()


def free_port() -> int:
    """Return a port that nobody listens on, below those that clients get."""
    while True:
        port = random.SystemRandom().randrange(10_000, 32_000)
        if port in _ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _ports.add(port)
        return port


# --- HTTP.


class Server:
    """A small HTTP/1.1 server; the handler returns a status and a body."""

    def __init__(self, handler, port: int = 0) -> None:
        self.handler = handler
        self.port = port or free_port()
        self._server = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address that it listens on."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=1 << 22
        )

    def stop(self) -> None:
        """Stop listening, and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                first, headers, body = request
                method, target, _ = first.split(" ", 2)
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    # No answer, ever: the connection stays silent.
                    await asyncio.sleep(3600)
                status, content = answer
                data = json.dumps(content).encode()
                head = (
                    f"HTTP/1.1 {status} x\r\n"
                    "content-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        except asyncio.CancelledError:
            # The world ends.
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def read_message(reader):
    """Return first line, headers and body of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


async def call(
    address: str,
    method: str,
    target: str,
    content=None,
    headers=None,
    timeout_s: float = 3.5,
):
    """Make one call; return status (0 for no answer) and decoded body."""
    host, _, port = address.rpartition(":")
    data = b"" if content is None else json.dumps(content).encode()
    headers = {"host": address, **(headers or {})}
    extra = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                (
                    f"{method} {target} HTTP/1.1\r\n{extra}"
                    "content-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n"
                ).encode()
                + data
            )
            message = await read_message(reader)
            if message is None:
                return 0, None
            body = message[2]
            try:
                decoded = json.loads(body) if body else None
            except ValueError:
                decoded = None
            return int(message[0].split()[1]), decoded
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


# --- The platform's store.


class Store:
    """Rows in tables, transactions and feeds."""

    def __init__(self, latency_s: float = 0.004) -> None:
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.version = 0
        self.latency_s = latency_s
        self._log: list[tuple[int, str, str, str, str | None]] = []
        self._changed = asyncio.Event()
        # Whether all calls get 503.
        self.is_down = False

    def put(self, table: str, key: str, content, part: str = "") -> int:
        """Write a row as the operator or an executor does."""
        value = base64.b64encode(json.dumps(content).encode()).decode()
        return self._apply([(table, part, key, value)])

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        if (table, "", key) in self.rows:
            self._apply([(table, "", key, None)])

    def get(self, table: str, key: str, part: str = ""):
        """Return the decoded value of a row, or None."""
        row = self.rows.get((table, part, key))
        return None if row is None else json.loads(base64.b64decode(row[0]))

    def _apply(self, changes) -> int:
        self.version += 1
        for table, part, key, value in changes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (value, self.version)
            self._log.append((self.version, table, part, key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    def _meta(self) -> dict:
        return {
            "row_version": self.version,
            "now_ms": int(time.monotonic() * 1000),
        }

    async def handle(self, method, target, headers, body):
        """Answer one call."""
        path, _, query_text = target.partition("?")
        query = dict(parse_qsl(query_text, keep_blank_values=True))
        await asyncio.sleep(self.latency_s)
        if self.is_down:
            return 503, {}
        if path == "/v1/rows-tx":
            return self._transact(json.loads(body))
        if path == "/v1/rows-get":
            return 200, self._get(query)
        if path == "/v1/rows-parts":
            after = query.get("depends_on", "")
            parts = {
                part
                for table, part, _ in self.rows
                if table == query["table"] and part > after
            }
            return 200, {"parts": sorted(parts)[:1000], **self._meta()}
        if path == "/v1/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _transact(self, message):
        conflict = False
        found = []
        for row in message["expected_rev"]:
            name = (row["table"], row["part"], row["key"])
            known = self.rows.get(name)
            wanted = row.get("row_version") or 0
            if known is not None:
                found.append(
                    {
                        "table": name[0],
                        "part": name[1],
                        "key": name[2],
                        "value": known[0],
                        "row_version": known[1],
                    }
                )
            conflict |= (known[1] if known else 0) != wanted
        if conflict:
            return 412, {"rows": found, **self._meta()}
        changes = []
        for row in message["set_keys"]:
            if row["table"] in ("op", "servers"):
                return 403, {}
            changes.append(
                (row["table"], row["part"], row["key"], row["value"])
            )
        for row in message["remove"]:
            changes.append((row["table"], row["part"], row["key"], None))
        if changes:
            self._apply(changes)
        return 200, self._meta()

    def _get(self, query):
        first, end = query.get("from", ""), query.get("to")
        limit = min(500, int(query.get("limit", 500)))
        names = sorted(
            name
            for name in self.rows
            if name[0] == query["table"]
            and name[1] == query.get("part", "")
            and name[2] >= first
            and (not end or name[2] < end)
        )
        rows = [
            {
                "table": name[0],
                "part": name[1],
                "key": name[2],
                "value": self.rows[name][0],
                "row_version": self.rows[name][1],
            }
            for name in names[:limit]
        ]
        return {
            "rows": rows,
            "has_more": len(names) > limit,
            **self._meta(),
        }

    async def _feed(self, query):
        after = int(query["depends_on"])
        ends_at = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            rows = []
            for version, table, part, key, value in reversed(self._log):
                if version <= after:
                    break
                if table != query["table"]:
                    continue
                row = {
                    "table": table,
                    "part": part,
                    "key": key,
                    "row_version": version,
                }
                row.update(
                    {"tombstone": True} if value is None else {"value": value}
                )
                rows.append(row)
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                rows.reverse()
                return 200, {"rows": rows, **self._meta()}
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()


# --- Executors.


class Run:
    """One run of a work unit."""

    def __init__(self, name, number, executor, spec, checkpoint) -> None:
        self.name = name
        self.number = number
        self.executor = executor
        self.began = time.monotonic()
        self.ended: float | None = None
        self.how = ""
        self.spec = spec
        self.checkpoint = checkpoint
        self.worked_s = 0.0
        self.works_since: float | None = None
        self.taken_note_at: float | None = None
        self.has_lapsed = False
        self.percent = 100
        self.stops_at: float | None = None
        self.life = executor.born_ms
        self.labels = list(executor.labels)

    @property
    def parts(self):
        """Job, occurrence, step and index."""
        job, occurrence, step, index = self.name.rsplit(".", 3)
        return job, int(occurrence), int(step), int(index)


class Executor:
    """One executor, which may start again under its id."""

    def __init__(
        self, world, name: str, service: str, labels, capacity
    ) -> None:
        self.world = world
        self.name = name
        self.machine = f"m-{name}"
        self.service = service
        self.labels = list(labels)
        self.capacity = dict(capacity)
        self.server = Server(self._handle)
        self.is_up = False
        self.is_cut = False
        self.state = "ready"
        # Decides what becomes of a call: None, "lost", or a delay in seconds
        # or an event after which it is carried out, without an answer.
        self.disturb = None
        self.seq_no = 0
        self.runs: dict[str, Run] = {}
        self._begin()

    def _begin(self) -> None:
        self.born_ms = int(time.time() * 1000)
        self._origin = time.monotonic()
        self._deadline_ms = 0
        self.fence = 0
        self.runs = {}
        self.highest: dict[str, int] = {}
        self.ends: list[tuple[int, Run]] = []
        self._end_count = 0
        self._changed = asyncio.Event()
        self.seq_no = 0

    async def start(self) -> None:
        """Listen, and write the entry."""
        await self.server.start()
        self.is_up = True
        self.write_entry()

    def write_entry(self) -> None:
        """Write the entry, as is done with each heartbeat."""
        self.seq_no += 1
        entry = {
            "service": self.service,
            "address": self.server.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "machine": self.machine,
            "clock_ms": self.clock_ms(),
            "born": self.born_ms,
            "seq_no": self.seq_no,
        }
        self.world.store.put("servers", self.name, entry)

    def clock_ms(self) -> int:
        """Return the steady clock of this life."""
        return int((time.monotonic() - self._origin) * 1000)

    def crash(self) -> None:
        """End at once; everything that runs here ends with it."""
        self.is_up = False
        self.server.stop()
        for run in list(self.runs.values()):
            run.ended = time.monotonic()
            run.how = "crashed"
            self.world.note(
                "crashed", task=run.name, run=run.number, executor=self.name
            )
        self.runs.clear()
        self._changed.set()

    async def restart(self, writes_entry: bool = True) -> None:
        """Start again under the same id and address."""
        self._begin()
        await self.server.start()
        self.is_up = True
        self.world.note(
            "executor-up",
            executor=self.name,
            born=self.born_ms,
            labels=self.labels,
        )
        if writes_entry:
            self.write_entry()

    async def _handle(self, method, target, headers, body):
        life = self.born_ms
        if self.is_cut or not self.is_up:
            return None
        if headers.get("expected-instance") != self.name:
            return 421, {}
        message = json.loads(body)
        path = target.rpartition("/")[2]
        delay = self.disturb(path, message) if self.disturb else None
        if delay == "lost":
            return None
        if isinstance(delay, asyncio.Event):
            # Carried out once the event is set, by whichever life is there.
            self.world.note(
                "held", call=path, executor=self.name, task=message.get("task")
            )
            await delay.wait()
            await self._carry_out(path, message, is_late=True)
            return None
        if delay is not None:
            self.world.note(
                "held",
                call=path,
                executor=self.name,
                for_s=delay,
                task=message.get("task"),
            )
            await asyncio.sleep(delay)
            if self.is_up:
                await self._carry_out(path, message, is_late=True)
            return None
        answer = await self._carry_out(path, message)
        if self.is_cut or not self.is_up or life != self.born_ms:
            return None
        return answer

    async def _carry_out(self, path, message, is_late=False):
        self.advance()
        token = message.get("fencing_token", 0)
        if token < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = token
        if path == "run-start":
            return self._start(message, is_late)
        if path == "run-stop":
            return self._stop(message)
        if path == "hold":
            return await self._hold(message)
        if path == "pace":
            run = self.runs.get(message["task"])
            if run is not None and run.number == message["run"]:
                run.percent = message["percent"]
            return 200, {"clock_ms": self.clock_ms()}
        return 404, {}

    def _extend(self, message) -> None:
        deadline_ms = message.get("deadline_ms")
        if deadline_ms is not None:
            longest = self.clock_ms() + BOUNDS["hold_max_ms"]
            self._deadline_ms = max(
                self._deadline_ms, min(deadline_ms, longest)
            )

    def _start(self, message, is_late):
        name, number = message["task"], message["run"]
        clock = {"clock_ms": self.clock_ms()}
        self._extend(message)
        known = self.runs.get(name)
        if known is not None and known.number == number:
            return 200, clock
        if number <= self.highest.get(name, 0) or known is not None:
            return 409, {**clock, "reason": "old"}
        if self.clock_ms() > message.get("deadline_ms", 0):
            return 409, {**clock, "reason": "late"}
        if self.world.guards and not self.has_room(name):
            return 409, {**clock, "reason": "room"}
        if not self.world.accepts_ticket(self, message):
            return 409, {**clock, "reason": "ticket"}
        run = Run(
            name,
            number,
            self,
            message.get("spec", ""),
            message.get("checkpoint", ""),
        )
        self.runs[name] = run
        self.highest[name] = number
        self.world.add_run(run, is_late)
        return 200, clock

    def _stop(self, message):
        name, number = message["task"], message["run"]
        run = self.runs.get(name)
        self.highest[name] = max(self.highest.get(name, 0), number)
        if run is not None and run.number == number and not run.stops_at:
            run.stops_at = (
                time.monotonic() + BOUNDS["stop_grace_ms"] / 1000 * 0.8
            )
        return 200, {"clock_ms": self.clock_ms()}

    async def _hold(self, message):
        life = self.born_ms
        self._extend(message)
        last_seen = message.get("last_seen", 0)
        kept = []
        for number, run in self.ends:
            if number <= last_seen:
                run.taken_note_at = time.monotonic()
            else:
                kept.append((number, run))
        self.ends = kept
        wait_s = min(2000, message.get("wait_ms", 0)) / 1000
        ends_at = time.monotonic() + wait_s
        while not self.ends and wait_s and self.is_up:
            left_s = ends_at - time.monotonic()
            if left_s <= 0:
                break
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()
        if life != self.born_ms or not self.is_up:
            return None
        running = [
            [
                run.name,
                run.number,
                self.world.saved(run),
                self.world.percent(run),
                0,
            ]
            for run in self.runs.values()
        ]
        ended = [
            [number, run.name, run.number, run.how, ""]
            for number, run in self.ends[:ENDS_PER_ANSWER]
        ]
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born_ms,
            "running": running,
            "ended": ended,
        }

    def has_room(self, name: str) -> bool:
        """Whether a work unit fits beside what runs here."""
        used = {"cpu": 0, "mem_mb": 0, "gpu": 0}
        for each in [*self.runs, name]:
            step = self.world.step_of(each)
            if step is None:
                return False
            for field in used:
                if field == "cpu" and step.get("fills"):
                    continue
                used[field] += step.get(field, 0)
        return all(used[f] <= self.capacity.get(f, 0) for f in used)

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        if self.runs.pop(run.name, None) is None:
            return
        run.ended = time.monotonic()
        run.how = how
        self._end_count += 1
        self.ends.append((self._end_count, run))
        self.world.note(
            "ended", task=run.name, run=run.number, executor=self.name, how=how
        )
        self._changed.set()
        self._changed = asyncio.Event()

    def advance(self) -> None:
        """End what is over by now."""
        if not self.is_up:
            return
        now = time.monotonic()
        if self.clock_ms() > self._deadline_ms:
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
            for _, run in self.ends:
                run.has_lapsed = True
        for run in list(self.runs.values()):
            if run.stops_at is not None and now >= run.stops_at:
                self.end(run, "stopped")


# --- Daemons.


class Daemon:
    """One process of the project's daemon."""

    def __init__(self, world, name: str, zone: str) -> None:
        self.world = world
        self.name = name
        self.frontend = f"{HOST}:{free_port()}"
        self.ready = f"{HOST}:{free_port()}"
        self.control = f"{HOST}:{free_port()}"
        self.zone = zone
        # This daemon's own way to the store, and what becomes of its calls.
        self.store_way = Server(self._pass_on)
        self.store_mode = ""
        self.process = None
        self.log: list[dict] = []

    async def _pass_on(self, method, target, headers, body):
        """Pass a call on to the store, as the platform treats this daemon."""
        mode = self.store_mode
        store = self.world.store
        if mode == "busy":
            return 503, {}
        if mode == "silent":
            return None
        is_write = target == "/v1/rows-tx"
        is_hit = is_write and self.world.rng.random() < 0.3
        if mode in ("lost", "late") and is_hit:
            if mode == "late":
                await asyncio.sleep(self.world.rng.uniform(1, 6))
            await store.handle(method, target, headers, body)
            return None
        return await store.handle(method, target, headers, body)

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        world = self.world
        if world.is_stopping:
            return
        path = world.directory / f"{self.name}.toml"
        path.write_text(world.settings(self))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["scheduler"]["run"].split()
        if command[0] == "python3":
            command[0] = sys.executable
        deps = ROOT / "target/deps"
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(deps)
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["LYCHEELUG_NODE_FILE"] = str(path)
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env=env,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            limit=1 << 22,
        )
        world.processes.append(self.process)
        world.note("daemon-started", daemon=self.name)
        world.spawn(self._read(self.process))

    async def _read(self, process) -> None:
        while True:
            line = await process.stdout.readline()
            if not line:
                break
            with contextlib.suppress(ValueError):
                self.log.append(json.loads(line))
                continue
            self.world.note(
                "daemon-output",
                daemon=self.name,
                text=line.decode(errors="replace").rstrip(),
            )
        code = await process.wait()
        self.world.note("daemon-ended", daemon=self.name, code=code)

    def signal(self, number) -> None:
        """Send a signal to this process only."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.world.note("signal", daemon=self.name, number=int(number))

    async def kill(self) -> None:
        """Kill the process."""
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def resident_mb(self) -> int:
        """Return the resident memory of the process, in megabytes."""
        if not self.is_running:
            return 0
        with contextlib.suppress(OSError):
            text = Path(f"/proc/{self.process.pid}/status").read_text()
            for line in text.splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024 // 1_000_000
        return 0

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    async def is_ready(self) -> bool:
        """Whether it says that it is ready."""
        status, _ = await call(self.ready, "GET", "/v1/readyz", timeout_s=1.0)
        return status == 200

    def owned(self) -> set[str]:
        """Return the duties that it has claimed and not lost, by its log."""
        duties: set[str] = set()
        for line in self.log:
            if line.get("event") == "duty-claimed":
                duties.add(line.get("duty"))
            elif line.get("event") == "pool-lost":
                duties.discard(line.get("pool"))
            elif line.get("event") in ("duty-given-back", "duty-lost"):
                duties.discard(line.get("duty"))
            elif line.get("event") == "started":
                duties.clear()
        return duties


class World:
    """The platform, the daemons, and what clients have sent."""

    def __init__(self, record: Path | None = None, seed: int = 0) -> None:
        self.rng = random.Random(seed)
        self.began = time.monotonic()
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self._record = record
        self._lines: list[str] = []
        self.store = Store()
        self.cloud = Server(self._cloud)
        self.hint = Server(self._advise)
        self.executors: dict[str, Executor] = {}
        self.daemons: dict[str, Daemon] = {}
        self.jobs: dict[str, dict] = {}
        self.all_runs: list[Run] = []
        self.fences: dict[str, int] = {}
        # What becomes of calls to the host list: "", "busy", "silent", or
        # the seconds that each takes.
        self.cloud_mode = ""
        self.machine_states: dict[str, str] = {}
        self.kept_up: set[tuple[str, int]] = set()
        # Time, machine, holder, fence and path of each order that arrived,
        # also of those that got no answer.
        self.received_orders: list[tuple[float, str, str, int, str]] = []
        self.lives = 0
        # Time, daemon and megabytes of each process over its memory.
        self.memory_kills: list[tuple[float, str, int]] = []
        self.guards = False
        self.hinted: set[str] = set()
        self.tickets: dict[str, tuple] = {}
        self.decide_s = 0.02
        self.tasks: set[asyncio.Task] = set()
        # All processes that were started.
        self.processes: list[asyncio.subprocess.Process] = []
        self.is_stopping = False
        self.contracts = list(CONTRACTS)
        self.bounds = dict(BOUNDS)
        # What a work unit does; set by the script.
        self.behave = default_behaviour

    # --- The record.

    def now(self) -> float:
        """Seconds since the world began."""
        return time.monotonic() - self.began

    def unix_ms(self) -> int:
        """Return the time of day in milliseconds."""
        return int(time.time() * 1000)

    def note(self, event: str, **fields) -> None:
        """Add a line to the record."""
        fields = {"at": round(self.now(), 3), "event": event, **fields}
        self._lines.append(json.dumps(fields))

    def write_record(self) -> None:
        """Write the record."""
        if self._record is not None:
            self._record.write_text("\n".join(self._lines) + "\n")

    def spawn(self, work) -> asyncio.Task:
        """Run a coroutine until the world ends."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # --- Life.

    async def start(self, daemons: int, zones=("z1", "z2")) -> None:
        """Start all servers, executors and daemons; wait until ready."""
        await self.cloud.start()
        await self.hint.start()
        for executor in self.executors.values():
            await executor.start()
        self.spawn(self._beat())
        self.spawn(self._advance())
        for number in range(daemons):
            name = f"frontend-{number}"
            zone = zones[number % len(zones)]
            self.daemons[name] = Daemon(self, name, zone)
        for daemon in self.daemons.values():
            await daemon.store_way.start()
            await daemon.start()
        async with asyncio.timeout(25):
            for daemon in self.daemons.values():
                while not await daemon.is_ready():
                    if not daemon.is_running:
                        raise RuntimeError(f"{daemon.name} has ended")
                    await asyncio.sleep(0.1)
        self.note("ready")

    async def stop(self) -> None:
        """End all that was started, and write the record."""
        self.is_stopping = True
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for process in self.processes:
            await process.wait()
        for executor in self.executors.values():
            executor.server.stop()
        for daemon in self.daemons.values():
            daemon.store_way.stop()
        for server in (self.cloud, self.hint):
            server.stop()
        self.write_record()
        shutil.rmtree(self.directory, ignore_errors=True)

    def settings(self, daemon: Daemon) -> str:
        """Return a daemon's settings file."""
        seeds = [each.control for each in self.daemons.values()][:3]
        seeds = seeds or [daemon.control]
        zones = sorted({each.zone for each in self.daemons.values()})
        lines = [
            f'node_name = "{daemon.name}"',
            'role = "scheduler"',
            'machine_class = "frontend"',
            'serves = ["frontend"]',
            f'ip = "{HOST}"',
            f'zone = "{daemon.zone}"',
            'region = "r1"',
            "internal_ports = []",
            f"seeds = {json.dumps(seeds)}",
            "bootstrap = true",
            "in_tolerance = false",
            'discovery = "platform"',
            'entry = "vip"',
            "heartbeat_ms = 1500",
            f"contracts = {json.dumps(self.contracts)}",
            'orders = "invoke"',
            f'hint = "{self.hint.address}"',
            "[zones]",
            *(f'{zone} = "r1"' for zone in zones),
            "[listen_addrs]",
            f'frontend_addr = "{daemon.frontend}"',
            f'readiness_addr = "{daemon.ready}"',
            f'control = "{daemon.control}"',
            "[limits]",
            "cpu_share = 0.537",
            "cores = 2",
            f"memory_mb = {MEMORY_MB}",
            "max_fds = 4100",
            "link_mbps = 1000.0",
            "disk_mb = 0",
            "[fault_tolerance]",
            "machines = 1",
            "zones = 1",
            "regions = 0",
            "[bounds]",
            *(f"{k} = {json.dumps(v)}" for k, v in self.bounds.items()),
            "[platform]",
            f'address = "{daemon.store_way.address}"',
            'form = "table"',
            "writes_per_s = 800",
            "reads_per_s = 2000",
            "tx_ms = 8.0",
            "part_writes_s = 150",
            "row_bytes = 65536",
            "cross_shard = false",
            "retention_s = 20",
            "[cloud_api]",
            f'address = "{self.cloud.address}"',
            "rate_per_s = 64.0",
            "duties = []",
            "duty_per_s = 64.0",
        ]
        return "\n".join(lines) + "\n"

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for executor in self.executors.values():
                if executor.is_up:
                    executor.write_entry()

    async def _advance(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            for executor in self.executors.values():
                executor.advance()
            self.behave(self)

    # --- The host list and the placement hint service.

    async def _cloud(self, method, target, headers, body):
        if method == "POST":
            self.received_orders.append(
                (
                    self.now(),
                    json.loads(body)["machine"],
                    headers.get("duty-holder"),
                    int(headers.get("fencing-token", 0)),
                    target,
                )
            )
            self.note(
                "cloud",
                path=target,
                message=json.loads(body),
                holder=headers.get("duty-holder"),
                fence=headers.get("fencing-token"),
            )
        await asyncio.sleep(0.005)
        mode = self.cloud_mode
        if mode == "busy":
            return 503, {}
        if mode == "silent":
            return None
        if mode:
            await asyncio.sleep(float(mode))
        if method == "GET":
            machines = [
                {
                    "machine": each.machine,
                    "pool": each.service,
                    "state": self.machine_states.get(
                        each.machine, "up" if each.is_up else "down"
                    ),
                    "zone": "z1",
                    "labels": each.labels,
                    "capacity": each.capacity,
                    "id": each.name if each.is_up else "",
                }
                for each in self.executors.values()
            ]
            return 200, {"machines": machines, "next_token": None}
        return self._order(target, headers, json.loads(body))

    def _order(self, target, headers, message):
        """Move a machine, or begin its upkeep."""
        machine = message["machine"]
        executor = next(
            (e for e in self.executors.values() if e.machine == machine),
            None,
        )
        fence = int(headers.get("fencing-token", 0))
        if executor is None:
            return 400, {}
        if fence < self.fences.get(machine, 0):
            return 409, {"reason": "fence"}
        self.fences[machine] = fence
        is_upkeep = target.endswith("upkeep")
        if is_upkeep and (machine, message["wave"]) in self.kept_up:
            return 200, {}
        if not is_upkeep and executor.service == message["pool"]:
            return 200, {}
        if machine in self.machine_states or not executor.is_up:
            return 409, {"reason": "busy"}
        if executor.runs:
            self.note(
                "ended-by-order",
                machine=machine,
                path=target,
                runs=list(executor.runs),
            )
        self.machine_states[machine] = "upkeep" if is_upkeep else "moving"
        if is_upkeep:
            self.kept_up.add((machine, message["wave"]))
        else:
            executor.service = message["pool"]
        executor.crash()
        self.store.remove("servers", executor.name)
        wait_s = self.bounds["maintenance_s" if is_upkeep else "migrate_s"]
        self.spawn(self._replace(executor, wait_s))
        return 200, {}

    async def _replace(self, executor: Executor, wait_s: float) -> None:
        """Let a new executor join on a machine after an order."""
        await asyncio.sleep(wait_s)
        self.lives += 1
        name = f"{executor.machine[2:]}-{self.lives}"
        new = Executor(
            self, name, executor.service, executor.labels, executor.capacity
        )
        new.machine = executor.machine
        del self.executors[executor.name]
        self.executors[name] = new
        del self.machine_states[executor.machine]
        await new.start()

    async def _advise(self, method, target, headers, body):
        message = json.loads(body)
        await asyncio.sleep(self.decide_s)
        rows = []
        for name in message["workers"]:
            executor = self.executors.get(name)
            if executor is not None and executor.machine[2:] in self.hinted:
                ticket = f"t{len(self.tickets)}"
                self.tickets[ticket] = (
                    message["step"],
                    name,
                    executor.born_ms,
                    time.monotonic() + 1.5,
                )
                rows.append([name, ticket])
        return 200, {"allowed": rows}

    def accepts_ticket(self, executor: Executor, message) -> bool:
        """Whether a start has the ticket that its queue asks for."""
        job = self.jobs.get(message["task"].split(".")[0])
        if job is None or not job.get("hinted"):
            return True
        known = self.tickets.get(message.get("ticket", ""))
        step = message["task"].rpartition(".")[0]
        return (
            known is not None
            and known[:3] == (step, executor.name, executor.born_ms)
            and time.monotonic() < known[3]
        )

    # --- Jobs.

    def step_of(self, name: str) -> dict | None:
        """Return the step of a work unit, as its client sent it."""
        job, _, step, _ = name.rsplit(".", 3)
        known = self.jobs.get(job)
        return None if known is None else known["steps"][int(step)]

    def add_run(self, run: Run, is_late: bool) -> None:
        """Record a start."""
        self.all_runs.append(run)
        self.note(
            "start",
            task=run.name,
            run=run.number,
            executor=run.executor.name,
            born=run.life,
            checkpoint=run.checkpoint,
            is_late=is_late,
        )

    def saved(self, run: Run) -> str:
        """Return the checkpoint of a run."""
        step = self.step_of(run.name)
        if step is None or not step.get("checkpointing"):
            return ""
        seconds = int(worked_s(run))
        return f"{run.name}/{seconds}" if seconds else ""

    def percent(self, run: Run) -> int:
        """Return the progress of a run."""
        step = self.step_of(run.name)
        if step is None:
            return 0
        if step.get("long_running"):
            return min(100, int(worked_s(run) * 200))
        return min(99, int(100 * worked_s(run) / (work_ms(run) / 1000)))

    async def submit(
        self,
        daemon: Daemon,
        prefix: str,
        job_id: str,
        job: dict,
        headers=None,
        register: bool = True,
    ) -> int:
        """Hand a job in at a daemon; return the status."""
        content = {k: v for k, v in job.items() if not k.startswith("_")}
        if register:
            known = self.jobs.setdefault(job_id, dict(job))
            known.setdefault("answers", [])
            known.setdefault("sent_at", self.now())
        status, _ = await call(
            daemon.frontend,
            "POST",
            prefix + job_id,
            content,
            {"host": "jobs.example", "deadline-ms": "3000", **(headers or {})},
        )
        self.note(
            "submitted",
            daemon=daemon.name,
            path=prefix + job_id,
            status=status,
            job=content,
        )
        if register:
            self.jobs[job_id]["answers"].append(status)
            if 200 <= status < 300:
                self.jobs[job_id].setdefault("accepted_at", self.now())
                self.jobs[job_id].setdefault(
                    "accepted_unix_ms", int(time.time() * 1000)
                )
        return status

    async def state(
        self, daemon: Daemon, prefix: str, job_id: str, headers=None
    ):
        """Ask for a job; return status and state."""
        status, content = await call(
            daemon.frontend,
            "GET",
            prefix + job_id,
            None,
            {"host": "jobs.example", "deadline-ms": "3000", **(headers or {})},
        )
        found = (content or {}).get("state", "")
        self.note(
            "asked",
            daemon=daemon.name,
            path=prefix + job_id,
            status=status,
            state=found,
        )
        return status, found

    async def cancel(
        self, daemon: Daemon, prefix: str, job_id: str, headers=None
    ) -> int:
        """Cancel a job; return the status."""
        status, _ = await call(
            daemon.frontend,
            "DELETE",
            prefix + job_id,
            None,
            {"host": "jobs.example", "deadline-ms": "3000", **(headers or {})},
        )
        self.note(
            "cancelled",
            daemon=daemon.name,
            path=prefix + job_id,
            status=status,
        )
        if 200 <= status < 300 and job_id in self.jobs:
            self.jobs[job_id].setdefault("cancelled_at", self.now())
        return status

    async def limit_memory(self, restart_s: float = 1.0) -> None:
        """Kill and restart each daemon over its memory, as the platform."""
        while True:
            await asyncio.sleep(0.2)
            for daemon in self.daemons.values():
                used_mb = daemon.resident_mb()
                if used_mb <= MEMORY_MB or not daemon.is_running:
                    continue
                self.memory_kills.append((self.now(), daemon.name, used_mb))
                self.note("over-memory", daemon=daemon.name, mb=used_mb)
                await daemon.kill()
                self.spawn(self._start_later(daemon, restart_s))

    async def _start_later(self, daemon: Daemon, wait_s: float) -> None:
        """Start a process again after a short delay."""
        await asyncio.sleep(wait_s)
        await daemon.start()

    def owner_of(self, duty: str) -> Daemon | None:
        """Return the running daemon that owns a duty, by the logs."""
        for daemon in self.daemons.values():
            if daemon.is_running and duty in daemon.owned():
                return daemon
        return None


def worked_s(run: Run) -> float:
    """For how long a run has worked."""
    if run.works_since is None:
        return run.worked_s
    return run.worked_s + time.monotonic() - run.works_since


def work_ms(run: Run) -> float:
    """How long a work unit takes, by its spec."""
    with contextlib.suppress(ValueError, KeyError, TypeError):
        return float(json.loads(run.spec)["ms"])
    return 500.0


def fails_of(run: Run) -> int:
    """How many runs of a work unit fail by its own fault, by its spec."""
    with contextlib.suppress(ValueError, KeyError, TypeError):
        return int(
            json.loads(run.spec)["fails"].get(
                ".".join(run.name.rsplit(".", 2)[1:]), 0
            )
        )
    return 0


def default_behaviour(world: World) -> None:
    """Let work units start to work, finish and fail."""
    now = time.monotonic()
    gangs: dict[tuple, list[Run]] = {}
    for executor in world.executors.values():
        if not executor.is_up:
            continue
        for run in list(executor.runs.values()):
            step = world.step_of(run.name)
            if step is None:
                continue
            if step.get("gang"):
                key = (run.name.rpartition(".")[0], run.number)
                gangs.setdefault(key, []).append(run)
                continue
            if run.works_since is None:
                run.works_since = now
            if step.get("long_running"):
                continue
            if worked_s(run) * 1000 < work_ms(run):
                continue
            executor.end(run, "failed" if _fails(world, run) else "done")
    _advance_gangs(world, gangs, now)


def _advance_gangs(world: World, gangs, now: float) -> None:
    """Let the members of each gang work together, and end together."""
    for (step_name, number), members in gangs.items():
        step = world.step_of(step_name + ".0")
        has_ended = any(
            run.number == number
            and run.name.rpartition(".")[0] == step_name
            and run.ended is not None
            for run in world.all_runs
        )
        is_whole = not has_ended and len(members) >= step["count"]
        if not is_whole:
            _end_rest(world, members, has_ended, now)
            continue
        for run in members:
            if run.works_since is None:
                run.works_since = now
        worked = min(worked_s(run) for run in members)
        if step.get("long_running") or worked * 1000 < work_ms(members[0]):
            continue
        failing = next((r for r in members if _fails(world, r)), None)
        for run in members:
            how = "done" if failing is None else "broken"
            run.executor.end(run, "failed" if run is failing else how)


def _end_rest(world: World, members, has_ended: bool, now: float) -> None:
    """End the members of a gang that isn't whole, once they have to."""
    wait_s = world.bounds["gang_wait_ms"] / 1000
    for run in members:
        if has_ended and run.works_since is not None:
            run.executor.end(run, "broken")
        elif now - run.began > wait_s:
            run.executor.end(run, "alone")


def _fails(world: World, run: Run) -> bool:
    """Return whether a run fails by its work unit's own fault."""
    failed = sum(
        each.name == run.name and each.how == "failed"
        for each in world.all_runs
    )
    return failed < fails_of(run)


def configuration(routes, services, version: int = 1, tenants=None) -> dict:
    """Return the operator's configuration."""
    content = {
        "version": version,
        "routes": [
            {
                "name": f"r-{prefix.strip('/')}",
                "host": "jobs.example",
                "path_prefix": prefix,
                "kind": "non_idempotent",
                "timeout_ms": 3000,
                "slo_ms": 600,
                "priority": 0,
                "service": service,
                "max_attempts": 3,
                "stretch": 1.6,
                **extra,
            }
            for prefix, service, extra in routes
        ],
        "services": [
            {"name": name, "rejects_overload": False, "standby": standby}
            for name, standby in services
        ],
        "limits": {},
    }
    if tenants is not None:
        content["tenants"] = tenants
    return content
