"""Structured logs: one line per state change, on standard error.

Frequent events are counted in `metrics` instead.  A log line is for events
that an operator needs to see individually.
"""

from __future__ import annotations

import logging
import os
import sys
import time
from datetime import UTC
from typing import TYPE_CHECKING, Any, Final

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message, Record

    from lycheelug.errors import Fault
    from lycheelug.settings import LogSettings

__all__ = [
    "log_change",
    "log_fault",
    "log_frequent",
    "set_up_logs",
    "set_up_stdout_logs",
]

# Sustained rate and burst size of the lines that a daemon writes to standard
# output.  Lines in excess are dropped; the next line contains their number.
LINES_PER_S: Final = 400.0
MAX_BURST_LINES: Final = 800.0
# The part of a burst that lines which one job may cause thousands of times
# leave to the others.
RESERVED_LINES: Final = 400.0

# The interval between the warnings of one of a library's loggers, and the
# length of what is shown of one.
LIBRARY_WARNING_PERIOD_S: Final = 1.0
LIBRARY_WARNING_CHARACTERS: Final = 2000


class _LineLimit:
    """Limits the rate of lines and counts those that are dropped.

    It applies before a line is made, because making one costs much more.
    """

    __slots__ = ("_allowance", "_refilled_at", "dropped", "is_enabled")

    def __init__(self) -> None:
        self.is_enabled = False
        # The number of lines dropped since the last one that was written.
        self.dropped = 0
        self._allowance = MAX_BURST_LINES
        self._refilled_at = time.monotonic()

    def enable(self, is_enabled: bool) -> None:
        """Set whether there is a limit; begin with the full allowance."""
        self.is_enabled = is_enabled
        self.dropped = 0
        self._allowance = MAX_BURST_LINES
        self._refilled_at = time.monotonic()

    def admit(self, reserved: float = 0.0) -> bool:
        """Return whether a line may be written, or count it as dropped.

        It has to leave `reserved` lines to those after it.
        """
        if not self.is_enabled:
            return True
        now = time.monotonic()
        refill = (now - self._refilled_at) * LINES_PER_S
        self._refilled_at = now
        self._allowance = min(MAX_BURST_LINES, self._allowance + refill)
        if self._allowance < 1 + reserved:
            self.dropped += 1
            return False
        self._allowance -= 1
        return True


# The limit of this process, as the logger is one for the process too.
_line_limit = _LineLimit()


class _LibraryHandler(logging.Handler):
    """Logs the warnings of libraries, few of those that come in numbers."""

    def __init__(self) -> None:
        super().__init__(logging.WARNING)
        # By logger: when its next warning is shown, and those not shown.
        self._next_at: dict[str, float] = {}
        self._skipped: dict[str, int] = {}

    def emit(self, record: logging.LogRecord) -> None:
        """Log a warning, or count it as skipped."""
        now = time.monotonic()
        name = record.name
        if now < self._next_at.get(name, 0.0):
            self._skipped[name] = self._skipped.get(name, 0) + 1
            return
        self._next_at[name] = now + LIBRARY_WARNING_PERIOD_S
        text = self.format(record)[-LIBRARY_WARNING_CHARACTERS:]
        skipped = self._skipped.pop(name, 0)
        log_change("library-warning", logger=name, text=text, skipped=skipped)


def _show_library_warnings() -> None:
    """Log the warnings of libraries that use the standard logging module."""
    root = logging.getLogger()
    if not any(isinstance(each, _LibraryHandler) for each in root.handlers):
        root.addHandler(_LibraryHandler())


def set_up_logs(settings: LogSettings, daemon: str) -> None:
    """Write logs to standard error in the configured format."""
    logger.remove()
    logger.configure(extra={"daemon": daemon})
    _line_limit.enable(False)
    _show_library_warnings()
    if settings.format == "json":
        logger.add(_write_json, level=settings.level)
        return
    logger.add(
        sys.stderr, level=settings.level, format=_text_format, colorize=False
    )


def set_up_stdout_logs(daemon: str) -> None:
    """Write JSON lines to standard output, rate-limited and non-blocking."""
    logger.remove()
    logger.configure(extra={"daemon": daemon})
    _line_limit.enable(True)
    _show_library_warnings()
    os.set_blocking(sys.stdout.fileno(), False)
    # The writer makes the line itself; the format is only kept short.
    logger.add(
        _Writer(sys.stdout.fileno()).write, level="INFO", format="{message}"
    )


class _Writer:
    """Writes records to a file descriptor, without blocking."""

    __slots__ = ("_descriptor",)

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def write(self, message: Message) -> None:
        """Write a record, or count it as dropped."""
        line = _json_line(message.record)
        if _line_limit.dropped:
            line["lines_dropped"] = _line_limit.dropped
        data = msgspec.json.encode(line) + b"\n"
        try:
            os.write(self._descriptor, data)
        except BlockingIOError:
            _line_limit.dropped += 1
            return
        _line_limit.dropped = 0


def log_change(event: str, **fields: Any) -> None:
    """Log a change of state."""
    if _line_limit.admit():
        logger.bind(fields=fields).info(event)


def log_frequent(event: str, **fields: Any) -> None:
    """Log a change of state that one job may cause thousands of times."""
    if _line_limit.admit(RESERVED_LINES):
        logger.bind(fields=fields).info(event)


def log_fault(event: str, fault: Fault, **fields: Any) -> None:
    """Log a state change caused by a fault, with its step and peer."""
    if not _line_limit.admit():
        return
    fields["code"] = fault.code.name
    fields["step"] = str(fault.step)
    fields["peer"] = f"{fault.peer} {fault.peer_name}".strip()
    fields["detail"] = fault.detail
    logger.bind(fields=fields).warning(event)


def _write_json(message: Message) -> None:
    """Write a record to standard error as one JSON line."""
    line = _json_line(message.record)
    sys.stderr.write(msgspec.json.encode(line).decode() + "\n")


def _json_line(record: Record) -> dict[str, Any]:
    """Return the fields of a record's JSON line."""
    line: dict[str, Any] = {
        "time": record["time"].astimezone(UTC).isoformat(),
        "level": record["level"].name,
        "daemon": record["extra"].get("daemon", ""),
        "event": record["message"],
    }
    line.update(record["extra"].get("fields", {}))
    return line


def _text_format(record: Record) -> str:
    """Return the loguru format string of one text line.

    Braces in values are doubled because loguru formats the result again.
    """
    parts: list[str] = []
    for name, value in record["extra"].get("fields", {}).items():
        text = f"{name}={value}"
        text = text.replace("{", "{{").replace("}", "}}")
        parts.append(text.replace("<", r"\<"))
    fields = " ".join(parts)
    return (
        "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[daemon]} {message} "
        + fields
        + "\n"
    )
