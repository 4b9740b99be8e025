"""Ownership of pools and the fleet plan, and daemon liveness; no I/O."""

from lycheelug.ownership.assignment import (
    choose_claims,
    choose_successor,
    duty_weight,
)
from lycheelug.ownership.liveness import Liveness
from lycheelug.ownership.records import (
    DAEMONS_TABLE,
    OWNER_KEY,
    OWNERS_TABLE,
    HeartbeatRecord,
    OwnerRecord,
)
from lycheelug.ownership.stalls import WorkProgress

__all__ = [
    "DAEMONS_TABLE",
    "OWNERS_TABLE",
    "OWNER_KEY",
    "HeartbeatRecord",
    "Liveness",
    "OwnerRecord",
    "WorkProgress",
    "choose_claims",
    "choose_successor",
    "duty_weight",
]
