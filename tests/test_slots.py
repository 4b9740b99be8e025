from __future__ import annotations

import pytest

from lycheelug.dispatch import Executor
from lycheelug.slots import (
    SHARES,
    IdleReport,
    ShareSettings,
    SlotShare,
    live_part,
)

SLOTS = 8


def make_executors(count: int = 8) -> list[Executor]:
    return [Executor(f"w{i}", "", f"r{i // 4}", "z1") for i in range(count)]


def make_share(share: str, daemons: int = 1) -> SlotShare:
    return SHARES.get(share)(ShareSettings(SLOTS, configured_daemons=daemons))


@pytest.mark.parametrize("daemons", [1, 2, 3, 4, 5, 7, 9, 16])
def test_live_parts_use_every_slot_and_are_even(daemons: int) -> None:
    held = [0] * daemons
    for index in range(8):
        parts = [
            live_part(index, position, daemons, SLOTS)
            for position in range(daemons)
        ]
        assert sum(parts) == SLOTS
        for position, part in enumerate(parts):
            held[position] += part
    assert max(held) - min(held) <= 1


@pytest.mark.parametrize(
    ("share", "daemons", "configured", "total"),
    [
        ("whole", 4, 4, 32),
        ("fixed", 4, 4, 8),
        ("fixed", 3, 3, 6),
        ("fixed", 2, 4, 4),
        ("fixed", 9, 9, 9),
        ("live", 3, 9, 8),
        ("live", 9, 9, 8),
        ("borrow", 3, 9, 8),
        ("probe", 3, 9, 8),
        ("borrow-probe", 9, 9, 8),
    ],
)
def test_limits_of_an_executor_add_up(
    share: str, daemons: int, configured: int, total: int
) -> None:
    names = [f"e{i}" for i in range(daemons)]
    executors = make_executors()
    for executor in executors:
        # No slot is probed while the own slots are not all in use.
        executor.in_flight = -1
    added = dict.fromkeys([each.name for each in executors], 0)
    for name in names:
        limits = make_share(share, configured).limits(
            executors, name, names, [], 0
        )
        for worker, limit in limits.items():
            added[worker] += limit
    assert set(added.values()) == {total}


@pytest.mark.parametrize(
    ("reports", "now", "limit"),
    [
        ([], 0.0, 4),
        ([IdleReport("e2", 32, 0, 0.0)], 0.0, 8),
        ([IdleReport("e2", 16, 0, 0.0)], 0.0, 6),
        ([IdleReport("e2", 32, 1, 0.0)], 0.0, 4),
        ([IdleReport("e2", 32, 0, 0.0)], 10.0, 4),
        ([IdleReport("gone", 32, 0, 0.0)], 0.0, 4),
        ([IdleReport("e1", 32, 0, 0.0)], 0.0, 4),
    ],
    ids=[
        "no-report",
        "all-idle",
        "half-idle",
        "peer-queues",
        "expired",
        "not-live",
        "own",
    ],
)
def test_borrowing_by_reports(
    reports: list[IdleReport], now: float, limit: int
) -> None:
    limits = make_share("borrow").limits(
        make_executors(), "e1", ["e1", "e2"], reports, now
    )
    assert set(limits.values()) == {limit}


def test_refusal_reduces_borrowed_slots_until_they_recover() -> None:
    share = make_share("borrow")
    idle = [IdleReport("e2", 32, 0, 100.0)]
    share.record_refusal("w0", 100.0)
    limits_seen: list[int] = []
    for now in (100.0, 100.1, 100.6):
        limits = share.limits(make_executors(), "e1", ["e1", "e2"], idle, now)
        limits_seen.append(limits["w0"])
        assert limits["w1"] == 8
    # The executor counts as full right after the rejection.
    assert limits_seen == [0, 6, 8]


@pytest.mark.parametrize("share", ["probe", "borrow-probe"])
def test_probing_goes_up_while_in_use_and_back_after_a_refusal(
    share: str,
) -> None:
    probing = make_share(share)
    executor = make_executors(1)[0]
    limits_seen: list[int] = []
    for step in range(6):
        limits = probing.limits([executor], "e1", ["e1", "e2"], [], step * 0.2)
        limits_seen.append(limits["w0"])
        executor.in_flight = limits["w0"]
    assert limits_seen == [4, 5, 6, 7, 8, 8]
    probing.record_refusal("w0", 1.0)
    limits = probing.limits([executor], "e1", ["e1", "e2"], [], 1.1)
    assert limits["w0"] == 6


@pytest.mark.parametrize("share", list(SHARES))
def test_refusal_marks_an_executor_full_for_a_moment(share: str) -> None:
    sharing = make_share(share)
    executors = make_executors()
    executors[0].in_flight = 1
    sharing.record_refusal("w0", 5.0)
    limits = sharing.limits(executors, "e1", ["e1"], [], 5.01)
    assert limits["w0"] == 1
    assert limits["w1"] >= 8
    assert sharing.limits(executors, "e1", ["e1"], [], 6.0)["w0"] >= 8


def test_daemon_without_a_slot_on_an_executor_has_one_elsewhere() -> None:
    names = [f"e{i}" for i in range(9)]
    for name in names:
        limits = make_share("live").limits(
            make_executors(), name, names, [], 0.0
        )
        assert sum(limits.values()) == 7 + (name == "e0")
