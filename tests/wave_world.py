"""Daemons over hosts that are moved, maintained and lost for good.

Lasting tasks and the rules that waves must keep for them are checked every
tenth of a second of virtual time.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from returns.result import Success

from lycheelug.fleetplan import HostInfo, HostState, MaintenanceWave
from lycheelug.jobservice.interfaces import (
    Configuration,
    HostAnswer,
    PoolPolicy,
    Route,
)
from lycheelug.workloads import (
    EndKind,
    JobRecord,
    StepSpec,
    TaskName,
)
from tests.job_world import (
    CAPACITY,
    FakeExecutor,
    FakeFleet,
    JobWorld,
    job_id,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from returns.result import Result

    from lycheelug.errors import Fault
    from lycheelug.workloads import ExecutorInfo

STANDBY: Final = "off"
MOVE_S: Final = 1.5
MAINTENANCE_S: Final = 2.0
# The time until the entry of an executor that left, or was lost, is removed.
LEFT_ENTRY_S: Final = 0.5
LOST_ENTRY_S: Final = 4.5
# A host that was lost stays in the list of hosts for this long.
LISTED_S: Final = 1.0
CHECK_S: Final = 0.1
# For how long a waiting task may have a place twice over, how long after its
# end that counts if it was not stopped, and how long after a disturbance.
WAITING_MAX_S: Final = 3.0
LOST_S: Final = 6.0
CALM_S: Final = 4.0
# An unavailable task counts as away after this time, whatever the cause.
NOTICE_S: Final = 4.5
# The ids of jobs with long-running tasks are below this number.
SHORT_JOBS_FROM: Final = 1000


def lasts(name: TaskName) -> bool:
    """Return whether a task is long-running."""
    return int(name.job, 16) < SHORT_JOBS_FROM


class WaveExecutor(FakeExecutor):
    """An executor on which long-running tasks don't end."""

    def __init__(
        self,
        executor_id: str,
        work_s: float,
        on_end: Callable[[TaskName, EndKind], None],
    ) -> None:
        super().__init__(executor_id, work_s)
        self._on_end = on_end

    def end(self, name: TaskName, kind: EndKind) -> None:
        super().end(name, kind)
        self._on_end(name, kind)

    def tick(self) -> None:
        now = asyncio.get_running_loop().time()
        for name, run in list(self.running.items()):
            if self.clock_ms() > self.deadline_ms:
                self.end(name, EndKind.LAPSED)
            elif not lasts(name) and now - run.started_at >= self.work_s:
                self.end(name, EndKind.DONE)


class WaveHost:
    """A host, and its executor while it is up."""

    def __init__(self, name: str, pool: str) -> None:
        self.name = name
        self.pool = pool
        self.state = HostState.UP
        self.lives = 0
        self.executor: WaveExecutor | None = None
        self.up_since = 0.0
        self.waves_done: set[int] = set()


