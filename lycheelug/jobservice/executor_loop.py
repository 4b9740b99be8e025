"""Polls one executor while this daemon owns its pool.

Each poll extends the lease of all runs on the executor and acknowledges the
ends that are durable.  It is a long poll: the executor delays its answer
until the next end, within a time limit.  After an end, the next poll waits
until the store has recorded it and no start is in flight: without a new
acknowledgement the executor would only report the same end again.

Polls of an unresponsive executor extend no lease.  The leases of the runs
that may still be on it must expire before its tasks can start elsewhere.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from returns.result import Failure

from lycheelug.jobservice.interfaces import PollFailure
from lycheelug.logs import log_change, log_frequent
from lycheelug.workloads import (
    LossCause,
    apply_task_report,
    awaits_starts,
    make_poll,
)

if TYPE_CHECKING:
    from returns.result import Result

    from lycheelug.jobservice.context import OwnerContext
    from lycheelug.jobservice.pool_owner import PoolOwner
    from lycheelug.workloads import (
        ExecutorInfo,
        ExecutorView,
        PollCall,
        TaskReport,
    )

__all__ = ["ExecutorLoop"]

# How long an executor may delay the answer to a poll.  Leases are renewed
# once per poll, so this is also the renewal period.
POLL_WAIT_S: Final = 0.8
# The pause after a failed poll; it doubles up to the maximum.
RETRY_S: Final = 0.15
RETRY_MAX_S: Final = 0.6
# How long a poll waits until the store has recorded the last ends, and until
# the next start is answered.
STORE_WAIT_S: Final = 0.25
START_WAIT_S: Final = 0.05


class ExecutorLoop:
    """The polling loop of one executor."""

    __slots__ = (
        "_context",
        "_ends_stored",
        "_entry_born_ms",
        "_executor_id",
        "_is_unresponsive",
        "_owner",
        "_start_answered",
        "_wait",
        "info",
        "is_stopped",
    )

    def __init__(
        self, context: OwnerContext, owner: PoolOwner, executor_id: str
    ) -> None:
        self._context = context
        self._owner = owner
        self._executor_id = executor_id
        self.info: ExecutorInfo = owner.schedule.executors[executor_id].info
        self._ends_stored = asyncio.Event()
        self._start_answered = asyncio.Event()
        # The start time in its entry, and what is waited for meanwhile: the
        # answer of a poll or the end of a pause.
        self._entry_born_ms = self.info.born_ms
        self._wait: asyncio.Timeout | None = None
        # Whether it has ended or is to end.
        self.is_stopped = False
        self._is_unresponsive = False

    def stop(self) -> None:
        """Stop polling; the executor has been removed."""
        self.is_stopped = True
        self._context.gateway.forget(self.info)

    def on_ends_stored(self) -> None:
        """Let a poll continue that waits for the store to record ends."""
        self._ends_stored.set()

    def on_start_answered(self) -> None:
        """Let a poll continue that waits for the answer of a start."""
        self._start_answered.set()

    def on_entry(self, view: ExecutorView) -> None:
        """Poll at once if the executor's entry names another incarnation.

        The sooner it is called, the fewer calls for the last one reach it.
        """
        born_ms = view.info.born_ms
        if born_ms == self._entry_born_ms:
            return
        self._entry_born_ms = born_ms
        if born_ms == view.born_ms:
            # Its report was first.
            return
        if self._wait is not None and not self._wait.expired():
            self._wait.reschedule(asyncio.get_running_loop().time())

    async def run(self) -> None:
        """Poll until the pool is lost or the executor is removed."""
        retry_s = RETRY_S
        while not self.is_stopped and not self._owner.lost.is_set():
            view = self._owner.schedule.executors.get(self._executor_id)
            if view is None:
                self.is_stopped = True
                return
            self.info = view.info
            await self._wait_for_acknowledgement(view)
            if await self._poll_guarded(view):
                retry_s = RETRY_S
                continue
            await self._pause(retry_s)
            retry_s = min(RETRY_MAX_S, retry_s * 2)

    async def _pause(self, pause_s: float) -> None:
        """Wait before the next poll."""
        try:
            async with asyncio.timeout(pause_s) as self._wait:
                await asyncio.Event().wait()
        except TimeoutError:
            return
        finally:
            self._wait = None

    async def _wait_for_acknowledgement(self, view: ExecutorView) -> None:
        """Wait until ends that were applied can be acknowledged.

        They must be durable, and no start may be in doubt.
        """
        if view.needs_barrier:
            return
        if view.last_applied_end > view.last_acked_end:
            await _wait_once(self._ends_stored, STORE_WAIT_S)
        if awaits_starts(view):
            await _wait_once(self._start_answered, START_WAIT_S)

    async def _poll_guarded(self, view: ExecutorView) -> bool:
        """Poll once; an unexpected error ends only this poll."""
        try:
            return await self._poll(view)
        except Exception as error:
            self._owner.report_defect("executor-loop", error)
            return False

    async def _poll(self, view: ExecutorView) -> bool:
        """Poll once; return False if there was no task report."""
        context = self._context
        owner = self._owner
        call = make_poll(
            view,
            context.clock.now(),
            context.lease_s,
            owner.is_verified and not self._is_unresponsive,
        )
        # After a silence the next poll is to extend the lease, so this one
        # doesn't wait.
        is_regular = not call.is_barrier and not self._is_unresponsive
        wait_s = POLL_WAIT_S if is_regular else 0.0
        born_ms = view.born_ms
        result = await self._call(view, call, wait_s)
        if result is None:
            return True
        now = context.clock.now()
        if owner.schedule.executors.get(self._executor_id) is not view:
            # It was removed meanwhile: the answer is older than its end.
            return False
        if isinstance(result, Failure):
            failure = result.failure()
            is_timeout = now - call.sent_at >= wait_s
            was_refused = failure is PollFailure.REFUSED
            alive_until = call.sent_at if is_timeout or was_refused else now
            was_overtaken = view.tokens.is_past(call.token)
            if failure is PollFailure.FENCED and was_overtaken:
                # Perhaps only by a later call of this owner.
                view.require_barrier()
                return True
            self._handle_failure(view, failure, alive_until, now)
            return False
        report = result.unwrap()
        had_accepted_term = view.has_accepted_term
        last_applied_end = view.last_applied_end
        ends = apply_task_report(
            owner.schedule,
            view,
            report,
            call,
            now,
            context.clock.unix_ms(),
        )
        if (
            not had_accepted_term
            or self._is_unresponsive
            or report.born_ms != born_ms
        ):
            self._is_unresponsive = False
            log_change(
                "executor-heard",
                pool=owner.pool,
                executor=self._executor_id,
                term=owner.term,
                born_ms=report.born_ms,
                former_born_ms=born_ms,
                token=call.token,
                is_barrier=call.is_barrier,
                acknowledged=call.acknowledged,
                deadline_ms=call.deadline_ms,
                clock_ms=report.clock_ms,
                running=len(report.running),
                ended=len(report.ended),
            )
        if ends is None:
            return True
        if report.born_ms != born_ms:
            last_applied_end = 0
        first_end = last_applied_end + 1
        if had_accepted_term and ends and ends[0].number > first_end:
            # They were acknowledged before any list has had them.
            log_change(
                "ends-skipped",
                pool=owner.pool,
                executor=self._executor_id,
                born_ms=report.born_ms,
                first=first_end,
                last=ends[0].number - 1,
                acknowledged=call.acknowledged,
            )
            context.metrics.count("ends-skipped", ends[0].number - first_end)
        for end in ends:
            context.metrics.count(f"ends-{end.kind.value}")
            log_frequent(
                "task-end",
                job=end.task.job,
                task=end.task.render(),
                run=end.run,
                executor=self._executor_id,
                born_ms=report.born_ms,
                how=end.kind.value,
                number=end.number,
            )
        owner.wake()
        return True

    async def _call(
        self, view: ExecutorView, call: PollCall, wait_s: float
    ) -> Result[TaskReport, PollFailure] | None:
        """Send a poll; return None if its answer is not waited for."""
        try:
            async with asyncio.timeout(None) as self._wait:
                return await self._context.gateway.poll(
                    view.info,
                    call.token,
                    call.acknowledged,
                    call.deadline_ms,
                    wait_s,
                )
        except TimeoutError:
            return None
        finally:
            self._wait = None

    def _handle_failure(
        self,
        view: ExecutorView,
        failure: PollFailure,
        alive_until: float,
        now: float,
    ) -> None:
        """Mark the executor unresponsive and act on the failure."""
        owner = self._owner
        view.last_report_at = None
        view.require_barrier()
        if not self._is_unresponsive:
            self._is_unresponsive = True
            owner.schedule.crashes.record_silence(
                owner.schedule, view, alive_until, now
            )
            log_change(
                "executor-lost",
                pool=owner.pool,
                executor=self._executor_id,
                born_ms=view.born_ms,
                reason=failure.name.lower(),
                runs=len(view.runs),
                lapses_in_s=round(view.leases_end_at - now, 2),
                in_doubt=view.count_unlocated_runs(),
                in_doubt_until_s=round(view.late_leases_end_at - now, 2),
            )
        if failure is PollFailure.FENCED:
            owner.writer.verify_soon()
            return
        if failure is PollFailure.GONE:
            owner.schedule.remove_executor(
                self._executor_id, now, LossCause.REPLACED
            )
            owner.wake()


async def _wait_once(event: asyncio.Event, limit_s: float) -> None:
    """Wait until an event is set the next time."""
    event.clear()
    try:
        async with asyncio.timeout(limit_s):
            await event.wait()
    except TimeoutError:
        return
