"""What a pool's owner knows of one executor and of the runs on it.

An executor is one life of a host.  Its own lists of runs and ends are the
truth about what it does; between two lists the owner adds what it has
ordered itself.  A run counts against the executor's room from the moment
its start is sent until an answer or a list rules it out.

`lapses_at` is the latest local time at which anything may still run there
or a start that is on its way may still be carried out: each lease that was
ever ordered ends before it.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum, auto
from typing import TYPE_CHECKING, Final

from lycheelug.workloads.health import ExecutorHealth

if TYPE_CHECKING:
    from lycheelug.workloads.jobs import Task
    from lycheelug.workloads.model import Resources, TaskName

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

# An executor's clock may run this much too slow (the platform's figure).
CLOCK_DRIFT: Final = 0.02
# An executor that was silent for longer gets no new tasks: two looks.
SILENT_S: Final = 1.6


class EndKind(Enum):
    """How a run ended, by its executor's word."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    # Another member of its gang ended.
    BROKEN = "broken"
    # It waited in vain for the other members of its gang.
    ALONE = "alone"


class RunPhase(Enum):
    """What the owner believes of a run."""

    # Ordered, no answer yet.
    STARTING = auto()
    # No answer came: it may run, now or later.
    UNKNOWN = auto()
    RUNNING = auto()
    # A stop is wanted or ordered.
    STOPPING = auto()


class ExecutorInfo:
    """What an executor reports about itself."""

    __slots__ = (
        "address",
        "born_ms",
        "capacity",
        "cold_s",
        "draining",
        "executor_id",
        "host",
        "labels",
        "leaves_in_s",
        "pool",
        "version",
        "zone",
    )

    def __init__(
        self,
        executor_id: str,
        pool: str,
        address: str,
        capacity: Resources,
        zone: str = "",
        labels: tuple[str, ...] = (),
        host: str = "",
        draining: bool = False,
        born_ms: int = 0,
        leaves_in_s: float | None = None,
        cold_s: float = 0.0,
        version: int = 0,
    ) -> None:
        self.executor_id = executor_id
        self.pool = pool
        self.address = address
        self.capacity = capacity
        self.zone = zone
        # Its kind and its rack, among others.
        self.labels = labels
        # The host that it is a life of; empty where it is not told.
        self.host = host
        self.draining = draining
        # Unix time in milliseconds of its start; tells its lives apart.
        self.born_ms = born_ms
        # Least time until it leaves, while it drains.
        self.leaves_in_s = leaves_in_s
        # How much longer it is slow after its start.
        self.cold_s = cold_s
        # The store's version of the entry.
        self.version = version


class RunReport:
    """One entry of an executor's list of what runs."""

    __slots__ = ("checkpoint", "load", "percent", "run", "task")

    def __init__(
        self,
        task: TaskName,
        run: int,
        checkpoint: str = "",
        percent: int = 0,
        load: int = 0,
    ) -> None:
        self.task = task
        self.run = run
        self.checkpoint = checkpoint
        self.percent = percent
        # Tail response time in milliseconds of a task that serves users,
        # else thousandths of a core in use, over the last half second.
        self.load = load


class EndReport:
    """One entry of an executor's list of ends."""

    __slots__ = ("checkpoint", "kind", "number", "run", "task")

    def __init__(
        self,
        number: int,
        task: TaskName,
        run: int,
        kind: EndKind,
        checkpoint: str = "",
    ) -> None:
        self.number = number
        self.task = task
        self.run = run
        self.kind = kind
        self.checkpoint = checkpoint


class TaskReport:
    """An executor's answer to a look at it."""

    __slots__ = ("born_ms", "clock_ms", "ended", "running")

    def __init__(
        self,
        clock_ms: int,
        born_ms: int,
        running: list[RunReport],
        ended: list[EndReport],
    ) -> None:
        self.clock_ms = clock_ms
        self.born_ms = born_ms
        self.running = running
        self.ended = ended


