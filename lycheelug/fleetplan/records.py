"""The rows by which pool owners and the fleet's planner work together.

A pool's owner tells its load in the pool's summary.  The planner lists the
hosts that it wants emptied, each with an order number of its own.  An owner
gives a listed host no new tasks, and confirms the order's number once
nothing runs there and no start is on its way.  Only then may the planner
move the host or begin its upkeep, and it withdraws a used order only after
the host's answer.  An owner that takes a pool over reads the list after it
has taken the term, so it can't start anything on a host that was confirmed.
"""

from __future__ import annotations

from typing import Final

import msgspec

__all__ = [
    "PLANS_TABLE",
    "PLAN_KEY",
    "SUMMARIES_TABLE",
    "SUMMARY_KEY",
    "DrainOrder",
    "HostCall",
    "HostLoad",
    "PlanRecord",
    "SummaryRecord",
    "decode_plan",
    "decode_summary",
]

SUMMARIES_TABLE: Final = "summaries"
SUMMARY_KEY: Final = "summary"
PLANS_TABLE: Final = "plans"
PLAN_KEY: Final = "plan"


class HostLoad(msgspec.Struct, omit_defaults=True):
    """What a pool's owner knows of one host."""

    executor: str
    address: str = ""
    # Room in use, by all runs and by lasting ones, in thousandths of a core.
    used_cpu: int = 0
    lasting_cpu: int = 0
    runs: int = 0
    lasting_runs: int = 0
    # Room in all, as the host's executor tells it.
    capacity_cpu: int = 0
    capacity_memory: int = 0
    # It takes tasks: it answers, is not draining and is not to be emptied.
    is_usable: bool = False


class SummaryRecord(msgspec.Struct, omit_defaults=True):
    """A pool's load."""

    term: int
    hosts: dict[str, HostLoad] = {}
    # Tasks that could run now, had they a place.
    ready_cpu: int = 0
    ready_memory: int = 0
    # The part of it whose jobs are late already.
    late_cpu: int = 0
    # By how much the arriving work grows until a host could come.
    growing_cpu: int = 0
    # Tasks that wait for earlier steps.
    blocked_cpu: int = 0
    running_cpu: int = 0
    running_memory: int = 0
    lasting_cpu: int = 0
    # Most executors over which a lasting step must be spread.
    spread: int = 0
    # Accepted jobs without a started task, by queue.
    waiting: dict[str, int] = {}
    # What the owner has learned of run times, by queue.
    run_times: dict[str, list[float]] = {}
    # Confirmed orders: order numbers by host.
    vacated: dict[str, str] = {}

    @property
    def short_cpu(self) -> int:
        """Room that tasks take or want which come to an end by themselves."""
        wanted = self.running_cpu + self.ready_cpu + self.blocked_cpu
        return wanted - self.lasting_cpu


class DrainOrder(msgspec.Struct, omit_defaults=True):
    """A host that is to be emptied, and what for."""

    number: str
    pool: str
    # The pool to move to; empty where it is for upkeep.
    target: str = ""
    wave: int = 0
    # The call was sent: it must be carried to its end.
    sent: bool = False


class PlanRecord(msgspec.Struct, omit_defaults=True):
    """What the planner wants, and what of its waves is done."""

    term: int
    orders: dict[str, DrainOrder] = {}
    # Hosts that had their upkeep, by wave.
    maintained: dict[str, list[str]] = {}
    # Waves that were told to be completed.
    completed: list[int] = []


class HostCall:
    """A call that may be made now."""

    __slots__ = ("host", "order")

    def __init__(self, host: str, order: DrainOrder) -> None:
        self.host = host
        self.order = order


def decode_summary(value: bytes) -> SummaryRecord | None:
    """Return a summary; None for bytes that are none."""
    try:
        return msgspec.json.decode(value, type=SummaryRecord)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def decode_plan(value: bytes) -> PlanRecord | None:
    """Return a plan; None for bytes that are none."""
    try:
        return msgspec.json.decode(value, type=PlanRecord)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
