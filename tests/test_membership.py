from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from lycheelug.digest_exchange import DigestExchange
from lycheelug.entries.messages import Digest, PoolLoad
from lycheelug.membership import LEFT, Members, MemberState
from lycheelug.records import EntryRow
from lycheelug.store.interface import HostEntry, HostRole, HostState

if TYPE_CHECKING:
    from collections.abc import Callable

LOADS = [PoolLoad("quotes", 1, 2, 3)]


def digest(
    name: str = "e2",
    run: str = "r1",
    sequence: int = 1,
    zone: str = "arima",
    table_revision: int = 0,
    state: str = "ready",
    **fields: list[str],
) -> Digest:
    return Digest(
        name=name,
        zone=zone,
        run=f"{run}-{name}",
        sequence=sequence,
        address=f"10.0.0.{name[1:]}:7000",
        state=state,
        table_revision=table_revision,
        config_revision=0,
        loads=LOADS,
        busy_draining=fields.get("busy_draining", []),
        leaving=[],
        sponsored=fields.get("sponsored", []),
    )


def row(name: str = "e2", run: str = "r1", address: str = "") -> EntryRow:
    address = address or f"10.0.0.{name[1:]}:7000"
    return EntryRow(name, "arima", address, f"{run}-{name}")


def members(*seeds: str) -> Members:
    return Members(digest("e1"), seeds)


def removed_host(
    name: str = "e2", state: HostState = HostState.GONE
) -> HostEntry:
    address = f"10.0.0.{name[1:]}:7000"
    return HostEntry(name, "arima", "", address, HostRole.ENTRY, state)


Step = tuple[float, "Callable[[Members, float], object]"]


def receive(*args: str | int) -> Callable[[Members, float], object]:
    return lambda view, now: view.merge([digest("e2", *args)], now)  # type: ignore[arg-type]


def put_row(run: str = "r1") -> Callable[[Members, float], object]:
    return lambda view, now: view.apply_row("e2", row(run=run), now)


def delete_row(view: Members, now: float) -> None:
    view.apply_row("e2", None, now)


def declare_dead(view: Members, now: float) -> None:
    dead = EntryRow("e2", "arima", "", "r1-e2")
    view.apply_row("e2", dead, now)


def leave(view: Members, now: float) -> None:
    view.on_leave(digest(sequence=9), now)


def list_removed(view: Members, now: float) -> None:
    view.apply_host(removed_host())


CASES: dict[str, tuple[list[Step], float, str, str]] = {
    "digest just received": ([(0, receive("r1", 1))], 1, "alive", "r1"),
    "known by row only": ([(0, put_row())], 1, "suspect", "r1"),
    "no digest for 11 s": ([(0, receive("r1", 1))], 11, "suspect", "r1"),
    "unreachable, never gone by age": (
        [(0, receive("r1", 1))],
        9999,
        "silent",
        "r1",
    ),
    "old sequence is no heartbeat": (
        [
            (0, receive("r1", 5)),
            (20, receive("r1", 5)),
            (21, receive("r1", 4)),
        ],
        21,
        "suspect",
        "r1",
    ),
    "restart replaces the run": (
        [(0, receive("r1", 50)), (1, receive("r2", 1))],
        1,
        "alive",
        "r2",
    ),
    "old run does not come back": (
        [(0, receive("r2", 1)), (1, receive("r1", 50))],
        1,
        "alive",
        "r2",
    ),
    "its leave message ends it": (
        [(0, receive("r1", 1)), (1, leave)],
        1,
        "gone",
        "r1",
    ),
    "a run that left stays ended": (
        [(0, receive("r1", 1)), (1, leave), (2, receive("r1", 99))],
        2,
        "gone",
        "r1",
    ),
    "deleted row ends it": (
        [(0, put_row()), (1, receive("r1", 1)), (2, delete_row)],
        2,
        "gone",
        "r1",
    ),
    "resumed after its row was deleted": (
        [(0, put_row()), (2, delete_row), (3, receive("r1", 7))],
        3,
        "gone",
        "r1",
    ),
    "declared dead though never joined": (
        [(0, receive("r1", 1)), (1, declare_dead), (2, receive("r1", 2))],
        2,
        "gone",
        "r1",
    ),
    "joined anew after its row was deleted": (
        [(0, put_row()), (1, delete_row), (2, put_row("r2"))],
        2,
        "suspect",
        "r2",
    ),
    "deletion of an earlier run's row": (
        [(0, put_row()), (1, receive("r2", 1)), (2, delete_row)],
        2,
        "alive",
        "r2",
    ),
    "removed by the list, still responsive": (
        [(0, put_row()), (1, receive("r1", 1)), (2, list_removed)],
        2,
        "alive",
        "r1",
    ),
    "removed by the list, and unresponsive": (
        [(0, put_row()), (0, receive("r1", 1)), (1, list_removed)],
        40,
        "silent, removable",
        "r1",
    ),
}


@pytest.mark.parametrize(
    ("steps", "now", "state", "run"), CASES.values(), ids=CASES
)
def test_state_of_a_member(
    steps: list[Step], now: float, state: str, run: str
) -> None:
    view = members()
    for at, step in steps:
        step(view, at)
    lines = [line for line in view.status(now) if line.name == "e2"]
    found = str(lines[0].state)
    if [entry.name for entry in view.removable(now)] == ["e2"]:
        found += ", removable"
    assert (found, lines[0].run) == (state, f"{run}-e2")
    is_gone = lines[0].state is MemberState.GONE
    assert view.not_gone("arima") == ([] if is_gone else ["e2"])


