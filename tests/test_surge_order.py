"""Load pattern: a surge of five times the mean, more than the pool holds.

Jobs come faster than they can be done for some seconds, then seldom.  In
order of objectives alone every job of the surge's second half would start
just after its objective; with late jobs last, those that come later are
still in time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from lycheelug.workloads import EndKind, StepSpec
from tests.pool_world import PoolWorld

if TYPE_CHECKING:
    from lycheelug.workloads import Job, Task

# One task a job, one second of work, four at once: four jobs a second.
WORK_MS = 1000
STEP = StepSpec(count=1, cpu_millis=1000, estimate_ms=WORK_MS)
# Two steps of one second each.
CHAIN = [
    STEP,
    StepSpec(count=1, cpu_millis=1000, estimate_ms=WORK_MS, depends_on=[0]),
]
TICK_MS = 250


def simulate(
    arrivals: list[int], steps: list[StepSpec], allowed_ms: int, known: bool
) -> int:
    """Return how many jobs are done within their allowed time.

    With `known` the schedule knows the time, so jobs that can't be in time
    any more go last; else all are ordered by their objectives.
    """
    world = PoolWorld()
    world.add_executor("x")
    running: list[tuple[int, Task, int]] = []
    accepted: dict[str, int] = {}
    jobs: dict[str, Job] = {}
    ended_ms: dict[str, int] = {}
    unix_ms = 0
    for count in [*arrivals, *([0] * 80)]:
        unix_ms += TICK_MS
        world.now += TICK_MS / 1000
        ended = []
        for entry in list(running):
            if unix_ms - entry[0] >= WORK_MS:
                running.remove(entry)
                ended.append((entry[1].name, entry[2], EndKind.DONE))
        for _ in range(count):
            job_id = f"{len(accepted):016x}"
            accepted[job_id] = unix_ms
            jobs[job_id] = world.add_job(
                steps, job_id=job_id, accepted_ms=unix_ms
            )
        alive = [(each[1].name, each[2]) for each in running]
        world.report_tasks("x", running=alive, ended=ended)
        for job_id, job in jobs.items():
            if job.is_final:
                ended_ms.setdefault(job_id, unix_ms)
        world.unix_ms = unix_ms if known else 0
        for order in world.starts():
            world.answer(order)
            running.append((unix_ms, order.task, order.run))
    in_time = 0
    for job_id, began_ms in accepted.items():
        in_time += ended_ms[job_id] - began_ms <= allowed_ms
    return in_time


@pytest.mark.parametrize("surge", [2, 3, 5])
def test_late_jobs_last_serve_more_of_a_surge_in_time(surge: int) -> None:
    arrivals = [surge] * 16 + [0, 0, 0, 1] * 8
    # stretch 1 x 1 s, and 1 s more.
    known = simulate(arrivals, [STEP], 2000, known=True)
    assert known > simulate(arrivals, [STEP], 2000, known=False)


@pytest.mark.parametrize("surge", [1, 2, 3])
def test_chains_that_can_be_in_time_are_finished_first(surge: int) -> None:
    """Load pattern: a surge of jobs with steps, twice to six times the room.

    A step that starts in time is of no use if the next one is too late.
    """
    arrivals = [surge] * 16 + [0, 0, 0, 1] * 4
    # stretch 1 x 2 s, and 1 s more.
    known = simulate(arrivals, CHAIN, 3000, known=True)
    assert known > simulate(arrivals, CHAIN, 3000, known=False)
