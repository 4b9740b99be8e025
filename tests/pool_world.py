"""A pool schedule with simulated executors that tests drive step by step."""

from __future__ import annotations

from copy import copy

from lycheelug.workloads import (
    EndKind,
    EndReport,
    ExecutorInfo,
    ExecutorView,
    Job,
    JobRecord,
    PaceOrder,
    PollCall,
    PoolSchedule,
    ProgressRecord,
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

JOB = "5c0e7a21d94b36f8"
CAPACITY = Resources(4000, 4096, 0)


class PoolWorld:
    """One owner's schedule, with a clock that only the test advances."""

    def __init__(
        self,
        term: int = 1,
        earlier_leases_end_at: float = 0.0,
        placement: str = "together",
        relocate_after: float = 0.0,
    ) -> None:
        self.now = 100.0
        self.schedule = PoolSchedule(
            "quotes",
            term,
            5.0,
            earlier_leases_end_at,
            placement,
            relocate_after,
        )
        # None if the ownership is verified at every plan.
        self.verified_at: float | None = None
        self.unix_ms = 0
        # Whether records of lost executors are stored with each plan.
        self.stores_crashes = True
        self.end_numbers: dict[str, int] = {}

    def add_executor(
        self,
        executor_id: str,
        has_reported: bool = True,
        capacity: Resources = CAPACITY,
        labels: tuple[str, ...] = ("a", "r1"),
        host: str = "",
        zone: str = "",
    ) -> ExecutorView:
        view = self.schedule.observe_executor(
            ExecutorInfo(
                executor_id,
                "quotes",
                "10.0.0.1:1",
                capacity,
                labels=labels,
                host=host or f"h-{executor_id}",
                zone=zone,
                born_ms=1,
            )
        )
        view.is_recorded = True
        if has_reported:
            self.report_tasks(executor_id)
        return view

    def send_poll(self, executor_id: str) -> PollCall:
        """Send a poll that is answered later."""
        view = self.schedule.executors[executor_id]
        return make_poll(view, self.now, self.schedule.lease_s, False)

    def restart_entry(self, executor_id: str, born_ms: int) -> None:
        """Let an executor's entry name its next incarnation."""
        info = copy(self.schedule.executors[executor_id].info)
        info.born_ms = born_ms
        self.schedule.observe_executor(info)

    def add_job(
        self,
        steps: list[StepSpec],
        job_id: str = JOB,
        progress: ProgressRecord | None = None,
        is_begun_stored: bool = True,
        max_attempts: int = 2,
        needs_placement_hint: bool = False,
        accepted_ms: int = 0,
    ) -> Job:
        job = self.schedule.add_job(
            job_id,
            JobRecord("queue", "payload", steps, accepted_ms),
            QueuePolicy(
                "queue",
                "quotes",
                max_attempts=max_attempts,
                needs_placement_hint=needs_placement_hint,
            ),
            progress,
            0,
            self.now,
        )
        if is_begun_stored and not job.is_begun:
            job.mark_begun(self.schedule.term)
            job.begin_is_stored = True
        return job

    def plan(self) -> list[StartOrder | StopOrder | PaceOrder]:
        verified_at = (
            self.now if self.verified_at is None else self.verified_at
        )
        orders = self.schedule.plan(self.now, verified_at, self.unix_ms)
        if self.store_crashes():
            # The owner plans again after each write.
            orders += self.schedule.plan(self.now, verified_at, self.unix_ms)
            self.store_crashes()
        return orders

    def store_crashes(self) -> bool:
        """Let the next starts depend on the records of lost executors."""
        if not self.stores_crashes:
            return False
        has_stored = False
        for job in self.schedule.jobs.values():
            has_stored = has_stored or job.has_unsaved_crashes
            job.has_unsaved_crashes = False
        return has_stored

    def starts(self) -> list[StartOrder]:
        return [each for each in self.plan() if isinstance(each, StartOrder)]

    def stops(self) -> list[StopOrder]:
        return [each for each in self.plan() if isinstance(each, StopOrder)]

    def answer(
        self, order: StartOrder, answer: StartAnswer = StartAnswer.STARTED
    ) -> None:
        view = self.schedule.executors[order.executor_id]
        apply_start_answer(
            self.schedule, view, order.task, order.run, answer, self.now
        )

    def answer_stop(self, order: StopOrder, answered: bool = True) -> None:
        view = self.schedule.executors[order.executor_id]
        apply_stop_answer(
            view, (order.task_name, order.run), answered, self.now
        )

    def report_tasks(
        self,
        executor_id: str,
        running: list[tuple[TaskName, int]] | None = None,
        ended: list[tuple[TaskName, int, EndKind]] | None = None,
        polled_at: float | None = None,
        percent: int = 0,
        born_ms: int = 1,
        load: int = 0,
        call: PollCall | None = None,
        lists_all_ends: bool = True,
    ) -> None:
        """Deliver a task report with active runs and newly ended ones.

        It answers a poll that was sent at `polled_at`, unless one is given.
        """
        view = self.schedule.executors[executor_id]
        ends: list[EndReport] = []
        for name, run, kind in ended or []:
            number = self.end_numbers.get(executor_id, 0) + 1
            self.end_numbers[executor_id] = number
            ends.append(EndReport(number, name, run, kind))
        report = TaskReport(
            1000,
            born_ms,
            [
                RunReport(name, run, percent=percent, load=load)
                for name, run in running or []
            ],
            ends,
            lists_all_ends,
        )
        requested_at = self.now if polled_at is None else polled_at
        if call is None:
            if view.has_accepted_term and born_ms != view.born_ms:
                # The poll that detected the restart is not applied.
                view.require_barrier()
            call = make_poll(view, requested_at, self.schedule.lease_s, False)
        apply_task_report(self.schedule, view, report, call, self.now, 0)
        view.last_acked_end = view.last_applied_end
