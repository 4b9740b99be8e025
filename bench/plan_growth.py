"""Measures how the time of one plan of a pool's owner grows.

Each case builds the schedule of a pool, without a network or a store, and
plans once in the state that its name describes:

* `waiting`: a job waits for room.
* `labelled`: the same, for executors with a label.
* `gang`: a gang waits for more room than there is.
* `rack`: three executors have crashed at once under a job, as with a rack.
* `suspects`: the same, one after the other, so that its tasks are suspects.
* `overdue`: the same, when they have waited for isolation for too long.
* `takeover`: a new owner reads that job, and hears of its executors.
* `drain`: a tenth of the executors is drained under a long-running job.

    python -m bench.plan_growth
    python -m bench.plan_growth --cases suspects --tasks 5000

The figures are milliseconds of processor time of the slowest of some plans,
with the smallest of `--repeat` runs printed.
"""

from __future__ import annotations

import argparse
import time
from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.registry import Registry
from lycheelug.workloads import (
    ProgressRecord,
    Resources,
    StartOrder,
    StepSpec,
)
from tests.pool_world import PoolWorld

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    # Yields after each part of the work that is timed.
    Case = Callable[[int, int], Iterator[None]]

CASES: Final[Registry[Case]] = Registry("case")
# Tasks of the job and executors of the pool.
SIZES: Final = ((1_000, 7), (2_000, 7), (5_000, 7), (1_000, 1_300))
LARGEST: Final = ((2_000, 1_300), (5_000, 1_300))
CAPACITY: Final = Resources(64_000, 128_000, 0)
CRASHED: Final = 3
LABEL: Final = "gpu-rack"
PLANS: Final = 3


def _world(executors: int, term: int = 1) -> PoolWorld:
    """Return a pool of some executors that have reported."""
    world = PoolWorld(term)
    for number in range(executors):
        world.add_executor(f"x{number:04d}", capacity=CAPACITY)
    return world


def _step(tasks: int, executors: int) -> StepSpec:
    """Return a step whose tasks take up the executors to five sixths."""
    cpu = CAPACITY.cpu_millis * executors * 5 // (6 * tasks)
    return StepSpec(tasks, min(cpu, CAPACITY.cpu_millis), estimate_ms=6000)


def _start_all(world: PoolWorld) -> None:
    """Plan until nothing more is started, and answer each start."""
    while True:
        orders = world.plan()
        for order in orders:
            if isinstance(order, StartOrder):
                world.answer(order)
        if not orders:
            return
        _report(world)


def _report(world: PoolWorld) -> None:
    """Let all executors report what runs on them."""
    world.now += 0.1
    for name, view in world.schedule.executors.items():
        if view.last_report_at is not None:
            view.record_lease(world.now, world.schedule.lease_s)
            world.report_tasks(
                name, list(view.runs), percent=50, born_ms=view.born_ms
            )


def _plans(world: PoolWorld) -> Iterator[None]:
    """Time some plans, 0.1 s apart, whose starts are answered."""
    for _ in range(PLANS):
        _report(world)
        yield
        orders = world.schedule.plan(world.now, world.now, 0)
        yield
        world.store_crashes()
        for order in orders:
            if isinstance(order, StartOrder):
                world.answer(order)


@CASES.register("waiting")
def _waiting(tasks: int, executors: int) -> Iterator[None]:
    """Time plans beside a job that waits for room."""
    world = _world(executors)
    world.add_job([StepSpec(executors, CAPACITY.cpu_millis)], "a" * 16)
    _start_all(world)
    world.add_job([_step(tasks, executors)])
    yield from _plans(world)


@CASES.register("labelled")
def _labelled(tasks: int, executors: int) -> Iterator[None]:
    """Time plans beside a job that waits for a label."""
    world = _world(executors)
    step = _step(tasks, executors)
    step.required_label = LABEL
    world.add_job([step])
    yield from _plans(world)


@CASES.register("gang")
def _gang(tasks: int, executors: int) -> Iterator[None]:
    """Time plans beside a gang that lacks room for one member."""
    world = _world(executors)
    cpu = CAPACITY.cpu_millis * executors // tasks
    world.add_job([StepSpec(tasks, max(cpu, 1), is_gang=True)])
    world.add_job([StepSpec(1, CAPACITY.cpu_millis)], "a" * 16)
    (view, *_) = world.schedule.executors.values()
    view.backoff_until = world.now + 60.0
    yield from _plans(world)


