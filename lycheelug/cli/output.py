"""Prints results as a table for people, or as JSON for programs."""

from __future__ import annotations

import sys
from enum import StrEnum
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["Output", "format_table", "print_json", "print_rows"]


class Output(StrEnum):
    """The output format."""

    TABLE = "table"
    JSON = "json"


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    data = msgspec.json.format(msgspec.json.encode(value), indent=2)
    sys.stdout.write(data.decode() + "\n")


def print_rows(
    rows: Sequence[msgspec.Struct], columns: Sequence[str], output: Output
) -> None:
    """Print structs: some fields as a table, or all fields as JSON."""
    if output is Output.JSON:
        print_json(rows)
        return
    cells: list[list[str]] = []
    for row in rows:
        cells.append([_cell(getattr(row, name)) for name in columns])
    sys.stdout.write(format_table(columns, cells))


def format_table(columns: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a table with aligned columns.

    >>> print(format_table(["a", "b"], [["1", "x"], ["22", "y"]]), end="")
    A   B
    1   x
    22  y
    """
    titles = [name.replace("_", " ").upper() for name in columns]
    widths = [len(title) for title in titles]
    for row in rows:
        for index, cell in enumerate(row):
            widths[index] = max(widths[index], len(cell))
    lines: list[str] = []
    for row in [titles, *rows]:
        padded = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        lines.append("  ".join(padded).rstrip())
    return "\n".join(lines) + "\n"


def _cell(value: object) -> str:
    """Return the text of a field in a table."""
    if isinstance(value, float):
        return f"{value:.4f}"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ",".join(str(item) for item in value) or "-"
    return str(value) or "-"
