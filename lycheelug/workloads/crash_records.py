"""The stored records of executors that were lost under a task.

An executor is lost when its runs are given up without having been reported
as ended.  What the records of one task prove is decided here; `crashes`
collects them.
"""

from __future__ import annotations

from typing import Final

import msgspec

__all__ = [
    "CULPRIT_LOSSES",
    "DOUBTFUL_LOSSES_MAX",
    "SUSPECT_RUN_MAX_S",
    "CrashRecord",
    "is_culprit",
    "makes_suspect",
]

# Losses after which a task counts as their cause: if it was isolated, and if
# it wasn't.
CULPRIT_LOSSES: Final = 2
LOSSES_MAX: Final = 3
# The same for losses of which it is not certain or not likely that the task
# had to do with them.
DOUBTFUL_LOSSES_MAX: Final = 5
# The same for a long-running task, which meets ordinary crashes again and
# again; only likely losses count.
LASTING_LOSSES: Final = 4
# A run that went on for longer is an unlikely cause of a loss, so it is not
# isolated any more.
SUSPECT_RUN_MAX_S: Final = 2.0


class CrashRecord(msgspec.Struct, array_like=True):
    """One executor incarnation that was lost while a task ran there."""

    executor: str
    # Unix time in milliseconds at which the incarnation started.
    born_ms: int
    # How long the run had gone on.
    age_ms: int
    # Another cause is likelier: executors were lost at the same time, or a
    # suspect of another job ran there.
    is_discounted: bool = False
    # Something other than silence shows that the incarnation has ended;
    # otherwise it may only be unreachable.
    is_proved: bool = True
    # The executor was reserved for the task's job.
    is_isolated: bool = False
    # The run was known to be running there; otherwise its start was not
    # answered, or perhaps by the next incarnation.
    is_certain: bool = True
    # What proved the end; empty if nothing did, or if an earlier release
    # stored the record.
    proof: str = ""
    # The executor's host; empty if unknown.
    host: str = ""
    # For how long owners have known the loss without a proof, in steps of
    # some seconds.
    unproved_ms: int = 0

    @property
    def incarnation(self) -> tuple[str, int]:
        """The executor and its start time, which identify the loss."""
        return (self.executor, self.born_ms)

    @property
    def is_likely(self) -> bool:
        """Whether the run was short enough to be a likely cause."""
        return self.is_isolated or self.age_ms <= SUSPECT_RUN_MAX_S * 1000


def makes_suspect(records: list[CrashRecord]) -> bool:
    """Return whether losses of executors make their task a suspect.

    >>> makes_suspect([CrashRecord("x", 1, 20, is_discounted=True)])
    False
    >>> makes_suspect([CrashRecord("x", 1, 9000)])
    False
    >>> makes_suspect([CrashRecord("x", 1, 20)])
    True
    """
    if len(records) > 1:
        return True
    return any(each.is_likely and not each.is_discounted for each in records)


def is_culprit(records: list[CrashRecord], lasts: bool = False) -> bool:
    """Return whether a task is the cause, so that it must not be restarted.

    Only proved losses count.  Unless there were very many, the task must
    surely have run on several of the executors, shortly before they were
    lost.  `lasts` tells that it is a long-running task.
    """
    proved = [record for record in records if record.is_proved]
    likely = [record for record in proved if record.is_likely]
    certain = [record for record in likely if record.is_certain]
    isolated = [record for record in certain if record.is_isolated]
    if lasts:
        return len(likely) >= LASTING_LOSSES
    if len(proved) >= DOUBTFUL_LOSSES_MAX:
        return True
    if len(certain) < CULPRIT_LOSSES:
        return False
    return len(likely) >= LOSSES_MAX or bool(isolated)
