"""The interface of slot shares, and the shares that need no idle reports.

After a rejection an executor counts as full for a short time, with every
share.  Callers must pass all executors of the pool, including those that may
not be used now, because all daemons must compute the same rotation.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from lycheelug.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from lycheelug.dispatch import Executor

__all__ = [
    "SHARES",
    "FixedShare",
    "IdleReport",
    "LiveShare",
    "ShareSettings",
    "SlotShare",
    "WholeShare",
    "live_part",
]

_SLOTS: Final = 8
_REPORT_TTL_S: Final = 3.0
_RECOVERY_S: Final = 0.5
_LENT_PART: Final = 1.0
_REFUSED_S: Final = 0.05
_PROBE_HOLD_S: Final = 2.0
_PROBE_STEP_S: Final = 0.1


class IdleReport:
    """The idle slots and queued requests of a pool in a peer's digest."""

    __slots__ = ("daemon", "idle", "queued", "received_at")

    def __init__(
        self, daemon: str, idle: int, queued: int, received_at: float
    ) -> None:
        self.daemon = daemon
        self.idle = idle
        self.queued = queued
        self.received_at = received_at


class ShareSettings:
    """The tunable parameters of a pool's slot share."""

    __slots__ = (
        "configured_daemons",
        "lent_part",
        "probe_hold_s",
        "probe_step_s",
        "recovery_s",
        "refused_s",
        "report_ttl_s",
        "slots",
    )

    def __init__(
        self,
        slots: int = _SLOTS,
        configured_daemons: int = 1,
        report_ttl_s: float = _REPORT_TTL_S,
        recovery_s: float = _RECOVERY_S,
        lent_part: float = _LENT_PART,
        refused_s: float = _REFUSED_S,
        probe_hold_s: float = _PROBE_HOLD_S,
        probe_step_s: float = _PROBE_STEP_S,
    ) -> None:
        # Number of slots of each executor of the pool.
        self.slots = slots
        self.configured_daemons = configured_daemons
        # Age from which a peer's report is ignored.
        self.report_ttl_s = report_ttl_s
        # Time in which the fraction that may be borrowed doubles, after a
        # rejection halved it.
        self.recovery_s = recovery_s
        # Fraction of a peer's idle slots that other daemons may borrow.
        self.lent_part = lent_part
        # How long an executor counts as full after a rejection.
        self.refused_s = refused_s
        # How long probing pauses after a rejection.
        self.probe_hold_s = probe_hold_s
        # Minimum time between two changes of an executor's probed slots.
        self.probe_step_s = probe_step_s


class SlotShare(ABC):
    """Computes the limits of one daemon on the executors of one pool."""

    __slots__ = ("_refused_at", "_settings")

    def __init__(self, settings: ShareSettings | None = None) -> None:
        self._settings = settings or ShareSettings()
        self._refused_at: dict[str, float] = {}

    def limits(
        self,
        executors: Sequence[Executor],
        own_name: str,
        live_daemons: Iterable[str],
        reports: Iterable[IdleReport],
        now: float,
    ) -> Mapping[str, int]:
        """Return how many slots this daemon may use, by executor name.

        `reports` are the newest reports of the peers.  Call this for each
        new digest, after each rejection, and about every 0.1 s while
        requests are queued.
        """
        daemons = sorted({own_name, *live_daemons})
        ordered = sorted(executors, key=lambda each: each.name)
        valid = self._valid_reports(reports, own_name, daemons, now)
        limits = self._limits(ordered, own_name, daemons, valid, now)
        self._remove_unknown(limits)
        for executor in ordered:
            refused_at = self._refused_at.get(executor.name)
            if refused_at is None:
                continue
            if now - refused_at >= self._settings.refused_s:
                del self._refused_at[executor.name]
                continue
            limits[executor.name] = min(
                limits[executor.name], executor.in_flight
            )
        return limits

    def record_refusal(self, executor: str, now: float) -> None:
        """Record that an executor rejected a request for lack of slots."""
        self._refused_at[executor] = now

    @abstractmethod
    def _limits(
        self,
        executors: Sequence[Executor],
        own_name: str,
        daemons: Sequence[str],
        reports: Sequence[IdleReport],
        now: float,
    ) -> dict[str, int]:
        """Return the limits; executors and daemons are sorted by name."""

    def _remove_unknown(self, known: Mapping[str, int]) -> None:
        """Remove the state of executors that left the pool."""
        for name in list(self._refused_at):
            if name not in known:
                del self._refused_at[name]

    def _valid_reports(
        self,
        reports: Iterable[IdleReport],
        own_name: str,
        daemons: Sequence[str],
        now: float,
    ) -> list[IdleReport]:
        """Return the reports of live peers that have not expired."""
        valid: list[IdleReport] = []
        for report in reports:
            if report.daemon == own_name or report.daemon not in daemons:
                continue
            if now - report.received_at > self._settings.report_ttl_s:
                continue
            valid.append(report)
        return valid


