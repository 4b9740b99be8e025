"""Tests with entries of living executors that another writer has changed."""

from __future__ import annotations

import asyncio
import copy
from typing import TYPE_CHECKING

import pytest
from returns.result import Failure, Result, Success

from lycheelug.fleetplan import HostInfo, HostState
from lycheelug.jobservice.interfaces import PollFailure, StopAnswer
from lycheelug.jobservice.pool_cleanup import find_host_evidence
from lycheelug.jobservice.summary import list_loads
from lycheelug.jobservice.used_executors import (
    USED_EXECUTORS_TABLE,
    decode_used_executors,
)
from lycheelug.store.rows import RowName
from lycheelug.workloads import (
    EndKind,
    ExecutorInfo,
    LossCause,
    ProgressRecord,
    Resources,
    StartAnswer,
    StepSpec,
    TaskName,
    TaskReport,
)
from lycheelug.workloads.crash_records import CrashRecord
from lycheelug.workloads.model import JobState
from tests.job_world import (
    CAPACITY,
    POOL,
    FakeExecutor,
    FakeFleet,
    JobWorld,
    until,
)
from tests.pool_world import JOB, PoolWorld
from tests.test_job_service import start_all
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from lycheelug.errors import Fault

# Executors run their tasks for longer than any lease.
WORK_S = 60.0
STEPS = [StepSpec(count=1, cpu_millis=1000, estimate_ms=60_000)]
FUTURE_MS = 2**52


class AddressedFleet(FakeFleet):
    """Executors that are called by address, as over the network.

    Another program serves all other addresses: it names another incarnation,
    or nobody listens there.
    """

    def __init__(self) -> None:
        super().__init__()
        self.is_other_served = True
        # Additional entries of the host list.
        self.other_hosts: list[HostInfo] = []
        # The host that all entries name.
        self.named_host = ""
        # The executors that were called at a wrong address.
        self.misled: list[str] = []

    def add(self, executor_id: str, work_s: float = 1.0) -> FakeExecutor:
        executor = super().add(executor_id, work_s)
        executor.info.host = self.named_host or executor.info.host
        return executor

    def is_misled(self, info: ExecutorInfo) -> bool:
        if info.address == f"{info.executor_id}:1":
            return False
        self.misled.append(info.executor_id)
        return True

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
        if self.is_misled(info):
            return StartAnswer.NOT_SENT, None
        return await super().start(
            info, task, run, payload, checkpoint, deadline_ms, token, ticket
        )

    async def stop(
        self, info: ExecutorInfo, task: TaskName, run: int, token: int
    ) -> StopAnswer:
        if self.is_misled(info):
            await asyncio.sleep(0.002)
            return (
                StopAnswer.GONE
                if self.is_other_served
                else StopAnswer.NO_ANSWER
            )
        return await super().stop(info, task, run, token)

    async def poll(
        self,
        info: ExecutorInfo,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_s: float,
    ) -> Result[TaskReport, PollFailure]:
        if self.is_misled(info):
            await asyncio.sleep(0.002)
            return Failure(
                PollFailure.GONE
                if self.is_other_served
                else PollFailure.REFUSED
            )
        return await super().poll(
            info, token, acknowledged, deadline_ms, wait_s
        )

    async def hosts(self) -> Result[list[HostInfo], Fault]:
        listed = (await super().hosts()).unwrap()
        for host in listed:
            host.name = f"h-{host.executor_id}"
        return Success([*listed, *self.other_hosts])


