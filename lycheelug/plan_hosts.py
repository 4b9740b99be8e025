"""Phase changes of hosts that are moved, maintained or removed.

Each planning pass advances such a host by at most one phase:

    serving -> draining -> serving (next pool)
    serving -> draining -> maintenance -> serving (same pool)
    serving -> serving (new address)
    serving -> draining -> deleted (gone from the platform's list)

Only a return to the old pool may end `draining` at once.  Any other change
waits for every entry daemon that might still dispatch to the host (see
`entry_acks`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.blockers import Blocker, BlockerKind
from lycheelug.entry_acks import knows_all_entries, unacknowledged_entries
from lycheelug.records import HostPhase
from lycheelug.steps import CallKind, PlatformCall
from lycheelug.store.interface import HostState
from lycheelug.waves import REBOOT_TIMEOUT_S, is_due, is_late, open_until

if TYPE_CHECKING:
    from lycheelug.fleet import FleetSnapshot, Versioned
    from lycheelug.records import HostRow
    from lycheelug.sheet import Sheet
    from lycheelug.steps import StepBuilder

__all__ = ["LATE_DRAIN_S", "HostProgress"]

# If the platform lists a host as leaving within this time after it returned
# to service, a delayed drain request of the plan is taken as the cause and
# the drain is undone.
LATE_DRAIN_S: Final = 3_600.0
# A host that disappears during maintenance is reported as late for this
# long before its row is deleted.
LOST_HOST_S: Final = 86_400.0


class HostProgress:
    """Adds the next phase change of each host to the step of its pool."""

    __slots__ = ("_fleet", "_now", "_sheet", "_targets", "blockers", "calls")

    def __init__(
        self,
        fleet: FleetSnapshot,
        sheet: Sheet,
        now: float,
        targets: dict[str, str],
    ) -> None:
        self._fleet = fleet
        self._sheet = sheet
        self._now = now
        self._targets = targets
        self.calls: list[PlatformCall] = []
        self.blockers: list[Blocker] = []

    def needs_step(self, host: Versioned[HostRow]) -> bool:
        """Return whether a host is in a phase change or must begin one."""
        if host.row.phase is not HostPhase.SERVING:
            return True
        if self._fleet.listed_state(host.row.name) is not HostState.LIVE:
            return True
        return self._fleet.address(host.row) != host.row.address

    def advance(self, host: Versioned[HostRow], builder: StepBuilder) -> None:
        """Advance a host by one phase, or record what it waits for."""
        if host.row.phase is HostPhase.SERVING:
            self._advance_serving(host, builder)
        elif host.row.phase is HostPhase.MAINTENANCE:
            self._advance_maintenance(host, builder)
        elif host.row.target:
            self._advance_move(host, builder)
        else:
            self._advance_maintenance_drain(host, builder)

    def _advance_serving(
        self, host: Versioned[HostRow], builder: StepBuilder
    ) -> None:
        """Update the address, retire a removed host or undo a late drain.

        A removed host is not available anyway, so its drain needs no budget.
        """
        row = host.row
        state = self._fleet.listed_state(row.name)
        if state is HostState.LIVE:
            builder.update_address(host)
            return
        if state is HostState.GONE:
            builder.drain(host, "")
            return
        if row.drained_at and self._now - row.drained_at < LATE_DRAIN_S:
            self._add_call(CallKind.RESUME, host)
        self._add_blocker(
            BlockerKind.HOST_LEAVING,
            row,
            "the platform lists the host as leaving",
        )

    def _advance_move(
        self, host: Versioned[HostRow], builder: StepBuilder
    ) -> None:
        row = host.row
        state = self._fleet.listed_state(row.name)
        target = self._targets.get(row.name, row.target)
        if state is HostState.LIVE and target == row.pool:
            builder.return_to_pool(host)
        elif not self._is_released(host):
            return
        elif state is HostState.LIVE:
            builder.finish_move(host, target)
        elif state is HostState.GONE:
            builder.retire(host)
        else:
            self._add_blocker(
                BlockerKind.HOST_LEAVING,
                row,
                "the platform lists the host as leaving",
            )

    def _advance_maintenance_drain(
        self, host: Versioned[HostRow], builder: StepBuilder
    ) -> None:
        """Advance a host that drains for maintenance or has been removed."""
        row = host.row
        state = self._fleet.listed_state(row.name)
        windows = self._sheet.windows
        is_window_closed = open_until(windows, row.zone, self._now) is None
        should_stop = is_due(row, self._now) and not is_window_closed
        if state is HostState.LIVE and not should_stop:
            builder.return_to_pool(host)
        elif not self._is_released(host):
            return
        elif state is HostState.LIVE:
            self._add_call(CallKind.DRAIN, host)
            self._add_blocker(
                BlockerKind.HOST_DRAIN,
                row,
                "waiting for the platform to drain it",
            )
        elif state is HostState.GONE:
            builder.retire(host)
        else:
            builder.begin_maintenance(host)

    def _advance_maintenance(
        self, host: Versioned[HostRow], builder: StepBuilder
    ) -> None:
        row = host.row
        state = self._fleet.listed_state(row.name)
        age_s = self._now - row.since
        is_list_newer = self._fleet.list_revision > row.list_revision
        if state is HostState.LIVE and is_list_newer:
            builder.end_maintenance(host)
            return
        if state is HostState.LEAVING:
            self._add_call(CallKind.REBOOT, host)
        if state is HostState.GONE and age_s > LOST_HOST_S:
            builder.retire(host)
            return
        if is_late(row, self._now):
            self._add_blocker(
                BlockerKind.HOST_LATE,
                row,
                "did not come back from its reboot within "
                f"{REBOOT_TIMEOUT_S:g} s; still counted as out of service",
            )
            return
        self._add_blocker(
            BlockerKind.HOST_REBOOT, row, "waiting for its reboot"
        )

    def _is_released(self, host: Versioned[HostRow]) -> bool:
        """Return whether no entry daemon can dispatch to the host any more.

        Otherwise, record what the host waits for.
        """
        if not knows_all_entries(self._fleet, host.revision):
            self._add_blocker(
                BlockerKind.VIEW_BEHIND,
                host.row,
                "waiting for this daemon's view to include all entry daemons",
            )
            return False
        names = unacknowledged_entries(self._fleet, host)
        if names:
            self.blockers.append(
                Blocker(BlockerKind.ENTRY, host.row.name, names)
            )
        return not names

    def _add_call(self, kind: CallKind, host: Versioned[HostRow]) -> None:
        row = host.row
        nonce = ""
        if kind is CallKind.REBOOT:
            nonce = f"{row.name}/{host.revision}"
        self.calls.append(
            PlatformCall(kind, row.name, row.zone, host.revision, nonce)
        )

    def _add_blocker(
        self, kind: BlockerKind, row: HostRow, detail: str
    ) -> None:
        self.blockers.append(Blocker(kind, row.name, (), detail))
