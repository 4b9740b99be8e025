"""Tests of what proves a loss, at this owner and at later ones."""

from __future__ import annotations

import msgspec
import pytest

from lycheelug.workloads import ProgressRecord, StepSpec
from lycheelug.workloads.crash_records import CrashRecord
from tests.pool_world import PoolWorld

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