class WaveFleet(FakeFleet):
    """Hosts whose orders take time, and that can be lost for good."""

    def __init__(self) -> None:
        super().__init__()
        self.hosts_by_name: dict[str, WaveHost] = {}
        self.broken_rules: list[str] = []
        self.published: dict[int, bool] = {}
        self.max_concurrent = 2
        self.lost_at = 0.0
        # The step of each job with long-running tasks.
        self.steps: dict[str, StepSpec] = {}
        # When and how each long-running task ended last.
        self.ends: dict[TaskName, tuple[float, EndKind | None]] = {}
        self.on_entry: Callable[[str, ExecutorInfo | None], None] = (
            lambda _id, _info: None
        )
        self.tasks: set[asyncio.Task[None]] = set()

    def add_host(self, name: str, pool: str) -> None:
        host = WaveHost(name, pool)
        self.hosts_by_name[name] = host
        self._begin_life(host)

    def usable(self, pool: str) -> list[WaveHost]:
        """Return a pool's hosts that are up."""
        return [
            host
            for host in self.hosts_by_name.values()
            if host.pool == pool and host.state is HostState.UP
        ]

    def find_run(self, name: TaskName) -> WaveHost | None:
        """Return the host on which a task runs."""
        for host in self.hosts_by_name.values():
            if host.executor is not None and name in host.executor.running:
                return host
        return None

    def record_end(self, name: TaskName, kind: EndKind | None) -> None:
        """Record an end, and check that so many tasks may be away."""
        if not lasts(name):
            return
        now = asyncio.get_running_loop().time()
        if kind is EndKind.STOPPED:
            self._check_available(name, now)
        self.ends[name] = (now, kind)

    def lose(self, name: str) -> None:
        """Lose a host for good."""
        host = self.hosts_by_name[name]
        self.lost_at = asyncio.get_running_loop().time()
        self._end_life(host, LOST_ENTRY_S)
        host.state = HostState.DOWN
        self.spawn(self._unlist(host))

    async def hosts(self) -> Result[list[HostInfo], Fault]:
        return Success(
            [
                HostInfo(
                    host.name,
                    host.pool,
                    host.state,
                    capacity=CAPACITY,
                    executor_id=host.executor.info.executor_id
                    if host.executor is not None
                    else "",
                )
                for host in self.hosts_by_name.values()
            ]
        )

    async def move(
        self,
        host: str,
        pool: str,
        holder: str,
        token: int,
        may_send: Callable[[], bool],
    ) -> HostAnswer:
        if not may_send():
            return HostAnswer.NOT_SENT
        known = self.hosts_by_name.get(host)
        if known is None or known.state is not HostState.UP:
            return HostAnswer.BUSY
        self._begin_order(known, HostState.MOVING, MOVE_S)
        known.pool = pool
        return HostAnswer.DONE

    async def maintain(
        self,
        host: str,
        wave: int,
        holder: str,
        token: int,
        may_send: Callable[[], bool],
    ) -> HostAnswer:
        if not may_send():
            return HostAnswer.NOT_SENT
        known = self.hosts_by_name.get(host)
        if known is None or known.state is not HostState.UP:
            return HostAnswer.BUSY
        busy = [
            each
            for each in self.hosts_by_name.values()
            if each.state is HostState.IN_UPKEEP
        ]
        if len(busy) >= self.max_concurrent:
            self.broken_rules.append(f"{host} is one too many in maintenance")
        self._begin_order(known, HostState.IN_UPKEEP, MAINTENANCE_S)
        known.waves_done.add(wave)
        return HostAnswer.DONE

    async def publish_wave(self, wave: int, is_completed: bool) -> bool:
        self.published[wave] = is_completed
        return True

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _check_available(self, name: TaskName, now: float) -> None:
        away = 0
        step = self.steps[name.job]
        for number in range(step.count):
            other = name._replace(number=number)
            if other == name or self.find_run(other) is not None:
                continue
            ended_at, kind = self.ends.get(other, (now, None))
            away += kind is EndKind.STOPPED or now - ended_at >= NOTICE_S
        if step.may_miss and away >= step.may_miss:
            self.broken_rules.append(
                f"{name.render()} is stopped while {away} others are away"
            )

    def _begin_order(
        self, host: WaveHost, state: HostState, for_s: float
    ) -> None:
        if host.executor is not None and host.executor.running:
            self.broken_rules.append(f"an order ends what runs on {host.name}")
        self._end_life(host, LEFT_ENTRY_S)
        host.state = state
        self.spawn(self._return(host, for_s))

    async def _return(self, host: WaveHost, after_s: float) -> None:
        await asyncio.sleep(after_s)
        if host.state is not HostState.DOWN:
            host.state = HostState.UP
            self._begin_life(host)

    async def _unlist(self, host: WaveHost) -> None:
        await asyncio.sleep(LISTED_S)
        del self.hosts_by_name[host.name]

    def _begin_life(self, host: WaveHost) -> None:
        host.lives += 1
        executor_id = f"{host.name}.{host.lives}"
        executor = WaveExecutor(executor_id, 1.0, self.record_end)
        executor.info.pool = host.pool
        executor.info.host = host.name
        self.executors[executor_id] = executor
        host.executor = executor
        host.up_since = asyncio.get_running_loop().time()
        self.on_entry(executor_id, executor.info)

    def _end_life(self, host: WaveHost, entry_s: float) -> None:
        executor = host.executor
        if executor is None:
            return
        for name in list(executor.running):
            self.record_end(name, None)
        executor.running.clear()
        executor.has_crashed = True
        host.executor = None
        self.spawn(self._remove_entry(executor, entry_s))

    async def _remove_entry(
        self, executor: WaveExecutor, after_s: float
    ) -> None:
        await asyncio.sleep(after_s)
        executor_id = executor.info.executor_id
        self.on_entry(executor_id, None)
        # Its polls find nothing any more.
        self.restarted.add(executor_id)


