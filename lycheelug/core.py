"""State that all components of an entry daemon share."""

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


# A member counts as unresponsive after this multiple of the time after which
# it counts as suspect.
SILENT_FACTOR: Final = 3


class Phase(StrEnum):
    """The phases of a daemon's life cycle."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


class Core:
    """The identity, views, metrics and clients of one run of a daemon."""

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
        # Table revision at which this run joined the fleet; 0 before that.
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
            _initial_digest(settings, self.run_id),
            settings.seeds,
            _thresholds(settings),
        )

    @property
    def is_serving(self) -> bool:
        """Whether the daemon serves callers' requests."""
        return self.phase is Phase.READY or self.phase is Phase.DRAINING

    @property
    def uptime_s(self) -> float:
        """Seconds since this run started."""
        return time.monotonic() - self.started_at

    def enter_phase(self, phase: Phase) -> None:
        """Enter a phase and log the change."""
        self.phase = phase
        log_change("phase", phase=phase.value, run=self.run_id)

    def has_lowest_ready_name(self) -> bool:
        """Return whether no ready daemon has a name that sorts before.

        Only daemons with a recent heartbeat are considered.
        """
        if self.phase is not Phase.READY:
            return False
        for digest in self.members.alive(time.monotonic()):
            ready = digest.state == Phase.READY
            if ready and digest.name < self.settings.name:
                return False
        return True


def _thresholds(settings: Settings) -> Thresholds:
    """Return the times until a member counts as suspect and as silent."""
    suspect_s = settings.timing.member_suspect_s
    return Thresholds(suspect_s, suspect_s * SILENT_FACTOR)


def _initial_digest(settings: Settings, run_id: str) -> Digest:
    """Return the digest of a daemon before it has joined the fleet."""
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