class DisputedWorld(JobWorld):
    """Daemons over executors whose entries another writer changes."""

    def __init__(self) -> None:
        super().__init__()
        self.addressed = AddressedFleet()
        self.fleet = self.addressed

    async def begin(self, daemons: int) -> ExecutorInfo:
        """Start a task; return the entry of its executor."""
        await start_all(self, executors=3, daemons=daemons)
        for executor in self.fleet.executors.values():
            executor.work_s = WORK_S
        await self.submit("e0", 1, STEPS)
        await until(lambda: len(self.fleet.started) == 1)
        used = self.fleet.started[0].executor_id
        return self.fleet.executors[used].info

    def write(self, info: ExecutorInfo, **changes: object) -> None:
        """Deliver a version of an entry with some fields changed."""
        changed = copy.copy(info)
        for name, value in changes.items():
            setattr(changed, name, value)
        for service in self.daemons.values():
            service.update_executor(info.executor_id, changed)

    def is_run_once(self) -> bool:
        return len(self.fleet.started) == 1 and not (
            self.fleet.duplicated_tasks
        )


CHANGES: list[dict[str, object]] = [
    {"address": "elsewhere:1"},
    {"address": "elsewhere:1", "born_ms": FUTURE_MS},
    {"address": "elsewhere:1", "born_ms": 0},
    {"address": "elsewhere:1", "host": "h-elsewhere"},
    {"address": "elsewhere:1", "draining": True},
]


# Guards against an entry of another writer that makes a living executor
# count as ended, so that its tasks start a second time.
@pytest.mark.parametrize("versions", [1, 2])
@pytest.mark.parametrize("is_other_served", [True, False])
@pytest.mark.parametrize("changes", CHANGES)
def test_entry_with_another_address_ends_no_executor(
    changes: dict[str, object], is_other_served: bool, versions: int
) -> None:
    async def run() -> None:
        world = DisputedWorld()
        info = await world.begin(daemons=1)
        world.addressed.is_other_served = is_other_served
        for _ in range(versions):
            world.write(info, **changes)
        await asyncio.sleep(20.0)
        assert world.is_run_once()
        assert world.addressed.misled == []
        world.write(info)
        await asyncio.sleep(2.0)
        executor = world.fleet.executors[info.executor_id]
        await until(lambda: len(executor.running) == 1)
        assert world.is_run_once()
        await world.stop()

    run_virtual(run())


# Guards against a new owner that takes the address of an executor which its
# predecessor used from an entry of another writer.
@pytest.mark.parametrize("changes", CHANGES)
def test_new_owner_finds_an_executor_where_its_predecessor_used_it(
    changes: dict[str, object],
) -> None:
    async def run() -> None:
        world = DisputedWorld()
        info = await world.begin(daemons=3)
        await asyncio.sleep(2.0)
        (owner,) = world.holders()
        await world.daemons.pop(owner).stop()
        for _ in range(3):
            world.write(info, **changes)
        await until(lambda: len(world.holders()) == 1)
        await asyncio.sleep(20.0)
        assert world.is_run_once()
        await world.stop()

    run_virtual(run())


# Guards against an entry of another writer that was recorded for the next
# owner as if an executor had answered at its address.
def test_executor_that_never_answered_is_not_recorded() -> None:
    async def run() -> None:
        world = DisputedWorld()
        world.addressed.is_other_served = False
        world.addressed.add("x9").info.address = "elsewhere:1"
        info = await world.begin(daemons=2)
        await asyncio.sleep(3.0)
        recorded: dict[str, object] = {}
        rows = await world.rows.read(USED_EXECUTORS_TABLE, POOL)
        for row in rows.unwrap().rows:
            recorded |= decode_used_executors(row.value or b"") or {}
        assert info.executor_id in recorded
        assert "x9" not in recorded
        await world.stop()

    run_virtual(run())


# Guards against the host list as proof that an executor has ended, if only an
# entry of another writer says that it was on the host.
@pytest.mark.parametrize("is_under_order", [True, False])
def test_entry_with_another_host_ends_no_executor(
    is_under_order: bool,
) -> None:
    async def run() -> None:
        world = DisputedWorld()
        state = HostState.MOVING if is_under_order else HostState.UP
        world.addressed.other_hosts.append(
            HostInfo("h-elsewhere", POOL, state, executor_id="i-elsewhere")
        )
        world.addressed.named_host = "h-elsewhere"
        info = await world.begin(daemons=1)
        await asyncio.sleep(2.0)
        # Shorter than the lease of its runs.
        world.fleet.executors[info.executor_id].is_partitioned = True
        await asyncio.sleep(3.0)
        assert world.is_run_once()
        await world.stop()

    run_virtual(run())


