"""Slot shares that use the idle slots of other daemons.

Borrowing relies on the idle reports of peers.  Since every daemon can compute
the live share of every other, the idle slots that a peer reports for a pool
are distributed over the executors in proportion to the peer's share.  Lent
slots are divided among the daemons that report queued requests.  Reports
expire.  A rejection halves the number of slots borrowed on that executor,
which then doubles again with time.

Probing relies on rejections alone: the limit of an executor rises by one slot
at a time while all of its slots are in use.  A rejection halves the probed
slots on that executor and pauses its probing.

Limits: fairness is approximate.  A rejection reduces the extra slots of the
daemon that was rejected, but an executor rejects requests without regard to
which daemon uses more than its share.
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
    """The fraction that may be borrowed after rejections.

    It doubles every `recovery_s` until it reaches 1.
    """

    __slots__ = ("updated_at", "value")

    def __init__(self, now: float) -> None:
        self.value = 1.0
        self.updated_at = now

    def at_time(self, now: float, recovery_s: float) -> float:
        """Return the fraction at a point in time."""
        recovery_periods = min(
            60.0, max(0.0, now - self.updated_at) / recovery_s
        )
        return min(1.0, self.value * math.exp2(recovery_periods))


class _Probe:
    """The probed slots of one executor, beyond its limit."""

    __slots__ = ("extra_slots", "next_change_at")

    def __init__(self) -> None:
        self.extra_slots = 0
        self.next_change_at = -math.inf


class _Prober:
    """Raises the limits of executors by probed slots."""

    __slots__ = ("_probes", "_settings")

    def __init__(self, settings: ShareSettings) -> None:
        self._settings = settings
        self._probes: dict[str, _Probe] = {}

    def record_refusal(self, executor: str, now: float) -> None:
        """Halve the probed slots of an executor and pause its probing."""
        probe = self._probes.setdefault(executor, _Probe())
        probe.extra_slots //= 2
        probe.next_change_at = now + self._settings.probe_hold_s

    def raise_limits(
        self,
        limits: dict[str, int],
        executors: Sequence[Executor],
        now: float,
    ) -> None:
        """Update the probed slots and add them to the limits."""
        for executor in executors:
            name = executor.name
            probe = self._probes.setdefault(name, _Probe())
            self._adjust(probe, limits[name], executor.in_flight, now)
            raised = limits[name] + probe.extra_slots
            limits[name] = min(self._settings.slots, raised)

    def remove_unknown(self, known: Mapping[str, int]) -> None:
        """Remove the state of executors that left the pool."""
        for name in list(self._probes):
            if name not in known:
                del self._probes[name]

    def _adjust(
        self, probe: _Probe, own_slots: int, in_flight: int, now: float
    ) -> None:
        """Probe one more slot if all are in use, one less if two are free."""
        if now < probe.next_change_at:
            return
        limit = own_slots + probe.extra_slots
        if in_flight >= limit:
            if limit < self._settings.slots:
                probe.extra_slots += 1
                probe.next_change_at = now + self._settings.probe_step_s
            return
        if in_flight < limit - 1 and probe.extra_slots > 0:
            probe.extra_slots -= 1
            probe.next_change_at = now + self._settings.probe_step_s


@SHARES.register("borrow")
class BorrowShare(LiveShare):
    """The live share plus a part of the slots that peers report as idle."""

    __slots__ = ("_scales",)

    def __init__(self, settings: ShareSettings | None = None) -> None:
        super().__init__(settings)
        # By executor that recently rejected a request: the fraction that may
        # be borrowed there.
        self._scales: dict[str, _Scale] = {}

    def record_refusal(self, executor: str, now: float) -> None:
        """Halve the slots borrowed on an executor."""
        super().record_refusal(executor, now)
        scale = self._scales.setdefault(executor, _Scale(now))
        scale.value = scale.at_time(now, self._settings.recovery_s) / 2
        scale.updated_at = now

    def _limits(
        self,
        executors: Sequence[Executor],
        own_name: str,
        daemons: Sequence[str],
        reports: Sequence[IdleReport],
        now: float,
    ) -> dict[str, int]:
        """Return the own plus the borrowed slots of each executor."""
        limits = self._parts(executors, own_name, daemons)
        lent = self._lent_by_executor(executors, daemons, reports)
        borrowers = _borrowers(own_name, reports)
        position = borrowers.index(own_name)
        for index, executor in enumerate(executors):
            name = executor.name
            lent_slots = math.floor(lent[name] * self._borrow_scale(name, now))
            borrowed = live_part(index, position, len(borrowers), lent_slots)
            limits[name] = min(self._settings.slots, limits[name] + borrowed)
        return limits

    def _lent_by_executor(
        self,
        executors: Sequence[Executor],
        daemons: Sequence[str],
        reports: Sequence[IdleReport],
    ) -> dict[str, float]:
        """Return how many slots of each executor the peers lend in total."""
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

    def _borrow_scale(self, executor: str, now: float) -> float:
        """Return the fraction that may be borrowed on an executor now."""
        scale = self._scales.get(executor)
        if scale is None:
            return 1.0
        value = scale.at_time(now, self._settings.recovery_s)
        if value >= 1.0:
            del self._scales[executor]
        return value

    def _remove_unknown(self, known: Mapping[str, int]) -> None:
        """Remove the state of executors that left the pool."""
        super()._remove_unknown(known)
        for name in list(self._scales):
            if name not in known:
                del self._scales[name]


def _borrowers(own_name: str, reports: Sequence[IdleReport]) -> list[str]:
    """Return the names of all daemons that borrow, including this one."""
    names = {own_name}
    for report in reports:
        if report.queued > 0:
            names.add(report.daemon)
    return sorted(names)


@SHARES.register("probe")
class ProbeShare(LiveShare):
    """The live share plus one more slot at a time until a rejection."""

    __slots__ = ("_prober",)

    def __init__(self, settings: ShareSettings | None = None) -> None:
        super().__init__(settings)
        self._prober = _Prober(self._settings)

    def record_refusal(self, executor: str, now: float) -> None:
        """Halve the probed slots of an executor and pause its probing."""
        super().record_refusal(executor, now)
        self._prober.record_refusal(executor, now)

    def _limits(
        self,
        executors: Sequence[Executor],
        own_name: str,
        daemons: Sequence[str],
        reports: Sequence[IdleReport],
        now: float,
    ) -> dict[str, int]:
        """Return the own plus the probed slots of each executor."""
        del reports
        limits = self._parts(executors, own_name, daemons)
        self._prober.raise_limits(limits, executors, now)
        return limits

    def _remove_unknown(self, known: Mapping[str, int]) -> None:
        """Remove the state of executors that left the pool."""
        super()._remove_unknown(known)
        self._prober.remove_unknown(known)


@SHARES.register("borrow-probe")
class BorrowProbeShare(BorrowShare):
    """The live share plus borrowed and probed slots."""

    __slots__ = ("_prober",)

    def __init__(self, settings: ShareSettings | None = None) -> None:
        super().__init__(settings)
        self._prober = _Prober(self._settings)

    def record_refusal(self, executor: str, now: float) -> None:
        """Halve the borrowed and the probed slots of an executor."""
        super().record_refusal(executor, now)
        self._prober.record_refusal(executor, now)

    def _limits(
        self,
        executors: Sequence[Executor],
        own_name: str,
        daemons: Sequence[str],
        reports: Sequence[IdleReport],
        now: float,
    ) -> dict[str, int]:
        """Return the own, borrowed and probed slots of each executor."""
        limits = super()._limits(executors, own_name, daemons, reports, now)
        self._prober.raise_limits(limits, executors, now)
        return limits

    def _remove_unknown(self, known: Mapping[str, int]) -> None:
        """Remove the state of executors that left the pool."""
        super()._remove_unknown(known)
        self._prober.remove_unknown(known)
