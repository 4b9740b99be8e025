"""Reads the processor time and memory of a process from Linux's /proc."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Final

__all__ = ["Memory", "cpu_seconds", "memory_bytes"]

TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
KIBIBYTE: Final = 1024
# Fields of /proc/PID/stat after the command's closing parenthesis.
USER_FIELD: Final = 11
SYSTEM_FIELD: Final = 12


class Memory:
    """The resident memory of a process in bytes.

    The difference between `resident` and `private` are pages of files (the
    interpreter, libraries) that other processes may map too.
    """

    __slots__ = ("private", "resident")

    def __init__(self, resident: int, private: int) -> None:
        self.resident = resident
        self.private = private


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])
    return ticks / TICKS_PER_S


def memory_bytes(pid: int) -> Memory:
    """Return the resident memory of a process, total and private."""
    path = Path(f"/proc/{pid}/smaps_rollup")
    sizes: dict[str, int] = {}
    for line in path.read_text(encoding="ascii").splitlines():
        name, _, value = line.partition(":")
        if value.endswith(" kB"):
            sizes[name] = int(value.split()[0]) * KIBIBYTE
    private = sizes["Private_Clean"] + sizes["Private_Dirty"]
    return Memory(sizes["Rss"], private)
