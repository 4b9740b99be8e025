"""Limits on the number of concurrent requests on one executor.

If concurrent requests slow one another down, an executor has its highest
throughput at some concurrency.  The configured slots give that number only
while nothing else uses the worker.  An adaptive limit finds it from the
latencies that the daemon measures.

This module only re-exports; importing it registers every limit in `LIMITS`.

>>> sorted(LIMITS)
['aimd', 'fixed', 'gradient', 'none', 'probe', 'vegas']
>>> limit = LIMITS.get("probe")(8, 64)
>>> limit.on_start(now=0.0)
>>> limit.on_finish(latency_s=0.2, ok=True, now=0.2)
>>> limit.limit(now=0.2)
8
"""

from __future__ import annotations

from lycheelug.limit_interface import LIMITS, FixedLimit, Limit, NoLimit
from lycheelug.probe_limit import ProbeLimit
from lycheelug.round_limits import AimdLimit, GradientLimit, VegasLimit

__all__ = [
    "LIMITS",
    "AimdLimit",
    "FixedLimit",
    "GradientLimit",
    "Limit",
    "NoLimit",
    "ProbeLimit",
    "VegasLimit",
]
