"""Remembers when executors stopped answering; no I/O.

Several that stop at nearly the same time may have a cause in common, as the
loss of a rack, of a zone or of its power.
"""

from __future__ import annotations

from typing import Final

__all__ = ["SHARED_MIN", "Silence", "Silences"]

# Losses that are detected within this time of each other may have a cause in
# common, if at least so many executors are lost.
SHARED_WINDOW_S: Final = 0.1
SHARED_MIN: Final = 3
# How long a silence is remembered.
SILENCE_MEMORY_S: Final = 30.0


class Silence:
    """When an executor with runs stopped answering, in local time."""

    __slots__ = ("born_ms", "is_discounted", "is_isolated", "since", "until")

    def __init__(
        self, born_ms: int, since: float, until: float, is_isolated: bool
    ) -> None:
        self.born_ms = born_ms
        # It ended or was cut off between these times.
        self.since = since
        self.until = until
        # Whether it was reserved for a suspect that ran there.
        self.is_isolated = is_isolated
        # Whether the records of it were discounted, as of a group.
        self.is_discounted = False

    def may_coincide(self, other: Silence) -> bool:
        """Return whether both may have one cause, up to detection delays."""
        return (
            self.since <= other.until + SHARED_WINDOW_S
            and other.since <= self.until + SHARED_WINDOW_S
        )


class Silences:
    """The executors of one pool that stopped answering lately."""

    __slots__ = ("_silences",)

    def __init__(self) -> None:
        self._silences: dict[str, Silence] = {}

    def get(self, executor_id: str) -> Silence | None:
        """Return an executor's silence, if it has one."""
        return self._silences.get(executor_id)

    def add(self, executor_id: str, silence: Silence) -> None:
        """Add a silence, and forget those of long ago."""
        for other_id, other in list(self._silences.items()):
            if silence.until - other.until > SILENCE_MEMORY_S:
                del self._silences[other_id]
        self._silences[executor_id] = silence

    def remove(self, executor_id: str) -> Silence | None:
        """Remove and return an executor's silence, if it has one."""
        return self._silences.pop(executor_id, None)

    def coinciding(self, executor_id: str) -> list[str]:
        """Return the executors that may have been lost at the same moment.

        Those that were reserved for suspects are left out.
        """
        silence = self._silences.get(executor_id)
        if silence is None or silence.is_isolated:
            return []
        found: list[str] = []
        for other_id, other in self._silences.items():
            if not other.is_isolated and silence.may_coincide(other):
                found.append(other_id)
        return found
