from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheelug.blockers import BlockerKind
from lycheelug.plan import Plan, next_steps
from lycheelug.plan_report import progress
from lycheelug.records import (
    ENTRY_EPOCH_KEY,
    HOST_PREFIX,
    POOL_PREFIX,
    SHEET_KEY,
)
from lycheelug.registry import Registry
from lycheelug.store.interface import HostEntry, HostState
from tests.fleet_world import World

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.fleet import FleetSnapshot

EVENTS = st.lists(
    st.tuples(
        st.integers(0, World.EVENT_COUNT - 1),
        st.integers(0, 11),
        st.integers(0, 215),
    ),
    max_size=80,
)


def drive(world: World, events: list[tuple[int, int, int]]) -> None:
    world.reach_first_sheet()
    for event in events:
        world.run_event(*event)


@settings(derandomize=True, max_examples=120, deadline=None)
@given(events=EVENTS, frozen=st.booleans())
def test_invariants_hold_in_any_interleaving(
    events: list[tuple[int, int, int]], frozen: bool
) -> None:
    world = World()
    drive(world, events)
    plan = world.end_faults(frozen)
    if plan.is_done:
        assert progress(world.views[0], world.now).matched
        return
    assert plan.blockers, "neither completes nor names a blocker"
    if not frozen:
        kinds = {blocker.kind for blocker in plan.blockers}
        assert kinds <= {BlockerKind.WINDOW, BlockerKind.BUDGET}, plan.blockers
        assert progress(world.views[0], world.now).matched


def random_events(seed: int, count: int) -> list[tuple[int, int, int]]:
    rng = random.Random(seed)
    return [
        (
            rng.randrange(World.EVENT_COUNT),
            rng.randrange(12),
            rng.randrange(216),
        )
        for _ in range(count)
    ]


# Planners that lack one safeguard each.  The checks must detect each of them.
MUTANTS: Registry[Callable[..., Plan]] = Registry("mutant planner")


def without_guards(plan: Plan, prefix: str) -> Plan:
    for step in plan.steps:
        for key in list(step.guards):
            if key.startswith(prefix):
                del step.guards[key]
    return plan


@MUTANTS.register("no acknowledgements")
def without_acks(
    fleet: FleetSnapshot, now: float, zones: frozenset[str] | None
) -> Plan:
    view = fleet.copy()
    view.entries.clear()
    return next_steps(view, now, zones)


@MUTANTS.register("acknowledgements of busy daemons")
def with_busy_acks(
    fleet: FleetSnapshot, now: float, zones: frozenset[str] | None
) -> Plan:
    view = fleet.copy()
    for digest in view.digests.values():
        digest.busy_draining.clear()
    return next_steps(view, now, zones)


@MUTANTS.register("no guard of pool rows")
def without_pool_guard(
    fleet: FleetSnapshot, now: float, zones: frozenset[str] | None
) -> Plan:
    return without_guards(next_steps(fleet, now, zones), POOL_PREFIX)


@MUTANTS.register("no guard of host rows")
def without_host_guard(
    fleet: FleetSnapshot, now: float, zones: frozenset[str] | None
) -> Plan:
    return without_guards(next_steps(fleet, now, zones), HOST_PREFIX)


def with_view_complete(
    fleet: FleetSnapshot, now: float, zones: frozenset[str] | None
) -> Plan:
    view = fleet.copy()
    newest = [row.revision for row in view.hosts.values()]
    newest += [row.revision for row in view.pools.values()]
    view.table_revision = max([view.table_revision, *newest])
    return without_guards(next_steps(view, now, zones), ENTRY_EPOCH_KEY)


@MUTANTS.register("failures ignored")
def without_failures(
    fleet: FleetSnapshot, now: float, zones: frozenset[str] | None
) -> Plan:
    view = fleet.copy()
    for name, host in view.listed.items():
        view.listed[name] = HostEntry(
            name, host.zone, host.rack, "", host.role, HostState.LIVE
        )
    return next_steps(view, now, zones)


def unseen_join(world: World) -> None:
    """Let a driver see a drain, but not a daemon that joined before it."""
    world.refresh(1)
    world.join()
    world.submit(0, 1)
    world.refresh_and_step(0, [])
    world.refresh_and_step(0, [])
    world.sync_all_but(world.entries[2])
    for prefix in (HOST_PREFIX, POOL_PREFIX, SHEET_KEY):
        world.refresh_rows(1, prefix)
    world.step(1, [])
    world.check()


def unseen_moves(world: World) -> None:
    """Let a driver see pool rows after moves, but host rows before them."""
    world.refresh(1)
    world.submit(0, 4)
    for _ in range(4):
        world.refresh_and_step(0, [])
        world.sync_all_but(world.entries[0])
        world.sync_all_but(world.entries[1])
    # The last sheet has been adopted, but none of its moves has started.
    world.submit(0, 5)
    world.refresh_and_step(0, [])
    world.advance_days(12)
    for prefix in (POOL_PREFIX, SHEET_KEY):
        world.refresh_rows(1, prefix)
    world.step(1, [])
    world.check()


SCENARIOS = [unseen_join, unseen_moves]


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_a_view_with_rows_newer_than_others(
    scenario: Callable[[World], None],
) -> None:
    world = World()
    world.reach_first_sheet()
    scenario(world)
    assert world.views[1].sheet_revision == world.views[0].sheet_revision
    world = World(with_view_complete)
    world.reach_first_sheet()
    with pytest.raises(AssertionError, match=r"old pool|overspent"):
        scenario(world)


@pytest.mark.parametrize("name", list(MUTANTS))
def test_the_checks_detect_a_missing_safeguard(name: str) -> None:
    for seed in range(400):
        world = World(MUTANTS.get(name))
        try:
            drive(world, random_events(seed, 120))
        except AssertionError:
            return
    pytest.fail("not detected")
