"""How many slots of each executor this daemon may use.

The slots of an executor are shared by all entry daemons of its zone, which
can't count together.  A share turns what a daemon knows (the live daemons,
their digests, refusals) into a limit for each executor:

* `fixed`: slots divided by the configured number of daemons.
* `live`: slots divided by the live daemons.  What does not divide evenly
  rotates over the daemons from executor to executor, so that all slots are
  used and daemons that agree on membership never overrun an executor.
* `borrow`: the live share, and a part of what peers report idle.  Every
  daemon can compute every other's live share, so an idle report of a pool
  is spread over the executors as the reporter's share is.  Reports expire.
  A refusal by an executor halves what is borrowed there; it recovers with
  time.

Limits: while daemons disagree on membership, an executor may be overrun;
it refuses, which is not run and may be tried elsewhere.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final
from zlib import crc32

from lycheelug.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from lycheelug.dispatch import Executor

__all__ = [
    "SHARES",
    "IdleReport",
    "ShareSettings",
    "SlotShare",
    "live_share",
]

_SLOTS: Final = 8
_REPORT_TTL_S: Final = 3.0
_RECOVERY_S: Final = 2.0
_LENT_PART: Final = 0.75


class IdleReport:
    """What a peer's last digest says of one pool."""

    __slots__ = ("daemon", "idle", "queued", "received_at")

    def __init__(
        self, daemon: str, idle: int, queued: int, received_at: float
    ) -> None:
        self.daemon = daemon
        self.idle = idle
        self.queued = queued
        self.received_at = received_at


class ShareSettings:
    """Settings of a pool's slot share."""

    __slots__ = (
        "configured_daemons",
        "lent_part",
        "recovery_s",
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
    ) -> None:
        # Slots of each executor of the pool.
        self.slots = slots
        self.configured_daemons = configured_daemons
        # Age at which a peer's report no longer counts.
        self.report_ttl_s = report_ttl_s
        # Time in which a halved borrowed part doubles again.
        self.recovery_s = recovery_s
        # Part of a peer's idle slots that others may borrow.
        self.lent_part = lent_part


class SlotShare(ABC):
    """The limits of one daemon on the executors of one pool."""

    __slots__ = ("_settings",)

    def __init__(self, settings: ShareSettings | None = None) -> None:
        self._settings = settings or ShareSettings()

    @abstractmethod
    def limits(
        self,
        executors: Sequence[Executor],
        me: str,
        live_daemons: Iterable[str],
        reports: Iterable[IdleReport],
        now: float,
    ) -> Mapping[str, int]:
        """Return how many slots this daemon may use, by executor name.

        `live_daemons` includes `me`; `reports` are the peers' newest.
        """

    def note_refused(self, executor: str, now: float) -> None:
        """Take in that an executor refused for want of slots."""
        del executor, now


SHARES: Final[Registry[type[SlotShare]]] = Registry("slot share")


def live_share(
    executor: str, daemon: str, ordered_daemons: Sequence[str], slots: int
) -> int:
    """Return a daemon's part of an executor's slots.

    The parts of all daemons add up to `slots`.  Daemons and executors need
    not know each other's lists beyond the daemons, which are sorted.

    >>> daemons = ["e1", "e2", "e3"]
    >>> sum(live_share("w1", each, daemons, 8) for each in daemons)
    8
    """
    count = len(ordered_daemons)
    each, rest = divmod(slots, count)
    if rest == 0:
        return each
    start = crc32(executor.encode()) % count
    position = ordered_daemons.index(daemon)
    return each + (1 if (position - start) % count < rest else 0)


@SHARES.register("fixed")
class FixedShare(SlotShare):
    """Baseline: slots divided by the configured number of daemons."""

    __slots__ = ()

    def limits(
        self,
        executors: Sequence[Executor],
        me: str,
        live_daemons: Iterable[str],
        reports: Iterable[IdleReport],
        now: float,
    ) -> Mapping[str, int]:
        """Return the same limit for each executor, at least one."""
        del me, live_daemons, reports, now
        part = self._settings.slots // self._settings.configured_daemons
        return {each.name: max(1, part) for each in executors}


