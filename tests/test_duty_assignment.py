"""Tests of which daemon claims a free duty."""

from __future__ import annotations

import pytest

from lycheelug.ownership import (
    Liveness,
    OwnerRecord,
    choose_claims,
    choose_successor,
    duty_weight,
)

DUTIES = ("bowls", "cowls", "lamps", "quotes", "~fleet")


def make_liveness(weights: dict[str, float]) -> Liveness:
    """Return a view in which all daemons are alive."""
    liveness = Liveness()
    for name, weight in weights.items():
        liveness.record_heartbeat(name, "i", 1, 0.0, weight=weight)
    return liveness


def assign(weights: dict[str, float]) -> dict[str, list[str]]:
    """Return the duties that each daemon claims of all free ones."""
    liveness = make_liveness(weights)
    return {
        name: choose_claims(name, DUTIES, {}, liveness, 0.5)
        for name in weights
    }


# Guards against the collapse of the grown quiet day, SHORT: the fleet plan
# and the busiest pool on hosts of half a core and 10 Mbit/s, while hosts
# with four times the cores and twenty times the link held nothing.
@pytest.mark.parametrize(
    ("large", "small"), [(8, 34), (5, 37), (3, 8)], ids=str
)
def test_duties_go_to_hosts_with_capacity(large: int, small: int) -> None:
    big = duty_weight(2.15, 200.0)
    little = duty_weight(0.516, 10.0)
    weights = {f"small{number}": little for number in range(small)}
    weights.update({f"large{number}": big for number in range(large)})
    claimed = assign(weights)
    taken = sorted(duty for duties in claimed.values() for duty in duties)
    assert taken == sorted(DUTIES)
    for name, duties in claimed.items():
        assert not duties or name.startswith("large")
        assert len(duties) <= -(-len(DUTIES) // large)


@pytest.mark.parametrize("daemons", [5, 8, 42])
def test_equal_hosts_share_the_duties_evenly(daemons: int) -> None:
    claimed = assign({f"e{number}": 1.0 for number in range(daemons)})
    assert sorted(map(len, claimed.values()))[-1] == 1


def test_large_host_does_not_get_all_duties() -> None:
    claimed = assign({"large": 4.0, "a": 1.0, "b": 1.0, "c": 1.0})
    assert len(claimed["large"]) < len(DUTIES)


@pytest.mark.parametrize(
    ("stalled", "claimant"),
    [
        # The holder serves the duty, and nobody else claims it.
        ([], ""),
        (["other"], ""),
        # It is stalled, and the only other daemon claims the duty.
        (["quotes"], "b"),
    ],
)
def test_duty_of_a_stalled_holder_is_claimed_by_another(
    stalled: list[str], claimant: str
) -> None:
    liveness = Liveness()
    liveness.record_heartbeat("a", "i", 1, 0.0, weight=9.0, stalled=stalled)
    liveness.record_heartbeat("b", "i", 1, 0.0)
    owners = {"quotes": OwnerRecord("a", "i", 3)}
    claimed = ""
    for name in ("a", "b"):
        if choose_claims(name, ["quotes"], owners, liveness, 0.5):
            claimed += name
    assert claimed == claimant


def test_nobody_claims_a_duty_on_which_all_are_stalled() -> None:
    liveness = Liveness()
    for name in ("a", "b"):
        liveness.record_heartbeat(name, "i", 1, 0.0, stalled=["quotes"])
    owners = {"quotes": OwnerRecord("a", "i", 3)}
    for name in ("a", "b"):
        assert not choose_claims(name, ["quotes"], owners, liveness, 0.5)


def test_successor_is_the_host_with_the_most_capacity_left() -> None:
    liveness = make_liveness({"a": 1.0, "b": 4.0, "c": 1.0})
    owners = {"quotes": OwnerRecord("a", "i", 1)}
    assert choose_successor("a", "quotes", owners, liveness, 0.5) == "b"


@pytest.mark.parametrize(
    ("heartbeat", "claim_version", "age_s", "is_alive"),
    [
        # Its heartbeat has not arrived yet.
        (None, 7, 0.5, True),
        (None, 7, 1.5, False),
        # The only heartbeat is of its last life, and older than the claim.
        (("old", 5), 7, 0.5, True),
        (("old", 5), 7, 1.5, False),
        # It was started again after the claim.
        (("new", 9), 7, 0.1, False),
    ],
)
def test_claim_counts_until_the_first_heartbeat_is_due(
    heartbeat: tuple[str, int] | None,
    claim_version: int,
    age_s: float,
    is_alive: bool,
) -> None:
    liveness = Liveness()
    if heartbeat is not None:
        liveness.record_heartbeat("e1", heartbeat[0], heartbeat[1], 10.0)
    liveness.record_claim("e1", "claimant", claim_version, 10.0)
    assert liveness.is_alive("e1", "claimant", 10.0 + age_s) is is_alive
