"""Job model, task placement and the schedule of one pool; no I/O."""

from lycheelug.workloads.executors import (
    EndKind,
    EndReport,
    ExecutorInfo,
    ExecutorView,
    Run,
    RunPhase,
    RunReport,
    TaskReport,
)
from lycheelug.workloads.job_limits import JobError, JobLimits, find_error
from lycheelug.workloads.jobs import Job, Task, TaskState
from lycheelug.workloads.losses import HostEvidence, LossCause
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
    apply_start_answer,
    apply_stop_answer,
    apply_task_report,
)

__all__ = [
    "EndKind",
    "EndReport",
    "ExecutorInfo",
    "ExecutorView",
    "HostEvidence",
    "Job",
    "JobError",
    "JobLimits",
    "JobRecord",
    "JobState",
    "LossCause",
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
    "TaskReport",
    "TaskState",
    "apply_start_answer",
    "apply_stop_answer",
    "apply_task_report",
    "find_error",
]
