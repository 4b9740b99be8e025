"""Processor time and memory of a process, as Linux tells them."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Final

__all__ = ["cpu_seconds", "resident_bytes", "socket_bytes"]

TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
PAGE_BYTES: Final = os.sysconf("SC_PAGE_SIZE")
# Fields of /proc/PID/stat after the command's closing parenthesis.
USER_FIELD: Final = 11
SYSTEM_FIELD: Final = 12


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])
    return ticks / TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    text = Path(f"/proc/{pid}/statm").read_text(encoding="ascii")
    return int(text.split()[1]) * PAGE_BYTES


def socket_bytes(pid: int) -> int:
    """Return the bytes that a process has read and written so far.

    Counts all its reads and writes; an idle daemon has no files open but
    its log, which is silent while nothing changes.
    """
    text = Path(f"/proc/{pid}/io").read_text(encoding="ascii")
    total = 0
    for line in text.splitlines():
        name, _, value = line.partition(": ")
        if name in {"rchar", "wchar"}:
            total += int(value)
    return total
