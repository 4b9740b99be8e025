"""The job service of one daemon, assembled from its components."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

from lycheelug.jobservice.context import OwnerContext
from lycheelug.jobservice.duties import Duties
from lycheelug.jobservice.executor_entries import ExecutorEntries
from lycheelug.jobservice.fleet_owner import FleetOwner
from lycheelug.jobservice.interfaces import SubmissionAnswer, SubmissionRouter
from lycheelug.jobservice.placement_queries import PlacementQueries
from lycheelug.jobservice.pool_owner import PoolOwner
from lycheelug.jobservice.queue_rows import NO_GATES, GateVersions
from lycheelug.jobservice.submissions import Submissions
from lycheelug.jobservice.tables import FLEET_PART
from lycheelug.logs import log_change
from lycheelug.metrics import Metrics
from lycheelug.supervision import supervise

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from lycheelug.fleetplan import MaintenanceWave, PlanPolicies
    from lycheelug.jobservice.clock import Clock
    from lycheelug.jobservice.executor_list import ExecutorList
    from lycheelug.jobservice.held_duty import DutyHolder
    from lycheelug.jobservice.interfaces import (
        Configuration,
        ExecutorGateway,
        HostControl,
        SubmissionOutcome,
        WaitingCount,
    )
    from lycheelug.jobservice.placement_queries import AskRemote
    from lycheelug.ownership import OwnerRecord
    from lycheelug.scarcity import OverloadPolicy
    from lycheelug.store.rows import RowStore
    from lycheelug.workloads import ExecutorInfo, JobLimits, JobRecord

    RemoteSubmit = Callable[
        [str, str, str, JobRecord, GateVersions], Awaitable[SubmissionOutcome]
    ]
    RemoteCount = Callable[[str, str, str, str], Awaitable[WaitingCount]]

__all__ = ["JobService"]


class JobService(SubmissionRouter):
    """Routes submissions and holds the state that its components share."""

    __slots__ = (
        "_context",
        "_count_remote",
        "_entries",
        "_executor_list",
        "_hosts",
        "_locations_task",
        "_maintenance_s",
        "_name",
        "_policies",
        "_submit_remote",
        "configuration",
        "duties",
        "metrics",
        "placement_queries",
        "submissions",
        "waves",
    )

    def __init__(
        self,
        name: str,
        zone: str,
        store: RowStore,
        gateway: ExecutorGateway,
        hosts: HostControl,
        clock: Clock,
        lease_s: float,
        maintenance_s: float,
        is_store_unreachable: Callable[[], bool] = lambda: False,
        submit_remote: RemoteSubmit | None = None,
        weight: float = 1.0,
        count_remote: RemoteCount | None = None,
        job_limits: JobLimits | None = None,
        keeps_apart: bool = False,
        locate_remote: AskRemote | None = None,
        overload: OverloadPolicy | None = None,
        policies: PlanPolicies | None = None,
        lease_max_s: float = 0.0,
        job_memory_bytes: int = 0,
    ) -> None:
        self._locations_task: asyncio.Task[None] | None = None
        self._maintenance_s = maintenance_s
        self._policies = policies
        self._name = name
        self._hosts = hosts
        self.metrics = Metrics()
        self.configuration: Configuration | None = None
        self.waves: dict[int, MaintenanceWave] = {}
        self._entries = ExecutorEntries()
        # None if the executors are set by `update_executor` alone.
        self._executor_list: ExecutorList | None = None
        # Sends a submission to the daemon at an address.
        self._submit_remote = submit_remote
        # Asks the daemon at an address for a count.
        self._count_remote = count_remote
        self.submissions = Submissions(
            store,
            clock,
            self.metrics,
            self,
            is_store_unreachable,
            lambda: self.duties.heartbeats.liveness.write_delay_s,
            name,
        )
        self._context = OwnerContext(
            store,
            gateway,
            hosts,
            clock,
            self.metrics,
            lambda: self.configuration,
            self.executors_of,
            lease_s,
            is_store_unreachable,
            self._wait_for_executors,
            self._executor_list_age_s,
            weight,
            job_limits,
            keeps_apart,
            overload,
            lease_max_s,
            job_memory_bytes,
        )
        incarnation = secrets.token_hex(8)
        self.duties = Duties(
            store,
            clock,
            name,
            incarnation,
            zone,
            self._pools,
            self._make_holder,
            self.metrics,
            weight,
        )

        self.placement_queries = PlacementQueries(
            name,
            self._context,
            lambda: self.duties.held,
            self.duties.owner_address,
            locate_remote,
        )

    @property
    def is_configured(self) -> bool:
        """Whether a configuration is in force."""
        return self.configuration is not None

    @property
    def owns_pools(self) -> bool:
        """Whether this daemon owns any pool."""
        return any(duty != FLEET_PART for duty in self.duties.held)

    def start(self, address: str = "") -> None:
        """Start all tasks; other daemons reach this one at `address`."""
        self.duties.start(address)
        locations = self.submissions.locations
        self._locations_task = asyncio.get_running_loop().create_task(
            supervise("queue-locations", locations.run, self.metrics)
        )

    async def drain(self) -> None:
        """Release the duties; submissions are still accepted."""
        await self.duties.release()

    async def stop(self) -> None:
        """Cancel all tasks."""
        if self._locations_task is not None:
            self._locations_task.cancel()
        await self.duties.stop()

    # --- Submissions and questions to the pools' owners.

    async def submit(
        self,
        pool: str,
        job_id: str,
        record: JobRecord,
        gates: GateVersions = NO_GATES,
    ) -> SubmissionOutcome:
        """Pass a submission to its pool's owner, here or on a peer."""
        if pool in self.duties.held or self._submit_remote is None:
            return await self.submit_locally(pool, job_id, record, gates)
        address = self.duties.owner_address(pool)
        if not address:
            return SubmissionAnswer.NOT_TAKEN
        return await self._submit_remote(address, pool, job_id, record, gates)

    async def submit_locally(
        self,
        pool: str,
        job_id: str,
        record: JobRecord,
        gates: GateVersions = NO_GATES,
    ) -> SubmissionOutcome:
        """Store a submission if this daemon owns its pool."""
        holder = self.duties.held.get(pool)
        if not isinstance(holder, PoolOwner):
            return SubmissionAnswer.NOT_TAKEN
        return await holder.submit(job_id, record, gates)

    async def count_waiting(
        self, pool: str, queue: str, address: str
    ) -> WaitingCount:
        """Ask a pool's owner, here or on a peer, for a queue's count."""
        if pool in self.duties.held or self._count_remote is None:
            return self.count_locally(pool, queue, address)
        owner = self.duties.owner_address(pool)
        if not owner:
            return None
        return await self._count_remote(owner, pool, queue, address)

    def count_locally(
        self, pool: str, queue: str, address: str = ""
    ) -> WaitingCount:
        """Count a queue's waiting jobs if this daemon owns its pool.

        Without its address, as a daemon of an earlier release asks for it,
        the jobs with its name are counted.
        """
        holder = self.duties.held.get(pool)
        if not isinstance(holder, PoolOwner):
            return None
        return holder.count_waiting(queue, address)

    # --- Updates from the platform.

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration, unless it is no newer than the current."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        self.submissions.apply_configuration(configuration)
        log_change(
            "configuration-in-force",
            version=configuration.version,
            former=current.version if current is not None else 0,
            routes=len(configuration.routes),
            pools=len(configuration.pools),
        )

    def follow_executors(self, executor_list: ExecutorList) -> None:
        """Request this list of executors whenever a pool is won."""
        self._executor_list = executor_list

    def update_executor(
        self, executor_id: str, info: ExecutorInfo | None
    ) -> None:
        """Update an executor's entry; None means that it was removed."""
        self._entries.update(executor_id, info)
        for holder in self.duties.held.values():
            if isinstance(holder, PoolOwner):
                holder.wake()

    def update_wave(self, wave: MaintenanceWave) -> None:
        """Add or replace a maintenance wave."""
        if wave.number not in self.waves:
            log_change(
                "wave-seen",
                wave=wave.number,
                hosts=len(wave.hosts),
                deadline_s=wave.deadline_s,
            )
        self.waves[wave.number] = wave

    def executors_of(self, pool: str) -> list[ExecutorInfo]:
        """Return the executors of a pool that have an entry."""
        return self._entries.of_pool(pool)

    async def _wait_for_executors(self) -> None:
        """Wait until the list of executors is complete."""
        if self._executor_list is not None:
            await self._executor_list.wait_loaded()

    def _executor_list_age_s(self) -> float:
        """Return how long ago the list of executors was read."""
        known = self._executor_list
        return known.age_s if known is not None else 0.0

    # --- Callbacks for the duties.

    def _pools(self) -> list[str]:
        """Return the pools that need an owner."""
        if self.configuration is None:
            return []
        return self.configuration.served_pools

    def _make_holder(
        self, duty: str, record: OwnerRecord, version: int
    ) -> DutyHolder:
        """Create the holder of a duty."""
        if duty == FLEET_PART:
            return FleetOwner(
                self._context,
                self._hosts,
                self._name,
                record.term,
                version,
                lambda: self.waves,
                self._maintenance_s,
                record.stalled_before,
                awaits_predecessor=record.term > 1
                and not record.is_after_release
                and not self._hosts.checks_fencing,
                policies=self._policies,
            )
        if self._executor_list is not None:
            # The list is read while the pool's state is.
            self._executor_list.request()
        return PoolOwner(
            self._context, duty, record.term, version, record.stalled_before
        )