@pytest.mark.parametrize(
    ("case", "expected"),
    [
        ("nothing", False),
        ("own row", False),
        ("own row deleted", True),
        ("deletion of an earlier run's row", False),
        ("later run in a row", True),
        ("later run in a digest", True),
        ("earlier run in a digest", False),
        ("declared dead", True),
    ],
)
def test_own_run_superseded(case: str, expected: bool) -> None:
    view = members()
    if case in {"own row", "own row deleted"}:
        view.apply_row("e1", row("e1"), 0)
    if case in {"own row deleted", "deletion of an earlier run's row"}:
        view.apply_row("e1", None, 1)
    if case == "later run in a row":
        view.apply_row("e1", row("e1", "r2"), 0)
    if case == "later run in a digest":
        view.merge([digest("e1", "r2")], 0)
    if case == "earlier run in a digest":
        view.merge([digest("e1", "r0")], 0)
    if case == "declared dead":
        view.apply_row("e1", EntryRow("e1", "arima", "", "r1-e1"), 0)
    assert view.is_superseded is expected


@pytest.mark.parametrize(
    ("name", "others", "expected"),
    [
        ("no other members", [], ["e1"]),
        ("behind", [digest(table_revision=6)], ["e1", "e2"]),
        ("reached", [digest(table_revision=7)], ["e1"]),
        (
            "busy",
            [digest(table_revision=7, busy_draining=["w1"])],
            ["e1", "e2"],
        ),
        ("other zone", [digest(zone="chaguanas")], ["e1"]),
        (
            "sponsored by another",
            [digest(table_revision=7, sponsored=["e3"])],
            ["e1", "e3"],
        ),
        (
            "sponsored daemon reached it too",
            [
                digest(table_revision=7, sponsored=["e3"]),
                digest("e3", table_revision=7),
            ],
            ["e1"],
        ),
        (
            "sponsor left, newcomer is still a member",
            [
                digest(sponsored=["e3"]),
                digest(sequence=2, state=LEFT, sponsored=["e3"]),
            ],
            ["e1", "e3"],
        ),
        (
            "restarted, new run is behind",
            [digest(table_revision=7), digest(run="r2", table_revision=3)],
            ["e1", "e2"],
        ),
    ],
)
def test_daemons_that_a_drain_waits_for(
    name: str, others: list[Digest], expected: list[str]
) -> None:
    view = members()
    view.merge(others, 0)
    assert sorted(view.waiting_for("arima", "w1", 7)) == expected
    view.publish("ready", 7, 0, [], [], [])
    expected.remove("e1")
    assert view.waiting_for("arima", "w1", 7) == expected


def test_sponsored_until_its_row_is_seen() -> None:
    view = members()
    view.sponsor("e4")
    assert view.publish("ready", 1, 0, [], [], []).sponsored == ["e4"]
    assert view.not_gone("arima") == ["e4"]
    view.apply_row("e4", row("e4"), 1)
    assert view.publish("ready", 1, 0, [], [], []).sponsored == []
    assert view.not_gone("arima") == ["e4"]


def test_partners_include_unresponsive_members_of_the_zone() -> None:
    view = members("10.0.0.9:7000", "10.0.0.2:7000")
    view.merge([digest("e2"), digest("e3", zone="chaguanas")], 100)
    view.apply_row("e4", row("e4"), 100)
    rng = random.Random(1)
    inside = set()
    outside = set()
    for _ in range(200):
        inside.update(view.choose_partners(rng, 101, in_zone=True))
        outside.update(view.choose_partners(rng, 101, in_zone=False))
    assert inside == {"10.0.0.2:7000", "10.0.0.4:7000"}
    assert outside == {"10.0.0.3:7000", "10.0.0.9:7000"}


class Daemon:
    """A daemon's members and digest exchange, without a network."""

    def __init__(self, name: str, zone: str) -> None:
        self.members = Members(digest(name, sequence=0, zone=zone))
        self.exchange = DigestExchange(self.members)

    def publish(self) -> None:
        self.members.publish("ready", 0, 0, LOADS, [], [])

    def exchange_with(self, other: Daemon, lost: bool = False) -> int:
        """Exchange once; return the number of digests sent both ways."""
        sent = self.exchange.request(other.members.own.address)
        received = other.exchange.answer(sent, 0)
        if not lost:
            self.exchange.complete(sent, received, 0)
        return len(sent) + len(received)


def test_digests_spread_in_deltas_and_loads_stay_in_the_zone() -> None:
    zones = ["arima", "arima", "chaguanas", "chaguanas"]
    daemons = [Daemon(f"e{i + 1}", zone) for i, zone in enumerate(zones)]
    one, two, three, four = daemons
    for daemon in daemons:
        daemon.publish()
    two.exchange_with(three)
    one.exchange_with(two)
    one.exchange_with(four, lost=True)
    assert one.exchange_with(two) == 2
    three.publish()
    four.publish()
    four.exchange_with(three)
    assert four.members.digest("e2") is not None
    two.publish()
    two.exchange_with(four)
    one.exchange_with(four)
    one.exchange_with(two)
    for daemon in (one, two):
        for other in daemons:
            found = daemon.members.digest(other.members.own.name)
            assert found is not None
            has_loads = other.members.own.zone == "arima"
            assert (found.loads == LOADS) is has_loads


def test_partner_that_restarted_is_sent_everything() -> None:
    one, two, three = (Daemon(f"e{i}", "arima") for i in (1, 2, 3))
    three.exchange_with(one)
    one.exchange_with(two)
    restarted = Daemon("e2", "arima")
    restarted.members.own.run = "r2-e2"
    restarted.exchange_with(one)
    assert restarted.members.digest("e3") is not None
    assert one.members.digest("e2") == restarted.members.own
