"""Daemons of the job service with a fake store and fake executors.

Everything runs in one process on virtual time.  The store and the executors
can fail.  The executors record which runs started when, and which tasks ran
twice at the same time.
"""

from __future__ import annotations

import asyncio
from copy import copy
from enum import Enum, auto
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from lycheelug.errors import (
    PLATFORM_UNKNOWN,
    PLATFORM_UNREACHABLE,
    Fault,
    Peer,
    Step,
)
from lycheelug.fleetplan import HostInfo, HostState
from lycheelug.jobservice.interfaces import (
    Configuration,
    ExecutorGateway,
    HostAnswer,
    HostControl,
    PlacementHint,
    PollFailure,
    PoolPolicy,
    Route,
    StopAnswer,
    SubmissionAnswer,
    SubmissionOutcome,
)
from lycheelug.jobservice.queue_rows import NO_GATES, GateVersions
from lycheelug.jobservice.service import JobService
from lycheelug.store.memory_rows import MemoryRows
from lycheelug.store.rows import RowCommit
from lycheelug.workloads import (
    EndKind,
    EndReport,
    ExecutorInfo,
    JobRecord,
    Resources,
    RunReport,
    StartAnswer,
    StepSpec,
    TaskName,
    TaskReport,
)
from lycheelug.workloads.order_tokens import term_of
from tests.virtual_time import VirtualClock

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from returns.result import Result

    from lycheelug.jobservice.interfaces import WaitingCount
    from lycheelug.jobservice.submissions import Reply
    from lycheelug.scarcity import OverloadPolicy
    from lycheelug.store.rows import (
        HistoryGone,
        RowConflict,
        RowName,
        RowSet,
    )
    from lycheelug.workloads import StepName

POOL = "quotes"
# How many ends an executor lists at a time.
ENDS_PER_ANSWER = 500
# The duration of a lease.
LEASE_S = 5.0
# How long a caller waits for an answer.
ANSWER_TIMEOUT_S = 0.8
ROUTE = Route("quick", "", "/q/", POOL, 0, 2, 1.6, 0.6, False)
CAPACITY = Resources(8000, 8192, 0)


class FaultyRows(MemoryRows):
    """One daemon's access to the shared store, with faults."""

    __slots__ = (
        "_timeout_event",
        "down",
        "down_after_loss",
        "is_known_unreachable",
        "is_unresponsive",
        "locks",
        "lose_answers",
        "refused_parts",
        "shared",
        "stored_at",
        "transit_s",
        "write_s",
    )

    def __init__(
        self,
        shared: MemoryRows,
        locks: dict[str, asyncio.Lock] | None = None,
    ) -> None:
        super().__init__()
        self.shared = shared
        # The transactions of a part are serialized.
        self.locks = {} if locks is None else locks
        self.down = False
        # Whether the store fails for good once an answer was lost.
        self.down_after_loss = False
        # Whether the daemon has detected that the store is unreachable.
        self.is_known_unreachable = False
        # The parts whose commits fail, while all other calls pass.
        self.refused_parts: set[str] = set()
        # How many of the next submissions are stored but not answered.
        self.lose_answers = 0
        # How long a conditional commit takes to the store and back, and the
        # times at which such commits were found to have been stored.
        self.transit_s = 0.0
        self.stored_at: list[float] = []
        # The duration of a commit.
        self.write_s = 0.008
        # Calls hang until they time out.
        self.is_unresponsive = False
        self._timeout_event = asyncio.Event()

    def time_out(self) -> None:
        """Fail the calls that hang now, as their own timeouts would."""
        self._timeout_event.set()
        self._timeout_event = asyncio.Event()

    async def commit(
        self,
        part: str,
        expected: Mapping[RowName, int],
        writes: Mapping[RowName, bytes | None],
    ) -> Result[RowCommit | RowConflict, Fault]:
        transit_s = self.transit_s / 2 if expected else 0.0
        if transit_s:
            await asyncio.sleep(transit_s)
        async with self.locks.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(self.write_s)
        if self.down or part in self.refused_parts:
            return Failure(_fault())
        result = await self.shared.commit(part, expected, writes)
        if transit_s:
            await asyncio.sleep(transit_s)
        if expected and isinstance(result.unwrap(), RowCommit):
            self.stored_at.append(asyncio.get_running_loop().time())
        is_submission = any(name.table.startswith("jobs-") for name in writes)
        if is_submission and self.lose_answers:
            self.lose_answers -= 1
            self.down = self.down or self.down_after_loss
            return Failure(_fault(unknown=True))
        return result

    async def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[RowSet, Fault]:
        await asyncio.sleep(0.004)
        if self.is_unresponsive:
            await self._timeout_event.wait()
        if self.down or self.is_unresponsive:
            return Failure(_fault())
        return await self.shared.read(table, part, first, end)

    async def parts(self, table: str) -> Result[list[str], Fault]:
        await asyncio.sleep(0.004)
        if self.down:
            return Failure(_fault())
        return await self.shared.parts(table)

    async def feed(
        self, table: str, after: int, wait_s: float
    ) -> Result[RowSet | HistoryGone, Fault]:
        await asyncio.sleep(0.004)
        if self.down:
            return Failure(_fault())
        result = await self.shared.feed(table, after, wait_s)
        if self.is_unresponsive:
            await self._timeout_event.wait()
        # A call that was waiting when the store failed also fails.
        return Failure(_fault()) if self.down else result


