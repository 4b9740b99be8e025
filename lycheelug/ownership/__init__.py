"""Ownership of pools and the fleet plan, and daemon liveness; no I/O."""

from lycheelug.ownership.assignment import (
    choose_claims,
    choose_successor,
    duty_weight,
)
from lycheelug.ownership.duty_group import DutyGroup, group_size
from lycheelug.ownership.liveness import Liveness
from lycheelug.ownership.records import (
    CENSUS_KEY,
    CENSUS_PART,
    DAEMONS_TABLE,
    OWNER_KEY,
    OWNERS_TABLE,
    PEERS_TABLE,
    CensusRecord,
    HeartbeatRecord,
    OwnerRecord,
    PeerRecord,
)
from lycheelug.ownership.stalls import WorkProgress

__all__ = [
    "CENSUS_KEY",
    "CENSUS_PART",
    "DAEMONS_TABLE",
    "OWNERS_TABLE",
    "OWNER_KEY",
    "PEERS_TABLE",
    "CensusRecord",
    "DutyGroup",
    "HeartbeatRecord",
    "Liveness",
    "OwnerRecord",
    "PeerRecord",
    "WorkProgress",
    "choose_claims",
    "choose_successor",
    "duty_weight",
    "group_size",
]
