"""Tests of what proves a loss, at this owner and at later ones."""

from __future__ import annotations

import msgspec

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