class PendingCalls(Enum):
    """What becomes of the calls in progress when an executor restarts."""

    FAIL = auto()
    # Their callers wait in vain.
    HANG = auto()
    # The next incarnation carries them out.
    PASS_ON = auto()


class FakeRun:
    """A run on a fake executor."""

    def __init__(self, number: int, started_at: float) -> None:
        self.number = number
        self.started_at = started_at
        self.checkpoint = ""
        self.saved_at = started_at
        # Since when a member of a gang waits, and whether all were present.
        self.waits_since = started_at
        self.is_together = False


class FakeExecutor:
    """One incarnation of an executor; it enforces tokens and leases."""

    def __init__(self, executor_id: str, work_s: float) -> None:
        self.info = ExecutorInfo(
            executor_id,
            POOL,
            f"{executor_id}:1",
            CAPACITY,
            labels=("a", "r1"),
            host=f"h-{executor_id}",
            born_ms=1,
        )
        self.work_s = work_s
        self.token = 0
        self.deadline_ms = 0
        self.running: dict[TaskName, FakeRun] = {}
        self.ended: list[EndReport] = []
        self.end_count = 0
        self.highest_runs: dict[TaskName, int] = {}
        # Its start time, as it reports it.
        self.born_ms = 1
        # The longest lease that it grants.
        self.lease_max_s = LEASE_S
        # The time at which its clock was 0, and the rate of its clock.
        self.clock_began_at = 0.0
        self.clock_rate = 1.0
        # Calls that arrive before that wait for it.
        self.listens_from = 0.0
        # Whether the next incarnation has replaced it, and what has become of
        # the calls that were in progress.
        self.has_ended = False
        self.pending_calls = PendingCalls.FAIL
        # Neither orders nor answers are delivered.
        self.is_partitioned = False
        # It refuses connections, and its runs are gone.
        self.has_crashed = False
        # Starts are executed, but their answers are lost.
        self.loses_answers = False

    def clock_ms(self) -> int:
        passed_s = asyncio.get_running_loop().time() - self.clock_began_at
        return int(passed_s * 1000 * self.clock_rate)

    def extend_leases(self, deadline_ms: int) -> None:
        """Apply a deadline of its clock; a lease never shortens."""
        latest_ms = self.clock_ms() + int(self.lease_max_s * 1000)
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, latest_ms))

    def acknowledge(self, number: int) -> None:
        """Forget the ends up to a number."""
        self.ended = [end for end in self.ended if end.number > number]

    def end(self, name: TaskName, kind: EndKind) -> None:
        run = self.running.pop(name)
        self.end_count += 1
        self.ended.append(
            EndReport(self.end_count, name, run.number, kind, run.checkpoint)
        )

    def tick(self) -> None:
        """End the runs that are done or whose lease has expired."""
        now = asyncio.get_running_loop().time()
        for name, run in list(self.running.items()):
            if self.clock_ms() > self.deadline_ms:
                self.end(name, EndKind.LAPSED)
            elif now - run.started_at >= self.work_s:
                self.end(name, EndKind.DONE)

    def report(self) -> TaskReport:
        """List the runs and the ends that are not acknowledged."""
        running = [
            RunReport(name, run.number, run.checkpoint, percent=100)
            for name, run in self.running.items()
        ]
        return TaskReport(
            self.clock_ms(),
            self.born_ms,
            running,
            self.ended[:ENDS_PER_ANSWER],
            len(self.ended) < ENDS_PER_ANSWER,
        )


