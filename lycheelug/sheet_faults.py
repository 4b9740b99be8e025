"""Faults of a sheet, with their positions and remedies.

A parse or a check reports all faults at once, so that the operator can
correct them in one pass.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

__all__ = ["SheetFault", "SheetFaults"]


class SheetFault:
    """One fault: position, text found, allowed values and remedy.

    Lines and columns are numbered from 1; 0 means that the fault does not
    belong to a single line or column.
    """

    __slots__ = ("allowed", "column", "found", "heading", "line", "remedy")

    def __init__(
        self,
        line: int,
        column: int,
        heading: str,
        found: str,
        allowed: str,
        remedy: str,
    ) -> None:
        self.line = line
        self.column = column
        self.heading = heading
        self.found = found
        self.allowed = allowed
        self.remedy = remedy

    def __str__(self) -> str:
        where = f"line {self.line}" if self.line else "sheet"
        if self.column:
            where += f", column {self.column}"
        if self.heading:
            where += f" ({self.heading})"
        return (
            f"{where}: found {self.found!r}; "
            f"allowed: {self.allowed}; {self.remedy}"
        )

    def __repr__(self) -> str:
        return f"SheetFault({self})"


class SheetFaults:
    """All faults of one sheet, in the order of its lines."""

    __slots__ = ("_faults",)

    def __init__(self, faults: Sequence[SheetFault]) -> None:
        self._faults = tuple(
            sorted(faults, key=lambda fault: (fault.line, fault.column))
        )

    def __iter__(self) -> Iterator[SheetFault]:
        return iter(self._faults)

    def __len__(self) -> int:
        return len(self._faults)

    def __str__(self) -> str:
        return "\n".join(str(fault) for fault in self._faults)
