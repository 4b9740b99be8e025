"""Plans host moves between pools and host maintenance, without I/O."""

from lycheelug.fleetplan.hosts import HostInfo, HostState, MaintenanceWave
from lycheelug.fleetplan.planner import FleetPlanner
from lycheelug.fleetplan.records import (
    HOSTS_KEY,
    PLAN_KEY,
    PLANS_TABLE,
    SUMMARIES_TABLE,
    SUMMARY_KEY,
    DrainOrder,
    HostCall,
    HostLoad,
    HostsRecord,
    PlanRecord,
    SummaryRecord,
    decode_hosts,
    decode_plan,
    decode_summary,
)

__all__ = [
    "HOSTS_KEY",
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
    "HostsRecord",
    "MaintenanceWave",
    "PlanRecord",
    "SummaryRecord",
    "decode_hosts",
    "decode_plan",
    "decode_summary",
]
