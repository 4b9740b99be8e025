"""Where hosts stand, and when they have their upkeep; no I/O."""

from lycheelug.fleetplan.hosts import HostInfo, HostState, UpkeepWave
from lycheelug.fleetplan.planner import FleetPlanner
from lycheelug.fleetplan.records import (
    PLAN_KEY,
    PLANS_TABLE,
    SUMMARIES_TABLE,
    SUMMARY_KEY,
    HostLoad,
    HostOrder,
    PlanRecord,
    SummaryRecord,
    VacateOrder,
    decode_plan,
    decode_summary,
)

__all__ = [
    "PLANS_TABLE",
    "PLAN_KEY",
    "SUMMARIES_TABLE",
    "SUMMARY_KEY",
    "FleetPlanner",
    "HostInfo",
    "HostLoad",
    "HostOrder",
    "HostState",
    "PlanRecord",
    "SummaryRecord",
    "UpkeepWave",
    "VacateOrder",
    "decode_plan",
    "decode_summary",
]