SHARES: Final[Registry[type[SlotShare]]] = Registry("slot share")


def live_part(index: int, position: int, daemons: int, slots: int) -> int:
    """Return a daemon's part of the slots of an executor.

    `index` and `position` are the positions of the executor and the daemon
    in order of name.  All daemons' parts of an executor add up to `slots`,
    and the daemons' totals over all executors differ by at most one.

    >>> [live_part(0, position, 3, 8) for position in range(3)]
    [3, 3, 2]
    >>> [live_part(1, position, 3, 8) for position in range(3)]
    [3, 2, 3]
    """
    each, remainder = divmod(slots, daemons)
    start = index * remainder
    return each + (1 if (position - start) % daemons < remainder else 0)


@SHARES.register("whole")
class WholeShare(SlotShare):
    """Baseline: each daemon uses all slots; executors reject the excess."""

    __slots__ = ()

    def _limits(
        self,
        executors: Sequence[Executor],
        own_name: str,
        daemons: Sequence[str],
        reports: Sequence[IdleReport],
        now: float,
    ) -> dict[str, int]:
        """Return the number of all slots for each executor."""
        del own_name, daemons, reports, now
        return {each.name: self._settings.slots for each in executors}


@SHARES.register("fixed")
class FixedShare(SlotShare):
    """Baseline: the slots divided by the configured number of daemons."""

    __slots__ = ()

    def _limits(
        self,
        executors: Sequence[Executor],
        own_name: str,
        daemons: Sequence[str],
        reports: Sequence[IdleReport],
        now: float,
    ) -> dict[str, int]:
        """Return the same limit for each executor, at least one."""
        del own_name, daemons, reports, now
        part = self._settings.slots // self._settings.configured_daemons
        return {each.name: max(1, part) for each in executors}


@SHARES.register("live")
class LiveShare(SlotShare):
    """The slots divided by the live daemons; the remainder rotates.

    >>> from lycheelug.dispatch import Executor
    >>> executors = [Executor(each, "", "", "z") for each in ("w1", "w2")]
    >>> share = LiveShare(ShareSettings(slots=8))
    >>> share.limits(executors, "e1", ["e1", "e2"], [], now=0.0)
    {'w1': 4, 'w2': 4}
    """

    __slots__ = ()

    def _limits(
        self,
        executors: Sequence[Executor],
        own_name: str,
        daemons: Sequence[str],
        reports: Sequence[IdleReport],
        now: float,
    ) -> dict[str, int]:
        """Return this daemon's part of each executor."""
        del reports, now
        return self._parts(executors, own_name, daemons)

    def _parts(
        self,
        executors: Sequence[Executor],
        own_name: str,
        daemons: Sequence[str],
    ) -> dict[str, int]:
        """Return a daemon's part of each executor."""
        position = daemons.index(own_name)
        slots = self._settings.slots
        parts: dict[str, int] = {}
        for index, each in enumerate(executors):
            parts[each.name] = live_part(index, position, len(daemons), slots)
        return parts
