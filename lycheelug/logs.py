"""Structured logs: one line for each change of state, on standard error.

What happens often is counted in `metrics`; a log line is for what an
operator would want to be told once.
"""

from __future__ import annotations

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

__all__ = ["log_change", "log_fault", "set_up_logs", "set_up_stdout_logs"]

# Lines a second that a daemon writes to standard output in the long run,
# and at once; what is over is counted and told in the next line.
LINES_PER_S: Final = 400.0
LINES_AT_ONCE: Final = 800.0


def set_up_logs(settings: LogSettings, daemon: str) -> None:
    """Write logs in the form that the settings ask for."""
    logger.remove()
    logger.configure(extra={"daemon": daemon})
    if settings.format == "json":
        logger.add(_write_json, level=settings.level)
        return
    logger.add(
        sys.stderr, level=settings.level, format=_text_format, colorize=False
    )


def set_up_stdout_logs(daemon: str) -> None:
    """Write JSON lines to standard output, bounded and never blocking."""
    logger.remove()
    logger.configure(extra={"daemon": daemon})
    os.set_blocking(sys.stdout.fileno(), False)
    logger.add(_BoundedLines(sys.stdout.fileno()).write, level="INFO")


class _BoundedLines:
    """Writes records to a descriptor within a rate; drops the rest."""

    __slots__ = ("_allowance", "_descriptor", "_dropped", "_refilled_at")

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._allowance = LINES_AT_ONCE
        self._refilled_at = time.monotonic()
        self._dropped = 0

    def write(self, message: Message) -> None:
        """Write one record, or count it as dropped."""
        now = time.monotonic()
        gained = (now - self._refilled_at) * LINES_PER_S
        self._refilled_at = now
        self._allowance = min(LINES_AT_ONCE, self._allowance + gained)
        if self._allowance < 1:
            self._dropped += 1
            return
        self._allowance -= 1
        line = _json_line(message.record)
        if self._dropped:
            line["lines_dropped"] = self._dropped
        data = msgspec.json.encode(line) + b"\n"
        try:
            os.write(self._descriptor, data)
        except BlockingIOError:
            self._dropped += 1
            return
        self._dropped = 0


def log_change(event: str, **fields: Any) -> None:
    """Log a change of state."""
    logger.bind(fields=fields).info(event)


def log_fault(event: str, fault: Fault, **fields: Any) -> None:
    """Log a change of state for the worse, with step and peer."""
    fields["code"] = fault.code.name
    fields["step"] = str(fault.step)
    fields["peer"] = f"{fault.peer} {fault.peer_name}".strip()
    fields["detail"] = fault.detail
    logger.bind(fields=fields).warning(event)


def _write_json(message: Message) -> None:
    """Write a record as one JSON line."""
    line = _json_line(message.record)
    sys.stderr.write(msgspec.json.encode(line).decode() + "\n")


def _json_line(record: Record) -> dict[str, Any]:
    """Return a record as the fields of its line."""
    line: dict[str, Any] = {
        "time": record["time"].astimezone(UTC).isoformat(),
        "level": record["level"].name,
        "daemon": record["extra"].get("daemon", ""),
        "event": record["message"],
    }
    line.update(record["extra"].get("fields", {}))
    return line


def _text_format(record: Record) -> str:
    """Return loguru's format of one text line.

    Braces in values are doubled, since the result is formatted again.
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
