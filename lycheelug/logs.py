"""Structured logs: one line for each change of state, on standard error.

What happens often is counted in `metrics`; a log line is for what an
operator would want to be told once.
"""

from __future__ import annotations

import sys
from datetime import UTC
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message, Record

    from lycheelug.errors import Fault
    from lycheelug.settings import LogSettings

__all__ = ["log_change", "log_fault", "set_up_logs"]


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
    record = message.record
    line: dict[str, Any] = {
        "time": record["time"].astimezone(UTC).isoformat(),
        "level": record["level"].name,
        "daemon": record["extra"].get("daemon", ""),
        "event": record["message"],
    }
    line.update(record["extra"].get("fields", {}))
    sys.stderr.write(msgspec.json.encode(line).decode() + "\n")


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
