"""Driver of the fleet's plan: commits steps and calls the platform.

Each call of `step` plans once from a snapshot and sends everything that is
allowed now.  Any daemon may run a driver.  Safety needs no state between
calls: transactions are guarded and calls to the platform's host pool are
idempotent, so a driver may be paused at any point and continue later.  A
lease row for each zone only keeps two drivers from doing the same work.

A call to the host pool can't be guarded by a revision.  The host's row is
therefore read again just before the call, and `plan_hosts` undoes a drain
that arrives late nevertheless.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from returns.result import Failure, Success

from lycheelug.plan import next_steps
from lycheelug.records import (
    PlanLeaseRow,
    encode,
    host_key,
    plan_lease_key,
)
from lycheelug.steps import CallKind
from lycheelug.store.interface import (
    ABSENT,
    Commit,
    Conflict,
    Guard,
    Row,
    Transaction,
    Write,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from lycheelug.blockers import Blocker
    from lycheelug.errors import Fault
    from lycheelug.fleet import FleetSnapshot
    from lycheelug.plan import Plan
    from lycheelug.steps import PlatformCall, Step
    from lycheelug.store.interface import Platform

__all__ = ["PLAN_LEASE_S", "PlanDriver", "StepReport"]

PLAN_LEASE_S: Final = 30.0
# A lease is renewed once it expires in less than this.
PLAN_LEASE_RENEW_S: Final = 10.0


class StepReport:
    """The result of one step of a driver: what was sent, and blockers."""

    __slots__ = (
        "blockers",
        "calls",
        "committed",
        "conflicts",
        "faults",
        "moves_left",
        "revision",
        "zones",
    )

    def __init__(self) -> None:
        self.committed: list[Step] = []
        self.conflicts: list[Step] = []
        self.calls: list[PlatformCall] = []
        # Faults of steps and calls whose outcome may be unknown.
        self.faults: list[Fault] = []
        self.blockers: list[Blocker] = []
        self.moves_left = 0
        self.zones: frozenset[str] = frozenset()
        # The table's revision after the last commit; 0 if there was none.
        self.revision = 0

    @property
    def is_idle(self) -> bool:
        """Whether nothing was sent."""
        return not (
            self.committed or self.conflicts or self.calls or self.faults
        )


class PlanDriver:
    """Sends the plan's next steps for the zones whose lease it holds."""

    __slots__ = ("_clock", "_name", "_nonces", "_planner", "_platform")

    def __init__(
        self,
        platform: Platform,
        clock: Callable[[], float],
        nonces: Callable[[], str],
        name: str,
        planner: Callable[
            [FleetSnapshot, float, frozenset[str] | None], Plan
        ] = next_steps,
    ) -> None:
        """Create a driver.

        `clock` returns Unix time in seconds.  `nonces` returns a new nonce
        on each call.
        """
        self._platform = platform
        self._clock = clock
        self._nonces = nonces
        self._name = name
        self._planner = planner

    async def step(self, view: FleetSnapshot) -> StepReport:
        """Plan once from a view and send everything that is allowed now."""
        report = StepReport()
        report.zones = self._available_zones(view)
        plan = self._planner(view, self._clock(), report.zones)
        if plan.steps or plan.calls:
            report.zones = await self._acquire_leases(view, plan, report)
            plan = _restrict_to_zones(plan, report.zones)
        report.blockers = plan.blockers
        report.moves_left = len(plan.moves)
        for step in plan.steps:
            if not await self._commit_step(step, report):
                break
        for call in plan.calls:
            await self._send_call(call, report)
        return report

    def _available_zones(self, view: FleetSnapshot) -> frozenset[str]:
        """Return the zones whose lease no other driver holds."""
        zones: set[str] = set()
        for zone in view.zones():
            lease = view.leases.get(zone)
            if lease is None or self._can_acquire(lease.row):
                zones.add(zone)
        return frozenset(zones)

    def _can_acquire(self, lease: PlanLeaseRow) -> bool:
        return lease.driver == self._name or lease.until <= self._clock()

    def _is_fresh(self, lease: PlanLeaseRow) -> bool:
        remaining_s = lease.until - self._clock()
        return lease.driver == self._name and remaining_s > PLAN_LEASE_RENEW_S

    async def _acquire_leases(
        self, view: FleetSnapshot, plan: Plan, report: StepReport
    ) -> frozenset[str]:
        """Acquire or renew the leases of the plan's zones.

        Return the zones whose lease is held.  Zones without work need no
        lease, which saves the write.
        """
        wanted = {call.zone for call in plan.calls}
        for step in plan.steps:
            wanted.update(step.zones)
        held: set[str] = set()
        for zone in sorted(wanted):
            if await self._acquire_lease(view, zone, report):
                held.add(zone)
        return frozenset(held)

    async def _acquire_lease(
        self, view: FleetSnapshot, zone: str, report: StepReport
    ) -> bool:
        lease = view.leases.get(zone)
        if lease is not None and self._is_fresh(lease.row):
            return True
        key = plan_lease_key(zone)
        row = PlanLeaseRow(zone, self._name, self._clock() + PLAN_LEASE_S)
        transaction = Transaction(
            [Guard(key, lease.revision if lease is not None else ABSENT)],
            [Write(key, encode(row))],
            self._nonces(),
        )
        match await self._platform.transact(transaction):
            case Success(Commit()):
                return True
            case Failure(fault):
                report.faults.append(fault)
        return False

    async def _commit_step(self, step: Step, report: StepReport) -> bool:
        """Send a step; return False if the call to the platform fails.

        An unknown outcome needs no record: the next plan starts from the
        rows, which show whether the step took effect.
        """
        transaction = step.transaction(self._nonces())
        match await self._platform.transact(transaction):
            case Success(Commit() as commit):
                report.committed.append(step)
                report.revision = max(report.revision, commit.revision)
                return True
            case Success(Conflict()):
                report.conflicts.append(step)
                return True
            case Failure(fault):
                report.faults.append(fault)
        return False

    async def _send_call(self, call: PlatformCall, report: StepReport) -> None:
        """Call the host pool, unless the host's row has changed since."""
        match await self._platform.read(host_key(call.zone, call.host)):
            case Success(Row() as row) if row.revision == call.revision:
                pass
            case Failure(fault):
                report.faults.append(fault)
                return
            case _:
                return
        match await self._request(call):
            case Success(_):
                report.calls.append(call)
            case Failure(fault):
                report.faults.append(fault)

    async def _request(self, call: PlatformCall) -> Result[None, Fault]:
        if call.kind is CallKind.DRAIN:
            return await self._platform.drain(call.host)
        if call.kind is CallKind.REBOOT:
            return await self._platform.reboot(call.host, call.nonce)
        return await self._platform.resume(call.host)


def _restrict_to_zones(plan: Plan, zones: frozenset[str]) -> Plan:
    """Drop the steps and calls of zones whose lease is not held."""
    plan.steps = [step for step in plan.steps if step.zones <= zones]
    plan.calls = [call for call in plan.calls if call.zone in zones]
    return plan
