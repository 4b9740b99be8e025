from __future__ import annotations

import pytest

from lycheelug.blockers import BlockerKind
from lycheelug.entries.messages import Digest
from lycheelug.entry_acks import unacknowledged_entries
from lycheelug.fleet import FleetSnapshot
from lycheelug.plan import next_steps
from lycheelug.plan_driver import PlanDriver
from lycheelug.plan_report import explain_plan, progress
from lycheelug.plan_submit import SheetAccepted, submit_sheet
from lycheelug.records import (
    SHEET_KEY,
    EntryRow,
    HostPhase,
    HostRow,
    encode,
    entry_key,
    host_key,
)
from lycheelug.sheet import parse_sheet
from lycheelug.steps import ChangeKind
from lycheelug.store.interface import (
    HostDelta,
    HostEntry,
    HostRole,
    HostState,
    Row,
)
from lycheelug.waves import REBOOT_TIMEOUT_S
from tests.faulty_platform import run
from tests.fleet_world import HEADER, SHEETS, World

DRAINED_AT = 10

# name, join revision, address, list revision of the join, listed state,
# digest's revision (None: no digest), busy, declared dead, whether the drain
# waits for the daemon
ACKS = [
    ("no digest", 5, "x", 0, HostState.LIVE, None, False, False, True),
    ("view out of date", 5, "x", 0, HostState.LIVE, 9, False, False, True),
    ("busy", 5, "x", 0, HostState.LIVE, 12, True, False, True),
    ("acknowledged", 5, "x", 0, HostState.LIVE, 10, False, False, False),
    ("joined later", 11, "x", 0, HostState.LIVE, None, False, False, False),
    ("leaving", 5, "x", 0, HostState.LEAVING, None, False, False, True),
    ("gone", 5, "x", 3, HostState.GONE, None, False, False, False),
    ("gone in an older list", 5, "x", 4, HostState.GONE, None, False, False,
     True),
    ("not listed", 5, "x", 0, None, None, False, False, True),
    ("declared dead", 5, "x", 0, HostState.LIVE, None, False, True, False),
    ("ended in the table", 5, "", 0, HostState.LIVE, None, False, False,
     False),
]  # fmt: skip


@pytest.mark.parametrize(
    ("joined", "address", "seen", "state", "view", "busy", "dead", "waits"),
    [row[1:] for row in ACKS],
    ids=[row[0] for row in ACKS],
)
def test_entries_that_a_drain_waits_for(
    joined: int,
    address: str,
    seen: int,
    state: HostState | None,
    view: int | None,
    busy: bool,
    dead: bool,
    waits: bool,
) -> None:
    fleet = FleetSnapshot()
    host = HostRow("w", "a", "r", "p", HostPhase.DRAINING, 2, "q")
    fleet.apply_row(Row(host_key("a", "w"), encode(host), DRAINED_AT))
    entry = EntryRow("e3", "a", address, "run", list_revision=seen)
    fleet.apply_row(Row(entry_key("e3"), encode(entry), joined))
    listed = []
    if state is not None:
        listed.append(HostEntry("e3", "a", "", "", HostRole.ENTRY, state))
    fleet.apply_hosts(HostDelta(listed, 4))
    if view is not None:
        names = ["w"] if busy else []
        fleet.apply_digest(
            Digest("e3", "a", "run", 1, "", "", view, 0, [], names, [])
        )
    if dead:
        fleet.dead_runs.add("run")
    assert unacknowledged_entries(fleet, fleet.hosts["w"]) == (
        ["e3"] if waits else []
    )
    # A daemon of another zone doesn't have the host in its view.
    elsewhere = EntryRow("e3", "b", address, "run", list_revision=seen)
    fleet.apply_row(Row(entry_key("e3"), encode(elsewhere), joined + 20))
    fleet.apply_row(Row(host_key("a", "w"), encode(host), joined + 30))
    assert unacknowledged_entries(fleet, fleet.hosts["w"]) == []


def text_of(index: int) -> str:
    return "\n".join([HEADER, *SHEETS[index]])


