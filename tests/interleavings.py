"""Random interleavings of owners, executors and the store, without I/O.

Orders and their answers are delayed, lost or executed late.  Owners crash,
freeze, lose access to the store or to single executors, and are replaced
before they notice it.  Executors crash and restart.  The simulated
executors know the actual state of all runs and check each start against it.

`python -m tests.interleavings 1 1000` simulates the seeds 1 to 1000.
"""

from __future__ import annotations

import heapq
import random
import sys
from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.jobservice.pool_owner import OWNERSHIP_VALID_S
from lycheelug.workloads import (
    ExecutorInfo,
    JobRecord,
    PoolSchedule,
    ProgressRecord,
    QueuePolicy,
    Resources,
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
from lycheelug.workloads.executors import CLOCK_DRIFT
from tests.interleaved_executor import (
    LEASE_MAX_S,
    ExecutorIncarnation,
    InvariantError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Simulation", "simulate"]

LEASE_S: Final = 3.5
ORDER_TIMEOUT_S: Final = 0.5
MAX_DELAY_S: Final = 6.0
FAULTS_END_S: Final = 40.0
SIMULATION_S: Final = 80.0
CAPACITY: Final = Resources(3000, 3000, 0)
POLICY: Final = QueuePolicy("queue", "pool", max_attempts=50)
STEPS: Final = [
    StepSpec(count=3, cpu_millis=1000, estimate_ms=1500),
    StepSpec(count=2, cpu_millis=1000, estimate_ms=1500, depends_on=[0]),
]
DUPLICABLE_STEPS: Final = [
    StepSpec(count=2, cpu_millis=1000, estimate_ms=1500, may_duplicate=True)
]


class Owner:
    """The owner of one term; it acts until it is killed."""

    def __init__(self, simulation: Simulation, term: int) -> None:
        self.simulation = simulation
        self.term = term
        self.is_up = True
        self.is_lost = False
        self.store_partitioned_until = 0.0
        self.frozen_until = 0.0
        self.partitioned_until: dict[str, float] = {}
        self.verified_at = simulation.now
        earlier_leases_end_at = (
            simulation.now + OWNERSHIP_VALID_S + LEASE_S / (1 - CLOCK_DRIFT)
        )
        self.schedule = PoolSchedule(
            "pool",
            term,
            LEASE_S,
            earlier_leases_end_at,
            lease_max_s=LEASE_MAX_S,
        )
        for job_id, value in simulation.progress.items():
            self._add(job_id, value)
        self._call_later(0.05, self._plan)
        self._call_later(0.02, self._write)
        for name in simulation.executors:
            self.schedule.observe_executor(_info(simulation.executors[name]))
            self._poll_later(name, 0.01)

    def _add(self, job_id: str, value: bytes) -> None:
        stored = msgspec.json.decode(value, type=ProgressRecord)
        known = stored if value != b"{}" else None
        steps = DUPLICABLE_STEPS if job_id.startswith("t") else STEPS
        self.schedule.add_job(
            job_id,
            JobRecord("queue", "", steps),
            POLICY,
            known,
            0,
            self.simulation.now,
        )

    def _call_later(self, wait_s: float, work: Callable[[], None]) -> None:
        """Call a function later, after any freeze, unless this owner died."""

        def run() -> None:
            if not self.is_up:
                return
            if self.simulation.now < self.frozen_until:
                self.simulation.call_later(
                    self.frozen_until - self.simulation.now, run
                )
                return
            work()

        self.simulation.call_later(
            wait_s * self.simulation.rng.uniform(0.7, 1.3), run
        )

    def _plan(self) -> None:
        self._call_later(0.1, self._plan)
        if self.is_lost:
            return
        for job_id in self.simulation.progress:
            if job_id not in self.schedule.jobs:
                # Progress is only read at the takeover of the pool.
                self._add(job_id, b"{}")
        now = self.simulation.now
        if now - self.verified_at >= OWNERSHIP_VALID_S:
            return
        for order in self.schedule.plan(now, self.verified_at):
            if isinstance(order, StartOrder):
                self._start(order)
            elif isinstance(order, StopOrder):
                self._stop(order)

    def _write(self) -> None:
        self._call_later(0.2, self._write)
        if self.is_lost or self.simulation.now < self.store_partitioned_until:
            return
        for job in self.schedule.jobs_to_begin():
            job.mark_begun(self.term)
        requested_at = self.simulation.now
        if self.simulation.term != self.term:
            self.is_lost = True
            return
        for job in self.schedule.jobs.values():
            if job.is_dirty:
                job.is_dirty = False
                job.has_unsaved_crashes = False
                self.simulation.progress[job.job_id] = msgspec.json.encode(
                    job.progress
                )
            if job.progress.begun_term:
                job.begin_is_stored = True
        for view in self.schedule.executors.values():
            view.last_acked_end = view.last_applied_end
            view.is_recorded = True
        self.verified_at = requested_at

    def _choose_fate(self, name: str) -> str:
        """Choose the fate of a call to an executor.

        A "late" call is executed late, a "mute" one is executed and not
        answered, a "lost" one is not executed.
        """
        if self.simulation.now < self.partitioned_until.get(name, 0.0):
            return "lost"
        if self.simulation.now > FAULTS_END_S:
            return "fine"
        draw = self.simulation.rng.random()
        if draw < 0.04:
            return "late"
        if draw < 0.07:
            return "mute"
        return "lost" if draw < 0.10 else "fine"

    def _call(
        self,
        name: str,
        act: Callable[[ExecutorIncarnation], None],
        apply: Callable[[], None],
    ) -> None:
        """Call `act` on an executor, and `apply` for its answer or timeout."""
        fate = self._choose_fate(name)
        rng = self.simulation.rng

        def deliver() -> None:
            act(self.simulation.executors[name])

        if fate in ("fine", "mute"):
            self.simulation.call_later(rng.uniform(0.001, 0.05), deliver)
        elif fate == "late":
            self.simulation.call_later(rng.uniform(0.5, MAX_DELAY_S), deliver)
        wait_s = ORDER_TIMEOUT_S
        if fate == "fine":
            wait_s = rng.uniform(0.08, 0.2)
        self._call_later(wait_s, apply)

    def _start(self, order: StartOrder) -> None:
        view = self.schedule.executors[order.executor_id]
        clock_ms = view.clock.estimate_ms(self.simulation.now)
        assert clock_ms is not None
        deadline_ms = clock_ms + int(LEASE_S * 1000)
        task = order.task
        sent_at = self.simulation.now
        answers: list[tuple[StartAnswer | None, int]] = []

        def act(executor: ExecutorIncarnation) -> None:
            answer = executor.start(
                task.name, order.run, deadline_ms, order.token
            )
            answers.append((answer, executor.clock_ms()))

        def apply() -> None:
            answer, answer_clock_ms = answers[0] if answers else (None, 0)
            if answer is None or self.simulation.rng.random() < 0.02:
                answer = StartAnswer.NO_ANSWER
            now = self.simulation.now
            apply_start_answer(
                self.schedule,
                view,
                task,
                order.run,
                answer,
                now,
                view.clock.is_continued_by(answer_clock_ms, sent_at, now),
            )

        self._call(order.executor_id, act, apply)

    def _stop(self, order: StopOrder) -> None:
        view = self.schedule.executors[order.executor_id]
        answers: list[bool] = []
        token = view.tokens.current

        def act(executor: ExecutorIncarnation) -> None:
            answers.append(executor.stop(order.task_name, order.run, token))

        def apply() -> None:
            apply_stop_answer(
                view,
                (order.task_name, order.run),
                bool(answers) and answers[0],
                self.simulation.now,
            )

        self._call(order.executor_id, act, apply)

    def _poll_later(self, name: str, wait_s: float) -> None:
        self._call_later(wait_s, lambda: self._poll(name))

    def _poll(self, name: str) -> None:
        if self.is_lost:
            return
        view = self.schedule.executors.get(name)
        if view is None:
            view = self.schedule.observe_executor(
                _info(self.simulation.executors[name])
            )
        polled_at = self.simulation.now
        is_verified = polled_at - self.verified_at < OWNERSHIP_VALID_S
        call = make_poll(
            view,
            polled_at,
            LEASE_S,
            is_verified and view.last_report_at is not None,
        )
        reports: list[TaskReport | None] = []

        def act(executor: ExecutorIncarnation) -> None:
            report = executor.poll(
                call.token, call.deadline_ms, call.acknowledged
            )
            reports.append(report)

        def apply() -> None:
            self._poll_later(name, 0.25)
            report = reports[0] if reports else None
            if report is None:
                view.last_report_at = None
                view.require_barrier()
                return
            now = self.simulation.now
            apply_task_report(self.schedule, view, report, call, now, 0)

        self._call(name, act, apply)


class Simulation:
    """The simulation of one random interleaving."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.steps = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.progress: dict[str, bytes] = {}
        # Ends of kind DONE by task: the incarnation and the end's number.
        self.done_ends: dict[
            TaskName, list[tuple[ExecutorIncarnation, int]]
        ] = {}
        # Tasks that were started again after such an end, by that end.
        # They are a violation if the end is ever acknowledged.
        self.reruns: dict[tuple[int, str, int], TaskName] = {}
        self.term = 1
        self.executors: dict[str, ExecutorIncarnation] = {}
        for number in range(3):
            self.executors[f"x{number}"] = ExecutorIncarnation(
                self, f"x{number}", 1 + number
            )
        self.owners = [Owner(self, 1)]
        self._jobs = 0
        self.call_later(0.2, self._submit)
        self.call_later(2.0, self._inject_fault)

    def call_later(self, wait_s: float, work: Callable[[], None]) -> None:
        """Schedule a call."""
        self.steps += 1
        heapq.heappush(self._events, (self.now + wait_s, self.steps, work))

    def run(self) -> None:
        """Run to the end; raise `InvariantError` on a violation."""
        while self._events and self.now < SIMULATION_S:
            self.now, _, work = heapq.heappop(self._events)
            work()
        for job_id, value in self.progress.items():
            record = msgspec.json.decode(value, type=ProgressRecord)
            if record.state not in ("completed", "failed"):
                raise InvariantError(
                    f"job {job_id} is {record.state} at the end"
                )

    def check_start(
        self, executor: ExecutorIncarnation, task: TaskName, run: int
    ) -> None:
        """Check a start that an executor is about to execute."""
        size = 1000 * (len(executor.running) + 1)
        if size > CAPACITY.cpu_millis:
            raise InvariantError(
                f"{executor.name} exceeds its capacity with {task}"
            )
        if task.job.startswith("t"):
            return
        for other in self.executors.values():
            other.expire_lease()
            if other.is_up and task in other.running:
                raise InvariantError(
                    f"{task.render()} run {run} on {executor.name} at "
                    f"{self.now:.2f} while run {other.running[task]} is "
                    f"running on {other.name}"
                )
        for ended, number in self.done_ends.get(task, ()):
            self.reruns[ended.born_ms, ended.name, number] = task

    def check_acknowledgement(
        self, executor: ExecutorIncarnation, acknowledged: int
    ) -> None:
        """Check that no task ran again after an acknowledged DONE end."""
        for number in range(executor.last_voided_end + 1, acknowledged + 1):
            task = self.reruns.get((executor.born_ms, executor.name, number))
            if task is not None:
                raise InvariantError(
                    f"{task.render()} ran again after it was done"
                )

    def _submit(self) -> None:
        """Submit a job at random intervals."""
        if self.now > FAULTS_END_S:
            return
        self._jobs += 1
        kind = "t" if self.rng.random() < 0.3 else "j"
        self.progress[f"{kind}{self._jobs:03d}"] = b"{}"
        self.call_later(self.rng.uniform(0.3, 2.0), self._submit)

    def _inject_fault(self) -> None:
        """Inject faults at random intervals and replace failed owners."""
        if self.now > FAULTS_END_S:
            self._replace_owner()
            return
        rng = self.rng
        owner = self.owners[-1]
        duration_s = rng.uniform(0.3, 7.0)
        name = rng.choice(sorted(self.executors))
        fault = rng.choice(
            ("kill", "store", "freeze", "link", "link", "crash", "alarm")
        )
        if fault == "kill":
            owner.is_up = False
            self.call_later(rng.uniform(0.2, 3.0), self._replace_owner)
        elif fault == "store":
            owner.store_partitioned_until = self.now + duration_s
            self.call_later(rng.uniform(1.0, 3.0), self._replace_owner)
        elif fault == "freeze":
            owner.frozen_until = self.now + duration_s
            self.call_later(rng.uniform(1.0, 3.0), self._replace_owner)
        elif fault == "link":
            owner.partitioned_until[name] = self.now + duration_s
        elif fault == "crash":
            self._crash_executor(name)
        else:
            # A false positive: the last owner is alive and continues.
            self._replace_owner()
        self.call_later(rng.uniform(0.5, 5.0), self._inject_fault)

    def _replace_owner(self) -> None:
        """Let a new owner take over the pool."""
        self.term += 1
        self.owners.append(Owner(self, self.term))

    def _crash_executor(self, name: str) -> None:
        """Restart an executor, which loses all of its state."""
        old = self.executors[name]
        old.is_up = False
        old.running.clear()
        self.executors[name] = ExecutorIncarnation(
            self, name, int(self.now * 1000) + 10
        )


def _info(executor: ExecutorIncarnation) -> ExecutorInfo:
    """Return an executor's entry."""
    return ExecutorInfo(
        executor.name, "pool", "a:1", CAPACITY, host=executor.name
    )


def simulate(seed: int) -> int:
    """Simulate one seed; return its number of steps."""
    simulation = Simulation(seed)
    simulation.run()
    return simulation.steps


def main() -> None:
    """Simulate the seeds from the first to the second argument."""
    first, last = int(sys.argv[1]), int(sys.argv[2])
    steps = 0
    broken = 0
    for seed in range(first, last + 1):
        try:
            steps += simulate(seed)
        except InvariantError as error:
            broken += 1
            sys.stdout.write(f"seed {seed}: {error}\n")
    sys.stdout.write(
        f"{last - first + 1} seeds, {steps} steps, {broken} broken\n"
    )


if __name__ == "__main__":
    main()
