from __future__ import annotations

import pytest
from returns.result import Failure, Success

from lycheelug.fleet import FleetSnapshot
from lycheelug.records import HostRow, encode, host_key
from lycheelug.sheet import Sheet, SheetFault, parse_sheet
from lycheelug.sheet_checks import check_sheet
from lycheelug.store.interface import HostDelta, HostEntry, HostState, Row

HEADER = (
    "kind,pool,min_available,survive_rack,weight,spare,slots,connections,"
    "hosts:a,hosts:b,tenant,share,zone,days,start,end"
)
POOL_Q = "pool,quotes,1,yes,1.5,no,8,64,3,2,,,,,,"
POOL_S = "pool,spare,0,,,x,,,1,0,,,,,,"
QUOTA = "quota,quotes,,,,,,,,,north,25%,,,,"
WINDOW = "window,,,,,,,,,,,,a,sat sun,22:00,02:30"
GOOD = [HEADER, POOL_Q, POOL_S, QUOTA, WINDOW]


def as_text(lines: list[str], end: str = "\n") -> str:
    return "".join(line + end for line in lines)


EXPORTS = [
    ("plain", as_text(GOOD)),
    ("crlf", as_text(GOOD, "\r\n")),
    ("no last newline", as_text(GOOD).rstrip("\n")),
    ("byte order mark", "\ufeff" + as_text(GOOD, "\r\n")),
    ("tabs", as_text(GOOD).replace(",", "\t")),
    (
        "semicolons and decimal commas",
        as_text(GOOD).replace(",", ";").replace("1.5", "1,5"),
    ),
    ("separator line", "sep=;\r\n" + as_text(GOOD).replace(",", ";")),
    (
        "quoted cells",
        as_text(['"' + line.replace(",", '","') + '"' for line in GOOD]),
    ),
    (
        "blank lines",
        as_text(["", HEADER, "," * 15, POOL_Q, " ", POOL_S, QUOTA, WINDOW]),
    ),
    (
        "repeated header",
        as_text([HEADER, POOL_Q, HEADER, POOL_S, QUOTA, HEADER, WINDOW]),
    ),
    ("upper-case heading", as_text(GOOD).replace("min_av", "Min Av", 1)),
    ("spaces around", as_text(GOOD).replace(",", " , ")),
    ("numbers as 3.0", as_text(GOOD).replace("64,3,2", "64,3.0,2")),
    ("share as a fraction", as_text(GOOD).replace("25%", "0.25")),
    ("italian flags", as_text(GOOD).replace("yes", "VERO")),
]


@pytest.mark.parametrize(
    "text", [row[1] for row in EXPORTS], ids=[row[0] for row in EXPORTS]
)
def test_all_export_formats_give_the_same_sheet(text: str) -> None:
    sheet = parse_sheet(text).unwrap()
    quotes = sheet.pools["quotes"]
    assert quotes.wanted == {"a": 3, "b": 2}
    assert (quotes.min_available, quotes.survive_rack) == (1, True)
    assert (quotes.weight, quotes.slots, quotes.connections) == (1.5, 8, 64)
    assert quotes.quotas == {"north": 0.25}
    assert sheet.spare is sheet.pools["spare"]
    window = sheet.windows[0]
    assert (window.zone, window.days) == ("a", (5, 6))
    assert (window.start_minute, window.end_minute) == (1320, 150)


def test_columns_may_be_in_any_order() -> None:
    text = "kind,hosts:b,pool,hosts:a\npool,2,quotes,3\n"
    assert parse_sheet(text).unwrap().wanted("quotes", "a") == 3


# name, lines, (line, column) of every fault, part of the text of one fault
FAULTS = [
    ("empty", [], [(1, 1)], "a header row"),
    ("no header", [POOL_Q], [(1, 1)], "put the header row first"),
    ("kind", [HEADER, "pol,x"], [(2, 1)], "pool, quota, window"),
    ("heading", ["kind,pool,hots:a"], [(1, 3)], "correct the heading"),
    ("heading twice", ["kind,pool,pool"], [(1, 3)], "each heading once"),
    ("zone name", ["kind,pool,hosts:a b"], [(1, 3)], "name a zone"),
    ("no name", ["kind,pool", "pool,,"], [(2, 2)], "a name of 1 to 63"),
    (
        "every cell of a row",
        [HEADER, "pool,a b,-1,maybe,x,perhaps,0,0,1.5,two"],
        [(2, column) for column in range(2, 11)],
        "round the number",
    ),
    (
        "a pool twice",
        [HEADER, POOL_Q, POOL_Q],
        [(3, 2)],
        "is on line 2 already",
    ),
    ("a quota twice", [*GOOD, QUOTA], [(6, 11)], "line 4 already"),
    ("a window twice", [*GOOD, WINDOW], [(6, 15)], "line 5 already"),
    ("a cell of another kind", [HEADER, "quota,quotes,3,,,,,,,,n,1"],
     [(2, 2), (2, 3)], "an empty cell in a quota row"),
    ("a cell past the header", ["kind,pool", "pool,x,3"], [(2, 3)],
     "clear the cell"),
    ("share", [*GOOD, "quota,quotes,,,,,,,,,south,30"], [(6, 12)],
     "correct the share"),
    ("shares", [*GOOD, "quota,,,,,,,,,,south,80%"], [(2, 2)], "105.0%"),
    ("time", [HEADER, "window,,,,,,,,,,,,a,daily,25:00,1:75"],
     [(2, 15), (2, 16)], "write it as 01:30"),
    ("days", [HEADER, "window,,,,,,,,,,,,a,mon fryday,1:00,2:00"],
     [(2, 14)], "mon wed sat"),
    ("two spares", [*GOOD, "pool,more,,,,yes"], [(6, 6)], "spare is one"),
    ("open quotes", [HEADER, 'pool,"quotes,1'], [(2, 0)], "close the cell"),
    ("after a cell of two lines", ["kind,pool", 'pool,"a\nb"', "pool,*"],
     [(2, 2), (4, 2)], "letters"),
]  # fmt: skip


