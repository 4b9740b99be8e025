"""The stored form of progress records, up to the limits of submission."""

from __future__ import annotations

import asyncio
import random
from typing import Final

import msgspec
import pytest

from lycheelug.jobservice.pool_owner import PoolOwner
from lycheelug.jobservice.submissions import ReplyKind
from lycheelug.jobservice.tables import (
    PROGRESS_TABLE,
    decode_progress,
    progress_names,
    read_progress,
)
from lycheelug.store.rows import RowName
from lycheelug.workloads import (
    JobLimits,
    JobRecord,
    JobState,
    Occurrences,
    PoolSchedule,
    ProgressRecord,
    QueuePolicy,
    StepSpec,
    TaskName,
    find_error,
)
from lycheelug.workloads.crash_records import CrashRecord
from lycheelug.workloads.jobs import Job, TaskState
from lycheelug.workloads.progress import COUNTED_RUNS_MAX, FINISHED_MAX
from lycheelug.workloads.progress_codec import (
    PARTS_MAX,
    ROW_BYTES_MAX,
    encode_progress,
)
from tests.crash_world import CrashWorld
from tests.job_world import POOL, JobWorld, job_id, until
from tests.pool_world import JOB
from tests.virtual_time import run_virtual

TASKS_MAX: Final = JobLimits().tasks
UNIX_MS: Final = 2_000_000_000_000
WIDE: Final = [StepSpec(count=TASKS_MAX, cpu_millis=1)]
MANY_STEPS: Final = [StepSpec(count=5, cpu_millis=1)] * 1_000
PAIRS: Final = [StepSpec(count=1), StepSpec(count=1, depends_on=[0])]


def fill(
    job: Job, rng: random.Random, crashes: int, runs: int, checkpoint: str
) -> None:
    """Fill every field of a job's progress, every second task being done."""
    progress = job.progress
    executors = [
        (f"i-{rng.randrange(1 << 32):08x}", UNIX_MS + rng.randrange(1 << 30))
        for _ in range(500)
    ]
    progress.begun_term = 7
    progress.state = JobState.RUNNING
    progress.reserved = dict(executors)
    for position, task in enumerate(job.tasks()):
        progress.failures[task.key] = rng.randint(1, max(1, runs))
        if position % 2 and not _is_last(job, task.name):
            job.record_done(task, UNIX_MS, 0.0)
            continue
        for _ in range(runs):
            progress.count_failed_run(task.key, 7_001 + rng.randrange(900))
        if checkpoint:
            progress.checkpoints[task.key] = checkpoint + task.key
        for _ in range(crashes):
            record = CrashRecord(
                *rng.choice(executors),
                rng.randrange(60_000),
                is_discounted=rng.random() < 0.5,
                is_proved=rng.random() < 0.5,
                is_isolated=rng.random() < 0.5,
                is_certain=rng.random() < 0.5,
                proof=rng.choice(["", "restarted", "lease-ended"]),
            )
            progress.crashes.setdefault(task.key, []).append(record)


def _is_last(job: Job, name: TaskName) -> bool:
    """Whether a task is the last one of its occurrence."""
    steps = job.record.steps
    return (name.step, name.number) == (len(steps) - 1, steps[-1].count - 1)


def open_job(steps: list[StepSpec], occurrences: int) -> Job:
    """Return a job of which as much is open as the limits allow."""
    schedule = Occurrences(occurrences) if occurrences > 1 else None
    record = JobRecord("q", "s" * 4_000, steps, UNIX_MS, schedule)
    assert find_error(record, JobLimits()) is None
    policy = QueuePolicy("q", POOL, max_attempts=1_000)
    job = Job(JOB, record, policy, None)
    job.open_due_occurrences(UNIX_MS, 0.0)
    return job


