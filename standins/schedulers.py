"""Starts scheduler processes on the stand-in for the users' platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from lycheelug.platform.settings import SETTINGS_VARIABLE
from standins.processes import ProcessGroup, Program, http_call, wait_until
from standins.run_records import RunRecord
from standins.task_platform import PREFIX, ExecutorFault

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["SchedulerCluster", "SchedulerProcess"]

SETTINGS = """\
node_name = "{name}"
ip = "127.0.0.1"
zone = "z1"
seeds = {seeds}
{first}
[listen_addrs]
frontend_addr = "127.0.0.1:0"
readiness_addr = "127.0.0.1:0"
control = "127.0.0.1:0"
[platform]
address = "{platform}"
[cloud_api]
address = "{platform}"
{tables}
"""


class SchedulerProcess(Program):
    """A scheduler process and its addresses for callers, probes and peers."""

    __slots__ = ("callers", "peers", "probes")

    async def wait_started(self) -> None:
        """Wait until it listens and is ready for callers."""
        line = await self.wait_line('"event":"started"')
        event = msgspec.json.decode(line)
        self.callers: str = event["callers"]
        self.probes: str = event["probes"]
        self.peers: str = event["peers"]
        await wait_until(self.is_ready)

    async def is_ready(self) -> bool:
        """Whether it is ready to serve callers."""
        answer = await http_call(self.probes, "GET", "/v1/readyz")
        return answer.status == 200

    async def submit(
        self,
        job_id: str,
        steps: list[dict[str, Any]],
        spec: str = "demo",
        prefix: str = PREFIX,
    ) -> int:
        """Submit a job; return the HTTP status."""
        body = msgspec.json.encode({"spec": spec, "steps": steps})
        answer = await http_call(self.callers, "POST", prefix + job_id, body)
        return answer.status

    async def cancel(self, job_id: str) -> int:
        """Cancel a job; return the HTTP status."""
        answer = await http_call(self.callers, "DELETE", PREFIX + job_id)
        return answer.status

    async def state(self, job_id: str, prefix: str = PREFIX) -> str:
        """Return a job's state, or an empty string for an unknown job."""
        answer = await http_call(self.callers, "GET", prefix + job_id)
        reply = msgspec.json.decode(answer.body)
        return str(reply.get("state", ""))

    def owns(self, pool: str) -> bool:
        """Whether its log shows that it has claimed a pool."""
        for line in self.lines:
            if '"event":"duty-claimed"' in line and f'"{pool}"' in line:
                return True
        return False


class SchedulerCluster(ProcessGroup):
    """The stand-in platform and a number of schedulers."""

    __slots__ = ("platform", "schedulers")

    def __init__(self, directory: Path) -> None:
        super().__init__(directory)
        self.platform: Program | None = None
        self.schedulers: dict[str, SchedulerProcess] = {}

    async def start_platform_and_executors(
        self,
        executors: int,
        work_ms: int,
        work_spread: float = 0.0,
        seed: int = 0,
        has_standby: bool = True,
        max_attempts: int = 2,
    ) -> None:
        """Start the stand-in platform with its executors.

        It doesn't move hosts, so it should have no pool on standby where
        there are more executors than are needed.
        """
        options = [] if has_standby else ["--no-standby"]
        self.platform = await self.start_program(
            "task-platform",
            "standins.task_platform",
            "--executors",
            str(executors),
            "--work-ms",
            str(work_ms),
            "--work-spread",
            str(work_spread),
            "--seed",
            str(seed),
            "--max-attempts",
            str(max_attempts),
            *options,
        )

    async def start_scheduler(
        self,
        name: str,
        platform: str = "",
        first: str = "",
        tables: str = "",
    ) -> SchedulerProcess:
        """Start a scheduler and wait until it is ready.

        Its seeds are the schedulers started before.  `platform` replaces
        the platform's address for this scheduler only.  `first` and `tables`
        are added to its settings: fields, and tables.
        """
        assert self.platform is not None
        platform = platform or self.platform.address
        seeds = [each.peers for each in self.schedulers.values()]
        path = self.directory / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                name=name,
                platform=platform,
                seeds=msgspec.json.encode(seeds).decode(),
                first=first,
                tables=tables,
            ),
            encoding="utf-8",
        )
        process = await self.spawn(
            ("lycheelug.platform.main",), **{SETTINGS_VARIABLE: str(path)}
        )
        scheduler = SchedulerProcess(name, process)
        self.programs.append(scheduler)
        self.schedulers[name] = scheduler
        await scheduler.wait_started()
        return scheduler

    async def hints(self) -> dict[str, int]:
        """Return the calls for tickets, and the rejected ones."""
        assert self.platform is not None
        answer = await http_call(self.platform.address, "GET", "/hints")
        return msgspec.json.decode(answer.body, type=dict[str, int])

    async def restart_executors(
        self, executors: list[str], pause_s: float, is_dark: bool
    ) -> None:
        """Restart executors under their ids; return once they are back."""
        fault = ExecutorFault(executors, pause_s, is_dark)
        await self._disturb("/restart", fault)

    async def cut_off_executors(
        self, executors: list[str], duration_s: float
    ) -> None:
        """Lose all calls to executors, and return when that is over."""
        await self._disturb("/cut", ExecutorFault(executors, duration_s))

    async def delay_calls(self, executors: list[str], share: float) -> None:
        """Let executors carry out a share of the calls late, unanswered."""
        await self._disturb(
            "/late-calls", ExecutorFault(executors, share=share)
        )

    async def _disturb(self, path: str, fault: ExecutorFault) -> None:
        """Ask the stand-in platform to disturb executors."""
        assert self.platform is not None
        answer = await http_call(
            self.platform.address, "POST", path, msgspec.json.encode(fault)
        )
        assert answer.status == 204

    async def runs(self) -> list[RunRecord]:
        """Return all runs that the executors have started."""
        assert self.platform is not None
        answer = await http_call(self.platform.address, "GET", "/runs")
        return msgspec.json.decode(answer.body, type=list[RunRecord])
