"""Runs long jobs from one daemon: takes them up, sends them, reports.

One read for all pools tells which have new jobs; only those are looked at.
Each pool has a small number of jobs in progress at a time, so that long
work takes its turn and leaves slots for short work; within the pool's
queue it is scheduled as class long.  A job is marked as dispatched in the
table, with a slot in hand, before its first byte leaves.

The daemon whose turn it is to drive the plan also frees the jobs of runs
that have ended.
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
NEWS_PERIOD_S: Final = 2.0
RECOVER_PERIOD_S: Final = 3.0
# One job in progress for each so many slots of a pool, and at least one.
SLOTS_PER_JOB: Final = 8
RUN_TIMEOUT_S: Final = 3600.0
SERVER_ERROR_STATUS: Final = 500


class JobRunner:
    """The long jobs that this daemon runs."""

    __slots__ = (
        "_book",
        "_clock",
        "_is_first",
        "_may_claim",
        "_metrics",
        "_news_revision",
        "_next_look",
        "_next_news",
        "_platform",
        "_pools",
        "_runner",
        "_stopping",
        "_tasks",
        "_unix_clock",
        "_wake",
        "_workers",
    )

    def __init__(
        self,
        platform: Platform,
        book: JobStore,
        pools: PoolTable,
        runner: RequestRunner,
        metrics: Metrics,
        may_claim: Callable[[], bool],
        is_first: Callable[[], bool],
        clock: Callable[[], float],
        unix_clock: Callable[[], float],
    ) -> None:
        self._platform = platform
        self._book = book
        self._pools = pools
        self._runner = runner
        self._metrics = metrics
        self._may_claim = may_claim
        self._is_first = is_first
        self._clock = clock
        self._unix_clock = unix_clock
        self._wake = asyncio.Event()
        self._stopping = False
        self._news_revision = 0
        self._next_news = 0.0
        # When each pool is looked at next, and its jobs in progress.
        self._next_look: dict[str, float] = {}
        self._workers: dict[str, dict[str, asyncio.Task[None]]] = {}
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def running(self) -> int:
        """Jobs in progress here."""
        return sum(len(each) for each in self._workers.values())

    def start(self) -> None:
        """Start taking jobs."""
        self._tasks = [
            asyncio.create_task(self._run()),
            asyncio.create_task(self._recover()),
        ]

    def poll_soon(self, pool: str) -> None:
        """Look for a pool's jobs at once: one was submitted here."""
        self._next_look[pool] = 0.0
        self._wake.set()

    def stop_claiming(self) -> None:
        """Take no more jobs; those in progress go on."""
        self._stopping = True

    async def stop(self) -> None:
        """Cut the jobs in progress; each is handed back or left unknown."""
        self._stopping = True
        running = list(self._tasks)
        for workers in self._workers.values():
            running.extend(workers.values())
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    # --- Taking jobs.

    async def _run(self) -> None:
        """Look at each pool in its turn."""
        while True:
            self._wake.clear()
            if not self._stopping and self._may_claim():
                await self._hear_news()
                for scheduler in self._pools.all():
                    await self._look(scheduler)
                await self._cancel_unwanted()
            try:
                async with asyncio.timeout(self._period_s()):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _period_s(self) -> float:
        """Return how long to wait before the next look."""
        next_look = min(self._next_look.values(), default=math.inf)
        is_busy = self.running > 0 or next_look < math.inf
        return BUSY_PERIOD_S if is_busy else NEWS_PERIOD_S

    async def _hear_news(self) -> None:
        """Find the pools with new jobs, by one read for all of them."""
        now = self._clock()
        if now < self._next_news:
            return
        self._next_news = now + NEWS_PERIOD_S
        since = self._news_revision
        result = await self._platform.read_since(WAITING_PREFIX, since)
        if isinstance(result, Failure):
            # Deletions that the store forgot are no news: start anew.
            if result.failure().code is REVISION_FORGOTTEN:
                self._news_revision = 0
            return
        delta = result.unwrap()
        self._news_revision = max(since, delta.revision)
        for row in delta.rows:
            if row.value is not None:
                self._next_look[row.key.split("/")[1]] = 0.0

    async def _look(self, scheduler: PoolScheduler) -> None:
        """Take as many of a pool's jobs as it has room for."""
        executors = scheduler.executors
        pool = executors.pool
        now = self._clock()
        executors.freshen(now)
        due = now >= self._next_look.get(pool, math.inf)
        if executors.capacity == 0 or not due:
            return
        # News that comes meanwhile sets it anew.
        self._next_look[pool] = math.inf
        workers = self._workers.setdefault(pool, {})
        most = max(1, executors.capacity // SLOTS_PER_JOB)
        period_s = math.inf
        while len(workers) < most and not self._stopping:
            claimed = await self._book.claim_next(pool)
            if isinstance(claimed, Failure):
                period_s = BUSY_PERIOD_S
                break
            claim: JobClaim | None = claimed.unwrap()
            if claim is None:
                break
            task = asyncio.create_task(self._work(scheduler, claim))
            workers[claim.name] = task
            period_s = BUSY_PERIOD_S
        if workers or self._book.waiting(pool):
            period_s = BUSY_PERIOD_S
        next_look = min(self._next_look[pool], now + period_s)
        self._next_look[pool] = next_look

    async def _cancel_unwanted(self) -> None:
        """Cut the running jobs whose callers cancelled them."""
        if not self.running:
            return
        found = await self._book.cancelled_names()
        if isinstance(found, Failure):
            return
        for name in found.unwrap():
            for workers in self._workers.values():
                task = workers.get(name)
                if task is not None:
                    task.cancel("cancelled by its caller")

    # --- Running one job.

    async def _work(self, scheduler: PoolScheduler, claim: JobClaim) -> None:
        """Run one job and report its end."""
        pool = scheduler.executors.pool
        sent = False

        async def may_start() -> bool:
            nonlocal sent
            if sent:
                return True
            marked = await self._book.dispatch(claim)
            sent = isinstance(marked, Success)
            return sent

        wanted = _caller_request(pool, claim)
        try:
            run = await self._runner.run(
                scheduler, wanted, _short_id(claim), self._clock(), may_start
            )
            await self._report(scheduler, claim, run)
        except asyncio.CancelledError:
            await self._report_cut(claim, sent)
        finally:
            self._workers[pool].pop(claim.name, None)
            self.poll_soon(pool)

    async def _report(
        self, scheduler: PoolScheduler, claim: JobClaim, run: RunResult
    ) -> None:
        """Report how a job ended."""
        answer = run.answer
        if answer is not None:
            failed = answer.status >= SERVER_ERROR_STATUS
            if not failed or not claim.request.repeatable:
                self._metrics.count("jobs-done")
                await self._book.report_done(
                    claim, answer.status, answer.headers, answer.body
                )
                return
        if run.outcome is Outcome.NOT_RUN:
            await self._book.hand_back(claim)
            return
        self._metrics.count("jobs-failed")
        reason = str(run.fault) if run.fault else "server error"
        if answer is not None:
            reason = f"answered with status {answer.status}"
        await self._book.report_failed(
            claim,
            run.worker,
            run.worker_rack,
            reason,
            may_have_run=True,
            racks_in_pool=scheduler.executors.usable_racks,
            is_suspect=self._is_suspect,
        )

    async def _report_cut(self, claim: JobClaim, sent: bool) -> None:
        """Report a job that was cut by its caller or by a stop."""
        if not self._stopping:
            self._metrics.count("jobs-cut")
            await self._book.report_cancelled(claim)
            return
        await self._book.hand_back(claim, sent, "the daemon stopped")

    def _is_suspect(self, host: str) -> bool:
        """Whether a host fails other jobs as well."""
        for scheduler in self._pools.all():
            if host in scheduler.executors.ejected:
                return True
        return False

    # --- Jobs of runs that have ended.

    async def _recover(self) -> None:
        """Free the jobs of ended runs, while it is this daemon's turn."""
        while True:
            await asyncio.sleep(RECOVER_PERIOD_S)
            if self._stopping or not self._is_first():
                continue
            owners = await find_ended_owners(self._platform)
            if isinstance(owners, Failure) or not owners.unwrap():
                continue
            freed = await self._book.recover(
                owners.unwrap(), self._unix_clock()
            )
            if freed:
                log_change("jobs freed", count=freed, of=owners.unwrap())


def _caller_request(pool: str, claim: JobClaim) -> CallerRequest:
    """Return a job's request as if its caller sent it now."""
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
        RUN_TIMEOUT_S,
        stored.repeatable,
        "",
    )


def _short_id(claim: JobClaim) -> str:
    """Return a request id that differs for each claim of a job."""
    return f"{claim.name[-16:]}-{claim.epoch}"
