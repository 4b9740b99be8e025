"""The owner's view of one executor and of the runs on it.

An executor's task reports are authoritative for what it runs; between two
reports, the owner adds the orders that it has sent itself.  A run reserves
capacity from the moment its start is sent until an answer or a report shows
that it isn't running.

An executor may start again under its id.  The next incarnation has seen no
fencing token, counts its ends and its clock from the beginning, and carries
out calls that were meant for the one before.  So a call is attributed to an
incarnation only by a report that names it, or by a clock that continues the
one that was last reported.  `order_tokens` tells how the calls of former
incarnations are shut out.

`leases_end_at` is an upper bound, in local time, on the end of the leases of
runs that are known to be on an incarnation that the owner has heard.
`late_leases_end_at` holds for all other runs too: a later incarnation may
have carried out their starts, or may yet do so, and takes a deadline on the
clock of a former one for the longest lease that it grants.

The classes here only hold state.  `task_reports` applies reports and
answers, `pool` decides which orders to send.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

from lycheelug.workloads.executor_clock import CLOCK_DRIFT, ExecutorClock
from lycheelug.workloads.executor_info import ExecutorInfo
from lycheelug.workloads.health import ExecutorHealth
from lycheelug.workloads.order_tokens import OrderTokens, TokenSource
from lycheelug.workloads.reports import (
    EndKind,
    EndReport,
    RunReport,
    TaskReport,
)
from lycheelug.workloads.runs import Run, RunPhase

if TYPE_CHECKING:
    from lycheelug.tenants.usage import TenantUsage
    from lycheelug.workloads.model import Resources, TaskName

__all__ = [
    "CLOCK_DRIFT",
    "LATE_CALL_S",
    "EndKind",
    "EndReport",
    "ExecutorInfo",
    "ExecutorView",
    "Run",
    "RunPhase",
    "RunReport",
    "TaskReport",
]

# How long after it was sent a call may still be carried out, by an executor
# that the owner doesn't reach.
LATE_CALL_S: Final = 4.0
# An executor gets no new tasks once its last report is older than this,
# which is two poll intervals.
UNRESPONSIVE_S: Final = 1.6


class ExecutorView:
    """State of one executor as known to the pool's owner."""

    __slots__ = (
        "_barriers_passed",
        "_barriers_wanted",
        "_run_counts",
        "_step_runs",
        "_tenant_usage",
        "backoff_until",
        "born_ms",
        "clock",
        "drain_order",
        "former_born_ms",
        "has_accepted_term",
        "has_entry",
        "has_listed_ends",
        "has_restarted",
        "health",
        "info",
        "is_located",
        "is_recorded",
        "last_acked_end",
        "last_applied_end",
        "last_forgotten_end",
        "last_report_at",
        "late_leases_end_at",
        "lease_max_s",
        "leases_end_at",
        "lists_all_ends",
        "long_leases_end_at",
        "pace",
        "pace_report_at",
        "polled_at",
        "recorded_born_ms",
        "runs",
        "tokens",
        "used_cpu",
        "used_gpus",
        "used_memory",
    )

    def __init__(
        self,
        info: ExecutorInfo,
        leases_end_at: float,
        run_counts: Counter[TaskName] | None = None,
        tenant_usage: TenantUsage | None = None,
        token_source: TokenSource | None = None,
        lease_max_s: float = 0.0,
        late_leases_end_at: float = 0.0,
    ) -> None:
        self.info = info
        # The fencing tokens of this owner's calls to it.
        self.tokens = OrderTokens(token_source or TokenSource(0))
        # The longest lease that it grants.
        self.lease_max_s = lease_max_s
        # The number of requests for a call that shuts out all earlier ones,
        # and how many of them had been made before such a call was answered.
        self._barriers_wanted = 1
        self._barriers_passed = 0
        # What the runs of each tenant use, shared likewise.
        self._tenant_usage = tenant_usage
        self.leases_end_at = leases_end_at
        self.late_leases_end_at = max(leases_end_at, late_leases_end_at)
        # Number of known runs of each task, shared by all executors of the
        # pool.
        self._run_counts = Counter() if run_counts is None else run_counts
        # Number of runs here of each step, by its name in `TaskName`.
        self._step_runs: Counter[tuple[str, int, int]] = Counter()
        # Unix time in milliseconds at which the current incarnation started,
        # by its entry until its first report, and by its reports from then.
        self.born_ms = info.born_ms
        # The same of the incarnation before, if it answered this owner, and
        # of the one that is recorded for the next owner, whose leases are
        # known to be no longer than this owner's; 0 for none.
        self.former_born_ms = 0
        self.recorded_born_ms = 0
        # Local time until which the current one may have longer leases.
        self.long_leases_end_at = 0.0
        # Whether it has answered at this address, to this owner or, as is
        # recorded, to an earlier one.  Any writer can change an entry, so
        # without that, nothing that is seen at the address proves its end.
        self.is_located = False
        # Whether it is stored that the pool uses this executor, so that a
        # later owner searches it for runs even after its entry is removed.
        self.is_recorded = False
        # Whether it has acknowledged this owner's term as fencing token.
        self.has_accepted_term = False
        # Whether its entry or a report has named another incarnation that has
        # not answered a barrier yet.
        self.has_restarted = False
        # Whether its entry is still in the store.
        self.has_entry = True
        # The current incarnation's monotonic clock.
        self.clock = ExecutorClock()
        # Local times at which its last report arrived and at which that
        # report was requested.
        self.last_report_at: float | None = None
        self.polled_at = 0.0
        # Whether that report listed all ends that aren't acknowledged, and
        # whether any report to this owner has.
        self.lists_all_ends = False
        self.has_listed_ends = False
        # Highest sequence number of the ends applied here, and of those
        # that are stored and may be acknowledged.
        self.last_applied_end = 0
        self.last_acked_end = 0
        # The last of them that a poll which was answered has acknowledged.
        self.last_forgotten_end = 0
        # Keyed by task and run number, as a task may have a second,
        # superfluous run.
        self.runs: dict[tuple[TaskName, int], Run] = {}
        self.used_cpu = 0
        self.used_memory = 0
        self.used_gpus = 0
        # Target pace of backfill runs in percent, and the arrival time of the
        # report from which it was computed.
        self.pace = 100
        self.pace_report_at: float | None = None
        # Local time before which it gets no new tasks.
        self.backoff_until = 0.0
        # Id of the fleet planner's order to drain its host; empty for none.
        self.drain_order = ""
        self.health = ExecutorHealth()

    @property
    def executor_id(self) -> str:
        """Id of the executor in the store."""
        return self.info.executor_id

    @property
    def incarnation(self) -> tuple[str, int]:
        """Its id and the start time of its current incarnation."""
        return (self.info.executor_id, self.born_ms)

    @property
    def rack(self) -> str:
        """Rack of its host, which is the last label."""
        return self.info.labels[-1] if self.info.labels else ""

    @property
    def is_drained(self) -> bool:
        """Whether a drain order is set and nothing runs or may be started.

        All runs are known: the first reports show those of earlier owners,
        and an unanswered start counts as a run until it is disproved.
        """
        is_known = self.has_accepted_term and self.last_report_at is not None
        is_known = is_known and self.lists_all_ends and not self.needs_barrier
        return bool(self.drain_order) and is_known and not self.runs

    @property
    def has_former_entry(self) -> bool:
        """Whether its entry still describes the former incarnation.

        That one may have been another kind of executor.
        """
        born_ms = self.info.born_ms
        return bool(born_ms) and born_ms == self.former_born_ms

    @property
    def needs_barrier(self) -> bool:
        """Whether calls from before may still be carried out unnoticed.

        Then nothing is started there until an answered call, with a higher
        token than all of them, has shown what was carried out.
        """
        return self._barriers_passed < self._barriers_wanted

    @property
    def barrier_number(self) -> int:
        """Number of the last request for such a call."""
        return self._barriers_wanted

    def count_unlocated_runs(self) -> int:
        """Return how many runs a later incarnation may carry out."""
        return sum(not run.is_located for run in self.runs.values())

    def require_barrier(self) -> None:
        """Let the next poll shut out all calls that were sent before it."""
        self._barriers_wanted += 1

    def expect_restart(self) -> None:
        """Let the next poll be a barrier, as there is another incarnation."""
        self.has_restarted = True
        self.require_barrier()

    def record_barrier(self, number: int) -> None:
        """Record the answer of a poll that was sent as a barrier."""
        self._barriers_passed = max(self._barriers_passed, number)
        self.has_restarted = self.has_restarted and self.needs_barrier

    def may_hide_ends(self, now: float) -> bool:
        """Return whether runs of earlier owners may have ended unlisted.

        Once its leases have ended, such ends don't count any more.
        """
        if not self.has_accepted_term or self.has_listed_ends:
            return False
        return now < self.leases_end_at

    def is_healthy(self, now: float) -> bool:
        """Return whether it can be used for new tasks.

        It must respond to this owner, be recorded in the store, have an
        entry, and not be draining.
        """
        if not self.has_accepted_term or not self.is_recorded:
            return False
        if not self.has_entry or self.info.draining or self.needs_barrier:
            return False
        if self.has_former_entry:
            return False
        return (
            self.last_report_at is not None
            and now - self.last_report_at <= UNRESPONSIVE_S
        )

    def apply_entry(self, info: ExecutorInfo) -> bool:
        """Apply an entry; return False if it is that of a new incarnation.

        While runs may be where the executor has answered, it is called there
        and gets no new tasks, whatever other place its entry names.
        """
        if self.is_located and not info.has_place_of(self.info):
            self.has_entry = False
            return bool(self.runs) or not self.has_accepted_term
        if info.born_ms not in (self.info.born_ms, self.born_ms):
            self.expect_restart()
        if info.born_ms not in (0, self.recorded_born_ms):
            self._expect_late_leases()
        self.info = info
        self.has_entry = True
        return True

    def _expect_late_leases(self) -> None:
        """Expect that the last owner took it for another incarnation."""
        if self.recorded_born_ms and not self.has_accepted_term:
            self.leases_end_at = self.late_leases_end_at

    def add_run(self, run: Run) -> None:
        """Add a run and reserve its resources."""
        self.runs[run.key] = run
        self._run_counts[run.task_name] += 1
        self._step_runs[run.task_name[:3]] += 1
        self.used_cpu += run.resources.cpu_millis
        self.used_memory += run.resources.memory_mb
        self.used_gpus += run.resources.gpus
        if run.tenant and self._tenant_usage is not None:
            self._tenant_usage.add(run.tenant, run.charged, run.is_adopted)

    def drop_run(self, key: tuple[TaskName, int]) -> Run | None:
        """Remove a run and release its resources; return it."""
        run = self.runs.pop(key, None)
        if run is None:
            return None
        self._run_counts[run.task_name] -= 1
        if not self._run_counts[run.task_name]:
            del self._run_counts[run.task_name]
        self._step_runs[run.task_name[:3]] -= 1
        if not self._step_runs[run.task_name[:3]]:
            del self._step_runs[run.task_name[:3]]
        self.used_cpu -= run.resources.cpu_millis
        self.used_memory -= run.resources.memory_mb
        self.used_gpus -= run.resources.gpus
        if run.tenant and self._tenant_usage is not None:
            self._tenant_usage.remove(run.tenant, run.charged, run.is_adopted)
        return run

    def count_step_runs(self, name: TaskName) -> int:
        """Return the number of runs here of a task's step."""
        return self._step_runs[name[:3]]

    def has_runs_of(self, name: TaskName) -> bool:
        """Return whether a task may have runs here: it has any in the pool."""
        return name in self._run_counts

    def fits(self, resources: Resources) -> bool:
        """Return whether the free capacity covers a resource request."""
        capacity = self.info.capacity
        return (
            self.used_cpu + resources.cpu_millis <= capacity.cpu_millis
            and self.used_memory + resources.memory_mb <= capacity.memory_mb
            and self.used_gpus + resources.gpus <= capacity.gpus
        )

    def begin_incarnation(self, born_ms: int) -> None:
        """Forget what a former incarnation has counted; its runs stay."""
        if self.has_accepted_term:
            self.former_born_ms = self.born_ms
        self.born_ms = born_ms
        self.last_applied_end = 0
        self.last_acked_end = 0
        self.last_forgotten_end = 0
        self.clock = ExecutorClock()

    def expect_long_leases(self, now: float) -> None:
        """Expect that it has taken a deadline on another clock until now."""
        self.record_lease(now, self.lease_max_s)
        self.long_leases_end_at = self.leases_end_at

    def record_lease(self, now: float, lease_s: float) -> None:
        """Extend the bounds on leases for an order sent now."""
        latest = now + lease_s / (1 - CLOCK_DRIFT)
        self.leases_end_at = max(self.leases_end_at, latest)
        longest_s = max(lease_s, self.lease_max_s) / (1 - CLOCK_DRIFT)
        self.late_leases_end_at = max(
            self.late_leases_end_at, now + LATE_CALL_S + longest_s
        )