class StartedRun:
    """A run that an executor has started."""

    def __init__(
        self, name: TaskName, run: int, executor_id: str, started_at: float
    ) -> None:
        self.name = name
        self.run = run
        self.executor_id = executor_id
        self.started_at = started_at


class FakeFleet(ExecutorGateway, HostControl):
    """All executors, with a record of the runs they started."""

    def __init__(self) -> None:
        self.executors: dict[str, FakeExecutor] = {}
        self.started: list[StartedRun] = []
        # Tasks that were started while another run of them was running.
        self.duplicated_tasks: list[TaskName] = []
        # Partitions between an owner and an executor: (term, executor).
        self.partitions: set[tuple[int, str]] = set()
        # Executors whose hosts now run another incarnation.
        self.restarted: set[str] = set()
        # Executors that the placement hint service permits.
        self.allowed: set[str] = set()
        self.hint_calls = 0
        self.host_orders: list[tuple[str, str, int]] = []
        # How long orders to hosts take to arrive, by fencing token.
        self.host_order_transits: dict[int, float] = {}

    def add(self, executor_id: str, work_s: float = 1.0) -> FakeExecutor:
        executor = FakeExecutor(executor_id, work_s)
        self.executors[executor_id] = executor
        return executor

    def restart(
        self,
        executor_id: str,
        dark_s: float = 0.0,
        pending_calls: PendingCalls = PendingCalls.FAIL,
    ) -> FakeExecutor:
        """Replace an executor by its next incarnation under the same id.

        For `dark_s` nobody listens, and calls wait for the next incarnation.
        """
        former = self.executors[executor_id]
        former.has_ended = True
        former.pending_calls = pending_calls
        former.running.clear()
        successor = self.add(executor_id, former.work_s)
        born_at = asyncio.get_running_loop().time() + dark_s
        successor.listens_from = born_at
        successor.clock_began_at = born_at
        successor.lease_max_s = former.lease_max_s
        successor.clock_rate = former.clock_rate
        successor.is_partitioned = former.is_partitioned
        successor.born_ms = int(born_at * 1000)
        successor.info = copy(former.info)
        successor.info.born_ms = successor.born_ms
        return successor

    def on_started(self, executor_id: str, task: TaskName) -> None:
        """Let a subclass react to a run that was started."""

    def review_start(
        self,
        executor: FakeExecutor,
        task: TaskName,
        checkpoint: str,
        ticket: str,
    ) -> StartAnswer | None:
        """Let a subclass check a start, and reject it."""

    def late_call_s(self) -> float | None:
        """Return after how long a call is carried out that gets no answer.

        None lets it arrive in time.
        """
        return None

    async def run(self) -> None:
        while True:
            for executor in list(self.executors.values()):
                executor.tick()
            await asyncio.sleep(0.02)

    async def _reach(
        self,
        info: ExecutorInfo,
        token: int,
        timeout_s: float,
        act: Callable[[FakeExecutor], object],
    ) -> FakeExecutor | None:
        """Return who receives a call; None if it gets no answer.

        Then `act` may still carry it out later, whoever is there.
        """
        await asyncio.sleep(0.002)
        executor = self.executors[info.executor_id]
        partition = (term_of(token), info.executor_id)
        if executor.is_partitioned or partition in self.partitions:
            await asyncio.sleep(timeout_s)
            return None
        now = asyncio.get_running_loop().time()
        wait_s = max(0.0, executor.listens_from - now)
        late_s = self.late_call_s()
        if late_s is not None:
            self._carry_out_later(info.executor_id, late_s, act)
            await asyncio.sleep(timeout_s)
            return None
        if wait_s > timeout_s:
            self._carry_out_later(info.executor_id, wait_s, act)
            await asyncio.sleep(timeout_s)
            return None
        if wait_s:
            await asyncio.sleep(wait_s)
        return self.executors[info.executor_id]

    def _carry_out_later(
        self,
        executor_id: str,
        wait_s: float,
        act: Callable[[FakeExecutor], object],
    ) -> None:
        """Carry a call out later, on the incarnation that is there then."""
        loop = asyncio.get_running_loop()

        def carry_out() -> None:
            executor = self.executors[executor_id]
            if executor.listens_from > loop.time():
                loop.call_at(executor.listens_from, carry_out)
            elif not executor.is_partitioned and not executor.has_crashed:
                act(executor)

        loop.call_later(wait_s, carry_out)

    def _carry_out_start(
        self,
        executor: FakeExecutor,
        task: TaskName,
        run: int,
        checkpoint: str,
        deadline_ms: int,
        token: int,
        ticket: str,
    ) -> StartAnswer:
        """Carry a start out on an incarnation."""
        executor.tick()
        if token < executor.token:
            return StartAnswer.FENCED
        executor.token = token
        executor.extend_leases(deadline_ms)
        active = executor.running.get(task)
        if active is not None and active.number == run:
            return StartAnswer.STARTED
        if run <= executor.highest_runs.get(task, 0):
            return StartAnswer.REJECTED
        if deadline_ms < executor.clock_ms():
            return StartAnswer.REJECTED
        rejection = self.review_start(executor, task, checkpoint, ticket)
        if rejection is not None:
            return rejection
        executor.highest_runs[task] = run
        for other in self.executors.values():
            other.tick()
            if task in other.running:
                self.duplicated_tasks.append(task)
        now = asyncio.get_running_loop().time()
        executor.running[task] = FakeRun(run, now)
        executor.running[task].checkpoint = checkpoint
        executor_id = executor.info.executor_id
        self.started.append(StartedRun(task, run, executor_id, now))
        self.on_started(executor_id, task)
        return StartAnswer.STARTED

    async def start(
        self,
        info: ExecutorInfo,
        task: TaskName,
        run: int,
        payload: str,
        checkpoint: str,
        deadline_ms: int,
        token: int,
        ticket: str = "",
    ) -> tuple[StartAnswer, int | None]:
        def act(executor: FakeExecutor) -> StartAnswer:
            return self._carry_out_start(
                executor, task, run, checkpoint, deadline_ms, token, ticket
            )

        executor = await self._reach(info, token, ANSWER_TIMEOUT_S, act)
        if executor is None:
            return StartAnswer.NO_ANSWER, None
        if executor.has_crashed:
            return StartAnswer.NOT_SENT, None
        answer = act(executor)
        if answer is StartAnswer.STARTED and executor.loses_answers:
            await asyncio.sleep(ANSWER_TIMEOUT_S)
            return StartAnswer.NO_ANSWER, None
        return answer, executor.clock_ms()

    async def stop(
        self, info: ExecutorInfo, task: TaskName, run: int, token: int
    ) -> StopAnswer:
        def act(executor: FakeExecutor) -> StopAnswer:
            if token < executor.token:
                return StopAnswer.FENCED
            executor.token = token
            highest = executor.highest_runs.get(task, 0)
            executor.highest_runs[task] = max(run, highest)
            active = executor.running.get(task)
            if active is not None and active.number <= run:
                executor.end(task, EndKind.STOPPED)
            return StopAnswer.ANSWERED

        executor = await self._reach(info, token, ANSWER_TIMEOUT_S, act)
        if executor is None or executor.has_crashed:
            return StopAnswer.NO_ANSWER
        return act(executor)

    async def poll(
        self,
        info: ExecutorInfo,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_s: float,
    ) -> Result[TaskReport, PollFailure]:
        def act(executor: FakeExecutor) -> bool:
            executor.tick()
            if token < executor.token:
                return False
            executor.token = token
            if deadline_ms is not None:
                executor.extend_leases(deadline_ms)
            executor.acknowledge(acknowledged)
            return True

        while True:
            timeout_s = wait_s + ANSWER_TIMEOUT_S
            executor = await self._reach(info, token, timeout_s, act)
            if executor is None:
                return Failure(PollFailure.NO_ANSWER)
            if executor.has_crashed:
                is_replaced = info.executor_id in self.restarted
                return Failure(
                    PollFailure.GONE if is_replaced else PollFailure.REFUSED
                )
            if not act(executor):
                return Failure(PollFailure.FENCED)
            waited_s = 0.0
            while waited_s < wait_s and not executor.ended:
                await asyncio.sleep(0.02)
                waited_s += 0.02
                if executor.has_crashed or executor.has_ended:
                    break
            if executor.has_ended:
                if executor.pending_calls is PendingCalls.PASS_ON:
                    continue
                if executor.pending_calls is PendingCalls.HANG:
                    await asyncio.sleep(timeout_s - waited_s)
                return Failure(PollFailure.NO_ANSWER)
            if executor.has_crashed:
                return Failure(PollFailure.NO_ANSWER)
            if executor.is_partitioned:
                return Failure(PollFailure.NO_ANSWER)
            return Success(executor.report())

    async def pace(
        self,
        info: ExecutorInfo,
        task: TaskName,
        run: int,
        percent: int,
        token: int,
    ) -> bool:
        await asyncio.sleep(0.002)
        return token >= self.executors[info.executor_id].token

    async def request_placement_hint(
        self, step: StepName, executors: Sequence[str], call_s: float = 0.0
    ) -> Result[PlacementHint, Fault]:
        await asyncio.sleep(0.05)
        self.hint_calls += 1
        tickets = {each: "t" for each in executors if each in self.allowed}
        return Success(PlacementHint(tickets, 3.0))

    def forget(self, info: ExecutorInfo) -> None:
        return

    async def hosts(self) -> Result[list[HostInfo], Fault]:
        return Success(
            [
                HostInfo(
                    executor.info.host,
                    POOL,
                    HostState.UP,
                    capacity=CAPACITY,
                    executor_id="new"
                    if name in self.restarted
                    else executor.info.executor_id,
                )
                for name, executor in self.executors.items()
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
        await self._deliver_host_order(host, pool, token)
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
        await self._deliver_host_order(host, f"wave {wave}", token)
        return HostAnswer.DONE

    async def _deliver_host_order(
        self, host: str, what: str, token: int
    ) -> None:
        """Record an order as it arrives, even if its sender has stopped."""
        transit_s = self.host_order_transits.get(token, 0.0)
        order = (host, what, token)
        if not transit_s:
            self.host_orders.append(order)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(transit_s, self.host_orders.append, order)
        await asyncio.sleep(transit_s)

    async def publish_wave(self, wave: int, is_completed: bool) -> bool:
        return True


class JobWorld:
    """Some daemons with a shared store and some executors."""

    def __init__(self) -> None:
        self.rows = MemoryRows()
        self.fleet = FakeFleet()
        self.locks: dict[str, asyncio.Lock] = {}
        self.stores: dict[str, FaultyRows] = {}
        self.daemons: dict[str, JobService] = {}
        # The duration of a lease, as the daemons choose it, and the longest
        # one that the executors grant.
        self.lease_s = LEASE_S
        self.lease_max_s = LEASE_S
        # How long a daemon waits for the owner's answer to a submission.
        self.forward_timeout_s: float | None = None
        # What the owners of a daemon may hold of jobs; 0 for no limit.
        self.job_memory_bytes = 0
        self._fleet_task: asyncio.Task[None] | None = None

    def start_fleet(self) -> None:
        """Start the task that ends the executors' runs."""
        loop = asyncio.get_running_loop()
        self._fleet_task = loop.create_task(self.fleet.run())

    def start_daemon(
        self,
        name: str,
        weight: float = 1.0,
        zone: str = "z1",
        store_class: type[FaultyRows] = FaultyRows,
        overload: OverloadPolicy | None = None,
        configuration: Configuration | None = None,
    ) -> JobService:
        store = store_class(self.rows, self.locks)
        service = JobService(
            name,
            zone,
            store,
            self.fleet,
            self.fleet,
            VirtualClock(),
            self.lease_s,
            2.0,
            is_store_unreachable=lambda: store.is_known_unreachable,
            submit_remote=self.forward,
            weight=weight,
            count_remote=self.count,
            overload=overload,
            lease_max_s=self.lease_max_s,
            job_memory_bytes=self.job_memory_bytes,
        )
        service.apply_configuration(
            configuration or Configuration(1, [ROUTE], [PoolPolicy(POOL)])
        )
        for executor in self.fleet.executors.values():
            service.update_executor(executor.info.executor_id, executor.info)
        service.start(name)
        self.stores[name] = store
        self.daemons[name] = service
        return service

    async def forward(
        self,
        address: str,
        pool: str,
        job_id: str,
        record: JobRecord,
        gates: GateVersions = NO_GATES,
    ) -> SubmissionOutcome:
        """Pass a submission to another daemon, which may answer late."""
        await asyncio.sleep(0.002)
        service = self.daemons.get(address)
        if service is None:
            return SubmissionAnswer.NOT_TAKEN
        try:
            async with asyncio.timeout(self.forward_timeout_s):
                return await service.submit_locally(
                    pool, job_id, record, gates
                )
        except TimeoutError:
            return SubmissionAnswer.UNDECIDED

    async def count(
        self, owner: str, pool: str, queue: str, address: str
    ) -> WaitingCount:
        """Ask another daemon for a queue's waiting jobs."""
        await asyncio.sleep(0.002)
        service = self.daemons.get(owner)
        return service.count_locally(pool, queue, address) if service else None

    async def stop(self) -> None:
        for service in self.daemons.values():
            await service.stop()
        if self._fleet_task is not None:
            self._fleet_task.cancel()
        await asyncio.sleep(0)

    async def submit(
        self, daemon: str, number: int, steps: list[StepSpec] | None = None
    ) -> Reply:
        record = JobRecord(
            ROUTE.name,
            "payload",
            steps or [StepSpec(count=2, cpu_millis=1000)],
        )
        return await self.daemons[daemon].submissions.submit(
            ROUTE, job_id(number), record
        )

    async def state(self, daemon: str, number: int) -> str:
        reply = await self.daemons[daemon].submissions.state(
            ROUTE, job_id(number)
        )
        return reply.state

    def holders(self, duty: str = POOL) -> list[str]:
        """Return the daemons that consider themselves holders of a duty."""
        return [
            name
            for name, service in self.daemons.items()
            if duty in service.duties.held
        ]


def job_id(number: int) -> str:
    return f"{number:016x}"


async def until(
    condition: Callable[[], bool], timeout_s: float = 30.0
) -> None:
    """Wait on virtual time until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.05)


def _fault(unknown: bool = False) -> Fault:
    code = PLATFORM_UNKNOWN if unknown else PLATFORM_UNREACHABLE
    # A call with an unknown outcome failed while receiving the answer.
    step = Step.RECEIVE if unknown else Step.WRITE
    return Fault(code, step, Peer.PLATFORM, "by the test")
