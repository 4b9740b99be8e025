"""Decides what a poll of an executor asks for; no I/O.

A poll must do no harm where it is not carried out by the incarnation that it
was meant for, and where it is carried out late.  It acknowledges ends only
while no start is in doubt: an incarnation that has carried out such a start
would forget the end of that run, before a list has had it.

If a list leaves ends out, the doubt may be about a run among them, and only
an acknowledgement makes room for it.  Then it is enough that the incarnation
which the list came from has answered a barrier since the start was sent.
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
        "sent_at",
        "token",
    )

    def __init__(self, token: int, sent_at: float) -> None:
        self.token = token
        # Local time.
        self.sent_at = sent_at
        # The number of the last request for a barrier that it fulfils; 0 if
        # it isn't one.
        self.barrier_number = 0
        # The ends up to this number need not be listed again.
        self.acknowledged = 0
        # The new end of the leases, on the executor's clock.
        self.deadline_ms: int | None = None

    @property
    def is_barrier(self) -> bool:
        """Whether it shuts out all calls that were sent before it."""
        return self.barrier_number > 0


def make_poll(
    view: ExecutorView, now: float, lease_s: float, may_extend: bool
) -> PollCall:
    """Return the next poll; it extends the leases if it may."""
    is_barrier = view.needs_barrier
    if is_barrier:
        view.tokens.advance()
    call = PollCall(view.tokens.current, now)
    if is_barrier:
        call.barrier_number = view.barrier_number
    clock_ms = view.clock.estimate_ms(now)
    if may_extend and clock_ms is not None:
        call.deadline_ms = clock_ms + int(lease_s * 1000)
        view.record_lease(now, lease_s)
    if is_barrier or not _may_acknowledge(view):
        return call
    if view.last_acked_end > view.last_forgotten_end:
        call.acknowledged = view.last_acked_end
        view.tokens.advance()
    return call


def _may_acknowledge(view: ExecutorView) -> bool:
    """Return whether no acknowledgement can hide the end of a run."""
    for run in view.runs.values():
        if run.is_located:
            continue
        if view.lists_all_ends:
            return False
        if not view.tokens.is_past(run.token):
            if run.phase is not RunPhase.STARTING:
                view.require_barrier()
            return False
    return True


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
