"""Learns which tasks slow each other down on one executor; no I/O."""

from __future__ import annotations

from lycheelug.interference.estimator import (
    InterferenceEstimator,
    PairChange,
)
from lycheelug.interference.exposure import RunHistory
from lycheelug.interference.siblings import SiblingRun, Siblings

__all__ = [
    "InterferenceEstimator",
    "PairChange",
    "RunHistory",
    "SiblingRun",
    "Siblings",
]
