"""Limits of how many requests run at once on one executor.

An executor whose requests slow one another down does most useful work at
some number of requests at once, which its configured slots tell only while
nothing else uses the worker.  An adaptive limit finds that number from the
latencies that the daemon measures itself.

Importing this module fills the `LIMITS` registry.

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
