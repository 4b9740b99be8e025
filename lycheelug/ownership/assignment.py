"""Who takes a duty that nobody holds.

All daemons see nearly the same rows and compute the same choice, so as a
rule only one of them writes.  Where views differ, the conditional write
decides.  A duty stays with its holder while that lives: each change of
hands costs a recovery.  A holder that gives a duty back names its
successor, so that nobody has to wait for a heartbeat to choose.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from lycheelug.ownership.liveness import Liveness
    from lycheelug.ownership.records import OwnerRecord

__all__ = ["choose_claims", "choose_successor"]


def choose_claims(
    own_name: str,
    duties: Sequence[str],
    owners: Mapping[str, OwnerRecord],
    liveness: Liveness,
    now: float,
    missed_turns: Mapping[str, int] | None = None,
) -> list[str]:
    """Return the duties that this daemon should claim now.

    `passed_over` tells for each duty how many daemons had their turn and
    did not claim it: they may be dead or cut off without a sign yet.
    """
    alive = liveness.alive(now)
    if own_name not in alive:
        return []
    held: dict[str, int] = dict.fromkeys(alive, 0)
    free: list[str] = []
    for duty in sorted(duties):
        owner = owners.get(duty)
        if owner is None or not liveness.is_alive(
            owner.holder, owner.incarnation, now
        ):
            free.append(duty)
            continue
        if owner.holder in held:
            held[owner.holder] += 1
    claims: list[str] = []
    for duty in free:
        turn = (missed_turns or {}).get(duty, 0) % len(alive)
        owner = owners.get(duty)
        named = owner.successor if owner is not None else ""
        ranked = sorted(
            alive,
            key=lambda name: (name != named, held[name], _rank(duty, name)),
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
    """Return who is to take a duty that `me` gives back; empty for none.

    Duties that are on their way to a successor count as held by it.
    """
    held = {name: 0 for name in liveness.alive(now) if name != own_name}
    for record in owners.values():
        holder = record.holder or record.successor
        if holder in held:
            held[holder] += 1
    if not held:
        return ""
    return min(held, key=lambda name: (held[name], _rank(duty, name)))


def _rank(duty: str, daemon: str) -> int:
    """Return a rank that spreads duties over daemons evenly."""
    return crc32(f"{duty}\0{daemon}".encode())
