"""Decides whom to serve when a pool can't serve all in time; no I/O.

It knows neither the rows nor the messages of either edge: callers pass in
plain figures and get decisions.
"""

from __future__ import annotations

from lycheelug.scarcity.admission import (
    FirstSends,
    PoolRoom,
    find_retry_after_s,
)
from lycheelug.scarcity.orderings import ORDERINGS, StepFacts
from lycheelug.scarcity.policy import OverloadPolicy
from lycheelug.scarcity.slack import JobTiming, SlackErrors

__all__ = [
    "ORDERINGS",
    "FirstSends",
    "JobTiming",
    "OverloadPolicy",
    "PoolRoom",
    "SlackErrors",
    "StepFacts",
    "find_retry_after_s",
]
