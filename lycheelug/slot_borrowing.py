"""Slot shares that use slots which other daemons leave idle.

Borrowing goes by reports.  Every daemon can compute every other's live
share, so an idle report of a pool is spread over the executors as the
reporter's share is.  What is lent is divided between the daemons that
report queued work.  Reports expire, and a refusal halves what is borrowed
from that executor; it doubles again with time.

Probing goes by refusals alone: one more slot at a time on an executor
where all of the limit is in use.  A refusal halves what was probed there,
and for a while no more is probed.

Limits: both are fair only in that a refusal takes from whoever holds more
than its share; an executor does not know whose request it refuses.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lycheelug.slot_shares import SHARES, LiveShare, live_part

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from lycheelug.dispatch import Executor
    from lycheelug.slot_shares import IdleReport, ShareSettings

__all__ = ["BorrowProbeShare", "BorrowShare", "ProbeShare"]


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


class _Probe:
    """Slots beyond the limit on one executor."""

    __slots__ = ("extra", "next_at")

    def __init__(self) -> None:
        self.extra = 0
        self.next_at = -math.inf


class _Prober:
    """Raises limits by slots that were probed."""

    __slots__ = ("_probes", "_settings")

    def __init__(self, settings: ShareSettings) -> None:
        self._settings = settings
        self._probes: dict[str, _Probe] = {}

    def record_refusal(self, executor: str, now: float) -> None:
        """Halve what was probed on an executor, and wait."""
        probe = self._probes.setdefault(executor, _Probe())
        probe.extra //= 2
        probe.next_at = now + self._settings.probe_hold_s

    def raise_limits(
        self,
        limits: dict[str, int],
        executors: Sequence[Executor],
        now: float,
    ) -> None:
        """Add the probed slots, after a step where one is due."""
        for executor in executors:
            name = executor.name
            probe = self._probes.setdefault(name, _Probe())
            self._step(probe, limits[name], executor.in_flight, now)
            raised = limits[name] + probe.extra
            limits[name] = min(self._settings.slots, raised)

    def keep_known(self, known: Mapping[str, int]) -> None:
        """Drop what is kept of executors that left the pool."""
        for name in list(self._probes):
            if name not in known:
                del self._probes[name]

    def _step(
        self, probe: _Probe, own: int, in_flight: int, now: float
    ) -> None:
        """Probe one slot more where all are in use, one less where not."""
        if now < probe.next_at:
            return
        limit = own + probe.extra
        if in_flight >= limit:
            if limit < self._settings.slots:
                probe.extra += 1
                probe.next_at = now + self._settings.probe_step_s
            return
        if in_flight < limit - 1 and probe.extra > 0:
            probe.extra -= 1
            probe.next_at = now + self._settings.probe_step_s


@SHARES.register("borrow")
class BorrowShare(LiveShare):
    """The live share and a part of what peers report idle."""

    __slots__ = ("_scales",)

    def __init__(self, settings: ShareSettings | None = None) -> None:
        super().__init__(settings)
        # Executors that refused lately: what part may be borrowed there.
        self._scales: dict[str, _Scale] = {}

    def record_refusal(self, executor: str, now: float) -> None:
        """Halve what is borrowed on an executor."""
        super().record_refusal(executor, now)
        scale = self._scales.setdefault(executor, _Scale(now))
        scale.value = scale.at_time(now, self._settings.recovery_s) / 2
        scale.at = now

    def _limits(
        self,
        executors: Sequence[Executor],
        me: str,
        daemons: Sequence[str],
        reports: Sequence[IdleReport],
        now: float,
    ) -> dict[str, int]:
        """Return the own part of each executor and the borrowed one."""
        limits = self._parts(executors, me, daemons)
        lent = self._lent(executors, daemons, reports)
        borrowers = _borrowers(me, reports)
        position = borrowers.index(me)
        for index, executor in enumerate(executors):
            name = executor.name
            whole = math.floor(lent[name] * self._scale(name, now))
            borrowed = live_part(index, position, len(borrowers), whole)
            limits[name] = min(self._settings.slots, limits[name] + borrowed)
        return limits

    def _lent(
        self,
        executors: Sequence[Executor],
        daemons: Sequence[str],
        reports: Sequence[IdleReport],
    ) -> dict[str, float]:
        """Return how many slots of each executor the peers lend."""
        lent = {each.name: 0.0 for each in executors}
        for report in reports:
            if report.queued > 0 or report.idle <= 0:
                continue
            parts = self._parts(executors, report.daemon, daemons)
            total = sum(parts.values())
            if total == 0:
                continue
            idle_part = min(1.0, report.idle / total)
            for name, part in parts.items():
                lent[name] += part * idle_part * self._settings.lent_part
        return lent

    def _scale(self, executor: str, now: float) -> float:
        """Return what part may be borrowed on an executor now."""
        scale = self._scales.get(executor)
        if scale is None:
            return 1.0
        value = scale.at_time(now, self._settings.recovery_s)
        if value >= 1.0:
            del self._scales[executor]
        return value

    def _keep_known(self, known: Mapping[str, int]) -> None:
        """Drop what is kept of executors that left the pool."""
        super()._keep_known(known)
        for name in list(self._scales):
            if name not in known:
                del self._scales[name]


def _borrowers(me: str, reports: Sequence[IdleReport]) -> list[str]:
    """Return the daemons that want to borrow, this one among them."""
    names = {me}
    for report in reports:
        if report.queued > 0:
            names.add(report.daemon)
    return sorted(names)


@SHARES.register("probe")
class ProbeShare(LiveShare):
    """The live share, and one more slot at a time until refused."""

    __slots__ = ("_prober",)

    def __init__(self, settings: ShareSettings | None = None) -> None:
        super().__init__(settings)
        self._prober = _Prober(self._settings)

    def record_refusal(self, executor: str, now: float) -> None:
        """Probe less on an executor."""
        super().record_refusal(executor, now)
        self._prober.record_refusal(executor, now)

    def _limits(
        self,
        executors: Sequence[Executor],
        me: str,
        daemons: Sequence[str],
        reports: Sequence[IdleReport],
        now: float,
    ) -> dict[str, int]:
        """Return the own part of each executor and the probed slots."""
        del reports
        limits = self._parts(executors, me, daemons)
        self._prober.raise_limits(limits, executors, now)
        return limits

    def _keep_known(self, known: Mapping[str, int]) -> None:
        """Drop what is kept of executors that left the pool."""
        super()._keep_known(known)
        self._prober.keep_known(known)


@SHARES.register("borrow-probe")
class BorrowProbeShare(BorrowShare):
    """The live share, what peers report idle, and probed slots."""

    __slots__ = ("_prober",)

    def __init__(self, settings: ShareSettings | None = None) -> None:
        super().__init__(settings)
        self._prober = _Prober(self._settings)

    def record_refusal(self, executor: str, now: float) -> None:
        """Borrow and probe less on an executor."""
        super().record_refusal(executor, now)
        self._prober.record_refusal(executor, now)

    def _limits(
        self,
        executors: Sequence[Executor],
        me: str,
        daemons: Sequence[str],
        reports: Sequence[IdleReport],
        now: float,
    ) -> dict[str, int]:
        """Return the own, the borrowed and the probed slots."""
        limits = super()._limits(executors, me, daemons, reports, now)
        self._prober.raise_limits(limits, executors, now)
        return limits

    def _keep_known(self, known: Mapping[str, int]) -> None:
        """Drop what is kept of executors that left the pool."""
        super()._keep_known(known)
        self._prober.keep_known(known)
