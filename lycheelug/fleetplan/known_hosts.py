"""The platform's list of hosts, with the calls that it may not show yet.

A list may have been requested before the platform accepted a move or a
maintenance, and arrive after that.  It shows the host as it was.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.fleetplan.absences import HostAbsences
from lycheelug.fleetplan.hosts import HostState

if TYPE_CHECKING:
    from collections.abc import Mapping, Set

    from lycheelug.fleetplan.hosts import HostInfo

__all__ = ["KnownHosts"]

# How long a moved host counts for its new pool before it is up there.
ARRIVAL_MAX_S: Final = 6.0
# How long a call without an answer may yet be carried out, in seconds.
LATE_CALL_S: Final = 5.0


class KnownHosts:
    """The hosts as last listed, and those that are moved or maintained."""

    __slots__ = (
        "_absences",
        "_arriving",
        "_changed_at",
        "_incarnations",
        "_late_calls_until",
        "_maintenance_ends",
        "listed",
    )

    def __init__(self) -> None:
        self.listed: dict[str, HostInfo] = {}
        # The current executor incarnation of each host and the local time at
        # which it was first listed.
        self._incarnations: dict[str, tuple[str, float]] = {}
        # Hosts whose move was accepted but that are not yet up in the target
        # pool: the pool and the local time at which waiting ends.
        self._arriving: dict[str, tuple[str, float]] = {}
        # The earliest local time at which a started maintenance can be over,
        # and the hosts in maintenance that are missing in the lists.
        self._maintenance_ends: dict[str, float] = {}
        self._absences = HostAbsences()
        # Local times at which the platform accepted the last calls.
        self._changed_at: dict[str, float] = {}
        # Local times until which calls without an answer may be carried out.
        self._late_calls_until: dict[str, float] = {}

    @property
    def is_changing(self) -> bool:
        """Whether any host is being moved or maintained."""
        return bool(self._arriving or self._maintenance_ends)

    @property
    def in_maintenance(self) -> Set[str]:
        """The hosts whose maintenance was accepted and is not over."""
        return self._maintenance_ends.keys()

    def update(
        self, hosts: Mapping[str, HostInfo], requested_at: float
    ) -> None:
        """Replace the list and end the waits that have completed."""
        former = self.listed
        self.listed = dict(hosts)
        for name, changed_at in list(self._changed_at.items()):
            if changed_at < requested_at:
                del self._changed_at[name]
            elif name in former:
                self.listed[name] = former[name]
        for name, host in self.listed.items():
            incarnation = self._incarnations.get(name)
            if incarnation is None or incarnation[0] != host.executor_id:
                self._incarnations[name] = (host.executor_id, requested_at)
        self._end_arrivals(requested_at)
        self._end_maintenance(requested_at)

    def record_move(self, name: str, pool: str, now: float) -> None:
        """Record that the platform accepted a move."""
        host = self.listed.get(name)
        if host is not None:
            host.pool = pool
            host.state = HostState.MOVING
        self._arriving[name] = (pool, now + ARRIVAL_MAX_S)
        self._changed_at[name] = now

    def record_maintenance(
        self, name: str, now: float, duration_s: float
    ) -> None:
        """Record that the platform accepted a host's maintenance.

        It takes at least `duration_s` seconds.
        """
        host = self.listed.get(name)
        if host is not None:
            host.state = HostState.IN_UPKEEP
        self._maintenance_ends[name] = now + duration_s
        self._changed_at[name] = now

    def record_unanswered(self, name: str, now: float) -> None:
        """Record that a call for a host may be carried out late."""
        self._late_calls_until[name] = now + LATE_CALL_S

    def awaits_late_call(self, name: str, now: float) -> bool:
        """Return whether an earlier call for a host may be carried out."""
        return now < self._late_calls_until.get(name, now)

    def arriving_pool(self, name: str) -> str:
        """Return the pool in which a moved host is awaited, or ''."""
        return self._arriving.get(name, ("", 0.0))[0]

    def listed_since(self, name: str) -> float | None:
        """Return when a host's executor incarnation was first listed."""
        incarnation = self._incarnations.get(name)
        return incarnation[1] if incarnation is not None else None

    def _end_arrivals(self, requested_at: float) -> None:
        """End the waits for moved hosts that are up in their pool."""
        for name, (pool, until) in list(self._arriving.items()):
            host = self.listed.get(name)
            has_arrived = (
                host is not None
                and host.pool == pool
                and host.state is HostState.UP
            )
            if has_arrived or requested_at > until:
                del self._arriving[name]

    def _end_maintenance(self, requested_at: float) -> None:
        """End the maintenance of hosts that are up or have left.

        A host that is merely missing in a list counts as in maintenance.
        """
        self._absences.record_list(
            self._maintenance_ends, self.listed, requested_at
        )
        for name, ends_at in list(self._maintenance_ends.items()):
            host = self.listed.get(name)
            is_up = host is not None and host.state is HostState.UP
            is_over = is_up and requested_at >= ends_at
            if is_over or self._absences.is_gone(name):
                del self._maintenance_ends[name]
