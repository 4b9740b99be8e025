"""Reader of the rows of a sheet's CSV text, with cell positions.

The reader detects the separator, skips what spreadsheet programs add (byte
order mark, `sep=` line, blank lines, repeated headers) and reports invalid
headings, rows of unknown kinds and cells that their kind of row doesn't
use.  The values of cells are parsed by `sheet`.
"""

from __future__ import annotations

import csv
import io
from typing import TYPE_CHECKING, Final

from lycheelug.sheet_cells import Cell, CellError, DecimalMark, parse_name
from lycheelug.sheet_faults import SheetFault

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ["HOSTS_PREFIX", "RowReader", "SheetLine"]

# A column `hosts:<zone>` holds the number of hosts wanted in that zone.
HOSTS_PREFIX: Final = "hosts:"
_SEPARATORS: Final = (",", ";", "\t")
_KIND: Final = "kind"
_COLUMNS: Final = {
    "pool": frozenset(
        {
            "pool",
            "min_available",
            "survive_rack",
            "weight",
            "spare",
            "slots",
            "connections",
        }
    ),
    "quota": frozenset({"pool", "tenant", "share"}),
    "window": frozenset({"zone", "days", "start", "end"}),
}
_HEADINGS: Final = frozenset().union(*_COLUMNS.values())


class SheetLine:
    """A row of a known kind, with its cells by heading."""

    __slots__ = ("_cells", "_width", "columns", "kind", "line")

    def __init__(
        self, kind: str, line: int, cells: dict[str, Cell], width: int
    ) -> None:
        self.kind = kind
        self.line = line
        self._cells = cells
        self._width = width
        self.columns = {name: cell.column for name, cell in cells.items()}

    def cell(self, heading: str) -> Cell:
        """Return the cell under a heading; an empty one if it is missing."""
        found = self._cells.get(heading)
        return found or Cell(self.line, self._width + 1, heading, "")

    def cells_with_prefix(self, prefix: str) -> list[Cell]:
        """Return the cells whose headings start with a prefix."""
        return [
            cell
            for heading, cell in self._cells.items()
            if heading.startswith(prefix)
        ]


class RowReader:
    """Reads the rows of a text; `faults` is complete after the last row."""

    __slots__ = ("_separator", "_skipped_lines", "_text", "faults")

    def __init__(self, text: str) -> None:
        text = text.removeprefix("\ufeff")
        self._skipped_lines = 0
        self._separator = _detect_separator(text)
        first, _, rest = text.partition("\n")
        if first.strip().lower() == f"sep={self._separator}".strip():
            text = rest
            self._skipped_lines = 1
        self._text = text
        self.faults: list[SheetFault] = []

    @property
    def decimal_mark(self) -> DecimalMark:
        """The decimal marks allowed in the numbers of this sheet."""
        if self._separator == ",":
            return DecimalMark.POINT
        return DecimalMark.POINT_OR_COMMA

    def rows(self) -> Iterator[SheetLine]:
        """Yield the data rows."""
        headings: list[str] | None = None
        for line, cells in self._cells():
            if not any(cells):
                continue
            if cells[0].lower() == _KIND:
                headings = self._read_header(line, cells)
                continue
            if headings is None:
                self._add_fault(
                    line,
                    1,
                    _KIND,
                    cells[0],
                    "a header row whose first cell is 'kind'",
                    "put the header row first",
                )
                return
            row = self._read_row(line, cells, headings)
            if row is not None:
                yield row
        if headings is None:
            self._add_fault(
                1, 1, _KIND, "", "a header row", "export the whole sheet"
            )

    def _cells(self) -> Iterator[tuple[int, list[str]]]:
        """Yield the first line number and the stripped cells of each row."""
        reader = csv.reader(
            io.StringIO(self._text, newline=""),
            delimiter=self._separator,
            strict=True,
        )
        line = self._skipped_lines + 1
        try:
            for cells in reader:
                yield line, [cell.strip() for cell in cells]
                line = self._skipped_lines + reader.line_num + 1
        except csv.Error as error:
            self._add_fault(
                line, 0, "", str(error), "CSV", "close the cell's quotes"
            )

    def _read_header(self, line: int, cells: list[str]) -> list[str]:
        headings: list[str] = []
        for index, cell in enumerate(cells):
            heading = cell
            if not cell.lower().startswith(HOSTS_PREFIX):
                heading = cell.lower().replace(" ", "_")
            else:
                zone = cell[len(HOSTS_PREFIX) :].strip()
                heading = HOSTS_PREFIX + zone
            self._check_heading(line, index + 1, heading, headings)
            headings.append(heading)
        return headings

    def _check_heading(
        self, line: int, column: int, heading: str, earlier: list[str]
    ) -> None:
        if not heading or (heading == _KIND and column == 1):
            return
        if heading in earlier:
            self._add_fault(
                line,
                column,
                heading,
                heading,
                "each heading once",
                "delete or rename one of the columns",
            )
            return
        if heading.startswith(HOSTS_PREFIX):
            try:
                parse_name(heading.removeprefix(HOSTS_PREFIX))
            except CellError as error:
                self._add_fault(
                    line,
                    column,
                    heading,
                    heading,
                    error.allowed,
                    "name a zone, as in hosts:arima",
                )
            return
        if heading in _HEADINGS:
            return
        allowed = ", ".join([*sorted(_HEADINGS), HOSTS_PREFIX + "<zone>"])
        self._add_fault(
            line, column, heading, heading, allowed, "correct the heading"
        )

    def _read_row(
        self, line: int, cells: list[str], headings: list[str]
    ) -> SheetLine | None:
        kind = cells[0].lower()
        if kind not in _COLUMNS:
            self._add_fault(
                line,
                1,
                _KIND,
                cells[0],
                ", ".join(sorted(_COLUMNS)),
                "correct the row's kind",
            )
            return None
        found: dict[str, Cell] = {}
        for index, text in enumerate(cells[1:], start=1):
            heading = headings[index] if index < len(headings) else ""
            if not self._has_column(kind, heading):
                self._check_unused(line, index + 1, heading, text, kind)
                continue
            found[heading] = Cell(line, index + 1, heading, text)
        return SheetLine(kind, line, found, len(cells))

    @staticmethod
    def _has_column(kind: str, heading: str) -> bool:
        if kind == "pool" and heading.startswith(HOSTS_PREFIX):
            return True
        return heading in _COLUMNS[kind]

    def _check_unused(
        self, line: int, column: int, heading: str, text: str, kind: str
    ) -> None:
        if not text:
            return
        known = heading in _HEADINGS or heading.startswith(HOSTS_PREFIX)
        if heading and not known:
            # The unknown heading was already reported for the header row.
            return
        self._add_fault(
            line,
            column,
            heading,
            text,
            f"an empty cell in a {kind} row",
            "clear the cell, or move it under its heading",
        )

    def _add_fault(
        self,
        line: int,
        column: int,
        heading: str,
        found: str,
        allowed: str,
        remedy: str,
    ) -> None:
        self.faults.append(
            SheetFault(line, column, heading, found, allowed, remedy)
        )


def _detect_separator(text: str) -> str:
    """Return the most frequent separator of the first non-blank line.

    A `sep=` line before that takes precedence.
    """
    for line in text.splitlines():
        if line.lower().startswith("sep=") and line[4:] in _SEPARATORS:
            return line[4]
        if not line.strip(" ,;\t\r"):
            continue
        return max(_SEPARATORS, key=line.count)
    return ","
