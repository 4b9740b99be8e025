"""The owner's view of one executor and of the runs on it.

An executor is one incarnation of a host.  Its task reports are
authoritative for what it runs; between two reports, the owner adds the
orders that it has sent itself.  A run reserves capacity from the moment its
start is sent until an answer or a report shows that it isn't running.

`leases_end_at` is an upper bound, in local time, on the end of every lease
ever granted to the executor: after it, nothing can be running there and no
start still in transit can be carried out.

The classes here only hold state.  `task_reports` applies reports and
answers, `pool` decides which orders to send.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum, auto
from typing import TYPE_CHECKING, Final

from lycheelug.workloads.executor_info import ExecutorInfo
from lycheelug.workloads.health import ExecutorHealth
from lycheelug.workloads.reports import (
    EndKind,
    EndReport,
    RunReport,
    TaskReport,
)

if TYPE_CHECKING:
    from lycheelug.tenants.usage import TenantUsage
    from lycheelug.workloads.jobs import Task
    from lycheelug.workloads.model import Resources, StepSpec, TaskName

__all__ = [
    "CLOCK_DRIFT",
    "EndKind",
    "EndReport",
    "ExecutorInfo",
    "ExecutorView",
    "Run",
    "RunPhase",
    "RunReport",
    "TaskReport",
]

# Maximum relative rate by which an executor's clock may run slow, as the
# platform specifies it.
CLOCK_DRIFT: Final = 0.02
# An executor gets no new tasks once its last report is older than this,
# which is two poll intervals.
UNRESPONSIVE_S: Final = 1.6


class RunPhase(Enum):
    """State of a run as far as the owner knows."""

    # The start was sent and is not answered yet.
    STARTING = auto()
    # The start failed without an answer: it may be running, or may yet be
    # started.
    UNKNOWN = auto()
    RUNNING = auto()
    # A stop is due or was sent.
    STOPPING = auto()


class Run:
    """One run of a task on one executor."""

    __slots__ = (
        "charged",
        "checkpoint",
        "confirmed_at",
        "is_adopted",
        "is_isolated",
        "load",
        "ordered_at",
        "pace",
        "percent",
        "phase",
        "progressed_at",
        "resources",
        "run",
        "stop_answered_at",
        "stop_reason",
        "stop_sent",
        "task",
        "task_name",
        "tenant",
        "unknown_at",
    )

    def __init__(
        self,
        task_name: TaskName,
        run: int,
        resources: Resources,
        ordered_at: float,
        task: Task | None,
    ) -> None:
        self.task_name = task_name
        self.run = run
        self.resources = resources
        # None for a run that this owner has no use for.
        self.task = task
        self.phase = RunPhase.STARTING
        # Local time at which its start was ordered or, if an earlier owner
        # did that, at which it was first reported.
        self.ordered_at = ordered_at
        self.is_adopted = False
        # Whether its executor was reserved for its job at its start.
        self.is_isolated = False
        # Local time of the first answer or report that confirmed the run.
        self.confirmed_at: float | None = None
        self.checkpoint = ""
        self.percent = 0
        # Local time of the last report that showed progress.
        self.progressed_at = ordered_at
        # Local time at which the start was recorded as unanswered.
        self.unknown_at = ordered_at
        # Load as last reported, and the pace last ordered: the share of its
        # normal speed at which a backfill run may work, in percent.
        self.load = 0
        self.pace = 100
        self.stop_sent = False
        self.stop_answered_at: float | None = None
        self.stop_reason = ""
        # What counts for the cap of its job's tenant; empty for none.
        self.tenant = ""
        self.charged = resources
        if task is not None:
            self.charge(task.job.record.tenant, task.step)

    def charge(self, tenant: str, step: StepSpec) -> None:
        """Let the run count for a tenant's cap, before it is added."""
        self.tenant = tenant
        self.charged = step.request

    @property
    def key(self) -> tuple[TaskName, int]:
        """Key that is unique among the runs on the executor."""
        return (self.task_name, self.run)


class ExecutorView:
    """State of one executor as known to the pool's owner."""

    __slots__ = (
        "_run_counts",
        "_step_runs",
        "_tenant_usage",
        "backoff_until",
        "born_ms",
        "clock_ms",
        "clock_read_at",
        "drain_order",
        "has_accepted_term",
        "has_entry",
        "has_listed_ends",
        "health",
        "info",
        "is_located",
        "is_recorded",
        "last_acked_end",
        "last_applied_end",
        "last_report_at",
        "leases_end_at",
        "lists_all_ends",
        "pace",
        "pace_report_at",
        "polled_at",
        "runs",
        "start_unanswered_at",
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
    ) -> None:
        self.info = info
        # What the runs of each tenant use, shared likewise.
        self._tenant_usage = tenant_usage
        self.leases_end_at = leases_end_at
        # Number of known runs of each task, shared by all executors of the
        # pool.
        self._run_counts = Counter() if run_counts is None else run_counts
        # Number of runs here of each step, by its name in `TaskName`.
        self._step_runs: Counter[tuple[str, int, int]] = Counter()
        # Unix time in milliseconds at which the current incarnation started,
        # by its entry until its first report, and by its reports from then.
        self.born_ms = info.born_ms
        # Whether it has answered at this address, to this owner or, as is
        # recorded, to an earlier one.  Any writer can change an entry, so
        # without that, nothing that is seen at the address proves its end.
        self.is_located = False
        # Whether it is stored that the pool uses this executor, so that a
        # later owner searches it for runs even after its entry is removed.
        self.is_recorded = False
        # Whether it has acknowledged this owner's term as fencing token.
        self.has_accepted_term = False
        # Whether its entry is still in the store.
        self.has_entry = True
        # Its monotonic clock, and the local time at which that value was
        # received.
        self.clock_ms: int | None = None
        self.clock_read_at = 0.0
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
        # Local time of the last start that was not answered.
        self.start_unanswered_at = 0.0
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
        is_known = is_known and self.lists_all_ends
        return bool(self.drain_order) and is_known and not self.runs

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
        if not self.has_entry or self.info.draining:
            return False
        if self.start_unanswered_at > self.polled_at:
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
        self.info = info
        self.has_entry = True
        return True

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

    def estimate_clock_ms(self, now: float) -> int | None:
        """Estimate its clock's current value; None before the first report."""
        if self.clock_ms is None:
            return None
        return self.clock_ms + int((now - self.clock_read_at) * 1000)

    def record_clock(self, clock_ms: int, received_at: float) -> None:
        """Record its clock, unless the value is older than the known one."""
        if self.clock_ms is None or clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_read_at = received_at

    def record_lease(self, now: float, lease_s: float) -> None:
        """Extend the bound on leases for an order sent now."""
        latest = now + lease_s * (1 + CLOCK_DRIFT)
        self.leases_end_at = max(self.leases_end_at, latest)
