"""Measures what a pool's owner holds in memory of its jobs.

Run with `python -m bench.job_memory`; docs/CAPACITY.md uses the results.
Each case builds the schedule of a pool from stored rows, as an owner does, at
three sizes.  The slope is that of a least-squares line through the sizes.
"""

from __future__ import annotations

import argparse
import sys
from typing import TYPE_CHECKING, Final

import msgspec

from bench.slopes import KIBIBYTE, measure_kib, slope
from lycheelug.jobservice.tables import JOB_PREFIX, decode_job
from lycheelug.registry import Registry
from lycheelug.store.rows import StoredRow
from lycheelug.workloads import (
    JobRecord,
    Occurrences,
    PolicyRecord,
    PoolSchedule,
    ProgressRecord,
    QueuePolicy,
    Resources,
    StepSpec,
)
from lycheelug.workloads.executors import ExecutorInfo
from lycheelug.workloads.incarnations import EndedIncarnations

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["main"]

POOL: Final = "quotes"
TERM: Final = 7
UNIX_MS: Final = 1_800_000_000_000
SIZES: Final = (100, 200, 400)
STEP: Final = StepSpec(1, 500, 50, estimate_ms=300)
PLACEMENT: Final = "together"

# Builds what one case holds at a size.
CASES: Final[Registry[Callable[[int], object]]] = Registry("case")


def _build(
    jobs: int,
    record: JobRecord,
    progress: ProgressRecord | None = None,
) -> tuple[PoolSchedule, list[StoredRow]]:
    """Return a schedule with some jobs, and what its replica keeps."""
    schedule = PoolSchedule(POOL, TERM, 3.5, 0.0, PLACEMENT)
    rows: list[StoredRow] = []
    value = msgspec.json.encode(record)
    stored = msgspec.json.encode(progress) if progress is not None else b""
    for number in range(jobs):
        job_id = f"{number:016x}"
        decoded = decode_job(value)
        assert decoded is not None
        restored = None
        if stored:
            restored = msgspec.json.decode(stored, type=ProgressRecord)
        policy = QueuePolicy.of(record.queue, POOL, PolicyRecord(3))
        schedule.add_job(job_id, decoded, policy, restored, UNIX_MS, 0.0)
        rows.append(StoredRow("jobs-07", POOL, JOB_PREFIX + job_id, b"", 9))
    schedule.ready.ordered(UNIX_MS, schedule.run_times)
    return schedule, rows


def _record(
    *steps: StepSpec, payload: str = "", repeats: int = 0
) -> JobRecord:
    """Return the record of a job."""
    schedule = Occurrences(repeats, 0, 3_600_000) if repeats else None
    return JobRecord(
        "r-1f", payload, list(steps), UNIX_MS, schedule, PolicyRecord(3)
    )


@CASES.register("one")
def build_small(jobs: int) -> object:
    """Add jobs of one task that wait."""
    return _build(jobs, _record(STEP))


@CASES.register("payload")
def build_payloads(jobs: int) -> object:
    """Add the same with payloads of 3,900 bytes."""
    return _build(jobs, _record(STEP, payload="x" * 3_900))


@CASES.register("wide")
def build_wide(jobs: int) -> object:
    """Add jobs of 5,000 tasks that wait."""
    step = msgspec.structs.replace(STEP, count=5_000)
    return _build(jobs, _record(step))


@CASES.register("steps")
def build_steps(jobs: int) -> object:
    """Add jobs of 1,000 steps that wait."""
    steps = [msgspec.structs.replace(STEP) for _ in range(1_000)]
    return _build(jobs, _record(*steps))


@CASES.register("overdue")
def build_overdue(jobs: int) -> object:
    """Add jobs with 10,000 occurrences that are due."""
    return _build(jobs, _record(STEP, repeats=10_000))


@CASES.register("ended")
def build_ended(jobs: int) -> object:
    """Add jobs of 5,000 tasks that were cancelled."""
    step = msgspec.structs.replace(STEP, count=5_000)
    built = _build(jobs, _record(step, payload="x" * 3_900))
    schedule = built[0]
    for job in list(schedule.jobs.values()):
        schedule.cancel_job(job.job_id, UNIX_MS)
        job.is_dirty = False
        schedule.job_index.record_stored(job)
    schedule.job_index.ended.clear()
    schedule.ended_jobs.take_over(schedule)
    schedule.ready.ordered(UNIX_MS, schedule.run_times)
    return built


@CASES.register("failed-tasks")
def build_failures(tasks: int) -> object:
    """Add tasks to a job that have failed and have a checkpoint."""
    progress = ProgressRecord(TERM)
    for number in range(tasks):
        key = f"0.0.{number}"
        progress.failures[key] = 1
        progress.counted_runs[key] = [7_001]
        progress.checkpoints[key] = f"{number:016x}"
    step = msgspec.structs.replace(STEP, count=5_000)
    return _build(1, _record(step), progress)


@CASES.register("running")
def build_runs(tasks: int) -> object:
    """Start tasks on one executor."""
    step = StepSpec(5_000)
    built = _build(1, _record(step))
    schedule = built[0]
    view = schedule.observe_executor(
        ExecutorInfo("x0", POOL, "10.0.0.1:1", Resources(64_000, 64_000, 0))
    )
    (job,) = schedule.jobs.values()
    for task in job.tasks()[:tasks]:
        schedule.place(task, view, 0.0)
    return built


@CASES.register("ended-executors")
def build_incarnations(lives: int) -> object:
    """Remove executors that have ended."""
    ended = EndedIncarnations()
    schedule = PoolSchedule(POOL, TERM, 3.5, 0.0, PLACEMENT)
    for number in range(lives):
        info = ExecutorInfo(
            f"x{number:06d}", POOL, "10.0.0.1:1", Resources(1, 1, 0)
        )
        info.born_ms = UNIX_MS + number
        ended.add(schedule.observe_executor(info))
        schedule.executors.clear()
    return ended


def main() -> None:
    """Measure and print the slope of each case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--cases", nargs="*", default=list(CASES))
    for name in parser.parse_args().cases:
        build = CASES.get(name)
        kib = [measure_kib(build, size)[1] for size in SIZES]
        summary = (build.__doc__ or "").splitlines()[0]
        each = slope(SIZES, kib) * KIBIBYTE
        sys.stdout.write(f"{name:16} {each:12,.0f} B each  {summary}\n")


if __name__ == "__main__":
    main()
