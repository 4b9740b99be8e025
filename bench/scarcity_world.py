"""A pool schedule with simulated executors whose demand comes by turns.

Time advances in ticks; nothing waits.  Executors answer starts and report
ends one tick later.
"""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, Final

from lycheelug.scarcity import find_retry_after_s
from lycheelug.workloads import (
    EndKind,
    EndReport,
    ExecutorInfo,
    JobRecord,
    PoolSchedule,
    QueuePolicy,
    Resources,
    RunReport,
    StartAnswer,
    StartOrder,
    StepSpec,
    TaskReport,
    apply_start_answer,
    apply_task_report,
    make_poll,
)
from lycheelug.workloads.forecast import DeadlineForecast
from lycheelug.workloads.model import critical_path_s
from lycheelug.workloads.room import measure_room

if TYPE_CHECKING:
    from lycheelug.workloads import ExecutorView, Job, Task

__all__ = ["Kind", "Order", "ScarcityWorld", "make_orders"]

TICK_S: Final = 0.02
LEASE_S: Final = 30.0
HOSTS: Final = 12
HOST_CPU: Final = 32_000
CAPACITY: Final = Resources(HOST_CPU, 131_072, 0)
TURN_S: Final = 4.0
QUIET_S: Final = 8.0
TURNS: Final = 3
QUIET_LOAD: Final = 0.05
LATE_LIMIT: Final = 3.0
UNEVEN: Final = 0.15


class Kind:
    """A kind of job: a queue and the distributions of its jobs."""

    __slots__ = (
        "cpu",
        "estimate_spread",
        "objective_s",
        "queue",
        "run_s",
        "share",
        "steps",
        "stretch",
    )

    def __init__(
        self,
        queue: str,
        share: float,
        steps: float,
        run_s: float,
        cpu: float,
        estimate_spread: float,
        stretch: float = 1.6,
        objective_s: float = 0.6,
    ) -> None:
        self.queue = queue
        # Its share of the work.
        self.share = share
        self.steps = steps
        self.run_s = run_s
        self.cpu = cpu
        self.estimate_spread = estimate_spread
        self.stretch = stretch
        self.objective_s = objective_s

    @property
    def mean_work(self) -> float:
        """The mean work of a job in core-seconds."""
        return self.steps * 8.0 * self.run_s * self.cpu / 1000


KINDS: Final = (
    Kind("preview", 0.7, 1.6, 0.8, 3100.0, 0.9),
    Kind("render", 0.3, 2.0, 1.7, 6700.0, 0.2),
)


class Order:
    """A job to submit, with what really happens."""

    __slots__ = (
        "allowed_s",
        "arrives_at",
        "ended_at",
        "is_rejected",
        "kind",
        "record",
        "run_s",
        "work",
    )

    def __init__(
        self,
        kind: Kind,
        arrives_at: float,
        record: JobRecord,
        run_s: list[list[float]],
    ) -> None:
        self.kind = kind
        self.arrives_at = arrives_at
        self.record = record
        # By step and task.
        self.run_s = run_s
        path_s = critical_path_s(record.steps, [max(step) for step in run_s])
        self.allowed_s = kind.stretch * path_s + kind.objective_s
        # In core-seconds.
        self.work = 0.0
        for step, times in zip(record.steps, run_s, strict=True):
            self.work += sum(times) * step.cpu_millis / 1000
        self.ended_at = math.inf
        self.is_rejected = False

    @property
    def is_in_time(self) -> bool:
        """Whether it was completed within its objective."""
        return self.ended_at <= self.arrives_at + self.allowed_s

    @property
    def is_late(self) -> bool:
        """Whether it was completed later, but is still of value."""
        limit_s = LATE_LIMIT * self.allowed_s
        return not self.is_in_time and (
            self.ended_at <= self.arrives_at + limit_s
        )

    @property
    def worth(self) -> float:
        """Its value if it is in time: a part grows with its work."""
        return 0.3 + 0.7 * min(4.0, self.work / self.kind.mean_work)


def make_orders(load: float, seed: int) -> list[Order]:
    """Return the jobs of some turns with a load relative to the capacity."""
    rng = random.Random(seed)
    cores = HOSTS * HOST_CPU / 1000
    orders: list[Order] = []
    for kind in KINDS:
        rate = load * kind.share * cores / kind.mean_work
        at = 0.0
        end = TURNS * (TURN_S + QUIET_S)
        while at < end:
            at += rng.expovariate(rate)
            is_turn = at % (TURN_S + QUIET_S) < TURN_S
            if is_turn or rng.random() < QUIET_LOAD:
                orders.append(_make_order(kind, at, rng))
    return sorted(orders, key=lambda order: order.arrives_at)


