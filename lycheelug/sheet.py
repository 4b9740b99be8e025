"""The sheet, which describes the wanted fleet, and its CSV parser.

Operators export the sheet from a spreadsheet as one rectangle of cells.
The first column names the kind of each row (`pool`, `quota` or `window`); a
header row names the columns, which may be in any order.  The parser
continues after a fault, so that one pass reports all of them.  It validates
the text alone; `sheet_checks` compares a sheet with the fleet.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from returns.result import Failure, Result, Success

from lycheelug.sheet_cells import (
    Cell,
    CellError,
    DecimalMark,
    parse_days,
    parse_flag,
    parse_integer,
    parse_minute,
    parse_name,
    parse_number,
    parse_share,
)
from lycheelug.sheet_faults import SheetFault, SheetFaults
from lycheelug.sheet_rows import HOSTS_PREFIX, RowReader, SheetLine

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "MAX_SHEET_CHARACTERS",
    "PoolSpec",
    "Sheet",
    "SheetFault",
    "SheetFaults",
    "WindowSpec",
    "parse_sheet",
]

MAX_SHEET_CHARACTERS: Final = 1_000_000
MAX_HOSTS_PER_CELL: Final = 100_000
MAX_SLOTS: Final = 1_024
MAX_CONNECTIONS: Final = 65_536
MAX_WEIGHT: Final = 1_000.0
DEFAULT_SLOTS: Final = 8
DEFAULT_CONNECTIONS: Final = 64
DEFAULT_WEIGHT: Final = 1.0
# Shares are decimal fractions; rounding may make their sum differ from 1.
SHARE_TOLERANCE: Final = 1e-6


class PoolSpec:
    """The settings of one pool; `wanted` is its number of hosts by zone."""

    __slots__ = (
        "columns",
        "connections",
        "line",
        "min_available",
        "name",
        "quotas",
        "slots",
        "spare",
        "survive_rack",
        "wanted",
        "weight",
    )

    def __init__(self, name: str, line: int = 0) -> None:
        self.name = name
        self.line = line
        self.wanted: dict[str, int] = {}
        self.min_available = 0
        self.survive_rack = False
        self.weight = DEFAULT_WEIGHT
        self.spare = False
        self.slots = DEFAULT_SLOTS
        self.connections = DEFAULT_CONNECTIONS
        self.quotas: dict[str, float] = {}
        # Column numbers by heading, for faults found after parsing.
        self.columns: dict[str, int] = {}

    @property
    def hosts(self) -> int:
        """Total number of hosts wanted in all zones."""
        return sum(self.wanted.values())


class WindowSpec:
    """A maintenance window in UTC; zone "" means every zone.

    If the end is not after the start, the window ends on the next day.
    `days` are the days of the week on which it starts, Monday being 0.
    """

    __slots__ = ("days", "end_minute", "line", "start_minute", "zone")

    def __init__(
        self,
        zone: str,
        days: tuple[int, ...],
        start_minute: int,
        end_minute: int,
        line: int = 0,
    ) -> None:
        self.zone = zone
        self.days = days
        self.start_minute = start_minute
        self.end_minute = end_minute
        self.line = line


class Sheet:
    """A parsed sheet: pools by name, and maintenance windows."""

    __slots__ = ("pools", "windows")

    def __init__(
        self, pools: dict[str, PoolSpec], windows: list[WindowSpec]
    ) -> None:
        self.pools = pools
        self.windows = windows

    @property
    def spare(self) -> PoolSpec | None:
        """The spare pool, which gets the hosts that no other pool wants."""
        for pool in self.pools.values():
            if pool.spare:
                return pool
        return None

    def wanted(self, pool: str, zone: str) -> int:
        """Return the number of hosts wanted for a pool in a zone."""
        spec = self.pools.get(pool)
        return spec.wanted.get(zone, 0) if spec is not None else 0


class _Quota:
    """A quota row, applied after all pool rows have been read."""

    __slots__ = ("pool", "row", "share", "tenant")

    def __init__(
        self, row: SheetLine, pool: str, tenant: str, share: float
    ) -> None:
        self.row = row
        self.pool = pool
        self.tenant = tenant
        self.share = share


class _SheetBuilder:
    """Builds a sheet from its rows and collects the faults."""

    __slots__ = ("_decimal_mark", "faults", "pools", "quotas", "windows")

    def __init__(self, decimal_mark: DecimalMark) -> None:
        self._decimal_mark = decimal_mark
        self.faults: list[SheetFault] = []
        self.pools: dict[str, PoolSpec] = {}
        self.quotas: dict[tuple[str, str], _Quota] = {}
        self.windows: list[WindowSpec] = []

    def add(self, row: SheetLine) -> None:
        """Add one row of a known kind."""
        if row.kind == "pool":
            self._add_pool(row)
        elif row.kind == "quota":
            self._add_quota(row)
        else:
            self._add_window(row)

    def _parse_cell(
        self, cell: Cell, parse: Callable[[str], object]
    ) -> object | None:
        """Return a cell's value; record a fault and return None if invalid."""
        try:
            return parse(cell.text)
        except CellError as error:
            self.faults.append(
                SheetFault(
                    cell.line,
                    cell.column,
                    cell.heading,
                    cell.text,
                    error.allowed,
                    error.remedy,
                )
            )
            return None

    def _parse_name(self, row: SheetLine, heading: str) -> str | None:
        value = self._parse_cell(row.cell(heading), parse_name)
        return value if isinstance(value, str) else None

    def _parse_integer(
        self, cell: Cell, default: int, low: int, high: int
    ) -> int:
        if not cell.text:
            return default
        value = self._parse_cell(
            cell,
            lambda text: parse_integer(text, low, high, self._decimal_mark),
        )
        return value if isinstance(value, int) else default

    def _add_pool(self, row: SheetLine) -> None:
        name = self._parse_name(row, "pool")
        spec = PoolSpec(name or "", row.line)
        spec.columns = row.columns
        for cell in row.cells_with_prefix(HOSTS_PREFIX):
            zone = cell.heading.removeprefix(HOSTS_PREFIX)
            spec.wanted[zone] = self._parse_integer(
                cell, 0, 0, MAX_HOSTS_PER_CELL
            )
        spec.min_available = self._parse_integer(
            row.cell("min_available"), 0, 0, MAX_HOSTS_PER_CELL
        )
        spec.slots = self._parse_integer(
            row.cell("slots"), DEFAULT_SLOTS, 1, MAX_SLOTS
        )
        spec.connections = self._parse_integer(
            row.cell("connections"), DEFAULT_CONNECTIONS, 1, MAX_CONNECTIONS
        )
        spec.survive_rack = (
            self._parse_cell(row.cell("survive_rack"), parse_flag) is True
        )
        spec.spare = self._parse_cell(row.cell("spare"), parse_flag) is True
        spec.weight = self._parse_weight(row.cell("weight"))
        if name is None:
            return
        if name in self.pools:
            first = self.pools[name].line
            self._report_duplicate(row.cell("pool"), f"pool {name}", first)
            return
        self.pools[name] = spec

    def _parse_weight(self, cell: Cell) -> float:
        if not cell.text:
            return DEFAULT_WEIGHT
        value = self._parse_cell(
            cell,
            lambda text: parse_number(
                text, 0.0, MAX_WEIGHT, self._decimal_mark
            ),
        )
        return value if isinstance(value, float) else DEFAULT_WEIGHT

    def _add_quota(self, row: SheetLine) -> None:
        pool = ""
        if row.cell("pool").text:
            pool = self._parse_name(row, "pool") or ""
        tenant = self._parse_name(row, "tenant")
        share = self._parse_cell(
            row.cell("share"),
            lambda text: parse_share(text, self._decimal_mark),
        )
        if tenant is None or not isinstance(share, float):
            return
        other = self.quotas.get((pool, tenant))
        if other is not None:
            what = f"quota of {tenant} in {pool or 'every pool'}"
            self._report_duplicate(row.cell("tenant"), what, other.row.line)
            return
        self.quotas[(pool, tenant)] = _Quota(row, pool, tenant, share)

    def _add_window(self, row: SheetLine) -> None:
        zone = ""
        if row.cell("zone").text:
            zone = self._parse_name(row, "zone") or ""
        days = self._parse_cell(row.cell("days"), parse_days)
        start = self._parse_cell(row.cell("start"), parse_minute)
        end = self._parse_cell(row.cell("end"), parse_minute)
        if not isinstance(days, tuple):
            return
        if not isinstance(start, int) or not isinstance(end, int):
            return
        for other in self.windows:
            same = (other.zone, other.days) == (zone, days)
            if same and (other.start_minute, other.end_minute) == (start, end):
                self._report_duplicate(row.cell("start"), "window", other.line)
                return
        self.windows.append(WindowSpec(zone, days, start, end, row.line))

    def _report_duplicate(self, cell: Cell, what: str, first: int) -> None:
        self.faults.append(
            SheetFault(
                cell.line,
                cell.column,
                cell.heading,
                cell.text,
                f"one line for each; {what} is on line {first} already",
                "delete one of the two lines",
            )
        )

    def finish(self) -> None:
        """Apply the quotas to their pools and check the sheet as a whole."""
        # A quota for a single pool takes precedence over one for every pool.
        for quota in sorted(
            self.quotas.values(), key=lambda quota: not quota.pool
        ):
            self._apply_quota(quota)
        for pool in self.pools.values():
            self._check_shares(pool)
        self._check_spare()

    def _apply_quota(self, quota: _Quota) -> None:
        if quota.pool and quota.pool not in self.pools:
            cell = quota.row.cell("pool")
            known = ", ".join(sorted(self.pools)) or "none"
            self.faults.append(
                SheetFault(
                    cell.line,
                    cell.column,
                    cell.heading,
                    cell.text,
                    f"a pool of this sheet: {known}",
                    "correct the name, or add a pool row",
                )
            )
            return
        for pool in self.pools.values():
            if quota.pool == pool.name:
                pool.quotas[quota.tenant] = quota.share
            elif not quota.pool:
                pool.quotas.setdefault(quota.tenant, quota.share)

    def _check_shares(self, pool: PoolSpec) -> None:
        total = sum(pool.quotas.values())
        if total <= 1.0 + SHARE_TOLERANCE:
            return
        self.faults.append(
            SheetFault(
                pool.line,
                pool.columns.get("pool", 0),
                "pool",
                pool.name,
                f"quotas of at most 100% together; they are {total:.1%}",
                "lower the shares of this pool's quota rows",
            )
        )

    def _check_spare(self) -> None:
        spares = [pool for pool in self.pools.values() if pool.spare]
        for pool in spares[1:]:
            self.faults.append(
                SheetFault(
                    pool.line,
                    pool.columns.get("spare", 0),
                    "spare",
                    pool.name,
                    f"one spare pool; {spares[0].name} is one already",
                    "clear the spare cell of one of them",
                )
            )


def parse_sheet(text: str) -> Result[Sheet, SheetFaults]:
    r"""Parse a CSV text and return the sheet, or all faults of the text.

    >>> text = "kind;pool;hosts:arima\r\npool;quotes;3\r\n"
    >>> parse_sheet(text).unwrap().wanted("quotes", "arima")
    3
    >>> print(parse_sheet("kind,pool\npool,*").failure())
    ... # doctest: +ELLIPSIS
    line 2, column 2 (pool): found '*'; allowed: a name of 1 to 63...
    """
    if len(text) > MAX_SHEET_CHARACTERS:
        fault = SheetFault(
            1,
            1,
            "",
            f"{len(text)} characters",
            f"at most {MAX_SHEET_CHARACTERS} characters",
            "export only the sheet itself",
        )
        return Failure(SheetFaults([fault]))
    reader = RowReader(text)
    builder = _SheetBuilder(reader.decimal_mark)
    for row in reader.rows():
        builder.add(row)
    builder.finish()
    faults = [*reader.faults, *builder.faults]
    if faults:
        return Failure(SheetFaults(faults))
    return Success(Sheet(builder.pools, builder.windows))
