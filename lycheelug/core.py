"""The state that all parts of a daemon share."""

from __future__ import annotations

import time
from enum import StrEnum
from typing import TYPE_CHECKING, Final

from lycheelug.entries.client import EntryClients
from lycheelug.entries.messages import Digest
from lycheelug.fleet_view import FleetView
from lycheelug.leaving import LeavingHosts
from lycheelug.logs import log_change
from lycheelug.member import Thresholds, new_run
from lycheelug.membership import Members
from lycheelug.metrics import Metrics
from lycheelug.pools import PoolTable
from lycheelug.store import BINDINGS

if TYPE_CHECKING:
    import random

    from lycheelug.settings import Settings

__all__ = ["Core", "Phase"]


# A member counts as silent after so many times its suspect age.
SILENT_FACTOR: Final = 3


class Phase(StrEnum):
    """Where a daemon stands in its life."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


class Core:
    """What one run of a daemon is, knows and counts."""

    __slots__ = (
        "clients",
        "join_revision",
        "leaving",
        "members",
        "metrics",
        "phase",
        "platform",
        "pools",
        "rng",
        "run_id",
        "settings",
        "started_at",
        "view",
    )

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.run_id = new_run(time.time(), rng)
        self.started_at = time.monotonic()
        self.phase = Phase.STARTING
        # The table's revision at which this run joined; 0 before.
        self.join_revision = 0
        self.metrics = Metrics()
        self.platform = BINDINGS.get(settings.platform.binding)(
            settings.platform.address
        )
        self.view = FleetView(settings.zone)
        self.leaving = LeavingHosts()
        self.pools = PoolTable(settings, self.leaving, rng, time.monotonic)
        self.clients = EntryClients()
        self.members = Members(
            _first_digest(settings, self.run_id),
            settings.seeds,
            _thresholds(settings),
        )

    @property
    def is_serving(self) -> bool:
        """Whether callers' requests are served."""
        return self.phase is Phase.READY or self.phase is Phase.DRAINING

    @property
    def uptime_s(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.started_at

    def enter_phase(self, phase: Phase) -> None:
        """Enter a phase, and log it."""
        self.phase = phase
        log_change("phase", phase=phase.value, run=self.run_id)

    def has_lowest_ready_name(self) -> bool:
        """Whether this daemon's name is the first of the ready ones heard."""
        if self.phase is not Phase.READY:
            return False
        for digest in self.members.alive(time.monotonic()):
            ready = digest.state == Phase.READY
            if ready and digest.name < self.settings.name:
                return False
        return True


def _thresholds(settings: Settings) -> Thresholds:
    """Return when a member that isn't heard counts as suspect, silent."""
    suspect_s = settings.timing.member_suspect_s
    return Thresholds(suspect_s, suspect_s * SILENT_FACTOR)


def _first_digest(settings: Settings, run_id: str) -> Digest:
    """Return the digest of a daemon that knows nothing yet."""
    return Digest(
        name=settings.name,
        zone=settings.zone,
        run=run_id,
        sequence=0,
        address=settings.listen.entries,
        state=Phase.STARTING.value,
        table_revision=0,
        config_revision=0,
        loads=[],
        busy_draining=[],
        leaving=[],
    )
