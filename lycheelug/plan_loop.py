"""Background task that drives the fleet's plan in one daemon.

Every daemon can drive.  To avoid duplicate work, only the daemon whose name
sorts first among the reachable ones does, as far as it can tell; another
one takes over as soon as that daemon becomes unreachable.  Safety doesn't
depend on this choice, since every step is a guarded transaction.

The snapshot of the whole fleet is kept up to date by deltas, and only while
it is needed: the driving daemon reads them once per period, other daemons
on an operator's request.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

from returns.result import Failure

from lycheelug.errors import REVISION_FORGOTTEN
from lycheelug.fleet import FLEET_PREFIXES, FleetSnapshot
from lycheelug.logs import log_change
from lycheelug.plan_driver import PlanDriver
from lycheelug.records import HostPhase

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lycheelug.entries.messages import Digest
    from lycheelug.errors import Fault
    from lycheelug.plan_driver import StepReport
    from lycheelug.store import Platform

__all__ = ["PlanLoop"]

BUSY_PERIOD_S: Final = 0.5
IDLE_PERIOD_S: Final = 2.0
# An idle fleet is planned at least this often: a maintenance window may
# open without a change of a row.
REPLAN_PERIOD_S: Final = 20.0
# A daemon that doesn't drive frees a snapshot unused for longer than this.
DROP_SNAPSHOT_S: Final = 60.0


class PlanLoop:
    """Runs the plan's driver within one daemon."""

    __slots__ = (
        "_digests",
        "_driver",
        "_has_changes",
        "_is_first",
        "_is_idle",
        "_last_blockers",
        "_last_used_at",
        "_next_plan_at",
        "_platform",
        "_prefix_revisions",
        "_rng",
        "_snapshot",
        "_task",
        "steps_committed",
    )

    def __init__(
        self,
        platform: Platform,
        name: str,
        run: str,
        rng: random.Random,
        digests: Callable[[], list[Digest]],
        is_first: Callable[[], bool],
    ) -> None:
        self._platform = platform
        self._rng = rng
        self._digests = digests
        self._is_first = is_first
        self._driver = PlanDriver(
            platform,
            time.time,
            lambda: f"{run}-plan-{rng.getrandbits(64):016x}",
            name,
        )
        self._snapshot = FleetSnapshot()
        self._prefix_revisions: dict[str, int] = {}
        self._last_used_at = 0.0
        # Whether the last pass sent nothing and no host is in transition.
        self._is_idle = False
        self._has_changes = False
        self._next_plan_at = 0.0
        self._last_blockers: tuple[str, ...] = ()
        self._task: asyncio.Task[None] | None = None
        self.steps_committed = 0

    @property
    def last_blockers(self) -> tuple[str, ...]:
        """The blockers of the last pass that this daemon drove."""
        return self._last_blockers

    def start(self) -> None:
        """Start the task that drives while this daemon is the first."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the task.

        Committed steps stay in effect, and another daemon continues.
        """
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def snapshot(self) -> FleetSnapshot | Fault:
        """Return a snapshot with the platform's latest rows and host list."""
        for prefix in FLEET_PREFIXES:
            fault = await self._refresh_prefix(prefix)
            if fault is not None:
                return fault
        snapshot = self._snapshot
        listed = await self._platform.hosts_since(snapshot.list_revision)
        if isinstance(listed, Failure):
            failed: Fault = listed.failure()
            return failed
        changed_hosts = listed.unwrap()
        self._has_changes = self._has_changes or bool(changed_hosts.hosts)
        snapshot.apply_hosts(changed_hosts)
        # The prefixes are read one after another, so the snapshot is only
        # complete up to the lowest of their revisions.
        complete_up_to = min(self._prefix_revisions.values())
        snapshot.apply_rows((), complete_up_to)
        snapshot.digests.clear()
        for digest in self._digests():
            snapshot.apply_digest(digest)
        self._last_used_at = time.monotonic()
        return snapshot

    async def _refresh_prefix(self, prefix: str) -> Fault | None:
        """Apply the changed rows of one key prefix; return a fault, if any."""
        since = self._prefix_revisions.get(prefix, 0)
        result = await self._platform.read_since(prefix, since)
        if isinstance(result, Failure):
            fault: Fault = result.failure()
            if fault.code is REVISION_FORGOTTEN:
                self._drop_snapshot()
            return fault
        delta = result.unwrap()
        self._has_changes = self._has_changes or bool(delta.rows)
        for row in delta.rows:
            self._snapshot.apply_row(row)
        self._prefix_revisions[prefix] = max(since, delta.revision)
        return None

    def _drop_snapshot(self) -> None:
        """Drop the snapshot; the next use reads all rows from the start."""
        self._snapshot = FleetSnapshot()
        self._prefix_revisions.clear()

    async def _run(self) -> None:
        """Drive periodically while this daemon is the first."""
        while True:
            period_s = IDLE_PERIOD_S
            if self._is_first():
                if await self._drive():
                    period_s = BUSY_PERIOD_S
            elif time.monotonic() - self._last_used_at > DROP_SNAPSHOT_S:
                self._drop_snapshot()
            jitter = 0.9 + 0.2 * self._rng.random()
            await asyncio.sleep(period_s * jitter)

    async def _drive(self) -> bool:
        """Plan once if something may have changed.

        Return whether the fleet is busy.  Planning costs far more than
        reading the deltas, so an idle fleet without changes is planned only
        every REPLAN_PERIOD_S seconds, to notice that a maintenance window
        has opened.
        """
        snapshot = await self.snapshot()
        if not isinstance(snapshot, FleetSnapshot):
            return False
        now = time.monotonic()
        if (
            self._is_idle
            and not self._has_changes
            and now < self._next_plan_at
        ):
            return False
        self._has_changes = False
        self._next_plan_at = now + REPLAN_PERIOD_S
        report = await self._driver.step(snapshot)
        self._record_report(report)
        is_waiting = report.moves_left or _has_host_in_transition(snapshot)
        self._is_idle = report.is_idle and not is_waiting
        return not self._is_idle

    def _record_report(self, report: StepReport) -> None:
        """Count and log committed steps; log blockers that have changed."""
        self.steps_committed += len(report.committed)
        for step in report.committed:
            changes = "; ".join(str(change) for change in step.changes[:5])
            log_change("plan step", changes=len(step.changes), first=changes)
        blockers = tuple(str(each) for each in report.blockers)
        if blockers == self._last_blockers:
            return
        self._last_blockers = blockers
        log_change("plan waits", count=len(blockers), first=blockers[:3])


def _has_host_in_transition(snapshot: FleetSnapshot) -> bool:
    """Return whether a host drains or is maintained.

    Such a host may advance by an acknowledgement, which changes no row.
    """
    for host in snapshot.hosts.values():
        if host.row.phase is not HostPhase.SERVING:
            return True
    return False
