"""The components of a daemon that process requests and long jobs.

Creates and connects the components, and runs their periodic cleanup.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from lycheelug.callers.keyed import KeyedRequests
from lycheelug.callers.long_jobs import LongJobs
from lycheelug.callers.service import CallerService
from lycheelug.claims import SWEEP_PERIOD_S, ClaimStore, IssuedKeys
from lycheelug.job_runner import JobRunner
from lycheelug.jobs import JobStore
from lycheelug.logs import log_change
from lycheelug.recording import Recording
from lycheelug.retries import BUDGETS
from lycheelug.runner import RequestRunner
from lycheelug.upstreams.exchange import Upstreams

if TYPE_CHECKING:
    from lycheelug.core import Core
    from lycheelug.freshness import FreshnessGate

__all__ = ["RequestPath"]


class RequestPath:
    """Processes callers' requests and long jobs."""

    __slots__ = (
        "_core",
        "_gate",
        "_sweep_task",
        "callers",
        "claims",
        "job_runner",
        "jobs",
        "keyed",
        "recording",
        "upstreams",
    )

    def __init__(self, core: Core, gate: FreshnessGate) -> None:
        self._core = core
        self._gate = gate
        self._sweep_task: asyncio.Task[None] | None = None
        settings = core.settings
        self.recording = Recording()
        self.upstreams = Upstreams(
            settings.upstreams, settings.limits.max_answer_bytes
        )
        runner = RequestRunner(
            self.upstreams,
            BUDGETS.get(settings.policies.retries)(
                ratio=settings.upstreams.retry_share
            ),
            settings.upstreams,
            core.metrics,
            gate,
            time.monotonic,
        )
        self.claims = self._make_claims()
        self.keyed = KeyedRequests(
            self.claims,
            IssuedKeys(settings.name, core.run_id, random.SystemRandom()),
            core.metrics,
            time.time,
        )
        self.jobs = self._make_jobs()
        long_jobs = LongJobs(self.jobs, core.metrics, time.time)
        self.job_runner = self._make_job_runner(runner)
        long_jobs.on_submitted = self.job_runner.poll_soon
        self.callers = CallerService(
            settings,
            core.run_id,
            core.pools,
            runner,
            self.keyed,
            long_jobs,
            self.recording,
            core.metrics,
            lambda: core.is_serving,
            time.monotonic,
        )

    @property
    def in_flight(self) -> int:
        """The number of requests and jobs in progress.

        Includes requests whose caller has disconnected.
        """
        requests = max(self.callers.in_flight, self.keyed.running)
        return requests + self.job_runner.running

    def start(self) -> None:
        """Start running jobs and the periodic cleanup."""
        self.job_runner.start()
        self._sweep_task = asyncio.create_task(self._run_sweeps())

    async def flush_writes(self, timeout_s: float) -> None:
        """Wait until all pending writes of claims and jobs are stored."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.claims.flush()
                await self.jobs.flush()
        except TimeoutError:
            pending = self.claims.pending + self.jobs.pending
            log_change("not settled", pending=pending)

    async def stop(self, flush_timeout_s: float) -> None:
        """Cancel all work in progress and flush pending writes."""
        if self._sweep_task is not None:
            self._sweep_task.cancel()
        await self.job_runner.stop()
        await self.flush_writes(flush_timeout_s)
        await self.claims.close()
        await self.jobs.close()
        self.upstreams.close()

    def _may_claim_jobs(self) -> bool:
        """Whether this run has joined, serves, and its view is not stale."""
        joined = self._core.join_revision > 0 and self._core.is_serving
        return joined and not self._gate.pauses.is_stale

    def _make_claims(self) -> ClaimStore:
        """Create the claim store of this run."""
        core = self._core
        return ClaimStore(
            core.platform,
            core.settings.name,
            core.run_id,
            time.time,
            core.rng,
            core.settings.timing.claim_retention_s,
        )

    def _make_jobs(self) -> JobStore:
        """Create the job store of this run; job handles are secrets."""
        core = self._core
        return JobStore(
            core.platform,
            core.settings.name,
            core.run_id,
            time.time,
            random.SystemRandom(),
        )

    def _make_job_runner(self, runner: RequestRunner) -> JobRunner:
        """Create the runner of this daemon's share of the jobs."""
        core = self._core
        return JobRunner(
            core.platform,
            self.jobs,
            core.pools,
            runner,
            core.metrics,
            self._may_claim_jobs,
            core.has_lowest_ready_name,
            time.monotonic,
            time.time,
        )

    async def _run_sweeps(self) -> None:
        """Periodically delete old claims and jobs and unused connections."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            await self.claims.sweep(time.time())
            await self.jobs.sweep(time.time())
            self.upstreams.close_except(self._core.pools.addresses())
