"""Jobs of steps of tasks, and the schedule of one pool; no I/O."""

from lycheelug.workloads.executors import (
    EndKind,
    EndReport,
    ExecutorInfo,
    ExecutorView,
    ListReport,
    Run,
    RunPhase,
    RunReport,
)
from lycheelug.workloads.jobs import Job, Task, TaskState
from lycheelug.workloads.model import (
    JobRecord,
    JobState,
    Occurrences,
    QueuePolicy,
    Resources,
    StepSpec,
    TaskName,
)
from lycheelug.workloads.orders import PaceOrder, StartOrder, StopOrder
from lycheelug.workloads.placement_hints import StepName
from lycheelug.workloads.pool import PoolSchedule
from lycheelug.workloads.progress import ProgressRecord
from lycheelug.workloads.task_reports import (
    StartAnswer,
    note_start,
    note_stop,
    take_list,
)

__all__ = [
    "EndKind",
    "EndReport",
    "ExecutorInfo",
    "ExecutorView",
    "Job",
    "JobRecord",
    "JobState",
    "ListReport",
    "Occurrences",
    "PaceOrder",
    "PoolSchedule",
    "ProgressRecord",
    "QueuePolicy",
    "Resources",
    "Run",
    "RunPhase",
    "RunReport",
    "StartAnswer",
    "StartOrder",
    "StepName",
    "StepSpec",
    "StopOrder",
    "Task",
    "TaskName",
    "TaskState",
    "note_start",
    "note_stop",
    "take_list",
]