def _make_order(kind: Kind, at: float, rng: random.Random) -> Order:
    """Return one job."""
    base_s = _draw(rng, kind.run_s, 0.5)
    estimate_ms = round(base_s * _draw(rng, 1.0, kind.estimate_spread) * 1000)
    steps: list[StepSpec] = []
    run_s: list[list[float]] = []
    for number in range(max(1, round(_draw(rng, kind.steps, 0.4)))):
        count = min(32, max(1, round(_draw(rng, 8.0, 0.6))))
        step = StepSpec(
            count,
            min(HOST_CPU, round(_draw(rng, kind.cpu, 0.45))),
            estimate_ms=max(10, estimate_ms),
            depends_on=[number - 1] if number else [],
        )
        steps.append(step)
        run_s.append([_draw(rng, base_s, UNEVEN) for _ in range(count)])
    record = JobRecord(kind.queue, "", steps, round(at * 1000))
    return Order(kind, at, record, run_s)


def _draw(rng: random.Random, mean: float, spread: float) -> float:
    """Return a value of a log-normal distribution."""
    return mean * math.exp(rng.gauss(-spread * spread / 2, spread))


class ScarcityWorld:
    """A pool that serves a list of jobs in some order."""

    __slots__ = (
        "_ends",
        "_numbers",
        "_orders",
        "_rejects",
        "_schedule",
        "now",
    )

    def __init__(self, ordering: str, rejects: bool = False) -> None:
        self.now = 0.0
        self._rejects = rejects
        self._schedule = PoolSchedule(
            "pool",
            1,
            LEASE_S,
            0.0,
            ordering=ordering,
        )
        self._orders: dict[str, Order] = {}
        # By executor: its runs with the times at which they end.
        self._ends: dict[str, list[tuple[float, Task, int]]] = {}
        self._numbers: dict[str, int] = {}
        for number in range(HOSTS):
            info = ExecutorInfo(
                f"x{number}", "pool", "10.0.0.1:1", CAPACITY, born_ms=1
            )
            self._schedule.observe_executor(info).is_recorded = True
            self._ends[info.executor_id] = []
            self._numbers[info.executor_id] = 0

    def play(self, orders: list[Order], limit_s: float = 90.0) -> None:
        """Submit the jobs, and run until all have ended."""
        waiting = list(reversed(orders))
        started: list[StartOrder] = []
        while self.now < limit_s:
            self.now += TICK_S
            while waiting and waiting[-1].arrives_at <= self.now:
                self._submit(waiting.pop())
            self._answer(started)
            self._report()
            if not waiting and not self._schedule.job_index.unfinished:
                return
            unix_ms = round(self.now * 1000)
            planned = self._schedule.plan(self.now, self.now, unix_ms)
            started = [
                each for each in planned if isinstance(each, StartOrder)
            ]

    def _submit(self, order: Order) -> None:
        """Add a job whose begun mark is stored."""
        kind = order.kind
        job_id = f"{len(self._orders):016x}"
        self._orders[job_id] = order
        policy = QueuePolicy(
            kind.queue, "pool", 0, 3, kind.stretch, kind.objective_s
        )
        unix_ms = round(self.now * 1000)
        if self._rejects:
            forecast = DeadlineForecast(
                order.record, policy, self._schedule.run_times, unix_ms
            )
            retry_after_s = find_retry_after_s(
                measure_room(self._schedule, 0, unix_ms),
                job_id,
                unix_ms,
                forecast.objective_ms,
                forecast.late_limit_ms,
                max(forecast.remaining_s) * 1000,
            )
            order.is_rejected = retry_after_s is not None
            if order.is_rejected:
                return
        job = self._schedule.add_job(
            job_id, order.record, policy, None, unix_ms, self.now
        )
        job.mark_begun(1)
        job.begin_is_stored = True

    def _answer(self, started: list[StartOrder]) -> None:
        """Let the executors start the runs."""
        for order in started:
            view = self._schedule.executors[order.executor_id]
            apply_start_answer(
                self._schedule,
                view,
                order.task,
                order.run,
                StartAnswer.STARTED,
                self.now,
            )
            name = order.task.name
            run_s = self._orders[name.job].run_s[name.step][name.number]
            self._ends[order.executor_id].append(
                (self.now + run_s, order.task, order.run)
            )

    def _report(self) -> None:
        """Deliver all reports."""
        for executor_id, view in self._schedule.executors.items():
            self._report_one(executor_id, view)

    def _report_one(self, executor_id: str, view: ExecutorView) -> None:
        """Deliver the report of one executor."""
        running: list[tuple[float, Task, int]] = []
        ends: list[EndReport] = []
        jobs: list[Job] = []
        for each in self._ends[executor_id]:
            ends_at, task, run = each
            if ends_at > self.now:
                running.append(each)
                continue
            self._numbers[executor_id] += 1
            number = self._numbers[executor_id]
            ends.append(EndReport(number, task.name, run, EndKind.DONE))
            jobs.append(task.job)
        self._ends[executor_id] = running
        reports = [
            RunReport(task.name, run, percent=round(self.now * 50) % 100)
            for _, task, run in running
        ]
        clock_ms = round(self.now * 1000)
        apply_task_report(
            self._schedule,
            view,
            TaskReport(clock_ms, 1, reports, ends),
            make_poll(view, self.now, self._schedule.lease_s, False),
            self.now,
            clock_ms,
        )
        view.last_acked_end = view.last_applied_end
        for job in jobs:
            if job.is_final:
                self._orders[job.job_id].ended_at = self.now