# Guards against a job that fails because its own progress record is larger
# than a row.
@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(
    ("steps", "occurrences"),
    [
        pytest.param(WIDE, 1, id="wide"),
        pytest.param(MANY_STEPS, 1, id="steps"),
        pytest.param(PAIRS, 1_000_000_000, id="occurrences"),
        pytest.param([StepSpec(count=1)], 1_000_000_000, id="single"),
    ],
)
@pytest.mark.parametrize(
    ("crashes", "runs", "checkpoint"),
    [(1, 4, ""), (5, COUNTED_RUNS_MAX, ""), (2, 4, "0123456789abcdef")],
)
def test_progress_at_the_limits_of_submission_is_stored_and_read(
    steps: list[StepSpec],
    occurrences: int,
    crashes: int,
    runs: int,
    checkpoint: str,
    seed: int,
) -> None:
    job = open_job(steps, occurrences)
    assert len(job.tasks()) == TASKS_MAX
    fill(job, random.Random(seed), crashes, runs, checkpoint)
    encoded = encode_progress(job.progress)
    assert len(encoded.rows) <= 1 + PARTS_MAX
    assert max(map(len, encoded.rows)) <= ROW_BYTES_MAX
    assert encoded.omitted == ""
    progress = decode_progress(encoded.rows[0], encoded.rows[1:])
    assert progress == job.progress
    # The next owner knows each task as this one does.
    later = Job(JOB, job.record, job.policy, progress)
    later.open_due_occurrences(UNIX_MS, 0.0)
    for task in job.tasks():
        known = later.find_task(task.name)
        assert known is not None
        assert (known.state is TaskState.DONE) is (
            task.state is TaskState.DONE
        )
        assert known.failures == job.progress.failures[task.key]
        assert known.checkpoint == job.progress.checkpoints.get(task.key, "")
        assert known.crash_records == task.crash_records


# Guards against finished occurrences that take up more than a row.
def test_many_finished_occurrences_are_stored_and_read() -> None:
    job = open_job([StepSpec(count=1)], 1_000_000_000)
    first = 900_000_000
    job.progress.finished_below = first
    job.progress.finished = [first + 2 * n for n in range(1, TASKS_MAX)]
    encoded = encode_progress(job.progress)
    assert max(map(len, encoded.rows)) <= ROW_BYTES_MAX
    assert decode_progress(encoded.rows[0], encoded.rows[1:]) == job.progress


class EarlierRecord(msgspec.Struct, omit_defaults=True):
    """The fields that decide what an earlier release starts again."""

    begun_term: int = 0
    state: str = JobState.QUEUED
    done: dict[str, list[int]] = {}
    finished: list[int] = []
    finished_below: int = 0


# Guards against tasks that an earlier release would start again beside a
# newer one, as it doesn't know the further rows.
@pytest.mark.parametrize("steps", [WIDE, MANY_STEPS])
def test_first_row_tells_an_earlier_release_what_is_done(
    steps: list[StepSpec],
) -> None:
    job = open_job(steps, 1)
    fill(job, random.Random(1), 2, 4, "c" * 20)
    encoded = encode_progress(job.progress)
    assert len(encoded.rows) > 1
    earlier = msgspec.json.decode(encoded.rows[0], type=EarlierRecord)
    assert earlier.begun_term == job.progress.begun_term
    assert earlier.state == job.progress.state
    assert earlier.done == job.progress.done


def test_record_that_fits_into_a_row_is_plain_json() -> None:
    progress = ProgressRecord(2, JobState.RUNNING, {"0.0": [1, 2]})
    (row,) = encode_progress(progress).rows
    assert row == msgspec.json.encode(progress)


def _excessive_record() -> ProgressRecord:
    """Return a record that doesn't fit into all rows."""
    rng = random.Random(3)
    job = open_job(WIDE, 1)
    fill(job, rng, 5, COUNTED_RUNS_MAX, "")
    progress = job.progress
    for key in list(progress.crashes):
        progress.checkpoints[key] = rng.randbytes(300).hex()
        for _ in range(15):
            executor = rng.randbytes(90).hex()
            record = CrashRecord(executor, rng.randrange(1 << 40), 3_000)
            record.is_proved = False
            progress.crashes[key].append(record)
    return progress


# Guards against lost ends of runs, and against evidence that is left out
# before checkpoints are.
def test_excessive_record_keeps_the_ends_and_the_best_evidence() -> None:
    progress = _excessive_record()
    encoded = encode_progress(progress)
    assert len(encoded.rows) <= 1 + PARTS_MAX
    assert encoded.omitted.startswith("checkpoints")
    kept = decode_progress(encoded.rows[0], encoded.rows[1:])
    assert kept is not None
    assert kept.done == progress.done
    assert kept.failures == progress.failures
    assert kept.counted_runs == progress.counted_runs
    assert kept.checkpoints == {}
    assert kept.crashes
    for key, records in kept.crashes.items():
        proved = [each for each in progress.crashes[key] if each.is_proved]
        limit = min(len(proved), len(records))
        assert sum(each.is_proved for each in records) >= limit
        assert all(each in progress.crashes[key] for each in records)


def test_checkpoints_alone_are_left_out_if_that_is_enough() -> None:
    rng = random.Random(4)
    job = open_job(WIDE, 1)
    fill(job, rng, 1, 4, "")
    for key in job.progress.crashes:
        job.progress.checkpoints[key] = rng.randbytes(300).hex()
    encoded = encode_progress(job.progress)
    kept = decode_progress(encoded.rows[0], encoded.rows[1:])
    assert kept is not None
    assert encoded.omitted == "checkpoints"
    assert kept.crashes == job.progress.crashes