# Guards against a crash that is proved by the state of a host on which the
# executor never was.
@pytest.mark.parametrize(
    ("state", "present"),
    [
        (HostState.UP, "other"),
        (HostState.DOWN, ""),
        (HostState.MOVING, ""),
        (HostState.UNKNOWN, ""),
        (None, ""),
    ],
)
def test_executor_on_another_host_is_not_proved_to_have_crashed(
    state: HostState | None, present: str
) -> None:
    hosts = {"h": HostInfo("h", POOL, HostState.UP, executor_id="x0")}
    if state is not None:
        hosts["wrong"] = HostInfo("wrong", POOL, state, executor_id=present)
    found = find_host_evidence(hosts, {"x0": "wrong"}, {"wrong"})
    assert found == {}


# Guards against another pool's owner that stops the runs of an executor, or
# fences off its true owner, as an entry of another writer names its pool.
def test_changed_pool_is_used_once_two_versions_name_it() -> None:
    async def run() -> None:
        world = DisputedWorld()
        info = await world.begin(daemons=1)
        service = world.daemons["e0"]

        def listed(pool: str) -> bool:
            found = service.executors_of(pool)
            return info.executor_id in [each.executor_id for each in found]

        world.write(info, pool="other")
        assert not listed("other")
        assert not listed(POOL)
        world.write(info)
        assert listed(POOL)
        world.write(info, pool="other")
        assert not listed("other")
        world.write(info, pool="other")
        assert listed("other")
        await world.stop()

    run_virtual(run())


# Guards against more starts than fit, as an entry of another writer names
# more capacity than an executor has.
def test_more_capacity_is_used_once_two_versions_name_it() -> None:
    async def run() -> None:
        world = DisputedWorld()
        info = await world.begin(daemons=1)
        service = world.daemons["e0"]

        def capacity() -> Resources:
            for each in service.executors_of(POOL):
                if each.executor_id == info.executor_id:
                    return each.capacity
            raise AssertionError(info.executor_id)

        more = Resources(2**31, 2**31, 8)
        less = Resources(100, 100, 0)
        for written, used in (
            (more, CAPACITY),
            (CAPACITY, CAPACITY),
            (less, less),
            (CAPACITY, less),
            (CAPACITY, CAPACITY),
            (more, CAPACITY),
            (more, more),
        ):
            world.write(info, capacity=written)
            assert capacity() == used
        await world.stop()

    run_virtual(run())


TASK = TaskName(JOB, 0, 0, 0)


def observe(
    world: PoolWorld, born_ms: int, address: str = "10.0.0.1:1"
) -> None:
    view = world.schedule.observe_executor(
        ExecutorInfo("a", "quotes", address, CAPACITY, born_ms=born_ms)
    )
    view.is_recorded = True


# Guards against a start time in an entry that makes the ends of the next
# incarnation look old: they were acknowledged, but not applied.
@pytest.mark.parametrize("entry_ms", [0, 1, FUTURE_MS])
@pytest.mark.parametrize("second_ms", [200, 50])
def test_restart_is_recognized_whatever_the_entry_says(
    entry_ms: int, second_ms: int
) -> None:
    world = PoolWorld()
    observe(world, entry_ms)
    world.report_tasks("a", born_ms=100)
    job = world.add_job(STEPS)
    (order,) = world.starts()
    world.answer(order)
    for _ in range(3):
        world.report_tasks(
            "a",
            [(TASK, order.run)],
            [(TaskName(JOB, 0, 0, 9), 1, EndKind.STOPPED)],
            born_ms=100,
        )
    world.now += 1.0
    observe(world, entry_ms)
    world.report_tasks("a", born_ms=second_ms)
    world.now += 1.0
    world.end_numbers["a"] = 0
    (order,) = world.starts()
    world.answer(order)
    world.now += 0.1
    world.report_tasks(
        "a", ended=[(TASK, order.run, EndKind.DONE)], born_ms=second_ms
    )
    assert job.progress.state == JobState.COMPLETED