class Run:
    """One run of a task on an executor."""

    __slots__ = (
        "checkpoint",
        "confirmed_at",
        "load",
        "pace",
        "percent",
        "phase",
        "progressed_at",
        "resources",
        "run",
        "stop_answered_at",
        "stop_sent",
        "task",
        "task_name",
        "unknown_at",
        "why_stopped",
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
        # None for a run that nobody here wants.
        self.task = task
        self.phase = RunPhase.STARTING
        # Local time of the first answer or list that showed it.
        self.confirmed_at: float | None = None
        self.checkpoint = ""
        self.percent = 0
        # Local time at which a list last showed that it had gone on.
        self.progressed_at = ordered_at
        # Local time at which its start was given up as unanswered.
        self.unknown_at = ordered_at
        # What its executor last told of its load, and its ordered pace.
        self.load = 0
        self.pace = 100
        self.stop_sent = False
        self.stop_answered_at: float | None = None
        self.why_stopped = ""

    @property
    def key(self) -> tuple[TaskName, int]:
        """What tells it from other runs on its executor."""
        return (self.task_name, self.run)


class ExecutorView:
    """One executor of a pool as its owner sees it."""

    __slots__ = (
        "_run_counts",
        "born_ms",
        "clock_at",
        "clock_ms",
        "doubted_at",
        "drain_order",
        "has_accepted_term",
        "has_entry",
        "health",
        "info",
        "is_recorded",
        "last_acked_end",
        "last_applied_end",
        "last_report_at",
        "leases_end_at",
        "pace",
        "paced_at",
        "polled_at",
        "runs",
        "shunned_until",
        "used_cpu",
        "used_gpus",
        "used_memory",
    )

    def __init__(
        self,
        info: ExecutorInfo,
        leases_end_at: float,
        run_counts: Counter[TaskName] | None = None,
    ) -> None:
        self.info = info
        self.leases_end_at = leases_end_at
        # Known runs of each task on all executors of the pool.
        self._run_counts = Counter() if run_counts is None else run_counts
        # Unix time in milliseconds at which its present life began; only
        # its own lists move it on, as entries may lag.
        self.born_ms = info.born_ms
        # Whether the store knows that the pool uses it, so that a later
        # owner looks for its runs even if its entry is gone.
        self.is_recorded = False
        # Whether it has answered this owner's fencing token.
        self.has_accepted_term = False
        # Whether the store still has its entry.
        self.has_entry = True
        # Its steady clock, and the local time at which it told it.
        self.clock_ms: int | None = None
        self.clock_at = 0.0
        # Local times of its last list, and at which that was asked for.
        self.last_report_at: float | None = None
        self.polled_at = 0.0
        # The highest end taken in, and the highest that is durable.
        self.last_applied_end = 0
        self.last_acked_end = 0
        # By task and number: a task may have an unwanted second run.
        self.runs: dict[tuple[TaskName, int], Run] = {}
        self.used_cpu = 0
        self.used_memory = 0
        self.used_gpus = 0
        # The pace wanted of tasks that fill, and the list that set it.
        self.pace = 100
        self.paced_at: float | None = None
        # It gets no new tasks before this local time.
        self.shunned_until = 0.0
        # The planner's order to empty its host; empty for none.
        self.drain_order = ""
        # Local time of the last start that it did not answer.
        self.doubted_at = 0.0
        self.health = ExecutorHealth()

    @property
    def executor_id(self) -> str:
        """Its id in the store."""
        return self.info.executor_id

    @property
    def rack(self) -> str:
        """The rack of its host, the last of its labels."""
        return self.info.labels[-1] if self.info.labels else ""

    @property
    def is_drained(self) -> bool:
        """Whether nothing runs, and no start is on its way.

        All runs are known: those of earlier owners by its first list, and
        an order without an answer counts as a run until it is ruled out.
        """
        is_known = self.has_accepted_term and self.last_report_at is not None
        return bool(self.drain_order) and is_known and not self.runs

    def is_healthy(self, now: float) -> bool:
        """Whether it answers this owner, is listed and does not drain."""
        if not self.has_accepted_term or not self.is_recorded:
            return False
        if not self.has_entry or self.info.draining:
            return False
        if self.doubted_at > self.polled_at:
            return False
        return (
            self.last_report_at is not None
            and now - self.last_report_at <= SILENT_S
        )

    def add_run(self, run: Run) -> None:
        """Take a run into account."""
        self.runs[run.key] = run
        self._run_counts[run.task_name] += 1
        self.used_cpu += run.resources.cpu_millis
        self.used_memory += run.resources.memory_mb
        self.used_gpus += run.resources.gpus

    def drop_run(self, key: tuple[TaskName, int]) -> Run | None:
        """Forget a run and free its room."""
        run = self.runs.pop(key, None)
        if run is None:
            return None
        self._run_counts[run.task_name] -= 1
        if not self._run_counts[run.task_name]:
            del self._run_counts[run.task_name]
        self.used_cpu -= run.resources.cpu_millis
        self.used_memory -= run.resources.memory_mb
        self.used_gpus -= run.resources.gpus
        return run

    def fits(self, resources: Resources) -> bool:
        """Whether a task of this size fits beside what runs."""
        capacity = self.info.capacity
        return (
            self.used_cpu + resources.cpu_millis <= capacity.cpu_millis
            and self.used_memory + resources.memory_mb <= capacity.memory_mb
            and self.used_gpus + resources.gpus <= capacity.gpus
        )

    def estimate_clock_ms(self, now: float) -> int | None:
        """Return its clock's likely value, None before its first word."""
        if self.clock_ms is None:
            return None
        return self.clock_ms + int((now - self.clock_at) * 1000)

    def record_clock(self, clock_ms: int, received_at: float) -> None:
        """Keep its clock."""
        if self.clock_ms is None or clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_at = received_at

    def record_lease(self, now: float, lease_s: float) -> None:
        """Note that an order sent now may run things for `lease_s`."""
        latest = now + lease_s * (1 + CLOCK_DRIFT)
        self.leases_end_at = max(self.leases_end_at, latest)
