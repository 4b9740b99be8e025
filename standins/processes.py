"""Starts the project's programs as processes on loopback, for a test.

Every process is started with a port of 0 and prints the ports that it got.
Callers wait for what a process prints, never for a fixed time only.
`ProcessGroup` ends by process id all processes that it started.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final, Self

import msgspec

from lycheelug.errors import Peer
from lycheelug.http import Answer, HttpClient, RawHeaders, Request

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "DaemonProcess",
    "ProcessGroup",
    "Program",
    "http_call",
    "wait_until",
]

START_TIMEOUT_S: Final = 20.0
STOP_TIMEOUT_S: Final = 20.0
POLL_S: Final = 0.02
ROOT: Final = Path(__file__).resolve().parent.parent


async def wait_until(
    condition: Callable[[], Any], timeout_s: float = START_TIMEOUT_S
) -> None:
    """Wait until a condition holds, or raise TimeoutError.

    The condition may be a coroutine function.
    """
    async with asyncio.timeout(timeout_s):
        while True:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(POLL_S)


async def http_call(
    address: str,
    method: str,
    target: str,
    body: bytes = b"",
    headers: RawHeaders | None = None,
    timeout_s: float = 30.0,
) -> Answer:
    """Send one request on a new connection and return the answer."""
    all_headers: RawHeaders = [
        (b"host", address.encode()),
        (b"content-length", str(len(body)).encode()),
        *(headers or []),
    ]
    client = HttpClient(address, Peer.ENTRY)
    try:
        result = await client.request(
            Request(method.encode(), target.encode(), all_headers, body),
            timeout_s,
        )
    finally:
        client.close()
    answer: Answer = result.unwrap()
    return answer


class Program:
    """One process and the lines of its standard output and error."""

    __slots__ = ("_readers", "address", "lines", "name", "process")

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self.process = process
        self.address = ""
        self.lines: list[str] = []
        self._readers: list[asyncio.Task[None]] = []
        for stream in (process.stdout, process.stderr):
            assert stream is not None
            self._readers.append(asyncio.create_task(self._read(stream)))

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.returncode is None

    async def wait_line(self, text: str) -> str:
        """Wait for a line that contains a text, and return it."""
        await wait_until(
            lambda: not self.is_running or self._find(text) is not None
        )
        line = self._find(text)
        if line is None:
            output = "\n".join(self.lines)
            raise RuntimeError(f"{self.name} ended early:\n{output}")
        return line

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        if self.is_running:
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Wait for the process to end and return its exit code."""
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await self.process.wait()

    async def stop(self) -> int:
        """Stop the process with SIGTERM, or SIGKILL after the timeout."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            return await self.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            return await self.wait()

    async def kill(self) -> None:
        """Kill the process with SIGKILL."""
        self.send_signal(signal.SIGKILL)
        await self.wait()

    def _find(self, text: str) -> str | None:
        for line in self.lines:
            if text in line:
                return line
        return None

    async def _read(self, stream: asyncio.StreamReader) -> None:
        while True:
            line = await stream.readline()
            if not line:
                return
            self.lines.append(line.decode().rstrip("\n"))


class DaemonProcess(Program):
    """The process of an entry daemon and its three addresses."""

    __slots__ = ("callers", "entries", "operators")

    @property
    def is_serving(self) -> bool:
        """Whether the process runs and has logged its addresses."""
        return self.is_running and hasattr(self, "callers")

    async def wait_listening(self) -> None:
        """Wait until the daemon listens, and record its addresses."""
        line = await self.wait_line('"event":"listening"')
        event = msgspec.json.decode(line)
        self.callers = f"127.0.0.1:{event['callers']}"
        self.operators = f"127.0.0.1:{event['operators']}"
        self.entries = f"127.0.0.1:{event['entries']}"

    async def get(self, target: str) -> Any:
        """Return the content at a path of the operators' interface."""
        answer = await http_call(self.operators, "GET", target)
        return msgspec.json.decode(answer.body)


class ProcessGroup:
    """All processes of one test; leaving its context kills them."""

    __slots__ = ("daemons", "directory", "programs")

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.programs: list[Program] = []
        self.daemons: dict[str, DaemonProcess] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        for program in self.programs:
            program.send_signal(signal.SIGCONT)
            program.send_signal(signal.SIGKILL)
        for program in self.programs:
            await program.process.wait()

    async def start_program(self, name: str, *arguments: str) -> Program:
        """Start `python -m ...` and wait for its `listening` line."""
        program = Program(name, await self.spawn(arguments))
        self.programs.append(program)
        line = await program.wait_line("listening ")
        program.address = line.split()[-1]
        return program

    async def start_upstream(self, name: str, *arguments: str) -> Program:
        """Start a stand-in upstream."""
        return await self.start_program(
            name, "standins.upstream", "--name", name, *arguments
        )

    async def start_platform(self, *arguments: str) -> Program:
        """Start the stand-in platform."""
        return await self.start_program(
            "platform", "standins.platform", *arguments
        )

    async def start_daemon(
        self, name: str, settings: dict[str, Any], wait: bool = True
    ) -> DaemonProcess:
        """Start an entry daemon with the given settings."""
        path = self.directory / f"{name}.yaml"
        content: dict[str, Any] = {
            "name": name,
            "zone": "z1",
            "listen": {
                "callers": "127.0.0.1:0",
                "operators": "127.0.0.1:0",
                "entries": "127.0.0.1:0",
            },
            "logs": {"format": "json"},
        }
        content.update(settings)
        # JSON is YAML.
        path.write_bytes(msgspec.json.encode(content))
        arguments = ("lycheelug.main", str(path))
        daemon = DaemonProcess(name, await self.spawn(arguments))
        self.programs.append(daemon)
        self.daemons[name] = daemon
        if wait:
            await daemon.wait_listening()
        return daemon

    async def run_tool(self, *arguments: str) -> tuple[int, str]:
        """Run the command-line tool; return its exit code and output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            "from lycheelug.cli.app import main; main()",
            *arguments,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        assert process.returncode is not None
        return process.returncode, output.decode()

    async def spawn(
        self, arguments: tuple[str, ...], **variables: str
    ) -> asyncio.subprocess.Process:
        """Start `python -m ...` with additional environment variables."""
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *arguments,
            cwd=ROOT,
            env={**os.environ, **variables},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
