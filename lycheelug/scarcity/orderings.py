"""The orders in which the steps of a pool's waiting jobs are placed.

An ordering returns the sort key of a step, lowest first, and the Unix time in
milliseconds until which the key is valid.  It is up to a millisecond early,
to allow for rounding.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any, Final, TypeAlias

from lycheelug.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    SortKey: TypeAlias = tuple[Any, ...]
    Ordering = Callable[["StepFacts"], tuple[SortKey, float]]

__all__ = ["ORDERINGS", "StepFacts"]

ORDERINGS: Final[Registry[Ordering]] = Registry("ordering")
ROUNDING_MS: Final = 1.0


class StepFacts:
    """What an ordering may know of one waiting step at one moment.

    Times are Unix times in milliseconds.
    """

    __slots__ = (
        "due_ms",
        "has_started",
        "is_over_share",
        "lasts",
        "late_limit_ms",
        "margin_ms",
        "name",
        "objective_ms",
        "priority",
        "remaining_ms",
        "unix_ms",
        "work",
    )

    def __init__(
        self,
        name: tuple[str, int, int],
        priority: int,
        lasts: bool,
        has_started: bool,
        is_over_share: bool,
        unix_ms: float,
        due_ms: float,
        objective_ms: float,
        late_limit_ms: float,
        remaining_ms: float,
        margin_ms: float,
        work: float = 0.0,
    ) -> None:
        # Job, occurrence and step; it breaks ties.
        self.name = name
        # 0 is the highest.
        self.priority = priority
        # Whether its tasks are long-running.
        self.lasts = lasts
        # Whether a task of the job has been started.
        self.has_started = has_started
        # Whether the job is more than its tenant's share.
        self.is_over_share = is_over_share
        self.unix_ms = unix_ms
        self.due_ms = due_ms
        self.objective_ms = objective_ms
        # A job that is completed later is of no value.
        self.late_limit_ms = late_limit_ms
        # Expected time from the start of the step to the end of the job.
        self.remaining_ms = remaining_ms
        # The slack that a start of the queue's jobs needs to be in time.
        self.margin_ms = margin_ms
        # The expected work of the whole job.
        self.work = work

    @property
    def ends_ms(self) -> float:
        """The expected end of the job if the step starts now."""
        return self.unix_ms + self.remaining_ms

    @property
    def latest_start_ms(self) -> float:
        """The latest start by which the job is expected in time."""
        return self.objective_ms - self.remaining_ms


@ORDERINGS.register("fifo")
def order_by_arrival(facts: StepFacts) -> tuple[SortKey, float]:
    """Order by arrival, a baseline."""
    return (facts.priority, not facts.lasts, facts.due_ms, facts.name), (
        math.inf
    )


@ORDERINGS.register("deadline")
def order_by_deadline(facts: StepFacts) -> tuple[SortKey, float]:
    """Order by deadline alone, a baseline."""
    key = (facts.priority, not facts.lasts, facts.objective_ms, facts.name)
    return key, math.inf


@ORDERINGS.register("feasibility")
def order_by_feasibility(facts: StepFacts) -> tuple[SortKey, float]:
    """Put jobs that can't meet their deadline behind those that can.

    Ordered by deadline alone, an overload would make each job as late as the
    one before it.  Within a priority, long-running tasks go first, as they
    are of value for as long as they run.  Jobs over their tenants' shares go
    after the others.  Jobs that have started go before
    those that haven't, as less of their work remains.
    """
    group = 0
    until_ms = math.inf
    if not facts.lasts:
        for limit_ms in (facts.objective_ms, facts.late_limit_ms):
            if facts.ends_ms <= limit_ms:
                until_ms = limit_ms - facts.remaining_ms - ROUNDING_MS
                break
            group += 1
    key = (
        facts.priority,
        not facts.lasts,
        group,
        facts.is_over_share,
        not facts.has_started,
        facts.objective_ms,
        facts.name,
    )
    return key, until_ms


@ORDERINGS.register("margin")
def order_by_margin(facts: StepFacts) -> tuple[SortKey, float]:
    """Start jobs only with the slack that they are likely to need.

    In an overload, each job would otherwise be started at the last moment
    and miss its objective by little.  Jobs without that slack follow, those
    with the most slack first.  Jobs over their tenants' shares go behind
    those of both groups, and jobs that are late, and then those that are
    overdue, go behind all others of any priority.
    """
    if facts.lasts:
        key = (0, facts.priority, False, False, 0, False, 0.0, facts.name)
        return key, math.inf
    latest_ms = facts.latest_start_ms
    safe_ms = latest_ms if facts.has_started else latest_ms - facts.margin_ms
    overdue_ms = facts.late_limit_ms - facts.remaining_ms
    order_ms = facts.objective_ms
    if facts.unix_ms <= safe_ms:
        rank, group, until_ms = 0, 0, safe_ms
    elif facts.unix_ms <= latest_ms:
        rank, group, until_ms = 0, 1, latest_ms
        order_ms = -latest_ms
    elif facts.unix_ms <= overdue_ms:
        rank, group, until_ms = 1, 0, overdue_ms
    else:
        rank, group, until_ms = 2, 0, math.inf
    key = (
        rank,
        facts.priority,
        True,
        facts.is_over_share,
        group,
        not facts.has_started,
        order_ms,
        facts.name,
    )
    return key, until_ms - ROUNDING_MS


@ORDERINGS.register("smallest")
def order_by_work(facts: StepFacts) -> tuple[SortKey, float]:
    """Order by feasibility, and those that can be in time by their work.

    The same capacity serves more small jobs than large ones.
    """
    (priority, lasts, group, is_new, order, name), until_ms = (
        order_by_feasibility(facts)
    )
    if group == 0 and is_new and not facts.lasts:
        order = facts.work
    return (priority, lasts, group, is_new, order, name), until_ms
