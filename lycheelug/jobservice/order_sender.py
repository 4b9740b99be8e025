"""Sends a pool owner's orders to executors and applies the answers.

An order is planned while the proof of ownership is valid, and the proof is
checked again once the order is sent, because the process may have been
stopped in between.  A start that is delayed after that check is harmless on
the incarnation that it was meant for: its lease counts from the check, so the
executor rejects it as late, or ends the run before the next owner relies on
that.  A later incarnation has another clock; `order_tokens` tells how it is
kept from carrying the start out.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from returns.result import Failure

from lycheelug.jobservice.interfaces import StopAnswer
from lycheelug.logs import log_change, log_fault, log_frequent
from lycheelug.workloads import (
    HintTiming,
    LossCause,
    PaceOrder,
    StartAnswer,
    StartOrder,
    StopOrder,
    apply_start_answer,
    apply_stop_answer,
    ticket_validity_s,
)

if TYPE_CHECKING:
    from lycheelug.jobservice.context import OwnerContext
    from lycheelug.jobservice.pool_owner import PoolOwner
    from lycheelug.workloads import StepName, TaskName

__all__ = ["OrderSender"]

# The orders that are sent before the daemon's other tasks have their turn.
ORDERS_PER_TURN: Final = 50
# The tasks that one line about withheld orders names.
NAMED_MAX: Final = 20
# The pace of a run whose last pace order was not answered, so that it is
# ordered again.
PACE_UNKNOWN: Final = -1


class OrderSender:
    """Sends the orders of one pool's schedule."""

    __slots__ = ("_context", "_owner", "_withheld")

    def __init__(self, context: OwnerContext, owner: PoolOwner) -> None:
        self._context = context
        self._owner = owner
        # The orders that were withheld since the last line about them: what
        # was ordered, the executor and the task.
        self._withheld: list[tuple[str, str, TaskName]] = []

    async def send_all(
        self, orders: list[StartOrder | StopOrder | PaceOrder]
    ) -> None:
        """Send orders, some at a time, without waiting for their answers."""
        for number, order in enumerate(orders, start=1):
            self.send(order)
            if number % ORDERS_PER_TURN == 0:
                await asyncio.sleep(0)

    def send(self, order: StartOrder | StopOrder | PaceOrder) -> None:
        """Send an order without waiting for its answer."""
        if isinstance(order, StartOrder):
            self._owner.spawn(self._start(order))
        elif isinstance(order, StopOrder):
            self._owner.spawn(self._stop(order))
        else:
            self._owner.spawn(self._pace(order))

    async def _start(self, order: StartOrder) -> None:
        """Send a start order and apply the answer."""
        context = self._context
        task = order.task
        view = self._owner.schedule.executors.get(order.executor_id)
        if view is None:
            return
        checked_at = context.clock.now()
        clock_ms = view.clock.estimate_ms(checked_at)
        if clock_ms is None or not self._owner.is_verified:
            self._withhold("start", order.executor_id, task.name)
            apply_start_answer(
                self._owner.schedule,
                view,
                task,
                order.run,
                StartAnswer.NOT_SENT,
                checked_at,
            )
            return
        if (task.name, order.run) not in view.runs:
            # Given up since it was planned.
            return
        deadline_ms = clock_ms + int(context.lease_s * 1000)
        born_ms = view.born_ms
        answer, executor_clock_ms = await context.gateway.start(
            view.info,
            task.name,
            order.run,
            task.job.record.payload,
            task.checkpoint,
            deadline_ms,
            order.token,
            order.ticket,
        )
        now = context.clock.now()
        is_located = (
            executor_clock_ms is not None
            and view.clock.is_continued_by(executor_clock_ms, checked_at, now)
        )
        apply_start_answer(
            self._owner.schedule,
            view,
            task,
            order.run,
            answer,
            now,
            is_located,
        )
        self._owner.on_start_answered(order.executor_id)
        context.metrics.count(f"starts-{answer.name.lower()}")
        log_frequent(
            "task-start",
            job=task.name.job,
            task=task.name.render(),
            run=order.run,
            term=self._owner.term,
            executor=order.executor_id,
            born_ms=born_ms,
            estimated_clock_ms=clock_ms,
            clock_ms=executor_clock_ms,
            token=order.token,
            located=is_located,
            answer=answer.name.lower(),
        )
        self._owner.wake()

    async def _stop(self, order: StopOrder) -> None:
        """Send a stop order; the schedule repeats it until answered."""
        context = self._context
        view = self._owner.schedule.executors.get(order.executor_id)
        if view is None:
            return
        key = (order.task_name, order.run)
        if not self._owner.is_verified:
            self._withhold("stop", order.executor_id, order.task_name)
            apply_stop_answer(view, key, False, context.clock.now())
            return
        token = view.tokens.current
        answer = await context.gateway.stop(
            view.info, order.task_name, order.run, token
        )
        now = context.clock.now()
        log_frequent(
            "task-stop",
            job=order.task_name.job,
            task=order.task_name.render(),
            run=order.run,
            executor=order.executor_id,
            reason=order.reason,
            answer=answer.name.lower(),
        )
        schedule = self._owner.schedule
        if schedule.executors.get(order.executor_id) is not view:
            return
        if answer is StopAnswer.GONE:
            schedule.remove_executor(
                order.executor_id, now, LossCause.REPLACED
            )
        elif answer is StopAnswer.FENCED and not view.tokens.is_past(token):
            self._owner.writer.verify_soon()
        apply_stop_answer(view, key, answer is StopAnswer.ANSWERED, now)
        if answer is StopAnswer.ANSWERED:
            self._owner.wake()

    async def _pace(self, order: PaceOrder) -> None:
        """Set a run's pace; the schedule repeats a failed order."""
        view = self._owner.schedule.executors.get(order.executor_id)
        if view is None:
            return
        run = view.runs.get((order.task_name, order.run))
        if not self._owner.is_verified:
            self._withhold("pace", order.executor_id, order.task_name)
            if run is not None:
                run.pace = PACE_UNKNOWN
            return
        is_set = await self._context.gateway.pace(
            view.info,
            order.task_name,
            order.run,
            order.percent,
            view.tokens.current,
        )
        run = view.runs.get((order.task_name, order.run))
        if not is_set and run is not None:
            run.pace = PACE_UNKNOWN
        log_frequent(
            "task-pace",
            task=order.task_name.render(),
            run=order.run,
            executor=order.executor_id,
            percent=order.percent,
            answered=is_set,
        )

    def _withhold(self, order: str, executor_id: str, task: TaskName) -> None:
        """Record an order that isn't sent as the ownership isn't proved."""
        if not self._withheld:
            # The other orders that were sent with it have their turn first.
            asyncio.get_running_loop().call_soon(self._log_withheld)
        self._withheld.append((order, executor_id, task))

    def _log_withheld(self) -> None:
        """Write one line about the orders that were withheld."""
        withheld = self._withheld
        self._withheld = []
        kinds = sorted({order for order, _, _ in withheld})
        log_change(
            "task-orders-withheld",
            pool=self._owner.pool,
            term=self._owner.term,
            orders={
                kind: sum(order == kind for order, _, _ in withheld)
                for kind in kinds
            },
            executors=sorted({executor for _, executor, _ in withheld}),
            tasks=[task.render() for _, _, task in withheld[:NAMED_MAX]],
            proof_age_s=round(
                self._context.clock.now() - self._owner.verified_at, 2
            ),
        )
        self._context.metrics.count("task-orders-withheld", len(withheld))

    def request_placement_hint(
        self, step: StepName, executor_ids: list[str]
    ) -> None:
        """Ask which executors may run a step, in the background."""
        self._owner.spawn(self._request_placement_hint(step, executor_ids))

    async def _request_placement_hint(
        self, step: StepName, executor_ids: list[str]
    ) -> None:
        """Ask which executors may run a step."""
        schedule = self._owner.schedule
        hints = schedule.placement_hints
        job = schedule.jobs.get(step.job)
        timing = job.policy.hint_timing if job is not None else HintTiming()
        result = await self._context.hint_calls.send(
            lambda: self._context.gateway.request_placement_hint(
                step, executor_ids, timing.call_s(len(executor_ids))
            ),
            lambda: job is not None and not job.is_final,
        )
        now = self._context.clock.now()
        if result is None:
            hints.forget_job(step.job)
            return
        if isinstance(result, Failure):
            self._context.metrics.count("advice-failed")
            log_fault("no-advice", result.failure(), step=step.render())
            hints.record_failed_call(step, now)
            return
        if job is None or not job.is_open(step.occurrence, step.step):
            hints.forget_step(step)
            return
        hint = result.unwrap()
        valid_s = ticket_validity_s(hint.valid_s, timing)
        hints.add_tickets(step, hint.tickets, valid_s, now, executor_ids)
        log_change(
            "advice",
            step=step.render(),
            asked=len(executor_ids),
            allowed=len(hint.tickets),
            valid_s=valid_s,
        )
        self._owner.wake()
