"""Owns the fleet plan: executes the planner's host moves and maintenance.

An order is stored before its host is drained, and marked as sent before
the call to the platform.  After a takeover, the new owner repeats the
orders that may be in progress under its own, higher fencing token.  So a
late call of its predecessor can't affect a host that is in use again.  What
keeps such calls apart from its own is described in `order_permit`.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from returns.result import Failure

from lycheelug.fleetplan import (
    HOSTS_KEY,
    SUMMARIES_TABLE,
    SUMMARY_KEY,
    FleetPlanner,
    HostsRecord,
    SummaryRecord,
    decode_hosts,
    decode_summary,
)
from lycheelug.jobservice.fleet_log import FleetLog
from lycheelug.jobservice.host_reads import read_interval_s
from lycheelug.jobservice.interfaces import HostAnswer
from lycheelug.jobservice.order_permit import ORDER_TRANSIT_S, OrderPermit
from lycheelug.jobservice.plan_store import PlanStore
from lycheelug.jobservice.wave_status import WaveStatus
from lycheelug.logs import log_change, log_fault
from lycheelug.ownership import WorkProgress
from lycheelug.store.replica import FEED_WAIT_S, TableReplica
from lycheelug.supervision import describe_error

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.fleetplan import HostCall, MaintenanceWave, PlanPolicies
    from lycheelug.jobservice.context import OwnerContext
    from lycheelug.jobservice.interfaces import (
        HostControl,
    )
    from lycheelug.store.rows import StoredRow

__all__ = ["FleetOwner"]

ROUND_S: Final = 0.06
# The pause after a round that ended with an unexpected error.
DEFECT_PAUSE_S: Final = 0.5
# How often the list of hosts is read at most while no host changes, and
# while moves or maintenance are in progress or a wave names hosts that the
# list doesn't have, and the bytes that these reads
# may take a second.
HOSTS_READ_IDLE_S: Final = 2.0
HOSTS_READ_BUSY_S: Final = 0.4
HOSTS_IDLE_BYTES_PER_S: Final = 20_000
HOSTS_BUSY_BYTES_PER_S: Final = 80_000
# How much older than the interval at which they are read hosts and summaries
# may be before they aren't current.
INPUT_LATE_S: Final = 1.0
# The pause between two calls to the feed, so that one call returns several
# changed summaries.
FEED_PAUSE_S: Final = 0.05


class FleetOwner:
    """The owner of the fleet plan for one term."""

    __slots__ = (
        "_broken_waves",
        "_calls",
        "_context",
        "_hosts",
        "_hosts_at",
        "_loads",
        "_log",
        "_lost",
        "_maintenance_s",
        "_name",
        "_permit",
        "_plan_store",
        "_planner",
        "_policies",
        "_summaries_at",
        "_summaries_replica",
        "_term",
        "_wave_status",
        "_waves",
        "work",
    )

    def __init__(
        self,
        context: OwnerContext,
        hosts: HostControl,
        name: str,
        term: int,
        owner_version: int,
        waves: Callable[[], dict[int, MaintenanceWave]],
        maintenance_s: float,
        stalled_before: int = 0,
        awaits_predecessor: bool = False,
        policies: PlanPolicies | None = None,
    ) -> None:
        # Rounds of planning; one succeeds if what it needs is current.
        self.work = WorkProgress(stalled_before)
        self._context = context
        self._hosts = hosts
        self._name = name
        self._term = term
        self._waves = waves
        self._maintenance_s = maintenance_s
        self._policies = policies
        self._planner = FleetPlanner(term, None, maintenance_s)
        self._plan_store = PlanStore(context.store, owner_version)
        self._hosts_at: float | None = None
        # The newest loads of the pools' hosts.
        self._loads: dict[str, HostsRecord] = {}
        self._wave_status = WaveStatus(hosts)
        # The waves that can't be planned, which were logged.
        self._broken_waves: set[int] = set()
        self._log = FleetLog(context.metrics, term)
        self._calls: dict[str, asyncio.Task[None]] = {}
        self._summaries_replica = TableReplica(
            context.store,
            SUMMARIES_TABLE,
            self._on_summary,
            pause_s=FEED_PAUSE_S,
            on_answer=self._on_summaries,
        )
        # Local time of the last answer of the feed of summaries.
        self._summaries_at: float | None = None
        self._lost = asyncio.Event()
        self._permit = OrderPermit(context.clock, awaits_predecessor)

    async def run(self) -> None:
        """Plan until the duty is lost."""
        replica_task = asyncio.get_running_loop().create_task(
            self._summaries_replica.run()
        )
        try:
            is_recovered = False
            while not self._lost.is_set():
                self.work.record_attempt(self._context.clock.now())
                try:
                    if not is_recovered:
                        is_recovered = await self._recover()
                    elif await self._round():
                        self.work.record_success()
                except Exception as error:
                    # The next owner would meet the same error.
                    log_change(
                        "defect", duty="fleet", error=describe_error(error)
                    )
                    self._context.metrics.count("defects")
                    await asyncio.sleep(DEFECT_PAUSE_S)
                await asyncio.sleep(ROUND_S)
        finally:
            replica_task.cancel()
            for call in self._calls.values():
                call.cancel()

    def revoke(self, reason: str) -> None:
        """Stop because the fleet plan has another owner."""
        if not self._lost.is_set():
            log_change(
                "duty-lost", duty="fleet", term=self._term, reason=reason
            )
        self._permit.revoke()
        self._lost.set()

    async def hand_over(self) -> None:
        """End all calls; the next owner completes the sent orders."""
        self._permit.revoke()
        self._lost.set()
        if not self._calls:
            return
        _, unfinished = await asyncio.wait(
            self._calls.values(), timeout=ORDER_TRANSIT_S
        )
        for call in unfinished:
            call.cancel()

    # --- Rounds.

    async def _recover(self) -> bool:
        """Read the plan that the last owner stored."""
        loaded = await self._plan_store.load(self._term)
        if isinstance(loaded, Failure):
            log_fault("plan-not-read", loaded.failure())
            return False
        self._planner = FleetPlanner(
            self._term, loaded.unwrap(), self._maintenance_s, self._policies
        )
        for host, order in self._planner.plan.orders.items():
            if order.sent:
                now = self._context.clock.now()
                self._planner.known.record_unanswered(host, now)
        for summary_row in self._summaries_replica.rows:
            self._on_summary(summary_row)
        log_change(
            "plan-recovered",
            term=self._term,
            orders=len(self._planner.plan.orders),
        )
        return True

    async def _round(self) -> bool:
        """Plan once, store the plan and make the calls that are due.

        Return False if the plan was based on old rows or was not stored.
        """
        planner = self._planner
        configuration = self._context.configuration()
        if configuration is None:
            return True
        if not await self._read_hosts():
            return False
        planner.pools = [
            pool.name
            for pool in configuration.pools.values()
            if not pool.is_standby
        ]
        for pool in configuration.pools.values():
            if pool.is_standby:
                planner.standby = pool.name
        planner.waves = dict(self._waves())
        clock = self._context.clock
        planner.decide(clock.now(), clock.unix_ms())
        for number, error in planner.broken_waves.items():
            if number not in self._broken_waves:
                self._broken_waves.add(number)
                log_change(
                    "wave-set-aside", wave=number, error=describe_error(error)
                )
                self._context.metrics.count("defects")
        self._log.log_withdrawals(planner)
        self._log.log_sizes(planner, clock.now())
        due = [] if self._permit.is_held else self._due_calls()
        for call in due:
            call.order.sent = True
        # The platform may not check fencing tokens, so an order is repeated
        # only by an owner that was not replaced.
        requested_at = clock.now()
        is_stored = await self._plan_store.save(
            planner.plan, requested_at, needs_proof=bool(due)
        )
        if self._plan_store.is_lost:
            self.revoke("the owner row has another holder")
        if not is_stored:
            return False
        if due:
            self._permit.record_proof(requested_at)
        loop = asyncio.get_running_loop()
        for call in due:
            task = loop.create_task(self._execute(call))
            self._calls[call.host] = task
        await self._wave_status.publish(planner)
        return self._is_current()

    def _due_calls(self) -> list[HostCall]:
        """Return the calls that are due and not in progress."""
        return [
            call
            for call in self._planner.due_calls()
            if call.host not in self._calls
        ]

    def _is_current(self) -> bool:
        """Whether the hosts and the summaries were read lately."""
        now = self._context.clock.now()
        inputs = (
            (self._hosts_at, self._hosts_interval_s()),
            (self._summaries_at, FEED_WAIT_S),
        )
        for read_at, interval_s in inputs:
            if read_at is None or now - read_at > interval_s + INPUT_LATE_S:
                return False
        return True

    def _hosts_interval_s(self) -> float:
        """Return how often the list of hosts is to be read now."""
        shortest_s, bytes_per_s = HOSTS_READ_IDLE_S, HOSTS_IDLE_BYTES_PER_S
        if self._planner.is_busy or self._planner.awaits_hosts:
            shortest_s, bytes_per_s = HOSTS_READ_BUSY_S, HOSTS_BUSY_BYTES_PER_S
        return read_interval_s(
            len(self._planner.hosts),
            shortest_s,
            bytes_per_s,
            self._context.weight,
        )

    def _on_summaries(self) -> None:
        """Record that the feed of summaries has answered."""
        self._summaries_at = self._context.clock.now()

    async def _read_hosts(self) -> bool:
        """Refresh the list of hosts; return False if none was ever read."""
        now = self._context.clock.now()
        if (
            self._hosts_at is not None
            and now - self._hosts_at < self._hosts_interval_s()
        ):
            return True
        result = await self._hosts.hosts()
        if isinstance(result, Failure):
            log_fault("hosts-not-read", result.failure())
            return self._hosts_at is not None
        self._hosts_at = now
        self._planner.update_hosts(
            {host.name: host for host in result.unwrap()}, now
        )
        return True

    async def _execute(self, call: HostCall) -> None:
        """Send the order to move or maintain one host."""
        order = call.order
        may_send = self._permit.may_send
        try:
            if order.wave:
                answer = await self._hosts.maintain(
                    call.host, order.wave, self._name, self._term, may_send
                )
            else:
                answer = await self._hosts.move(
                    call.host, order.target, self._name, self._term, may_send
                )
        finally:
            del self._calls[call.host]
        log_change(
            "host-order",
            host=call.host,
            pool=order.pool,
            target=order.target,
            wave=order.wave,
            number=order.number,
            term=self._term,
            answer=answer.name.lower(),
            proof_age_s=round(self._permit.age_s, 2),
        )
        self._context.metrics.count(f"host-orders-{answer.name.lower()}")
        now = self._context.clock.now()
        if answer is HostAnswer.DONE and order.wave:
            self._planner.record_maintenance(call.host, order.wave, now)
        elif answer is HostAnswer.DONE:
            self._planner.record_move(call.host, order.target, now)
        elif answer is HostAnswer.NO_ANSWER:
            self._planner.known.record_unanswered(call.host, now)
        elif answer is HostAnswer.FENCED:
            self.revoke("the platform has seen a higher fencing token")
        elif answer in (HostAnswer.REFUSED, HostAnswer.BUSY):
            self._planner.record_refusal(call.host)
            self._hosts_at = None

    def _on_summary(self, row: StoredRow) -> None:
        """Apply a changed pool summary or list of loads.

        One of an earlier term than the known one is ignored.
        """
        if row.value is None or row.key not in (SUMMARY_KEY, HOSTS_KEY):
            return
        record: SummaryRecord | HostsRecord | None
        if row.key == SUMMARY_KEY:
            record = decode_summary(row.value)
        else:
            record = decode_hosts(row.value)
        if record is None:
            log_change("row-unreadable", table=row.table, part=row.part)
            return
        summary = self._planner.summaries.get(row.part)
        loads = self._loads.get(row.part)
        if isinstance(record, SummaryRecord):
            if summary is not None and summary.term > record.term:
                return
            summary = record
            self._planner.summaries[row.part] = record
        else:
            if loads is not None and loads.term > record.term:
                return
            loads = record
            self._loads[row.part] = record
        if summary is not None and loads is not None:
            summary.hosts = loads.hosts
