"""Records of the runs on the stand-in executors.

They hold what is needed to tell whether a task ran twice: the time and kind
of each end, and whether that end was acknowledged while the lease held.
"""

from __future__ import annotations

import msgspec

__all__ = ["RunRecord"]


class RunRecord(msgspec.Struct):
    """A run that was started."""

    task: str
    run: int
    executor: str
    # Unix times in seconds; `ended` is 0 while the task runs.
    began: float
    ended: float = 0.0
    # The kind of end; `crashed` for a run that ended with its incarnation.
    how: str = ""
    lasts: bool = False
    # The start time of the incarnation, in Unix milliseconds.
    born_ms: int = 0
    # Whether an answer to a caller has listed the end.
    is_listed: bool = False
    # The Unix time at which `last_seen` reached the end, or 0.
    acknowledged: float = 0.0
    # Whether the executor's lease lapsed between the two.
    has_lapsed: bool = False
    # Whether its start was carried out late by an incarnation that had had
    # no call with a higher fencing token than all calls before its birth.
    was_unfenced: bool = False

    @property
    def is_end_noted(self) -> bool:
        """Whether the end counts as taken note of."""
        return self.acknowledged > 0 and not self.has_lapsed

    @property
    def is_end_lost(self) -> bool:
        """Whether the end was forgotten before any list had it."""
        return self.acknowledged > 0 and not self.is_listed
