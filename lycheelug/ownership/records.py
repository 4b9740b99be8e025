"""The rows for the discovery of daemons and the ownership of duties.

The table `daemons` has one row per member of the duty group, which it
rewrites while it is alive, in a part of its own: the store serializes the
writes of a part, so on a slow store heartbeats in one part would delay each
other.  The table `peers` has the address of each daemon, in its zone's part,
ordered by a hash of its name.  The table `owners` has one row per duty (a
pool, or the fleet plan), in the duty's own part, with its holder and term.
The term rises with each change of ownership and is the fencing token of all
orders.  All daemons follow that table, so it also has the census, a row that
tells those outside the duty group how large the group is.
"""

from __future__ import annotations

from typing import Final

import msgspec

from lycheelug.decoding import Integer  # noqa: TC001

__all__ = [
    "CENSUS_KEY",
    "CENSUS_PART",
    "DAEMONS_TABLE",
    "OWNERS_TABLE",
    "OWNER_KEY",
    "PEERS_TABLE",
    "CensusRecord",
    "HeartbeatRecord",
    "OwnerRecord",
    "PeerRecord",
]

DAEMONS_TABLE: Final = "daemons"
OWNERS_TABLE: Final = "owners"
OWNER_KEY: Final = "owner"
# The census has a part of its own in the table of owners.
CENSUS_KEY: Final = "census"
CENSUS_PART: Final = "~census"
PEERS_TABLE: Final = "peers"


class HeartbeatRecord(msgspec.Struct, omit_defaults=True):
    """A daemon's heartbeat; only the fact that it changes matters."""

    incarnation: str
    zone: str = ""
    # `ip:port` at which other daemons reach it; empty for none.
    address: str = ""
    beat: Integer = 0
    # The daemon is stopping and takes no more duties.
    leaving: bool = False
    # The capacity of its host for duties, relative to other hosts.
    weight: float = 1.0
    # The duties that it holds but whose work fails.
    stalled: list[str] = []


class CensusRecord(msgspec.Struct, omit_defaults=True):
    """The live members of the duty group, as one of them sees it."""

    # Rises with each census of one member.
    number: Integer
    # The zone and address of each member.
    members: list[tuple[str, str]] = []


class PeerRecord(msgspec.Struct, omit_defaults=True):
    """Where a daemon can be reached."""

    name: str
    address: str
    # Unix time in milliseconds at which the daemon last wrote the row.
    at_ms: Integer = 0


class OwnerRecord(msgspec.Struct, omit_defaults=True):
    """The owner of a duty."""

    # The holder's name and incarnation; empty after the duty was released.
    holder: str
    incarnation: str
    term: Integer
    # The daemon that should claim a released duty; empty for any.
    successor: str = ""
    # The number of holders in a row that were replaced as stalled.
    stalled_before: Integer = 0
    # The holder's `ip:port` for other daemons; empty for none.
    address: str = ""
    # The former holder released the duty, and had ended its calls before.
    is_after_release: bool = False
