"""Applies changed rows of the operator and the executors to the service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.logs import log_change
from lycheelug.platform.config import (
    CONFIG_KEY,
    WAVE_PREFIX,
    decode_configuration,
    decode_wave,
)
from lycheelug.platform.executors import decode_executor

if TYPE_CHECKING:
    from lycheelug.jobservice.service import JobService
    from lycheelug.store.rows import StoredRow

__all__ = ["PlatformEvents"]


class PlatformEvents:
    """The listener to the platform's tables."""

    __slots__ = ("_service",)

    def __init__(self, service: JobService) -> None:
        self._service = service

    def on_operator_row(self, row: StoredRow) -> None:
        """Apply a changed configuration or maintenance wave."""
        if row.value is None:
            return
        if row.key == CONFIG_KEY:
            configuration = decode_configuration(
                row.value, self._service.configuration
            )
            if configuration is None:
                log_change("row-unreadable", table=row.table, key=row.key)
                return
            self._service.apply_configuration(configuration)
            return
        if row.key.startswith(WAVE_PREFIX):
            wave = decode_wave(row)
            if wave is None:
                log_change("row-unreadable", table=row.table, key=row.key)
                return
            self._service.update_wave(wave)

    def on_executor_row(self, row: StoredRow) -> None:
        """Apply a changed executor entry."""
        info = decode_executor(row)
        if info is None and row.value is not None:
            log_change("row-unreadable", table=row.table, key=row.key)
            self._service.metrics.count("rows-unreadable")
        self._service.update_executor(row.key, info)
