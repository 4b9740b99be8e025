"""A bounded cache of job states that can't change any more."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.workloads import JobState

if TYPE_CHECKING:
    from lycheelug.workloads import ProgressRecord

__all__ = ["FinalState", "FinalStates"]

# How many states are cached, so that queries need no read.
FINAL_STATES_MAX: Final = 5_000


class FinalState:
    """The final state of a job, and the tenant it belongs to."""

    __slots__ = ("state", "tenant")

    def __init__(self, state: str, tenant: str) -> None:
        self.state = state
        # Empty for none.
        self.tenant = tenant


class FinalStates:
    """The final states of the jobs that were asked for last."""

    __slots__ = ("_states",)

    def __init__(self) -> None:
        self._states: dict[str, FinalState] = {}

    def find(self, job_id: str) -> FinalState | None:
        """Return a job's final state, if it is cached."""
        return self._states.get(job_id)

    def record(self, job_id: str, progress: ProgressRecord) -> None:
        """Cache the state in a record if it is final and needs no reason."""
        if progress.state not in JobState.FINAL or progress.reason:
            return
        if len(self._states) >= FINAL_STATES_MAX:
            self._states.pop(next(iter(self._states)))
        self._states[job_id] = FinalState(progress.state, progress.tenant)
