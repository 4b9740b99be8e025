"""Explains where a job would go now, or what it waits for; no I/O."""

from __future__ import annotations

from lycheelug.whereabouts.locate import locate_job, locate_record
from lycheelug.whereabouts.report import PlacementReport, StepReport

__all__ = ["PlacementReport", "StepReport", "locate_job", "locate_record"]
