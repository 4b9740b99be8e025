"""The rows by which daemons know each other and divide the pools.

`daemons` has one row a daemon, rewritten while it lives, in a part of its
own: a part takes its writes one after the other, so that on a slow store
shared heartbeats would hold each other up.  `owners` has one
row a duty (a pool, or the fleet's moves and upkeep), in the duty's own
part: who holds it, and under which term.  The term rises with each change
of hands and is the fencing token of all orders.
"""

from __future__ import annotations

from typing import Final

import msgspec

__all__ = [
    "DAEMONS_TABLE",
    "OWNERS_TABLE",
    "OWNER_KEY",
    "HeartbeatRecord",
    "OwnerRecord",
]

DAEMONS_TABLE: Final = "daemons"
OWNERS_TABLE: Final = "owners"
OWNER_KEY: Final = "owner"


class HeartbeatRecord(msgspec.Struct, omit_defaults=True):
    """A daemon's heartbeat; only that it changes matters, not its time."""

    incarnation: str
    zone: str = ""
    # `ip:port` at which other daemons reach it; empty for none.
    address: str = ""
    beat: int = 0
    # It stops, and takes no more duties.
    leaving: bool = False


class OwnerRecord(msgspec.Struct, omit_defaults=True):
    """Who holds a duty."""

    # The holder's name and incarnation; empty after it gave the duty back.
    holder: str
    incarnation: str
    term: int
    # Who is to take a duty that was given back; empty for anybody.
    successor: str = ""
