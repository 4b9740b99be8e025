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
    HintTiming,
    JobRecord,
    JobState,
    Occurrences,
    PolicyRecord,
    QueuePolicy,
    Resources,
    StepSpec,
    TaskName,
)
from lycheelug.workloads.orders import PaceOrder, StartOrder, StopOrder
from lycheelug.workloads.placement_hints import StepName, ticket_validity_s
from lycheelug.workloads.policy_changes import apply_policy
from lycheelug.workloads.polls import PollCall, awaits_starts, make_poll
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
    "HintTiming",
    "HostEvidence",
    "Job",
    "JobError",
    "JobLimits",
    "JobRecord",
    "JobState",
    "LossCause",
    "Occurrences",
    "PaceOrder",
    "PolicyRecord",
    "PollCall",
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
    "apply_policy",
    "apply_start_answer",
    "apply_stop_answer",
    "apply_task_report",
    "awaits_starts",
    "find_error",
    "make_poll",
    "ticket_validity_s",
]
