"""Compares a pool's schedule with its reference over random inputs."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

import pytest

from lycheelug.workloads import (
    EndKind,
    EndReport,
    ExecutorInfo,
    JobRecord,
    Occurrences,
    PaceOrder,
    PoolSchedule,
    QueuePolicy,
    Resources,
    RunReport,
    StartAnswer,
    StartOrder,
    StepSpec,
    StopOrder,
    TaskName,
    TaskReport,
    apply_start_answer,
    apply_stop_answer,
    apply_task_report,
    make_poll,
)
from tests.reference_schedule import (
    ReferenceSchedule,
    jobs_to_begin,
    waiting_tasks,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    Order = StartOrder | StopOrder | PaceOrder

ROUNDS: Final = 250
LEASE_S: Final = 3.5
QUEUES: Final = [
    QueuePolicy("urgent", "pool", 0, 2, 1.5, 0.3),
    QueuePolicy("plain", "pool", 1, 3, 1.2, 1.0),
    QueuePolicy("hinted", "pool", 1, 3, 2.0, 1.0, needs_placement_hint=True),
]


def random_steps(rng: random.Random) -> list[StepSpec]:
    """Return the steps of a job of a random shape."""
    steps: list[StepSpec] = []
    for number in range(rng.randint(1, 3)):
        shape = rng.random()
        step = StepSpec(
            rng.randint(1, 8),
            rng.choice([0, 250, 500, 1000, 1000, 2500]),
            rng.choice([0, 128, 512, 512, 3000]),
            estimate_ms=rng.choice([0, 200, 500, 2000]),
        )
        if number and rng.random() < 0.6:
            step.depends_on = [rng.randrange(number)]
        if shape < 0.1:
            step.required_label = "a"
        elif shape < 0.2:
            step.data_rack = rng.choice(["r0", "r1"])
        elif shape < 0.3:
            step.max_per_executor = rng.randint(1, 2)
        elif shape < 0.4:
            step.is_gang = True
            step.count = rng.randint(2, 4)
        elif shape < 0.5:
            step.may_duplicate = True
        elif shape < 0.58:
            step.fills = True
        steps.append(step)
    if rng.random() < 0.2:
        for step in steps:
            step.lasts = not step.fills
            step.target_ms = 50
            step.may_miss = rng.randint(0, 2)
    return steps


def store_crashes(schedule: PoolSchedule) -> None:
    """Let the next starts depend on the crash records."""
    for job in schedule.jobs.values():
        job.has_unsaved_crashes = False


class TwinWorld:
    """Two schedules that get the same random inputs at the same times."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.unix_ms = 1_000_000
        placement = self.rng.choice(["together", "together", "pack", "spread"])
        earlier = self.now + self.rng.choice([0.0, 2.0])
        self.schedules = (
            PoolSchedule("pool", 2, LEASE_S, earlier, placement),
            ReferenceSchedule("pool", 2, LEASE_S, earlier, placement),
        )
        self.last_ends: dict[str, list[EndReport]] = {}
        self.end_counts: dict[str, int] = {}
        self.jobs = 0
        self.orders: list[Order] = []
        self.starts = 0

    def apply(self, change: Callable[[PoolSchedule], object]) -> None:
        """Apply a change to both schedules."""
        for schedule in self.schedules:
            change(schedule)

    def step(self) -> None:
        """Advance the time, apply random inputs, and compare the plans."""
        rng = self.rng
        elapsed_s = rng.choice([0.0, 0.005, 0.02, 0.1, 0.4])
        self.now += elapsed_s
        self.unix_ms += int(1000 * elapsed_s)
        if rng.random() < 0.02:
            # The wall clock is set back.
            self.unix_ms -= rng.randint(1, 3000)
        for _ in range(rng.randint(0, 3)):
            rng.choice(
                [
                    self.add_job,
                    self.add_job,
                    self.observe_executor,
                    self.cancel_job,
                    self.lose_executor,
                    self.drain_executor,
                    self.drain_executor,
                    self.answer_hints,
                ]
            )()
        for executor_id in list(self.schedules[0].executors):
            if rng.random() < 0.3:
                self.report(executor_id)
        self.answer_orders()
        self.begin_jobs()
        self.compare_index()
        self.compare_plans()

    def add_job(self) -> None:
        rng = self.rng
        self.jobs += 1
        job_id = f"j{rng.randint(0, 9)}-{self.jobs}"
        schedule = None
        if rng.random() < 0.1:
            schedule = Occurrences(2, self.unix_ms, 300)
        policy = rng.choice(QUEUES)
        steps = random_steps(rng)
        record = JobRecord(
            policy.name,
            "",
            steps,
            self.unix_ms - rng.choice([0, 0, 500, 2000]),
            schedule,
        )

        def add(target: PoolSchedule) -> None:
            job = target.add_job(
                job_id, record, policy, None, self.unix_ms, self.now
            )
            target.open_due_occurrences(job, self.unix_ms, self.now)

        self.apply(add)

    def observe_executor(self) -> None:
        rng = self.rng
        number = rng.randint(0, 14)
        name = f"x{number}"
        labels = rng.choice([("a", "r0"), ("b", "r0"), ("a", "r1")])
        draining = rng.random() < 0.1
        size = rng.choice([4000, 8000])
        zone = f"z{number % 3}"

        def observe(schedule: PoolSchedule) -> None:
            info = ExecutorInfo(
                name,
                "pool",
                "a:1",
                Resources(size, 4096, 0),
                zone,
                labels,
                f"h{number // 2}",
                draining,
                born_ms=1,
            )
            view = schedule.observe_executor(info)
            view.is_recorded = True

        self.apply(observe)
        self.report(name)

    def cancel_job(self) -> None:
        if not self.schedules[0].jobs or self.rng.random() < 0.6:
            return
        job_id = self.rng.choice(list(self.schedules[0].jobs))
        self.apply(lambda target: target.cancel_job(job_id, self.unix_ms))
        if self.rng.random() < 0.5:
            self.apply(lambda target: target.forget_job(job_id))

    def lose_executor(self) -> None:
        if not self.schedules[0].executors:
            return
        name = self.rng.choice(list(self.schedules[0].executors))
        if self.rng.random() < 0.3:
            self.apply(lambda target: target.mark_entry_removed(name))

        def lose(schedule: PoolSchedule) -> None:
            schedule.executors[name].last_report_at = None

        self.apply(lose)

    def drain_executor(self) -> None:
        if not self.schedules[0].executors:
            return
        name = self.rng.choice(list(self.schedules[0].executors))
        order = self.rng.choice(["", "", "7"])

        def drain(schedule: PoolSchedule) -> None:
            schedule.executors[name].drain_order = order

        self.apply(drain)

    def answer_hints(self) -> None:
        names = [
            name
            for name in self.schedules[0].executors
            if self.rng.random() < 0.5
        ]
        steps = list(self.schedules[0].hint_requests)

        def answer(schedule: PoolSchedule) -> None:
            for step in steps:
                schedule.placement_hints.add_tickets(
                    step, dict.fromkeys(names, "t"), 3.0, self.now, names
                )
            schedule.hint_requests.clear()

        self.apply(answer)

    def report(self, executor_id: str) -> None:
        """Deliver a report that lists most runs and ends some."""
        rng = self.rng
        running: list[RunReport] = []
        ended = self.last_ends.setdefault(executor_id, [])
        runs = self.schedules[0].executors[executor_id].runs
        for name, number in runs:
            fate = rng.random()
            if fate < 0.75:
                running.append(
                    RunReport(
                        name,
                        number,
                        percent=rng.choice([10, 10, 50, 100]),
                        load=rng.choice([10, 60]),
                    )
                )
            elif fate < 0.95:
                kind = rng.choice(
                    [EndKind.DONE] * 6 + [EndKind.FAILED, EndKind.LAPSED]
                )
                count = self.end_counts.get(executor_id, 0) + 1
                self.end_counts[executor_id] = count
                ended.append(EndReport(count, name, number, kind, ""))
        if rng.random() < 0.05 and self.schedules[0].jobs:
            # A run that an earlier owner has started.
            job_id = rng.choice(list(self.schedules[0].jobs))
            running.append(RunReport(TaskName(job_id, 0, 0, 0), 1500))
        polled_at = self.now - rng.choice([0.0, 0.1, 0.8])
        report = TaskReport(int(self.now * 1000), 1, running, list(ended))
        self.last_ends[executor_id] = ended[-3:]

        def apply(schedule: PoolSchedule) -> None:
            view = schedule.executors[executor_id]
            call = make_poll(view, polled_at, schedule.lease_s, False)
            apply_task_report(
                schedule, view, report, call, self.now, self.unix_ms
            )

        self.apply(apply)

    def answer_orders(self) -> None:
        rng = self.rng
        orders, self.orders = self.orders, []
        for order in orders:
            if rng.random() < 0.2:
                self.orders.append(order)
                continue
            if isinstance(order, StartOrder):
                self.answer_start(order)
            elif isinstance(order, StopOrder):
                self.answer_stop(order, rng.random() < 0.8)

    def answer_start(self, order: StartOrder) -> None:
        name, run = order.task.name, order.run
        answer = self.rng.choice(
            [StartAnswer.STARTED] * 9
            + [StartAnswer.NO_ANSWER, StartAnswer.NO_ROOM]
        )

        def apply(schedule: PoolSchedule) -> None:
            view = schedule.executors.get(order.executor_id)
            job = schedule.jobs.get(name.job)
            task = job.find_task(name) if job is not None else None
            if view is not None and task is not None:
                apply_start_answer(schedule, view, task, run, answer, self.now)

        self.apply(apply)

    def answer_stop(self, order: StopOrder, answered: bool) -> None:
        def apply(schedule: PoolSchedule) -> None:
            view = schedule.executors.get(order.executor_id)
            if view is not None:
                key = (order.task_name, order.run)
                apply_stop_answer(view, key, answered, self.now)

        self.apply(apply)

    def begin_jobs(self) -> None:
        expected = jobs_to_begin(self.schedules[0])
        assert self.schedules[0].jobs_to_begin() == expected
        count = self.rng.randint(0, 8)

        def begin(schedule: PoolSchedule) -> None:
            for job in schedule.jobs_to_begin()[:count]:
                job.mark_begun(2)
                job.begin_is_stored = True

        self.apply(begin)
        if self.rng.random() < 0.5:
            self.apply(store_crashes)

    def compare_index(self) -> None:
        """Compare the index of jobs with all jobs, and store some."""
        schedule = self.schedules[0]
        jobs = list(schedule.jobs.values())
        index = schedule.job_index
        dirty = [job for job in jobs if job.is_dirty]
        assert index.dirty_in_order() == dirty
        unfinished = [job for job in jobs if not job.is_final]
        assert list(index.unfinished.values()) == unfinished
        periodic = [job for job in jobs if job.record.schedule is not None]
        assert list(index.periodic.values()) == periodic
        for job in dirty[: self.rng.randint(0, 4)]:
            job.is_dirty = False

    def compare_plans(self) -> None:
        waiting = waiting_tasks(self.schedules[0])
        assert len(self.schedules[0].ready) == len(waiting)
        verified_at = self.now - self.rng.choice([0.0, 0.0, 4.0])
        plans: list[list[tuple[object, ...]]] = []
        for schedule in self.schedules:
            orders = schedule.plan(self.now, verified_at, self.unix_ms)
            plans.append([_content(order) for order in orders])
            if schedule is self.schedules[0]:
                self.orders.extend(orders)
                for order in orders:
                    self.starts += isinstance(order, StartOrder)
        assert plans[0] == plans[1]
        hints = [schedule.hint_requests for schedule in self.schedules]
        assert hints[0] == hints[1]


def _content(order: Order) -> tuple[object, ...]:
    """Return what an order says."""
    if isinstance(order, StartOrder):
        return (order.executor_id, order.task.name, order.run, order.ticket)
    if isinstance(order, StopOrder):
        return (order.executor_id, order.task_name, order.run, order.reason)
    return (order.executor_id, order.task_name, order.run, order.percent)


@pytest.mark.parametrize("seed", range(12))
def test_plans_are_those_of_the_reference(seed: int) -> None:
    world = TwinWorld(seed)
    for _ in range(5):
        world.observe_executor()
    for _ in range(ROUNDS):
        world.step()
    assert world.starts > ROUNDS / 4