@SHARES.register("live")
class LiveShare(SlotShare):
    """Slots divided by the live daemons, the rest rotating.

    >>> from lycheelug.dispatch import Executor
    >>> executors = [Executor(each, "", "", "z") for each in ("w1", "w2")]
    >>> share = LiveShare(ShareSettings(slots=8))
    >>> dict(share.limits(executors, "e1", ["e1", "e2"], [], now=0.0))
    {'w1': 4, 'w2': 4}
    """

    __slots__ = ()

    def limits(
        self,
        executors: Sequence[Executor],
        me: str,
        live_daemons: Iterable[str],
        reports: Iterable[IdleReport],
        now: float,
    ) -> Mapping[str, int]:
        """Return this daemon's part of each executor."""
        del reports, now
        daemons = sorted({me, *live_daemons})
        slots = self._settings.slots
        return {
            each.name: live_share(each.name, me, daemons, slots)
            for each in executors
        }


@SHARES.register("borrow")
class BorrowShare(SlotShare):
    """The live share and a part of what peers report idle."""

    __slots__ = ("_scales",)

    def __init__(self, settings: ShareSettings | None = None) -> None:
        super().__init__(settings)
        # Executors that refused lately: what part may be borrowed there.
        self._scales: dict[str, _Scale] = {}

    def limits(
        self,
        executors: Sequence[Executor],
        me: str,
        live_daemons: Iterable[str],
        reports: Iterable[IdleReport],
        now: float,
    ) -> Mapping[str, int]:
        """Return the own part of each executor and the borrowed one."""
        daemons = sorted({me, *live_daemons})
        fresh = self._fresh(reports, me, daemons, now)
        borrowers = _borrowers(me, fresh)
        idle_parts = self._idle_parts(executors, daemons, fresh)
        limits: dict[str, int] = {}
        for executor in executors:
            name = executor.name
            own = live_share(name, me, daemons, self._settings.slots)
            lent = 0.0
            for daemon, part in idle_parts.items():
                share = live_share(name, daemon, daemons, self._settings.slots)
                lent += share * part
            whole = math.floor(lent * self._scale(name, now))
            borrowed = live_share(name, me, borrowers, whole)
            limits[name] = min(self._settings.slots, own + borrowed)
        return limits

    def note_refused(self, executor: str, now: float) -> None:
        """Halve what is borrowed on an executor."""
        scale = self._scales.get(executor)
        if scale is None:
            scale = _Scale(now)
            self._scales[executor] = scale
        scale.value = scale.at_time(now, self._settings.recovery_s) / 2
        scale.at = now

    def _fresh(
        self,
        reports: Iterable[IdleReport],
        me: str,
        daemons: Sequence[str],
        now: float,
    ) -> list[IdleReport]:
        """Return the reports of live peers that have not expired."""
        fresh: list[IdleReport] = []
        for report in reports:
            if report.daemon == me or report.daemon not in daemons:
                continue
            if now - report.received_at > self._settings.report_ttl_s:
                continue
            fresh.append(report)
        return fresh

    def _idle_parts(
        self,
        executors: Sequence[Executor],
        daemons: Sequence[str],
        fresh: Sequence[IdleReport],
    ) -> dict[str, float]:
        """Return what part of its share each peer lends."""
        parts: dict[str, float] = {}
        slots = self._settings.slots
        for report in fresh:
            if report.queued > 0 or report.idle <= 0:
                continue
            total = 0
            for executor in executors:
                total += live_share(
                    executor.name, report.daemon, daemons, slots
                )
            if total == 0:
                continue
            idle_part = min(1.0, report.idle / total)
            parts[report.daemon] = idle_part * self._settings.lent_part
        return parts

    def _scale(self, executor: str, now: float) -> float:
        """Return what part may be borrowed on an executor now."""
        scale = self._scales.get(executor)
        if scale is None:
            return 1.0
        value = scale.at_time(now, self._settings.recovery_s)
        if value >= 1.0:
            del self._scales[executor]
        return value


class _Scale:
    """The part that may be borrowed after refusals; doubles with time."""

    __slots__ = ("at", "value")

    def __init__(self, now: float) -> None:
        self.value = 1.0
        self.at = now

    def at_time(self, now: float, recovery_s: float) -> float:
        """Return the part at a time."""
        periods = min(60.0, max(0.0, now - self.at) / recovery_s)
        return min(1.0, self.value * math.exp2(periods))


def _borrowers(me: str, fresh: Sequence[IdleReport]) -> list[str]:
    """Return the daemons that want to borrow, this one among them."""
    names = {me}
    for report in fresh:
        if report.queued > 0:
            names.add(report.daemon)
    return sorted(names)
