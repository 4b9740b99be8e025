"""Random interleavings of owners, executors and the store, without I/O.

Orders and their answers are delayed, lost or carried out late; owners die,
freeze, lose the store or single executors, and are replaced while they still
believe in their ownership; executors crash and start again.  The executors
keep the truth and check each start against it.

`python -m tests.interleavings 1 1000` plays the seeds 1 to 1000.
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
)
from lycheelug.workloads.executors import CLOCK_DRIFT
from tests.interleaved_executor import BrokenError, Life

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Play", "play"]

LEASE_S: Final = 3.5
ORDER_TIMEOUT_S: Final = 0.5
LATE_S: Final = 6.0
FAULTS_END_S: Final = 40.0
PLAY_S: Final = 80.0
CAPACITY: Final = Resources(3000, 3000, 0)
POLICY: Final = QueuePolicy("queue", "pool", max_attempts=50)
STEPS: Final = [
    StepSpec(count=3, cpu_millis=1000, estimate_ms=1500),
    StepSpec(count=2, cpu_millis=1000, estimate_ms=1500, depends_on=[0]),
]
TWINS: Final = [
    StepSpec(count=2, cpu_millis=1000, estimate_ms=1500, may_duplicate=True)
]


class Owner:
    """One owner under its term; it acts until it is killed."""

    def __init__(self, play: Play, term: int) -> None:
        self.play = play
        self.term = term
        self.is_up = True
        self.is_lost = False
        self.store_cut_until = 0.0
        self.frozen_until = 0.0
        self.cut: dict[str, float] = {}
        self.verified_at = play.now
        earlier_leases_end_at = (
            play.now + OWNERSHIP_VALID_S + LEASE_S * (1 + CLOCK_DRIFT)
        )
        self.schedule = PoolSchedule(
            "pool", term, LEASE_S, earlier_leases_end_at
        )
        for job_id, value in play.progress.items():
            self._add(job_id, value)
        self._step(0.05, self._drive)
        self._step(0.02, self._write)
        for name in play.lives:
            self.schedule.observe_executor(_info(play.lives[name]))
            self._look_soon(name, 0.01)

    def _add(self, job_id: str, value: bytes) -> None:
        stored = msgspec.json.decode(value, type=ProgressRecord)
        known = stored if value != b"{}" else None
        steps = TWINS if job_id.startswith("t") else STEPS
        self.schedule.add_job(
            job_id,
            JobRecord("queue", "", steps),
            POLICY,
            known,
            0,
            self.play.now,
        )

    def _step(self, wait_s: float, work: Callable[[], None]) -> None:
        """Do something later, after a freeze, while this owner lives."""

        def run() -> None:
            if not self.is_up:
                return
            if self.play.now < self.frozen_until:
                self.play.after(self.frozen_until - self.play.now, run)
                return
            work()

        self.play.after(wait_s * self.play.source.uniform(0.7, 1.3), run)

    def _drive(self) -> None:
        self._step(0.1, self._drive)
        if self.is_lost:
            return
        for job_id in self.play.progress:
            if job_id not in self.schedule.jobs:
                # Progress is read once, when the pool is taken over.
                self._add(job_id, b"{}")
        now = self.play.now
        if now - self.verified_at >= OWNERSHIP_VALID_S:
            return
        for order in self.schedule.plan(now, self.verified_at):
            if isinstance(order, StartOrder):
                self._start(order)
            elif isinstance(order, StopOrder):
                self._stop(order)

    def _write(self) -> None:
        self._step(0.2, self._write)
        if self.is_lost or self.play.now < self.store_cut_until:
            return
        for job in self.schedule.jobs_to_begin():
            job.mark_begun(self.term)
        asked_at = self.play.now
        if self.play.term != self.term:
            self.is_lost = True
            return
        for job in self.schedule.jobs.values():
            if job.is_dirty:
                job.is_dirty = False
                self.play.progress[job.job_id] = msgspec.json.encode(
                    job.progress
                )
            if job.progress.begun_term:
                job.begin_is_stored = True
        for view in self.schedule.executors.values():
            view.last_acked_end = view.last_applied_end
            view.is_recorded = True
        self.verified_at = asked_at

    def _fate(self, name: str) -> str:
        """Return what becomes of a call to an executor."""
        if self.play.now < self.cut.get(name, 0.0):
            return "lost"
        if self.play.now > FAULTS_END_S:
            return "fine"
        draw = self.play.source.random()
        if draw < 0.04:
            return "late"
        if draw < 0.07:
            return "mute"
        return "lost" if draw < 0.10 else "fine"

    def _call(
        self,
        name: str,
        act: Callable[[Life], None],
        take: Callable[[], None],
    ) -> None:
        """Let an executor act on a call; `take` is what comes of it."""
        fate = self._fate(name)
        source = self.play.source

        def deliver() -> None:
            act(self.play.lives[name])

        if fate in ("fine", "mute"):
            self.play.after(source.uniform(0.001, 0.05), deliver)
        elif fate == "late":
            self.play.after(source.uniform(0.5, LATE_S), deliver)
        wait_s = ORDER_TIMEOUT_S
        if fate == "fine":
            wait_s = source.uniform(0.08, 0.2)
        self._step(wait_s, take)

    def _start(self, order: StartOrder) -> None:
        view = self.schedule.executors[order.executor_id]
        clock_ms = view.estimate_clock_ms(self.play.now)
        assert clock_ms is not None
        deadline_ms = clock_ms + int(LEASE_S * 1000)
        task = order.task
        answers: list[StartAnswer | None] = []
        expected = view.born_ms

        def act(life: Life) -> None:
            if life.born_ms != expected:
                answers.append(StartAnswer.REJECTED)
                return
            answer = life.start(task.name, order.run, deadline_ms, self.term)
            answers.append(answer)

        def take() -> None:
            answer = answers[0] if answers else None
            if answer is None or self.play.source.random() < 0.02:
                answer = StartAnswer.NO_ANSWER
            apply_start_answer(
                self.schedule, view, task, order.run, answer, self.play.now
            )

        self._call(order.executor_id, act, take)

    def _stop(self, order: StopOrder) -> None:
        view = self.schedule.executors[order.executor_id]
        answers: list[bool] = []
        expected = view.born_ms

        def act(life: Life) -> None:
            if life.born_ms == expected:
                answers.append(
                    life.stop(order.task_name, order.run, self.term)
                )

        def take() -> None:
            apply_stop_answer(
                view,
                (order.task_name, order.run),
                bool(answers) and answers[0],
                self.play.now,
            )

        self._call(order.executor_id, act, take)

    def _look_soon(self, name: str, wait_s: float) -> None:
        self._step(wait_s, lambda: self._look(name))

    def _look(self, name: str) -> None:
        if self.is_lost:
            return
        view = self.schedule.executors.get(name)
        if view is None:
            view = self.schedule.observe_executor(_info(self.play.lives[name]))
        asked_at = self.play.now
        deadline_ms = None
        clock_ms = view.estimate_clock_ms(asked_at)
        is_verified = asked_at - self.verified_at < OWNERSHIP_VALID_S
        if (
            clock_ms is not None
            and is_verified
            and view.last_report_at is not None
        ):
            deadline_ms = clock_ms + int(LEASE_S * 1000)
            view.record_lease(asked_at, LEASE_S)
        seen = view.last_acked_end
        reports: list[TaskReport | None] = []
        expected = view.born_ms

        def act(life: Life) -> None:
            if expected in (0, life.born_ms):
                reports.append(life.hold(self.term, deadline_ms, seen))
            else:
                reports.append(life.hold(self.term, None, 0))

        def take() -> None:
            self._look_soon(name, 0.25)
            report = reports[0] if reports else None
            if report is None:
                view.last_report_at = None
                return
            now = self.play.now
            apply_task_report(self.schedule, view, report, asked_at, now, 0)

        self._call(name, act, take)


class Play:
    """One random interleaving."""

    def __init__(self, seed: int) -> None:
        self.source = random.Random(seed)
        self.now = 0.0
        self.steps = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.progress: dict[str, bytes] = {}
        # Ends that were `done`, by task: the life and the end's number.
        self.done: dict[TaskName, list[tuple[Life, int]]] = {}
        # Starts after such an end, wrong if that is ever acknowledged.
        self.suspects: dict[tuple[int, str, int], TaskName] = {}
        self.term = 1
        self.lives: dict[str, Life] = {}
        for number in range(3):
            self.lives[f"x{number}"] = Life(self, f"x{number}", 1 + number)
        self.owners = [Owner(self, 1)]
        self._jobs = 0
        self.after(0.2, self._submit)
        self.after(2.0, self._harm)

    def after(self, wait_s: float, work: Callable[[], None]) -> None:
        """Do something later."""
        self.steps += 1
        heapq.heappush(self._events, (self.now + wait_s, self.steps, work))

    def run(self) -> None:
        """Play to the end; raise `BrokenError` where a promise is."""
        while self._events and self.now < PLAY_S:
            self.now, _, work = heapq.heappop(self._events)
            work()
        for job_id, value in self.progress.items():
            record = msgspec.json.decode(value, type=ProgressRecord)
            if record.state not in ("completed", "failed"):
                raise BrokenError(f"job {job_id} is {record.state} at the end")

    def check_start(self, life: Life, task: TaskName, run: int) -> None:
        """Check a start that an executor is about to carry out."""
        size = 1000 * (len(life.running) + 1)
        if size > CAPACITY.cpu_millis:
            raise BrokenError(f"{life.name} is over its room with {task}")
        if task.job.startswith("t"):
            return
        for other in self.lives.values():
            other.lapse()
            if other.is_up and task in other.running:
                raise BrokenError(
                    f"{task.render()} run {run} on {life.name} at "
                    f"{self.now:.2f} beside run {other.running[task]} "
                    f"on {other.name}"
                )
        for ended, number in self.done.get(task, ()):
            self.suspects[ended.born_ms, ended.name, number] = task

    def check_seen(self, life: Life, last_seen: int) -> None:
        """Check an acknowledgement: nothing ran after what it accepts."""
        for number in range(life.void_to + 1, last_seen + 1):
            task = self.suspects.get((life.born_ms, life.name, number))
            if task is not None:
                raise BrokenError(
                    f"{task.render()} ran again after it was done"
                )

    def _submit(self) -> None:
        """Hand in a job now and then."""
        if self.now > FAULTS_END_S:
            return
        self._jobs += 1
        kind = "t" if self.source.random() < 0.3 else "j"
        self.progress[f"{kind}{self._jobs:03d}"] = b"{}"
        self.after(self.source.uniform(0.3, 2.0), self._submit)

    def _harm(self) -> None:
        """Do some harm now and then, and replace an owner that is gone."""
        if self.now > FAULTS_END_S:
            self._replace()
            return
        source = self.source
        owner = self.owners[-1]
        for_s = source.uniform(0.3, 7.0)
        name = source.choice(sorted(self.lives))
        harm = source.choice(
            ("kill", "store", "freeze", "link", "link", "crash", "alarm")
        )
        if harm == "kill":
            owner.is_up = False
            self.after(source.uniform(0.2, 3.0), self._replace)
        elif harm == "store":
            owner.store_cut_until = self.now + for_s
            self.after(source.uniform(1.0, 3.0), self._replace)
        elif harm == "freeze":
            owner.frozen_until = self.now + for_s
            self.after(source.uniform(1.0, 3.0), self._replace)
        elif harm == "link":
            owner.cut[name] = self.now + for_s
        elif harm == "crash":
            self._crash(name)
        else:
            # A false alarm: the last owner lives and goes on.
            self._replace()
        self.after(source.uniform(0.5, 5.0), self._harm)

    def _replace(self) -> None:
        """Let a new owner take the pool."""
        self.term += 1
        self.owners.append(Owner(self, self.term))

    def _crash(self, name: str) -> None:
        """End an executor's life; the next one knows nothing of it."""
        old = self.lives[name]
        old.is_up = False
        old.running.clear()
        self.lives[name] = Life(self, name, int(self.now * 1000) + 10)


def _info(life: Life) -> ExecutorInfo:
    """Return an executor's entry."""
    return ExecutorInfo(life.name, "pool", "a:1", CAPACITY, host=life.name)


def play(seed: int) -> int:
    """Play one seed; return its number of steps."""
    game = Play(seed)
    game.run()
    return game.steps


def main() -> None:
    """Play the seeds from the first to the second argument."""
    first, last = int(sys.argv[1]), int(sys.argv[2])
    steps = 0
    broken = 0
    for seed in range(first, last + 1):
        try:
            steps += play(seed)
        except BrokenError as error:
            broken += 1
            sys.stdout.write(f"seed {seed}: {error}\n")
    sys.stdout.write(
        f"{last - first + 1} seeds, {steps} steps, {broken} broken\n"
    )


if __name__ == "__main__":
    main()
