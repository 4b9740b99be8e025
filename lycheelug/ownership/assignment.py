"""Chooses which daemon claims a duty without a live holder.

All daemons see nearly the same rows and compute the same choice, so usually
only one of them writes.  If their views differ, the conditional write
decides.  A duty stays with its holder as long as the holder is alive,
because each change of ownership costs a recovery.  Free duties go to the
hosts with the most capacity left: the work of a duty grows with its pool,
and a small host would be late with all of it.  A holder that releases a
duty names its successor, so that no daemon has to wait for another heartbeat
to choose one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final
from zlib import crc32

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from lycheelug.ownership.liveness import Liveness
    from lycheelug.ownership.records import OwnerRecord

__all__ = ["choose_claims", "choose_successor", "duty_weight"]

# The capacity of a host of weight 1: cores, and the link in Mbit/s.
UNIT_CORES: Final = 0.5
UNIT_LINK_MBPS: Final = 10.0
# The weight of a host whose settings name no capacity, and the least weight.
WEIGHT_DEFAULT: Final = 1.0
WEIGHT_MIN: Final = 0.01


def duty_weight(cores: float, link_mbps: float) -> float:
    """Return a host's capacity for duties; unknown figures are 0.

    >>> duty_weight(2.0, 200.0), duty_weight(2.0, 5.0), duty_weight(0, 0)
    (4.0, 0.5, 1.0)
    """
    shares: list[float] = []
    if cores > 0:
        shares.append(cores / UNIT_CORES)
    if link_mbps > 0:
        shares.append(link_mbps / UNIT_LINK_MBPS)
    if not shares:
        return WEIGHT_DEFAULT
    return max(WEIGHT_MIN, round(min(shares), 2))


def choose_claims(
    own_name: str,
    duties: Sequence[str],
    owners: Mapping[str, OwnerRecord],
    liveness: Liveness,
    now: float,
    missed_turns: Mapping[str, int] | None = None,
) -> list[str]:
    """Return the duties that this daemon should claim now.

    `missed_turns` is the number of daemons by duty that did not claim it
    in their turn: they may be dead or partitioned without being detected
    yet.
    """
    alive = liveness.alive(now)
    if own_name not in alive:
        return []
    held: dict[str, int] = dict.fromkeys(alive, 0)
    free: list[str] = []
    for duty in sorted(duties):
        owner = owners.get(duty)
        if owner is None or not liveness.is_serving(
            owner.holder, owner.incarnation, duty, now
        ):
            free.append(duty)
            continue
        if owner.holder in held:
            held[owner.holder] += 1
    claims: list[str] = []
    for duty in free:
        able = [name for name in alive if not liveness.is_stalled(name, duty)]
        if not able:
            continue
        turn = (missed_turns or {}).get(duty, 0) % len(able)
        owner = owners.get(duty)
        named = owner.successor if owner is not None else ""
        ranked = sorted(
            able,
            key=lambda name: (
                name != named,
                _load(held[name], liveness.weight(name)),
                _rank(duty, name),
            ),
        )
        best = ranked[turn]
        held[best] += 1
        if best == own_name:
            claims.append(duty)
    return claims


def choose_successor(
    own_name: str,
    duty: str,
    owners: Mapping[str, OwnerRecord],
    liveness: Liveness,
    now: float,
) -> str:
    """Return the successor for a duty that a daemon releases.

    The result is empty if no other daemon is alive.  Released duties that
    their successor has not claimed yet count as held by it.
    """
    held = {name: 0 for name in liveness.alive(now) if name != own_name}
    for record in owners.values():
        holder = record.holder or record.successor
        if holder in held:
            held[holder] += 1
    if not held:
        return ""
    return min(
        held,
        key=lambda name: (
            _load(held[name], liveness.weight(name)),
            _rank(duty, name),
        ),
    )


def _load(held: int, weight: float) -> float:
    """Return the load of a host that gets one more duty."""
    return (held + 1) / weight


def _rank(duty: str, daemon: str) -> int:
    """Return a hash rank that spreads duties evenly over daemons."""
    return crc32(f"{duty}\0{daemon}".encode())