@pytest.mark.parametrize(
    ("lines", "positions", "part"),
    [row[1:] for row in FAULTS],
    ids=[row[0] for row in FAULTS],
)
def test_all_faults_are_reported_with_their_positions(
    lines: list[str], positions: list[tuple[int, int]], part: str
) -> None:
    match parse_sheet(as_text(lines)):
        case Failure(faults):
            assert [
                (fault.line, fault.column) for fault in faults
            ] == positions
            assert part in str(faults)
        case Success(_):
            pytest.fail("the sheet was parsed without a fault")


def make_fleet(hosts: dict[str, str], rack_size: int = 2) -> FleetSnapshot:
    """Return a fleet; `hosts` maps a zone and number, as in a0, to a pool.

    A pool of "" stands for a host without a pool.
    """
    fleet = FleetSnapshot()
    entries = []
    for index, (name, pool) in enumerate(hosts.items()):
        rack = f"r{int(name[1:]) // rack_size}"
        entries.append(
            HostEntry(name, name[0], rack, "", state=HostState.LIVE)
        )
        if pool:
            row = HostRow(name, name[0], rack, pool)
            key = host_key(name[0], name)
            fleet.apply_row(Row(key, encode(row), index + 1))
    fleet.apply_hosts(HostDelta(entries, 1))
    return fleet


HOSTS = {f"a{i}": "quotes" for i in range(4)} | {"b0": "quotes", "b1": ""}

# name, rows after the header, (line, column) of every fault, part of the text
CHECKS: list[tuple[str, list[str], list[tuple[int, int]], str]] = [
    ("possible", [POOL_Q, POOL_S, WINDOW], [], ""),
    ("too many", ["pool,quotes,,,,,,,4,2", "pool,more,,,,,,,0,1"], [(3, 10)],
     "at most 2, the hosts in b that are up; lower the column's sum by 1"),
    ("a budget of all hosts", ["pool,quotes,6,,,,,,4,2"], [(2, 3)],
     "found '6'; allowed: at most 5"),
    ("a budget that survives a rack", ["pool,quotes,4,yes,,,,,4,2"], [(2, 3)],
     "at most 3, so that one of the pool's 6 hosts"),
    ("the same without survive_rack", ["pool,quotes,4,no,,,,,4,2"], [], ""),
    ("a budget of no hosts", [POOL_Q, "pool,none,1"], [(3, 3)], "at most 0"),
    ("a pool dropped", ["pool,more,,,,yes"], [(0, 0)],
     "no row for pool quotes, which has 5 hosts"),
    ("window's zone", [POOL_Q, WINDOW.replace(",a,", ",c,")], [(3, 0)],
     "a zone with hosts: a, b"),
]  # fmt: skip


@pytest.mark.parametrize(
    ("rows", "positions", "part"),
    [row[1:] for row in CHECKS],
    ids=[row[0] for row in CHECKS],
)
def test_impossible_sheets_are_refused(
    rows: list[str], positions: list[tuple[int, int]], part: str
) -> None:
    faults = check_sheet(parsed([HEADER, *rows]), make_fleet(HOSTS))
    assert [(fault.line, fault.column) for fault in faults] == positions
    assert part in "\n".join(str(fault) for fault in faults)


def parsed(lines: list[str]) -> Sheet:
    return parse_sheet(as_text(lines)).unwrap()


def test_an_unknown_zone_is_reported_once() -> None:
    sheet = parsed(["kind,pool,hosts:c", "pool,x,1", "pool,quotes,1"])
    faults: list[SheetFault] = check_sheet(sheet, make_fleet(HOSTS))
    assert [fault.heading for fault in faults] == ["hosts:c"]