# Guards against true entries that count as stale for good, after an executor
# has ended whose entry named a start time in the future.
@pytest.mark.parametrize("entry_ms", [1, 100, FUTURE_MS])
@pytest.mark.parametrize("has_answered", [True, False])
def test_later_incarnation_is_used_whatever_the_entry_said(
    entry_ms: int, has_answered: bool
) -> None:
    world = PoolWorld()
    observe(world, entry_ms)
    if has_answered:
        world.report_tasks("a", born_ms=100)
    world.schedule.remove_executor("a", world.now, LossCause.REPLACED)
    later = ExecutorInfo("a", "quotes", "10.0.0.1:1", CAPACITY, born_ms=200)
    assert not world.schedule.ended_incarnations.names(later)
    known = ExecutorInfo(
        "a", "quotes", "10.0.0.1:1", CAPACITY, born_ms=entry_ms
    )
    assert world.schedule.ended_incarnations.names(known)


# Guards against a crash that is counted, as an entry of another writer names
# an earlier start time than the executor does.
@pytest.mark.parametrize("entry_ms", [0, 1, 100, FUTURE_MS])
def test_entry_proves_no_restart_of_a_reserved_executor(
    entry_ms: int,
) -> None:
    world = PoolWorld(term=2)
    observe(world, entry_ms)
    progress = ProgressRecord(
        begun_term=1,
        crashes={"0.0.0": [CrashRecord("b", 5, 500, is_proved=True)]},
        reserved={"a": 100},
    )
    job = world.add_job(STEPS, progress=progress)
    world.report_tasks("a", born_ms=100)
    assert len(job.progress.crashes["0.0.0"]) == 1


# Guards against a new owner that waits for an executor which nobody has ever
# reached, as an entry of another writer names it.
@pytest.mark.parametrize("is_readable", [True, False])
def test_entry_of_an_unknown_executor_does_not_delay_the_next_owner(
    is_readable: bool,
) -> None:
    async def run() -> None:
        world = DisputedWorld()
        world.addressed.is_other_served = False
        world.addressed.add("x9").info.address = "elsewhere:1"
        await start_all(world, executors=2, daemons=3)
        (owner,) = world.holders()
        other = next(name for name in world.daemons if name != owner)
        # More than fits: some tasks of the begun job wait for capacity.
        await world.submit(other, 1, [StepSpec(count=20, cpu_millis=2000)])
        await until(lambda: len(world.fleet.started) >= 8)
        await world.daemons[owner].drain()
        await world.daemons.pop(owner).stop()
        if not is_readable:
            name = RowName(USED_EXECUTORS_TABLE, "3")
            await world.rows.commit(POOL, {}, {name: b"?"})
        await until(lambda: len(world.holders()) == 1)
        began_at = asyncio.get_running_loop().time()
        started = len(world.fleet.started)
        await until(lambda: len(world.fleet.started) > started)
        waited_s = asyncio.get_running_loop().time() - began_at
        # Without the records, any executor may be running tasks.
        assert (waited_s < 3.0) is is_readable
        await world.stop()

    run_virtual(run())


# Guards against the entry of an executor that nobody has reached and that
# hides the load of the true executor of its host from the planner.
@pytest.mark.parametrize("is_first", [True, False])
def test_load_of_a_host_is_that_of_its_true_executor(is_first: bool) -> None:
    world = PoolWorld()
    for has_reported in (not is_first, is_first):
        name = "true" if has_reported else "odd"
        world.add_executor(name, has_reported=has_reported, host="h-1")
    world.add_job(STEPS)
    (order,) = world.starts()
    world.answer(order)
    loads = list_loads(world.schedule, world.now).hosts
    assert list(loads) == ["h-1"]
    assert loads["h-1"].executor == "true"
    assert loads["h-1"].runs == 1
