"""Execution of long jobs by one daemon: claim, send, record the result.

One read of the index for all pools finds the pools with new jobs; only
those are polled. The number of jobs in progress is limited for each pool,
so that long jobs leave slots for short requests; in the pool's queue their
requests are scheduled with class LONG. A job is marked as dispatched in the
table after its request has acquired a slot and before the first byte is
sent.

The daemon that drives the plan also releases the jobs of runs that have
ended.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Success

from lycheelug.callers.request_headers import CallerRequest
from lycheelug.errors import REVISION_FORGOTTEN
from lycheelug.http import Request
from lycheelug.job_records import WAITING_PREFIX
from lycheelug.job_recovery import find_ended_owners
from lycheelug.logs import log_change
from lycheelug.requests import Outcome, RequestClass

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.jobs import JobClaim, JobStore
    from lycheelug.metrics import Metrics
    from lycheelug.pools import PoolTable
    from lycheelug.runner import RequestRunner, RunResult
    from lycheelug.scheduler import PoolScheduler
    from lycheelug.store import Platform

__all__ = ["JobRunner"]

BUSY_PERIOD_S: Final = 0.5
INDEX_READ_PERIOD_S: Final = 2.0
RECOVER_PERIOD_S: Final = 3.0
# A pool may have one job in progress per this many slots, and always at
# least one.
SLOTS_PER_JOB: Final = 8
JOB_TIMEOUT_S: Final = 3600.0
SERVER_ERROR_STATUS: Final = 500


class JobRunner:
    """The long jobs that this daemon runs."""

    __slots__ = (
        "_clock",
        "_index_revision",
        "_is_plan_driver",
        "_job_tasks",
        "_loop_tasks",
        "_may_claim",
        "_metrics",
        "_next_index_read",
        "_next_poll",
        "_platform",
        "_pools",
        "_runner",
        "_stopping",
        "_store",
        "_unix_clock",
        "_wake",
    )

    def __init__(
        self,
        platform: Platform,
        store: JobStore,
        pools: PoolTable,
        runner: RequestRunner,
        metrics: Metrics,
        may_claim: Callable[[], bool],
        is_plan_driver: Callable[[], bool],
        clock: Callable[[], float],
        unix_clock: Callable[[], float],
    ) -> None:
        self._platform = platform
        self._store = store
        self._pools = pools
        self._runner = runner
        self._metrics = metrics
        self._may_claim = may_claim
        self._is_plan_driver = is_plan_driver
        self._clock = clock
        self._unix_clock = unix_clock
        self._wake = asyncio.Event()
        self._stopping = False
        self._index_revision = 0
        self._next_index_read = 0.0
        # The time of each pool's next poll, and the tasks of its jobs in
        # progress by job name.
        self._next_poll: dict[str, float] = {}
        self._job_tasks: dict[str, dict[str, asyncio.Task[None]]] = {}
        self._loop_tasks: list[asyncio.Task[None]] = []

    @property
    def running(self) -> int:
        """The number of jobs in progress on this daemon."""
        return sum(len(each) for each in self._job_tasks.values())

    def start(self) -> None:
        """Start claiming jobs."""
        self._loop_tasks = [
            asyncio.create_task(self._run()),
            asyncio.create_task(self._recover()),
        ]

    def poll_soon(self, pool: str) -> None:
        """Poll a pool's waiting jobs without delay."""
        self._next_poll[pool] = 0.0
        self._wake.set()

    def stop_claiming(self) -> None:
        """Claim no more jobs; those in progress continue."""
        self._stopping = True

    async def stop(self) -> None:
        """Interrupt the jobs in progress, and hand their claims back.

        A job that may have been sent and may not be repeated becomes
        UNKNOWN.
        """
        self._stopping = True
        running = list(self._loop_tasks)
        for tasks in self._job_tasks.values():
            running.extend(tasks.values())
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    # --- Claiming jobs.

    async def _run(self) -> None:
        """Poll the pools in a loop."""
        while True:
            self._wake.clear()
            if not self._stopping and self._may_claim():
                await self._find_new_jobs()
                for scheduler in self._pools.all():
                    await self._poll_pool(scheduler)
                await self._interrupt_cancelled()
            try:
                async with asyncio.timeout(self._period_s()):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _period_s(self) -> float:
        """Return how long to wait before the next round of polls."""
        next_poll = min(self._next_poll.values(), default=math.inf)
        is_busy = self.running > 0 or next_poll < math.inf
        return BUSY_PERIOD_S if is_busy else INDEX_READ_PERIOD_S

    async def _find_new_jobs(self) -> None:
        """Find the pools with new jobs, with one read for all of them."""
        now = self._clock()
        if now < self._next_index_read:
            return
        self._next_index_read = now + INDEX_READ_PERIOD_S
        revision = self._index_revision
        result = await self._platform.read_since(WAITING_PREFIX, revision)
        if isinstance(result, Failure):
            # The store no longer has all deletions since that revision.
            # Only insertions matter here, so read again from revision 0.
            if result.failure().code is REVISION_FORGOTTEN:
                self._index_revision = 0
            return
        delta = result.unwrap()
        self._index_revision = max(revision, delta.revision)
        for row in delta.rows:
            if row.value is not None:
                self._next_poll[row.key.split("/")[1]] = 0.0

    async def _poll_pool(self, scheduler: PoolScheduler) -> None:
        """Claim as many of a pool's jobs as may be in progress."""
        executors = scheduler.executors
        pool = executors.pool
        now = self._clock()
        executors.refresh_if_due(now)
        due = now >= self._next_poll.get(pool, math.inf)
        if executors.capacity == 0 or not due:
            return
        # A new job found during the claims below sets an earlier time.
        self._next_poll[pool] = math.inf
        tasks = self._job_tasks.setdefault(pool, {})
        max_tasks = max(1, executors.capacity // SLOTS_PER_JOB)
        period_s = math.inf
        while len(tasks) < max_tasks and not self._stopping:
            claimed = await self._store.claim_next(pool)
            if isinstance(claimed, Failure):
                period_s = BUSY_PERIOD_S
                break
            claim: JobClaim | None = claimed.unwrap()
            if claim is None:
                break
            task = asyncio.create_task(self._run_job(scheduler, claim))
            tasks[claim.name] = task
            period_s = BUSY_PERIOD_S
        if tasks or self._store.waiting(pool):
            period_s = BUSY_PERIOD_S
        next_poll = min(self._next_poll[pool], now + period_s)
        self._next_poll[pool] = next_poll

    async def _interrupt_cancelled(self) -> None:
        """Interrupt the running jobs that their callers cancelled."""
        if not self.running:
            return
        found = await self._store.cancelled_names()
        if isinstance(found, Failure):
            return
        for name in found.unwrap():
            for tasks in self._job_tasks.values():
                task = tasks.get(name)
                if task is not None:
                    task.cancel("cancelled by its caller")

    # --- Running one job.

    async def _run_job(
        self, scheduler: PoolScheduler, claim: JobClaim
    ) -> None:
        """Run one job and record its result."""
        pool = scheduler.executors.pool
        sent = False

        async def may_start() -> bool:
            nonlocal sent
            if sent:
                return True
            dispatched = await self._store.dispatch(claim)
            sent = isinstance(dispatched, Success)
            return sent

        request = _caller_request(pool, claim)
        try:
            result = await self._runner.run(
                scheduler, request, _short_id(claim), self._clock(), may_start
            )
            await self._record_result(scheduler, claim, result)
        except asyncio.CancelledError:
            await self._report_interrupted(claim, sent)
        finally:
            self._job_tasks[pool].pop(claim.name, None)
            self.poll_soon(pool)

    async def _record_result(
        self, scheduler: PoolScheduler, claim: JobClaim, result: RunResult
    ) -> None:
        """Record the result of a job."""
        answer = result.answer
        if answer is not None:
            failed = answer.status >= SERVER_ERROR_STATUS
            if not failed or not claim.request.repeatable:
                self._metrics.count("jobs-done")
                await self._store.report_done(
                    claim, answer.status, answer.headers, answer.body
                )
                return
        if result.outcome is Outcome.NOT_RUN:
            await self._store.hand_back(claim)
            return
        self._metrics.count("jobs-failed")
        reason = str(result.fault) if result.fault else "server error"
        if answer is not None:
            reason = f"answered with status {answer.status}"
        await self._store.report_failed(
            claim,
            result.worker,
            result.worker_rack,
            reason,
            may_have_run=True,
            racks_in_pool=scheduler.executors.usable_racks,
            is_suspect=self._is_suspect,
        )

    async def _report_interrupted(self, claim: JobClaim, sent: bool) -> None:
        """Record that a job was interrupted by its caller or by a stop."""
        if not self._stopping:
            self._metrics.count("jobs-cut")
            await self._store.report_cancelled(claim)
            return
        await self._store.hand_back(claim, sent, "the daemon stopped")

    def _is_suspect(self, host: str) -> bool:
        """Return whether a host fails other jobs as well."""
        for scheduler in self._pools.all():
            if host in scheduler.executors.ejected:
                return True
        return False

    # --- Jobs of runs that have ended.

    async def _recover(self) -> None:
        """Release the jobs of ended runs while this daemon drives the plan."""
        while True:
            await asyncio.sleep(RECOVER_PERIOD_S)
            if self._stopping or not self._is_plan_driver():
                continue
            owners = await find_ended_owners(self._platform)
            if isinstance(owners, Failure) or not owners.unwrap():
                continue
            released = await self._store.recover(
                owners.unwrap(), self._unix_clock()
            )
            if released:
                log_change("jobs freed", count=released, of=owners.unwrap())


def _caller_request(pool: str, claim: JobClaim) -> CallerRequest:
    """Return a job's request in the form of a caller's request."""
    stored = claim.request
    headers = []
    for name, value in stored.headers:
        headers.append((name.encode("latin-1"), value.encode("latin-1")))
    request = Request(
        stored.method.encode("latin-1"),
        stored.target.encode("latin-1"),
        headers,
        stored.body,
    )
    return CallerRequest(
        request,
        pool,
        claim.tenant,
        RequestClass.LONG,
        JOB_TIMEOUT_S,
        stored.repeatable,
        "",
    )


def _short_id(claim: JobClaim) -> str:
    """Return a request id that differs for each claim of a job."""
    return f"{claim.name[-16:]}-{claim.epoch}"
