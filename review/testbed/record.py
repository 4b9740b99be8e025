"""The record of a case: what was sent, answered and run."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, TextIO

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["Record"]


class Record:
    """Writes one line for each event, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._began = time.monotonic()
        self._file: TextIO = path.open("w", encoding="utf-8")

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._began

    def add(self, event: str, **fields: Any) -> None:
        """Write one line."""
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now:8.3f} {event} {words}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
