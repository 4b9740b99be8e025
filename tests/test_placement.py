"""Tests of the placement policies."""

from __future__ import annotations

import random

import pytest

from lycheelug.workloads import EndKind, StepSpec, TaskName
from tests.pool_world import PoolWorld

ZONES = ("a", "b", "c")
HOSTS_IN_ZONE = 4


def count_hit_jobs(placement: str, seed: int) -> int:
    """Count the jobs that the loss of each zone would hit, summed over time.

    Load pattern: jobs with several tasks arrive while tasks of others end,
    so that the free capacity is fragmented.
    """
    source = random.Random(seed)
    world = PoolWorld(placement=placement)
    for zone in ZONES:
        for number in range(HOSTS_IN_ZONE):
            world.add_executor(f"{zone}{number}", zone=zone)
    running: dict[str, list[tuple[TaskName, int]]] = {}
    hit = 0
    for number in range(60):
        step = StepSpec(count=source.randint(2, 6), cpu_millis=900)
        world.add_job([step], job_id=f"{number:016x}")
        ended: dict[str, list[tuple[TaskName, int, EndKind]]] = {}
        for order in world.starts():
            world.answer(order)
            running.setdefault(order.executor_id, []).append(
                (order.task.name, order.run)
            )
        for name, runs in running.items():
            for run in list(runs):
                if source.random() < 0.25:
                    runs.remove(run)
                    ended.setdefault(name, []).append((*run, EndKind.DONE))
        world.now += 0.3
        for name in world.schedule.executors:
            world.report_tasks(name, running.get(name), ended.get(name))
        for zone in ZONES:
            jobs = {
                task.job
                for name, runs in running.items()
                if name.startswith(zone)
                for task, _ in runs
            }
            hit += len(jobs)
    return hit


@pytest.mark.parametrize("seed", range(5))
def test_zone_loss_hits_fewer_jobs_if_each_keeps_to_one_zone(
    seed: int,
) -> None:
    assert count_hit_jobs("together", seed) < count_hit_jobs("pack", seed)
    assert count_hit_jobs("together", seed) < count_hit_jobs("spread", seed)


def test_job_extends_to_another_zone_if_its_own_is_full() -> None:
    world = PoolWorld()
    world.add_executor("a0", zone="a")
    world.add_executor("b0", zone="b")
    world.add_job([StepSpec(count=5, cpu_millis=1000)])
    used = [order.executor_id for order in world.starts()]
    assert used.count("a0") == 4
    assert used.count("b0") == 1
