"""Parsers of cell values, as spreadsheets of several languages write them.

Each parser returns a value or raises CellError, which says what is allowed
and how to correct the cell.  A number may have a decimal comma unless the
comma separates cells.
"""

from __future__ import annotations

import re
from enum import StrEnum
from typing import Final

__all__ = [
    "Cell",
    "CellError",
    "DecimalMark",
    "parse_days",
    "parse_flag",
    "parse_integer",
    "parse_minute",
    "parse_name",
    "parse_number",
    "parse_share",
]

_NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_NUMBER: Final = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_TIME: Final = re.compile(r"([0-9]{1,2}):([0-9]{2})(:00)?")
_TRUE: Final = frozenset({"yes", "true", "1", "x", "si", "sì", "vero"})
_FALSE: Final = frozenset({"", "no", "false", "0", "falso"})
_DAYS: Final = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
_MINUTES_PER_DAY: Final = 24 * 60


class DecimalMark(StrEnum):
    """The decimal marks that a sheet's cell separator allows."""

    POINT = "."
    POINT_OR_COMMA = ".,"


class Cell:
    """One cell and its position in the sheet."""

    __slots__ = ("column", "heading", "line", "text")

    def __init__(
        self, line: int, column: int, heading: str, text: str
    ) -> None:
        self.line = line
        self.column = column
        self.heading = heading
        self.text = text


class CellError(ValueError):
    """Raised if the text of a cell is not allowed."""

    def __init__(self, allowed: str, remedy: str) -> None:
        super().__init__(allowed)
        self.allowed = allowed
        self.remedy = remedy


def parse_name(text: str) -> str:
    """Return the validated name of a pool, zone or tenant."""
    if _NAME.fullmatch(text) is None:
        raise CellError(
            "a name of 1 to 63 letters, digits, '.', '_' or '-'",
            "give a name of these characters",
        )
    return text


def parse_number(
    text: str, low: float, high: float, decimal_mark: DecimalMark
) -> float:
    """Return a number between two bounds.

    >>> parse_number("1,5", 0, 10, DecimalMark.POINT_OR_COMMA)
    1.5
    """
    normalized = text.replace(",", ".") if "," in decimal_mark.value else text
    if _NUMBER.fullmatch(normalized) is not None:
        value = float(normalized)
        if low <= value <= high:
            return value
    raise CellError(f"a number from {low:g} to {high:g}", "correct the number")


def parse_integer(
    text: str, low: int, high: int, decimal_mark: DecimalMark
) -> int:
    """Return a whole number; spreadsheets may export it as 3.0."""
    allowed = f"a whole number from {low} to {high}"
    try:
        value = parse_number(text, low, high, decimal_mark)
    except CellError:
        raise CellError(allowed, "correct the number") from None
    if value != int(value):
        raise CellError(allowed, "round the number")
    return int(value)


def parse_share(text: str, decimal_mark: DecimalMark) -> float:
    """Return a share between 0 and 1, written as 0.25 or 25%.

    >>> parse_share("25 %", DecimalMark.POINT)
    0.25
    """
    try:
        if text.endswith("%"):
            percent = parse_number(
                text[:-1].rstrip(), 0.0, 100.0, decimal_mark
            )
            return percent / 100.0
        return parse_number(text, 0.0, 1.0, decimal_mark)
    except CellError:
        raise CellError(
            "a share from 0 to 1, or from 0% to 100%", "correct the share"
        ) from None


def parse_flag(text: str) -> bool:
    """Return a yes/no flag; an empty cell means no."""
    lowered = text.lower()
    if lowered in _TRUE:
        return True
    if lowered in _FALSE:
        return False
    raise CellError("yes or no", "write yes or no")


def parse_minute(text: str) -> int:
    """Return a time of day in minutes after midnight.

    >>> parse_minute("01:30")
    90
    """
    match = _TIME.fullmatch(text)
    if match is not None:
        minute = int(match[1]) * 60 + int(match[2])
        if int(match[2]) < 60 and minute <= _MINUTES_PER_DAY:
            return minute
    raise CellError(
        "a time of day in UTC from 00:00 to 24:00", "write it as 01:30"
    )


def parse_days(text: str) -> tuple[int, ...]:
    """Return days of the week, Monday being 0.

    >>> parse_days("Sat sun")
    (5, 6)
    """
    lowered = text.lower()
    if lowered == "daily":
        return tuple(range(len(_DAYS)))
    days: set[int] = set()
    for day in lowered.replace("+", " ").split():
        if day not in _DAYS:
            days.clear()
            break
        days.add(_DAYS.index(day))
    if not days:
        raise CellError(
            "daily, or days such as 'mon wed sat'", "list the days by name"
        )
    return tuple(sorted(days))
