"""Tests of what proves a loss, at this owner and at later ones."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest
from returns.result import Result, Success

from lycheelug.fleetplan import HostInfo, HostState
from lycheelug.jobservice.pool_cleanup import find_host_evidence
from lycheelug.jobservice.pool_owner import PoolOwner
from lycheelug.platform.hosts import _decode_host
from lycheelug.workloads import ProgressRecord, StartOrder, StepSpec
from lycheelug.workloads.crash_records import CrashRecord, is_culprit
from lycheelug.workloads.model import JobState
from tests.job_world import POOL, FakeExecutor, FakeFleet, JobWorld, until
from tests.pool_world import PoolWorld
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from lycheelug.errors import Fault

ONE = [StepSpec(count=1, cpu_millis=1000)]
TWO = [StepSpec(count=2, cpu_millis=1000)]
TASK = "0.0.0"
SIBLING = "0.0.1"


def unproved(executor: str, host: str = "") -> CrashRecord:
    """Return the record of an executor that fell silent."""
    return CrashRecord(executor, 1, 300, is_proved=False, host=host)


def proved(executor: str) -> CrashRecord:
    """Return the record of an executor that has surely crashed."""
    return CrashRecord(
        executor, 1, 300, proof="replaced", host=f"h-{executor}"
    )


def pass_time(world: PoolWorld, duration_s: float) -> None:
    """Plan again and again for a while."""
    end = world.now + duration_s
    while world.now < end:
        world.now += 0.5
        world.plan()


# Guards against a job that is given up for records of an earlier release,
# which took a lease that had ended for the proof of a crash.
def test_stored_losses_without_a_proof_are_not_proved() -> None:
    # Executor, start time, age, discounted, proved, isolated, certain.
    losses = [[name, 1, 300, False, True, False, True] for name in "abcde"]
    stored = msgspec.json.encode({"begun_term": 1, "crashes": {TASK: losses}})
    world = PoolWorld(term=2)
    world.add_executor("x")
    job = world.add_job(
        ONE, progress=msgspec.json.decode(stored, type=ProgressRecord)
    )
    world.plan()
    assert not job.is_final


# Guards against a loss that no list of hosts can ever prove, as its record
# doesn't name the host.
def test_unseen_loss_of_a_reserved_executor_names_its_host() -> None:
    progress = ProgressRecord(
        begun_term=1, crashes={TASK: [proved("a")]}, reserved={"b": 1}
    )
    world = PoolWorld(term=2, earlier_leases_end_at=108.0)
    world.add_executor("c")
    view = world.add_executor("b", has_reported=False)
    view.has_entry = False
    world.add_job(ONE, progress=progress)
    pass_time(world, 10.0)
    assert "b" not in world.schedule.executors
    assert world.schedule.crashes.unproved_executors() == {"b": "h-b"}


# Guards against a host that is unknown as another record of the executor
# doesn't name it.
@pytest.mark.parametrize("hosts", [("h-a", ""), ("", "h-a")])
def test_host_of_a_silent_executor_is_found(hosts: tuple[str, str]) -> None:
    first, second = hosts
    progress = ProgressRecord(
        begun_term=1,
        crashes={
            TASK: [unproved("a", first)],
            SIBLING: [unproved("a", second)],
        },
    )
    world = PoolWorld(term=2)
    world.add_job(TWO, progress=progress)
    assert world.schedule.crashes.unproved_executors() == {"a": "h-a"}


# Guards against a proved crash that is forgotten with another task's loss.
def test_undecided_loss_takes_no_proved_one_with_it() -> None:
    progress = ProgressRecord(
        begun_term=1,
        crashes={TASK: [proved("a")], SIBLING: [unproved("a")]},
    )
    world = PoolWorld(term=2)
    job = world.add_job(TWO, progress=progress)
    pass_time(world, 40.0)
    assert list(job.progress.crashes) == [TASK]


# Guards against an entry with a wrong start time that turns an answer of an
# executor into the proof that it has crashed.
def test_answer_proves_no_loss_by_the_start_time_in_an_entry() -> None:
    progress = ProgressRecord(begun_term=1, crashes={TASK: [unproved("a")]})
    world = PoolWorld(term=2)
    view = world.add_executor("a", has_reported=False)
    view.info.born_ms = view.born_ms = 10**15
    job = world.add_job(ONE, progress=progress)
    world.report_tasks("a")
    assert job.progress.crashes == {}
    assert view.born_ms == 1


# Guards against a crash that can't be proved while no list of hosts is read,
# although the host's next executor reports.
def test_next_executor_of_a_host_proves_the_end_of_the_last() -> None:
    progress = ProgressRecord(
        begun_term=1, crashes={TASK: [unproved("a", "h-a")]}
    )
    world = PoolWorld(term=2)
    job = world.add_job(ONE, progress=progress)
    world.add_executor("b", has_reported=False, host="h-b")
    world.report_tasks("b", born_ms=5)
    (record,) = job.progress.crashes[TASK]
    assert not record.is_proved
    world.add_executor("a2", has_reported=False, host="h-a")
    world.report_tasks("a2", born_ms=5)
    assert record.is_proved


# Guards against an unknown state of a host that is taken for a crash.
def test_unknown_state_of_a_host_proves_nothing() -> None:
    entry = {"machine": "h", "pool": "p", "state": "leaving"}
    host = _decode_host(msgspec.json.encode(entry)).unwrap()
    assert host.state is not HostState.UP
    assert find_host_evidence({"h": host}, {"a": "h"}, set()) == {}


# Guards against an executor that no loop polls any more, as its entry was back
# when the loop had ended and before the list was applied.
def test_executor_whose_entry_comes_back_at_once_is_polled() -> None:
    async def run() -> None:
        world = JobWorld()
        executor = world.fleet.add("x0")
        for number in range(1, 4):
            world.fleet.add(f"x{number}")
        world.start_fleet()
        service = world.start_daemon("e0")
        await until(lambda: POOL in service.duties.held)
        owner = service.duties.held[POOL]
        assert isinstance(owner, PoolOwner)
        executors = owner.schedule.executors
        for offset in range(60):
            await until(lambda: "x0" in executors)
            executor.is_partitioned = True
            await asyncio.sleep(7.0 + offset * 0.013)
            service.update_executor("x0", None)
            while "x0" in executors:  # noqa: ASYNC110
                await asyncio.sleep(0.001)
            service.update_executor("x0", executor.info)
            executor.is_partitioned = False
            await asyncio.sleep(3.0)
            assert executors["x0"].last_report_at is not None
        await world.stop()

    run_virtual(run())


# Guards against a task that crashes executors and is cleared of its losses, as
# one of its runs went on for a little longer than those before.
def test_long_running_task_is_not_cleared_by_a_short_run() -> None:
    losses = [proved(name) for name in "abc"]
    progress = ProgressRecord(begun_term=1, crashes={TASK: losses})
    world = PoolWorld(term=2)
    world.add_executor("x")
    job = world.add_job(
        [StepSpec(count=1, cpu_millis=1000, lasts=True)], progress=progress
    )
    (order,) = world.starts()
    world.answer(order)
    for _ in range(20):
        world.now += 0.1
        world.report_tasks("x", [(order.task.name, order.run)])
    assert len(job.progress.crashes[TASK]) == 3
    for _ in range(70):
        world.now += 1.0
        world.report_tasks("x", [(order.task.name, order.run)])
    assert job.progress.crashes == {}


# Guards against a long-running task that crashes executors without end, as
# some of its starts weren't answered or not isolated.
@pytest.mark.parametrize("certain", [0, 2, 4])
def test_four_likely_crashes_give_a_long_running_job_up(certain: int) -> None:
    losses = [proved(name) for name in "abcd"]
    for record in losses[certain:]:
        record.is_certain = False
    assert is_culprit(losses, lasts=True)
    assert not is_culprit(losses[1:], lasts=True)


# Guards against a suspect that is started without isolation after a change of
# owner, as it had to wait for what earlier owners had started.
def test_suspect_is_isolated_after_the_hold_of_a_takeover() -> None:
    progress = ProgressRecord(begun_term=1, crashes={TASK: [proved("a")]})
    world = PoolWorld(term=2, earlier_leases_end_at=108.0)
    world.add_executor("silent", has_reported=False)
    for name in ("x", "y", "z"):
        world.add_executor(name)
    world.add_job(ONE, progress=progress)
    orders: list[StartOrder] = []
    while not orders:
        world.now += 0.1
        for name in ("x", "y", "z"):
            world.report_tasks(name)
        orders = world.starts()
    assert world.now >= 108.0
    (order,) = orders
    view = world.schedule.executors[order.executor_id]
    assert view.runs[(order.task.name, order.run)].is_isolated


# Guards against a job that is given up for hosts that lists of hosts lack, as
# they are incomplete, while their executors are cut off.
def test_hosts_that_lists_lack_have_not_crashed() -> None:
    class Shortened(FakeFleet):
        async def hosts(self) -> Result[list[HostInfo], Fault]:
            return Success([])

    async def run() -> None:
        world = JobWorld()
        world.fleet = Shortened()
        for number in range(6):
            world.fleet.add(f"x{number}", 8.0)
        world.start_fleet()
        service = world.start_daemon("e0")
        await until(lambda: POOL in service.duties.held)
        step = StepSpec(count=1, cpu_millis=1000, estimate_ms=8000)
        await world.submit("e0", 1, [step])
        cut: list[FakeExecutor] = []
        while len(cut) < 3:
            await until(lambda: len(world.fleet.started) > len(cut))
            executor_id = world.fleet.started[-1].executor_id
            await asyncio.sleep(0.3)
            cut.append(world.fleet.executors[executor_id])
            cut[-1].is_partitioned = True
        await asyncio.sleep(5.0)
        assert await world.state("e0", 1) == JobState.RUNNING
        await world.stop()

    run_virtual(run())


# Guards against a task that waits without end as its owners change before the
# silences under it can be forgotten.
def test_wait_for_proofs_ends_although_owners_change() -> None:
    losses = [unproved(name, f"h-{name}") for name in "abcde"]
    progress = ProgressRecord(begun_term=1, crashes={TASK: losses})
    for term in range(2, 8):
        world = PoolWorld(term=term)
        world.add_executor("x")
        job = world.add_job(ONE, progress=progress)
        for _ in range(40):
            world.now += 0.5
            world.report_tasks("x")
            if world.starts():
                return
        progress = job.progress
    raise AssertionError("nothing was started in 120 s")


# Guards against a long-running task that stays away for as long as a silence
# is unexplained, as late losses that don't count hold it back.
def test_late_losses_do_not_hold_a_long_running_task_back() -> None:
    losses = [proved(name) for name in "abcd"]
    losses.append(unproved("e", "h-e"))
    for record in losses:
        record.age_ms = 20_000
    progress = ProgressRecord(begun_term=1, crashes={TASK: losses})
    world = PoolWorld(term=2)
    world.add_executor("x")
    world.add_job(
        [StepSpec(count=1, cpu_millis=1000, lasts=True)], progress=progress
    )
    since = world.now
    while not world.starts():
        world.now += 0.1
        world.report_tasks("x")
        assert world.now - since < 6.0