# name, faults of the platform, sheet, base (-1: sheet in force), outcome
SUBMISSIONS = [
    ("accepted", [], 1, -1, "accepted"),
    ("answer lost", [1], 1, -1, "accepted"),
    ("request lost", [2], 1, -1, "accepted"),
    ("arrives late", [3], 1, -1, "accepted"),
    ("arrives twice", [4], 1, -1, "accepted"),
    ("never answered", [2, 2, 2, 2], 1, -1, "platform-unknown"),
    ("answers lost", [1, 2, 2, 2], 1, -1, "platform-unknown"),
    ("not reached", [5], 1, -1, "platform-unreachable"),
    ("lost, then not reached", [1, 5], 1, -1, "platform-unknown"),
    ("another came first", [], 1, 0, "sheet-raced"),
    ("invalid", [], None, -1, "sheet-invalid"),
    ("impossible", [], 6, -1, "sheet-impossible"),
]


@pytest.mark.parametrize(
    ("faults", "sheet", "base", "outcome"),
    [row[1:] for row in SUBMISSIONS],
    ids=[row[0] for row in SUBMISSIONS],
)
def test_a_submission_reports_its_outcome(
    faults: list[int], sheet: int | None, base: int, outcome: str
) -> None:
    world = World()
    world.reach_first_sheet()
    revision = world.views[0].sheet_revision

    def submit(script: list[int]) -> str:
        world.sources[0].script = list(script)
        text = "kind,pool\npool,*" if sheet is None else text_of(sheet)
        based_on = revision if base < 0 else base
        answer = run(
            submit_sheet(
                world.sources[0], text, "o", "mine", based_on, world.views[0]
            )
        )
        refused = answer.swap().value_or(None)
        return refused.fault.code.name if refused is not None else "accepted"

    assert submit(faults) == outcome
    if outcome in ("accepted", "platform-unknown"):
        # Repeated with the same nonce, the submission is accepted without a
        # second write.
        assert submit([]) == "accepted"
        row = world.platform.row(SHEET_KEY)
        while world.late_calls:
            world.deliver_late(0)
        assert row is world.platform.row(SHEET_KEY)


def test_a_raced_submission_reports_what_changed() -> None:
    world = World()
    world.reach_first_sheet()
    base = world.views[0].sheet_revision
    answers = []
    for operator, index in (("ann", 1), ("bob", 3), ("ann", 1)):
        submission = submit_sheet(
            world.sources[0], text_of(index), operator, operator, base,
            world.views[0],
        )  # fmt: skip
        answers.append(run(submission))
    assert isinstance(answers[0].unwrap(), SheetAccepted)
    refused = answers[1].failure()
    assert "ann" in refused.fault.detail
    assert "pool p: hosts in a 3 -> 1" in refused.changes
    assert refused.revision == answers[0].unwrap().revision
    assert answers[2].unwrap().is_repeat


def test_explain_plan_returns_moves_rounds_and_budgets() -> None:
    world = World()
    world.reach_first_sheet()
    world.refresh(0)
    fleet = world.views[0]
    sheet = parse_sheet(text_of(1)).unwrap()
    explanation = explain_plan(sheet, fleet, world.now)
    assert len(explanation.moves) == 4
    kinds = [{c.kind for c in r.changes} for r in explanation.rounds]
    assert kinds[0] == {ChangeKind.ADOPT}
    assert ChangeKind.FINISH in kinds[-1]
    for planned in explanation.rounds:
        assert all(count.slack >= 0 for count in planned.budgets)
    assert not explanation.blockers
    assert fleet.sheet is not sheet
    # The driver then needs no more rounds than explained.
    world.submit(0, 1)
    for _ in explanation.rounds:
        world.refresh_and_step(0, [])
        for entry in world.entries:
            world.sync(entry)
            world.publish_digest(entry)
    world.refresh(0)
    assert progress(fleet, world.now).matched