def test_record_of_an_ended_job_has_one_row() -> None:
    progress = _excessive_record()
    progress.state = JobState.COMPLETED
    (row,) = encode_progress(progress).rows
    assert len(row) <= ROW_BYTES_MAX
    kept = decode_progress(row, [])
    assert kept is not None
    assert kept.state == JobState.COMPLETED
    assert kept.done == progress.done


@pytest.mark.parametrize(
    "damage",
    [
        pytest.param(lambda parts: parts[:-1], id="missing"),
        pytest.param(lambda parts: [b"x", *parts[1:]], id="invalid"),
        pytest.param(lambda parts: [parts[0][:-9], *parts[1:]], id="cut"),
        pytest.param(lambda _: [], id="none"),
    ],
)
def test_record_with_damaged_rows_is_not_read_as_a_whole(
    damage: object,
) -> None:
    assert callable(damage)
    job = open_job(WIDE, 1)
    fill(job, random.Random(1), 2, 4, "")
    rows = encode_progress(job.progress).rows
    assert decode_progress(rows[0], damage(rows[1:])) is None
    # What a caller is told doesn't depend on the further rows.
    first = decode_progress(rows[0])
    assert first is not None
    assert first.state == JobState.RUNNING


def schedule_of(world: JobWorld, daemon: str) -> PoolSchedule:
    """Return the schedule of a daemon that owns the pool."""
    holder = world.daemons[daemon].duties.held[POOL]
    assert isinstance(holder, PoolOwner)
    return holder.schedule


async def progress_keys(world: JobWorld) -> list[str]:
    """Return the keys of all rows of progress."""
    read = await world.rows.read(PROGRESS_TABLE, POOL)
    return [row.key for row in read.unwrap().rows]


# Guards against a wide job that fails after one crash of an executor.
@pytest.mark.parametrize("tasks", [1_000, 3_000])
def test_wide_job_survives_a_crash_and_a_change_of_owner(tasks: int) -> None:
    async def run() -> None:
        world = CrashWorld()
        world.fleet.add("x0", 6.0)
        world.start_fleet()
        for name in ("e0", "e1"):
            world.start_daemon(name)
        await until(lambda: len(world.holders()) == 1)
        step = StepSpec(count=tasks, cpu_millis=1, memory_mb=1)
        assert (await world.submit("e0", 1, [step])).kind is ReplyKind.OK
        await until(lambda: len(world.fleet.started) == step.count)
        world.crashing.crash("x0")
        (holder,) = world.holders()
        job = schedule_of(world, holder).jobs[job_id(1)]
        await until(
            lambda: job.is_final or len(job.progress.crashes) == step.count
        )
        # A commit clears this, whereas `is_dirty` is cleared before it.
        await until(lambda: job.is_final or not job.has_unsaved_crashes)
        assert not job.is_final
        assert (await progress_keys(world))[0] == job_id(1)
        assert len(await progress_keys(world)) > 1
        crashes = job.progress.crashes
        await world.daemons[holder].stop()
        other = next(name for name in world.daemons if name != holder)
        await until(lambda: other in world.holders())
        await until(lambda: job_id(1) in schedule_of(world, other).jobs)
        later = schedule_of(world, other).jobs[job_id(1)]
        assert {key: len(each) for key, each in crashes.items()} == {
            key: len(each) for key, each in later.progress.crashes.items()
        }
        async with asyncio.timeout(120):
            while await world.state(other, 1) != JobState.COMPLETED:  # noqa: ASYNC110
                await asyncio.sleep(0.1)
        # The record of the completed job needs no further rows.
        assert await progress_keys(world) == [job_id(1)]
        assert not world.fleet.duplicated_tasks
        await world.stop()

    run_virtual(run())


# Guards against progress that is read with the further rows of an older
# record, and against rows that nobody removes.
def test_rows_left_behind_by_an_earlier_release_are_removed() -> None:
    async def run() -> None:
        world = JobWorld()
        world.fleet.add("x0", 30.0)
        world.start_fleet()
        service = world.start_daemon("e0")
        await until(lambda: len(world.holders()) == 1)
        assert (await world.submit("e0", 1)).kind is ReplyKind.OK
        await until(lambda: len(world.fleet.started) == 2)
        await service.stop()
        names = progress_names(job_id(1), 3) + progress_names(job_id(2), 2)
        left = [name for name in names if "/" in name.key]
        await world.rows.commit(POOL, {}, dict.fromkeys(left, b"left"))
        world.start_daemon("e1")
        await until(lambda: "e1" in world.holders())
        async with asyncio.timeout(60):
            while await world.state("e1", 1) != JobState.COMPLETED:  # noqa: ASYNC110
                await asyncio.sleep(0.1)
            while await progress_keys(world) != [job_id(1)]:  # noqa: ASYNC110
                await asyncio.sleep(0.1)
        await world.stop()

    run_virtual(run())


