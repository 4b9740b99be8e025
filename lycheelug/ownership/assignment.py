"""Who takes a duty that nobody holds.

All daemons see nearly the same rows and compute the same choice, so as a
rule only one of them writes.  Where views differ, the conditional write
decides.  A duty stays with its holder while that lives: each change of
hands costs a recovery.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from lycheelug.ownership.liveness import Liveness
    from lycheelug.ownership.records import OwnerRecord

__all__ = ["choose_claims"]


def choose_claims(
    me: str,
    duties: Sequence[str],
    owners: Mapping[str, OwnerRecord],
    liveness: Liveness,
    now: float,
) -> list[str]:
    """Return the duties that this daemon should claim now."""
    alive = liveness.alive(now)
    if me not in alive:
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
        best = min(alive, key=lambda name: (held[name], _rank(duty, name)))
        held[best] += 1
        if best == me:
            claims.append(duty)
    return claims


def _rank(duty: str, daemon: str) -> int:
    """Return a rank that spreads duties over daemons evenly."""
    return crc32(f"{duty}\0{daemon}".encode())
