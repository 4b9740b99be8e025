"""What the crash records of one job make of it; no I/O.

A plan asks this for each waiting task of the job, and a job may have as many
records as tasks, so the answers are kept until the records change.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.workloads.crash_records import makes_suspect

if TYPE_CHECKING:
    from lycheelug.workloads.progress import ProgressRecord

__all__ = ["Suspicion"]


class Suspicion:
    """The suspicion that a job is under, by the records in its progress."""

    __slots__ = (
        "_is_known",
        "_most_losses",
        "_progress",
        "_youngest_ms",
        "changes",
    )

    def __init__(self, progress: ProgressRecord) -> None:
        self._progress = progress
        # How often what has to be stored before the next start has changed.
        self.changes = 0
        self._is_known = False
        self._most_losses = 0
        self._youngest_ms: int | None = None

    @property
    def most_losses(self) -> int:
        """The number of losses under the task that has most of them."""
        self._update()
        return self._most_losses

    @property
    def youngest_ms(self) -> int | None:
        """How long the shortest lost run of a suspected task had gone on.

        None if no task is suspected.
        """
        self._update()
        return self._youngest_ms

    def forget(self) -> None:
        """Consider the records again: they have changed."""
        self._is_known = False

    def record_change(self) -> None:
        """Record that the records or the reservations have changed."""
        self.changes += 1
        self.forget()

    def _update(self) -> None:
        """Consider the records, unless that was done since they changed."""
        if self._is_known:
            return
        self._is_known = True
        self._most_losses = 0
        self._youngest_ms = None
        for records in self._progress.crashes.values():
            self._most_losses = max(self._most_losses, len(records))
            if not makes_suspect(records):
                continue
            age_ms = min(record.age_ms for record in records)
            if self._youngest_ms is None or age_ms < self._youngest_ms:
                self._youngest_ms = age_ms
