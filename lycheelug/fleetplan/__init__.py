"""Plans host moves between pools and host maintenance, without I/O."""

from lycheelug.fleetplan.hosts import HostInfo, HostState, MaintenanceWave
from lycheelug.fleetplan.planner import FleetPlanner
from lycheelug.fleetplan.records import (
    HOSTS_KEY,
    PLAN_KEY,
    PLANS_TABLE,
    SUMMARIES_TABLE,
    SUMMARY_KEY,
    WAVES_TABLE,
    DrainOrder,
    HostCall,
    HostLoad,
    HostsRecord,
    PlanRecord,
    SummaryRecord,
    WaveRecord,
    decode_hosts,
    decode_plan,
    decode_summary,
    decode_wave_record,
)

__all__ = [
    "HOSTS_KEY",
    "PLANS_TABLE",
    "PLAN_KEY",
    "SUMMARIES_TABLE",
    "SUMMARY_KEY",
    "WAVES_TABLE",
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
    "WaveRecord",
    "decode_hosts",
    "decode_plan",
    "decode_summary",
    "decode_wave_record",
]