class WaveWorld(JobWorld):
    """Daemons with several pools, and a check of the rules."""

    def __init__(self, pools: list[str]) -> None:
        super().__init__()
        self.waves_fleet = WaveFleet()
        self.fleet = self.waves_fleet
        self.waves_fleet.on_entry = self._on_entry
        self.pools = pools
        self.routes = {
            pool: Route(pool, "", f"/{pool}/", pool, 0, 2, 1.6, 0.6, False)
            for pool in pools
        }
        # Since when a waiting task has had a place twice over.
        self._place_since: dict[TaskName, float] = {}
        # The longest that a waiting task had a place twice over, in seconds.
        self.longest_wait_s = 0.0

    def start(self, daemons: int) -> None:
        policies = [PoolPolicy(pool) for pool in self.pools]
        configuration = Configuration(
            2,
            list(self.routes.values()),
            [*policies, PoolPolicy(STANDBY, is_standby=True)],
        )
        self.start_fleet()
        for number in range(daemons):
            service = self.start_daemon(f"e{number}")
            service.apply_configuration(configuration)
        self.waves_fleet.spawn(self._check())

    async def submit_lasting(
        self, number: int, pool: str, step: StepSpec
    ) -> None:
        self.waves_fleet.steps[job_id(number)] = step
        await self.submit_to(number, pool, step)

    async def submit_to(self, number: int, pool: str, step: StepSpec) -> None:
        record = JobRecord(pool, "payload", [step])
        await self.daemons["e0"].submissions.submit(
            self.routes[pool], job_id(number), record
        )

    def announce(
        self, number: int, hosts: list[str], deadline_s: float
    ) -> None:
        """Announce a wave to all daemons."""
        wave = MaintenanceWave(
            number, hosts, deadline_s, self.waves_fleet.max_concurrent, number
        )
        for service in self.daemons.values():
            service.update_wave(wave)

    def lasting_tasks(self) -> list[TaskName]:
        return [
            TaskName(job, 0, 0, number)
            for job, step in self.waves_fleet.steps.items()
            for number in range(step.count)
        ]

    def running_tasks(self) -> int:
        """Return how many long-running tasks are running."""
        return sum(
            self.waves_fleet.find_run(name) is not None
            for name in self.lasting_tasks()
        )

    async def end(self) -> None:
        for task in list(self.waves_fleet.tasks):
            task.cancel()
        await self.stop()

    def _on_entry(self, executor_id: str, info: ExecutorInfo | None) -> None:
        for service in self.daemons.values():
            service.update_executor(executor_id, info)

    async def _check(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            for name in self.lasting_tasks():
                self._check_task(name)

    def _check_task(self, name: TaskName) -> None:
        """Check that a task runs, or has no place twice over."""
        fleet = self.waves_fleet
        now = asyncio.get_running_loop().time()
        ended = fleet.ends.get(name)
        if ended is None or fleet.find_run(name) or not self._has_place(name):
            self._place_since.pop(name, None)
            return
        ended_at, kind = ended
        since = self._place_since.setdefault(name, now)
        since = max(since, fleet.lost_at + CALM_S)
        since = max(
            since, ended_at if kind is EndKind.STOPPED else ended_at + LOST_S
        )
        self.longest_wait_s = max(self.longest_wait_s, now - since)
        if now - since > WAITING_MAX_S:
            fleet.broken_rules.append(
                f"{name.render()} has a place and waits since {since:.1f}"
            )
            self._place_since[name] = now

    def _has_place(self, name: TaskName) -> bool:
        """Return whether a host has room for a task twice over."""
        fleet = self.waves_fleet
        step = fleet.steps[name.job]
        pool = self._pool_of(name)
        for host in fleet.usable(pool):
            executor = host.executor
            assert executor is not None
            siblings = sum(other.job == name.job for other in executor.running)
            if step.max_per_executor and siblings >= step.max_per_executor:
                continue
            used = 2 * step.cpu_millis
            memory = 2 * step.memory_mb
            for other in executor.running:
                if not lasts(other):
                    # Short tasks end soon and go after the lasting ones.
                    continue
                used += fleet.steps[other.job].cpu_millis
                memory += fleet.steps[other.job].memory_mb
            if used <= CAPACITY.cpu_millis and memory <= CAPACITY.memory_mb:
                return True
        return False

    def _pool_of(self, name: TaskName) -> str:
        """Return the pool of a job with long-running tasks.

        The jobs are numbered by pool.
        """
        return self.pools[int(name.job, 16) % len(self.pools)]
