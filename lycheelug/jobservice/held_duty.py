"""A duty that a daemon holds, and what its holder has to offer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from lycheelug.logs import log_change

if TYPE_CHECKING:
    import asyncio

    from lycheelug.ownership import OwnerRecord, WorkProgress

__all__ = ["DutyHolder", "HeldDuty"]


class DutyHolder(Protocol):
    """Performs the work of a duty while this daemon holds it."""

    @property
    def work(self) -> WorkProgress:
        """Since when the work has been failing."""

    async def run(self) -> None:
        """Perform the duty until it is lost."""

    def revoke(self, reason: str) -> None:
        """Stop because the duty has another holder."""

    async def hand_over(self) -> None:
        """Store unwritten state before the duty is released."""


class HeldDuty:
    """A duty that this daemon holds."""

    __slots__ = ("holder", "is_stalled", "record", "task", "version")

    def __init__(
        self,
        holder: DutyHolder,
        record: OwnerRecord,
        version: int,
        task: asyncio.Task[None],
    ) -> None:
        self.holder = holder
        self.record = record
        self.version = version
        self.task = task
        # Whether the last heartbeat named it as stalled.
        self.is_stalled = False

    def check_stalled(
        self, duty: str, now: float, delay_s: float, is_gap: bool
    ) -> bool:
        """Return whether the work has failed for too long; log changes.

        `delay_s` is how long this daemon's heartbeat takes to write.
        `is_gap` says that its heartbeats have not passed either.
        """
        work = self.holder.work
        is_stalled = work.is_stalled(now, delay_s)
        if is_gap and not work.has_restarted:
            is_stalled = False
        if is_stalled != self.is_stalled:
            self.is_stalled = is_stalled
            log_change(
                "duty-stalled" if is_stalled else "duty-works-again",
                duty=duty,
                term=self.record.term,
                failing_s=round(now - (work.since or now), 2),
                store_delay_s=round(delay_s, 2),
            )
        return is_stalled
