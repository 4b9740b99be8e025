"""Plans host moves between pools and host maintenance, without I/O."""

from lycheelug.fleetplan.hosts import HostInfo, HostState, MaintenanceWave
from lycheelug.fleetplan.planner import FleetPlanner
from lycheelug.fleetplan.records import (
    PLAN_KEY,
    PLANS_TABLE,
    SUMMARIES_TABLE,
    SUMMARY_KEY,
    DrainOrder,
    HostCall,
    HostLoad,
    PlanRecord,
    SummaryRecord,
    decode_plan,
    decode_summary,
)

__all__ = [
    "PLANS_TABLE",
    "PLAN_KEY",
    "SUMMARIES_TABLE",
    "SUMMARY_KEY",
    "DrainOrder",
    "FleetPlanner",
    "HostCall",
    "HostInfo",
    "HostLoad",
    "HostState",
    "MaintenanceWave",
    "PlanRecord",
    "SummaryRecord",
    "decode_plan",
    "decode_summary",
]
