"""Decides what a poll of an executor asks for; no I/O.

A poll must do no harm where it is not carried out by the incarnation that it
was meant for, and where it is carried out late.  It acknowledges ends only
while no start is in doubt: an incarnation that has carried out such a start
would forget the end of that run, before a list has had it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.workloads.runs import RunPhase

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorView

__all__ = ["PollCall", "awaits_starts", "make_poll"]


class PollCall:
    """One poll of an executor."""

    __slots__ = (
        "acknowledged",
        "barrier_number",
        "deadline_ms",
        "is_barrier",
        "sent_at",
        "token",
    )

    def __init__(self, token: int, sent_at: float) -> None:
        self.token = token
        # Local time.
        self.sent_at = sent_at
        # Whether it shuts out all calls that were sent before it.
        self.is_barrier = False
        self.barrier_number = 0
        # The ends up to this number need not be listed again.
        self.acknowledged = 0
        # The new end of the leases, on the executor's clock.
        self.deadline_ms: int | None = None


def make_poll(
    view: ExecutorView, now: float, lease_s: float, may_extend: bool
) -> PollCall:
    """Return the next poll; it extends the leases if it may."""
    is_barrier = view.needs_barrier
    if is_barrier:
        view.tokens.advance()
    call = PollCall(view.tokens.current, now)
    call.is_barrier = is_barrier
    call.barrier_number = view.barrier_number
    clock_ms = view.clock.estimate_ms(now)
    if may_extend and clock_ms is not None:
        call.deadline_ms = clock_ms + int(lease_s * 1000)
        view.record_lease(now, lease_s)
    if is_barrier or view.count_unlocated_runs():
        return call
    if view.last_acked_end > view.last_forgotten_end:
        call.acknowledged = view.last_acked_end
        view.tokens.advance()
    return call


def awaits_starts(view: ExecutorView) -> bool:
    """Return whether ends can be acknowledged once starts are answered.

    A start that got no answer, or one of another incarnation, needs a poll.
    """
    if view.last_acked_end <= view.last_forgotten_end:
        return False
    is_waiting = False
    for run in view.runs.values():
        if run.is_located:
            continue
        if run.phase is not RunPhase.STARTING:
            return False
        is_waiting = True
    return is_waiting