# Guards against ends that are never acknowledged, as in each transaction
# there is no room for some job.
def test_ends_are_acknowledged_beside_jobs_that_fill_transactions() -> None:
    async def run() -> None:
        world = JobWorld()
        for number in range(3):
            world.fleet.add(f"x{number}", 0.5)
        world.start_fleet()
        world.start_daemon("e0")
        await until(lambda: len(world.holders()) == 1)
        schedule = schedule_of(world, "e0")
        rng = random.Random(5)
        large: list[Job] = []
        for number in (1, 2, 3):
            step = StepSpec(count=1, cpu_millis=9_999_999)
            await world.submit("e0", number, [step])
            await until(lambda n=number: job_id(n) in schedule.jobs)  # type: ignore[misc]
            large.append(schedule.jobs[job_id(number)])
            large[-1].progress.checkpoints = {
                f"0.0.{index}": rng.randbytes(190).hex()
                for index in range(2_000)
            }

        async def change() -> None:
            while True:
                for job in large:
                    job.is_dirty = True
                await asyncio.sleep(0.005)

        changing = asyncio.ensure_future(change())
        for number in range(10, 20):
            reply = await world.submit("e0", number)
            assert reply.kind is ReplyKind.OK
        async with asyncio.timeout(30):
            for number in range(10, 20):
                while await world.state("e0", number) != JobState.COMPLETED:  # noqa: ASYNC110
                    await asyncio.sleep(0.1)
        # The executors forget ends that are acknowledged.
        await until(
            lambda: (
                not any(
                    executor.ended
                    for executor in world.fleet.executors.values()
                )
            ),
            5.0,
        )
        changing.cancel()
        await world.stop()

    run_virtual(run())


def test_progress_of_several_jobs_is_read_from_their_rows() -> None:
    async def run() -> None:
        world = JobWorld()
        job = open_job(WIDE, 1)
        fill(job, random.Random(1), 1, 4, "")
        rows = encode_progress(job.progress).rows
        writes: dict[RowName, bytes | None] = {
            RowName(PROGRESS_TABLE, "a"): b"{}",
            RowName(PROGRESS_TABLE, "b"): b"odd",
            RowName(PROGRESS_TABLE, "c/1"): b"left",
            RowName(PROGRESS_TABLE, "d/" + "9" * 4_400): b"",
        }
        names = progress_names(JOB, len(rows) - 1)
        writes.update(zip(names, rows, strict=True))
        await world.rows.commit(POOL, {}, writes)
        read = await world.rows.read(PROGRESS_TABLE, POOL)
        found = read_progress(read.unwrap().rows)
        assert found[JOB].progress == job.progress
        assert found[JOB].part_count == len(rows) - 1
        assert found["a"].progress == ProgressRecord()
        assert found["b"].progress is None
        assert found["c"].part_count == 1
        assert "d" not in found

    run_virtual(run())


# Guards against stored runs of occurrences that have long been finished.
def test_failed_runs_are_dropped_with_their_occurrence() -> None:
    steps = [StepSpec(count=2)]
    record = JobRecord("q", "", steps, 0, Occurrences(100_000))
    job = Job(JOB, record, QueuePolicy("q", POOL, max_attempts=9), None)
    for number in range(3 * FINISHED_MAX):
        job.open_due_occurrences(1, 0.0)
        for task in list(job.occurrences[number][0]):
            job.record_failure(task, 1, 1)
            job.record_done(task, 1, 0.0)
            # Reported once more, as the executor has moved to a new owner.
            job.record_failure(task, 1, 1)
    assert job.progress.counted_runs == {}
    assert job.progress.failures == {}


def test_failed_runs_of_one_task_are_counted_once_each() -> None:
    record = JobRecord("q", "", [StepSpec(count=1)])
    job = Job(JOB, record, QueuePolicy("q", POOL, max_attempts=99), None)
    ((task,),) = job.open_due_occurrences(1, 0.0)
    for run in range(1, 60):
        job.record_failure(task, run, 1)
        job.record_failure(task, run, 1)
        job.record_failure(task, max(1, run - 40), 1)
    assert task.failures == 59
    assert len(job.progress.counted_runs[task.key]) == COUNTED_RUNS_MAX