def test_progress_names_the_daemon_it_waits_for() -> None:
    world = World()
    world.reach_first_sheet()
    world.submit(0, 1)
    for _ in range(4):
        world.refresh_and_step(0, [])
        world.sync_all_but(world.entries[1])
    world.refresh(0)
    state = progress(world.views[0], world.now)
    assert not state.matched
    assert state.on_the_way
    lines = {str(blocker).partition(": ")[2] for blocker in state.blockers}
    assert lines == {"waiting for entry e1"}


def test_a_new_address_of_a_host_is_written_to_its_row() -> None:
    world = World()
    world.reach_first_sheet()
    world.platform.put_host(HostEntry("a0", "a", "r0", "10.0.0.9:80"))
    run_rounds(world, 1)
    assert world.hosts()["a0"].address == "10.0.0.9:80"
    # A driver with an older list takes the address from the row.
    world.views[1].apply_row(world.platform.rows(host_key("a", "a0"))[0])
    assert world.views[1].address(world.hosts()["a0"]) == "10.0.0.9:80"


def test_a_lease_excludes_a_second_driver() -> None:
    world = World()
    world.reach_first_sheet()
    world.submit(0, 1)
    clock = [world.now]
    drivers = [
        PlanDriver(world.platform, lambda: clock[0], world.nonce, name)
        for name in ("x", "y")
    ]
    clock[0] += 200.0
    world.refresh(0)
    assert run(drivers[0].step(world.views[0])).committed
    world.refresh(0)
    assert run(drivers[0].step(world.views[0])).committed
    world.refresh(0)
    assert run(drivers[1].step(world.views[0])).is_idle
    # It takes over once the lease has expired.
    for entry in world.entries:
        world.sync(entry)
        world.publish_digest(entry)
    clock[0] += 60.0
    assert run(drivers[1].step(world.views[0])).committed


def run_rounds(world: World, rounds: int) -> None:
    for _ in range(rounds):
        world.refresh_and_step(0, [])
        world.check()
        for entry in world.entries:
            world.sync(entry)
            world.publish_digest(entry)
    world.refresh(0)


def test_a_host_that_does_not_return_is_reported_and_stays_out() -> None:
    world = World()
    world.reach_first_sheet()
    world.advance_days(12)
    run_rounds(world, 6)
    in_maintenance = [
        row for row in world.hosts().values()
        if row.phase is HostPhase.MAINTENANCE
    ]  # fmt: skip
    lost = in_maintenance[0].name
    for row in in_maintenance[1:]:
        world.platform.finish_reboot(row.name)
    world.now += REBOOT_TIMEOUT_S + 1.0
    for _ in range(40):
        run_rounds(world, 1)
        for name, row in world.hosts().items():
            if row.phase is HostPhase.MAINTENANCE and name != lost:
                world.platform.finish_reboot(name)
    plan = next_steps(world.views[0], world.now)
    late = [b for b in plan.blockers if b.kind is BlockerKind.HOST_LATE]
    assert [blocker.subject for blocker in late] == [lost]
    assert lost in world.pools()[in_maintenance[0].pool].out
    # The other racks have been maintained nevertheless.
    started = world.now - 86_400.0
    behind = [
        row.name for row in world.hosts().values()
        if row.maintained_at < started
    ]  # fmt: skip
    assert behind == [lost]


def test_a_wave_waits_while_failures_spend_the_budget() -> None:
    world = World()
    world.reach_first_sheet()
    world.advance_days(12)
    members = [n for n, row in world.hosts().items() if row.pool == "p"]
    # The spare hosts fail as well, so none can replace them.
    for name in [*members[:3], "a3", "a5", "b3", "b5"]:
        world.platform.set_host_state(name, HostState.LEAVING)
    run_rounds(world, 8)
    assert not set(world.pools()["p"].out) & set(members[3:])
    blockers = next_steps(world.views[0], world.now).blockers
    held = [b.subject for b in blockers if b.kind is BlockerKind.BUDGET]
    assert "pool p" in held
    world.platform.set_host_state(members[0], HostState.LIVE)
    run_rounds(world, 2)
    assert len(world.pools()["p"].out) == 1