def _crashed(tasks: int, executors: int, apart_s: float = 0.4) -> PoolWorld:
    """Return a pool of which three executors have just crashed.

    They were found to be silent so many seconds apart.
    """
    world = _world(executors)
    world.add_job([_step(tasks, executors)])
    _start_all(world)
    busiest = sorted(
        world.schedule.executors.values(), key=lambda view: -len(view.runs)
    )
    world.now += 0.3
    for view in busiest[:CRASHED]:
        world.schedule.crashes.record_silence(
            world.schedule, view, world.now, world.now
        )
        view.last_report_at = None
        world.now += apart_s
    for view in busiest[:CRASHED]:
        world.report_tasks(view.executor_id, born_ms=2)
    world.store_crashes()
    return world


@CASES.register("rack")
def _rack(tasks: int, executors: int) -> Iterator[None]:
    """Time plans right after a rack was lost."""
    yield from _plans(_crashed(tasks, executors, apart_s=0.0))


@CASES.register("suspects")
def _suspects(tasks: int, executors: int) -> Iterator[None]:
    """Time plans right after the crashes."""
    yield from _plans(_crashed(tasks, executors))


@CASES.register("overdue")
def _overdue(tasks: int, executors: int) -> Iterator[None]:
    """Time plans two seconds after the crashes."""
    world = _crashed(tasks, executors)
    world.now += 2.0
    yield from _plans(world)


@CASES.register("takeover")
def _takeover(tasks: int, executors: int) -> Iterator[None]:
    """Time what the next owner reads and hears, and its first plans."""
    world = _crashed(tasks, executors)
    (job,) = world.schedule.jobs.values()
    progress = msgspec.json.decode(
        msgspec.json.encode(job.progress), type=ProgressRecord
    )
    later = PoolWorld(term=2, earlier_leases_end_at=world.now)
    later.now = world.now
    for view in world.schedule.executors.values():
        later.add_executor(
            view.executor_id, has_reported=False, capacity=CAPACITY
        )
    yield
    later.add_job(job.record.steps, progress=progress)
    yield
    for view in world.schedule.executors.values():
        yield
        later.report_tasks(
            view.executor_id, list(view.runs), born_ms=view.born_ms
        )
        yield
    yield from _plans(later)


@CASES.register("drain")
def _drain(tasks: int, executors: int) -> Iterator[None]:
    """Time plans while a tenth of the executors is drained."""
    world = _world(executors)
    step = _step(tasks, executors)
    step.lasts = True
    step.may_miss = tasks // 10
    world.add_job([step])
    _start_all(world)
    world.now += 2.0
    _report(world)
    for name, view in world.schedule.executors.items():
        world.report_tasks(name, list(view.runs), percent=100)
    views = list(world.schedule.executors.values())
    for view in views[: max(1, executors // 10)]:
        view.drain_order = "1"
    yield from _plans(world)


def _slowest_ms(name: str, tasks: int, executors: int) -> float:
    """Return the longest time between an odd and an even yield in ms."""
    longest = 0.0
    steps = CASES.get(name)(tasks, executors)
    for _ in steps:
        began = time.process_time()
        next(steps)
        longest = max(longest, time.process_time() - began)
    return longest * 1000


def main() -> None:
    """Print a line for each case and size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--cases", nargs="*", default=list(CASES))
    parser.add_argument("--tasks", type=int, default=0)
    parser.add_argument("--executors", type=int, default=7)
    parser.add_argument("--largest", action="store_true")
    parser.add_argument("--repeat", type=int, default=1)
    arguments = parser.parse_args()
    sizes = SIZES + (LARGEST if arguments.largest else ())
    if arguments.tasks:
        sizes = ((arguments.tasks, arguments.executors),)
    for name in arguments.cases:
        for tasks, executors in sizes:
            slowest = min(
                _slowest_ms(name, tasks, executors)
                for _ in range(arguments.repeat)
            )
            print(
                f"{name:9} {tasks:5} tasks {executors:5} executors: "
                f"{slowest:9.1f} ms",
                flush=True,
            )


if __name__ == "__main__":
    main()
