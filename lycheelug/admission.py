"""Admission of requests to a pool: the queue interface and its policies.

This module only re-exports; importing it registers every policy in
`QUEUES`.

>>> queue = QUEUES.get("deadline")("quotes", QueueSettings())
>>> early = Ticket(1, "quotes", "shop", RequestClass.SHORT, 0.0, 9.0)
>>> late = Ticket(2, "quotes", "shop", RequestClass.SHORT, 0.0, 4.0)
>>> queue.offer(early, now=0.0, capacity=8)
>>> queue.offer(late, now=0.0, capacity=8)
>>> queue.take(now=0.1)
Ticket(2, short)
>>> queue.queued_by_tenant
{'shop': 1}
"""

from __future__ import annotations

from lycheelug.admission_queue import (
    QUEUES,
    URGENT_START_S,
    AdmissionQueue,
    QueueSettings,
    Refusal,
    Ticket,
)
from lycheelug.deadline_queue import DeadlineQueue
from lycheelug.queue_baselines import (
    EarliestDeadlineQueue,
    FifoQueue,
    FixedLimitQueue,
)
from lycheelug.requests import RequestClass

__all__ = [
    "QUEUES",
    "URGENT_START_S",
    "AdmissionQueue",
    "DeadlineQueue",
    "EarliestDeadlineQueue",
    "FifoQueue",
    "FixedLimitQueue",
    "QueueSettings",
    "Refusal",
    "RequestClass",
    "Ticket",
]
