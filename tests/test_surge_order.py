"""Tests of the placement order in a surge that exceeds the pool's capacity.

Load pattern: for some seconds, jobs arrive at up to five times the mean
rate, faster than they can be processed, and rarely after that.  Ordered by
deadline alone, every job in the second half of the surge would start just
too late.  If jobs that are late anyway go last, later arrivals can still
meet their deadlines.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from lycheelug.workloads import EndKind, StepSpec
from tests.pool_world import PoolWorld

if TYPE_CHECKING:
    from lycheelug.workloads import Job, Task

# One task of one second per job and four at once: four jobs per second.
WORK_MS = 1000
STEP = StepSpec(count=1, cpu_millis=1000, estimate_ms=WORK_MS)
# Two steps of one second each.
CHAIN = [
    STEP,
    StepSpec(count=1, cpu_millis=1000, estimate_ms=WORK_MS, depends_on=[0]),
]
TICK_MS = 250


def count_in_time(
    arrivals: list[int],
    steps: list[StepSpec],
    allowed_ms: int,
    knows_time: bool,
) -> int:
    """Return the number of jobs that meet their deadline.

    With `knows_time`, the schedule gets the current time, so jobs that can't
    meet their deadline go last; otherwise all are ordered by deadline.
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
        active = [(each[1].name, each[2]) for each in running]
        world.report_tasks("x", running=active, ended=ended)
        for job_id, job in jobs.items():
            if job.is_final:
                ended_ms.setdefault(job_id, unix_ms)
        world.unix_ms = unix_ms if knows_time else 0
        for order in world.starts():
            world.answer(order)
            running.append((unix_ms, order.task, order.run))
    in_time = 0
    for job_id, accepted_at_ms in accepted.items():
        in_time += ended_ms[job_id] - accepted_at_ms <= allowed_ms
    return in_time


@pytest.mark.parametrize("surge", [2, 3, 5])
def test_more_jobs_are_in_time_if_late_jobs_go_last(surge: int) -> None:
    arrivals = [surge] * 16 + [0, 0, 0, 1] * 8
    # Deadline: stretch 1 * 1 s + 1 s.
    in_time = count_in_time(arrivals, [STEP], 2000, knows_time=True)
    assert in_time > count_in_time(arrivals, [STEP], 2000, knows_time=False)


@pytest.mark.parametrize("surge", [1, 2, 3])
def test_chains_that_can_meet_their_deadline_go_first(surge: int) -> None:
    """A step that starts in time is useless if the next one is too late.

    Load pattern: a surge of two-step jobs, at two to six times the pool's
    capacity.
    """
    arrivals = [surge] * 16 + [0, 0, 0, 1] * 4
    # Deadline: stretch 1 * 2 s + 1 s.
    in_time = count_in_time(arrivals, CHAIN, 3000, knows_time=True)
    assert in_time > count_in_time(arrivals, CHAIN, 3000, knows_time=False)
